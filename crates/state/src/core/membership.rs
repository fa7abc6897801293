//! Automatic membership: the leader adds, replaces and removes members without an operator.

use std::time::Duration;

use contract::NodeId;
use policy::Tick;
use slog::info;

use super::Core;
use super::discovery::MembershipMode;
use crate::raft::{Member, MemberId};

/// Interval between two checks of the members.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Time without an answer after which a member may be replaced by a newcomer. A paused or killed host is usually back
/// within a few seconds and joins again if it was replaced; a lost one must be replaced before the next host is lost.
const REPLACE_AFTER: Duration = Duration::from_secs(2);
/// Time without an answer after which a member is removed without a replacement, so that it no longer counts for
/// majorities.
const REMOVE_AFTER: Duration = Duration::from_secs(12);
/// The same for a group with a spare member, because a newcomer joined before the loss was noticed: the lost member and
/// one further loss would leave only half of such a group.
const REMOVE_EARLY_AFTER: Duration = Duration::from_secs(3);
/// Voters, the leader included, that must have answered within [`REPLACE_AFTER`] before a member is removed without a
/// replacement.
const MIN_ANSWERING: usize = 3;
/// The same for [`REMOVE_EARLY_AFTER`]: the usual number of members, so that the lost one is surplus.
const MIN_ANSWERING_EARLY: usize = 4;

impl Core {
    /// Adds a node that announced itself, in place of a lost member if there is one; without newcomers removes a lost
    /// member.
    pub(super) fn maintain_members(&mut self, now: Tick) {
        let automatic = matches!(self.config.membership, MembershipMode::Automatic { .. });
        if !automatic || now < self.membership_check || !self.node.leads(now) {
            return;
        }
        self.membership_check = now + CHECK_INTERVAL;
        match self.newcomer(now) {
            Some((id, node, address)) => {
                let member = Member {
                    node,
                    address,
                    votes: false,
                    replaces: None,
                };
                self.add_newcomer(id, member, now);
            }
            None => self.remove_lost(now),
        }
    }

    /// Returns a node that announced itself and is no member.
    fn newcomer(&self, now: Tick) -> Option<(MemberId, NodeId, std::net::SocketAddr)> {
        let members = self.node.members();
        let mut announced = self.discovery.announced(now);
        let (id, node, address) = announced.find(|(id, _, _)| !members.0.contains_key(id))?;
        Some((id, node.clone(), address))
    }

    /// Starts to add a node, in place of the older incarnation at its address or of a member that does not answer.
    fn add_newcomer(&mut self, id: MemberId, member: Member, now: Tick) {
        let members = &self.node.members().0;
        // Two incarnations never run at one address, so that the disk of the older one is lost.
        let same_address = members.iter().find(|(_, other)| other.address == member.address);
        let old = same_address
            .map(|(id, _)| *id)
            .or_else(|| self.longest_silent(REPLACE_AFTER, now));
        let (node, address) = (member.node.clone(), member.address);
        let begun = match old {
            Some(old) => self.node.replace(old, id, member, now),
            None => self.node.add(id, member, now),
        };
        // A change that cannot start now, because another is not finished, is tried again at the next check.
        if begun.is_ok() {
            info!(self.logger, "member joins"; "member" => %id, "peer" => %node, "address" => %address,
                "replaces" => old.map(|old| old.to_string()));
        }
    }

    /// Returns the other member that has not answered for the longest time, if that is at least `limit`.
    fn longest_silent(&self, limit: Duration, now: Tick) -> Option<MemberId> {
        let others = self.node.members().0.keys().filter(|id| **id != self.node.id());
        let since = others.filter_map(|id| Some((self.node.last_ack(*id)?, *id)));
        let (at, id) = since.min()?;
        (now.since(at) >= limit).then_some(id)
    }

    /// Removes a member that does not answer, if enough others do.
    fn remove_lost(&mut self, now: Tick) {
        let answers = |id: &MemberId| self.node.last_ack(*id).is_some_and(|at| now.since(at) < REPLACE_AFTER);
        let answering = 1 + self.node.members().voters().filter(answers).count();
        let limit = if answering >= MIN_ANSWERING_EARLY {
            REMOVE_EARLY_AFTER
        } else {
            REMOVE_AFTER
        };
        let Some(lost) = self.longest_silent(limit, now).filter(|_| answering >= MIN_ANSWERING) else {
            return;
        };
        if self.node.remove(lost, now).is_ok() {
            info!(self.logger, "member removed"; "member" => %lost, "silent_s" => limit.as_secs(),
                "answering" => answering);
        }
    }
}
