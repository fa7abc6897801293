//! Hosts that refused a connection once get work again.

mod common;

use std::thread::sleep;
use std::time::{Duration, Instant};

use common::client::call;
use common::{Host, Standin, TIMEOUT, config, free_address, service};
use entry::cli::Options;

/// A service restarts, and both entry hosts see a refused connection meanwhile. Only one of them polls the service; the
/// other one must learn from its digests that the service is back, or it would refuse its callers for ever.
#[test]
fn restart_recovers() {
    let till = free_address();
    let inner = [free_address(), free_address()];
    let peers = format!("{},{}", inner[0], inner[1]);
    let hosts: Vec<Host> = ["entry-1", "entry-2"]
        .iter()
        .zip(inner)
        .map(|(node, own)| {
            let options = Options {
                node: Some((*node).to_owned()),
                inner: Some(own.to_string()),
                peers: Some(peers.clone()),
                ..Options::default()
            };
            Host::with(config([service("t", "till", till)]), options)
        })
        .collect();
    let until = Instant::now() + TIMEOUT;
    while hosts.iter().any(|host| host.entry.live_hosts.load().count() < 2) {
        assert!(Instant::now() < until, "the entry hosts did not hear each other");
        sleep(Duration::from_millis(20));
    }
    for host in &hosts {
        assert_eq!(call(host.address, "GET", "/services/till/stock", &[], b"").status, 503);
    }
    let _back = Standin::start("service", &["--listen", &till.to_string()]);
    // The wait begins when the service is back: starting it may include building it.
    let until = Instant::now() + TIMEOUT;
    for host in &hosts {
        while call(host.address, "GET", "/services/till/stock", &[], b"").status != 200 {
            assert!(Instant::now() < until, "{} still refuses", host.entry.settings.node);
            sleep(Duration::from_millis(50));
        }
    }
}
