//! Claims per second and their latency, with 1, 16 and 128 concurrent callers.

use std::path::Path;
use std::thread;
use std::time::{Duration, Instant};

use contract::Revision;
use wire::client::{RpcRuntime, StateClient};
use wire::state::{Claim, Claimed};

use crate::nodes::Nodes;
use crate::process::cpu_ms;

const RUN_TIME: Duration = Duration::from_secs(5);

pub(crate) fn run(program: &Path) {
    let nodes = Nodes::start(program, 3);
    println!(
        "{:>10} {:>10} {:>8} {:>8} {:>8} {:>22}",
        "concurrent", "claims/s", "p50 ms", "p99 ms", "max ms", "CPU ms/claim, group"
    );
    for callers in [1, 16, 128] {
        let before = cpu(&nodes);
        let calls = RpcRuntime::start(4, Duration::from_secs(5)).unwrap();
        let work = |caller| one_caller(&nodes, &calls, callers, caller);
        let mut times: Vec<f64> = thread::scope(|scope| {
            let threads: Vec<_> = (0..callers).map(|caller| scope.spawn(move || work(caller))).collect();
            threads.into_iter().flat_map(|thread| thread.join().unwrap()).collect()
        });
        times.sort_by(f64::total_cmp);
        let at = |share: f64| times[((times.len() - 1) as f64 * share) as usize];
        let rate = times.len() as f64 / RUN_TIME.as_secs_f64();
        let spent = (cpu(&nodes) - before) / times.len() as f64;
        println!(
            "{callers:>10} {rate:>10.0} {:>8.2} {:>8.2} {:>8.2} {spent:>22.3}",
            at(0.5),
            at(0.99),
            at(1.0)
        );
    }
}

fn one_caller(nodes: &Nodes, calls: &RpcRuntime, callers: usize, caller: usize) -> Vec<f64> {
    let client = StateClient::new(calls, &"measure".into(), &nodes.inner).unwrap();
    let begin = Instant::now();
    let mut times = Vec::new();
    while begin.elapsed() < RUN_TIME {
        let key = format!("deposit-{callers}-{caller}-{}", times.len());
        let claim = Claim {
            group: 0,
            customer: "customer".into(),
            request: format!("request-{key}").into(),
            key,
            digest: "0".repeat(64),
            hold_ms: 10_000,
        };
        let sent = Instant::now();
        assert_eq!(client.claim(Revision(1), &claim).unwrap(), Claimed::Granted);
        times.push(sent.elapsed().as_secs_f64() * 1_000.0);
    }
    times
}

fn cpu(nodes: &Nodes) -> f64 {
    (0..nodes.inner.len()).filter_map(|n| nodes.pid(n)).map(cpu_ms).sum()
}
