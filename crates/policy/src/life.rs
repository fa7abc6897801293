//! The life cycle of a host: starting, serving, doubted, leaving, gone.
//!
//! Each stage is a type of its own, so that a host that left cannot serve again; one that comes back under the same
//! name is a new incarnation.

use std::collections::HashMap;
use std::time::Duration;

use contract::HostId;
use derive_more::{Display, From};

use crate::Tick;

/// The host was ordered and does not serve yet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Starting;

/// The host serves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Serving;

/// The host refused a connection and may be gone; nobody has announced it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Suspected;

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
pub struct HostState<S> {
    incarnation: u64,
    stage: S,
}

/// A host at any stage of its life.
#[derive(Clone, Copy, Debug, Display, From, PartialEq, Eq)]
pub enum AnyHostState {
    /// Starting.
    #[display("starting")]
    Starting(HostState<Starting>),
    /// Serving.
    #[display("serving")]
    Serving(HostState<Serving>),
    /// Doubted.
    #[display("doubted")]
    Suspected(HostState<Suspected>),
    /// Leaving.
    #[display("leaving")]
    Leaving(HostState<Leaving>),
    /// Gone.
    #[display("gone")]
    Gone(HostState<Gone>),
}

impl HostState<Starting> {
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
    pub const fn serve(self) -> HostState<Serving> {
        HostState {
            incarnation: self.incarnation,
            stage: Serving,
        }
    }
}

impl HostState<Serving> {
    /// The host will be taken away.
    #[must_use]
    pub fn leave(self, now: Tick, left: Option<Duration>) -> HostState<Leaving> {
        HostState {
            incarnation: self.incarnation,
            stage: Leaving {
                gone_at: left.map(|left| now + left),
            },
        }
    }
}

impl HostState<Serving> {
    /// The host refused a connection.
    #[must_use]
    pub const fn doubt(self) -> HostState<Suspected> {
        HostState {
            incarnation: self.incarnation,
            stage: Suspected,
        }
    }
}

impl HostState<Suspected> {
    /// The host answers again.
    #[must_use]
    pub const fn trust(self) -> HostState<Serving> {
        HostState {
            incarnation: self.incarnation,
            stage: Serving,
        }
    }
}

impl HostState<Leaving> {
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
    pub const fn end(self) -> HostState<Gone> {
        HostState {
            incarnation: self.incarnation,
            stage: Gone,
        }
    }
}

impl AnyHostState {
    /// Tells whether new work may go there.
    #[must_use]
    pub const fn accepts_work(&self) -> bool {
        matches!(self, Self::Serving(_))
    }

    /// Gives the incarnation.
    #[must_use]
    pub const fn incarnation(&self) -> u64 {
        match self {
            Self::Starting(life) => life.incarnation,
            Self::Serving(life) => life.incarnation,
            Self::Suspected(life) => life.incarnation,
            Self::Leaving(life) => life.incarnation,
            Self::Gone(life) => life.incarnation,
        }
    }

    /// Gives the life after a sign.
    ///
    /// Signs come late, twice and in any order, so a stage never goes back to an earlier one: a list that still shows a
    /// host as serving would otherwise undo its notice, and callers' work would go to a host that is about to be gone.
    #[must_use]
    pub fn after(self, sign: HostEvent, now: Tick) -> Self {
        match (self, sign) {
            (Self::Starting(life), HostEvent::Answered) => life.serve().into(),
            (Self::Suspected(life), HostEvent::Answered) => life.trust().into(),
            (Self::Serving(life), HostEvent::Refused) => life.doubt().into(),
            (Self::Gone(_), _) | (_, HostEvent::Answered | HostEvent::Refused) => self,
            (Self::Leaving(life), HostEvent::Leaves { left }) => life.hurry(now, left).into(),
            (Self::Leaving(life), HostEvent::Gone) => life.end().into(),
            (before, HostEvent::Leaves { left }) => before.served().leave(now, left).into(),
            (before, HostEvent::Gone) => before.served().leave(now, None).end().into(),
        }
    }

    const fn served(self) -> HostState<Serving> {
        HostState {
            incarnation: self.incarnation(),
            stage: Serving,
        }
    }
}

/// Something that tells about the life of a host.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HostEvent {
    /// It will be taken away or is drained.
    Leaves {
        /// Time until it is gone, if announced.
        left: Option<Duration>,
    },
    /// It is gone.
    Gone,
    /// It refused a connection.
    Refused,
    /// It answered.
    Answered,
}

/// The lives of all hosts that signs have told about; a host that no sign has told about serves.
#[derive(Debug, Default)]
pub struct HostStates {
    hosts: HashMap<HostId, AnyHostState>,
}

impl HostStates {
    /// Takes a sign in; returns the new stage where it changed.
    ///
    /// A sign about an earlier host of the same name is late and changes nothing.
    pub fn apply_event(&mut self, host: &HostId, incarnation: u64, sign: HostEvent, now: Tick) -> Option<AnyHostState> {
        let known = self.hosts.get(host).copied();
        let before = match known {
            Some(life) if life.incarnation() > incarnation => return None,
            Some(life) if life.incarnation() == incarnation => life,
            _ => HostState::new(incarnation).serve().into(),
        };
        let after = before.after(sign, now);
        // Hosts that just serve need no row, which keeps the table as small as the trouble.
        if known.is_some() || after != before {
            self.hosts.insert(host.clone(), after);
        }
        (after != before).then_some(after)
    }

    /// Gives the stage of a host.
    #[must_use]
    pub fn stage(&self, host: &HostId, incarnation: u64) -> AnyHostState {
        match self.hosts.get(host) {
            Some(life) if life.incarnation() == incarnation => *life,
            // A newer host of that name is known, so this one is gone.
            Some(life) if life.incarnation() > incarnation => HostState::new(incarnation)
                .serve()
                .leave(Tick::default(), None)
                .end()
                .into(),
            _ => HostState::new(incarnation).serve().into(),
        }
    }

    /// Tells whether new work may go to a host.
    #[must_use]
    pub fn takes_work(&self, host: &HostId, incarnation: u64) -> bool {
        self.stage(host, incarnation).accepts_work()
    }

    /// Gives every host that signs have told about.
    pub fn iter(&self) -> impl Iterator<Item = (&HostId, &AnyHostState)> {
        self.hosts.iter()
    }

    /// Forgets hosts, so that the table doesn't grow with every host that ever was.
    pub fn retain(&mut self, keep: impl Fn(&HostId, &AnyHostState) -> bool) {
        self.hosts.retain(|host, life| keep(host, life));
    }
}
