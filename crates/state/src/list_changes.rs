//! The list of upstreams as a change log, so that an entry host is sent only the entries that it lacks.

use std::collections::BTreeMap;
use std::ops::Bound;
use std::sync::Arc;
use std::time::Duration;

use contract::ListedUpstream;
use policy::Tick;
use wire::registry::{ListPosition, ListUpdate};

/// Bits of a change number below the term.
const TERM_BITS: u32 = 24;
/// Most entries of one answer, whatever the caller allows.
const MAX_ENTRIES: usize = 4_096;
/// Removed entries that are remembered; beyond that, all entry hosts are sent the whole list again.
const MAX_REMOVED: usize = 4_096;

/// The list of upstreams, with the number of the last change of each entry.
#[derive(Debug, Default)]
pub(crate) struct UpstreamList {
    /// Number of the newest change.
    number: u64,
    /// Number from which on all changes are known; an entry host with an older one gets the whole list.
    floor: u64,
    /// When the list was requested; `None` before the first.
    asked: Option<Tick>,
    list: Arc<Vec<ListedUpstream>>,
    /// Every entry at its newest change; `None` for a removed one.
    changes: BTreeMap<ListPosition, Option<ListedUpstream>>,
    /// Number of the newest change of each entry, by upstream id.
    numbers: BTreeMap<String, u64>,
    /// Number of removed entries in `changes`.
    gone: usize,
}

impl UpstreamList {
    /// Replaces the list by one that the leader of a term requested at `asked`.
    pub(crate) fn set(&mut self, term: u64, mut list: Vec<ListedUpstream>, asked: Tick) {
        list.sort_by(|a, b| a.id.cmp(&b.id));
        // Change numbers of different terms never overlap.
        let first = term << TERM_BITS;
        if self.number < first {
            *self = Self {
                number: first,
                floor: first,
                ..Self::default()
            };
        }
        let next = self.number + 1;
        let (before, now) = (Arc::clone(&self.list), Arc::new(list));
        for upstream in now.iter() {
            self.update(upstream, next);
        }
        let left = before.iter().filter(|upstream| find(&now, &upstream.id).is_none());
        for upstream in left {
            self.add_change(&upstream.id, next, None);
        }
        // Durations in the list count from its request time, so both must come from the same read.
        self.list = now;
        self.asked = Some(asked);
        self.renumber_if_needed();
    }

    /// Takes over an entry; it counts as changed, under the number `next`, unless it is the same as before.
    fn update(&mut self, upstream: &ListedUpstream, next: u64) {
        let number = self.numbers.get(&upstream.id).copied().unwrap_or_default();
        let known = self.changes.get_mut(&position(number, &upstream.id));
        if let Some(Some(known)) = known
            && is_same(known, upstream)
        {
            known.clone_from(upstream);
        } else {
            self.add_change(&upstream.id, next, Some(upstream.clone()));
        }
    }

    /// Records that an entry changed, or was removed if `entry` is `None`.
    fn add_change(&mut self, id: &str, number: u64, entry: Option<ListedUpstream>) {
        self.gone += usize::from(entry.is_none());
        if let Some(old) = self.numbers.insert(id.to_owned(), number) {
            let old = self.changes.remove(&position(old, id));
            self.gone -= usize::from(old == Some(None));
        }
        self.changes.insert(position(number, id), entry);
        self.number = number;
    }

    /// Renumbers all entries without the removed ones, once there are too many of these.
    fn renumber_if_needed(&mut self) {
        if self.gone <= MAX_REMOVED {
            return;
        }
        let number = self.number + 1;
        let renumbered = self
            .list
            .iter()
            .map(|upstream| (position(number, &upstream.id), Some(upstream.clone())));
        *self = Self {
            number,
            floor: number,
            asked: self.asked,
            list: Arc::clone(&self.list),
            changes: renumbered.collect(),
            numbers: self.list.iter().map(|upstream| (upstream.id.clone(), number)).collect(),
            gone: 0,
        };
    }

    /// Returns the changes after a position, at most `most` entries of them.
    pub(crate) fn changes_after(&self, known: &ListPosition, most: Option<u32>, now: Tick) -> ListUpdate {
        let most = most.map_or(MAX_ENTRIES, |most| MAX_ENTRIES.min(most as usize)).max(1);
        let whole = known.number < self.floor;
        let start = if whole { position(self.floor, "") } else { known.clone() };
        let from = if whole {
            Bound::Unbounded
        } else {
            Bound::Excluded(&start)
        };
        let mut missing = self.changes.range((from, Bound::Unbounded));
        let mut update = ListUpdate {
            mark: start.clone(),
            age_ms: self.asked.map(|asked| now.since(asked).as_millis() as u64),
            whole,
            ..ListUpdate::default()
        };
        for (at, entry) in missing.by_ref().take(most) {
            update.mark = at.clone();
            match entry {
                Some(entry) => update.put.push(entry.clone()),
                None => update.gone.push(at.id.clone()),
            }
        }
        update.complete = missing.next().is_none();
        if update.complete {
            update.mark = update.mark.max(start);
        }
        update
    }

    /// Returns the list with its request time.
    pub(crate) fn list(&self) -> Option<(&Arc<Vec<ListedUpstream>>, Tick)> {
        self.asked.map(|asked| (&self.list, asked))
    }
}

fn position(number: u64, id: &str) -> ListPosition {
    ListPosition {
        number,
        id: id.to_owned(),
    }
}

fn find<'a>(list: &'a [ListedUpstream], id: &str) -> Option<&'a ListedUpstream> {
    let at = list.binary_search_by(|upstream| upstream.id.as_str().cmp(id)).ok()?;
    list.get(at)
}

/// Returns whether two entries are equal apart from the remaining warm-up time and time until reclaim, which change
/// with every read.
fn is_same(a: &ListedUpstream, b: &ListedUpstream) -> bool {
    let timeless = |upstream: &ListedUpstream| ListedUpstream {
        cold: Duration::ZERO,
        left: None,
        ..upstream.clone()
    };
    timeless(a) == timeless(b) && a.left.is_some() == b.left.is_some()
}
