//! Leading: replication, commitment and the lease.

use std::collections::BTreeMap;
use std::time::Duration;

use policy::Tick;

use super::node::Role;
use super::{Body, Index, MemberId, Node, Position, Term};

/// Bytes of a snapshot in one message.
const PART: usize = 256 * 1024;
/// Records that may be on their way to a follower that has not answered.
const WINDOW: u64 = 8_192;

/// What only a leader knows.
#[derive(Debug)]
pub(super) struct Leading {
    pub(super) others: BTreeMap<MemberId, Progress>,
    pub(super) next_beat: Tick,
    /// Commit index of the last heartbeat.
    pub(super) told: Index,
    since: Tick,
}

/// How far another member is.
#[derive(Clone, Debug)]
pub(super) struct Progress {
    pub(super) matched: Index,
    next: Index,
    acked: Option<Tick>,
    mode: Mode,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Mode {
    /// Where the logs are equal is not known yet; records wait for an answer.
    Probe,
    /// Records are sent as they come.
    Stream,
    /// The follower needs what only the snapshot holds.
    Snapshot { index: Index, offset: u64 },
}

impl Progress {
    fn new(next: Index) -> Self {
        Self {
            matched: Index(0),
            next,
            acked: None,
            mode: Mode::Probe,
        }
    }
}

impl Leading {
    pub(super) fn new(others: &[MemberId], next: Index, since: Tick, now: Tick) -> Self {
        let others = others.iter().map(|id| (*id, Progress::new(next))).collect();
        Self {
            others,
            next_beat: now,
            told: Index(0),
            since,
        }
    }
}

impl Node {
    /// Gives the time until which the node may lead, if it is the leader.
    pub(super) fn lease_until(&self, now: Tick) -> Option<Tick> {
        let Role::Leader(leading) = &self.role else {
            return None;
        };
        let answered = |id| {
            if id == self.id {
                return now;
            }
            let acked = leading.others.get(&id).and_then(|progress| progress.acked);
            acked.unwrap_or(leading.since)
        };
        let since = self.members().agreed(answered)?;
        Some(since + self.timing.lease())
    }

    /// Tells whether it is time for a heartbeat, which comes sooner when there is a newer commit index to tell.
    pub(super) fn beat_due(&self, now: Tick) -> bool {
        let Role::Leader(leading) = &self.role else {
            return false;
        };
        let early = self.timing.beat.saturating_sub(self.timing.tell);
        leading.next_beat <= now || (leading.told < self.commit && leading.next_beat <= now + early)
    }

    /// Sends a heartbeat to every other member.
    pub(super) fn beat(&mut self, now: Tick) {
        self.match_members();
        let Role::Leader(leading) = &mut self.role else {
            return;
        };
        leading.next_beat = now + self.timing.beat;
        leading.told = self.commit;
        let others: Vec<MemberId> = leading.others.keys().copied().collect();
        for id in others {
            self.send(id, true, now);
        }
    }

    /// Sends to every other member what it has not been sent yet.
    pub(super) fn pump(&mut self, now: Tick) {
        let last = self.log.last().index;
        let Role::Leader(leading) = &self.role else {
            return;
        };
        let behind = |progress: &Progress| {
            progress.mode == Mode::Stream && progress.next <= last && progress.next.0 - progress.matched.0 <= WINDOW
        };
        let others = leading.others.iter().filter(|(_, progress)| behind(progress));
        let others: Vec<MemberId> = others.map(|(id, _)| *id).collect();
        for id in others {
            self.send(id, false, now);
        }
    }

    fn send(&mut self, to: MemberId, beat: bool, now: Tick) {
        let Some(progress) = self.progress(to) else {
            return;
        };
        let (next, mode) = (progress.next, progress.mode);
        let previous = next.previous();
        let sent = now.0.as_micros() as u64;
        if let (Mode::Probe | Mode::Stream, Some(term)) = (mode, self.log.term_of(previous)) {
            let previous = Position { term, index: previous };
            let records = if beat { Vec::new() } else { self.log.part(next) };
            if let Some(progress) = self.progress(to)
                && progress.mode == Mode::Stream
            {
                progress.next = Index(next.0 + records.len() as u64);
            }
            let commit = self.commit;
            self.say(
                to,
                Body::Append {
                    previous,
                    records,
                    commit,
                    sent,
                },
            );
        } else {
            self.send_part(to, beat, sent);
        }
    }

