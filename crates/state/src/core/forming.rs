//! How blank disks become a group, and how a blank disk announces itself to one that is there.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use contract::NodeId;
use policy::Tick;
use serde::{Deserialize, Serialize};

use super::{Core, encode};
use crate::applied::AppliedState;
use crate::peers::{Delivery, Parcel};
use crate::raft::{Body, Index, Member, MemberId, Members, Position, Snapshot, Term};

/// Pause between two announcements.
const PAUSE: Duration = Duration::from_millis(100);
/// How long an announcement counts.
const FRESH: Duration = Duration::from_secs(2);
/// Silence of the leader after which a member announces itself anew: longer than an election takes.
const ALONE: Duration = Duration::from_millis(1_500);
/// Most addresses that are told or kept: more than the largest deployment has state nodes, old addresses included.
const MAX_TOLD: usize = 64;

/// Who this node is, from its settings.
#[derive(Clone, Debug)]
pub struct NodeConfig {
    /// Its name.
    pub node: NodeId,
    /// Its address.
    pub address: SocketAddr,
    /// All nodes that the group starts with, this one among them; with automatic membership the seeds.
    pub peers: Vec<SocketAddr>,
    /// Who decides on the members.
    pub membership: MembershipMode,
}

/// Who decides on the members of the group.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MembershipMode {
    /// Operators: the group starts with the peers, and disks are replaced on request.
    Manual,
    /// The leader: whoever announces itself joins, and who is lost makes room.
    Automatic {
        /// Whether the whole system starts for the first time, so that blank seeds may form the group.
        bootstrap: bool,
    },
}

impl MembershipMode {
    const fn is_automatic(self) -> bool {
        matches!(self, Self::Automatic { .. })
    }
}

/// What a node says of itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Hello {
    /// Its name.
    pub node: NodeId,
    /// Whether its disk belongs to a group.
    pub member: bool,
    /// Other nodes that it knows; a newcomer may have been told only of nodes that don't lead.
    pub known: Vec<SocketAddr>,
}

/// Another node as last heard of.
#[derive(Clone, Debug)]
struct Heard {
    id: MemberId,
    hello: Hello,
    at: Tick,
    /// Whether it said so itself; else it is only known as the sender of other messages.
    announced: bool,
}

/// What is known of nodes outside the members.
#[derive(Debug)]
pub(super) struct Forming {
    me: MemberId,
    heard: BTreeMap<SocketAddr, Heard>,
    /// Nodes that others have told of.
    told: BTreeSet<SocketAddr>,
    next: Tick,
}

impl Forming {
    pub(super) const fn new(me: MemberId) -> Self {
        Self {
            me,
            heard: BTreeMap::new(),
            told: BTreeSet::new(),
            next: Tick(Duration::ZERO),
        }
    }

    /// Gives where an incarnation answered from.
    pub(super) fn address(&self, id: MemberId) -> Option<SocketAddr> {
        self.heard
            .iter()
            .find(|(_, heard)| heard.id == id)
            .map(|(address, _)| *address)
    }

    /// Gives the blank disks that announce themselves.
    pub(super) fn blank(&self, now: Tick) -> impl Iterator<Item = (MemberId, &NodeId, SocketAddr)> {
        self.heard
            .iter()
            .filter(move |(_, heard)| !heard.hello.member && now.since(heard.at) < FRESH)
            .map(|(address, heard)| (heard.id, &heard.hello.node, *address))
    }

    /// Gives the nodes that announce themselves as newcomers or because nobody leads them.
    pub(super) fn announced(&self, now: Tick) -> impl Iterator<Item = (MemberId, &NodeId, SocketAddr)> {
        self.heard
            .iter()
            .filter(move |(_, heard)| heard.announced && now.since(heard.at) < FRESH)
            .map(|(address, heard)| (heard.id, &heard.hello.node, *address))
    }

    fn tell(&mut self, known: &[SocketAddr]) {
        let room = MAX_TOLD.saturating_sub(self.told.len());
        self.told.extend(known.iter().copied().take(room));
    }

    fn note(&mut self, address: SocketAddr, id: MemberId, hello: Hello, at: Tick) {
        let announced = !hello.node.as_str().is_empty();
        self.heard.insert(
            address,
            Heard {
                id,
                hello,
                at,
                announced,
            },
        );
    }

