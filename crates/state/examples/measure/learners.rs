//! Control traffic and CPU time of the group for each entry host that follows it.

use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;
use std::time::Duration;

use contract::{Change, CustomerId, Revision};
use wire::state::{Propose, Proposed};

use crate::nodes::Nodes;
use crate::process::{cpu_ms, memory_mib};
use crate::relay;

const RUN_TIME: Duration = Duration::from_secs(10);
const HOST_COUNTS: [usize; 4] = [3, 8, 16, 32];
/// Changes in the measured time; one in 17.28 s would be 5,000 a day.
const CHANGES: u64 = 1;

pub(crate) fn run(state: &Path, entry: &Path) {
    let nodes = Nodes::start(state, 3);
    let bytes = Arc::new(AtomicU64::new(0));
    let relays: Vec<String> = nodes
        .inner
        .iter()
        .map(|to| relay::start(*to, &bytes).to_string())
        .collect();
    let relays = relays.join(",");
    let mut learners: Vec<Child> = Vec::new();
    let mut rows = Vec::new();
    println!(
        "{:>8} {:>14} {:>18} {:>18} {:>12}",
        "learners", "bytes/s each", "CPU ms/s, 3 nodes", "CPU ms/s, a host", "MiB a host"
    );
    for count in HOST_COUNTS {
        while learners.len() < count {
            learners.push(learner(entry, &relays, learners.len()));
        }
        thread::sleep(Duration::from_secs(3));
        let state = || (0..3).filter_map(|n| nodes.pid(n)).map(cpu_ms).sum::<f64>();
        let hosts = || learners.iter().map(|child| cpu_ms(child.id())).sum::<f64>();
        let (sent, nodes_before, hosts_before) = (bytes.load(Ordering::Relaxed), state(), hosts());
        (0..CHANGES).for_each(|number| change(&nodes, count, number));
        thread::sleep(RUN_TIME);
        let seconds = RUN_TIME.as_secs_f64();
        let sent = (bytes.load(Ordering::Relaxed) - sent) as f64 / seconds;
        let used = (state() - nodes_before) / seconds;
        let host = (hosts() - hosts_before) / seconds / count as f64;
        let memory = learners.iter().map(|child| memory_mib(child.id())).sum::<f64>() / count as f64;
        println!(
            "{count:>8} {:>14.0} {used:>18.2} {host:>18.2} {memory:>12.1}",
            sent / count as f64
        );
        rows.push((count as f64, sent, used));
    }
    println!(
        "slope for each learner: {:.0} bytes/s, {:.3} ms/s of the three nodes together",
        slope(&rows, |row| row.1),
        slope(&rows, |row| row.2)
    );
    for mut child in learners {
        child.kill().unwrap();
        child.wait().unwrap();
    }
}

fn learner(entry: &Path, state: &str, number: usize) -> Child {
    Command::new(entry)
        .args([
            "--node",
            &format!("entry-{number}"),
            "--data-center",
            "dc-1",
            "--state",
            state,
        ])
        .stdout(Stdio::null())
        .stderr(Stdio::null())
        .spawn()
        .unwrap()
}

fn change(nodes: &Nodes, count: usize, number: u64) {
    let ask = Propose {
        id: format!("measure-{count}-{number}").as_str().into(),
        base: None,
        operator: "measure".to_owned(),
        change: Change::DropContract(CustomerId::from("nobody")),
    };
    let answer = nodes.client.propose(Revision(1), &ask).unwrap();
    assert!(matches!(answer, Proposed::Accepted(_)), "{answer:?}");
}

/// Returns the slope of a line fitted through the points.
fn slope(rows: &[(f64, f64, f64)], of: impl Fn(&(f64, f64, f64)) -> f64) -> f64 {
    let count = rows.len() as f64;
    let mean_x = rows.iter().map(|row| row.0).sum::<f64>() / count;
    let mean_y = rows.iter().map(&of).sum::<f64>() / count;
    let rise: f64 = rows.iter().map(|row| (row.0 - mean_x) * (of(row) - mean_y)).sum();
    let run: f64 = rows.iter().map(|row| (row.0 - mean_x).powi(2)).sum();
    rise / run
}
