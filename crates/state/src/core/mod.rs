//! The thread that owns the replicated state: it drives Raft, syncs the log, applies committed entries and answers
//! requests.

mod discovery;
mod log_time;
mod membership;
mod pending;
mod request;
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

use discovery::Discovery;
pub use discovery::{Hello, MembershipMode, NodeConfig};
use log_time::LogTime;
use pending::Pending;
pub use request::{
    KnownRollouts, KnownVersions, Leadership, MemberList, ReplaceError, ReplaceMember, Replacement, StateRequest,
    request_channel,
};
use watchers::Watchers;

use crate::applied::{AppliedState, Command, LogEntry};
use crate::disk::{DiskError, Folder};
use crate::feed::CatalogFeed;
use crate::membership::{AutoMembership, MemberEvent};
use crate::peers::{PeerMessage, PeerSenders};
use crate::raft::{Members, Message, Node, Payload, Ready, Record, Restored, Timing};

/// Most requests that are handled together; their log entries share a sync.
const MAX_BATCH: usize = 1_024;
/// Interval between two ticks of the Raft node while there are no requests.
const TICK_INTERVAL: Duration = Duration::from_millis(10);
/// Age reported for the state of a node that has heard from no leader since its start; the real one is unknown.
const UNKNOWN_AGE: Duration = Duration::from_hours(24);
/// Duration from which a turn of the thread is logged: heartbeats and elections are delayed by it.
const SLOW_TURN: Duration = Duration::from_millis(100);
/// Pause before a failed write or snapshot is tried again, such as on a full disk.
const DISK_RETRY: Duration = Duration::from_millis(250);

/// The replicated state with its Raft node and data folder.
#[derive(Debug)]
pub struct Core {
    config: NodeConfig,
    node: Node,
    folder: Folder,
    applied: AppliedState,
    feed: CatalogFeed,
    peers: PeerSenders,
    discovery: Discovery,
    pending: Pending,
    watchers: Watchers,
    log_time: LogTime,
    clock: Clock,
    logger: Logger,
    /// When the state was last known to be current; `None` until that is first the case after a start.
    current_at: Option<Tick>,
    /// Since when the node has led without a break; `None` while it does not lead.
    led_since: Option<Tick>,
    membership: AutoMembership,
    /// The newest log line about a node that can't join.
    logged_wait: Option<MemberEvent>,
    /// The members as they were logged last.
    logged_members: Option<Members>,
    /// Since when a change of the members has been unfinished, as this node knows while it leads.
    change_since: Option<Tick>,
    /// Writes that found no disk space, and when they are tried again.
    stalled_write: Option<(Ready, Tick)>,
    /// When a snapshot may be started next.
    snapshot_retry: Tick,
    /// Whether something was applied that hosts need right after a restart.
    commit_due: bool,
    role: &'static str,
}

impl Core {
    /// Creates the state from the content of the data folder.
    ///
    /// # Errors
    /// Fails when the snapshot cannot be decoded.
    pub fn new(
        config: NodeConfig,
        folder: Folder,
        restored: Restored,
        peers: PeerSenders,
        clock: Clock,
        logger: Logger,
    ) -> Result<Self, DiskError> {
        let applied = decode_snapshot(&restored.snapshot.data)?;
        let now = clock.now();
        let seed = clock.now().0.as_nanos() as u64;
        let discovery = Discovery::new(restored.id, now);
        let mut node = Node::new(restored, Timing::default(), seed, now);
        if matches!(config.membership, MembershipMode::Automatic { bootstrap: true, .. }) {
            node.allow_founding();
        }
        let lost_disks = match config.membership {
            MembershipMode::Automatic { lost_disks, .. } => lost_disks,
            MembershipMode::Manual => None,
        };
        Ok(Self {
            config,
            log_time: LogTime::new(applied.at_ms, now),
            node,
            folder,
            applied,
            feed: CatalogFeed::default(),
            peers,
            discovery,
            pending: Pending::default(),
            watchers: Watchers::default(),
            clock,
            logger,
            current_at: None,
            led_since: None,
            membership: AutoMembership::new(lost_disks),
            logged_wait: None,
            logged_members: None,
            change_since: None,
            stalled_write: None,
            snapshot_retry: now,
            commit_due: false,
            role: "",
        })
    }

