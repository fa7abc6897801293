//! An entry host's copy of the leader's list of upstreams.

use std::collections::BTreeMap;
use std::time::Duration;

use contract::Listed;
use policy::Tick;
use policy::paging::PageSize;
use wire::registry::{Heartbeat, ListPosition, ListUpdate};

/// Bytes that an entry takes in an answer, rounded up.
const BYTES_PER_ENTRY: u32 = 256;

/// Entries with the times at which the list that brought them was asked for.
type Entries = BTreeMap<String, (Listed, Tick)>;

/// The copy, and how far it has got.
#[derive(Debug, Default)]
pub struct UpstreamList {
    position: ListPosition,
    entries: Entries,
    /// A whole list that has not arrived to its end; the old one is used until it has.
    incoming: Option<Entries>,
    complete: bool,
    changed: bool,
    page_size: PageSize,
}

impl UpstreamList {
    /// Says in a beat what is known, and how much may come.
    pub fn fill_request(&self, heartbeat: &mut Heartbeat) {
        heartbeat.list.clone_from(&self.position);
        heartbeat.max_listed = Some(self.max_entries());
    }

    fn max_entries(&self) -> u32 {
        (self.page_size.bytes() / BYTES_PER_ENTRY).max(1)
    }

    /// Tells whether more of the list is to come at once.
    #[must_use]
    pub const fn is_incoming(&self) -> bool {
        self.incoming.is_some()
    }

    /// Takes news of a list that was asked for at a time; the answer came after another.
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

    /// Notes that a beat got no answer in time.
    pub fn record_timeout(&mut self) {
        self.page_size.record_loss();
    }

    /// Tells whether the copy is equal to the leader's list.
    #[must_use]
    pub const fn is_complete(&self) -> bool {
        self.complete
    }

    /// Tells whether the list has changed since the last call.
    pub const fn take_changed(&mut self) -> bool {
        std::mem::replace(&mut self.changed, false)
    }

    /// Gives the list as if all of it had been asked for at a time.
    #[must_use]
    pub fn entries_at(&self, requested_at: Tick) -> Vec<Listed> {
        let aged = |(entry, entry_time): &(Listed, Tick)| {
            let elapsed = requested_at.since(*entry_time);
            Listed {
                cold: entry.cold.saturating_sub(elapsed),
                left: entry.left.map(|left| left.saturating_sub(elapsed)),
                ..entry.clone()
            }
        };
        self.entries.values().map(aged).collect()
    }
}
