//! Time without a leader after the leader's process was killed.

use std::path::Path;
use std::time::{Duration, Instant};

use contract::Revision;
use wire::state::{Lease, Leased};

use crate::nodes::{Nodes, wait};

const KILLS: usize = 20;

pub(crate) fn run(program: &Path) {
    let mut nodes = Nodes::start(program, 3);
    let mut times = Vec::new();
    for number in 0..KILLS {
        let leader = nodes.leader();
        (0..3).for_each(|n| nodes.caught_up(n));
        nodes.kill(leader);
        let begin = Instant::now();
        // A successful write proves that there is a leader again.
        wait("a write", || write(&nodes, number));
        times.push(begin.elapsed());
        nodes.run(leader);
        nodes.caught_up(leader);
        std::thread::sleep(Duration::from_millis(700));
    }
    times.sort();
    println!(
        "{KILLS} kills of the leader: without one for {:?} at the median, {:?} at most",
        times[KILLS / 2],
        times[KILLS - 1]
    );
}

fn write(nodes: &Nodes, number: usize) -> Option<()> {
    let lease = Lease {
        name: format!("measure-{number}"),
        holder: "measure".into(),
        ttl_ms: 1_000,
    };
    matches!(nodes.client.lease(Revision(1), &lease), Ok(Leased::Held { .. })).then_some(())
}
