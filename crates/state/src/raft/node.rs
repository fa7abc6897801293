//! One node of the agreement.

use std::collections::BTreeSet;
use std::time::Duration;

use derive_more::{Display, Error};
use policy::Tick;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::follow::Incoming;
use super::lead::Leading;
use super::log::Log;
use super::{Body, Hard, Index, MemberId, Members, Message, Payload, Position, Ready, Record, Snapshot, Term, Timing};

/// Records that stay in memory behind a snapshot, for followers that are a little late.
const KEPT: u64 = 1_024;

/// What a node finds on its disk when it starts.
#[derive(Clone, Debug, Default)]
pub struct Restored {
    /// Its incarnation.
    pub id: MemberId,
    /// Term and vote.
    pub hard: Hard,
    /// The newest snapshot; on a blank disk an empty one.
    pub snapshot: Snapshot,
    /// Records behind the snapshot.
    pub records: Vec<Record>,
}

/// The node does not lead, so nothing was written.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
#[display("not the leader")]
pub struct NotLeading {
    /// Who leads, if known.
    #[error(not(source))]
    pub leader: Option<MemberId>,
}

/// What a node does at the moment.
#[derive(Debug)]
pub(super) enum Role {
    Follower { leader: Option<MemberId> },
    Asking { granted: BTreeSet<MemberId> },
    Candidate { since: Tick, granted: BTreeSet<MemberId> },
    Leader(Leading),
}

/// One node of the agreement.
#[derive(Debug)]
pub struct Node {
    pub(super) id: MemberId,
    pub(super) timing: Timing,
    pub(super) random: ChaCha8Rng,
    pub(super) hard: Hard,
    pub(super) log: Log,
    pub(super) snapshot: Snapshot,
    /// Members with the index from which they hold; the last ones are in force, committed or not.
    pub(super) members: Vec<(Index, Members)>,
    pub(super) commit: Index,
    pub(super) applied: Index,
    pub(super) saved: Index,
    pub(super) unsaved: Index,
    pub(super) role: Role,
    /// When the node asks for votes unless it hears of a leader.
    pub(super) deadline: Tick,
    /// Until when it helps nobody to become leader.
    pub(super) quiet: Tick,
    pub(super) incoming: Option<Incoming>,
    pub(super) install: bool,
    pub(super) dirty: bool,
    pub(super) early: Vec<Message>,
    pub(super) late: Vec<Message>,
}

impl Node {
    /// Starts a node from what its disk holds; equal seeds and inputs give equal behaviour.
    #[must_use]
    pub fn new(restored: Restored, timing: Timing, seed: u64, now: Tick) -> Self {
        let Restored {
            id,
            hard,
            snapshot,
            records,
        } = restored;
        let mut members = vec![(snapshot.at.index, snapshot.members.clone())];
        members.extend(records.iter().filter_map(|record| match &record.payload {
            Payload::Members(members) => Some((record.at.index, members.clone())),
            _ => None,
        }));
        let base = snapshot.at;
        let log = Log::new(base, records);
        let saved = log.last().index;
        let mut node = Self {
            id,
            timing,
            random: ChaCha8Rng::seed_from_u64(seed ^ id.0),
            hard,
            log,
            snapshot,
            members,
            commit: base.index,
            applied: base.index,
            saved,
            unsaved: saved.next(),
            role: Role::Follower { leader: None },
            deadline: now,
            // Before it was stopped, the node may have told a leader that it follows. Whoever leads counts on that for
            // the rest of the election time; helping another at once would make two of them.
            quiet: now + timing.election,
            incoming: None,
            install: false,
            dirty: false,
            early: Vec::new(),
            late: Vec::new(),
        };
        node.reset_deadline(now);
        node
    }

    /// Gives its incarnation.
    #[must_use]
    pub const fn id(&self) -> MemberId {
        self.id
    }

    /// Gives the newest term that it knows.
    #[must_use]
    pub const fn term(&self) -> Term {
        self.hard.term
    }

    /// Gives the newest committed index that it knows.
    #[must_use]
    pub const fn committed(&self) -> Index {
        self.commit
    }

    /// Gives the end of its log.
    #[must_use]
    pub fn last(&self) -> Position {
        self.log.last()
    }

    /// Gives the members in force.
    ///
    /// # Panics
    /// Never: the members of the snapshot are always there.
    #[must_use]
    pub fn members(&self) -> &Members {
        &self.members.last().expect("the snapshot has members").1
    }

    /// Gives the position of its newest snapshot.
    #[must_use]
    pub const fn snapshot(&self) -> &Snapshot {
        &self.snapshot
    }

    /// Gives the leader, if one is known.
    #[must_use]
    pub const fn leader(&self) -> Option<MemberId> {
        match &self.role {
            Role::Follower { leader } => *leader,
            Role::Leader(_) => Some(self.id),
            Role::Asking { .. } | Role::Candidate { .. } => None,
        }
    }

    /// Tells whether it leads at a time by its own clock.
    #[must_use]
    pub fn leads(&self, now: Tick) -> bool {
        self.lease_until(now).is_some_and(|until| now < until)
    }

