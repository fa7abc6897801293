//! Seeded workloads: every arrival with its time, its caller and the right answer, fixed before anything runs.

mod counter;
mod tents;
mod text;

use std::time::Duration;

use contract::{Contract, KeyHash};
use derive_more::{Display, FromStr};
use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use serde::{Deserialize, Serialize};

/// Shares of the requests that each account makes; a few are large.
const ACCOUNTS: [f64; 5] = [0.42, 0.30, 0.14, 0.09, 0.05];

/// Whose workload it is.
#[derive(Clone, Copy, Debug, Display, FromStr, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
#[from_str(rename_all = "kebab-case")]
pub enum Workload {
    /// Consultations, aftercare, stock lookups and deposits.
    #[display("tan-seng-huat")]
    TanSengHuat,
    /// Seat lookups and bookings, guest questions, season plans and menu notices.
    #[display("mwangaza")]
    Mwangaza,
}

impl Workload {
    /// Gives the requests a second under which the fleet of a trial is busy but not overrun.
    #[must_use]
    pub const fn usual_rate(self) -> f64 {
        match self {
            Self::TanSengHuat => 70.0,
            Self::Mwangaza => 130.0,
        }
    }
}

/// One request that a caller makes at a fixed time.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Arrival {
    /// Time since the start.
    pub at: Duration,
    /// Which account makes it.
    pub account: usize,
    /// Which entry host the balancer would give it.
    pub entry: usize,
    /// What is asked.
    pub call: Call,
    /// What the contract promises for it.
    pub promise: Promise,
}

/// What is asked.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Call {
    /// A streamed chat completion.
    Chat {
        /// Role and content of each message.
        messages: Vec<(String, String)>,
        /// Tokens of the answer.
        tokens: u64,
    },
    /// A lookup at a service.
    Lookup {
        /// The service.
        service: &'static str,
        /// The path, which no other arrival has.
        path: String,
    },
    /// A call that may run once only.
    Once {
        /// The service.
        service: &'static str,
        /// The path.
        path: &'static str,
        /// The idempotency key; a resend has the same one.
        key: String,
    },
}

/// When an answer is on time; all counted from the arrival's own time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Promise {
    /// Until the first token.
    pub first: Option<Duration>,
    /// Between tokens, for 95 of 100.
    pub between: Option<Duration>,
    /// Until the whole answer.
    pub whole: Duration,
}

/// Everything that callers will do.
#[derive(Clone, Debug)]
pub struct Plan {
    /// The contract under which they do it.
    pub contract: Contract,
    /// The model.
    pub model: &'static str,
    /// Services with the number of their replicas.
    pub services: &'static [(&'static str, usize)],
    /// Arrivals in order of time.
    pub arrivals: Vec<Arrival>,
}

/// How much of it.
#[derive(Clone, Copy, Debug)]
pub struct Extent {
    /// Seed of everything random.
    pub seed: u64,
    /// Time in which requests arrive.
    pub duration: Duration,
    /// Requests a second.
    pub rate: f64,
}

impl Plan {
    /// Makes the plan of a workload; the same extent gives the same plan.
    #[must_use]
    pub fn new(workload: Workload, extent: &Extent) -> Self {
        let mut draw = Draw::new(extent);
        let mut plan = match workload {
            Workload::TanSengHuat => counter::plan(&mut draw),
            Workload::Mwangaza => tents::plan(&mut draw),
        };
        plan.arrivals.retain(|arrival| arrival.at < extent.duration);
        plan.arrivals.sort_by_key(|arrival| arrival.at);
        plan
    }
}

/// Gives the bearer key of an account.
#[must_use]
pub fn bearer_key(account: usize) -> String {
    format!("trial-key-{account}")
}

fn key_hash(account: usize) -> KeyHash {
    KeyHash::of(&bearer_key(account))
}

/// Random choices of a plan.
struct Draw {
    rng: ChaCha8Rng,
    extent: Extent,
    count: u64,
}

