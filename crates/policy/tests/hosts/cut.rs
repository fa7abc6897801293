//! What a customer gets of its limit before, during and after a fault, with three methods of division.

use contract::Limits;
use policy::limits::Bucket;

use super::Hosts;

const STEP_MS: u64 = 100;
/// Length of each phase, in steps.
const PHASE: u64 = 300;
/// Interval over which admitted requests are compared with the limit, in steps; shorter ones are distorted by whole
/// requests.
const WINDOW: u64 = 100;

/// How the limit is divided between the hosts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Way {
    /// Each host always has the same part.
    Equal,
    /// Each host takes its share of the demand of all reachable hosts, which it knows without delay.
    Heard,
    /// Even parts with leased loans.
    Loans,
}

/// The fault in the second of three phases.
#[derive(Clone, Copy, Debug)]
pub enum Fault {
    /// The hosts whose bit is set are cut off from the others.
    Cut(u64),
    /// The first host dies, and its callers move to the others.
    Death,
}

/// Totals of one phase, in requests.
#[derive(Clone, Copy, Debug, Default)]
pub struct Phase {
    /// Requested and within the limit.
    pub due: f64,
    /// Admitted.
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
    // Lets the hosts settle before the first phase.
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

/// Simulates one step and returns the number of admitted requests.
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

/// Returns the demand on a host's side of the network split.
fn side(asked: &[f64], host: usize, fault: Option<Fault>) -> f64 {
    let sides = if let Some(Fault::Cut(sides)) = fault { sides } else { 0 };
    let same = |other: &usize| (sides >> other) & 1 == (sides >> host) & 1;
    (0..asked.len()).filter(same).map(|other| asked[other]).sum()
}
