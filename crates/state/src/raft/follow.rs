//! Following a leader.

use policy::Tick;

use super::log::Log;
use super::node::Role;
use super::{Body, Index, MemberId, Members, Node, Payload, Position, Record, Snapshot};

/// A snapshot, or a part of one, on its way in.
#[derive(Clone, Debug)]
pub(super) struct Incoming {
    pub(super) at: Position,
    pub(super) members: Members,
    pub(super) total: u64,
    pub(super) bytes: Vec<u8>,
}

impl Node {
    /// Notes that a leader of the current term was heard.
    pub(super) fn follow(&mut self, leader: MemberId, now: Tick) {
        self.role = Role::Follower { leader: Some(leader) };
        self.quiet = now + self.timing.election;
        self.reset_deadline(now);
    }

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
                self.log.before_term(previous.index)
            };
            self.say(from, Body::Rejected { hint, sent });
            return;
        }
        let matched = previous.index.0 + records.len() as u64;
        for record in records {
            self.take(record);
        }
        // Only what the leader has just compared is known to be equal; a longer tail may be of an older leader.
        let matched = Index(matched).max(self.commit);
        self.commit = self.commit.max(commit.min(matched));
        self.say(from, Body::Appended { matched, sent });
    }

    fn take(&mut self, record: Record) {
        let at = record.at;
        if at.index <= self.log.base().index || self.log.contains(at) {
            return;
        }
        assert!(at.index > self.commit, "a committed record would change at {at}");
        self.truncate(at.index);
        if let Payload::Members(members) = &record.payload {
            self.members.push((at.index, members.clone()));
        }
        self.log.push(record);
    }

    pub(super) fn on_part(&mut self, from: MemberId, offset: u64, part: Incoming, sent: u64) {
        let index = part.at.index;
        if index <= self.commit {
            self.incoming = None;
            let matched = self.commit;
            self.say(from, Body::Appended { matched, sent });
            return;
        }
        let mut whole = match self.incoming.take() {
            Some(whole) if whole.at == part.at => whole,
            _ => Incoming {
                bytes: Vec::new(),
                ..part.clone()
            },
        };
        if whole.bytes.len() as u64 == offset {
            whole.bytes.extend_from_slice(&part.bytes);
        }
        let offset = whole.bytes.len() as u64;
        if offset < whole.total {
            self.incoming = Some(whole);
            self.say(from, Body::Received { index, offset, sent });
            return;
        }
        self.install(whole);
        self.say(from, Body::Appended { matched: index, sent });
    }

    fn install(&mut self, whole: Incoming) {
        let Incoming { at, members, bytes, .. } = whole;
        self.snapshot = Snapshot {
            at,
            members: members.clone(),
            data: bytes.into(),
        };
        self.install = true;
        // The tail may only stay when it is known to follow the snapshot.
        if self.log.contains(at) {
            self.log.compact(at);
            self.members.retain(|(index, _)| *index > at.index);
            self.members.insert(0, (at.index, members));
        } else {
            self.log = Log::new(at, Vec::new());
            self.members = vec![(at.index, members)];
            self.unsaved = at.index.next();
            self.saved = at.index;
        }
        self.unsaved = self.unsaved.max(at.index.next());
        self.commit = at.index;
        self.applied = at.index;
    }

    /// Makes a blank node a member of a new group.
    ///
    /// Does nothing on a node that belongs to a group already.
    pub fn form(&mut self, first: &Snapshot) {
        if self.members().is_empty() && first.members.votes(self.id) && self.log.last().index < first.at.index {
            let bytes = first.data.to_vec();
            self.install(Incoming {
                at: first.at,
                members: first.members.clone(),
                total: bytes.len() as u64,
                bytes,
            });
        }
    }
}
