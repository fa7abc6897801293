//! Why no upstream takes a request.

use std::time::Duration;

use policy::send_gate::Hold;

/// Why no upstream was chosen.
#[derive(Clone, Copy, Debug, derive_more::Display, PartialEq, Eq)]
pub enum NoUpstream {
    /// The list has none for the service.
    #[display("no upstream is listed")]
    NoneListed,
    /// All that the list has ready have said that they leave.
    #[display("every upstream has said that it leaves")]
    AllLeaving,
    /// The list has none of the version that the request needs.
    #[display("no upstream of the stream's version is listed")]
    NoVersion,
    /// All listed ones fail or were tried.
    #[display("every upstream fails")]
    AllFailing,
    /// All are full.
    #[display("every upstream is full")]
    AllFull,
    /// All that would take the request have asked this host for a pause, or limit their requests.
    #[display("every upstream has asked for a pause")]
    AllPausing {
        /// Time until this host may send one.
        wait: Option<Duration>,
    },
    /// All that would take the request limit their requests.
    #[display("every upstream limits its requests")]
    AllLimited {
        /// Time until this host may send one; `None` if other hosts hold all limits.
        wait: Option<Duration>,
    },
}

impl NoUpstream {
    /// Returns the time until an upstream may get a request, if it is known.
    #[must_use]
    pub const fn wait(&self) -> Option<Duration> {
        match self {
            Self::AllPausing { wait } | Self::AllLimited { wait } => *wait,
            Self::NoneListed | Self::AllLeaving | Self::NoVersion | Self::AllFailing | Self::AllFull => None,
        }
    }

    /// Returns why no upstream is left, given what keeps requests from each.
    pub(super) fn all_held(holds: &[Hold]) -> Self {
        let wait = holds.iter().filter_map(Hold::left).min();
        let is_pausing = |hold: &Hold| matches!(hold, Hold::Pausing { .. });
        let is_limited = |hold: &Hold| matches!(hold, Hold::Limited { .. });
        if holds.iter().any(is_pausing) {
            Self::AllPausing { wait }
        } else if holds.iter().any(is_limited) {
            Self::AllLimited { wait }
        } else {
            Self::AllFailing
        }
    }
}
