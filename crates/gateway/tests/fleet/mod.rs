//! Replays the load of a large deployment on the choice of upstreams. Each entry host has a view of its own and learns
//! of the others through the leader; engines are simulated.

pub mod engine;
pub mod paces;

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;

use contract::{ListedUpstream, NodeId, ServiceName, Zone};
use gateway::dialect::ReportedLoad;
use gateway::upstreams::{ChosenUpstream, UpstreamNeed, Upstreams};
use policy::place::PromptPart;
use policy::{Tick, duration_from_secs};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use state::registry::{EntryRegistry, SharedLimits};
use wire::registry::Heartbeat;

use engine::{Engine, SLOTS, StepEvent};
use paces::EnginePaces;

/// A kind of request.
#[derive(Clone, Copy, Debug)]
pub struct RequestKind {
    /// Requests per second over all entry hosts.
    pub per_s: f64,
    /// Time in milliseconds within which the output must begin.
    pub target_ms: f64,
    /// Shared prompt parts, the outermost first: mean number of tokens, and number of variants.
    pub shared_parts: [(f64, u64); 2],
    /// Tokens of the request's own prompt part: mean, standard deviation of the logarithm, maximum.
    pub own_tokens: (f64, f64, f64),
    /// Output tokens: mean, standard deviation of the logarithm, maximum.
    pub output_tokens: (f64, f64, f64),
}

/// The load to replay.
#[derive(Clone, Debug)]
pub struct ReplayLoad {
    /// Number of entry hosts.
    pub hosts: usize,
    /// Number of engines.
    pub engines: usize,
    /// Kinds of requests.
    pub kinds: Vec<RequestKind>,
    /// Length of the replay in seconds.
    pub length_s: f64,
    /// Factors on the times of the engines, in rotation.
    pub time_factors: Vec<f64>,
    /// Interval between heartbeats of an entry host in seconds.
    pub heartbeat_s: f64,
}

/// What happened to the requests of a kind.
#[derive(Clone, Copy, Debug, Default)]
pub struct Outcome {
    /// Number of requests.
    pub all: u32,
    /// Requests whose output began too late.
    pub late: u32,
    /// Requests whose output began in time and then paused for too long.
    pub paused: u32,
    /// Requests that no upstream took.
    pub refused: u32,
}

/// Result of a replay.
#[derive(Clone, Debug, Default)]
pub struct Report {
    /// Outcomes by kind.
    pub kinds: Vec<Outcome>,
    /// Fraction of the shared prompt tokens that was prefilled again.
    pub read_again: f64,
}

#[derive(Debug)]
struct SentRequest {
    host: usize,
    kind: usize,
    arrived_ms: f64,
    chosen: ChosenUpstream,
    backlog_id: u64,
    late: bool,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrival(usize),
    StepEnd(usize),
    Heartbeat(usize),
}

struct Replay<'a> {
    load: &'a ReplayLoad,
    rng: StdRng,
    hosts: Vec<Upstreams>,
    engines: Vec<Engine>,
    requests: Vec<SentRequest>,
    events: BinaryHeap<Reverse<(u64, Event)>>,
    /// By engine, what the current step brings about at its end; `None` while it is idle.
    step_events: Vec<Option<Vec<StepEvent>>>,
    paces: EnginePaces,
    registry: EntryRegistry,
    report: Report,
}

/// Replays a load; equal seeds give equal results.
pub fn replay(load: &ReplayLoad, seed: u64) -> Report {
    replay_paced(load, EnginePaces::default(), seed)
}

