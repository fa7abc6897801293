//! An entry host's copy of the leader's list of upstreams.

use std::collections::BTreeMap;
use std::time::Duration;

use contract::Listed;
use policy::Tick;
use policy::paging::PageSize;
use wire::registry::{Heartbeat, ListPosition, ListUpdate};

/// Bytes that an entry takes in an answer, rounded up.
const ENTRY_BYTES: u32 = 256;

/// Entries with the times at which the list that brought them was asked for.
type Entries = BTreeMap<String, (Listed, Tick)>;

/// The copy, and how far it has got.
#[derive(Debug, Default)]
pub struct Listing {
    mark: ListPosition,
    entries: Entries,
    /// A whole list that has not arrived to its end; the old one is used until it has.
    arriving: Option<Entries>,
    complete: bool,
    changed: bool,
    paging: PageSize,
}

impl Listing {
    /// Says in a beat what is known, and how much may come.
    pub fn ask(&self, beat: &mut Heartbeat) {
        beat.list.clone_from(&self.mark);
        beat.max_listed = Some(self.most());
    }

    fn most(&self) -> u32 {
        (self.paging.bytes() / ENTRY_BYTES).max(1)
    }

    /// Tells whether more of the list is to come at once.
    #[must_use]
    pub const fn is_arriving(&self) -> bool {
        self.arriving.is_some()
    }

    /// Takes news of a list that was asked for at a time; the answer came after another.
    pub fn take(&mut self, news: ListUpdate, asked: Tick, took: Duration) {
        if (news.put.len() + news.gone.len()) as u32 >= self.most() / 2 {
            self.paging.record_arrival(took);
        }
        if news.whole {
            self.arriving = Some(Entries::new());
        }
        self.changed |= news.whole || !news.put.is_empty() || !news.gone.is_empty();
        let entries = self.arriving.as_mut().unwrap_or(&mut self.entries);
        for id in news.gone {
            entries.remove(&id);
        }
        let put = news.put.into_iter().map(|one| (one.id.clone(), (one, asked)));
        entries.extend(put);
        self.mark = news.mark;
        self.complete = news.complete;
        if news.complete
            && let Some(whole) = self.arriving.take()
        {
            self.entries = whole;
        }
    }

    /// Notes that a beat got no answer in time.
    pub fn lose_page(&mut self) {
        self.paging.record_loss();
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
    pub fn list(&self, asked: Tick) -> Vec<Listed> {
        let aged = |(one, at): &(Listed, Tick)| {
            let passed = asked.since(*at);
            Listed {
                cold: one.cold.saturating_sub(passed),
                left: one.left.map(|left| left.saturating_sub(passed)),
                ..one.clone()
            }
        };
        self.entries.values().map(aged).collect()
    }
}
