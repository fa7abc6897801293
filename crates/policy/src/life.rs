//! The life cycle of a host: starting, serving, suspected, leaving, gone.
//!
//! Each stage is a type of its own, so that a host that has left cannot serve again. One that comes back under the same
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

/// The host refused a connection and may be gone, without any notice.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Suspected;

/// The host finishes its work and gets no more.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Leaving {
    /// When the host will be gone; absent if the notice did not say.
    pub gone_at: Option<Tick>,
}

/// The host is gone.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Gone;

/// A host at the stage `S` of its life cycle.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HostState<S> {
    incarnation: u64,
    stage: S,
}

/// A host at any stage of its life cycle.
#[derive(Clone, Copy, Debug, Display, From, PartialEq, Eq)]
pub enum AnyHostState {
    /// Ordered, not serving yet.
    #[display("starting")]
    Starting(HostState<Starting>),
    /// Takes work.
    #[display("serving")]
    Serving(HostState<Serving>),
    /// Refused a connection and has not answered since.
    #[display("doubted")]
    Suspected(HostState<Suspected>),
    /// Is reclaimed or drained.
    #[display("leaving")]
    Leaving(HostState<Leaving>),
    /// Has ended.
    #[display("gone")]
    Gone(HostState<Gone>),
}

impl HostState<Starting> {
    /// Starts the life cycle of an incarnation.
    #[must_use]
    pub const fn new(incarnation: u64) -> Self {
        Self {
            incarnation,
            stage: Starting,
        }
    }

    /// Moves to serving, once the host answers.
    #[must_use]
    pub const fn serve(self) -> HostState<Serving> {
        HostState {
            incarnation: self.incarnation,
            stage: Serving,
        }
    }
}

impl HostState<Serving> {
    /// Moves to leaving; the host will be gone after `left`, if known.
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
    /// Moves to suspected, because the host refused a connection.
    #[must_use]
    pub const fn suspect(self) -> HostState<Suspected> {
        HostState {
            incarnation: self.incarnation,
            stage: Suspected,
        }
    }
}

impl HostState<Suspected> {
    /// Moves back to serving, because the host answers again.
    #[must_use]
    pub const fn recover(self) -> HostState<Serving> {
        HostState {
            incarnation: self.incarnation,
            stage: Serving,
        }
    }
}

impl HostState<Leaving> {
    /// Applies another notice; the earliest known end counts.
    #[must_use]
    pub fn shorten(mut self, now: Tick, left: Option<Duration>) -> Self {
        let announced = left.map(|left| now + left);
        self.stage.gone_at = match (self.stage.gone_at, announced) {
            (Some(known), Some(new)) => Some(known.min(new)),
            (known, new) => known.or(new),
        };
        self
    }

    /// Returns the time at which the host will be gone; `None` if no notice said.
    #[must_use]
    pub const fn gone_at(&self) -> Option<Tick> {
        self.stage.gone_at
    }

    /// Moves to gone.
    #[must_use]
    pub const fn end(self) -> HostState<Gone> {
        HostState {
            incarnation: self.incarnation,
            stage: Gone,
        }
    }
}

impl AnyHostState {
    /// Returns whether new work may be sent to the host.
    #[must_use]
    pub const fn accepts_work(&self) -> bool {
        matches!(self, Self::Serving(_))
    }

    /// Returns the incarnation, which grows with each host of the same name.
    #[must_use]
    pub const fn incarnation(&self) -> u64 {
        match self {
            Self::Starting(state) => state.incarnation,
            Self::Serving(state) => state.incarnation,
            Self::Suspected(state) => state.incarnation,
            Self::Leaving(state) => state.incarnation,
            Self::Gone(state) => state.incarnation,
        }
    }

    /// Returns the state after an event.
    ///
    /// Events arrive late, twice and in any order, so the stage never goes back except from suspected to serving.
    /// Otherwise an outdated list that still shows the host as serving would undo its reclaim notice, and requests
    /// would be sent to a host that is about to end.
    #[must_use]
    pub fn after(self, event: HostEvent, now: Tick) -> Self {
        match (self, event) {
            (Self::Starting(state), HostEvent::Answered) => state.serve().into(),
            (Self::Suspected(state), HostEvent::Answered) => state.recover().into(),
            (Self::Serving(state), HostEvent::Refused) => state.suspect().into(),
            (Self::Gone(_), _) | (_, HostEvent::Answered | HostEvent::Refused) => self,
            (Self::Leaving(state), HostEvent::Leaves { left }) => state.shorten(now, left).into(),
            (Self::Leaving(state), HostEvent::Gone) => state.end().into(),
            (before, HostEvent::Leaves { left }) => before.as_serving().leave(now, left).into(),
            (before, HostEvent::Gone) => before.as_serving().leave(now, None).end().into(),
        }
    }

    const fn as_serving(self) -> HostState<Serving> {
        HostState {
            incarnation: self.incarnation(),
            stage: Serving,
        }
    }
}

/// An observation about a host.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HostEvent {
    /// The host will be reclaimed or is drained.
    Leaves {
        /// Time until the host is gone; absent if the notice did not say.
        left: Option<Duration>,
    },
    /// The host is gone.
    Gone,
    /// The host refused a connection.
    Refused,
    /// The host answered.
    Answered,
}

/// The states of all hosts that had an event. Any other host counts as serving.
#[derive(Debug, Default)]
pub struct HostStates {
    hosts: HashMap<HostId, AnyHostState>,
}

impl HostStates {
    /// Applies an event and returns the new state if it changed.
    ///
    /// An event of an earlier incarnation is outdated and ignored.
    pub fn apply_event(
        &mut self,
        host: &HostId,
        incarnation: u64,
        event: HostEvent,
        now: Tick,
    ) -> Option<AnyHostState> {
        let known = self.hosts.get(host).copied();
        let before = match known {
            Some(state) if state.incarnation() > incarnation => return None,
            Some(state) if state.incarnation() == incarnation => state,
            _ => HostState::new(incarnation).serve().into(),
        };
        let after = before.after(event, now);
        // Hosts that simply serve get no entry, which keeps the table small.
        if known.is_some() || after != before {
            self.hosts.insert(host.clone(), after);
        }
        (after != before).then_some(after)
    }

    /// Returns the state of an incarnation of a host.
    #[must_use]
    pub fn state(&self, host: &HostId, incarnation: u64) -> AnyHostState {
        match self.hosts.get(host) {
            Some(state) if state.incarnation() == incarnation => *state,
            // A newer incarnation is known, so this one is gone.
            Some(state) if state.incarnation() > incarnation => HostState::new(incarnation)
                .serve()
                .leave(Tick::default(), None)
                .end()
                .into(),
            _ => HostState::new(incarnation).serve().into(),
        }
    }

    /// Returns whether new work may be sent to an incarnation of a host.
    #[must_use]
    pub fn accepts_work(&self, host: &HostId, incarnation: u64) -> bool {
        self.state(host, incarnation).accepts_work()
    }

    /// Iterates over the hosts that had an event.
    pub fn iter(&self) -> impl Iterator<Item = (&HostId, &AnyHostState)> {
        self.hosts.iter()
    }

    /// Drops the hosts for which `keep` returns false; without this the table would grow with every host that ever
    /// existed.
    pub fn retain(&mut self, keep: impl Fn(&HostId, &AnyHostState) -> bool) {
        self.hosts.retain(|host, state| keep(host, state));
    }
}