/// Replays a load on engines of which some are slowed for a while; equal seeds give equal results.
pub fn replay_paced(load: &ReplayLoad, paces: EnginePaces, seed: u64) -> Report {
    let list: Vec<ListedUpstream> = (0..load.engines).map(listed).collect();
    let mut hosts: Vec<Upstreams> = (0..load.hosts).map(|_| Upstreams::default()).collect();
    for host in &mut hosts {
        host.update(list.clone(), Tick::default());
    }
    let mut replay = Replay {
        load,
        rng: StdRng::seed_from_u64(seed),
        hosts,
        engines: load
            .time_factors
            .iter()
            .cycle()
            .take(load.engines)
            .map(|factor| Engine::new(*factor))
            .collect(),
        requests: Vec::new(),
        events: BinaryHeap::new(),
        step_events: (0..load.engines).map(|_| None).collect(),
        paces,
        registry: EntryRegistry::default(),
        report: Report {
            kinds: vec![Outcome::default(); load.kinds.len()],
            read_again: 0.0,
        },
    };
    replay.run();
    replay.report
}

/// Returns the list entry of an upstream.
pub fn listed(index: usize) -> ListedUpstream {
    ListedUpstream {
        id: format!("u{index:03}"),
        start: 1,
        service: ServiceName::from("m"),
        address: ([127, 0, 0, 1], 1).into(),
        zone: Zone::from("z"),
        version: String::new(),
        slots: SLOTS as u32,
        leaving: false,
        reclaimable: false,
        cold: Duration::ZERO,
        left: None,
    }
}

