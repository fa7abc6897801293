//! Places that several lanes share, so that a full one leaves room for the others.

/// Places of which half are divided evenly among lanes for good and half go to whoever comes first.
#[derive(Clone, Copy, Debug)]
pub struct SharedPlaces {
    total: usize,
    own: usize,
    lanes: usize,
}

impl SharedPlaces {
    /// Divides some places among lanes; each lane has at least one of its own.
    #[must_use]
    pub fn new(total: usize, lanes: usize) -> Self {
        let lanes = lanes.max(1);
        let own = (total / 2 / lanes).max(1);
        Self { total, own, lanes }
    }

    /// Tells whether a lane that uses so many places may use one more, given what every lane uses.
    #[must_use]
    pub fn has_place(&self, used: usize, all: impl Iterator<Item = usize>) -> bool {
        let shared = self.total.saturating_sub(self.own * self.lanes);
        used < self.own || all.map(|used| used.saturating_sub(self.own)).sum::<usize>() < shared
    }
}
