//! How blank disks become a group, and how a blank disk announces itself to one that is there.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use contract::NodeId;
use policy::Tick;
use serde::{Deserialize, Serialize};

use super::{Core, encode};
use crate::applied::Applied;
use crate::peers::{Delivery, Parcel};
use crate::raft::{Body, Index, Member, MemberId, Members, Position, Snapshot, Term};

/// Pause between two announcements.
const PAUSE: Duration = Duration::from_millis(100);
/// How long an announcement counts.
const FRESH: Duration = Duration::from_secs(2);

/// Who this node is, from its settings.
#[derive(Clone, Debug)]
pub struct Me {
    /// Its name.
    pub node: NodeId,
    /// Its address.
    pub address: SocketAddr,
    /// All nodes that the group starts with, this one among them.
    pub peers: Vec<SocketAddr>,
}

/// What a node says of itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Hello {
    /// Its name.
    pub node: NodeId,
    /// Whether its disk belongs to a group.
    pub member: bool,
}

/// Another node as last heard of.
#[derive(Clone, Debug)]
struct Heard {
    id: MemberId,
    hello: Hello,
    at: Tick,
}

/// What is known of nodes outside the members.
#[derive(Debug)]
pub(super) struct Forming {
    me: MemberId,
    heard: BTreeMap<SocketAddr, Heard>,
    next: Tick,
}

impl Forming {
    pub(super) const fn new(me: MemberId) -> Self {
        Self {
            me,
            heard: BTreeMap::new(),
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

    fn note(&mut self, address: SocketAddr, id: MemberId, hello: Hello, at: Tick) {
        self.heard.insert(address, Heard { id, hello, at });
    }

    /// Gives the first members once every other node has said that it is blank.
    ///
    /// All must answer: a node that is silent might be what is left of a group whose other disks were lost.
    fn first_members(&self, me: &Me, now: Tick) -> Option<Members> {
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
        if !self.node.members().is_empty() || now < self.forming.next {
            return;
        }
        self.forming.next = now + PAUSE;
        let hello = self.hello();
        for peer in self.me.peers.iter().filter(|peer| **peer != self.me.address) {
            self.peers.send(*peer, Parcel::Hello(hello.clone()));
        }
        // Only one node may decide on the first members: two that decide differently would be two groups.
        if self.me.peers.iter().min() == Some(&self.me.address)
            && let Some(members) = self.forming.first_members(&self.me, now)
        {
            let at = Position {
                term: Term(1),
                index: Index(1),
            };
            let mut applied = Applied::default();
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
        self.forming.note(address, from, hello, now);
        if self.node.members().is_empty() || !blank {
            return;
        }
        let first = self.node.snapshot();
        if first.members.votes(from) && first.at.index == Index(1) {
            self.peers.send(address, Parcel::Form(first.clone()));
        } else {
            self.peers.send(address, Parcel::Hello(self.hello()));
        }
    }

    fn hello(&self) -> Hello {
        Hello {
            node: self.me.node.clone(),
            member: !self.node.members().is_empty(),
        }
    }
}
