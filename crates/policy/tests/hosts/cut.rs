//! What a customer gets of its limit before, in and after a cut, decided in three ways.

use contract::Limits;
use policy::limits::Bucket;

use super::Hosts;

const STEP_MS: u64 = 100;
/// Length of each phase, in steps.
const PHASE: u64 = 300;
/// Time over which admitted requests are compared with the limit, in steps; over shorter ones whole requests blur it.
const WINDOW: u64 = 100;

/// How the limit is divided.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Way {
    /// Each host has the same part for ever.
    Equal,
    /// Each host takes its share of the demand of the hosts that it hears, as if it heard at once.
    Heard,
    /// Equal parts with leased loans.
    Loans,
}

/// What happens in the second of three phases.
#[derive(Clone, Copy, Debug)]
pub enum Fault {
    /// The hosts whose bit is set are cut off from the others.
    Cut(u64),
    /// The first host dies, and its callers go to the others.
    Death,
}

/// Requests of one phase.
#[derive(Clone, Copy, Debug, Default)]
pub struct Phase {
    /// What the contract allows of what was asked for.
    pub due: f64,
    /// What was admitted.
    pub admitted: f64,
    /// Admitted beyond the limit.
    pub over: f64,
    /// Refused below the limit.
    pub below: f64,
}

/// Runs the three phases.
pub fn run(limits: Limits, demand: &[f64], fault: Fault, way: Way) -> [Phase; 3] {
    let mut hosts = Hosts::new(demand.len(), limits, 7);
    hosts.network(1, 0);
    demand
        .iter()
        .enumerate()
        .for_each(|(host, asked)| hosts.ask(host, *asked));
    let mut buckets: Vec<Bucket> = hosts
        .parts()
        .iter()
        .map(|part| Bucket::new(*part, hosts.now()))
        .collect();
    let mut debts: Vec<f64> = (0..demand.len())
        .map(|host| host as f64 / demand.len() as f64)
        .collect();
    // The hosts settle before the first phase.
    (0..PHASE).for_each(|_| hosts.step(STEP_MS));
    [0, 1, 2].map(|phase| {
        let fault = (phase == 1).then_some(fault);
        begin(&mut hosts, demand, fault, phase);
        let mut sum = Phase::default();
        let seconds = (WINDOW * STEP_MS) as f64 / 1_000.0;
        for _ in 0..PHASE / WINDOW {
            let steps = (0..WINDOW).map(|_| step(&mut hosts, &mut buckets, &mut debts, (way, fault)));
            let admitted: f64 = steps.sum();
            let limit = limits.requests_per_s * seconds;
            let due = (hosts.asked().iter().sum::<f64>() * seconds).min(limit);
            sum.due += due;
            sum.admitted += admitted;
            sum.over += (admitted - limit).max(0.0);
            sum.below += (due - admitted).max(0.0);
        }
        sum
    })
}

fn begin(hosts: &mut Hosts, demand: &[f64], fault: Option<Fault>, phase: usize) {
    match fault {
        Some(Fault::Cut(sides)) => hosts.cut(sides),
        Some(Fault::Death) => {
            hosts.die(0);
            let more = demand[0] / (demand.len() - 1) as f64;
            (1..demand.len()).for_each(|host| hosts.ask(host, demand[host] + more));
            hosts.ask(0, 0.0);
        }
        None if phase == 2 => {
            hosts.cut(0);
            hosts.restart(0);
            demand
                .iter()
                .enumerate()
                .for_each(|(host, asked)| hosts.ask(host, *asked));
        }
        None => {}
    }
}

/// Lets a tenth of a second pass and gives the number of admitted requests.
fn step(hosts: &mut Hosts, buckets: &mut [Bucket], debts: &mut [f64], (way, fault): (Way, Option<Fault>)) -> f64 {
    hosts.step(STEP_MS);
    let asked = hosts.asked();
    let loans = hosts.parts();
    let mut admitted = 0.0;
    for host in 0..asked.len() {
        let rate = match way {
            Way::Loans => loans[host],
            Way::Equal => hosts.limit() / asked.len() as f64,
            Way::Heard => hosts.limit() * asked[host] / side(&asked, host, fault).max(1e-9),
        };
        buckets[host].set_rate(rate, hosts.now());
        debts[host] += asked[host] * STEP_MS as f64 / 1_000.0;
        while debts[host] >= 1.0 {
            debts[host] -= 1.0;
            admitted += f64::from(u8::from(buckets[host].take(1.0, hosts.now()).is_ok()));
        }
    }
    admitted
}

/// Gives the demand of the side on which a host is.
fn side(asked: &[f64], host: usize, fault: Option<Fault>) -> f64 {
    let sides = if let Some(Fault::Cut(sides)) = fault { sides } else { 0 };
    let same = |other: &usize| (sides >> other) & 1 == (sides >> host) & 1;
    (0..asked.len()).filter(same).map(|other| asked[other]).sum()
}
