//! Which entry host keeps a copy of which host's counts for the burn report.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use entry::burn::next_peer;

fn addresses(count: u16) -> Vec<SocketAddr> {
    (1..=count)
        .rev()
        .map(|port| SocketAddr::from(([127, 0, 0, 1], port)))
        .collect()
}

/// Every host must be copied by another one. Without a copy it loses its counts at a restart, and the customer's error
/// budget looks unused again.
#[test]
fn every_host_copied() {
    let all = addresses(7);
    let asked: BTreeSet<SocketAddr> = all.iter().filter_map(|own| next_peer(&all, *own)).collect();
    assert_eq!(asked.len(), all.len());
    assert!(all.iter().all(|own| next_peer(&all, *own) != Some(*own)));
}

#[test]
fn single_host() {
    let all = addresses(1);
    assert_eq!(next_peer(&all, all[0]), None);
}
