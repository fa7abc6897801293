//! Hosts that are cut off from all upstreams, while callers and other hosts still reach them.

mod common;

use std::thread;
use std::time::{Duration, Instant};

use common::{Cut, CutLink, Host, Leader, Upstream, listed, respond};
use contract::RetryMode;

/// Time after the beginning of a cut from which callers of a cut host have to be served like others.
const CONTACT_TIME: Duration = Duration::from_secs(3);
/// Callers of a host, the time between two requests of each, and requests of each that are counted.
const CALLERS: usize = 6;
const REQUEST_PAUSE: Duration = Duration::from_millis(60);
const REQUESTS: usize = 20;
/// Time that an upstream takes, so that callers need several connections at once.
const RUN_TIME: Duration = Duration::from_millis(20);
/// Time after a cut within which a host has noticed its end: twice the pause between two probes.
const RECOVERY_TIME: Duration = Duration::from_secs(1);
/// Time that callers wait for a response.
const DEADLINE_MS: u64 = 1_500;

/// Entry hosts of which the first can be cut off.
struct CutSystem {
    hosts: Vec<Host>,
    links: Vec<CutLink>,
    _leader: Leader,
    _upstreams: Vec<Upstream>,
}

impl CutSystem {
    fn start() -> Self {
        let answer = || {
            Upstream::start(Box::new(|request, stream| {
                thread::sleep(RUN_TIME);
                respond(request, stream, "200 OK", "Signed: s\r\n", "done")
            }))
        };
        let upstreams: Vec<Upstream> = (0..3).map(|_| answer()).collect();
        let links: Vec<CutLink> = upstreams
            .iter()
            .map(|upstream| CutLink::start(upstream.address))
            .collect();
        let reached: Vec<&Upstream> = upstreams.iter().collect();
        let shared = || Host::shared(RetryMode::Once, 1, DEADLINE_MS, &reached);
        let cut_off = shared();
        let mut list = listed(&reached);
        for (entry, link) in list.iter_mut().zip(&links) {
            entry.address = link.address;
        }
        cut_off.new_list.lock().as_mut().unwrap().0 = list;
        let all = [cut_off, shared(), shared()];
        let hosts = all.clone().map(Host::run);
        Self {
            hosts: hosts.into(),
            links,
            _leader: Leader::start(&all),
            _upstreams: upstreams,
        }
    }

    fn cut(&self, cut: Cut) {
        for link in &self.links {
            link.set(cut);
        }
    }

    /// Lets callers of a host send `count` requests each; returns how many were served.
    fn load(host: &Host, callers: usize, count: usize) -> usize {
        let request = || {
            let sent = Instant::now();
            let headers = format!("Wait-Ms: {DEADLINE_MS}\r\n");
            let served = host.request(&headers, "body").status == 200;
            thread::sleep(REQUEST_PAUSE.saturating_sub(sent.elapsed()));
            served
        };
        let call = || (0..count).filter(|_| request()).count();
        thread::scope(|scope| {
            let callers: Vec<_> = (0..callers).map(|_| scope.spawn(call)).collect();
            callers.into_iter().map(|caller| caller.join().unwrap()).sum()
        })
    }
}

/// Cuts a host off after some requests, and compares its callers with those of another host.
fn check_served(cut: Cut) {
    let system = CutSystem::start();
    for host in &system.hosts {
        assert_eq!(CutSystem::load(host, 1, 5), 5, "before the cut");
    }
    system.cut(cut);
    let began = Instant::now();
    while began.elapsed() < CONTACT_TIME {
        CutSystem::load(&system.hosts[0], CALLERS, 1);
    }
    let served = thread::scope(|scope| {
        let loads = system.hosts[..2]
            .iter()
            .map(|host| scope.spawn(|| CutSystem::load(host, CALLERS, REQUESTS)));
        let loads: Vec<_> = loads.collect();
        loads.into_iter().map(|load| load.join().unwrap()).collect::<Vec<_>>()
    });
    assert!(
        served[0] * 3 >= served[1] * 2,
        "the host that is cut off served {} of {} requests, another one {}",
        served[0],
        REQUESTS * CALLERS,
        served[1]
    );
}

/// Guards against a host that refuses what its neighbours could serve, while its own connections hang.
#[test]
fn connections_hang() {
    check_served(Cut::Hang);
}

/// Guards against a host that refuses what its neighbours could serve, while its own connections are reset.
#[test]
fn connections_reset() {
    check_served(Cut::Reset);
}

/// Guards against a host that takes connections which live on for a sign that it can open new ones.
#[test]
fn old_live_on() {
    check_served(Cut::RefuseNew);
}

/// Guards against a host that refuses for as long as it was cut off after its links are back, since the failures of its
/// own link count against the upstreams.
#[test]
fn served_after_cut() {
    let system = CutSystem::start();
    // All hosts but the cut one stop, so that nobody relays.
    for host in &system.hosts[1..] {
        host.stop();
    }
    thread::sleep(Duration::from_millis(500));
    assert_eq!(CutSystem::load(&system.hosts[0], 1, 5), 5, "before the cut");
    system.cut(Cut::Close);
    let began = Instant::now();
    while began.elapsed() < CONTACT_TIME * 2 {
        CutSystem::load(&system.hosts[0], CALLERS, 1);
    }
    system.cut(Cut::None);
    thread::sleep(RECOVERY_TIME);
    let served = CutSystem::load(&system.hosts[0], CALLERS, REQUESTS);
    assert_eq!(served, CALLERS * REQUESTS);
}
