//! Requests with shared prompt parts on upstreams that crash, with a bad part among the parts and without one.

use std::collections::HashMap;
use std::time::Duration;

use contract::PartId;
use policy::Tick;
use policy::quarantine::parts::{PartHistory, SOUND_TIME, Suspect};
use policy::quarantine::rules::Admission;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

const UPSTREAMS: usize = 30;
const LENGTH_MS: u64 = 60_000;
/// Time from the sending of a request to its first event, and for which an upstream is down.
const START_MS: (u64, u64) = (20, 400);
const DOWN_MS: u64 = 2_000;
/// Time for which hosts take to hear of a change and to answer it.
const REPORT_MS: u64 = 110;
/// Sound requests and bad ones per second.
const SOUND_PER_S: f64 = 60.0;
const BAD_PER_S: f64 = 4.0;
/// Different first and second parts; some are rare.
const FIRST_PARTS: u64 = 8;
const SECOND_PARTS: u64 = 60;
const BAD: PartId = PartId(1_000);
const ACCOUNT: u64 = 1;

struct Run {
    upstream: usize,
    parts: Vec<PartId>,
    sent_at: u64,
    begins_at: u64,
}

/// What happens to upstreams besides a bad part.
#[derive(Clone, Copy)]
struct Losses {
    /// Chance per second that one upstream crashes.
    single: f64,
    /// Chance per second that a third of the upstreams crash together.
    rack: f64,
}

#[derive(Default)]
struct Outcome {
    /// Bad requests that were sent later than three seconds after the fifth crash by one.
    late_sends: usize,
    bad_crashes: usize,
    sound: usize,
    refused: usize,
    /// Longest time for which sound requests were refused at once.
    longest: Duration,
}

struct Fleet {
    history: PartHistory,
    runs: Vec<Run>,
    down_until: [u64; UPSTREAMS],
    incarnation: [u64; UPSTREAMS],
    /// Requests that began: their parts and the time at which the leader hears of it.
    began: Vec<(u64, u64, Vec<PartId>)>,
    known_at: Option<u64>,
    outcome: Outcome,
}

fn at(ms: u64) -> Tick {
    Tick::from_millis(ms)
}

impl Fleet {
    fn run(losses: Losses, with_bad: bool, seed: u64) -> Outcome {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut fleet = Self {
            history: PartHistory::default(),
            runs: Vec::new(),
            down_until: [0; UPSTREAMS],
            incarnation: [0; UPSTREAMS],
            began: Vec::new(),
            known_at: None,
            outcome: Outcome::default(),
        };
        for ms in 0..LENGTH_MS {
            if rng.random_bool(losses.single / 1_000.0) {
                let upstream = rng.random_range(0..UPSTREAMS);
                fleet.crash(upstream, ms);
            }
            if rng.random_bool(losses.rack / 1_000.0) {
                let first = rng.random_range(0..3) * UPSTREAMS / 3;
                (first..first + UPSTREAMS / 3).for_each(|upstream| fleet.crash(upstream, ms));
            }
            fleet.begin(ms);
            fleet.report_sound(ms);
            if rng.random_bool(SOUND_PER_S / 1_000.0) {
                fleet.send(draw_parts(&mut rng), ms, &mut rng);
            }
            if with_bad && ms > 10_000 && rng.random_bool(BAD_PER_S / 1_000.0) {
                let mut parts = draw_parts(&mut rng);
                parts.push(BAD);
                fleet.send(parts, ms, &mut rng);
            }
        }
        fleet.outcome
    }

    fn send(&mut self, parts: Vec<PartId>, ms: u64, rng: &mut StdRng) {
        let is_bad = parts.contains(&BAD);
        self.outcome.sound += usize::from(!is_bad);
        let up: Vec<usize> = (0..UPSTREAMS).filter(|index| self.down_until[*index] <= ms).collect();
        let admission = self.history.admit(&parts, ACCOUNT, at(ms));
        let is_sent = !up.is_empty() && self.history.start_trial(&parts, ACCOUNT, at(ms)).is_ok();
        if !is_sent {
            if let (Admission::Closed(left), false) = (admission, is_bad) {
                self.outcome.longest = self.outcome.longest.max(left);
            }
            self.outcome.refused += usize::from(!is_bad);
            return;
        }
        let known = self.known_at.is_some_and(|known| ms > known);
        self.outcome.late_sends += usize::from(is_bad && known);
        self.runs.push(Run {
            upstream: up[rng.random_range(0..up.len())],
            parts,
            sent_at: ms,
            begins_at: ms + rng.random_range(START_MS.0..START_MS.1),
        });
    }

