//! Time until a configuration change is in force on every entry host.

use std::net::SocketAddr;
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use contract::{Change, CustomerId, Revision};
use wire::state::{Propose, Proposed};

use crate::nodes::{Nodes, own_addresses, wait};

const ENTRY_HOSTS: usize = 8;
const CHANGES: usize = 200;

pub(crate) fn run(state: &Path, entry: &Path) {
    let nodes = Nodes::start(state, 3);
    let ops = own_addresses(ENTRY_HOSTS);
    let peers: Vec<String> = nodes.inner.iter().map(ToString::to_string).collect();
    let start = |(number, ops): (usize, &SocketAddr)| {
        Command::new(entry)
            .args(["--node", &format!("entry-{number}"), "--data-center", "dc-1"])
            .args(["--state", &peers.join(","), "--ops", &ops.to_string()])
            .stdout(Stdio::null())
            .stderr(Stdio::null())
            .spawn()
            .unwrap()
    };
    let hosts: Vec<Child> = ops.iter().enumerate().map(start).collect();
    let mut times: Vec<Duration> = (0..CHANGES).map(|number| time_change(&nodes, &ops, number)).collect();
    times.sort();
    println!(
        "{CHANGES} changes in force on {ENTRY_HOSTS} entry hosts: {:?} at the median, {:?} at most",
        times[CHANGES / 2],
        times[CHANGES - 1]
    );
    for mut host in hosts {
        host.kill().unwrap();
        host.wait().unwrap();
    }
}

/// Makes a change and returns the time until every host's metrics show its revision.
fn time_change(nodes: &Nodes, ops: &[SocketAddr], number: usize) -> Duration {
    let ask = Propose {
        id: format!("force-{number}").as_str().into(),
        base: None,
        operator: "measure".to_owned(),
        change: Change::DropContract(CustomerId::from("nobody")),
    };
    let begin = Instant::now();
    let Proposed::Accepted(revision) = nodes.client.propose(Revision(1), &ask).unwrap() else {
        panic!("the change was not accepted");
    };
    for host in ops {
        wait("the revision", || (scrape(*host)? >= revision.0 as f64).then_some(()));
    }
    begin.elapsed()
}

/// Returns the configuration revision in a host's metrics.
fn scrape(host: SocketAddr) -> Option<f64> {
    let text = ureq::get(format!("http://{host}/metrics"))
        .call()
        .ok()?
        .body_mut()
        .read_to_string()
        .ok()?;
    let line = text
        .lines()
        .find(|line| line.starts_with("gentian_config_revision "))?
        .to_owned();
    line.rsplit(' ').next()?.parse().ok()
}
