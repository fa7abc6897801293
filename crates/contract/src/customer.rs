//! Customer contracts: accounts, rate limits, fair-share weight and service classes.

use std::collections::BTreeSet;

use derive_more::Display;
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use subtle::ConstantTimeEq;

use crate::class::{Class, NAME_FORM, RequestAttributes};
use crate::{AccountName, CustomerId, ValidationErrors};

/// Most accounts in one contract.
pub const MAX_ACCOUNTS: usize = 1_000;
/// Most classes in one contract.
pub const MAX_CLASSES: usize = 64;
/// Length of a SHA-256 hash in hexadecimal digits.
const HASH_DIGITS: usize = 64;

/// What one customer was promised; rate limits, fair shares and priorities derive from the contract alone.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Contract {
    /// Party to the contract; each customer has at most one.
    pub customer: CustomerId,
    /// Accounts that may call in the name of the customer; 1 to [`MAX_ACCOUNTS`].
    pub accounts: Vec<Account>,
    /// Limits that apply over all entry hosts together.
    pub limits: CustomerLimits,
    /// Fair-share weight against other customers when capacity is short; 1 to 10000.
    pub share: u32,
    /// Service classes, 1 to [`MAX_CLASSES`]; the first class that matches a request applies.
    pub classes: Vec<Class>,
}

/// An account of a customer, with its own bearer key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Account {
    /// Name, unique within the customer.
    pub name: AccountName,
    /// Hash of the bearer key, unique over all customers.
    pub key_hash: KeyHash,
}

/// SHA-256 of a bearer key in lower-case hexadecimal digits; the key itself is never stored.
#[derive(Clone, Debug, Display, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct KeyHash(String);

impl KeyHash {
    /// Hashes a bearer key.
    #[must_use]
    pub fn of(key: &str) -> Self {
        let digest = Sha256::digest(key.as_bytes());
        Self(format!("{digest:x}"))
    }

    /// Compares in constant time, so that the time of a rejection reveals nothing about a stored hash.
    #[must_use]
    pub fn matches(&self, other: &Self) -> bool {
        self.0.as_bytes().ct_eq(other.0.as_bytes()).into()
    }

    fn is_valid(&self) -> bool {
        let digit = |c: char| c.is_ascii_digit() || ('a'..='f').contains(&c);
        self.0.len() == HASH_DIGITS && self.0.chars().all(digit)
    }
}

/// Rate and concurrency limits of a customer over all entry hosts together.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
#[serde(expecting = "struct Limits")]
pub struct CustomerLimits {
    /// Requests per second; above 0.
    pub requests_per_s: f64,
    /// Tokens per second, prompt and completion together; above 0.
    pub tokens_per_s: f64,
    /// Concurrent requests; 1 or more.
    pub concurrency: u32,
}

impl Contract {
    /// Returns the first class that matches a request, or `None` when no class does.
    #[must_use]
    pub fn class_of(&self, request: &RequestAttributes<'_>) -> Option<&Class> {
        self.classes.iter().find(|class| class.matches.holds(request))
    }

    /// Checks every field and collects all errors.
    ///
    /// # Errors
    /// Returns the fields that are out of range, empty or duplicated.
    pub fn validate(&self) -> Result<(), ValidationErrors> {
        let mut problems = ValidationErrors::default();
        problems.check(self.customer.is_valid(), "customer", &self.customer, NAME_FORM);
        problems.check((1..=10_000).contains(&self.share), "share", &self.share, "1 to 10000");
        self.check_limits(&mut problems);
        self.check_accounts(&mut problems);
        self.check_classes(&mut problems);
        problems.into_result()
    }

    fn check_limits(&self, problems: &mut ValidationErrors) {
        let positive = |value: f64| value.is_finite() && value > 0.0;
        let limits = self.limits;
        problems.check(
            positive(limits.requests_per_s),
            "limits.requests_per_s",
            &limits.requests_per_s,
            "a number above 0",
        );
        problems.check(
            positive(limits.tokens_per_s),
            "limits.tokens_per_s",
            &limits.tokens_per_s,
            "a number above 0",
        );
        problems.check(
            limits.concurrency > 0,
            "limits.concurrency",
            &limits.concurrency,
            "1 or more",
        );
    }

    fn check_accounts(&self, problems: &mut ValidationErrors) {
        let count = self.accounts.len();
        problems.check(
            (1..=MAX_ACCOUNTS).contains(&count),
            "accounts",
            &count,
            "1 to 1000 accounts",
        );
        let mut names = BTreeSet::new();
        let mut keys = BTreeSet::new();
        for (at, account) in self.accounts.iter().enumerate() {
            let field = format!("accounts[{at}].name");
            problems.check(account.name.is_valid(), &field, &account.name, NAME_FORM);
            problems.check(
                names.insert(account.name.as_str()),
                &field,
                &account.name,
                "a name that is not used before",
            );
            let field = format!("accounts[{at}].key_hash");
            problems.check(
                account.key_hash.is_valid(),
                &field,
                &"***",
                "64 lower-case hexadecimal digits of SHA-256",
            );
            problems.check(
                keys.insert(account.key_hash.0.as_str()),
                &field,
                &"***",
                "a key that is not used before",
            );
        }
    }

    fn check_classes(&self, problems: &mut ValidationErrors) {
        let count = self.classes.len();
        problems.check((1..=MAX_CLASSES).contains(&count), "classes", &count, "1 to 64 classes");
        let mut names = BTreeSet::new();
        for (at, class) in self.classes.iter().enumerate() {
            let field = format!("classes[{at}].name");
            problems.check(class.name.is_valid(), &field, &class.name, NAME_FORM);
            problems.check(
                names.insert(class.name.as_str()),
                &field,
                &class.name,
                "a name that is not used before",
            );
            class.check(problems, &format!("classes[{at}]"));
            let shadowing = self.classes[..at]
                .iter()
                .find(|before| before.matches.covers(&class.matches));
            if let Some(before) = shadowing {
                let allowed = format!("a class that {} before it does not hide", before.name);
                problems.add(format!("classes[{at}].matches"), &class.name, &allowed);
            }
        }
    }
}