impl Draw {
    fn new(extent: &Extent) -> Self {
        Self {
            rng: ChaCha8Rng::seed_from_u64(extent.seed),
            extent: *extent,
            count: 0,
        }
    }

    /// Gives the times of independent arrivals at a share of the rate.
    fn times(&mut self, share: f64) -> Vec<Duration> {
        let rate = self.extent.rate * share;
        let end = self.extent.duration.as_secs_f64();
        let mut times = Vec::new();
        let mut at = self.pause(rate);
        while at < end {
            times.push(Duration::from_secs_f64(at));
            at += self.pause(rate);
        }
        times
    }

    fn pause(&mut self, rate: f64) -> f64 {
        let part: f64 = self.rng.random();
        -(1.0 - part).ln() / rate.max(1e-6)
    }

    fn within(&mut self, from_ms: u64, to_ms: u64) -> Duration {
        Duration::from_millis(self.rng.random_range(from_ms..to_ms))
    }

    fn account(&mut self) -> usize {
        let mut part: f64 = self.rng.random();
        for (account, share) in ACCOUNTS.iter().enumerate() {
            if part < *share {
                return account;
            }
            part -= share;
        }
        0
    }

    /// Gives an idempotency key that no other call of this plan and no plan of another seed gets.
    fn key(&mut self, kind: &str) -> String {
        let number = self.number();
        format!("{kind}-{}-{number}", self.extent.seed)
    }

    /// Gives a number that no other call of the plan gets.
    fn number(&mut self) -> u64 {
        self.count += 1;
        self.count
    }

    fn arrival(&mut self, at: Duration, account: usize, call: Call, promise: Promise) -> Arrival {
        let entry = self.rng.random_range(0..1 << 16);
        Arrival {
            at,
            account,
            entry,
            call,
            promise,
        }
    }

    /// Gives a call that runs once and, for one in four, its resend under the same key through another entry host.
    fn once(&mut self, at: Duration, call: &Call, promise: Promise) -> Vec<Arrival> {
        let account = self.account();
        let first = self.arrival(at, account, call.clone(), promise);
        let mut arrivals = vec![first];
        if self.rng.random_bool(0.25) {
            let later = at + self.within(1, 600);
            arrivals.push(self.arrival(later, account, call.clone(), promise));
        }
        arrivals
    }
}

impl Promise {
    const fn chat(first_ms: u64, between_ms: u64, whole_ms: u64) -> Self {
        Self {
            first: Some(Duration::from_millis(first_ms)),
            between: Some(Duration::from_millis(between_ms)),
            whole: Duration::from_millis(whole_ms),
        }
    }

    const fn service(whole_ms: u64) -> Self {
        Self {
            first: None,
            between: None,
            whole: Duration::from_millis(whole_ms),
        }
    }

    fn targets(&self) -> contract::Targets {
        let ms = |time: Duration| time.as_millis() as u64;
        contract::Targets {
            first_token_ms: self.first.map(ms),
            between_tokens_ms: self.between.map(ms),
            whole_answer_ms: ms(self.whole),
        }
    }
}

impl Arrival {
    /// Gives the whole answer that is right for a chat, and nothing for other calls.
    #[must_use]
    pub fn right_text(&self) -> String {
        match &self.call {
            Call::Chat { messages, tokens } => text::right_answer(messages, *tokens),
            Call::Lookup { .. } | Call::Once { .. } => String::new(),
        }
    }
}

impl Call {
    /// Gives a short text for people.
    #[must_use]
    pub fn label(&self) -> String {
        match self {
            Self::Chat { messages, tokens } => {
                let words: usize = messages.iter().map(|(_, text)| text.split_whitespace().count()).sum();
                format!("chat of {words} words for {tokens} tokens")
            }
            Self::Lookup { path, .. } => path.clone(),
            Self::Once { key, .. } => key.clone(),
        }
    }
}
