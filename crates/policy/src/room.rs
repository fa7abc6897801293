//! Queue places, or bytes, shared by several queues, so that a full queue leaves places for the others.

/// Queue places, half of them reserved evenly for the queues and half taken first come, first served.
#[derive(Clone, Copy, Debug)]
pub struct SharedPlaces {
    total: usize,
    reserved: usize,
    queues: usize,
}

impl SharedPlaces {
    /// Divides `total` places among the queues, with at least one reserved place for each.
    #[must_use]
    pub fn new(total: usize, queues: usize) -> Self {
        let queues = queues.max(1);
        let reserved = (total / 2 / queues).max(1);
        Self {
            total,
            reserved,
            queues,
        }
    }

    /// Returns whether a queue that uses `used` places may use one more; `all` are the places used by every queue.
    #[must_use]
    pub fn has_place(&self, used: usize, all: impl Iterator<Item = usize>) -> bool {
        let shared = self.total.saturating_sub(self.reserved * self.queues);
        used < self.reserved || all.map(|used| used.saturating_sub(self.reserved)).sum::<usize>() < shared
    }

    /// Returns how many places a queue may use while the others use `others`; with a queue of [`crate::fair::FairQueue`]
    /// this is its bound.
    #[must_use]
    pub fn most(&self, others: impl Iterator<Item = usize>) -> usize {
        let shared = self.total.saturating_sub(self.reserved * self.queues);
        let taken = others.map(|used| used.saturating_sub(self.reserved)).sum();
        (self.reserved + shared.saturating_sub(taken)).min(self.total)
    }
}
