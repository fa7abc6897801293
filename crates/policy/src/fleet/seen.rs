//! What a service's load asks of its upstreams, and how reclaims go, from what was seen of late.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use contract::{Listed, Zone};

use super::{Demand, Risk};
use crate::Tick;

/// Time over which loads count, so that the fleet doesn't follow each wave: several times an upstream's start.
const BUSY: Duration = Duration::from_secs(15);
/// Part of the upstreams that are there first which is taken to be busy until load is known. Operators start about four times
/// what reading keeps busy, so that first answers are on time.
const EXPECTED: f64 = 0.25;
/// Time of load that must have been seen before it says more than what operators have started.
const KNOWN: Duration = Duration::from_secs(5);
/// Part of what was seen of prompts that is remembered from one look to the next: a minute of looks.
const REMEMBERED: f64 = 0.98;
/// Time that an answer may take to begin, as a multiple of the mean time behind a prompt, until prompts are known, and the looks
/// that this stands for.
const UNKNOWN_PATIENCE: (f64, f64) = (4.0, 10.0);
/// Time for which upstreams of a data centre that are called back belong to one reclaim; they are gone within three seconds.
const ONE_RECLAIM: Duration = Duration::from_secs(8);
/// Time over which the pace of reclaims shows that a wave of them is under way.
const WAVE: Duration = Duration::from_secs(15);
/// Time that an unknown pace of reclaims stands for: one in a minute, until they show their own.
const UNKNOWN_PACE: Duration = Duration::from_mins(1);
/// Part of the time that a data centre is taken to have nothing reclaimable to give, and the time for which that belief counts
/// against what is seen.
const UNKNOWN_OUT: (f64, Duration) = (0.25, Duration::from_mins(1));
/// Reclaims whose times are kept.
const KEPT: usize = 64;

/// The load of a service at one look.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Load {
    /// Requests that are at upstreams or wait for one.
    pub running: f64,
    /// Upstreams that the reading of prompts keeps busy: seconds of reading in a second.
    pub busy: f64,
    /// Squares of the seconds of each prompt, a second; with the seconds they tell how long one waits behind another.
    pub squares: f64,
    /// Seconds of each prompt times those in which its answer should begin, a second.
    pub targets: f64,
}

/// Loads of a service over the last seconds.
#[derive(Debug, Default)]
pub struct Loads {
    seen: VecDeque<(Tick, Load)>,
    /// On-demand upstreams at the last look, those that leave among them.
    counted: Option<u32>,
    /// Upstreams that are taken to be busy while nothing is known.
    expected: f64,
    /// What is remembered of prompts.
    prompts: Prompts,
}

impl Loads {
    /// Notes a look at the load and at the number of on-demand upstreams; tells whether enough is known for a plan.
    ///
    /// Nothing is known until there is load, or two looks in a row have found as many upstreams: when everything starts together,
    /// the first list names those that were quickest. Of a hundred and twelve it named sixty-three; a fleet sized by that was
    /// half of what the first requests needed.
    pub fn note(&mut self, load: Load, on_demand: u32, now: Tick) -> bool {
        let before = self.counted.replace(on_demand);
        while self.seen.front().is_some_and(|(at, _)| now.since(*at) > BUSY) {
            self.seen.pop_front();
        }
        if load.running > 0.0 || load.busy > 0.0 {
            self.seen.push_back((now, load));
            self.prompts.note(&load);
        }
        if !self.seen.is_empty() {
            return true;
        }
        self.expected = self.expected.max(f64::from(on_demand) * EXPECTED);
        before == Some(on_demand)
    }

    /// Gives the demand of upstreams that run so many requests at once.
    #[must_use]
    pub fn demand(&self, slots: u32, now: Tick) -> Demand {
        if self.seen.is_empty() {
            return Demand {
                busy: vec![self.expected],
                slots,
                patience: self.prompts.patience(),
                ..Demand::default()
            };
        }
        let count = self.seen.len() as f64;
        let mean = self.seen.iter().map(|(_, load)| load.busy).sum::<f64>() / count;
        let most = self.seen.iter().map(|(_, load)| load.busy).fold(0.0, f64::max);
        let begun = self.seen.front().map_or(now, |(at, _)| *at);
        let least = if now.since(begun) < KNOWN { self.expected } else { 0.0 };
        Demand {
            busy: [mean, mean, most].map(|level| level.max(least)).to_vec(),
            filled: self.middle_running() / f64::from(slots.max(1)),
            slots,
            patience: self.prompts.patience(),
        }
    }

