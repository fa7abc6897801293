//! Replays the load of a large deployment on the choice of upstreams: entry hosts with their own views, which learn from
//! one another through the leader, and engines that read prompts between tokens.

pub mod engine;

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;

use contract::{Listed, NodeId, ServiceName, Zone};
use gateway::dialect::ReportedLoad as ResponseInfo;
use gateway::upstreams::{ChosenUpstream, UpstreamNeed, Upstreams};
use policy::Tick;
use policy::place::PromptPart;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use state::registry::{EntryRegistry, SharedLimits};
use wire::registry::Heartbeat;

use engine::{Engine, Made, SLOTS};

/// A kind of request.
#[derive(Clone, Copy, Debug)]
pub struct Kind {
    /// Requests a second, over all entry hosts.
    pub per_s: f64,
    /// Milliseconds in which an answer must begin.
    pub target_ms: f64,
    /// Shared beginnings: mean tokens and how many there are, the outermost first.
    pub shared: [(f64, u64); 2],
    /// Tokens of the request's own: mean, spread of the logarithm, most.
    pub own: (f64, f64, f64),
    /// Tokens of the answer: mean, spread, most.
    pub answer: (f64, f64, f64),
}

/// What is replayed.
#[derive(Clone, Debug)]
pub struct Load {
    /// Entry hosts.
    pub hosts: usize,
    /// Engines.
    pub engines: usize,
    /// Kinds of requests.
    pub kinds: Vec<Kind>,
    /// Seconds.
    pub length_s: f64,
    /// Seconds between two beats of an entry host.
    pub beat_s: f64,
}

/// What came of the requests of a kind.
#[derive(Clone, Copy, Debug, Default)]
pub struct Outcome {
    /// All.
    pub all: u32,
    /// Those whose answer began too late.
    pub late: u32,
    /// Those whose answer began in time and paused too long.
    pub paused: u32,
    /// Those that were refused.
    pub refused: u32,
}

/// What came of a replay.
#[derive(Clone, Debug, Default)]
pub struct Report {
    /// By kind.
    pub kinds: Vec<Outcome>,
    /// Part of the shared tokens that was read again.
    pub read_again: f64,
}

#[derive(Debug)]
struct Asked {
    host: usize,
    kind: usize,
    came_ms: f64,
    chosen: ChosenUpstream,
    number: u64,
    begun_late: bool,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Come(usize),
    Step(usize),
    Beat(usize),
}

struct Replay<'a> {
    load: &'a Load,
    rng: StdRng,
    hosts: Vec<Upstreams>,
    engines: Vec<Engine>,
    asked: Vec<Asked>,
    events: BinaryHeap<Reverse<(u64, Event)>>,
    /// What the step under way brings at its end, by engine.
    made: Vec<Option<Vec<Made>>>,
    registry: EntryRegistry,
    report: Report,
}

/// Replays a load.
pub fn replay(load: &Load, seed: u64) -> Report {
    let list: Vec<Listed> = (0..load.engines).map(listed).collect();
    let mut hosts: Vec<Upstreams> = (0..load.hosts).map(|_| Upstreams::default()).collect();
    for host in &mut hosts {
        host.update(list.clone(), Tick::default());
    }
    let mut replay = Replay {
        load,
        rng: StdRng::seed_from_u64(seed),
        hosts,
        engines: (0..load.engines).map(|_| Engine::default()).collect(),
        asked: Vec::new(),
        events: BinaryHeap::new(),
        made: (0..load.engines).map(|_| None).collect(),
        registry: EntryRegistry::default(),
        report: Report {
            kinds: vec![Outcome::default(); load.kinds.len()],
            read_again: 0.0,
        },
    };
    replay.run();
    replay.report
}

