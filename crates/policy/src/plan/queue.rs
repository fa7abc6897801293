//! Order of the engines that load weights from the weight store.

/// An engine that waits to load its weights.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WeightLoad {
    /// Share of the model's needed hosts that is missing; 1 if none serves.
    pub shortfall: f64,
    /// Size of the weights in any unit; of equally urgent loads, the smallest goes first.
    pub size: u64,
}

/// Returns the indices of the loads that may start now, most urgent first.
///
/// The weight store has limited bandwidth. If all engines of a lost zone load at once, each gets a small part of it and
/// none is ready for a long time. One after the other, the first ones serve while the last still wait.
#[must_use]
pub fn next_loads(waiting: &[WeightLoad], active: usize, most: usize) -> Vec<usize> {
    let mut order: Vec<usize> = (0..waiting.len()).collect();
    order.sort_by(|a, b| {
        let (a, b) = (waiting[*a], waiting[*b]);
        b.shortfall.total_cmp(&a.shortfall).then(a.size.cmp(&b.size))
    });
    order.truncate(most.saturating_sub(active));
    order
}
