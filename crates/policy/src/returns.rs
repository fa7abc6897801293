//! Times at which refused callers are told to return.
//!
//! Addresses an overload in which many callers are refused at the same moment. Callers that were told the same time
//! would return together, and most of them would be refused again.

use std::time::Duration;

use crate::Tick;

/// Shortest time between the returns of two callers. It also spaces callers whose work is not known yet.
const MIN_SPACING: Duration = Duration::from_millis(1);
/// Most separate busy times that are kept. Beyond this number, the shortest free time between two of them is given up.
const MAX_BUSY: usize = 64;
/// Longest time, and largest share of a caller's longest time, over which callers are spread when all of it is full.
const EXCESS_SPAN: (Duration, u32) = (Duration::from_secs(1), 8);
/// Fractional part of the golden ratio; its multiples spread evenly over an interval, however many there are.
const GOLDEN_RATIO: f64 = 0.618_033_988_749_894_9;

/// The times that are promised to refused callers.
#[derive(Clone, Debug, Default)]
pub struct ReturnTimes {
    /// Times that promised work will take, in order and without overlaps.
    busy: Vec<Busy>,
    /// Callers for which no free time was left.
    excess: u32,
}

/// A time that is promised, from `start` up to but without `end`.
#[derive(Clone, Copy, Debug)]
struct Busy {
    start: Tick,
    end: Tick,
}

impl ReturnTimes {
    /// Promises a time to a refused caller and returns how far away it is.
    ///
    /// The time is the first free one that is at least `after` away, so that there will be capacity, and at most `most`.
    /// It is then taken for as long as the `work` of the caller occupies the capacity. If no time within `most` is free,
    /// the caller is told a time shortly before `most`.
    pub fn next(&mut self, after: Duration, work: Duration, most: Duration, now: Tick) -> Duration {
        self.busy.retain(|busy| busy.end > now);
        let work = work.min(most).max(MIN_SPACING);
        let (first, last) = (now + after, now + most);
        let whole = self.first_free(first, work);
        // A short free time serves a caller whose work exceeds it better than a time that is full.
        let free = if whole <= last {
            whole
        } else {
            self.first_free(first, MIN_SPACING)
        };
        if free > last {
            return self.excess_time(most);
        }
        self.book(free, work);
        free.since(now)
    }

    /// Returns the first time, not before `first`, after which `length` is free.
    fn first_free(&self, first: Tick, length: Duration) -> Tick {
        let mut free = first;
        for busy in &self.busy {
            if free + length <= busy.start {
                break;
            }
            free = free.max(busy.end);
        }
        free
    }

    /// Marks the time as promised, together with the busy times that it touches.
    fn book(&mut self, start: Tick, length: Duration) {
        let mut merged = Busy {
            start,
            end: start + length,
        };
        let from = self.busy.partition_point(|busy| busy.end < merged.start);
        let to = self.busy.partition_point(|busy| busy.start <= merged.end);
        for busy in self.busy.drain(from..to) {
            merged.start = merged.start.min(busy.start);
            merged.end = merged.end.max(busy.end);
        }
        self.busy.insert(from, merged);
        if self.busy.len() > MAX_BUSY {
            self.close_shortest();
        }
    }

    /// Gives up the shortest free time between two busy ones.
    fn close_shortest(&mut self) {
        let gaps = self.busy.windows(2).map(|pair| pair[1].start.since(pair[0].end));
        if let Some((index, _)) = gaps.enumerate().min_by_key(|(_, gap)| *gap) {
            let next = self.busy.remove(index + 1);
            self.busy[index].end = next.end;
        }
    }

    /// Returns a time shortly before `most`, different for each caller.
    fn excess_time(&mut self, most: Duration) -> Duration {
        self.excess = self.excess.wrapping_add(1);
        let span = (most / EXCESS_SPAN.1).min(EXCESS_SPAN.0);
        most.saturating_sub(span.mul_f64((f64::from(self.excess) * GOLDEN_RATIO).fract()))
    }
}
