//! Division of a host's bounds among its queues.

/// Returns how much of `total` one of `count` queues may hold while the others hold `others`.
///
/// Half of the total is reserved in equal parts, and half is taken first come, first served: a full queue leaves room for
/// those of other services.
pub(super) fn share_of(total: usize, count: usize, others: &[usize]) -> usize {
    let count = count.max(1);
    if count == 1 {
        return total;
    }
    let reserved = total / 2 / count;
    let shared = total - reserved * count;
    let taken: usize = others.iter().map(|held| held.saturating_sub(reserved)).sum();
    reserved + shared.saturating_sub(taken)
}
