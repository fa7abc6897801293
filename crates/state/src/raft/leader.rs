//! The leader's side of replication, commitment and the leader lease.

use std::collections::BTreeMap;
use std::time::Duration;

use policy::Tick;

use super::node::Role;
use super::{Body, Index, MemberId, Node, Position, Snapshot, Term};

/// Most bytes of a snapshot in one message.
const PART_BYTES: usize = 256 * 1024;
/// Most records that may be sent to a follower before it has acknowledged them.
const MAX_IN_FLIGHT: u64 = 8_192;
/// Most bytes of these records, unless a single message has more.
const MAX_IN_FLIGHT_BYTES: usize = 2 * 1024 * 1024;

/// State that only a leader has.
#[derive(Debug)]
pub(super) struct LeaderState {
    pub(super) others: BTreeMap<MemberId, Progress>,
    pub(super) next_heartbeat: Tick,
    /// Commit index that the last heartbeat carried.
    pub(super) sent_commit: Index,
    /// An older snapshot that some member still receives.
    older: Option<Snapshot>,
    /// When this node asked for the votes that elected it.
    since: Tick,
}

/// Replication progress of another member.
#[derive(Clone, Debug)]
pub(super) struct Progress {
    pub(super) matched: Index,
    /// Index of the next record to send.
    next: Index,
    /// Latest send time, by the leader's clock, that the member has echoed.
    last_ack: Option<Tick>,
    /// When the leader began to send to the member, or asked for the votes of its election.
    since: Tick,
    mode: Mode,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Mode {
    /// Where the logs match is not known yet; records are sent only after an answer.
    Probe,
    /// Records are sent as they are appended, before earlier ones are acknowledged.
    Stream,
    /// The follower needs records that only the snapshot at `index` covers; `offset` of its bytes have arrived, and the
    /// next ones were sent at `part_sent`, in microseconds of the leader's clock.
    Snapshot { index: Index, offset: u64, part_sent: u64 },
}

impl Progress {
    const fn new(next: Index, since: Tick) -> Self {
        Self {
            matched: Index(0),
            next,
            last_ack: None,
            since,
            mode: Mode::Probe,
        }
    }
}

impl LeaderState {
    pub(super) fn new(others: &[MemberId], next: Index, since: Tick, now: Tick) -> Self {
        let others = others.iter().map(|id| (*id, Progress::new(next, since))).collect();
        Self {
            others,
            next_heartbeat: now,
            sent_commit: Index(0),
            older: None,
            since,
        }
    }

    /// Returns whether some member receives the snapshot at an index.
    fn transfers(&self, index: Index) -> bool {
        let receives = |progress: &Progress| matches!(progress.mode, Mode::Snapshot { index: at, .. } if at == index);
        self.others.values().any(receives)
    }
}

impl Node {
    /// Returns when the leader lease ends; `None` unless the node leads.
    pub(super) fn lease_until(&self, now: Tick) -> Option<Tick> {
        let Role::Leader(leading) = &self.role else {
            return None;
        };
        let answered = |id| {
            if id == self.id {
                return now;
            }
            let last_ack = leading.others.get(&id).and_then(|progress| progress.last_ack);
            last_ack.unwrap_or(leading.since)
        };
        let since = self.members().quorum_value(answered)?;
        Some(since + self.timing.lease())
    }

    /// Returns whether a heartbeat is due; a newer commit index is announced earlier than the regular heartbeat.
    pub(super) fn heartbeat_due(&self, now: Tick) -> bool {
        let Role::Leader(leading) = &self.role else {
            return false;
        };
        let early = self.timing.heartbeat.saturating_sub(self.timing.commit_notice);
        leading.next_heartbeat <= now || (leading.sent_commit < self.commit && leading.next_heartbeat <= now + early)
    }

    /// Sends a heartbeat to every other member.
    pub(super) fn send_heartbeats(&mut self, now: Tick) {
        self.track_members(now);
        let Role::Leader(leading) = &mut self.role else {
            return;
        };
        leading.next_heartbeat = now + self.timing.heartbeat;
        leading.sent_commit = self.commit;
        let others: Vec<MemberId> = leading.others.keys().copied().collect();
        for id in others {
            self.replicate_to(id, true, now);
        }
    }

    /// Sends new records to every follower in [`Mode::Stream`] whose unacknowledged records are within the limit.
    pub(super) fn send_pending(&mut self, now: Tick) {
        let last = self.log.last().index;
        let Role::Leader(leading) = &self.role else {
            return;
        };
        let in_flight_fits = |progress: &Progress| {
            // Records before the base are no longer counted, but may still be under way.
            progress.next.0 - progress.matched.0 <= MAX_IN_FLIGHT
                && progress.matched >= self.log.base().index
                && self.log.bytes_between(progress.matched, progress.next.previous()) <= MAX_IN_FLIGHT_BYTES
        };
        let behind =
            |progress: &Progress| progress.mode == Mode::Stream && progress.next <= last && in_flight_fits(progress);
        let others = leading.others.iter().filter(|(_, progress)| behind(progress));
        let others: Vec<MemberId> = others.map(|(id, _)| *id).collect();
        for id in others {
            self.replicate_to(id, false, now);
        }
    }

