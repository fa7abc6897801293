//! Which hosts pass on requests of one that is cut off.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use contract::{NodeId, RelayHost, ServiceName, Zone};
use policy::Tick;
use policy::relays::{RelayDirectory, Relays, list_mark};

const ZONES: [&str; 4] = ["za", "zb", "zc", "zd"];
/// Time at which a leader names hosts: its first reports have come in.
const NOW: Tick = Tick::from_millis(2_000);

fn address(index: usize) -> SocketAddr {
    ([127, 0, 0, 1], 1_000 + index as u16).into()
}

fn host(index: usize, isolated: &[&str]) -> RelayHost {
    RelayHost {
        address: address(index),
        zone: Zone::from(ZONES[index % ZONES.len()]),
        isolated: isolated.iter().map(|service| ServiceName::from(*service)).collect(),
    }
}

fn node(index: usize) -> NodeId {
    NodeId::from(format!("e{index}"))
}

/// Returns a leader's view of some hosts; `isolated` tells which are cut off from the service `m`.
fn directory(hosts: usize, isolated: impl Fn(usize) -> bool) -> RelayDirectory {
    let mut directory = RelayDirectory::default();
    for index in 0..hosts {
        let services: &[&str] = if isolated(index) { &["m"] } else { &[] };
        let host = host(index, services);
        directory.record(&node(index), &host.zone.clone(), Some(host), NOW);
    }
    directory
}

fn named(directory: &RelayDirectory, index: usize) -> Vec<RelayHost> {
    directory.named_to(&node(index), &Zone::from(ZONES[index % ZONES.len()]), NOW)
}

fn relays(hosts: Vec<RelayHost>) -> Relays {
    let mut relays = Relays::default();
    relays.adopt(hosts);
    relays
}

/// Guards against requests that leave the data centre, or return to their own host, while a neighbour could pass them on.
#[test]
fn own_zone_first() {
    let directory = directory(8, |_| false);
    let hosts = named(&directory, 0);
    assert_eq!(hosts[0], host(4, &[]), "the only neighbour");
    assert_eq!(hosts.len(), 7, "all others: {hosts:?}");
    assert!(!hosts.contains(&host(0, &[])));
}

/// Guards against all hosts of a data centre that is cut off asking the same few.
#[test]
fn spread_over_hosts() {
    let directory = directory(200, |index| index % ZONES.len() == 0);
    let mut asked: BTreeMap<SocketAddr, usize> = BTreeMap::new();
    for index in (0..200).step_by(ZONES.len()) {
        let relays = relays(named(&directory, index));
        let chosen = relays
            .choose(&ServiceName::from("m"), &Zone::from("za"), &[], NOW)
            .unwrap();
        *asked.entry(chosen).or_default() += 1;
    }
    let most = asked.values().max().unwrap();
    assert!(*most <= 6, "one host is asked by {most} of 50: {asked:?}");
}

/// Guards against asking hosts that stop, are gone, or are cut off themselves.
#[test]
fn unable_hosts() {
    let mut directory = directory(8, |index| index == 4);
    directory.record(&node(1), &Zone::from(ZONES[1]), None, NOW);
    let hosts = named(&directory, 0);
    assert!(!hosts.contains(&host(1, &[])));
    let relays = relays(hosts);
    let chosen = relays.choose(&ServiceName::from("m"), &Zone::from("za"), &[], NOW);
    assert_ne!(chosen, Some(address(4)), "cut off from the service");
    let other = relays.choose(&ServiceName::from("n"), &Zone::from("za"), &[], NOW);
    assert_eq!(other, Some(address(4)), "reaches another service");
    let later = Tick::from_millis(9_000);
    assert!(directory.named_to(&node(0), &Zone::from("za"), later).is_empty());
}

/// Guards against hosts that lose the ones they know when a new leader has heard of few, or of none.
#[test]
fn new_leader() {
    let mut directory = RelayDirectory::new(NOW);
    directory.record(&node(1), &Zone::from("zb"), Some(host(1, &[])), NOW);
    assert!(named(&directory, 0).is_empty());
    let mut relays = relays(vec![host(5, &[])]);
    relays.adopt(Vec::new());
    assert!(relays.names(address(5)));
}

/// Guards against many connections through one host while others have none.
#[test]
fn fewest_connections() {
    let mut relays = relays(vec![host(4, &[]), host(1, &[])]);
    let service = ServiceName::from("m");
    let choose = |relays: &Relays| relays.choose(&service, &Zone::from("za"), &[], NOW);
    let mut opened = 0;
    while choose(&relays) == Some(address(4)) {
        relays.record_opened(address(4));
        opened += 1;
        assert!(opened < 100, "the other host is never asked");
    }
    assert!(opened > 0);
    relays.record_closed(address(4));
    assert_eq!(choose(&relays), Some(address(4)));
}

/// Guards against asking a host again that has just refused, and against leaving it for all services.
#[test]
fn refused_lately() {
    let mut relays = relays(vec![host(4, &[])]);
    let (service, other) = (ServiceName::from("m"), ServiceName::from("n"));
    relays.record_refused(address(4), &service, NOW);
    let zone = Zone::from("za");
    assert_eq!(relays.choose(&service, &zone, &[], NOW), None);
    assert_eq!(relays.choose(&other, &zone, &[], NOW), Some(address(4)));
    assert_eq!(
        relays.choose(&service, &zone, &[], Tick::from_millis(2_600)),
        Some(address(4))
    );
}

/// Guards against a list that is told again in each heartbeat, or a change of it that is not told.
#[test]
fn marks_differ() {
    let list = [host(1, &[]), host(2, &[])];
    assert_eq!(list_mark(&list), list_mark(&list.clone()));
    assert_ne!(list_mark(&list), list_mark(&[host(1, &["m"]), host(2, &[])]));
    assert_ne!(list_mark(&[]), 0);
}
