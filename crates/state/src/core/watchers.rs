//! Long polls for changes of the configuration and the catalog.

use std::time::Duration;

use policy::Tick;
use tokio::sync::oneshot;
use wire::catalog::{Follow, Followed};
use wire::state::{Watch, Watched};

use crate::applied::AppliedState;
use crate::feed::CatalogFeed;

/// Longest time for which a poll is held, whatever the caller asks for.
const MAX_WAIT: Duration = Duration::from_secs(30);

/// Open long polls with their deadlines, at which they are answered in any case.
#[derive(Debug, Default)]
pub(super) struct Watchers {
    watches: Vec<(Tick, Watch, oneshot::Sender<Watched>)>,
    follows: Vec<(Tick, Follow, oneshot::Sender<Followed>)>,
}

impl Watchers {
    pub(super) fn add(&mut self, watch: Watch, reply: oneshot::Sender<Watched>, now: Tick) {
        let wait = Duration::from_millis(watch.wait_ms).min(MAX_WAIT);
        self.watches.push((now + wait, watch, reply));
    }

    pub(super) fn add_follower(&mut self, follow: Follow, reply: oneshot::Sender<Followed>, now: Tick) {
        let wait = Duration::from_millis(follow.wait_ms).min(MAX_WAIT);
        self.follows.push((now + wait, follow, reply));
    }

    pub(super) fn follower_count(&self) -> usize {
        self.follows.len()
    }

    /// Answers the catalog polls that have changes to receive or whose deadline has passed; `common` makes the part of
    /// the answer that is the same for all.
    pub(super) fn answer_followers(
        &mut self,
        applied: &AppliedState,
        feed: &mut CatalogFeed,
        common: impl Fn() -> Followed,
        now: Tick,
    ) {
        self.follows.retain(|(_, _, reply)| !reply.is_closed());
        let version = applied.catalog().map(|catalog| catalog.version);
        let ready = |(until, follow, _): &mut (Tick, Follow, _)| follow.after < version || *until <= now;
        for (_, follow, reply) in self.follows.extract_if(.., ready) {
            let parts = applied.catalog().map(|newest| feed.next_parts(&follow, newest));
            let answer = Followed {
                parts: parts.unwrap_or_default(),
                ..common()
            };
            // A dropped receiver needs no answer.
            let _ = reply.send(answer);
        }
    }

    /// Answers the configuration polls that have changes to receive or whose deadline has passed.
    pub(super) fn answer(&mut self, applied: &AppliedState, age: Duration, now: Tick) {
        let revision = applied.config.revision;
        let ready = |(until, watch, _): &mut (Tick, Watch, _)| watch.after < revision || *until <= now;
        let age_ms = age.as_millis() as u64;
        for (_, watch, reply) in self.watches.extract_if(.., ready) {
            // A dropped receiver needs no answer.
            let _ = reply.send(applied.since(watch.after, age_ms));
        }
        // Closed polls would be kept until their deadline, and accumulate while a network link flaps.
        self.watches.retain(|(_, _, reply)| !reply.is_closed());
    }
}
