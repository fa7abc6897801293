//! The thread that owns the state: it drives the agreement, makes it durable, applies what is agreed and answers.

mod ask;
mod forming;
mod log_time;
mod membership;
mod pending;
mod serve;
mod watchers;

use std::sync::Arc;
use std::time::Duration;

use crossbeam_channel::{Receiver, RecvTimeoutError};
use metrics::{counter, gauge, histogram};
use policy::Tick;
use slog::{Logger, error, info, warn};
use telemetry::Clock;
use wire::catalog::Followed;

pub use ask::{Ask, Lead, MemberList, Replace, ReplaceError, Replaced, ring};
use forming::Forming;
pub use forming::{Hello, MembershipMode, NodeConfig};
use log_time::LogTime;
use pending::Pending;
use watchers::Watchers;

use crate::applied::{AppliedState, LogEntry};
use crate::disk::{DiskError, Folder};
use crate::feed::CatalogFeed;
use crate::peers::{Parcel, Peers};
use crate::raft::{Message, Node, Payload, Ready, Record, Restored, Timing};

/// Most questions that are taken before they are worked on; their entries share a sync.
const BATCH: usize = 1_024;
/// How often time moves on when nothing is asked.
const STEP: Duration = Duration::from_millis(10);
/// Age of what a node has that heard nothing since its start: it may be of any age.
const UNHEARD: Duration = Duration::from_hours(24);
/// Length from which a turn of the thread is logged: beats and elections wait for it.
const SLOW_TURN: Duration = Duration::from_millis(100);
/// Pause before a write is tried again on a full disk.
const RETRY: Duration = Duration::from_millis(250);

/// The state together with its agreement and disk.
#[derive(Debug)]
pub struct Core {
    me: NodeConfig,
    node: Node,
    folder: Folder,
    applied: AppliedState,
    feed: CatalogFeed,
    peers: Peers,
    forming: Forming,
    pending: Pending,
    watchers: Watchers,
    time: LogTime,
    clock: Clock,
    logger: Logger,
    /// When this node last knew that it had everything that is agreed; nothing after a start.
    heard: Option<Tick>,
    /// Since when it has led without a break; nothing while it doesn't lead.
    led_since: Option<Tick>,
    /// When the members are looked at again.
    members_at: Tick,
    /// Writes that found no room, and when they are tried again.
    stalled: Option<(Ready, Tick)>,
    /// When a snapshot may be tried again.
    snapshot_at: Tick,
    role: &'static str,
}

impl Core {
    /// Makes the state from what the data folder holds.
    ///
    /// # Errors
    /// Fails when the snapshot holds something else than this program's state.
    pub fn new(
        me: NodeConfig,
        folder: Folder,
        restored: Restored,
        peers: Peers,
        clock: Clock,
        logger: Logger,
    ) -> Result<Self, DiskError> {
        let applied = decode(&restored.snapshot.data)?;
        let now = clock.now();
        let seed = clock.now().0.as_nanos() as u64;
        let forming = Forming::new(restored.id);
        let node = Node::new(restored, Timing::default(), seed, now);
        Ok(Self {
            me,
            time: LogTime::new(applied.at_ms, now),
            node,
            folder,
            applied,
            feed: CatalogFeed::default(),
            peers,
            forming,
            pending: Pending::default(),
            watchers: Watchers::default(),
            clock,
            logger,
            heard: None,
            led_since: None,
            members_at: now,
            stalled: None,
            snapshot_at: now,
            role: "",
        })
    }

    /// Serves until every sender of the ring is gone.
    ///
    /// # Errors
    /// Fails when the data folder can't be written any more for another reason than lack of room.
    pub fn run(mut self, asks: &Receiver<Ask>) -> Result<(), DiskError> {
        loop {
            let batch: Vec<Ask> = match asks.recv_timeout(STEP) {
                Ok(first) => std::iter::once(first).chain(asks.try_iter().take(BATCH - 1)).collect(),
                Err(RecvTimeoutError::Timeout) => Vec::new(),
                Err(RecvTimeoutError::Disconnected) => return Ok(()),
            };
            let (begun, asks) = (self.clock.now(), batch.len());
            let done = self.turn(batch);
            self.note_turn(begun, asks);
            if let Err(error) = done {
                error!(self.logger, "data folder cannot be written"; "error" => %error);
                return Err(error);
            }
        }
    }

    /// Tells of turns that kept everybody else waiting.
    fn note_turn(&self, begun: Tick, asks: usize) {
        let took = self.clock.now().since(begun);
        histogram!("gentian_state_turn_seconds").record(took.as_secs_f64());
        if took >= SLOW_TURN {
            warn!(self.logger, "slow turn"; "took_ms" => took.as_millis() as u64, "asks" => asks,
                "followers" => self.watchers.follower_count(), "index" => self.applied.index, "role" => self.role);
        }
    }

    fn turn(&mut self, batch: Vec<Ask>) -> Result<(), DiskError> {
        self.retry()?;
        let written = self.folder.finish();
        self.note_snapshot(written);
        self.serve(batch);
        if self.stalled.is_none() {
            let now = self.clock.now();
            self.node.tick(now);
            self.form(now);
            self.keep_members(now);
            self.drive()?;
        }
        let now = self.clock.now();
        if !self.node.leads(now) {
            self.pending.give_up();
        }
        self.note_role(now);
        let age = self.age(now);
        self.watchers.answer(&self.applied, age, now);
        self.tell_followers(age, now);
        Ok(())
    }

