//! How the leader keeps the members of the group up to date without an operator.

use std::time::Duration;

use contract::NodeId;
use policy::Tick;
use slog::info;

use super::Core;
use super::forming::MembershipMode;
use crate::raft::{Member, MemberId};

/// Pause between two looks at the members.
const PAUSE: Duration = Duration::from_millis(100);
/// Silence after which a member makes room for a newcomer. A frozen or killed host is mostly back within a few seconds and
/// joins again if a newcomer took its place; one that is gone must have been replaced before the next host is lost.
const SILENT: Duration = Duration::from_secs(2);
/// Silence after which a member is removed although nobody takes its place, so that it no longer counts for majorities.
const GONE: Duration = Duration::from_secs(12);
/// The same where a newcomer has joined before the loss was noticed: the lost one's place is taken already, and together
/// with a second loss it would leave half of the group.
const REPLACED: Duration = Duration::from_secs(3);
/// Voters that must have answered within [`SILENT`] before one is removed without a successor.
const FEWEST: usize = 3;
/// The same for an early removal: as many as a group has that nothing has happened to.
const PLENTY: usize = 4;

impl Core {
    /// Lets whoever announced itself join, in the place of a lost member if there is one.
    pub(super) fn keep_members(&mut self, now: Tick) {
        let automatic = matches!(self.me.membership, MembershipMode::Automatic { .. });
        if !automatic || now < self.members_at || !self.node.leads(now) {
            return;
        }
        self.members_at = now + PAUSE;
        match self.newcomer(now) {
            Some((id, node, address)) => {
                let member = Member {
                    node,
                    address,
                    votes: false,
                    replaces: None,
                };
                self.join(id, member, now);
            }
            None => self.remove_gone(now),
        }
    }

    fn newcomer(&self, now: Tick) -> Option<(MemberId, NodeId, std::net::SocketAddr)> {
        let members = self.node.members();
        let mut announced = self.forming.announced(now);
        let (id, node, address) = announced.find(|(id, _, _)| !members.0.contains_key(id))?;
        Some((id, node.clone(), address))
    }

    fn join(&mut self, id: MemberId, member: Member, now: Tick) {
        let members = &self.node.members().0;
        // Two incarnations never run at one address: the older one's disk is gone.
        let same = members.iter().find(|(_, other)| other.address == member.address);
        let old = same.map(|(id, _)| *id).or_else(|| self.silent(SILENT, now));
        let (node, address) = (member.node.clone(), member.address);
        let begun = match old {
            Some(old) => self.node.replace(old, id, member, now),
            None => self.node.add(id, member, now),
        };
        // A change that can't begin now, because another is not finished, is tried again at the next look.
        if begun.is_ok() {
            info!(self.logger, "member joins"; "member" => %id, "peer" => %node, "address" => %address,
                "replaces" => old.map(|old| old.to_string()));
        }
    }

    /// Gives the member that has been silent for the longest, if that is long enough.
    fn silent(&self, limit: Duration, now: Tick) -> Option<MemberId> {
        let others = self.node.members().0.keys().filter(|id| **id != self.node.id());
        let since = others.filter_map(|id| Some((self.node.answered(*id)?, *id)));
        let (at, id) = since.min()?;
        (now.since(at) >= limit).then_some(id)
    }

    fn remove_gone(&mut self, now: Tick) {
        let answers = |id: &MemberId| self.node.answered(*id).is_some_and(|at| now.since(at) < SILENT);
        let lively = 1 + self.node.members().voters().filter(answers).count();
        let limit = if lively >= PLENTY { REPLACED } else { GONE };
        let Some(gone) = self.silent(limit, now).filter(|_| lively >= FEWEST) else {
            return;
        };
        if self.node.remove(gone, now).is_ok() {
            info!(self.logger, "member removed"; "member" => %gone, "silent_s" => limit.as_secs(), "answering" => lively);
        }
    }
}
