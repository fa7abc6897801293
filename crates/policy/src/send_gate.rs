//! When a host may send a request to an upstream, by everything that it knows of the upstream.
//!
//! The answer is needed twice: when upstreams are compared, and again right before the bytes of a request are sent, since
//! what is known may have changed while a connection was opened.

use std::time::Duration;

use derive_more::Display;

use crate::Tick;
use crate::backoff::Backoff;
use crate::breaker::Breaker;
use crate::rate_limit::HostLimit;

/// Time for which an upstream is left alone after another incarnation responded at its address: longer than the list
/// names an upstream that has ended. After that, a request finds out again, in case the response was wrong.
const REPLACED_TIME: Duration = Duration::from_secs(10);

/// Why an upstream gets no request of this host now.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum Hold {
    /// It has said that it leaves.
    #[display("it leaves")]
    Leaving,
    /// Another incarnation has its address.
    #[display("another incarnation has its address")]
    Replaced,
    /// Its last requests failed.
    #[display("it fails")]
    Failing,
    /// It has asked this host for a pause, or the host is just returning to it.
    #[display("it wants no requests for {} ms", left.as_millis())]
    Pausing {
        /// Time until the next request may be sent.
        left: Duration,
    },
    /// It limits its requests.
    #[display("its rate limit is used up")]
    Limited {
        /// Time until this host may send one; `None` if other hosts hold the limit.
        left: Option<Duration>,
    },
}

impl Hold {
    /// Returns the time until a request may be sent, if that is known.
    #[must_use]
    pub const fn left(&self) -> Option<Duration> {
        match self {
            Self::Pausing { left } => Some(*left),
            Self::Limited { left } => *left,
            Self::Leaving | Self::Replaced | Self::Failing => None,
        }
    }
}

/// A fact about an upstream that some host has learnt from a response.
#[derive(Clone, Copy, Debug)]
pub struct Heard {
    /// When it was heard last.
    pub at: Tick,
    /// Whether this host heard it from the upstream itself.
    pub own: bool,
}

/// What decides whether a request may be sent to an upstream.
#[derive(Clone, Copy, Debug, Default)]
pub struct SendGate {
    /// Failures of the upstream.
    pub breaker: Breaker,
    /// Rate limit that the upstream names, and this host's part of it.
    pub limit: HostLimit,
    /// Pause that the upstream asks for.
    pub backoff: Backoff,
    /// That the upstream leaves, which is never taken back.
    leaving: Option<Heard>,
    /// That another incarnation has the upstream's address.
    replaced: Option<Heard>,
}

impl SendGate {
    /// Checks whether an upstream may be chosen for a request.
    ///
    /// # Errors
    /// Returns why not.
    pub fn check(&self, now: Tick) -> Result<(), Hold> {
        if !self.breaker.allows(now) {
            return Err(Hold::Failing);
        }
        self.check_news(now)
    }

    /// Takes the right to send one request now. The breaker has granted it before the connection was opened.
    ///
    /// # Errors
    /// Returns why nothing may be sent.
    pub fn claim(&mut self, now: Tick) -> Result<(), Hold> {
        self.check_news(now)?;
        self.backoff.claim(now);
        self.limit.take(now);
        Ok(())
    }

    /// Takes the right to send a call about a request that the upstream runs already, which only a pause forbids.
    ///
    /// # Errors
    /// Returns why nothing may be sent.
    pub fn claim_call(&mut self, now: Tick) -> Result<(), Hold> {
        if self.backoff.claim(now) {
            return Ok(());
        }
        let left = self.backoff.wait(now);
        Err(Hold::Pausing { left })
    }

    /// Takes the right to open a connection for a request of another host, which keeps its own part of the rate limit.
    ///
    /// # Errors
    /// Returns why the upstream may get nothing.
    pub fn claim_relayed(&mut self, now: Tick) -> Result<(), Hold> {
        if self.is_leaving() {
            return Err(Hold::Leaving);
        }
        self.claim_call(now)
    }

    /// Checks what upstreams say of themselves.
    fn check_news(&self, now: Tick) -> Result<(), Hold> {
        if self.is_leaving() {
            return Err(Hold::Leaving);
        }
        if self.is_replaced(now) {
            return Err(Hold::Replaced);
        }
        let left = self.backoff.wait(now);
        if !left.is_zero() {
            return Err(Hold::Pausing { left });
        }
        let left = self.limit.wait(now);
        if left != Some(Duration::ZERO) {
            return Err(Hold::Limited { left });
        }
        Ok(())
    }

    /// Records that the upstream leaves; returns whether that is new.
    pub fn record_leaving(&mut self, heard: Heard) -> bool {
        let is_new = self.leaving.is_none();
        if is_new || heard.own {
            self.leaving = Some(heard);
        }
        is_new
    }

    /// Returns whether the upstream has said that it leaves.
    #[must_use]
    pub const fn is_leaving(&self) -> bool {
        self.leaving.is_some()
    }

    /// Returns the time since the upstream told this host that it leaves; `None` if it has not.
    #[must_use]
    pub fn own_leaving_age(&self, now: Tick) -> Option<Duration> {
        own_age(self.leaving, now)
    }

    /// Records that another incarnation responded at the upstream's address.
    pub const fn record_replaced(&mut self, heard: Heard) {
        self.replaced = Some(heard);
    }

    /// Forgets that another incarnation responded, because the address has changed.
    pub const fn clear_replaced(&mut self) {
        self.replaced = None;
    }

    /// Returns whether another incarnation has the upstream's address, as far as is known.
    #[must_use]
    pub fn is_replaced(&self, now: Tick) -> bool {
        self.replaced.is_some_and(|heard| now.since(heard.at) < REPLACED_TIME)
    }

    /// Returns the time since another incarnation responded to any host at the upstream's address.
    #[must_use]
    pub fn replaced_age(&self, now: Tick) -> Option<Duration> {
        self.replaced.map(|heard| now.since(heard.at))
    }

    /// Returns the time since another incarnation responded to this host at the upstream's address.
    #[must_use]
    pub fn own_replaced_age(&self, now: Tick) -> Option<Duration> {
        own_age(self.replaced, now)
    }
}

fn own_age(heard: Option<Heard>, now: Tick) -> Option<Duration> {
    heard.filter(|heard| heard.own).map(|heard| now.since(heard.at))
}
