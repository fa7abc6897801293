//! One node of the Raft group.

use std::collections::BTreeSet;
use std::time::Duration;

use derive_more::{Display, Error};
use policy::Tick;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::follower::IncomingSnapshot;
use super::founding::Founding;
use super::leader::LeaderState;
use super::log::Log;
use super::{
    Body, HardState, Index, MemberId, Members, Message, Payload, Position, Ready, Record, Snapshot, Term, Timing,
};

/// Most records that stay in memory before a snapshot's position, so that followers a little behind need no snapshot.
const KEPT_RECORDS: u64 = 1_024;
/// Most bytes of these records.
const KEPT_BYTES: usize = 4 * 1024 * 1024;
/// Most bytes of these records while a follower receives a snapshot, after which it needs those that were written
/// meanwhile.
const TRANSFER_KEPT_BYTES: usize = 16 * 1024 * 1024;

/// What a node finds on its disk when it starts.
#[derive(Clone, Debug, Default)]
pub struct Restored {
    /// Incarnation of the disk.
    pub id: MemberId,
    /// Term and vote that were synced last.
    pub hard_state: HardState,
    /// The newest snapshot; on a blank disk an empty one without members.
    pub snapshot: Snapshot,
    /// Consecutive records after the snapshot.
    pub records: Vec<Record>,
    /// Newest index that is known to be committed; zero if none was written.
    pub committed: Index,
}

/// The node does not lead, so nothing was written.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
#[display("not the leader")]
pub struct NotLeading {
    /// The leader, if known.
    #[error(not(source))]
    pub leader: Option<MemberId>,
}

/// Current role of a node.
#[derive(Debug)]
pub(super) enum Role {
    Follower {
        leader: Option<MemberId>,
    },
    /// Asks whether it would win an election; `granted` are the voters that agreed, itself included.
    PreCandidate {
        granted: BTreeSet<MemberId>,
    },
    /// Has asked for votes at `since`.
    Candidate {
        since: Tick,
        granted: BTreeSet<MemberId>,
    },
    Leader(LeaderState),
}

/// One node of the Raft group.
#[derive(Debug)]
pub struct Node {
    pub(super) id: MemberId,
    pub(super) timing: Timing,
    pub(super) random: ChaCha8Rng,
    pub(super) hard_state: HardState,
    pub(super) log: Log,
    pub(super) snapshot: Snapshot,
    /// Memberships with the index from which each is in force; the last one is current, committed or not.
    pub(super) members: Vec<(Index, Members)>,
    pub(super) commit: Index,
    /// Index up to which committed records were handed out by [`Node::take_committed`].
    pub(super) applied: Index,
    /// Index up to which the log is synced.
    pub(super) synced: Index,
    /// Index of the first record that was not handed out for writing yet.
    pub(super) next_write: Index,
    pub(super) role: Role,
    /// When the node starts a pre-vote unless it hears from a leader.
    pub(super) election_deadline: Tick,
    /// Until when the node grants no vote.
    pub(super) vote_lockout: Tick,
    pub(super) incoming_snapshot: Option<IncomingSnapshot>,
    /// Whether the node, while it is blank, may take part in the founding of a group.
    pub(super) may_found: bool,
    pub(super) founding: Option<Founding>,
    /// Whether a snapshot was installed that was not handed out for writing yet.
    pub(super) snapshot_received: bool,
    /// Whether the hard state changed since it was last handed out for writing.
    pub(super) hard_changed: bool,
    /// Messages to send before the next sync.
    pub(super) before_sync: Vec<Message>,
    /// Messages to send after the next sync.
    pub(super) after_sync: Vec<Message>,
}

impl Node {
    /// Starts a node from what its disk holds; equal seeds and inputs result in equal behaviour.
    #[must_use]
    pub fn new(restored: Restored, timing: Timing, seed: u64, now: Tick) -> Self {
        let Restored {
            id,
            hard_state,
            snapshot,
            records,
            committed,
        } = restored;
        let mut members = vec![(snapshot.at.index, snapshot.members.clone())];
        members.extend(records.iter().filter_map(|record| match &record.payload {
            Payload::Members(members) => Some((record.at.index, members.clone())),
            _ => None,
        }));
        let base = snapshot.at;
        let log = Log::new(base, records);
        let synced = log.last().index;
        let mut node = Self {
            id,
            timing,
            random: ChaCha8Rng::seed_from_u64(seed ^ id.0),
            hard_state,
            log,
            snapshot,
            members,
            commit: committed.min(synced).max(base.index),
            applied: base.index,
            synced,
            next_write: synced.next(),
            role: Role::Follower { leader: None },
            election_deadline: now,
            // Before it stopped, the node may have acknowledged a leader, whose lease relies on it for up to the
            // election timeout; a vote for another node in that time could make two leaders.
            vote_lockout: now + timing.election,
            incoming_snapshot: None,
            may_found: false,
            founding: None,
            snapshot_received: false,
            hard_changed: false,
            before_sync: Vec::new(),
            after_sync: Vec::new(),
        };
        node.reset_election_deadline(now);
        node
    }

