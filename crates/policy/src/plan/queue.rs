//! The queue of loads from the weight store.

/// An engine that waits for weights.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WeightLoad {
    /// Share of the model's needed hosts that are missing; 1 when none serves.
    pub shortfall: f64,
    /// Megabytes or any other measure of what is to be loaded; smaller first among equals.
    pub size: u64,
}

/// Gives the loads that may begin now, most urgent first.
///
/// The weight store is limited in rate. When all engines of a lost zone load at once, each gets a small part and none is
/// ready for a long time; one after the other, the first serve while the last still wait.
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
