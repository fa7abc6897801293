//! The burn report over several entry hosts.

use std::time::Duration;

use contract::{ClassName, CustomerId, HostId, NodeId, Targets, Zone};
use quickcheck::{Gen, QuickCheck};
use telemetry::burn::{
    Alert, Cause, EndedRequest, MAX_MISS_ROWS, NodeCounts, Report, RequestCounters, RequestEnd, Window, miss_cause,
};

const NOW_S: u64 = 1_800_000_000;
const SEED: u64 = 9;
const TARGETS: Targets = Targets {
    first_token_ms: Some(1_000),
    between_tokens_ms: Some(60),
    whole_answer_ms: 10_000,
};

struct Fixture {
    customer: CustomerId,
    class: ClassName,
    host: HostId,
    zone: Zone,
}

impl Fixture {
    fn new() -> Self {
        Self {
            customer: CustomerId::from("mwangaza"),
            class: ClassName::from("seat-lookup"),
            host: HostId::from("host-1"),
            zone: Zone::from("zone-1"),
        }
    }

    /// Returns a request that met all targets.
    fn on_time(&self) -> EndedRequest<'_> {
        EndedRequest {
            customer: &self.customer,
            class: &self.class,
            targets: &TARGETS,
            end: RequestEnd::Completed,
            queue_time: Duration::from_millis(100),
            first_token: Some(Duration::from_millis(400)),
            token_gap: Some(Duration::from_millis(20)),
            total_time: Duration::from_secs(2),
            failures: 0,
            reclaimed: false,
            host: Some((&self.host, &self.zone)),
        }
    }

    fn refused(&self) -> EndedRequest<'_> {
        EndedRequest {
            end: RequestEnd::Refused,
            host: None,
            ..self.on_time()
        }
    }
}

fn report(parts: Vec<NodeCounts>, now: u64) -> Report {
    Report::new(parts, Vec::new(), now)
}

fn part(counters: &RequestCounters, node: &str, now: u64) -> NodeCounts {
    counters.node_counts(&NodeId::from(node), now)
}

#[test]
fn miss_causes() {
    let fixture = Fixture::new();
    let on_time = fixture.on_time();
    let ms = Duration::from_millis;
    let late = EndedRequest {
        first_token: Some(ms(1_500)),
        ..on_time
    };
    let cases = [
        (on_time, None),
        (fixture.refused(), Some(Cause::Refusal)),
        (
            EndedRequest {
                failures: 1,
                ..fixture.refused()
            },
            Some(Cause::UpstreamFault),
        ),
        (
            EndedRequest {
                queue_time: ms(900),
                ..late
            },
            Some(Cause::Queue),
        ),
        (late, Some(Cause::Prefill)),
        (
            EndedRequest {
                token_gap: Some(ms(80)),
                ..on_time
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
                ..on_time
            },
            Some(Cause::UpstreamFault),
        ),
        // A failed attempt followed by a response in time consumes no budget, nor do a limit and a disconnected caller.
        (EndedRequest { failures: 2, ..on_time }, None),
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
    for (request, expected) in cases {
        assert_eq!(miss_cause(&request), expected, "{request:?}");
    }
}

/// Misses two hours ago count in the long windows only.
#[test]
fn window_lengths() {
    let fixture = Fixture::new();
    let counters = RequestCounters::default();
    for _ in 0..10 {
        counters.record_at(&fixture.refused(), NOW_S - 7_200);
    }
    for _ in 0..90 {
        counters.record_at(&fixture.on_time(), NOW_S);
    }
    let report = report(vec![part(&counters, "a", NOW_S)], NOW_S);
    let row = &report.rows[0];
    let missed: Vec<u64> = row.windows.iter().map(|window| window.missed).collect();
    assert_eq!(missed, [0, 0, 10, 10]);
    let burn = row.windows[2].burn;
    assert!((burn - 2.0).abs() < 1e-9, "missed 10 % with 5 % allowed: {burn}");
    assert!((row.budget_left + 1.0).abs() < 1e-9);
    assert_eq!(row.alert, Alert::Overdrawn);
}

#[test]
fn merged_hosts() {
    // Requests spread over several entry hosts give the same report as all requests on a single host.
    fn same_report(mut ends: Vec<(u8, u8, u16)>) -> bool {
        ends.sort_by_key(|(_, _, ago)| std::cmp::Reverse(*ago));
        let fixture = Fixture::new();
        let hosts = [
            RequestCounters::default(),
            RequestCounters::default(),
            RequestCounters::default(),
        ];
        let single = RequestCounters::default();
        for (host, kind, ago) in ends {
            let request = if kind % 3 == 0 {
                fixture.refused()
            } else {
                fixture.on_time()
            };
            let at = NOW_S - u64::from(ago);
            hosts[usize::from(host) % 3].record_at(&request, at);
            single.record_at(&request, at);
        }
        let parts = ["a", "b", "c"].iter().zip(&hosts);
        let merged = report(
            parts.map(|(node, counters)| part(counters, node, NOW_S)).collect(),
            NOW_S,
        );
        merged.rows == report(vec![part(&single, "a", NOW_S)], NOW_S).rows
    }
    println!("seed {SEED}");
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(100, SEED))
        .quickcheck(same_report as fn(Vec<(u8, u8, u16)>) -> bool);
}

