//! The life cycle of a host: starting, serving, leaving, gone.
//!
//! Each stage is a type of its own, so that a host that left cannot serve again; one that comes back under the same
//! name is a new incarnation.

use std::time::Duration;

use derive_more::{Display, From};

use crate::Tick;

/// The host was ordered and does not serve yet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Starting;

/// The host serves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Serving;

/// The host finishes what it has.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Leaving {
    /// When it will be gone, if announced.
    pub gone_at: Option<Tick>,
}

/// The host is gone.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Gone;

/// A host at one stage of its life.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Life<S> {
    incarnation: u64,
    stage: S,
}

/// A host at any stage of its life.
#[derive(Clone, Copy, Debug, Display, From, PartialEq, Eq)]
pub enum AnyLife {
    /// Starting.
    #[display("starting")]
    Starting(Life<Starting>),
    /// Serving.
    #[display("serving")]
    Serving(Life<Serving>),
    /// Leaving.
    #[display("leaving")]
    Leaving(Life<Leaving>),
    /// Gone.
    #[display("gone")]
    Gone(Life<Gone>),
}

impl Life<Starting> {
    /// Begins the life of a host.
    #[must_use]
    pub const fn new(incarnation: u64) -> Self {
        Self {
            incarnation,
            stage: Starting,
        }
    }

    /// The host answers.
    #[must_use]
    pub const fn serve(self) -> Life<Serving> {
        Life {
            incarnation: self.incarnation,
            stage: Serving,
        }
    }
}

impl Life<Serving> {
    /// The host will be taken away.
    #[must_use]
    pub fn leave(self, now: Tick, left: Option<Duration>) -> Life<Leaving> {
        Life {
            incarnation: self.incarnation,
            stage: Leaving {
                gone_at: left.map(|left| now + left),
            },
        }
    }
}

impl Life<Leaving> {
    /// Takes over an announcement that is earlier than the known one.
    #[must_use]
    pub fn hurry(mut self, now: Tick, left: Option<Duration>) -> Self {
        let announced = left.map(|left| now + left);
        self.stage.gone_at = match (self.stage.gone_at, announced) {
            (Some(known), Some(new)) => Some(known.min(new)),
            (known, new) => known.or(new),
        };
        self
    }

    /// Gives the time when it will be gone, if announced.
    #[must_use]
    pub const fn gone_at(&self) -> Option<Tick> {
        self.stage.gone_at
    }

    /// The host is gone.
    #[must_use]
    pub const fn end(self) -> Life<Gone> {
        Life {
            incarnation: self.incarnation,
            stage: Gone,
        }
    }
}

impl AnyLife {
    /// Tells whether new work may go there.
    #[must_use]
    pub const fn takes_work(&self) -> bool {
        matches!(self, Self::Serving(_))
    }

    /// Gives the incarnation.
    #[must_use]
    pub const fn incarnation(&self) -> u64 {
        match self {
            Self::Starting(life) => life.incarnation,
            Self::Serving(life) => life.incarnation,
            Self::Leaving(life) => life.incarnation,
            Self::Gone(life) => life.incarnation,
        }
    }
}
