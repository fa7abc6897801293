//! Learners that wait for news of the configuration.

use std::time::Duration;

use policy::Tick;
use tokio::sync::oneshot;
use wire::catalog::{Follow, Followed};
use wire::state::{Watch, Watched};

use crate::applied::AppliedState;
use crate::feed::CatalogFeed;

/// Longest that a question is held.
const MAX_WAIT: Duration = Duration::from_secs(30);

/// Learners with the time at which they get an answer in any case.
#[derive(Debug, Default)]
pub(super) struct Watchers {
    waiting: Vec<(Tick, Watch, oneshot::Sender<Watched>)>,
    following: Vec<(Tick, Follow, oneshot::Sender<Followed>)>,
}

impl Watchers {
    pub(super) fn add(&mut self, watch: Watch, reply: oneshot::Sender<Watched>, now: Tick) {
        let wait = Duration::from_millis(watch.wait_ms).min(MAX_WAIT);
        self.waiting.push((now + wait, watch, reply));
    }

    pub(super) fn follow(&mut self, follow: Follow, reply: oneshot::Sender<Followed>, now: Tick) {
        let wait = Duration::from_millis(follow.wait_ms).min(MAX_WAIT);
        self.following.push((now + wait, follow, reply));
    }

    pub(super) fn follower_count(&self) -> usize {
        self.following.len()
    }

    /// Answers who has news of the catalog or has waited long enough; `told` holds what all of them are told.
    pub(super) fn answer_followers(
        &mut self,
        applied: &AppliedState,
        feed: &mut CatalogFeed,
        told: impl Fn() -> Followed,
        now: Tick,
    ) {
        self.following.retain(|(_, _, reply)| !reply.is_closed());
        let version = applied.catalog().map(|catalog| catalog.version);
        let ready = |(until, follow, _): &mut (Tick, Follow, _)| follow.after < version || *until <= now;
        for (_, follow, reply) in self.following.extract_if(.., ready) {
            let parts = applied.catalog().map(|newest| feed.next_parts(&follow, newest));
            let answer = Followed {
                parts: parts.unwrap_or_default(),
                ..told()
            };
            // An asker that has gone away needs no answer.
            let _ = reply.send(answer);
        }
    }

    /// Answers who has news or has waited long enough.
    pub(super) fn answer(&mut self, applied: &AppliedState, age: Duration, now: Tick) {
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