    /// Gives the first members once every other node has said that it is blank.
    ///
    /// All must answer: a node that is silent might be what is left of a group whose other disks were lost.
    fn first_members(&self, me: &NodeConfig, now: Tick) -> Option<Members> {
        let blank: BTreeMap<SocketAddr, (MemberId, &NodeId)> = self
            .blank(now)
            .map(|(id, node, address)| (address, (id, node)))
            .collect();
        let member = |address: &SocketAddr| {
            let (id, node) = if *address == me.address {
                (self.me, &me.node)
            } else {
                blank.get(address).copied()?
            };
            Some((
                id,
                Member {
                    node: node.clone(),
                    address: *address,
                    votes: true,
                    replaces: None,
                },
            ))
        };
        me.peers.iter().map(member).collect::<Option<_>>().map(Members)
    }
}

impl Core {
    /// Announces a blank disk, and forms the group when it is this node's turn.
    pub(super) fn form(&mut self, now: Tick) {
        if now < self.forming.next || !self.is_outside(now) {
            return;
        }
        self.forming.next = now + PAUSE;
        let hello = self.hello();
        for peer in self.known() {
            self.peers.send(peer, Parcel::Hello(hello.clone()));
        }
        if !self.node.members().is_empty()
            || matches!(self.me.membership, MembershipMode::Automatic { bootstrap: false })
        {
            return;
        }
        // Only one node may decide on the first members: two that decide differently would be two groups.
        if self.me.peers.iter().min() == Some(&self.me.address)
            && let Some(members) = self.forming.first_members(&self.me, now)
        {
            let at = Position {
                term: Term(1),
                index: Index(1),
            };
            let mut applied = AppliedState::default();
            applied.index = 1;
            self.node.form(&Snapshot {
                at,
                members,
                data: encode(&applied).into(),
            });
        }
    }

    /// Takes what another node sent.
    pub(super) fn deliver(&mut self, delivery: Delivery, now: Tick) {
        let Delivery { from, address, parcels } = delivery;
        for parcel in parcels {
            match parcel {
                Parcel::Agree(message) => {
                    if self.forming.address(from) != Some(address) {
                        let hello = Hello {
                            node: NodeId::default(),
                            member: true,
                            known: Vec::new(),
                        };
                        self.forming.note(address, from, hello, now);
                    }
                    let told = match (&message.body, message.term >= self.node.term()) {
                        (Body::Append { commit, .. }, true) => Some(*commit),
                        _ => None,
                    };
                    self.node.receive(message, now);
                    if told.is_some_and(|commit| commit <= self.node.committed()) {
                        self.heard = Some(now);
                    }
                }
                Parcel::Hello(hello) => self.on_hello(from, address, hello, now),
                Parcel::Form(snapshot) => self.node.form(&snapshot),
            }
        }
    }

    fn on_hello(&mut self, from: MemberId, address: SocketAddr, hello: Hello, now: Tick) {
        let blank = !hello.member;
        self.forming.tell(&hello.known);
        self.forming.note(address, from, hello, now);
        let answers = blank || self.me.membership.is_automatic();
        if self.node.members().is_empty() || !answers {
            return;
        }
        let first = self.node.snapshot();
        if first.members.votes(from) && first.at.index == Index(1) {
            self.peers.send(address, Parcel::Form(first.clone()));
        } else if blank || !self.is_outside(now) {
            // Two members that both look for a leader would else answer each other for ever.
            self.peers.send(address, Parcel::Hello(self.hello()));
        }
    }

    /// Tells whether this node has to announce itself: its disk is blank, or it is a member whom no leader speaks to,
    /// perhaps because it was taken for lost and removed.
    fn is_outside(&self, now: Tick) -> bool {
        let blank = self.node.members().is_empty();
        let forgotten = || {
            let silence = self.heard.map_or(ALONE, |heard| now.since(heard));
            self.me.membership.is_automatic() && !self.node.leads(now) && silence >= ALONE
        };
        blank || forgotten()
    }

    /// Gives every other node that this one has been told of or has heard.
    fn known(&self) -> BTreeSet<SocketAddr> {
        let mut known: BTreeSet<SocketAddr> = self.me.peers.iter().copied().collect();
        if self.me.membership.is_automatic() {
            known.extend(self.node.members().0.values().map(|member| member.address));
            known.extend(self.forming.told.iter().copied());
        }
        known.remove(&self.me.address);
        known
    }

    fn hello(&self) -> Hello {
        Hello {
            node: self.me.node.clone(),
            member: !self.node.members().is_empty(),
            known: self.known().into_iter().take(MAX_TOLD).collect(),
        }
    }
}
