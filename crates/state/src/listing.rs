//! The list of upstreams in the order of its changes, so that an entry host is told what it lacks and no more.

use std::collections::BTreeMap;
use std::ops::Bound;
use std::sync::Arc;
use std::time::Duration;

use contract::Listed;
use policy::Tick;
use wire::registry::{ListPosition, ListUpdate};

/// Place of the term in the numbers of changes.
const TERM_BITS: u32 = 24;
/// Entries of one answer, whatever the asker allows.
const MOST: usize = 4_096;
/// Entries that are gone and still told; beyond that, all entry hosts are told the whole list.
const KEPT_GONE: usize = 4_096;

/// The list with the number of the change that made each entry what it is.
#[derive(Debug, Default)]
pub(crate) struct Listing {
    number: u64,
    /// Number from which on all changes are known.
    floor: u64,
    asked: Option<Tick>,
    list: Arc<Vec<Listed>>,
    /// Every entry at its newest change; nothing for one that is gone.
    changes: BTreeMap<ListPosition, Option<Listed>>,
    numbers: BTreeMap<String, u64>,
    gone: usize,
}

impl Listing {
    /// Takes over a list that was asked for at a time, in a term.
    pub(crate) fn set(&mut self, term: u64, mut list: Vec<Listed>, asked: Tick) {
        list.sort_by(|a, b| a.id.cmp(&b.id));
        // Numbers of two leaders never meet.
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
        for one in now.iter() {
            self.put(one, next);
        }
        let left = before.iter().filter(|one| find(&now, &one.id).is_none());
        for one in left {
            self.record(&one.id, next, None);
        }
        // Times in the list count from when it was asked for, so that both must be of the same read.
        self.list = now;
        self.asked = Some(asked);
        self.forget_gone();
    }

    fn put(&mut self, one: &Listed, next: u64) {
        let number = self.numbers.get(&one.id).copied().unwrap_or_default();
        let known = self.changes.get_mut(&mark(number, &one.id));
        if let Some(Some(known)) = known
            && is_same(known, one)
        {
            known.clone_from(one);
        } else {
            self.record(&one.id, next, Some(one.clone()));
        }
    }

    fn record(&mut self, id: &str, number: u64, entry: Option<Listed>) {
        self.gone += usize::from(entry.is_none());
        if let Some(old) = self.numbers.insert(id.to_owned(), number) {
            let old = self.changes.remove(&mark(old, id));
            self.gone -= usize::from(old == Some(None));
        }
        self.changes.insert(mark(number, id), entry);
        self.number = number;
    }

    /// Numbers all entries anew without those that are gone, once there are too many of these.
    fn forget_gone(&mut self) {
        if self.gone <= KEPT_GONE {
            return;
        }
        let number = self.number + 1;
        let renumbered = self.list.iter().map(|one| (mark(number, &one.id), Some(one.clone())));
        *self = Self {
            number,
            floor: number,
            asked: self.asked,
            list: Arc::clone(&self.list),
            changes: renumbered.collect(),
            numbers: self.list.iter().map(|one| (one.id.clone(), number)).collect(),
            gone: 0,
        };
    }

    /// Gives what one lacks who has everything up to a mark.
    pub(crate) fn news(&self, known: &ListPosition, most: Option<u32>, now: Tick) -> ListUpdate {
        let most = most.map_or(MOST, |most| MOST.min(most as usize)).max(1);
        let whole = known.number < self.floor;
        let start = if whole { mark(self.floor, "") } else { known.clone() };
        let from = if whole {
            Bound::Unbounded
        } else {
            Bound::Excluded(&start)
        };
        let mut lacking = self.changes.range((from, Bound::Unbounded));
        let mut news = ListUpdate {
            mark: start.clone(),
            age_ms: self.asked.map(|asked| now.since(asked).as_millis() as u64),
            whole,
            ..ListUpdate::default()
        };
        for (mark, entry) in lacking.by_ref().take(most) {
            news.mark = mark.clone();
            match entry {
                Some(entry) => news.put.push(entry.clone()),
                None => news.gone.push(mark.id.clone()),
            }
        }
        news.complete = lacking.next().is_none();
        if news.complete {
            news.mark = news.mark.max(start);
        }
        news
    }

    /// Gives the list with the time at which it was asked for.
    pub(crate) fn list(&self) -> Option<(&Arc<Vec<Listed>>, Tick)> {
        self.asked.map(|asked| (&self.list, asked))
    }
}

fn mark(number: u64, id: &str) -> ListPosition {
    ListPosition {
        number,
        id: id.to_owned(),
    }
}

fn find<'a>(list: &'a [Listed], id: &str) -> Option<&'a Listed> {
    let at = list.binary_search_by(|one| one.id.as_str().cmp(id)).ok()?;
    list.get(at)
}

/// Tells whether two entries say the same; how long an upstream is still cold, and when it is taken away, changes with every
/// read.
fn is_same(a: &Listed, b: &Listed) -> bool {
    let timeless = |one: &Listed| Listed {
        cold: Duration::ZERO,
        left: None,
        ..one.clone()
    };
    timeless(a) == timeless(b) && a.left.is_some() == b.left.is_some()
}
