//! Seeded workloads: every arrival with its time, client account and expected answer, fixed before the run starts.

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

/// Share of the requests of each client account; a few accounts are large.
const ACCOUNT_SHARES: [f64; 5] = [0.42, 0.30, 0.14, 0.09, 0.05];

/// The customer whose traffic is modelled.
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
    /// Returns the default rate in requests a second, which keeps the fleet of a trial busy but not overloaded.
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
    /// Time since the start of the run.
    pub at: Duration,
    /// Index of the client account that sends it.
    pub account: usize,
    /// Entry host that the balancer tries first, taken modulo the number of entry hosts.
    pub entry: usize,
    /// Request to send.
    pub call: Call,
    /// Latency targets of its class in the contract.
    pub targets: LatencyTargets,
}

/// A request to a model or a service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Call {
    /// A streamed chat completion.
    Chat {
        /// Role and content of each message, oldest first.
        messages: Vec<(String, String)>,
        /// Number of tokens to generate.
        tokens: u64,
    },
    /// A lookup at a service.
    Lookup {
        /// Name of the service.
        service: &'static str,
        /// Path, which is unique to the arrival.
        path: String,
    },
    /// A call that may run at most once.
    Write {
        /// Name of the service.
        service: &'static str,
        /// Path below the service.
        path: &'static str,
        /// Idempotency key, which a retry repeats.
        key: String,
    },
}

/// Latency targets; times count from the scheduled arrival.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LatencyTargets {
    /// Time to the first token; absent for services.
    pub first_token: Option<Duration>,
    /// 95th percentile of the gaps between tokens; absent for services.
    pub token_gap: Option<Duration>,
    /// Time to the complete answer.
    pub total: Duration,
}

/// All requests of a run and what they need.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Contract of the customer.
    pub contract: Contract,
    /// Model that chats are sent to.
    pub model: &'static str,
    /// Each service with its number of replicas.
    pub services: &'static [(&'static str, usize)],
    /// Arrivals, ordered by time.
    pub arrivals: Vec<Arrival>,
}

/// Parameters of a plan.
#[derive(Clone, Copy, Debug)]
pub struct PlanOptions {
    /// Seed of all random choices.
    pub seed: u64,
    /// Time in which requests arrive.
    pub duration: Duration,
    /// Mean rate of requests a second, without retries.
    pub rate: f64,
}

impl Plan {
    /// Generates the plan of a workload; the same options give the same plan.
    #[must_use]
    pub fn new(workload: Workload, options: &PlanOptions) -> Self {
        let mut generator = PlanGenerator::new(options);
        let mut plan = match workload {
            Workload::TanSengHuat => counter::plan(&mut generator),
            Workload::Mwangaza => tents::plan(&mut generator),
        };
        plan.arrivals.retain(|arrival| arrival.at < options.duration);
        plan.arrivals.sort_by_key(|arrival| arrival.at);
        plan
    }
}

/// Returns the bearer key of a client account.
#[must_use]
pub fn bearer_key(account: usize) -> String {
    format!("trial-key-{account}")
}

fn key_hash(account: usize) -> KeyHash {
    KeyHash::of(&bearer_key(account))
}

/// Generates the arrivals of a plan from a seed.
struct PlanGenerator {
    rng: ChaCha8Rng,
    options: PlanOptions,
    used_numbers: u64,
}

impl PlanGenerator {
    fn new(options: &PlanOptions) -> Self {
        Self {
            rng: ChaCha8Rng::seed_from_u64(options.seed),
            options: *options,
            used_numbers: 0,
        }
    }

    /// Returns the times of a Poisson process at a share of the rate.
    fn arrival_times(&mut self, share: f64) -> Vec<Duration> {
        let rate = self.options.rate * share;
        let end_s = self.options.duration.as_secs_f64();
        let mut times = Vec::new();
        let mut at = self.interarrival(rate);
        while at < end_s {
            times.push(Duration::try_from_secs_f64(at).unwrap_or(Duration::MAX));
            at += self.interarrival(rate);
        }
        times
    }

    fn interarrival(&mut self, rate: f64) -> f64 {
        let fraction: f64 = self.rng.random();
        -(1.0 - fraction).ln() / rate.max(1e-6)
    }

    fn random_duration(&mut self, from_ms: u64, to_ms: u64) -> Duration {
        Duration::from_millis(self.rng.random_range(from_ms..to_ms))
    }

    fn random_account(&mut self) -> usize {
        let mut fraction: f64 = self.rng.random();
        for (account, share) in ACCOUNT_SHARES.iter().enumerate() {
            if fraction < *share {
                return account;
            }
            fraction -= share;
        }
        0
    }

    /// Returns an idempotency key that is unique over the plans of all seeds.
    fn idempotency_key(&mut self, kind: &str) -> String {
        let number = self.unique_number();
        format!("{kind}-{}-{number}", self.options.seed)
    }

    /// Returns a number that is unique in the plan.
    fn unique_number(&mut self) -> u64 {
        self.used_numbers += 1;
        self.used_numbers
    }

    fn arrival(&mut self, at: Duration, account: usize, call: Call, targets: LatencyTargets) -> Arrival {
        let entry = self.rng.random_range(0..1 << 16);
        Arrival {
            at,
            account,
            entry,
            call,
            targets,
        }
    }

    /// Returns a call that may run at most once and, for one in four, its retry with the same key through another entry
    /// host.
    fn retried_call(&mut self, at: Duration, call: &Call, targets: LatencyTargets) -> Vec<Arrival> {
        let account = self.random_account();
        let first = self.arrival(at, account, call.clone(), targets);
        let mut arrivals = vec![first];
        if self.rng.random_bool(0.25) {
            let retry_at = at + self.random_duration(1, 600);
            arrivals.push(self.arrival(retry_at, account, call.clone(), targets));
        }
        arrivals
    }
}

impl LatencyTargets {
    const fn chat(first_ms: u64, between_ms: u64, whole_ms: u64) -> Self {
        Self {
            first_token: Some(Duration::from_millis(first_ms)),
            token_gap: Some(Duration::from_millis(between_ms)),
            total: Duration::from_millis(whole_ms),
        }
    }

    const fn service(whole_ms: u64) -> Self {
        Self {
            first_token: None,
            token_gap: None,
            total: Duration::from_millis(whole_ms),
        }
    }

    fn contract_targets(&self) -> contract::Targets {
        let ms = |time: Duration| time.as_millis() as u64;
        contract::Targets {
            first_token_ms: self.first_token.map(ms),
            between_tokens_ms: self.token_gap.map(ms),
            whole_answer_ms: ms(self.total),
        }
    }
}

impl Arrival {
    /// Returns the expected answer of a chat; empty for other calls.
    #[must_use]
    pub fn expected_text(&self) -> String {
        match &self.call {
            Call::Chat { messages, tokens } => text::expected_answer(messages, *tokens),
            Call::Lookup { .. } | Call::Write { .. } => String::new(),
        }
    }
}

impl Call {
    /// Returns a short description for reports.
    #[must_use]
    pub fn label(&self) -> String {
        match self {
            Self::Chat { messages, tokens } => {
                let words: usize = messages.iter().map(|(_, text)| text.split_whitespace().count()).sum();
                format!("chat of {words} words for {tokens} tokens")
            }
            Self::Lookup { path, .. } => path.clone(),
            Self::Write { key, .. } => key.clone(),
        }
    }
}