/// Guards against counts that are lost in a restart of an entry host, after which a consumed budget would look fine.
/// Its peer must report the counts that it stored; nothing may count twice if two parts describe the same process.
#[test]
fn restarted_host() {
    let fixture = Fixture::new();
    let (peer, before) = (RequestCounters::default(), RequestCounters::default());
    before.record_at(&fixture.refused(), NOW_S - 60);
    let mut old = part(&before, "a", NOW_S - 30);
    old.started_ms = 1;
    peer.store_peer_counts(vec![old.clone()], NOW_S - 30);
    peer.record_at(&fixture.on_time(), NOW_S);
    let mut parts = peer.peer_counts();
    parts.extend([part(&peer, "b", NOW_S), old]);
    let report = report(parts, NOW_S);
    assert_eq!(report.nodes.len(), 2);
    assert_eq!(
        (report.rows[0].windows[0].requests, report.rows[0].windows[0].missed),
        (2, 1)
    );
}

#[test]
fn expired_counts() {
    let (peer, before) = (RequestCounters::default(), RequestCounters::default());
    let mut old = part(&before, "a", NOW_S);
    old.started_ms = 1;
    peer.store_peer_counts(vec![old], NOW_S);
    assert_eq!(peer.peer_counts().len(), 1);
    peer.store_peer_counts(Vec::new(), NOW_S + 2 * Window::Days3.length_s());
    assert!(peer.peer_counts().is_empty());
}

/// Guards against misses that are lost when the cloud reclaims more hosts at once than one bucket can name.
#[test]
fn many_hosts() {
    let fixture = Fixture::new();
    let counters = RequestCounters::default();
    let hosts: Vec<HostId> = (0..2 * MAX_MISS_ROWS)
        .map(|at| HostId::from(format!("host-{at}")))
        .collect();
    for host in &hosts {
        let request = EndedRequest {
            end: RequestEnd::Failed,
            reclaimed: true,
            host: Some((host, &fixture.zone)),
            ..fixture.on_time()
        };
        counters.record_at(&request, NOW_S);
    }
    let report = report(vec![part(&counters, "a", NOW_S)], NOW_S);
    let window = &report.rows[0].windows[0];
    assert_eq!(window.missed, hosts.len() as u64);
    assert!(window.causes.len() <= MAX_MISS_ROWS + 1);
}

#[test]
fn urgent_alert() {
    let fixture = Fixture::new();
    let counters = RequestCounters::default();
    for at in 0..100 {
        let request = if at % 2 == 0 {
            fixture.refused()
        } else {
            fixture.on_time()
        };
        counters.record_at(&request, NOW_S - at);
    }
    let report = report(vec![part(&counters, "a", NOW_S)], NOW_S);
    assert_eq!(report.rows[0].alert, Alert::ActNow);
    let text = serde_json::to_string(&report).expect("a report can be serialized");
    assert_eq!(
        serde_json::from_str::<Report>(&text)
            .expect("a serialized report can be read")
            .rows
            .len(),
        1
    );
}
