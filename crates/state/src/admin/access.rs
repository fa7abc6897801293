//! Authentication and permissions of operators.

use contract::KeyHash;
use derive_more::Display;
use rouille::{Request, Response};

use super::{Admin, problem};
use crate::applied::Role;

/// Permission that a request needs.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub(super) enum Permission {
    #[display("view")]
    View,
    #[display("contract")]
    Contract,
    #[display("capacity")]
    Capacity,
    /// Held only by the key from the node's settings.
    #[display("root")]
    Root,
}

/// The authenticated operator of a request.
#[derive(Debug)]
pub(super) struct Caller {
    pub(super) name: String,
    /// `None` for the key from the node's settings, which has every permission.
    role: Option<Role>,
}

impl Permission {
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
    pub(super) fn may(&self, permission: Permission) -> bool {
        match self.role {
            None => true,
            Some(Role::View) => permission == Permission::View,
            Some(Role::Contract) => matches!(permission, Permission::View | Permission::Contract),
            Some(Role::Capacity) => matches!(permission, Permission::View | Permission::Capacity),
        }
    }
}

impl Admin {
    /// Authenticates a request by its bearer key; returns the refusal otherwise.
    pub(super) fn authenticate(&self, request: &Request) -> Result<Caller, Response> {
        let key = request
            .header("Authorization")
            .and_then(|value| value.strip_prefix("Bearer "));
        let refusal = || problem(401, "a valid operator key is needed in the Authorization header");
        let hash = key.map(KeyHash::of).ok_or_else(refusal)?;
        if hash.matches(&self.key) {
            let name = request.header("Operator").unwrap_or("root").to_owned();
            return Ok(Caller { name, role: None });
        }
        let found = self.with_state(move |applied, _| {
            let mut operators = applied.operators.iter();
            let found = operators.find(|(_, operator)| operator.key_hash.matches(&hash));
            found.map(|(name, operator)| (name.clone(), operator.role))
        });
        let found = found.ok_or_else(|| problem(503, "the node is blank, stopping or overloaded"))?;
        let (name, role) = found.ok_or_else(refusal)?;
        Ok(Caller { name, role: Some(role) })
    }
}