impl Replay<'_> {
    fn run(&mut self) {
        for kind in 0..self.load.kinds.len() {
            self.push(0.0, Event::Arrival(kind));
        }
        for host in 0..self.load.hosts {
            let first = self.rng.random_range(0.0..self.load.heartbeat_s * 1_000.0);
            self.push(first, Event::Heartbeat(host));
        }
        while let Some(Reverse((us, event))) = self.events.pop() {
            let now_ms = us as f64 / 1_000.0;
            if now_ms > self.load.length_s * 1_000.0 {
                break;
            }
            match event {
                Event::Arrival(kind) => self.arrive(kind, now_ms),
                Event::StepEnd(index) => self.end_step(index, now_ms),
                Event::Heartbeat(host) => self.send_heartbeat(host, now_ms),
            }
        }
        let (prefilled, cached) = self.engines.iter().fold((0, 0), |sum, engine| {
            (sum.0 + engine.shared_tokens.0, sum.1 + engine.shared_tokens.1)
        });
        self.report.read_again = prefilled as f64 / (prefilled + cached).max(1) as f64;
    }

    fn push(&mut self, at_ms: f64, event: Event) {
        self.events.push(Reverse(((at_ms * 1_000.0) as u64, event)));
    }

    fn arrive(&mut self, kind: usize, now_ms: f64) {
        let params = self.load.kinds[kind];
        let gap_ms = -self.rng.random_range(f64::EPSILON..1.0f64).ln() * 1_000.0 / params.per_s;
        self.push(now_ms + gap_ms, Event::Arrival(kind));
        let parts = self.draw_prompt(kind, &params);
        let output = self.draw_size(params.output_tokens).max(2);
        let host = self.rng.random_range(0..self.load.hosts);
        let now = to_tick(now_ms);
        let (service, zone) = (ServiceName::from("m"), Zone::from("z"));
        let need = UpstreamNeed {
            service: &service,
            prompt_parts: &parts,
            tried: &[],
            zone: &zone,
            runs_once: false,
            entry_hosts: self.load.hosts as u32,
            max_pause_ms: 600,
            copy_ms: None,
            draw: 0.0,
            version: None,
        };
        self.report.kinds[kind].all += 1;
        let Ok(chosen) = self.hosts[host].choose(&need, now) else {
            self.report.kinds[kind].refused += 1;
            return;
        };
        self.hosts[host].record_use(&parts, now);
        let upstream = self.hosts[host]
            .get_mut(&chosen.id)
            .expect("the chosen upstream is listed");
        upstream.record_attempt(now);
        let backlog_id = upstream.record_sent(&parts, &chosen, now);
        let index: usize = chosen.id[1..].parse().expect("a number");
        self.engines[index].enqueue(self.requests.len(), parts, output);
        self.requests.push(SentRequest {
            host,
            kind,
            arrived_ms: now_ms,
            chosen,
            backlog_id,
            late: false,
        });
        if self.step_events[index].is_none() {
            self.start_step(index, now_ms);
        }
    }

    fn start_step(&mut self, index: usize, now_ms: f64) {
        let factor = self.paces.factor(index, now_ms);
        let (step_ms, events) = self.engines[index].step(now_ms, factor);
        self.step_events[index] = Some(events);
        self.push(now_ms + step_ms, Event::StepEnd(index));
    }

    fn end_step(&mut self, index: usize, now_ms: f64) {
        let now = to_tick(now_ms);
        let load = ReportedLoad {
            running: self.engines[index].running.len() as u32,
            waiting: self.engines[index].waiting.len() as u32,
            slots: SLOTS as u32,
            pace: self.paces.reported(index, now_ms),
        };
        for event in self.step_events[index].take().unwrap_or_default() {
            match event {
                StepEvent::FirstEvent(id) => {
                    let request = &mut self.requests[id];
                    let target = self.load.kinds[request.kind].target_ms;
                    request.late = now_ms - request.arrived_ms > target;
                    self.report.kinds[request.kind].late += u32::from(request.late);
                    if let Some(upstream) = self.hosts[request.host].get_mut(&request.chosen.id) {
                        upstream.record_load(load, now);
                        upstream.record_first_event(request.backlog_id, now);
                    }
                }
                StepEvent::End(id, paused) => {
                    let request = &self.requests[id];
                    self.report.kinds[request.kind].paused += u32::from(paused && !request.late);
                    if let Some(upstream) = self.hosts[request.host].get_mut(&request.chosen.id) {
                        upstream.record_end(request.backlog_id, &request.chosen, to_tick(request.arrived_ms), now);
                    }
                }
            }
        }
        if self.engines[index].is_busy() {
            self.start_step(index, now_ms);
        }
    }

    fn send_heartbeat(&mut self, host: usize, now_ms: f64) {
        let now = to_tick(now_ms);
        let heartbeat = Heartbeat {
            run: 1,
            signs: self.hosts[host].observations(now),
            ..Heartbeat::default()
        };
        let node = NodeId::from(format!("e{host}"));
        let limits = SharedLimits {
            entry_hosts: self.load.hosts as u32,
            ..SharedLimits::default()
        };
        if let Some(update) = self.registry.heartbeat(1, (&node, heartbeat), &limits, now) {
            self.hosts[host].merge_observations(&update.signs, now);
        }
        self.push(now_ms + self.load.heartbeat_s * 1_000.0, Event::Heartbeat(host));
    }

    fn draw_prompt(&mut self, kind: usize, params: &RequestKind) -> Vec<PromptPart> {
        let topic = self.rng.random_range(0..params.shared_parts[1].1);
        let mut parts = Vec::new();
        for (mean, count) in params.shared_parts {
            // Each inner part belongs to one outer part.
            let key = ((kind as u64 + 1) * 10 + parts.len() as u64) * 1_000_003 + topic % count;
            let tokens = (mean * (0.5 + (key % 101) as f64 / 100.0)) as u64;
            parts.push(PromptPart { key, tokens });
        }
        let key = self.rng.random();
        let tokens = self.draw_size(params.own_tokens).max(16);
        parts.push(PromptPart { key, tokens });
        parts
    }

    /// Draws a log-normally distributed size.
    fn draw_size(&mut self, (mean, spread, max): (f64, f64, f64)) -> u64 {
        let (a, b): (f64, f64) = (self.rng.random_range(f64::EPSILON..1.0), self.rng.random());
        let normal = (-2.0 * a.ln()).sqrt() * (std::f64::consts::TAU * b).cos();
        (mean.ln() - spread * spread / 2.0 + spread * normal).exp().min(max) as u64
    }
}

fn to_tick(ms: f64) -> Tick {
    Tick(duration_from_secs(ms / 1_000.0))
}
