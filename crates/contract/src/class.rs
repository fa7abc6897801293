//! Service classes of a contract: which requests belong to them and which latency targets they are promised.

use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::{ClassName, ModelName, ServiceName, ValidationErrors};

/// Allowed form of names, as shown in validation errors.
pub(crate) const NAME_FORM: &str = "a name of letters, digits and -_.:/";
/// Longest latency target, in milliseconds: one day.
const MAX_TARGET_MS: u64 = 86_400_000;
/// HTTP methods that a class can match.
const METHODS: [&str; 6] = ["GET", "HEAD", "POST", "PUT", "PATCH", "DELETE"];

/// A set of requests with the same latency targets and retry rules.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Class {
    /// Name of the class within the contract.
    pub name: ClassName,
    /// Conditions that a request of the class meets.
    #[serde(default)]
    pub matches: Matcher,
    /// Latency targets that the customer was promised.
    pub targets: Targets,
    /// Whether a request may be resent.
    pub repeat: RetrySafety,
    /// Load shedding order: under overload, higher numbers are rejected first.
    #[serde(default)]
    pub shed: u8,
}

/// Conditions on a request; an absent condition holds for every request.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Matcher {
    /// Name of the plain service; requests to engines never match it.
    pub service: Option<ServiceName>,
    /// HTTP method in upper case.
    pub method: Option<String>,
    /// Prefix of the path below the service.
    pub route: Option<String>,
    /// Name of the model; requests to services never match it.
    pub model: Option<ModelName>,
    /// Longest prompt, in tokens.
    pub prompt_up_to: Option<u64>,
}

/// Latency targets in milliseconds, at most one day; all but the gap count from the arrival of the request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Targets {
    /// Time to the first token; absent for plain services.
    pub first_token_ms: Option<u64>,
    /// Gap between two tokens; absent for plain services.
    pub between_tokens_ms: Option<u64>,
    /// Time to the complete response.
    pub whole_answer_ms: u64,
}

/// Whether a request may be sent more than once.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RetrySafety {
    /// Running the request twice has the same effect as running it once.
    #[display("idempotent")]
    Idempotent,
    /// The request must run at most once and needs an idempotency key.
    #[display("at_most_once")]
    AtMostOnce,
}

/// Attributes of a request that classes are matched against.
#[derive(Clone, Copy, Debug)]
pub struct RequestAttributes<'a> {
    /// Name of the plain service that is called; `None` for requests to engines.
    pub service: Option<&'a str>,
    /// HTTP method in upper case.
    pub method: &'a str,
    /// Path below the service.
    pub route: &'a str,
    /// Name of the requested model; `None` for requests to services.
    pub model: Option<&'a str>,
    /// Length of the prompt, in tokens.
    pub prompt_tokens: u64,
}

impl Matcher {
    /// Returns whether the request meets every condition.
    #[must_use]
    pub fn holds(&self, request: &RequestAttributes<'_>) -> bool {
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
    /// Checks the fields of the class by themselves, without regard to the other classes.
    pub(crate) fn check(&self, problems: &mut ValidationErrors, path: &str) {
        self.targets.check(problems, &format!("{path}.targets"));
        self.matches.check(problems, &format!("{path}.matches"));
        // Engine requests are resumed and replayed on other engines, so at-most-once can't be promised for them.
        let at_most_once = self.repeat == RetrySafety::AtMostOnce;
        problems.check(
            !at_most_once || self.matches.service.is_some(),
            &format!("{path}.repeat"),
            &self.repeat,
            "idempotent, or a service in matches",
        );
    }
}

impl Matcher {
    /// Returns whether every request that matches `other` matches this matcher too.
    pub(crate) fn covers(&self, other: &Self) -> bool {
        fn includes<T: PartialEq>(mine: Option<&T>, other: Option<&T>) -> bool {
            mine.is_none() || mine == other
        }
        let route_within = |route: &str| self.route.as_deref().is_none_or(|mine| route.starts_with(mine));
        let limit_within = |most: u64| self.prompt_up_to.is_none_or(|mine| most <= mine);
        includes(self.service.as_ref(), other.service.as_ref())
            && includes(self.model.as_ref(), other.model.as_ref())
            && includes(self.method.as_ref(), other.method.as_ref())
            && other.route.as_deref().map_or(self.route.is_none(), route_within)
            && other.prompt_up_to.map_or(self.prompt_up_to.is_none(), limit_within)
    }

    fn check(&self, problems: &mut ValidationErrors, path: &str) {
        if let Some(service) = &self.service {
            problems.check(service.is_valid(), &format!("{path}.service"), service, NAME_FORM);
        }
        if let Some(model) = &self.model {
            problems.check(model.is_valid(), &format!("{path}.model"), model, NAME_FORM);
        }
        if let Some(method) = &self.method {
            let known = METHODS.contains(&method.as_str());
            problems.check(
                known,
                &format!("{path}.method"),
                method,
                "GET, HEAD, POST, PUT, PATCH or DELETE",
            );
        }
        if let Some(route) = &self.route {
            problems.check(
                route.starts_with('/'),
                &format!("{path}.route"),
                route,
                "a path that begins with a slash",
            );
        }
        if let Some(most) = self.prompt_up_to {
            problems.check(most > 0, &format!("{path}.prompt_up_to"), &most, "1 or more tokens");
        }
        let both = self.service.is_some() && self.model.is_some();
        problems.check(!both, path, &"service and model", "one of service and model");
    }
}

impl Targets {
    fn check(&self, problems: &mut ValidationErrors, path: &str) {
        let mut check = |name: &str, value: Option<u64>| {
            let in_range = value.is_none_or(|ms| (1..=MAX_TARGET_MS).contains(&ms));
            problems.check(
                in_range,
                &format!("{path}.{name}"),
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
                &format!("{path}.{name}"),
                &value,
                "at most whole_answer_ms",
            );
        }
    }
}
