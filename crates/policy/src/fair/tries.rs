//! Which requests are tried when there may be capacity, and in which order.

use super::sorted::SortedWork;
use super::{FairQueue, Ticket};

/// Most requests that are tried in one call of [`FairQueue::pop_where`]; a try may search all upstreams for capacity.
const MAX_TRIES: usize = 16;
/// How many of these tries go to the longest-waiting requests when it is their turn.
const AGED_TRIES: usize = 4;

impl FairQueue {
    /// Returns the first request in order.
    pub(super) fn first(&self) -> Option<u64> {
        let (class, order) = self.customers.classes.first_key_value()?;
        let (_, number) = order.first()?;
        self.customers.get(*number)?.lanes.get(class)?.ids().next()
    }

    /// Returns the longest-waiting request that fits, other than the first in order.
    pub(super) fn aged(&self, first: u64, tried: &mut Vec<u64>, fits: &mut impl FnMut(&Ticket) -> bool) -> Option<u64> {
        let others = self.by_arrival.iter().map(|(_, id)| *id).filter(|id| *id != first);
        for id in others.take(AGED_TRIES) {
            if self.requests.get(&id).is_some_and(|waiting| fits(&waiting.ticket)) {
                return Some(id);
            }
            tried.push(id);
        }
        None
    }

    /// Returns the first request in order that fits, among those that are tried.
    pub(super) fn first_fitting(
        &self,
        first: u64,
        tried: &[u64],
        fits: &mut impl FnMut(&Ticket) -> bool,
    ) -> Option<u64> {
        let mut fits = |id: &u64| self.requests.get(id).is_some_and(|waiting| fits(&waiting.ticket));
        if !tried.contains(&first) && fits(&first) {
            return Some(first);
        }
        let mut others = self.candidates(MAX_TRIES);
        others.retain(|id| *id != first && !tried.contains(id));
        others.truncate(MAX_TRIES.saturating_sub(tried.len() + 1));
        others.into_iter().find(|id| fits(id))
    }

    /// Returns up to `most` requests in order: the first of each class and customer, then the second ones, and so on.
    fn candidates(&self, most: usize) -> Vec<u64> {
        let lanes = self.first_lanes(most);
        let mut found = Vec::new();
        let mut depth = 0;
        let mut lanes: Vec<_> = lanes.into_iter().map(|(place, lane)| (place, lane.ids())).collect();
        while found.len() < most && !lanes.is_empty() {
            lanes.retain_mut(|(place, ids)| ids.next().map(|id| found.push((*place, depth, id))).is_some());
            depth += 1;
        }
        found.truncate(most);
        found.sort_unstable();
        found.into_iter().map(|(.., id)| id).collect()
    }

    /// Returns up to `most` lanes with their places in order: of each class that of its first customer, then those of
    /// the second ones, and so on.
    fn first_lanes(&self, most: usize) -> Vec<((usize, usize), &SortedWork)> {
        let mut lanes = Vec::new();
        let classes = self.customers.classes.iter().enumerate();
        let mut orders: Vec<_> = classes
            .map(|(place, (class, order))| (place, class, order.iter()))
            .collect();
        let mut rank = 0;
        while lanes.len() < most && !orders.is_empty() {
            orders.retain_mut(|(place, class, order)| {
                let customer = order.next().and_then(|(_, number)| self.customers.get(*number));
                let lane = customer.and_then(|customer| customer.lanes.get(class));
                lane.map(|lane| lanes.push(((*place, rank), lane))).is_some()
            });
            rank += 1;
        }
        lanes.truncate(most);
        lanes
    }
}
