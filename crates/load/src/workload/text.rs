//! Words, conversations and what contracts of trials share.

use contract::{Account, AccountName, Class, ClassName, Contract, CustomerId, CustomerLimits, Matcher, RetrySafety};
use rand::Rng;

use super::{ACCOUNTS, Arrival, Call, Draw, Promise, key_hash};

/// How conversations go.
pub(super) struct Talk {
    /// Instructions that several conversations share, in words.
    pub(super) shared: usize,
    /// Different instructions.
    pub(super) variants: u64,
    /// Turns, least and most.
    pub(super) turns: (u64, u64),
    /// Words of a question, least and most.
    pub(super) words: (usize, usize),
    /// Tokens of an answer, least and most.
    pub(super) tokens: (u64, u64),
    /// Milliseconds from one turn to the next, least and most.
    pub(super) pause: (u64, u64),
    /// What is promised.
    pub(super) promise: Promise,
}

impl Talk {
    /// Gives the mean number of turns.
    pub(super) fn mean_turns(&self) -> f64 {
        (self.turns.0 + self.turns.1) as f64 / 2.0
    }
}

impl Draw {
    /// Gives a text whose words depend on the number and the draw alone.
    fn words(&mut self, count: usize) -> String {
        let words: Vec<String> = (0..count)
            .map(|_| format!("{:04x}", self.rng.random::<u16>()))
            .collect();
        words.join(" ")
    }

    /// Gives the turns of a conversation that begins at a time.
    ///
    /// An answer is a function of its prompt, so that later turns can hold it before it was made.
    pub(super) fn talk(&mut self, at: std::time::Duration, talk: &Talk) -> Vec<Arrival> {
        let account = self.account();
        let variant = self.rng.random_range(0..talk.variants);
        let mut messages = vec![("system".to_owned(), instructions(variant, talk.shared))];
        let mut arrivals = Vec::new();
        let mut at = at;
        for _ in 0..self.rng.random_range(talk.turns.0..=talk.turns.1) {
            let count = self.rng.random_range(talk.words.0..=talk.words.1);
            messages.push(("user".to_owned(), self.words(count)));
            let tokens = self.rng.random_range(talk.tokens.0..=talk.tokens.1);
            let call = Call::Chat {
                messages: messages.clone(),
                tokens,
            };
            arrivals.push(self.arrival(at, account, call, talk.promise));
            messages.push(("assistant".to_owned(), right_answer(&messages, tokens)));
            at += self.within(talk.pause.0, talk.pause.1);
        }
        arrivals
    }
}

/// Gives the answer that an engine makes from a prompt.
pub(crate) fn right_answer(messages: &[(String, String)], tokens: u64) -> String {
    let (prompt, begun) = standin::engine::continuation(messages, false);
    (begun..tokens)
        .map(|position| standin::engine::token(prompt, position))
        .collect()
}

fn instructions(variant: u64, words: usize) -> String {
    let words: Vec<String> = (0..words).map(|at| format!("i{variant}w{at}")).collect();
    words.join(" ")
}

/// Makes a contract whose limits are not what a trial measures.
pub(super) fn contract(customer: &str, classes: Vec<Class>) -> Contract {
    let accounts = (0..ACCOUNTS.len()).map(|account| Account {
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

/// Makes a class.
pub(super) fn class(name: &str, matches: Matcher, promise: Promise, repeat: RetrySafety, shed: u8) -> Class {
    Class {
        name: ClassName::from(name),
        matches,
        targets: promise.targets(),
        repeat,
        shed,
    }
}

/// Matches calls to a service.
pub(super) fn to_service(service: &str, method: &str) -> Matcher {
    Matcher {
        service: Some(service.into()),
        method: Some(method.to_owned()),
        ..Matcher::default()
    }
}

/// Matches questions to a model.
pub(super) fn to_model(model: &str, prompt_up_to: Option<u64>) -> Matcher {
    Matcher {
        model: Some(model.into()),
        prompt_up_to,
        ..Matcher::default()
    }
}
