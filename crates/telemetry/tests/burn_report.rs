//! The burn report over several entry hosts.

use std::time::Duration;

use contract::{ClassName, CustomerId, HostId, NodeId, Targets, Zone};
use quickcheck::{Gen, QuickCheck};
use telemetry::burn::{
    Alert, Cause, EndedRequest, MAX_MISS_ROWS, Part, Report, RequestCounters, RequestEnd, Window, miss_cause,
};

const NOW: u64 = 1_800_000_000;
const SEED: u64 = 9;
const TARGETS: Targets = Targets {
    first_token_ms: Some(1_000),
    between_tokens_ms: Some(60),
    whole_answer_ms: 10_000,
};

struct Names {
    customer: CustomerId,
    class: ClassName,
    host: HostId,
    zone: Zone,
}

impl Names {
    fn new() -> Self {
        Self {
            customer: CustomerId::from("mwangaza"),
            class: ClassName::from("seat-lookup"),
            host: HostId::from("host-1"),
            zone: Zone::from("zone-1"),
        }
    }

    /// A request that met every target.
    fn good(&self) -> EndedRequest<'_> {
        EndedRequest {
            customer: &self.customer,
            class: &self.class,
            targets: &TARGETS,
            end: RequestEnd::Completed,
            queued: Duration::from_millis(100),
            first: Some(Duration::from_millis(400)),
            between: Some(Duration::from_millis(20)),
            whole: Duration::from_secs(2),
            failures: 0,
            reclaimed: false,
            host: Some((&self.host, &self.zone)),
        }
    }

    fn refused(&self) -> EndedRequest<'_> {
        EndedRequest {
            end: RequestEnd::Refused,
            host: None,
            ..self.good()
        }
    }
}

fn report(parts: Vec<Part>, now: u64) -> Report {
    Report::new(parts, Vec::new(), now)
}

fn part(ledger: &RequestCounters, node: &str, now: u64) -> Part {
    ledger.node_counts(&NodeId::from(node), now)
}

#[test]
fn causes_told() {
    let names = Names::new();
    let good = names.good();
    let ms = Duration::from_millis;
    let late = EndedRequest {
        first: Some(ms(1_500)),
        ..good
    };
    let cases = [
        (good, None),
        (names.refused(), Some(Cause::Refusal)),
        (
            EndedRequest {
                failures: 1,
                ..names.refused()
            },
            Some(Cause::UpstreamFault),
        ),
        (
            EndedRequest {
                queued: ms(900),
                ..late
            },
            Some(Cause::Queue),
        ),
        (late, Some(Cause::Prefill)),
        (
            EndedRequest {
                between: Some(ms(80)),
                ..good
            },
            Some(Cause::Slow),
        ),
        (
            EndedRequest {
                reclaimed: true,
                failures: 1,
                ..late
            },
            Some(Cause::Reclaim),
        ),
        (EndedRequest { failures: 1, ..late }, Some(Cause::UpstreamFault)),
        (
            EndedRequest {
                end: RequestEnd::Failed,
                ..good
            },
            Some(Cause::UpstreamFault),
        ),
        // A failure that was made good in time burns nothing, and neither do a limit and a caller who left.
        (EndedRequest { failures: 2, ..good }, None),
        (
            EndedRequest {
                end: RequestEnd::Limited,
                ..late
            },
            None,
        ),
        (
            EndedRequest {
                end: RequestEnd::CallerGone,
                ..late
            },
            None,
        ),
    ];
    for (served, expected) in cases {
        assert_eq!(miss_cause(&served), expected, "{served:?}");
    }
}

#[test]
fn windows_apart() {
    // Misses of two hours ago burn the long windows and no longer the short ones.
    let names = Names::new();
    let ledger = RequestCounters::default();
    for _ in 0..10 {
        ledger.record_at(&names.refused(), NOW - 7_200);
    }
    for _ in 0..90 {
        ledger.record_at(&names.good(), NOW);
    }
    let report = report(vec![part(&ledger, "a", NOW)], NOW);
    let row = &report.rows[0];
    let missed: Vec<u64> = row.windows.iter().map(|window| window.missed).collect();
    assert_eq!(missed, [0, 0, 10, 10]);
    let burn = row.windows[2].burn;
    assert!(
        (burn - 2.0).abs() < 1e-9,
        "a tenth missed of a twentieth allowed: {burn}"
    );
    assert!((row.budget_left + 1.0).abs() < 1e-9);
    assert_eq!(row.alert, Alert::Overdrawn);
}