    /// Serves until every sender of requests is dropped.
    ///
    /// # Errors
    /// Fails when the data folder cannot be read or written for any other reason than lack of space.
    pub fn run(mut self, requests: &Receiver<StateRequest>) -> Result<(), DiskError> {
        loop {
            let batch: Vec<StateRequest> = match requests.recv_timeout(TICK_INTERVAL) {
                Ok(first) => std::iter::once(first)
                    .chain(requests.try_iter().take(MAX_BATCH - 1))
                    .collect(),
                Err(RecvTimeoutError::Timeout) => Vec::new(),
                Err(RecvTimeoutError::Disconnected) => return Ok(()),
            };
            let (begun, count) = (self.clock.now(), batch.len());
            let done = self.turn(batch);
            self.record_turn(begun, count);
            if let Err(error) = done {
                error!(self.logger, "data folder cannot be written"; "error" => %error);
                return Err(error);
            }
        }
    }

    /// Records the duration of a turn and logs a slow one, which delayed everything else.
    fn record_turn(&self, begun: Tick, requests: usize) {
        let took = self.clock.now().since(begun);
        histogram!("gentian_state_turn_seconds").record(took.as_secs_f64());
        if took >= SLOW_TURN {
            warn!(self.logger, "slow turn"; "took_ms" => took.as_millis() as u64, "asks" => requests,
                "followers" => self.watchers.follower_count(), "index" => self.applied.index, "role" => self.role);
        }
    }

    /// Handles one batch of requests and everything that is due.
    fn turn(&mut self, batch: Vec<StateRequest>) -> Result<(), DiskError> {
        self.retry_stalled_write()?;
        let written = self.folder.finish_snapshot();
        self.check_snapshot(written);
        self.serve(batch);
        if self.stalled_write.is_none() {
            let now = self.clock.now();
            self.node.tick(now);
            self.announce_and_bootstrap(now);
            self.maintain_members(now);
            self.advance_raft()?;
        }
        let now = self.clock.now();
        if !self.node.leads(now) {
            self.pending.fail_all();
        }
        self.report_role(now);
        self.report_members(now);
        let age = self.data_age(now);
        self.watchers.answer(&self.applied, age, now);
        self.answer_followers(age, now);
        Ok(())
    }

    fn answer_followers(&mut self, age: Duration, now: Tick) {
        let leader = self.leader_address(now);
        let members = self.node.members();
        let newest = self.applied.catalog().map_or(0, |catalog| catalog.version);
        let now_ms = self.log_time.now_ms(now);
        let common = || Followed {
            parts: Vec::new(),
            newest,
            age_ms: age.as_millis() as u64,
            members: members.0.values().map(|member| member.address).collect(),
            leader,
            entry_hosts: self.applied.sharers,
            versions: self.applied.versions.recent(now_ms),
        };
        self.watchers
            .answer_followers(&self.applied, &mut self.feed, common, now);
    }

    /// Carries out the writes and messages of the Raft node until there are no more.
    fn advance_raft(&mut self) -> Result<(), DiskError> {
        loop {
            let ready = self.node.ready(self.clock.now());
            let busy = ready.writes() || !ready.before_sync.is_empty() || !ready.after_sync.is_empty();
            self.send(&ready.before_sync);
            if !self.write(ready)? {
                return Ok(());
            }
            let applied = self.apply_committed();
            self.record_commit()?;
            self.take_snapshot();
            if !busy && !applied {
                return Ok(());
            }
        }
    }

    /// Syncs writes, then sends the messages that depend on them; returns whether there was disk space.
    fn write(&mut self, ready: Ready) -> Result<bool, DiskError> {
        match self.folder.write(&ready) {
            Ok(()) => {}
            Err(error) if error.is_full() => {
                // No message that depends on these writes has been sent. They are kept, nobody is answered, and the
                // group goes on without this node until there is space.
                if self.stalled_write.is_none() {
                    warn!(self.logger, "no room on the disk"; "error" => %error);
                }
                counter!("gentian_state_disk_full_total").increment(1);
                self.stalled_write = Some((ready, self.clock.now() + DISK_RETRY));
                return Ok(false);
            }
            Err(error) => return Err(error),
        }
        if let Some(snapshot) = &ready.snapshot {
            self.applied = decode_snapshot(&snapshot.data)?;
            self.feed.clear();
            self.log_time = LogTime::new(self.applied.at_ms, self.clock.now());
        }
        if ready.writes() {
            self.node.on_synced(ready.log_end, self.clock.now());
        }
        self.send(&ready.after_sync);
        Ok(true)
    }

    fn retry_stalled_write(&mut self) -> Result<(), DiskError> {
        let now = self.clock.now();
        let Some((ready, _)) = self.stalled_write.take_if(|(_, at)| *at <= now) else {
            return Ok(());
        };
        if self.write(ready)? {
            info!(self.logger, "disk space is available again");
        }
        Ok(())
    }