/// Gives an upstream by its number.
pub fn listed(at: usize) -> Listed {
    Listed {
        id: format!("u{at:03}"),
        start: 1,
        service: ServiceName::from("m"),
        address: ([127, 0, 0, 1], 1).into(),
        zone: Zone::from("z"),
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
            self.push(0.0, Event::Come(kind));
        }
        for host in 0..self.load.hosts {
            let first = self.rng.random_range(0.0..self.load.beat_s * 1_000.0);
            self.push(first, Event::Beat(host));
        }
        while let Some(Reverse((us, event))) = self.events.pop() {
            let now_ms = us as f64 / 1_000.0;
            if now_ms > self.load.length_s * 1_000.0 {
                break;
            }
            match event {
                Event::Come(kind) => self.come(kind, now_ms),
                Event::Step(at) => self.step(at, now_ms),
                Event::Beat(host) => self.beat(host, now_ms),
            }
        }
        let (read, found) = self
            .engines
            .iter()
            .fold((0, 0), |sum, engine| (sum.0 + engine.shared.0, sum.1 + engine.shared.1));
        self.report.read_again = read as f64 / (read + found).max(1) as f64;
    }

    fn push(&mut self, at_ms: f64, event: Event) {
        self.events.push(Reverse(((at_ms * 1_000.0) as u64, event)));
    }

    fn come(&mut self, kind: usize, now_ms: f64) {
        let what = self.load.kinds[kind];
        let pause = -self.rng.random_range(f64::EPSILON..1.0f64).ln() * 1_000.0 / what.per_s;
        self.push(now_ms + pause, Event::Come(kind));
        let parts = self.parts(kind, &what);
        let answer = self.size(what.answer).max(2);
        let host = self.rng.random_range(0..self.load.hosts);
        let now = tick(now_ms);
        let (service, zone) = (ServiceName::from("m"), Zone::from("z"));
        let need = UpstreamNeed {
            service: &service,
            prompt_parts: &parts,
            tried: &[],
            zone: &zone,
            runs_once: false,
            entry_hosts: self.load.hosts as u32,
            max_pause_ms: 600,
        };
        self.report.kinds[kind].all += 1;
        let Ok(chosen) = self.hosts[host].choose(&need, now) else {
            self.report.kinds[kind].refused += 1;
            return;
        };
        self.hosts[host].record_use(&parts, now);
        let upstream = self.hosts[host].get_mut(&chosen.id).expect("the choice is listed");
        let number = upstream.record_sent(&parts, &chosen, now);
        let at: usize = chosen.id[1..].parse().expect("a number");
        self.engines[at].take(self.asked.len(), parts, answer);
        self.asked.push(Asked {
            host,
            kind,
            came_ms: now_ms,
            chosen,
            number,
            begun_late: false,
        });
        if self.made[at].is_none() {
            self.begin_step(at, now_ms);
        }
    }

    fn begin_step(&mut self, at: usize, now_ms: f64) {
        let (took, made) = self.engines[at].step(now_ms);
        self.made[at] = Some(made);
        self.push(now_ms + took, Event::Step(at));
    }

    fn step(&mut self, at: usize, now_ms: f64) {
        let now = tick(now_ms);
        let load = ResponseInfo {
            running: self.engines[at].running.len() as u32,
            waiting: self.engines[at].waiting.len() as u32,
            slots: SLOTS as u32,
        };
        for made in self.made[at].take().unwrap_or_default() {
            match made {
                Made::First(number) => {
                    let asked = &mut self.asked[number];
                    let target = self.load.kinds[asked.kind].target_ms;
                    asked.begun_late = now_ms - asked.came_ms > target;
                    self.report.kinds[asked.kind].late += u32::from(asked.begun_late);
                    if let Some(upstream) = self.hosts[asked.host].get_mut(&asked.chosen.id) {
                        upstream.record_load(load, now);
                        upstream.record_first_event(asked.number, now);
                    }
                }
                Made::End(number, paused) => {
                    let asked = &self.asked[number];
                    self.report.kinds[asked.kind].paused += u32::from(paused && !asked.begun_late);
                    if let Some(upstream) = self.hosts[asked.host].get_mut(&asked.chosen.id) {
                        upstream.record_end(asked.number, tick(asked.came_ms), now);
                    }
                }
            }
        }
        if self.engines[at].busy() {
            self.begin_step(at, now_ms);
        }
    }

    fn beat(&mut self, host: usize, now_ms: f64) {
        let now = tick(now_ms);
        let beat = Heartbeat {
            run: 1,
            signs: self.hosts[host].observations(now),
            ..Heartbeat::default()
        };
        let node = NodeId::from(format!("e{host}"));
        let sharing = SharedLimits {
            entry_hosts: self.load.hosts as u32,
            ..SharedLimits::default()
        };
        if let Some(news) = self.registry.heartbeat(1, (&node, beat), &sharing, now) {
            self.hosts[host].merge_observations(&news.signs, now);
        }
        self.push(now_ms + self.load.beat_s * 1_000.0, Event::Beat(host));
    }

    fn parts(&mut self, kind: usize, what: &Kind) -> Vec<PromptPart> {
        let thing = self.rng.random_range(0..what.shared[1].1);
        let mut parts = Vec::new();
        for (mean, things) in what.shared {
            // Each inner part belongs to one outer part.
            let key = ((kind as u64 + 1) * 10 + parts.len() as u64) * 1_000_003 + thing % things;
            let tokens = (mean * (0.5 + (key % 101) as f64 / 100.0)) as u64;
            parts.push(PromptPart { key, tokens });
        }
        let key = self.rng.random();
        let tokens = self.size(what.own).max(16);
        parts.push(PromptPart { key, tokens });
        parts
    }

    /// Draws a size with a long tail.
    fn size(&mut self, (mean, spread, most): (f64, f64, f64)) -> u64 {
        let (a, b): (f64, f64) = (self.rng.random_range(f64::EPSILON..1.0), self.rng.random());
        let normal = (-2.0 * a.ln()).sqrt() * (std::f64::consts::TAU * b).cos();
        (mean.ln() - spread * spread / 2.0 + spread * normal).exp().min(most) as u64
    }
}

fn tick(ms: f64) -> Tick {
    Tick(Duration::from_secs_f64(ms / 1_000.0))
}
