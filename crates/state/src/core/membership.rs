//! Keeps the members of the group, and tells operators what becomes of them.

use metrics::gauge;
use policy::Tick;
use slog::info;

use super::Core;
use super::discovery::MembershipMode;
use crate::membership::{Announced, MemberEvent};
use crate::raft::{Member, MemberId};

impl Core {
    /// Adds, replaces and removes members while this node leads.
    pub(super) fn maintain_members(&mut self, now: Tick) {
        if !matches!(self.config.membership, MembershipMode::Automatic { .. }) {
            return;
        }
        let announced: Vec<Announced> = self.discovery.announced(now).collect();
        let Some(event) = self.membership.maintain(&mut self.node, &announced, now) else {
            return;
        };
        match &event {
            MemberEvent::Joins(new, old) => {
                info!(self.logger, "member joins"; "member" => %new.id, "peer" => %new.node, "address" => %new.address,
                    "replaces" => old.map(|old| old.to_string()));
            }
            MemberEvent::Removed(lost) => info!(self.logger, "member removed"; "member" => %lost),
            MemberEvent::Assigned(new, lost) => {
                info!(self.logger, "member takes a place"; "member" => %new, "replaces" => %lost);
            }
            MemberEvent::Waits(new, why) => {
                // Checks are frequent; only a newcomer or a reason that was not logged last is news.
                if self.logged_wait.as_ref() != Some(&event) {
                    info!(self.logger, "member can't join"; "member" => %new.id, "peer" => %new.node,
                        "address" => %new.address, "error" => %why);
                    self.logged_wait = Some(event);
                }
            }
        }
    }

    /// Updates the metrics of the members, and logs a change of them.
    pub(super) fn report_members(&mut self, now: Tick) {
        let members = self.node.members();
        let leads = self.node.leads(now);
        let is_changing = leads && self.node.is_changing();
        self.change_since = is_changing.then(|| self.change_since.unwrap_or(now));
        let age = self.change_since.map_or(0.0, |since| now.since(since).as_secs_f64());
        gauge!("gentian_state_change_age_seconds").set(age);
        gauge!("gentian_state_voters_count").set(members.voters().count() as f64);
        let answering = if leads { self.node.answering(now) } else { 0 };
        gauge!("gentian_state_voters_answering_count").set(answering as f64);
        if self.logged_members.as_ref() != Some(members) {
            let row = |(id, member): (&MemberId, &Member)| {
                let role = if member.votes { "voter" } else { "learner" };
                let replaces = member.replaces.map_or(String::new(), |old| format!(" for {old}"));
                format!("{} {id} {role}{replaces}", member.node)
            };
            let rows: Vec<String> = members.0.iter().map(row).collect();
            info!(self.logger, "members changed"; "members" => rows.join(", "), "term" => self.node.term().0);
            self.logged_members = Some(members.clone());
        }
    }
}
