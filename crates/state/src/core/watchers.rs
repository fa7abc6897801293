//! Learners that wait for news of the configuration.

use std::time::Duration;

use policy::Tick;
use tokio::sync::oneshot;
use wire::state::{Watch, Watched};

use crate::applied::Applied;

/// Longest that a question is held.
const MAX_WAIT: Duration = Duration::from_secs(30);

/// Learners with the time at which they get an answer in any case.
#[derive(Debug, Default)]
pub(super) struct Watchers {
    waiting: Vec<(Tick, Watch, oneshot::Sender<Watched>)>,
}

impl Watchers {
    pub(super) fn add(&mut self, watch: Watch, reply: oneshot::Sender<Watched>, now: Tick) {
        let wait = Duration::from_millis(watch.wait_ms).min(MAX_WAIT);
        self.waiting.push((now + wait, watch, reply));
    }

    /// Answers who has news or has waited long enough.
    pub(super) fn answer(&mut self, applied: &Applied, age: Duration, now: Tick) {
        let revision = applied.config.revision;
        let ready = |(until, watch, _): &mut (Tick, Watch, _)| watch.after < revision || *until <= now;
        let age_ms = age.as_millis() as u64;
        for (_, watch, reply) in self.waiting.extract_if(.., ready) {
            // An asker that has gone away needs no answer.
            let _ = reply.send(applied.since(watch.after, age_ms));
        }
        // Whoever hung up would be kept until its time is over, which adds up while a link flaps.
        self.waiting.retain(|(_, _, reply)| !reply.is_closed());
    }
}