    /// Sends the next records or the next part of the snapshot to a member; a heartbeat carries no records.
    fn replicate_to(&mut self, to: MemberId, heartbeat: bool, now: Tick) {
        let Some(progress) = self.progress(to) else {
            return;
        };
        let (next, mode) = (progress.next, progress.mode);
        let previous = next.previous();
        let sent = now.0.as_micros() as u64;
        if let (Mode::Probe | Mode::Stream, Some(term)) = (mode, self.log.term_of(previous)) {
            let previous = Position { term, index: previous };
            let records = if heartbeat {
                Vec::new()
            } else {
                self.log.batch_from(next)
            };
            if let Some(progress) = self.progress(to)
                && progress.mode == Mode::Stream
            {
                progress.next = Index(next.0 + records.len() as u64);
            }
            let commit = self.commit;
            self.queue_message(
                to,
                Body::Append {
                    previous,
                    records,
                    commit,
                    sent,
                },
            );
        } else {
            self.send_snapshot_part(to, heartbeat, sent);
        }
    }

    /// Keeps the snapshot for the members that receive it, before a newer one takes its place; a member whose transfer
    /// began anew with each snapshot would never catch up while much is written. Returns whether there are such members.
    pub(super) fn keep_transfer(&mut self) -> bool {
        let index = self.snapshot.at.index;
        let Role::Leader(leading) = &mut self.role else {
            return false;
        };
        let older = leading.older.take();
        leading.older = older.filter(|older| leading.transfers(older.at.index));
        if leading.older.is_none() && leading.transfers(index) {
            leading.older = Some(self.snapshot.clone());
        }
        leading.older.is_some()
    }

    /// Returns the snapshot at an index, if it is the newest one or some member still receives it.
    fn snapshot_at(&self, index: Index) -> Option<&Snapshot> {
        let older = match &self.role {
            Role::Leader(leading) => leading.older.as_ref(),
            _ => None,
        };
        let mut kept = std::iter::once(&self.snapshot).chain(older);
        kept.find(|snapshot| snapshot.at.index == index)
    }

    /// Sends the next part of the snapshot; a heartbeat carries no bytes and asks how many have arrived.
    fn send_snapshot_part(&mut self, to: MemberId, heartbeat: bool, sent: u64) {
        let Some(progress) = self.progress(to) else {
            return;
        };
        let begun = match progress.mode {
            Mode::Snapshot {
                index,
                offset,
                part_sent,
            } => Some((index, offset, part_sent)),
            Mode::Probe | Mode::Stream => None,
        };
        let begun = begun.and_then(|(index, offset, at)| Some((self.snapshot_at(index)?.clone(), offset, at)));
        let (snapshot, offset, part_sent) = begun.unwrap_or_else(|| (self.snapshot.clone(), 0, 0));
        let at = snapshot.at;
        if let Some(progress) = self.progress(to) {
            progress.mode = Mode::Snapshot {
                index: at.index,
                offset,
                part_sent: if heartbeat { part_sent } else { sent },
            };
        }
        let data = &snapshot.data;
        let from = (offset as usize).min(data.len());
        let until = if heartbeat {
            from
        } else {
            data.len().min(from + PART_BYTES)
        };
        let bytes = data[from..until].to_vec();
        let total = data.len() as u64;
        let members = snapshot.members;
        self.queue_message(
            to,
            Body::Part {
                at,
                members,
                offset,
                total,
                bytes,
                sent,
            },
        );
    }

    /// Handles a follower's acknowledgement of records.
    pub(super) fn on_appended(&mut self, from: MemberId, matched: Index, sent: u64, now: Tick) {
        let last = self.log.last().index;
        let Some(progress) = self.record_ack(from, sent) else {
            return;
        };
        progress.matched = progress.matched.max(matched.min(last));
        progress.next = progress.next.max(progress.matched.next());
        progress.mode = Mode::Stream;
        self.advance_commit(now);
    }

    /// Goes back to an earlier index after a follower whose log does not match.
    pub(super) fn on_rejected(&mut self, from: MemberId, hint: Index, sent: u64, now: Tick) {
        let Some(progress) = self.record_ack(from, sent) else {
            return;
        };
        if matches!(progress.mode, Mode::Snapshot { .. }) {
            return;
        }
        // The hint may lie before the matched index, as the follower skips a whole term at once. Ignoring it as an old
        // answer would leave the follower behind forever.
        progress.next = hint.next().min(progress.next).max(progress.matched.next());
        progress.mode = Mode::Probe;
        self.replicate_to(from, false, now);
    }