    /// Gives the name of its role.
    #[must_use]
    pub fn role(&self) -> &'static str {
        match &self.role {
            Role::Leader(_) => "leader",
            Role::Asking { .. } | Role::Candidate { .. } => "candidate",
            Role::Follower { .. } if self.members().votes(self.id) => "follower",
            Role::Follower { .. } => "learner",
        }
    }

    /// Moves time on.
    pub fn tick(&mut self, now: Tick) {
        self.check_lease(now);
        if matches!(self.role, Role::Leader(_)) {
            if self.beat_due(now) {
                self.beat(now);
            }
            self.continue_change(now);
        } else if self.deadline <= now {
            self.ask(now);
        }
    }

    /// Takes a message.
    pub fn receive(&mut self, message: Message, now: Tick) {
        self.check_lease(now);
        if message.to != self.id || message.from == self.id {
            return;
        }
        if message.term > self.hard.term && !self.raise(&message, now) {
            return;
        }
        if message.term < self.hard.term {
            self.refuse_old(&message);
            return;
        }
        let from = message.from;
        match message.body {
            Body::AskVote { pre, last } => self.on_ask(from, message.term, pre, last, now),
            Body::Vote { pre, granted } => self.on_vote(from, pre, granted, now),
            Body::Append {
                previous,
                records,
                commit,
                sent,
            } => {
                self.follow(from, now);
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
                self.follow(from, now);
                let part = Incoming {
                    at,
                    members,
                    total,
                    bytes,
                };
                self.on_part(from, offset, part, sent);
            }
            Body::Old => {}
            Body::Appended { matched, sent } => self.on_appended(from, matched, sent, now),
            Body::Rejected { hint, sent } => self.on_rejected(from, hint, sent, now),
            Body::Received { index, offset, sent } => self.on_received(from, index, offset, sent, now),
        }
    }

    /// Appends commands; they share the next sync.
    ///
    /// Returns the index of the first.
    ///
    /// # Errors
    /// Fails when the node does not lead; nothing was written then.
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

    /// Gives what is to be done next; the writes come before `saved` and before the late messages.
    pub fn ready(&mut self, now: Tick) -> Ready {
        self.pump(now);
        let last = self.log.last().index;
        let records = if self.unsaved <= last {
            self.log.between(self.unsaved, last)
        } else {
            Vec::new()
        };
        self.unsaved = last.next();
        let mut ready = Ready {
            early: std::mem::take(&mut self.early),
            snapshot: std::mem::take(&mut self.install).then(|| self.snapshot.clone()),
            hard: std::mem::take(&mut self.dirty).then_some(self.hard),
            records,
            late: std::mem::take(&mut self.late),
            until: last,
        };
        if ready.hard.is_some() {
            // A crash would forget the term in which these messages speak, and the next one could use it again.
            ready.late.append(&mut ready.early);
        }
        ready
    }

    /// Tells that everything up to an index is synced.
    pub fn saved(&mut self, until: Index, now: Tick) {
        self.saved = until.min(self.log.last().index);
        self.advance_commit(now);
    }

    /// Gives the records that were committed since the last call.
    pub fn take_committed(&mut self) -> Vec<Record> {
        if self.applied >= self.commit {
            return Vec::new();
        }
        let records = self.log.between(self.applied.next(), self.commit);
        self.applied = self.commit;
        records
    }

    /// Takes a snapshot of the applied state and forgets most of the log before it.
    pub fn compact(&mut self, data: Vec<u8>) -> &Snapshot {
        let index = self.applied;
        let term = self.log.term_of(index).unwrap_or(self.snapshot.at.term);
        let members = self.members_at(index);
        self.snapshot = Snapshot {
            at: Position { term, index },
            members,
            data: data.into(),
        };
        let base = Index(index.0.saturating_sub(KEPT)).max(self.log.base().index);
        if let Some(term) = self.log.term_of(base) {
            self.log.compact(Position { term, index: base });
        }
        self.forget_members(base);
        &self.snapshot
    }

    pub(super) fn append(&mut self, payload: Payload) -> Index {
        let index = self.log.last().index.next();
        if let Payload::Members(members) = &payload {
            self.members.push((index, members.clone()));
        }
        let at = Position {
            term: self.hard.term,
            index,
        };
        self.log.push(Record { at, payload });
        index
    }

    pub(super) fn truncate(&mut self, from: Index) {
        self.log.truncate(from);
        self.members
            .retain(|(index, _)| *index < from || *index <= self.snapshot.at.index);
        self.unsaved = self.unsaved.min(from);
        self.saved = self.saved.min(from.previous());
    }

    pub(super) fn members_at(&self, index: Index) -> Members {
        let newest = self.members.iter().rev().find(|(at, _)| *at <= index);
        newest.map_or_else(|| self.snapshot.members.clone(), |(_, members)| members.clone())
    }

    fn forget_members(&mut self, base: Index) {
        let covered = self.members.iter().filter(|(at, _)| *at <= base).count();
        self.members.drain(..covered.saturating_sub(1));
    }

    pub(super) fn say(&mut self, to: MemberId, body: Body) {
        let message = Message {
            from: self.id,
            to,
            term: self.hard.term,
            body,
        };
        if message.body.is_leaders() {
            self.early.push(message);
        } else {
            self.late.push(message);
        }
    }

    pub(super) fn reset_deadline(&mut self, now: Tick) {
        let election = self.timing.election.as_micros() as u64;
        let extra = self.random.random_range(0..election);
        self.deadline = now + self.timing.election + Duration::from_micros(extra);
    }
}