    /// Gives the middle of the counts of running requests. Under too much load requests pile up; upstreams that are ordered for
    /// a pile of a moment start when it is gone.
    fn middle_running(&self) -> f64 {
        let mut counts: Vec<f64> = self.seen.iter().map(|(_, load)| load.running).collect();
        counts.sort_by(f64::total_cmp);
        counts.get(counts.len() / 2).copied().unwrap_or_default()
    }
}

/// What is remembered of prompts, over a minute.
#[derive(Debug, Default)]
struct Prompts {
    squares: f64,
    targets: f64,
    looks: f64,
}

impl Prompts {
    fn note(&mut self, load: &Load) {
        self.squares = self.squares * REMEMBERED + load.squares;
        self.targets = self.targets * REMEMBERED + load.targets;
        self.looks = self.looks * REMEMBERED + 1.0;
    }

    /// Gives the time in which an answer should begin, as a multiple of the mean time behind a prompt that is being read.
    ///
    /// Few prompts are long and make up most of that time, so that the first seconds without one would tell that any load is fine.
    fn patience(&self) -> f64 {
        let (unknown, looks) = UNKNOWN_PATIENCE;
        let weight = looks / (self.looks + looks);
        let wait = if self.targets > 0.0 {
            self.squares / (2.0 * self.targets)
        } else {
            0.0
        };
        1.0 / (weight / unknown + (1.0 - weight) * wait)
    }
}

/// Reclaims of a service's upstreams.
#[derive(Debug, Default)]
pub struct Reclaims {
    /// When it was looked at first and last.
    looked: Option<(Tick, Tick)>,
    /// When each data centre's were called back last.
    last: BTreeMap<Zone, Tick>,
    times: VecDeque<Tick>,
    /// Time for which data centres had none to give, added up.
    out: Duration,
}

impl Reclaims {
    /// Notes a look at the list, and the data centres that have nothing to give.
    pub fn note<'a>(&mut self, list: impl Iterator<Item = &'a Listed>, out: usize, now: Tick) {
        let before = self.looked.map_or(now, |(_, last)| last);
        self.out += now.since(before) * out as u32;
        self.looked = Some((self.looked.map_or(now, |(first, _)| first), now));
        for one in list.filter(|one| one.leaving && one.left.is_some()) {
            let called = self.last.get(&one.zone).copied();
            if called.is_some_and(|at| now.since(at) <= ONE_RECLAIM) {
                continue;
            }
            self.last.insert(one.zone.clone(), now);
            self.times.push_back(now);
            if self.times.len() > KEPT {
                self.times.pop_front();
            }
        }
    }

    /// Gives the risk for so many data centres while an upstream starts.
    #[must_use]
    pub fn risk(&self, zones: usize, start: Duration, now: Tick) -> Risk {
        let span = self.looked.map_or(Duration::ZERO, |(first, _)| now.since(first));
        let whole = (self.times.len() as f64 + 1.0) / (span + UNKNOWN_PACE).as_secs_f64();
        let recent = self.times.iter().filter(|at| now.since(**at) <= WAVE).count();
        // A reclaim says that capacity is wanted elsewhere, so that the next one is likely to follow.
        let wave = if recent > 0 {
            (recent as f64 + 1.0) / WAVE.as_secs_f64()
        } else {
            0.0
        };
        let pace = whole.max(wave);
        let (out, known) = (UNKNOWN_OUT.0, UNKNOWN_OUT.1.as_secs_f64());
        let zones = zones.max(1) as f64;
        Risk {
            soon: pace * start.as_secs_f64(),
            out: (self.out.as_secs_f64() + out * known * zones) / ((span.as_secs_f64() + known) * zones),
        }
    }
}
