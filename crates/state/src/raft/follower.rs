//! The follower's side of replication: appended records and snapshots.

use policy::Tick;

use super::log::Log;
use super::node::Role;
use super::{Body, Index, MemberId, Members, Node, Payload, Position, Record, Snapshot};

/// A snapshot of which some bytes have been received, or one part of it.
#[derive(Clone, Debug)]
pub(super) struct IncomingSnapshot {
    pub(super) at: Position,
    pub(super) members: Members,
    /// Bytes of the whole snapshot data.
    pub(super) total: u64,
    pub(super) bytes: Vec<u8>,
}

impl Node {
    /// Follows the leader of the current term, from which a message has just arrived.
    pub(super) fn follow_leader(&mut self, leader: MemberId, now: Tick) {
        self.role = Role::Follower { leader: Some(leader) };
        self.vote_lockout = now + self.timing.election;
        self.reset_election_deadline(now);
    }

    /// Appends records if the log contains the one before them, and answers the leader.
    pub(super) fn on_append(
        &mut self,
        from: MemberId,
        previous: Position,
        records: Vec<Record>,
        commit: Index,
        sent: u64,
    ) {
        let covered = previous.index < self.log.base().index;
        if !covered && !self.log.contains(previous) {
            let hint = if previous.index > self.log.last().index {
                self.log.last().index
            } else {
                self.log.conflict_hint(previous.index)
            };
            self.queue_message(from, Body::Rejected { hint, sent });
            return;
        }
        let matched = previous.index.0 + records.len() as u64;
        for record in records {
            self.accept_record(record);
        }
        // Only the records up to the last one sent are known to match; a longer tail may come from an older leader.
        let matched = Index(matched).max(self.commit);
        self.commit = self.commit.max(commit.min(matched));
        self.queue_message(from, Body::Appended { matched, sent });
    }

    /// Appends one record; a record of another term at its index is removed with everything after it.
    ///
    /// # Panics
    /// Panics when this would replace a committed record.
    fn accept_record(&mut self, record: Record) {
        let at = record.at;
        if at.index <= self.log.base().index || self.log.contains(at) {
            return;
        }
        assert!(
            at.index > self.commit,
            "the record at {at} would replace a committed record"
        );
        self.truncate(at.index);
        if let Payload::Members(members) = &record.payload {
            self.members.push((at.index, members.clone()));
        }
        self.log.push(record);
    }

    /// Adds a part of a snapshot and installs the snapshot once it is complete; parts out of order add nothing.
    pub(super) fn on_snapshot_part(&mut self, from: MemberId, offset: u64, part: IncomingSnapshot, sent: u64) {
        let index = part.at.index;
        if index <= self.commit {
            self.incoming_snapshot = None;
            let matched = self.commit;
            self.queue_message(from, Body::Appended { matched, sent });
            return;
        }
        let mut whole = match self.incoming_snapshot.take() {
            Some(whole) if whole.at == part.at => whole,
            _ => IncomingSnapshot {
                bytes: Vec::new(),
                ..part.clone()
            },
        };
        if whole.bytes.len() as u64 == offset {
            whole.bytes.extend_from_slice(&part.bytes);
        }
        let offset = whole.bytes.len() as u64;
        if offset < whole.total {
            self.incoming_snapshot = Some(whole);
            self.queue_message(from, Body::Received { index, offset, sent });
            return;
        }
        self.install_snapshot(whole);
        self.queue_message(from, Body::Appended { matched: index, sent });
    }

    /// Replaces the state, and the log unless it continues the snapshot.
    fn install_snapshot(&mut self, whole: IncomingSnapshot) {
        let IncomingSnapshot { at, members, bytes, .. } = whole;
        self.snapshot = Snapshot {
            at,
            members: members.clone(),
            data: bytes.into(),
        };
        self.snapshot_received = true;
        // The log after the snapshot is kept only if it contains the snapshot's last record, which proves that it
        // continues the snapshot.
        if self.log.contains(at) {
            self.log.compact(at);
            self.members.retain(|(index, _)| *index > at.index);
            self.members.insert(0, (at.index, members));
        } else {
            self.log = Log::new(at, Vec::new());
            self.members = vec![(at.index, members)];
            self.next_write = at.index.next();
            self.synced = at.index;
        }
        self.next_write = self.next_write.max(at.index.next());
        self.commit = at.index;
        self.applied = at.index;
    }

    /// Makes a blank node a member of a new group whose first snapshot is given.
    ///
    /// Does nothing on a node that already belongs to a group, or has let another one be founded in a newer term.
    pub fn bootstrap(&mut self, first: &Snapshot) {
        let is_new = self.log.last().index < first.at.index && first.at.term >= self.hard_state.term;
        if self.members().is_empty() && first.members.votes(self.id) && is_new {
            let bytes = first.data.to_vec();
            self.install_snapshot(IncomingSnapshot {
                at: first.at,
                members: first.members.clone(),
                total: bytes.len() as u64,
                bytes,
            });
        }
    }
}