    /// Returns the incarnation of the node.
    #[must_use]
    pub const fn id(&self) -> MemberId {
        self.id
    }

    /// Returns the newest term that the node knows.
    #[must_use]
    pub const fn term(&self) -> Term {
        self.hard_state.term
    }

    /// Returns the newest index that the node knows to be committed.
    #[must_use]
    pub const fn committed(&self) -> Index {
        self.commit
    }

    /// Returns the position of the last record, or of the snapshot if the log is empty.
    #[must_use]
    pub fn last(&self) -> Position {
        self.log.last()
    }

    /// Returns the bytes of the records that are in memory.
    #[must_use]
    pub const fn log_bytes(&self) -> usize {
        self.log.bytes()
    }

    /// Returns the current members, committed or not.
    ///
    /// # Panics
    /// Never: the snapshot's members are always present.
    #[must_use]
    pub fn members(&self) -> &Members {
        &self.members.last().expect("the snapshot has members").1
    }

    /// Returns the newest snapshot.
    #[must_use]
    pub const fn snapshot(&self) -> &Snapshot {
        &self.snapshot
    }

    /// Returns the leader, if one is known.
    #[must_use]
    pub const fn leader(&self) -> Option<MemberId> {
        match &self.role {
            Role::Follower { leader } => *leader,
            Role::Leader(_) => Some(self.id),
            Role::PreCandidate { .. } | Role::Candidate { .. } => None,
        }
    }

    /// Returns whether the node leads with a valid lease at a time of its own clock.
    #[must_use]
    pub fn leads(&self, now: Tick) -> bool {
        self.lease_until(now).is_some_and(|until| now < until)
    }

