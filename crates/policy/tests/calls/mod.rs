//! Entry hosts that send short calls to few upstreams, and learn loads from own responses at once and from those of
//! other hosts at heartbeats.

use std::collections::VecDeque;
use std::time::Duration;

use derive_more::Add;
use policy::Tick;
use policy::load::{LoadEstimate, LoadReport};
use policy::pace::SpeedEstimate;
use policy::place::{Candidate, PromptNeed, choose, predict};
use policy::spread::choose_spread;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

const LENGTH_MS: u64 = 12_000;
/// Time of the loss of upstreams.
const LOST_AT_MS: u64 = 6_000;
const SLOTS: usize = 6;
/// With 67 hosts; a report that passes through the leader is up to two heartbeats old.
const HEARTBEAT_MS: u64 = 167;
/// Interval at which the slow upstreams are drawn anew.
const REDRAW_MS: u64 = 600;
const SLOW_FACTOR: f64 = 2.5;
const MAX_ATTEMPTS: usize = 2;
const MAX_REPORT_AGE_MS: u64 = 600;
const MAX_LOAD_AGE: Duration = Duration::from_millis(2_500);
const PLAIN: PromptNeed = PromptNeed {
    tokens: 0,
    max_pause_ms: f64::INFINITY,
};

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Strategy {
    /// The lowest predicted time, as before.
    Lowest,
    /// The better of two drawn at random.
    BetterOfTwo,
    /// A random one of those within the time that one slot is worth.
    NearLowest,
    /// Weights by slots and time.
    Capacity,
    /// `policy::spread`.
    Spread,
}

#[derive(Clone, Copy, Debug)]
pub struct CallLoad {
    pub hosts: usize,
    pub upstreams: usize,
    pub per_s: f64,
    pub work_ms: f64,
    pub target_ms: u64,
    /// Calls that an upstream queues beyond its slots; it turns away any more.
    pub queue: usize,
    /// Share of the upstreams that are slow at any time.
    pub slow_share: f64,
    /// Whether reports name the pace.
    pub tells_pace: bool,
    /// Upstreams that are lost halfway; callers' calls there are not counted.
    pub lost: usize,
}

#[derive(Add, Clone, Copy, Debug, Default, derive_more::Display)]
#[display("{all} | {late} | {refused} | {turned} | {:.2} | {:.1}", peak / mean, took / f64::from(*all))]
pub struct Measured {
    pub all: u32,
    pub late: u32,
    /// Calls that nobody took.
    pub refused: u32,
    /// Attempts that a full upstream turned away.
    pub turned: u32,
    /// Sums over time of the highest load and of the mean load.
    pub peak: f64,
    pub mean: f64,
    /// Sum of the times of all calls in milliseconds.
    pub took: f64,
}

#[derive(Clone, Copy)]
struct Call {
    host: usize,
    sent: u64,
    left: f64,
}

#[derive(Clone, Default)]
struct Upstream {
    running: Vec<Call>,
    waiting: VecDeque<Call>,
    pace: f64,
}

#[derive(Clone, Copy)]
struct Report {
    load: LoadReport,
    at: u64,
    pace: f64,
}

#[derive(Clone, Default)]
struct View {
    load: LoadEstimate,
    own: u32,
    newest: Option<Report>,
    /// The newest report to this host itself.
    first_hand: Option<Report>,
}

impl View {
    fn learn(&mut self, report: Report) {
        self.load.update(report.load);
        if self.newest.is_none_or(|newest| newest.at < report.at) {
            self.newest = Some(report);
        }
    }

    /// Returns the expected factor on times; a figure loses its value as upstreams are drawn anew.
    fn pace(&self, load: &CallLoad, now: u64) -> f64 {
        let mean = 1.0 + load.slow_share * (SLOW_FACTOR - 1.0);
        let known = self.newest.filter(|_| load.tells_pace);
        known.map_or(1.0, |report| {
            mean + (report.pace - mean) * (-((now - report.at) as f64) / REDRAW_MS as f64).exp()
        })
    }
}

#[derive(Clone, Default)]
struct Host {
    views: Vec<View>,
    speed: SpeedEstimate,
}

struct Replay<'a> {
    load: &'a CallLoad,
    strategy: Strategy,
    /// Draws what happens; equal for all strategies.
    events: StdRng,
    /// Draws what the strategies choose.
    choices: StdRng,
    upstreams: Vec<Upstream>,
    hosts: Vec<Host>,
    leader: Vec<Option<Report>>,
    measured: Measured,
}

/// Replays a load; equal seeds give equal results.
pub fn replay(load: &CallLoad, strategy: Strategy, seed: u64) -> Measured {
    let host = Host {
        views: vec![View::default(); load.upstreams],
        ..Host::default()
    };
    let mut replay = Replay {
        load,
        strategy,
        events: StdRng::seed_from_u64(seed),
        choices: StdRng::seed_from_u64(!seed),
        upstreams: vec![Upstream::default(); load.upstreams],
        hosts: vec![host; load.hosts],
        leader: vec![None; load.upstreams],
        measured: Measured::default(),
    };
    (0..LENGTH_MS).for_each(|now| replay.step(now));
    replay.measured
}

