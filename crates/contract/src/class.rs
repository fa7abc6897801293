//! Classes of a contract: which requests belong to them and what these are promised.

use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::{ClassName, ModelName, Problems, ServiceName};

/// What a name may be made of.
pub(crate) const NAME: &str = "a name of letters, digits and -_.:/";
/// Longest latency target, in milliseconds: one day.
const MAX_TARGET_MS: u64 = 86_400_000;
/// Methods that a class may name.
const METHODS: [&str; 6] = ["GET", "HEAD", "POST", "PUT", "PATCH", "DELETE"];

/// Requests that are promised the same.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Class {
    /// Name of the class within the contract.
    pub name: ClassName,
    /// Which requests belong to it.
    #[serde(default)]
    pub matches: Matcher,
    /// Latency targets.
    pub targets: Targets,
    /// Whether a request may be sent a second time.
    pub repeat: Repeat,
    /// Order of shedding: under overload, higher numbers are refused first.
    #[serde(default)]
    pub shed: u8,
}

/// Conditions on a request; an absent one holds for every request.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Matcher {
    /// Name of the plain service; requests to engines never match it.
    pub service: Option<ServiceName>,
    /// HTTP method, in capitals.
    pub method: Option<String>,
    /// Start of the path below the service.
    pub route: Option<String>,
    /// Name of the model; requests to services never match it.
    pub model: Option<ModelName>,
    /// Longest prompt, in tokens.
    pub prompt_up_to: Option<u64>,
}

/// Latency targets in milliseconds from the arrival of the request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Targets {
    /// Until the first token; absent for plain services.
    pub first_token_ms: Option<u64>,
    /// Between two tokens; absent for plain services.
    pub between_tokens_ms: Option<u64>,
    /// Until the whole answer.
    pub whole_answer_ms: u64,
}

/// Whether a request may be sent more than once.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Repeat {
    /// Running it twice has the effect of running it once.
    #[display("idempotent")]
    Idempotent,
    /// It must run at most once and needs an idempotency key.
    #[display("at_most_once")]
    AtMostOnce,
}

/// What classes look at in a request.
#[derive(Clone, Copy, Debug)]
pub struct Request<'a> {
    /// The plain service that is called, if any.
    pub service: Option<&'a str>,
    /// HTTP method in capitals.
    pub method: &'a str,
    /// Path below the service.
    pub route: &'a str,
    /// Model that is asked for, if any.
    pub model: Option<&'a str>,
    /// Length of the prompt, in tokens.
    pub prompt_tokens: u64,
}

impl Matcher {
    /// Tells whether every condition holds.
    #[must_use]
    pub fn holds(&self, request: &Request<'_>) -> bool {
        let same = |want: Option<&str>, got: Option<&str>| want.is_none() || want == got;
        same(self.service.as_ref().map(ServiceName::as_str), request.service)
            && same(self.model.as_ref().map(ModelName::as_str), request.model)
            && same(self.method.as_deref(), Some(request.method))
            && self
                .route
                .as_deref()
                .is_none_or(|route| request.route.starts_with(route))
            && self.prompt_up_to.is_none_or(|most| request.prompt_tokens <= most)
    }
}

impl Class {
    /// Checks everything that can be checked without the other classes.
    pub(crate) fn check(&self, problems: &mut Problems, at: &str) {
        self.targets.check(problems, &format!("{at}.targets"));
        self.matches.check(problems, &format!("{at}.matches"));
        // Answers of engines are resumed and replayed elsewhere, so none of them can be promised to run once only.
        let once = self.repeat == Repeat::AtMostOnce;
        problems.check(
            !once || self.matches.service.is_some(),
            &format!("{at}.repeat"),
            &self.repeat,
            "idempotent, or a service in matches",
        );
    }
}

impl Matcher {
    /// Tells whether every request that belongs to another matcher belongs to this one too.
    pub(crate) fn covers(&self, other: &Self) -> bool {
        fn wider<T: PartialEq>(mine: Option<&T>, other: Option<&T>) -> bool {
            mine.is_none() || mine == other
        }
        let longer = |route: &str| self.route.as_deref().is_none_or(|mine| route.starts_with(mine));
        let shorter = |most: u64| self.prompt_up_to.is_none_or(|mine| most <= mine);
        wider(self.service.as_ref(), other.service.as_ref())
            && wider(self.model.as_ref(), other.model.as_ref())
            && wider(self.method.as_ref(), other.method.as_ref())
            && other.route.as_deref().map_or(self.route.is_none(), longer)
            && other.prompt_up_to.map_or(self.prompt_up_to.is_none(), shorter)
    }

    fn check(&self, problems: &mut Problems, at: &str) {
        if let Some(service) = &self.service {
            problems.check(service.is_valid(), &format!("{at}.service"), service, NAME);
        }
        if let Some(model) = &self.model {
            problems.check(model.is_valid(), &format!("{at}.model"), model, NAME);
        }
        if let Some(method) = &self.method {
            let known = METHODS.contains(&method.as_str());
            problems.check(
                known,
                &format!("{at}.method"),
                method,
                "GET, HEAD, POST, PUT, PATCH or DELETE",
            );
        }
        if let Some(route) = &self.route {
            problems.check(
                route.starts_with('/'),
                &format!("{at}.route"),
                route,
                "a path that begins with a slash",
            );
        }
        if let Some(most) = self.prompt_up_to {
            problems.check(most > 0, &format!("{at}.prompt_up_to"), &most, "1 or more tokens");
        }
        let both = self.service.is_some() && self.model.is_some();
        problems.check(!both, at, &"service and model", "one of service and model");
    }
}

impl Targets {
    fn check(&self, problems: &mut Problems, at: &str) {
        let mut check = |name: &str, value: Option<u64>| {
            let good = value.is_none_or(|ms| (1..=MAX_TARGET_MS).contains(&ms));
            problems.check(
                good,
                &format!("{at}.{name}"),
                &&value.unwrap_or_default(),
                "1 to 86400000 ms",
            );
        };
        check("first_token_ms", self.first_token_ms);
        check("between_tokens_ms", self.between_tokens_ms);
        check("whole_answer_ms", Some(self.whole_answer_ms));
        for (name, value) in [
            ("first_token_ms", self.first_token_ms),
            ("between_tokens_ms", self.between_tokens_ms),
        ] {
            let value = value.unwrap_or_default();
            problems.check(
                value <= self.whole_answer_ms,
                &format!("{at}.{name}"),
                &value,
                "at most whole_answer_ms",
            );
        }
    }
}