    fn send(&mut self, messages: &[Message]) {
        for message in messages {
            let member = self.node.members().0.get(&message.to);
            let address = member
                .map(|member| member.address)
                .or_else(|| self.discovery.address(message.to));
            if let Some(address) = address {
                self.peers.send(address, PeerMessage::Agree(message.clone()));
            }
        }
    }

    /// Applies newly committed records and answers their callers; returns whether there were any.
    fn apply_committed(&mut self) -> bool {
        let records = self.node.take_committed();
        for record in &records {
            self.apply_one(record);
        }
        !records.is_empty()
    }

    /// Writes how far the log is committed if something was applied that hosts need right after a restart.
    fn record_commit(&mut self) -> Result<(), DiskError> {
        if !std::mem::take(&mut self.commit_due) {
            return Ok(());
        }
        match self.folder.write_commit(self.node.committed()) {
            // The next write of records includes it.
            Err(error) if error.is_full() => {
                warn!(self.logger, "commit index was not written"; "error" => %error);
                Ok(())
            }
            written => written,
        }
    }

    fn apply_one(&mut self, record: &Record) {
        let Payload::Command(bytes) = &record.payload else {
            return;
        };
        let entry: LogEntry = postcard::from_bytes(bytes).expect("the leader encoded this entry in the same version");
        let now = self.clock.now();
        self.log_time.observe(entry.at_ms, self.role == "leader", now);
        let before = self.applied.published.clone();
        let reply = self.applied.apply_at(record.at.index.0, &entry);
        self.commit_due |= matches!(
            entry.command,
            Command::Publish(_) | Command::Upload(_) | Command::Sharers(_) | Command::Versions(_)
        );
        if let (Some(old), Some(new)) = (before, &self.applied.published)
            && !Arc::ptr_eq(&old, new)
        {
            self.feed.push_change(&old.catalog, &new.catalog);
        }
        self.pending.answer(record.at, reply);
    }

    /// Starts to write a snapshot if one is due.
    fn take_snapshot(&mut self) {
        let now = self.clock.now();
        if !self.folder.wants_snapshot() || now < self.snapshot_retry {
            return;
        }
        let data = encode_snapshot(&self.applied);
        let snapshot = self.node.compact(data).clone();
        let begun = self.folder.start_snapshot(snapshot);
        self.check_snapshot(begun);
    }

    /// Schedules another try if a snapshot could not be written; the log is kept until then.
    fn check_snapshot(&mut self, result: Result<(), DiskError>) {
        if let Err(error) = result {
            warn!(self.logger, "snapshot was not written"; "error" => %error);
            self.snapshot_retry = self.clock.now() + DISK_RETRY;
        }
    }

    /// Returns the age of the state: for how long the node may have missed newer entries.
    fn data_age(&mut self, now: Tick) -> Duration {
        if self.node.leads(now) {
            self.current_at = Some(now);
        }
        self.current_at.map_or(UNKNOWN_AGE, |at| now.since(at))
    }

    /// Updates the leadership state and the metrics, and logs a change of the role.
    fn report_role(&mut self, now: Tick) {
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
        gauge!("gentian_state_log_bytes").set(self.node.log_bytes() as f64);
    }
}

/// Encodes the applied state for a snapshot.
fn encode_snapshot(applied: &AppliedState) -> Vec<u8> {
    let mut data = postcard::to_stdvec(applied).expect("every part of the state can be encoded");
    let rollouts = postcard::to_stdvec(&applied.rollouts).expect("every rollout can be encoded");
    data.extend_from_slice(&rollouts);
    let versions = postcard::to_stdvec(&applied.versions).expect("every version can be encoded");
    data.extend_from_slice(&versions);
    data
}

fn decode_snapshot(data: &[u8]) -> Result<AppliedState, DiskError> {
    if data.is_empty() {
        return Ok(AppliedState::default());
    }
    let codec_error = |source| DiskError::Codec { source };
    let (mut applied, rest): (AppliedState, _) = postcard::take_from_bytes(data).map_err(codec_error)?;
    // Snapshots of earlier releases end here, or after the rollouts.
    if !rest.is_empty() {
        let (rollouts, rest) = postcard::take_from_bytes(rest).map_err(codec_error)?;
        applied.rollouts = rollouts;
        if !rest.is_empty() {
            applied.versions = postcard::from_bytes(rest).map_err(codec_error)?;
        }
    }
    Ok(applied)
}