impl Replay<'_> {
    fn step(&mut self, now: u64) {
        if now == LOST_AT_MS {
            self.upstreams.truncate(self.load.upstreams - self.load.lost);
        }
        if now.is_multiple_of(REDRAW_MS) {
            for upstream in &mut self.upstreams {
                let slow = self.events.random_bool(self.load.slow_share);
                upstream.pace = if slow { SLOW_FACTOR } else { 1.0 };
            }
        }
        (0..self.upstreams.len()).for_each(|at| self.run(at, now));
        for host in 0..self.hosts.len() {
            if (now + host as u64 * 7).is_multiple_of(HEARTBEAT_MS) {
                self.share(host, now);
            }
        }
        // Calls arrive in clumps of three.
        if self.events.random_bool(self.load.per_s / 3_000.0) {
            (0..3).for_each(|_| self.call(now));
        }
        let loads = self.upstreams.iter().map(|upstream| upstream.load() as f64);
        self.measured.mean += loads.clone().sum::<f64>() / self.upstreams.len() as f64;
        self.measured.peak += loads.fold(0.0, f64::max);
    }

    fn run(&mut self, at: usize, now: u64) {
        let upstream = &mut self.upstreams[at];
        upstream
            .running
            .iter_mut()
            .for_each(|call| call.left -= 1.0 / upstream.pace);
        let ended: Vec<Call> = upstream.running.extract_if(.., |call| call.left <= 0.0).collect();
        while upstream.running.len() < SLOTS
            && let Some(call) = upstream.waiting.pop_front()
        {
            upstream.running.push(call);
        }
        let report = upstream.report(now);
        for call in ended {
            let ms = now - call.sent;
            self.measured.late += u32::from(ms > self.load.target_ms);
            self.measured.took += ms as f64;
            let host = &mut self.hosts[call.host];
            let view = &mut host.views[at];
            host.speed.learn_run(ms as f64 / view.pace(self.load, now));
            view.own -= 1;
            view.load.ended(Tick::from_millis(now));
            view.learn(report);
            view.first_hand = Some(report);
        }
    }

    fn share(&mut self, host: usize, now: u64) {
        for (view, shared) in self.hosts[host].views.iter_mut().zip(&mut self.leader) {
            let told = view.first_hand.filter(|report| now - report.at < MAX_REPORT_AGE_MS);
            if let Some(told) = told.filter(|told| shared.is_none_or(|shared| shared.at < told.at)) {
                *shared = Some(told);
            }
            if let Some(shared) = shared {
                view.learn(*shared);
            }
        }
    }

    fn call(&mut self, now: u64) {
        self.measured.all += 1;
        let host = self.events.random_range(0..self.hosts.len());
        let mut tried = Vec::new();
        while tried.len() < MAX_ATTEMPTS {
            let candidates = self.candidates(host, &tried, now);
            let Some(at) = self.choose(&candidates) else {
                break;
            };
            let (upstream, view) = (&mut self.upstreams[at], &mut self.hosts[host].views[at]);
            if upstream.load() < SLOTS + self.load.queue {
                upstream.waiting.push_back(Call {
                    host,
                    sent: now,
                    left: self.load.work_ms,
                });
                view.own += 1;
                view.load.sent(Tick::from_millis(now));
                return;
            }
            self.measured.turned += 1;
            view.learn(upstream.report(now));
            tried.push(at);
        }
        self.measured.refused += 1;
    }

    fn candidates(&self, host: usize, tried: &[usize], now: u64) -> Vec<Candidate> {
        let host = &self.hosts[host];
        let untried = (0..self.upstreams.len()).filter(|at| !tried.contains(at));
        let candidates = untried.map(|index| {
            let view = &host.views[index];
            let load = view.load.predict(Tick::from_millis(now), MAX_LOAD_AGE, true).reported;
            Candidate {
                index,
                load: load.unwrap_or_else(|| f64::from(view.own) * 4.0),
                slots: SLOTS as f64,
                cached: 0,
                sent: 0,
                weight: index as u64,
                local: true,
                backlog_ms: 0.0,
                doubt_ms: 0.0,
                rates: host.speed.rates().scaled(view.pace(self.load, now)),
            }
        });
        candidates
            .filter(|candidate| candidate.load < 2.0 * candidate.slots)
            .collect()
    }

    fn choose(&mut self, all: &[Candidate]) -> Option<usize> {
        let cost = |candidate: &Candidate| predict(candidate, PLAIN).ms + candidate.rates.run_ms;
        let lowest = all.iter().min_by(|a, b| cost(a).total_cmp(&cost(b)))?;
        let draw: f64 = self.choices.random();
        match self.strategy {
            Strategy::Lowest => choose(all, PLAIN, 0.0).map(|prediction| prediction.index),
            Strategy::BetterOfTwo => {
                let first = self.choices.random_range(0..all.len());
                let second = (first + self.choices.random_range(1..all.len().max(2))) % all.len();
                let (first, second) = (&all[first], &all[second]);
                Some(if cost(second) < cost(first) {
                    second.index
                } else {
                    first.index
                })
            }
            Strategy::NearLowest => {
                let bound = cost(lowest) + lowest.rates.run_ms / lowest.slots;
                let near: Vec<&Candidate> = all.iter().filter(|candidate| cost(candidate) <= bound).collect();
                Some(near[(draw * near.len() as f64) as usize].index)
            }
            Strategy::Capacity => {
                let weight = |candidate: &Candidate| candidate.slots / candidate.rates.run_ms;
                let mut left = draw * all.iter().map(weight).sum::<f64>();
                let drawn = all.iter().find(|candidate| {
                    left -= weight(candidate);
                    left <= 0.0
                });
                Some(drawn.unwrap_or(lowest).index)
            }
            Strategy::Spread => choose_spread(all, self.hosts.len() as u32, draw).map(|prediction| prediction.index),
        }
    }
}

impl Upstream {
    fn load(&self) -> usize {
        self.running.len() + self.waiting.len()
    }

    fn report(&self, now: u64) -> Report {
        let load = LoadReport {
            measured_at: Tick::from_millis(now),
            running: self.running.len() as u32,
            waiting: self.waiting.len() as u32,
            kv_used: 0.0,
        };
        Report {
            load,
            at: now,
            pace: self.pace,
        }
    }
}