    /// Sends the next part of the snapshot; as a heartbeat only the question how much has arrived.
    fn send_part(&mut self, to: MemberId, beat: bool, sent: u64) {
        let at = self.snapshot.at;
        let Some(progress) = self.progress(to) else {
            return;
        };
        let offset = match progress.mode {
            Mode::Snapshot { index, offset } if index == at.index => offset,
            _ => 0,
        };
        progress.mode = Mode::Snapshot {
            index: at.index,
            offset,
        };
        let data = &self.snapshot.data;
        let from = (offset as usize).min(data.len());
        let until = if beat { from } else { data.len().min(from + PART) };
        let bytes = data[from..until].to_vec();
        let total = data.len() as u64;
        let members = self.snapshot.members.clone();
        self.say(
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

    pub(super) fn on_appended(&mut self, from: MemberId, matched: Index, sent: u64, now: Tick) {
        let last = self.log.last().index;
        let Some(progress) = self.acked(from, sent) else {
            return;
        };
        progress.matched = progress.matched.max(matched.min(last));
        progress.next = progress.next.max(progress.matched.next());
        progress.mode = Mode::Stream;
        self.advance_commit(now);
    }

    pub(super) fn on_rejected(&mut self, from: MemberId, hint: Index, sent: u64, now: Tick) {
        let Some(progress) = self.acked(from, sent) else {
            return;
        };
        if matches!(progress.mode, Mode::Snapshot { .. }) {
            return;
        }
        // The hint may lie before what is known to be equal, as the follower skips a whole term at once. Taking it for an
        // old answer and dropping it would leave the follower behind for ever.
        progress.next = hint.next().min(progress.next).max(progress.matched.next());
        progress.mode = Mode::Probe;
        self.send(from, false, now);
    }

    pub(super) fn on_received(&mut self, from: MemberId, index: Index, offset: u64, sent: u64, now: Tick) {
        let Some(progress) = self.acked(from, sent) else {
            return;
        };
        if matches!(progress.mode, Mode::Snapshot { index: sending, .. } if sending == index) {
            progress.mode = Mode::Snapshot { index, offset };
            self.send(from, false, now);
        }
    }

    /// Commits what a majority has synced, once a record of this term is among it.
    pub(super) fn advance_commit(&mut self, now: Tick) {
        let Role::Leader(leading) = &self.role else {
            return;
        };
        let matched = |id| {
            if id == self.id {
                return self.saved;
            }
            leading.others.get(&id).map_or(Index(0), |progress| progress.matched)
        };
        let Some(agreed) = self.members().agreed(matched) else {
            return;
        };
        if agreed > self.commit && self.log.term_of(agreed) == Some(self.hard.term) {
            self.commit = agreed;
            self.continue_change(now);
        }
    }

    /// Gives the index that a member is known to have synced.
    pub(super) fn matched(&self, id: MemberId) -> Index {
        match &self.role {
            Role::Leader(leading) => leading.others.get(&id).map_or(Index(0), |progress| progress.matched),
            _ => Index(0),
        }
    }

    /// Gives when the leader had sent what a member answered last; its own election where it never answered.
    #[must_use]
    pub fn answered(&self, id: MemberId) -> Option<Tick> {
        let Role::Leader(leading) = &self.role else {
            return None;
        };
        let progress = leading.others.get(&id)?;
        Some(progress.acked.unwrap_or(leading.since))
    }

    /// Follows a change of the members in what is kept of each.
    pub(super) fn match_members(&mut self) {
        let next = self.log.last().index.next();
        let ids: Vec<MemberId> = self.members().0.keys().copied().filter(|id| *id != self.id).collect();
        if let Role::Leader(leading) = &mut self.role {
            leading.others.retain(|id, _| ids.contains(id));
            for id in ids {
                leading.others.entry(id).or_insert_with(|| Progress::new(next));
            }
        }
    }

    pub(super) const fn current_term(&self) -> Term {
        self.hard.term
    }

    fn acked(&mut self, from: MemberId, sent: u64) -> Option<&mut Progress> {
        let progress = self.progress(from)?;
        let sent = Tick(Duration::from_micros(sent));
        progress.acked = progress.acked.max(Some(sent));
        Some(progress)
    }

    fn progress(&mut self, id: MemberId) -> Option<&mut Progress> {
        match &mut self.role {
            Role::Leader(leading) => leading.others.get_mut(&id),
            _ => None,
        }
    }
}
