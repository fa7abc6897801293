//! Learns how the events of a service's streams are numbered, to notice a missing event before the first one of a response.
//!
//! Within a response, the first two events show the distance between ids. The first event of a response has nothing to be
//! compared with but what earlier streams have shown. Nothing is assumed: until several whole streams agree, and after two
//! have differed, any id is good.

use std::collections::HashMap;

use contract::ServiceName;

/// Whole streams that have to agree before others are held against them.
const MIN_STREAMS: u32 = 3;
/// Streams refused in a row after which the numbering counts as changed, also where a service has a single upstream.
const MAX_REFUSED: u32 = 3;
/// Most services and versions whose numbering is kept; any beyond that stay unknown.
pub const MAX_NUMBERINGS: usize = 256;

/// The id that the first event of a response should have.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ExpectedId {
    /// Id by the streams so far.
    pub id: u64,
    /// Another id that is good as well, since another upstream has begun with it too.
    pub confirmed: Option<u64>,
}

/// A number that whole streams have shown.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
enum Learnt {
    #[default]
    Unknown,
    Seen {
        number: u64,
        streams: u32,
        /// Another number that was refused, and the upstream that had it.
        doubt: Option<(String, u64)>,
        /// Streams that were refused since the last whole one.
        refused: u32,
    },
    /// Streams differ.
    Uneven,
}

impl Learnt {
    fn record(&mut self, shown: u64) {
        match self {
            Self::Unknown => {
                *self = Self::Seen {
                    number: shown,
                    streams: 1,
                    doubt: None,
                    refused: 0,
                };
            }
            Self::Seen {
                number,
                streams,
                refused,
                ..
            } if *number == shown => {
                *streams = streams.saturating_add(1);
                *refused = 0;
            }
            Self::Seen { .. } => *self = Self::Uneven,
            Self::Uneven => {}
        }
    }

    fn record_doubt(&mut self, upstream: &str, shown: u64) {
        if let Self::Seen { doubt, refused, .. } = self {
            *doubt = Some((upstream.to_owned(), shown));
            *refused += 1;
            if *refused >= MAX_REFUSED {
                *self = Self::Uneven;
            }
        }
    }

    /// Returns the number that a stream should show, and another one that `upstream` would confirm.
    fn expected(&self, upstream: &str) -> Option<(u64, Option<u64>)> {
        match self {
            Self::Seen {
                number, streams, doubt, ..
            } if *streams >= MIN_STREAMS => {
                let doubt = doubt.as_ref().filter(|(doubted, _)| doubted != upstream);
                Some((*number, doubt.map(|(_, shown)| *shown)))
            }
            _ => None,
        }
    }
}

/// Numbering of the events of one version of a service.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
struct Numbering {
    /// Id of a stream's first event.
    first: Learnt,
    /// Distance between two ids.
    distance: Learnt,
}

/// Numbering of events by service and version.
#[derive(Clone, Debug, Default)]
pub struct EventNumberings {
    versions: HashMap<ServiceName, HashMap<String, Numbering>>,
    count: usize,
}

impl EventNumberings {
    /// Returns the id that the next event should have at an upstream, after the one named `after` or at the beginning of a
    /// stream; `None` if that is not known.
    #[must_use]
    pub fn expected(
        &self,
        (service, version): (&ServiceName, &str),
        upstream: &str,
        after: Option<u64>,
    ) -> Option<ExpectedId> {
        let numbering = self.versions.get(service)?.get(version)?;
        let Some(after) = after else {
            let (id, confirmed) = numbering.first.expected(upstream)?;
            return Some(ExpectedId { id, confirmed });
        };
        let (distance, confirmed) = numbering.distance.expected(upstream)?;
        Some(ExpectedId {
            id: after.checked_add(distance)?,
            confirmed: confirmed.and_then(|distance| after.checked_add(distance)),
        })
    }

    /// Records a stream that came to its end: the id of its first event if it began here, and the distance between ids.
    pub fn record_whole(
        &mut self,
        (service, version): (&ServiceName, &str),
        first: Option<u64>,
        distance: Option<u64>,
    ) {
        let is_known = self
            .versions
            .get(service)
            .is_some_and(|versions| versions.contains_key(version));
        if !is_known && self.count >= MAX_NUMBERINGS {
            return;
        }
        self.count += usize::from(!is_known);
        let versions = self.versions.entry(service.clone()).or_default();
        let numbering = versions.entry(version.to_owned()).or_default();
        if let Some(first) = first {
            numbering.first.record(first);
        }
        if let Some(distance) = distance {
            numbering.distance.record(distance);
        }
    }

    /// Records that an upstream began a response with an event that was not expected, and was refused.
    pub fn record_doubt(
        &mut self,
        (service, version): (&ServiceName, &str),
        upstream: &str,
        after: Option<u64>,
        received: u64,
    ) {
        let versions = self.versions.get_mut(service);
        let Some(numbering) = versions.and_then(|versions| versions.get_mut(version)) else {
            return;
        };
        match after {
            None => numbering.first.record_doubt(upstream, received),
            Some(after) => {
                if let Some(distance) = received.checked_sub(after) {
                    numbering.distance.record_doubt(upstream, distance);
                }
            }
        }
    }

    /// Returns the number of services and versions whose numbering is kept.
    #[must_use]
    pub const fn len(&self) -> usize {
        self.count
    }

    /// Returns whether no numbering is kept.
    #[must_use]
    pub const fn is_empty(&self) -> bool {
        self.count == 0
    }
}
