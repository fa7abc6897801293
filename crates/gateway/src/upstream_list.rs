//! An entry host's copy of the leader's upstream list.

use std::collections::BTreeMap;
use std::time::Duration;

use contract::ListedUpstream;
use policy::Tick;
use policy::paging::PageSize;
use wire::registry::{Heartbeat, ListPosition, ListUpdate};

/// Size of an entry in a response, rounded up.
const BYTES_PER_ENTRY: u32 = 256;

/// Entries by upstream id, each with the time at which the list that brought it was requested.
type Entries = BTreeMap<String, (ListedUpstream, Tick)>;

/// The copy, and how much of the list it covers.
#[derive(Debug, Default)]
pub struct UpstreamList {
    position: ListPosition,
    entries: Entries,
    /// The part of a whole list that has arrived so far; the old list is used until the new one is complete.
    incoming: Option<Entries>,
    complete: bool,
    changed: bool,
    page_size: PageSize,
}

impl UpstreamList {
    /// States in a heartbeat how much of the list is known, and how many entries may come.
    pub fn fill_request(&self, heartbeat: &mut Heartbeat) {
        heartbeat.list.clone_from(&self.position);
        heartbeat.max_listed = Some(self.max_entries());
    }

    fn max_entries(&self) -> u32 {
        (self.page_size.bytes() / BYTES_PER_ENTRY).max(1)
    }

    /// Returns whether a whole list is on its way, so that the next part should be requested at once.
    #[must_use]
    pub const fn is_incoming(&self) -> bool {
        self.incoming.is_some()
    }

    /// Applies an update of a list that was requested at `requested_at`; the response took `elapsed`.
    pub fn apply_update(&mut self, update: ListUpdate, requested_at: Tick, elapsed: Duration) {
        if (update.put.len() + update.gone.len()) as u32 >= self.max_entries() / 2 {
            self.page_size.record_arrival(elapsed);
        }
        if update.whole {
            self.incoming = Some(Entries::new());
        }
        self.changed |= update.whole || !update.put.is_empty() || !update.gone.is_empty();
        let entries = self.incoming.as_mut().unwrap_or(&mut self.entries);
        for id in update.gone {
            entries.remove(&id);
        }
        let put = update
            .put
            .into_iter()
            .map(|entry| (entry.id.clone(), (entry, requested_at)));
        entries.extend(put);
        self.position = update.mark;
        self.complete = update.complete;
        if update.complete
            && let Some(whole) = self.incoming.take()
        {
            self.entries = whole;
        }
    }

    /// Records that a heartbeat timed out, so that fewer entries are requested.
    pub fn record_timeout(&mut self) {
        self.page_size.record_loss();
    }

    /// Returns whether the copy equals the leader's list.
    #[must_use]
    pub const fn is_complete(&self) -> bool {
        self.complete
    }

    /// Returns whether the list has changed since the last call.
    pub const fn take_changed(&mut self) -> bool {
        std::mem::replace(&mut self.changed, false)
    }

    /// Returns the list as if all entries had been requested at `requested_at`.
    #[must_use]
    pub fn entries_at(&self, requested_at: Tick) -> Vec<ListedUpstream> {
        let aged = |(entry, entry_time): &(ListedUpstream, Tick)| {
            let elapsed = requested_at.since(*entry_time);
            ListedUpstream {
                cold: entry.cold.saturating_sub(elapsed),
                left: entry.left.map(|left| left.saturating_sub(elapsed)),
                ..entry.clone()
            }
        };
        self.entries.values().map(aged).collect()
    }
}