#[test]
fn hosts_merge() {
    // Requests spread over entry hosts in any way give the same report as if one host had had them all.
    fn same(mut ends: Vec<(u8, u8, u16)>) -> bool {
        ends.sort_by_key(|(_, _, ago)| std::cmp::Reverse(*ago));
        let names = Names::new();
        let spread = [
            RequestCounters::default(),
            RequestCounters::default(),
            RequestCounters::default(),
        ];
        let single = RequestCounters::default();
        for (host, kind, ago) in ends {
            let served = if kind % 3 == 0 { names.refused() } else { names.good() };
            let at = NOW - u64::from(ago);
            spread[usize::from(host) % 3].record_at(&served, at);
            single.record_at(&served, at);
        }
        let parts = ["a", "b", "c"].iter().zip(&spread);
        let many = report(parts.map(|(node, ledger)| part(ledger, node, NOW)).collect(), NOW);
        many.rows == report(vec![part(&single, "a", NOW)], NOW).rows
    }
    println!("seed {SEED}");
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(100, SEED))
        .quickcheck(same as fn(Vec<(u8, u8, u16)>) -> bool);
}

/// An entry host is restarted and has forgotten what it counted. Its peer remembers, so that a customer whose budget was
/// used up an hour ago doesn't look fine; and nothing is counted twice when both tell of the same process.
#[test]
fn restart_remembered() {
    let names = Names::new();
    let (peer, before) = (RequestCounters::default(), RequestCounters::default());
    before.record_at(&names.refused(), NOW - 60);
    let mut old = part(&before, "a", NOW - 30);
    old.started_ms = 1;
    peer.store_peer_counts(vec![old.clone()], NOW - 30);
    peer.record_at(&names.good(), NOW);
    let mut parts = peer.peer_counts();
    parts.extend([part(&peer, "b", NOW), old]);
    let report = report(parts, NOW);
    assert_eq!(report.nodes.len(), 2);
    assert_eq!(
        (report.rows[0].windows[0].requests, report.rows[0].windows[0].missed),
        (2, 1)
    );
}

#[test]
fn old_forgotten() {
    let (peer, before) = (RequestCounters::default(), RequestCounters::default());
    let mut old = part(&before, "a", NOW);
    old.started_ms = 1;
    peer.store_peer_counts(vec![old], NOW);
    assert_eq!(peer.peer_counts().len(), 1);
    peer.store_peer_counts(Vec::new(), NOW + 2 * Window::Days3.length());
    assert!(peer.peer_counts().is_empty());
}

/// A wave takes away more hosts than a bucket names. The misses of the rest must still be counted.
#[test]
fn many_hosts() {
    let names = Names::new();
    let ledger = RequestCounters::default();
    let hosts: Vec<HostId> = (0..2 * MAX_MISS_ROWS)
        .map(|at| HostId::from(format!("host-{at}")))
        .collect();
    for host in &hosts {
        let served = EndedRequest {
            end: RequestEnd::Failed,
            reclaimed: true,
            host: Some((host, &names.zone)),
            ..names.good()
        };
        ledger.record_at(&served, NOW);
    }
    let report = report(vec![part(&ledger, "a", NOW)], NOW);
    let window = &report.rows[0].windows[0];
    assert_eq!(window.missed, hosts.len() as u64);
    assert!(window.causes.len() <= MAX_MISS_ROWS + 1);
}

#[test]
fn act_now() {
    let names = Names::new();
    let ledger = RequestCounters::default();
    for at in 0..100 {
        let served = if at % 2 == 0 { names.refused() } else { names.good() };
        ledger.record_at(&served, NOW - at);
    }
    let report = report(vec![part(&ledger, "a", NOW)], NOW);
    assert_eq!(report.rows[0].alert, Alert::ActNow);
    let text = serde_json::to_string(&report).expect("a report is plain data");
    assert_eq!(
        serde_json::from_str::<Report>(&text)
            .expect("it reads its own writing")
            .rows
            .len(),
        1
    );
}
