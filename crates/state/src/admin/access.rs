//! Who may do what.

use contract::KeyHash;
use derive_more::Display;
use rouille::{Request, Response};

use super::{Admin, problem};
use crate::applied::Role;

/// What a request needs.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub(super) enum Right {
    #[display("view")]
    View,
    #[display("contract")]
    Contract,
    #[display("capacity")]
    Capacity,
    #[display("root")]
    Root,
}

/// Who makes a request.
#[derive(Debug)]
pub(super) struct Caller {
    pub(super) name: String,
    /// `None` for the key from the node's settings, which may do everything.
    role: Option<Role>,
}

impl Right {
    pub(super) fn of(method: &str, parts: &[&str]) -> Self {
        match (method, parts.get(1)) {
            ("GET", _) => Self::View,
            (_, Some(&"contracts")) => Self::Contract,
            (_, Some(&"upstreams" | &"rules" | &"drains")) => Self::Capacity,
            _ => Self::Root,
        }
    }
}

impl Caller {
    pub(super) fn may(&self, right: Right) -> bool {
        match self.role {
            None => true,
            Some(Role::View) => right == Right::View,
            Some(Role::Contract) => matches!(right, Right::View | Right::Contract),
            Some(Role::Capacity) => matches!(right, Right::View | Right::Capacity),
        }
    }
}

impl Admin {
    /// Finds out who makes a request.
    pub(super) fn caller(&self, request: &Request) -> Result<Caller, Response> {
        let key = request
            .header("Authorization")
            .and_then(|value| value.strip_prefix("Bearer "));
        let refusal = || problem(401, "a valid operator key is needed in the Authorization header");
        let hash = key.map(KeyHash::of).ok_or_else(refusal)?;
        if hash.matches(&self.key) {
            let name = request.header("Operator").unwrap_or("root").to_owned();
            return Ok(Caller { name, role: None });
        }
        let found = self.ask(move |applied, _| {
            let mut operators = applied.operators.iter();
            let found = operators.find(|(_, operator)| operator.key_hash.matches(&hash));
            found.map(|(name, operator)| (name.clone(), operator.role))
        });
        let (name, role) = found.flatten().ok_or_else(refusal)?;
        Ok(Caller { name, role: Some(role) })
    }
}