    /// Continues a snapshot transfer after the bytes that have arrived, unless the next ones are under way: each answer to
    /// a heartbeat would otherwise send them once more.
    pub(super) fn on_received(&mut self, from: MemberId, index: Index, offset: u64, sent: u64, now: Tick) {
        let Some(progress) = self.record_ack(from, sent) else {
            return;
        };
        let Mode::Snapshot {
            index: sending,
            offset: arrived,
            part_sent,
        } = progress.mode
        else {
            return;
        };
        // Messages arrive in order: an answer to a later one that brings nothing new shows that the part was lost.
        if sending == index && (offset > arrived || sent > part_sent) {
            progress.mode = Mode::Snapshot {
                index,
                offset,
                part_sent,
            };
            self.replicate_to(from, false, now);
        }
    }

    /// Commits what a quorum has synced, once a record of this term is among it.
    pub(super) fn advance_commit(&mut self, now: Tick) {
        let Role::Leader(leading) = &self.role else {
            return;
        };
        let matched = |id| {
            if id == self.id {
                return self.synced;
            }
            leading.others.get(&id).map_or(Index(0), |progress| progress.matched)
        };
        let Some(quorum_index) = self.members().quorum_value(matched) else {
            return;
        };
        if quorum_index > self.commit && self.log.term_of(quorum_index) == Some(self.hard_state.term) {
            self.commit = quorum_index;
            self.continue_change(now);
        }
    }

    /// Returns whether a member has answered since the leader began to send to another one.
    pub(super) fn answered_since_added(&self, id: MemberId, other: MemberId) -> bool {
        let Role::Leader(leading) = &self.role else {
            return false;
        };
        let added = leading.others.get(&other).map(|progress| progress.since);
        id == self.id
            || leading
                .others
                .get(&id)
                .is_some_and(|progress| progress.last_ack >= added)
    }

    /// Returns whether a member is a learner that answers and could be promoted.
    #[must_use]
    pub fn awaits_promotion(&self, id: MemberId, now: Tick) -> bool {
        !self.members().votes(id) && self.has_caught_up(id) && self.answers(id, now)
    }

    /// Returns the index up to which a member's synced log is known to match; zero unless the node leads.
    pub(super) fn matched(&self, id: MemberId) -> Index {
        match &self.role {
            Role::Leader(leading) => leading.others.get(&id).map_or(Index(0), |progress| progress.matched),
            _ => Index(0),
        }
    }

    /// Returns when the leader sent the last message that a member has answered; before its first answer, when the
    /// leader asked for the votes of its election or added the member later. `None` unless the node leads and has that
    /// member.
    #[must_use]
    pub fn last_ack(&self, id: MemberId) -> Option<Tick> {
        let Role::Leader(leading) = &self.role else {
            return None;
        };
        let progress = leading.others.get(&id)?;
        Some(progress.last_ack.unwrap_or(progress.since))
    }

    /// Returns the number of voters that have answered within the election timeout, the leader included; zero unless
    /// the node leads.
    #[must_use]
    pub fn answering(&self, now: Tick) -> usize {
        let leads = matches!(self.role, Role::Leader(_));
        let voters = self.members().voters();
        voters.filter(|id| leads && self.answers(*id, now)).count()
    }

    /// Returns whether a member has answered the leader within the election timeout; the leader itself always has.
    #[must_use]
    pub fn answers(&self, id: MemberId, now: Tick) -> bool {
        let Role::Leader(leading) = &self.role else {
            return false;
        };
        let last_ack = leading.others.get(&id).and_then(|progress| progress.last_ack);
        id == self.id || last_ack.is_some_and(|at| now.since(at) < self.timing.election)
    }

    /// Updates the replication progress table after a change of the members.
    pub(super) fn track_members(&mut self, now: Tick) {
        let next = self.log.last().index.next();
        let ids: Vec<MemberId> = self.members().0.keys().copied().filter(|id| *id != self.id).collect();
        if let Role::Leader(leading) = &mut self.role {
            leading.others.retain(|id, _| ids.contains(id));
            for id in ids {
                leading.others.entry(id).or_insert_with(|| Progress::new(next, now));
            }
        }
    }

    pub(super) const fn current_term(&self) -> Term {
        self.hard_state.term
    }

    /// Records that a member has answered a message sent at `sent` microseconds of the leader's clock.
    fn record_ack(&mut self, from: MemberId, sent: u64) -> Option<&mut Progress> {
        let progress = self.progress(from)?;
        let sent = Tick(Duration::from_micros(sent));
        progress.last_ack = progress.last_ack.max(Some(sent));
        Some(progress)
    }

    fn progress(&mut self, id: MemberId) -> Option<&mut Progress> {
        match &mut self.role {
            Role::Leader(leading) => leading.others.get_mut(&id),
            _ => None,
        }
    }
}