    fn tell_followers(&mut self, age: Duration, now: Tick) {
        let leader = self.leader_address(now);
        let members = self.node.members();
        let newest = self.applied.catalog().map_or(0, |catalog| catalog.version);
        let told = || Followed {
            parts: Vec::new(),
            newest,
            age_ms: age.as_millis() as u64,
            members: members.0.values().map(|member| member.address).collect(),
            leader,
        };
        self.watchers.answer_followers(&self.applied, &mut self.feed, told, now);
    }

    /// Carries out what the agreement wants until it wants nothing more.
    fn drive(&mut self) -> Result<(), DiskError> {
        loop {
            let ready = self.node.ready(self.clock.now());
            let busy = ready.writes() || !ready.early.is_empty() || !ready.late.is_empty();
            self.send(&ready.early);
            if !self.write(ready)? {
                return Ok(());
            }
            let applied = self.apply();
            self.take_snapshot();
            if !busy && !applied {
                return Ok(());
            }
        }
    }

    /// Makes writes durable, then sends what depends on them; returns whether there was room.
    fn write(&mut self, ready: Ready) -> Result<bool, DiskError> {
        match self.folder.write(&ready) {
            Ok(()) => {}
            Err(error) if error.is_full() => {
                // Nothing depends on these writes yet: they stay here, nobody is answered, and the group goes on
                // without this node until there is room.
                if self.stalled.is_none() {
                    warn!(self.logger, "no room on the disk"; "error" => %error);
                }
                counter!("gentian_state_disk_full_total").increment(1);
                self.stalled = Some((ready, self.clock.now() + RETRY));
                return Ok(false);
            }
            Err(error) => return Err(error),
        }
        if let Some(snapshot) = &ready.snapshot {
            self.applied = decode(&snapshot.data)?;
            self.feed.clear();
            self.time = LogTime::new(self.applied.at_ms, self.clock.now());
        }
        if ready.writes() {
            self.node.saved(ready.until, self.clock.now());
        }
        self.send(&ready.late);
        Ok(true)
    }

    fn retry(&mut self) -> Result<(), DiskError> {
        let now = self.clock.now();
        let Some((ready, _)) = self.stalled.take_if(|(_, at)| *at <= now) else {
            return Ok(());
        };
        if self.write(ready)? {
            info!(self.logger, "room on the disk again");
        }
        Ok(())
    }

    fn send(&mut self, messages: &[Message]) {
        for message in messages {
            let member = self.node.members().0.get(&message.to);
            let address = member
                .map(|member| member.address)
                .or_else(|| self.forming.address(message.to));
            if let Some(address) = address {
                self.peers.send(address, Parcel::Agree(message.clone()));
            }
        }
    }

    /// Applies what was committed and answers who waits for it.
    fn apply(&mut self) -> bool {
        let records = self.node.take_committed();
        for record in &records {
            self.apply_one(record);
        }
        !records.is_empty()
    }

    fn apply_one(&mut self, record: &Record) {
        let Payload::Command(bytes) = &record.payload else {
            return;
        };
        let entry: LogEntry = postcard::from_bytes(bytes).expect("the leader encoded this entry in the same version");
        let now = self.clock.now();
        self.time.heard(entry.at_ms, self.role == "leader", now);
        let before = self.applied.published.clone();
        let reply = self.applied.apply_at(record.at.index.0, &entry);
        if let (Some(old), Some(new)) = (before, &self.applied.published)
            && !Arc::ptr_eq(&old, new)
        {
            self.feed.push_change(&old.catalog, &new.catalog);
        }
        self.pending.answer(record.at, reply);
    }

    fn take_snapshot(&mut self) {
        let now = self.clock.now();
        if !self.folder.wants_snapshot() || now < self.snapshot_at {
            return;
        }
        let data = encode(&self.applied);
        let snapshot = self.node.compact(data).clone();
        let begun = self.folder.keep_later(snapshot);
        self.note_snapshot(begun);
    }

    /// Notes a snapshot that was not written; it is tried again, and until then the log is kept.
    fn note_snapshot(&mut self, result: Result<(), DiskError>) {
        if let Err(error) = result {
            warn!(self.logger, "snapshot was not written"; "error" => %error);
            self.snapshot_at = self.clock.now() + RETRY;
        }
    }

    /// Gives for how long news may have passed this node by.
    fn age(&mut self, now: Tick) -> Duration {
        if self.node.leads(now) {
            self.heard = Some(now);
        }
        self.heard.map_or(UNHEARD, |heard| now.since(heard))
    }

    fn note_role(&mut self, now: Tick) {
        let leads = self.node.leads(now);
        self.led_since = leads.then(|| self.led_since.unwrap_or(now));
        let role = if self.node.role() == "leader" && !leads {
            "follower"
        } else {
            self.node.role()
        };
        if role != self.role {
            info!(self.logger, "role changed"; "role" => role, "term" => self.node.term().0);
            self.role = role;
        }
        gauge!("gentian_state_leader_count").set(if leads { 1.0 } else { 0.0 });
        gauge!("gentian_state_committed_index").set(self.node.committed().0 as f64);
    }
}

/// Encodes the applied state for a snapshot.
fn encode(applied: &AppliedState) -> Vec<u8> {
    postcard::to_stdvec(applied).expect("every part of the state can be encoded")
}

fn decode(data: &[u8]) -> Result<AppliedState, DiskError> {
    if data.is_empty() {
        return Ok(AppliedState::default());
    }
    postcard::from_bytes(data).map_err(|source| DiskError::Codec { source })
}
