//! What a customer gets of its limit before, during and after a fault, with three methods of division.

use contract::CustomerLimits;
use policy::limits::Bucket;

use super::Hosts;

const STEP_MS: u64 = 100;
/// Length of each phase, in steps.
const PHASE_STEPS: u64 = 300;
/// Interval over which admitted requests are compared with the limit, in steps; shorter ones are distorted by whole
/// requests.
const WINDOW_STEPS: u64 = 100;

/// How the limit is divided between the hosts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Method {
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
pub fn run(limits: CustomerLimits, demand: &[f64], fault: Fault, method: Method) -> [Phase; 3] {
    let mut hosts = Hosts::new(demand.len(), limits, 7);
    hosts.network(1, 0);
    demand
        .iter()
        .enumerate()
        .for_each(|(host, demand)| hosts.set_demand(host, *demand));
    let mut buckets: Vec<Bucket> = hosts
        .rates()
        .iter()
        .map(|part| Bucket::new(*part, hosts.now()))
        .collect();
    let mut pending: Vec<f64> = (0..demand.len())
        .map(|host| host as f64 / demand.len() as f64)
        .collect();
    // Lets the hosts settle before the first phase.
    (0..PHASE_STEPS).for_each(|_| hosts.step(STEP_MS));
    [0, 1, 2].map(|phase| {
        let fault = (phase == 1).then_some(fault);
        start_phase(&mut hosts, demand, fault, phase);
        let mut sum = Phase::default();
        let seconds = (WINDOW_STEPS * STEP_MS) as f64 / 1_000.0;
        for _ in 0..PHASE_STEPS / WINDOW_STEPS {
            let steps = (0..WINDOW_STEPS).map(|_| step(&mut hosts, &mut buckets, &mut pending, (method, fault)));
            let admitted: f64 = steps.sum();
            let limit = limits.requests_per_s * seconds;
            let due = (hosts.demands().iter().sum::<f64>() * seconds).min(limit);
            sum.due += due;
            sum.admitted += admitted;
            sum.over += (admitted - limit).max(0.0);
            sum.below += (due - admitted).max(0.0);
        }
        sum
    })
}

fn start_phase(hosts: &mut Hosts, demand: &[f64], fault: Option<Fault>, phase: usize) {
    match fault {
        Some(Fault::Cut(sides)) => hosts.split(sides),
        Some(Fault::Death) => {
            hosts.crash(0);
            let more = demand[0] / (demand.len() - 1) as f64;
            (1..demand.len()).for_each(|host| hosts.set_demand(host, demand[host] + more));
            hosts.set_demand(0, 0.0);
        }
        None if phase == 2 => {
            hosts.split(0);
            hosts.restart(0);
            demand
                .iter()
                .enumerate()
                .for_each(|(host, demand)| hosts.set_demand(host, *demand));
        }
        None => {}
    }
}

/// Simulates one step and returns the number of admitted requests.
fn step(
    hosts: &mut Hosts,
    buckets: &mut [Bucket],
    pending: &mut [f64],
    (method, fault): (Method, Option<Fault>),
) -> f64 {
    hosts.step(STEP_MS);
    let demands = hosts.demands();
    let loan_rates = hosts.rates();
    let mut admitted = 0.0;
    for host in 0..demands.len() {
        let rate = match method {
            Method::Loans => loan_rates[host],
            Method::Equal => hosts.limit() / demands.len() as f64,
            Method::Heard => hosts.limit() * demands[host] / side_demand(&demands, host, fault).max(1e-9),
        };
        buckets[host].set_rate(rate, hosts.now());
        pending[host] += demands[host] * STEP_MS as f64 / 1_000.0;
        while pending[host] >= 1.0 {
            pending[host] -= 1.0;
            admitted += f64::from(u8::from(buckets[host].take(1.0, hosts.now()).is_ok()));
        }
    }
    admitted
}

/// Returns the demand on a host's side of the network split.
fn side_demand(demands: &[f64], host: usize, fault: Option<Fault>) -> f64 {
    let sides = if let Some(Fault::Cut(sides)) = fault { sides } else { 0 };
    let same = |other: &usize| (sides >> other) & 1 == (sides >> host) & 1;
    (0..demands.len()).filter(same).map(|other| demands[other]).sum()
}
