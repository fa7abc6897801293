//! Conversations, and helpers for the contracts of all workloads.

use contract::{Account, AccountName, Class, ClassName, Contract, CustomerId, CustomerLimits, Matcher, RetrySafety};
use rand::Rng;

use super::{ACCOUNT_SHARES, Arrival, Call, LatencyTargets, PlanGenerator, key_hash};

/// Shape of the conversations of one kind.
pub(super) struct ConversationShape {
    /// Length of the system prompt, which several conversations share, in words.
    pub(super) instruction_words: usize,
    /// Number of different system prompts.
    pub(super) instruction_variants: u64,
    /// Fewest and most turns.
    pub(super) turns: (u64, u64),
    /// Fewest and most words of a question.
    pub(super) question_words: (usize, usize),
    /// Fewest and most tokens of an answer.
    pub(super) answer_tokens: (u64, u64),
    /// Shortest and longest time from one turn to the next, in milliseconds.
    pub(super) pause_ms: (u64, u64),
    /// Latency targets of each turn.
    pub(super) targets: LatencyTargets,
}

impl ConversationShape {
    /// Returns the mean number of turns.
    pub(super) fn mean_turns(&self) -> f64 {
        (self.turns.0 + self.turns.1) as f64 / 2.0
    }
}

impl PlanGenerator {
    /// Returns a text of random words.
    fn random_words(&mut self, count: usize) -> String {
        let words: Vec<String> = (0..count)
            .map(|_| format!("{:04x}", self.rng.random::<u16>()))
            .collect();
        words.join(" ")
    }

    /// Returns the turns of a conversation that starts at a given time.
    ///
    /// Later turns contain the answers to earlier ones, which are known in advance because an answer is a function of
    /// its prompt.
    pub(super) fn conversation(&mut self, at: std::time::Duration, shape: &ConversationShape) -> Vec<Arrival> {
        let account = self.random_account();
        let variant = self.rng.random_range(0..shape.instruction_variants);
        let mut messages = vec![("system".to_owned(), instructions(variant, shape.instruction_words))];
        let mut arrivals = Vec::new();
        let mut at = at;
        for _ in 0..self.rng.random_range(shape.turns.0..=shape.turns.1) {
            let count = self.rng.random_range(shape.question_words.0..=shape.question_words.1);
            messages.push(("user".to_owned(), self.random_words(count)));
            let tokens = self.rng.random_range(shape.answer_tokens.0..=shape.answer_tokens.1);
            let call = Call::Chat {
                messages: messages.clone(),
                tokens,
            };
            arrivals.push(self.arrival(at, account, call, shape.targets));
            messages.push(("assistant".to_owned(), expected_answer(&messages, tokens)));
            at += self.random_duration(shape.pause_ms.0, shape.pause_ms.1);
        }
        arrivals
    }
}

/// Returns the answer that a stand-in engine generates for a prompt.
pub(crate) fn expected_answer(messages: &[(String, String)], tokens: u64) -> String {
    let (prompt_id, start) = standin::engine::continuation(messages, false);
    (start..tokens)
        .map(|position| standin::engine::token(prompt_id, position))
        .collect()
}

fn instructions(variant: u64, words: usize) -> String {
    let words: Vec<String> = (0..words).map(|at| format!("i{variant}w{at}")).collect();
    words.join(" ")
}

/// Returns a contract with limits too high to affect a trial.
pub(super) fn contract(customer: &str, classes: Vec<Class>) -> Contract {
    let accounts = (0..ACCOUNT_SHARES.len()).map(|account| Account {
        name: AccountName::from(format!("account-{account}")),
        key_hash: key_hash(account),
    });
    Contract {
        customer: CustomerId::from(customer),
        accounts: accounts.collect(),
        limits: CustomerLimits {
            requests_per_s: 2_000.0,
            tokens_per_s: 1_000_000.0,
            concurrency: 2_000,
        },
        share: 1,
        classes,
    }
}

/// Returns a request class.
pub(super) fn class(name: &str, matches: Matcher, targets: LatencyTargets, repeat: RetrySafety, shed: u8) -> Class {
    Class {
        name: ClassName::from(name),
        matches,
        targets: targets.contract_targets(),
        repeat,
        shed,
    }
}

/// Returns a matcher for calls to a service.
pub(super) fn match_service(service: &str, method: &str) -> Matcher {
    Matcher {
        service: Some(service.into()),
        method: Some(method.to_owned()),
        ..Matcher::default()
    }
}

/// Returns a matcher for chats with a model.
pub(super) fn match_model(model: &str, prompt_up_to: Option<u64>) -> Matcher {
    Matcher {
        model: Some(model.into()),
        prompt_up_to,
        ..Matcher::default()
    }
}