    fn begin(&mut self, ms: u64) {
        let bad = self
            .runs
            .iter()
            .find(|run| run.begins_at <= ms && run.parts.contains(&BAD));
        if let Some(upstream) = bad.map(|run| run.upstream) {
            self.outcome.bad_crashes += 1;
            if self.outcome.bad_crashes == 5 {
                self.known_at = Some(ms + 3_000);
            }
            self.crash(upstream, ms);
        }
        let begun = self
            .runs
            .extract_if(.., |run| run.begins_at <= ms && !run.parts.contains(&BAD));
        let heard = |run: Run| (ms, ms + SOUND_TIME.as_millis() as u64 + REPORT_MS, run.parts);
        self.began.extend(begun.map(heard));
    }

    fn crash(&mut self, upstream: usize, ms: u64) {
        if self.down_until[upstream] > ms {
            return;
        }
        self.down_until[upstream] = ms + DOWN_MS;
        self.incarnation[upstream] += 1;
        let name = self.incarnation[upstream] * UPSTREAMS as u64 + upstream as u64;
        for run in self.runs.extract_if(.., |run| run.upstream == upstream) {
            let suspect = Suspect {
                parts: &run.parts,
                account: ACCOUNT,
                upstream: name,
                sent_at: at(run.sent_at),
                at: at(ms),
            };
            self.history.record(&suspect, at(ms));
        }
    }

    /// Lets hosts tell of watched parts that have begun.
    fn report_sound(&mut self, ms: u64) {
        let mut newest: HashMap<PartId, u64> = HashMap::new();
        for (began_at, _, parts) in self.began.extract_if(.., |(_, heard_at, _)| *heard_at <= ms) {
            for part in parts {
                let newest = newest.entry(part).or_default();
                *newest = began_at.max(*newest);
            }
        }
        for (part, began_at) in newest {
            self.history.clear(part, at(began_at));
        }
    }
}

fn draw_parts(rng: &mut StdRng) -> Vec<PartId> {
    // Squares make low numbers popular.
    let skewed = |draw: f64, count: u64| (draw * draw * count as f64) as u64;
    let first = skewed(rng.random(), FIRST_PARTS);
    let second = skewed(rng.random(), SECOND_PARTS);
    vec![PartId(first), PartId(100 + second)]
}

const CALM: Losses = Losses { single: 0.0, rack: 0.0 };
const SERIES: Losses = Losses { single: 2.0, rack: 0.1 };

/// Guards against sound parts that are refused for long on days on which many upstreams crash.
#[test]
fn crashes_in_series() {
    for seed in 0..20 {
        let outcome = Fleet::run(SERIES, false, seed);
        let Outcome {
            sound,
            refused,
            longest,
            ..
        } = outcome;
        assert!(
            longest <= Duration::from_secs(1),
            "seed {seed}: refused for {longest:?}"
        );
        assert!(refused * 50 <= sound, "seed {seed}: {refused} of {sound} refused");
    }
}

/// Guards against a bad part that goes on crashing upstreams, and against sound parts beside it that are refused.
#[test]
fn bad_part() {
    for (losses, seed) in [CALM, SERIES]
        .into_iter()
        .flat_map(|losses| (0..20).map(move |seed| (losses, seed)))
    {
        let Outcome {
            late_sends,
            bad_crashes,
            sound,
            refused,
            longest,
        } = Fleet::run(losses, true, seed);
        assert!(
            late_sends <= 3,
            "seed {seed}: {late_sends} late sends, {bad_crashes} crashes"
        );
        assert!(
            longest <= Duration::from_secs(1),
            "seed {seed}: refused for {longest:?}"
        );
        assert!(
            refused * 10 <= sound,
            "seed {seed}: {refused} of {sound} refused, {bad_crashes} crashes"
        );
    }
}

/// Guards against requests that are refused without any crash.
#[test]
fn no_crash() {
    let outcome = Fleet::run(CALM, false, 1);
    assert_eq!(outcome.refused, 0);
}
