//! Restart of a node that missed log entries: time until it has caught up, and bytes that it receives.

use std::fs;
use std::path::Path;
use std::thread;
use std::time::{Duration, Instant};

use contract::Revision;
use wire::client::{RpcRuntime, StateClient};
use wire::state::{Lease, Leased};

use crate::nodes::Nodes;

const CALLERS: usize = 64;

pub(crate) fn run(program: &Path) {
    println!(
        "{:>8} {:>12} {:>14} {:>14} {:>12}",
        "missed", "caught up", "log+snapshot", "MB received", "start alone"
    );
    for missed in [500, 50_000, 150_000] {
        let mut nodes = Nodes::start(program, 3);
        let away = (nodes.leader() + 1) % 3;
        write(&nodes, 100);
        nodes.caught_up(away);
        nodes.kill(away);
        write(&nodes, missed);
        let before = sent_bytes(&nodes);
        nodes.run(away);
        let begin = Instant::now();
        nodes.caught_up(away);
        let caught_up = begin.elapsed();
        let moved = sent_bytes(&nodes) - before;
        let disk = folder_bytes(&nodes.data(away));
        nodes.kill(away);
        nodes.run(away);
        let begin = Instant::now();
        nodes.caught_up(away);
        println!(
            "{missed:>8} {caught_up:>12.0?} {:>11.2} MB {:>14.2} {:>12.0?}",
            disk as f64 / 1e6,
            moved / 1e6,
            begin.elapsed()
        );
    }
}

/// Writes log entries of about the size of a claim that add little state: renewals of a few leases.
fn write(nodes: &Nodes, count: usize) {
    let calls = RpcRuntime::start(4, Duration::from_secs(5)).unwrap();
    thread::scope(|scope| {
        for caller in 0..CALLERS {
            let client = StateClient::new(&calls, &"measure".into(), &nodes.inner).unwrap();
            let lease = Lease {
                name: format!("lease-{caller}"),
                holder: format!("measure-{}", "x".repeat(200)).as_str().into(),
                ttl_ms: 60_000,
            };
            scope.spawn(move || {
                for _ in 0..count.div_ceil(CALLERS) {
                    let answer = client.lease(Revision(1), &lease).unwrap();
                    assert!(matches!(answer, Leased::Held { .. }), "{answer:?}");
                }
            });
        }
    });
}

/// Returns the bytes that the nodes have sent to each other so far.
fn sent_bytes(nodes: &Nodes) -> f64 {
    let scrape = |n: usize| {
        let text = ureq::get(format!("http://{}/metrics", nodes.admin[n]))
            .call()
            .ok()?
            .body_mut()
            .read_to_string()
            .ok()?;
        let line = text
            .lines()
            .find(|line| line.starts_with("gentian_state_sent_bytes_total"))?
            .to_owned();
        line.rsplit(' ').next()?.parse::<f64>().ok()
    };
    (0..3).filter_map(scrape).sum()
}

fn folder_bytes(folder: &Path) -> u64 {
    fs::read_dir(folder)
        .unwrap()
        .flatten()
        .map(|file| file.metadata().unwrap().len())
        .sum()
}