    /// Returns the role as `leader`, `candidate`, `follower` or `learner`; a leader may have no valid lease any more.
    #[must_use]
    pub fn role(&self) -> &'static str {
        match &self.role {
            Role::Leader(_) => "leader",
            Role::PreCandidate { .. } | Role::Candidate { .. } => "candidate",
            Role::Follower { .. } if self.members().votes(self.id) => "follower",
            Role::Follower { .. } => "learner",
        }
    }

    /// Advances time: sends heartbeats as the leader, starts a pre-vote at the election deadline otherwise.
    pub fn tick(&mut self, now: Tick) {
        self.check_lease(now);
        if matches!(self.role, Role::Leader(_)) {
            if self.heartbeat_due(now) {
                self.send_heartbeats(now);
            }
            self.continue_change(now);
        } else if self.election_deadline <= now {
            self.start_pre_vote(now);
        }
    }

    /// Handles a message from another node.
    pub fn receive(&mut self, message: Message, now: Tick) {
        self.check_lease(now);
        if message.to != self.id || message.from == self.id {
            return;
        }
        if message.term > self.hard_state.term && !self.observe_newer_term(&message, now) {
            return;
        }
        if message.term < self.hard_state.term {
            self.reject_stale(&message);
            return;
        }
        let from = message.from;
        match message.body {
            Body::AskVote { pre, last } => self.on_vote_request(from, message.term, pre, last, now),
            Body::Vote { pre, granted } => self.on_vote(from, pre, granted, now),
            Body::Append {
                previous,
                records,
                commit,
                sent,
            } => {
                self.follow_leader(from, now);
                self.on_append(from, previous, records, commit, sent);
            }
            Body::Part {
                at,
                members,
                offset,
                total,
                bytes,
                sent,
            } => {
                self.follow_leader(from, now);
                let part = IncomingSnapshot {
                    at,
                    members,
                    total,
                    bytes,
                };
                self.on_snapshot_part(from, offset, part, sent);
            }
            Body::Old => {}
            Body::Appended { matched, sent } => self.on_appended(from, matched, sent, now),
            Body::Rejected { hint, sent } => self.on_rejected(from, hint, sent, now),
            Body::Received { index, offset, sent } => self.on_received(from, index, offset, sent, now),
            Body::AskFounding => self.on_ask_founding(from),
            Body::Founding { granted } => self.on_founding(from, granted),
        }
    }

    /// Appends commands, which share the next sync, and returns the index of the first.
    ///
    /// # Errors
    /// Fails when the node does not lead; then nothing was written.
    pub fn propose(&mut self, commands: Vec<Vec<u8>>, now: Tick) -> Result<Index, NotLeading> {
        self.check_lease(now);
        if !matches!(self.role, Role::Leader(_)) {
            return Err(NotLeading { leader: self.leader() });
        }
        let first = self.log.last().index.next();
        for command in commands {
            self.append(Payload::Command(command.into()));
        }
        Ok(first)
    }

    /// Returns the next writes and messages. The writes must be synced before [`Node::on_synced`] is called and before
    /// the messages in [`Ready::after_sync`] are sent.
    pub fn ready(&mut self, now: Tick) -> Ready {
        self.send_pending(now);
        let last = self.log.last().index;
        let records = if self.next_write <= last {
            self.log.between(self.next_write, last)
        } else {
            Vec::new()
        };
        self.next_write = last.next();
        let mut ready = Ready {
            before_sync: std::mem::take(&mut self.before_sync),
            snapshot: std::mem::take(&mut self.snapshot_received).then(|| self.snapshot.clone()),
            hard_state: std::mem::take(&mut self.hard_changed).then_some(self.hard_state),
            records,
            after_sync: std::mem::take(&mut self.after_sync),
            committed: self.commit,
            log_end: last,
        };
        if ready.hard_state.is_some() {
            // A crash before the sync would lose the term of these messages, and the node could use the term again for
            // other ones.
            ready.after_sync.append(&mut ready.before_sync);
        }
        ready
    }

    /// Records that the log is synced up to an index.
    pub fn on_synced(&mut self, synced_to: Index, now: Tick) {
        self.synced = synced_to.min(self.log.last().index);
        self.advance_commit(now);
    }

    /// Returns the records that became committed since the last call.
    pub fn take_committed(&mut self) -> Vec<Record> {
        if self.applied >= self.commit {
            return Vec::new();
        }
        let records = self.log.between(self.applied.next(), self.commit);
        self.applied = self.commit;
        records
    }

    /// Takes over `data` as the snapshot of the applied state and drops the log before it, except for the newest
    /// records, which followers a little behind still need, up to a number of bytes.
    pub fn compact(&mut self, data: Vec<u8>) -> &Snapshot {
        let transfers = self.keep_transfer();
        let index = self.applied;
        let term = self.log.term_of(index).unwrap_or(self.snapshot.at.term);
        let members = self.members_at(index);
        self.snapshot = Snapshot {
            at: Position { term, index },
            members,
            data: data.into(),
        };
        let most_bytes = if transfers { TRANSFER_KEPT_BYTES } else { KEPT_BYTES };
        let base = self.log.newest_within(index, KEPT_RECORDS, most_bytes);
        if let Some(term) = self.log.term_of(base) {
            self.log.compact(Position { term, index: base });
        }
        self.prune_members(base);
        &self.snapshot
    }

    /// Appends a record of the current term.
    pub(super) fn append(&mut self, payload: Payload) -> Index {
        let index = self.log.last().index.next();
        if let Payload::Members(members) = &payload {
            self.members.push((index, members.clone()));
        }
        let at = Position {
            term: self.hard_state.term,
            index,
        };
        self.log.push(Record { at, payload });
        index
    }

    /// Removes the records from an index on, with the memberships that they brought.
    pub(super) fn truncate(&mut self, from: Index) {
        self.log.truncate(from);
        self.members
            .retain(|(index, _)| *index < from || *index <= self.snapshot.at.index);
        self.next_write = self.next_write.min(from);
        self.synced = self.synced.min(from.previous());
    }

    /// Returns the members in force at an index.
    pub(super) fn members_at(&self, index: Index) -> Members {
        let newest = self.members.iter().rev().find(|(at, _)| *at <= index);
        newest.map_or_else(|| self.snapshot.members.clone(), |(_, members)| members.clone())
    }

    /// Drops memberships that were superseded at or before the base of the log.
    fn prune_members(&mut self, base: Index) {
        let covered = self.members.iter().filter(|(at, _)| *at <= base).count();
        self.members.drain(..covered.saturating_sub(1));
    }

    /// Queues a message: a leader's before the sync, an answer after it, as it promises something about the writes.
    pub(super) fn queue_message(&mut self, to: MemberId, body: Body) {
        let message = Message {
            from: self.id,
            to,
            term: self.hard_state.term,
            body,
        };
        if message.body.is_from_leader() {
            self.before_sync.push(message);
        } else {
            self.after_sync.push(message);
        }
    }

    /// Sets the election deadline to a random time between one and two election timeouts from now.
    pub(super) fn reset_election_deadline(&mut self, now: Tick) {
        let election = self.timing.election.as_micros() as u64;
        let extra = self.random.random_range(0..election);
        self.election_deadline = now + self.timing.election + Duration::from_micros(extra);
    }
}
