//! Handling of requests to the thread that owns the state.

use std::net::SocketAddr;

use contract::{NodeId, ServiceName};
use policy::Tick;
use telemetry::clock::wall_ms;
use wire::state::{StateStatus, Unavailable};

use super::request::{KnownRollouts, KnownVersions, Leadership, MemberList, ReplaceError};
use super::{Core, ReplaceMember, Replacement, StateRequest};
use crate::applied::{Command, LogEntry};
use crate::raft::{ChangeError, Member, MemberId};

impl Core {
    /// Handles a batch of requests; the commands among them are proposed together.
    pub(super) fn serve(&mut self, batch: Vec<StateRequest>) {
        let mut commands = Vec::new();
        let mut replies = Vec::new();
        let now = self.clock.now();
        for ask in batch {
            match ask {
                StateRequest::Command(command, reply) => {
                    commands.push(*command);
                    replies.push(reply);
                }
                // A blank disk holds no state. An entry host would take the empty configuration as valid and refuse
                // every caller, and operators would see no contracts. Without an answer they ask another node.
                StateRequest::Watch(..)
                | StateRequest::Follow(..)
                | StateRequest::Read(_)
                | StateRequest::Versions(..)
                    if self.node.members().is_empty() => {}
                StateRequest::Watch(watch, reply) => self.watchers.add(watch, reply, now),
                StateRequest::Follow(follow, reply) => self.watchers.add_follower(follow, reply, now),
                // A dropped receiver needs no answer.
                StateRequest::Leadership(reply) => drop(reply.send(self.leadership(now))),
                StateRequest::Rollouts(reply) => drop(reply.send(self.known_rollouts(now))),
                StateRequest::Versions(service, reply) => drop(reply.send(self.known_versions(&service, now))),
                StateRequest::Status(reply) => drop(reply.send(self.status(now))),
                StateRequest::Read(read) => {
                    let age = self.data_age(now);
                    read(&self.applied, age);
                }
                StateRequest::Members(reply) => drop(reply.send(self.member_list(now))),
                StateRequest::Replace(replace, reply) => drop(reply.send(self.replace(&replace, now))),
                // While a write waits for disk space, messages are dropped as on a lossy network.
                StateRequest::Deliver(_) if self.stalled_write.is_some() => {}
                StateRequest::Deliver(batch) => self.receive(batch, now),
            }
        }
        if commands.is_empty() {
            return;
        }
        match self.propose(commands, now) {
            Ok(first) => self.pending.add(self.node.term(), first, replies),
            Err(why) => replies.into_iter().for_each(|reply| drop(reply.send(Err(why.clone())))),
        }
    }

    /// Appends commands with the current log time; returns the index of the first.
    fn propose(&mut self, commands: Vec<Command>, now: Tick) -> Result<crate::raft::Index, Unavailable> {
        if self.stalled_write.is_some() {
            return Err(Unavailable::NoQuorum {
                reason: "the disk is full".to_owned(),
            });
        }
        let at_ms = self.log_time.now_ms(now);
        let wall_ms = wall_ms();
        let encode = |command| {
            postcard::to_stdvec(&LogEntry {
                at_ms,
                wall_ms,
                command,
            })
            .expect("every command can be encoded")
        };
        let encoded = commands.into_iter().map(encode).collect();
        self.node.propose(encoded, now).map_err(|refused| match refused.leader {
            Some(leader) => {
                let leader = self.node.members().0.get(&leader).map(|member| member.address);
                Unavailable::NotLeader { leader }
            }
            None => Unavailable::NoQuorum {
                reason: "no leader is known".to_owned(),
            },
        })
    }

    fn status(&self, now: Tick) -> StateStatus {
        let members = self.node.members();
        let leader = self.leader(now);
        StateStatus {
            role: if self.node.role() == "leader" && leader.is_none() {
                "follower"
            } else {
                self.node.role()
            }
            .to_owned(),
            term: self.node.term().0,
            committed: self.node.committed().0,
            leader: leader
                .and_then(|id| members.0.get(&id))
                .map(|member| member.node.clone()),
            voters: members
                .0
                .values()
                .filter(|member| member.votes)
                .map(|member| member.node.clone())
                .collect(),
            claims: self.applied.claim_count(),
        }
    }

    fn leadership(&self, now: Tick) -> Leadership {
        Leadership {
            term: self.node.term().0,
            since: self.led_since.filter(|_| self.node.leads(now)),
            leader: self.leader_address(now),
            nodes: self.node.members().len() as u32,
        }
    }

    fn known_rollouts(&self, now: Tick) -> Option<KnownRollouts> {
        self.node.leads(now).then(|| KnownRollouts {
            term: self.node.term().0,
            now_ms: self.log_time.now_ms(now),
            rollouts: self.applied.rollouts.values().cloned().collect(),
        })
    }

    fn known_versions(&mut self, service: &ServiceName, now: Tick) -> KnownVersions {
        let mut versions = self.applied.versions.recent(self.log_time.now_ms(now));
        versions.retain(|seen| seen.service == *service);
        KnownVersions {
            versions,
            age: self.data_age(now),
        }
    }

    pub(super) fn leader_address(&self, now: Tick) -> Option<SocketAddr> {
        let leader = self.leader(now)?;
        self.node.members().0.get(&leader).map(|member| member.address)
    }

    /// Returns the known leader; this node only while its lease is valid.
    fn leader(&self, now: Tick) -> Option<MemberId> {
        let leader = self.node.leader()?;
        (leader != self.node.id() || self.node.leads(now)).then_some(leader)
    }

    fn member_list(&self, now: Tick) -> MemberList {
        let members = self.node.members().clone();
        let blank = self
            .discovery
            .blank(now)
            .filter(|(id, _, _)| !members.0.contains_key(id))
            .map(|(id, node, address)| (id, node.clone(), address))
            .collect();
        MemberList {
            members,
            blank,
            leader: self.leader(now),
        }
    }

    fn replace(&mut self, replace: &ReplaceMember, now: Tick) -> Result<Replacement, ReplaceError> {
        if !self.node.leads(now) || self.stalled_write.is_some() {
            return Err(ReplaceError::Change(ChangeError::NotLeading));
        }
        let list = self.member_list(now);
        let named = |node: &NodeId, name: &NodeId| node == name;
        let old = list
            .members
            .0
            .iter()
            .find(|(_, member)| named(&member.node, &replace.old));
        let (old, _) = old.ok_or_else(|| ReplaceError::NoMember(replace.old.clone()))?;
        let blank = list.blank.iter().find(|(_, node, _)| named(node, &replace.new));
        let (new, node, address) = blank.ok_or_else(|| ReplaceError::NotBlank(replace.new.clone()))?;
        let member = Member {
            node: node.clone(),
            address: *address,
            votes: false,
            replaces: Some(*old),
        };
        self.node
            .replace(*old, *new, member, now)
            .map_err(ReplaceError::Change)?;
        Ok(Replacement {
            old: old.to_string(),
            new: new.to_string(),
        })
    }
}
