//! Discovery: how blank nodes form a group, and how a node announces itself to an existing one.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use contract::NodeId;
use policy::Tick;
use serde::{Deserialize, Serialize};
use slog::info;

use super::{Core, encode_snapshot};
use crate::applied::AppliedState;
use crate::membership::Announced;
use crate::peers::{PeerBatch, PeerMessage};
use crate::raft::{Body, Index, Member, MemberId, Members, Node, Position, Snapshot, Term};

/// Interval between two announcements.
const ANNOUNCE_INTERVAL: Duration = Duration::from_millis(100);
/// Age up to which an announcement is valid.
const ANNOUNCEMENT_TTL: Duration = Duration::from_secs(2);
/// Time without a leader after which a member announces itself again; longer than an election takes.
const LEADER_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Time after its start from which a seed founds the group without seeds that it has not heard from; the one with the
/// next address waits as long again.
const SEED_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Time for which a founder waits for all seeds once a majority lets it found the group.
const FOUNDING_WAIT: Duration = Duration::from_millis(300);
/// Interval between two tries to found the group.
const FOUNDING_INTERVAL: Duration = Duration::from_secs(1);
/// Most addresses that are sent or kept; more than the largest deployment has state nodes, old addresses included.
const MAX_KNOWN_NODES: usize = 64;

/// Identity and membership settings of this node.
#[derive(Clone, Debug)]
pub struct NodeConfig {
    /// Name of the node.
    pub node: NodeId,
    /// Inner address of the node.
    pub address: SocketAddr,
    /// Inner addresses of all nodes that the group starts with, this one included; with automatic membership the seeds.
    pub peers: Vec<SocketAddr>,
    /// Who decides about the members.
    pub membership: MembershipMode,
}

/// Who decides about the members of the group.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MembershipMode {
    /// Operators: the group starts with the configured peers, and members are replaced on request.
    Manual,
    /// The leader: it adds nodes that announce themselves, and replaces or removes members that do not answer.
    Automatic {
        /// Whether the whole system starts for the first time, so that blank seeds may form a group.
        bootstrap: bool,
        /// Disks whose loss at once the group is to bear; `None` for as many as its number of voters allows.
        lost_disks: Option<usize>,
    },
}

impl MembershipMode {
    const fn is_automatic(self) -> bool {
        matches!(self, Self::Automatic { .. })
    }
}

/// Announcement of a node.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Hello {
    /// Name of the node.
    pub node: NodeId,
    /// Whether its disk belongs to a group; a blank disk does not.
    pub member: bool,
    /// Addresses of other nodes that it knows; the seeds of a new node may not include the leader.
    pub known: Vec<SocketAddr>,
}

/// Last message from another node.
#[derive(Clone, Debug)]
struct HeardNode {
    id: MemberId,
    hello: Hello,
    at: Tick,
    /// Whether it has announced itself; otherwise it is known only as the sender of Raft messages.
    announced: bool,
}

/// Nodes that this one has heard from or heard of, members or not.
#[derive(Debug)]
pub(super) struct Discovery {
    own_id: MemberId,
    heard: BTreeMap<SocketAddr, HeardNode>,
    /// Addresses that other nodes have announced.
    reported: BTreeSet<SocketAddr>,
    next_announcement: Tick,
    started: Tick,
    /// When this node last asked to found the group.
    asked_founding: Option<Tick>,
}

impl Discovery {
    pub(super) const fn new(own_id: MemberId, started: Tick) -> Self {
        Self {
            own_id,
            started,
            asked_founding: None,
            heard: BTreeMap::new(),
            reported: BTreeSet::new(),
            next_announcement: Tick(Duration::ZERO),
        }
    }

    /// Returns the address from which an incarnation was heard last.
    pub(super) fn address(&self, id: MemberId) -> Option<SocketAddr> {
        self.heard
            .iter()
            .find(|(_, heard)| heard.id == id)
            .map(|(address, _)| *address)
    }

    /// Iterates over the nodes that announce a blank disk.
    pub(super) fn blank(&self, now: Tick) -> impl Iterator<Item = (MemberId, &NodeId, SocketAddr)> {
        self.heard
            .iter()
            .filter(move |(_, heard)| !heard.hello.member && now.since(heard.at) < ANNOUNCEMENT_TTL)
            .map(|(address, heard)| (heard.id, &heard.hello.node, *address))
    }

    /// Iterates over the nodes that announce themselves, because their disk is blank or no leader contacts them.
    pub(super) fn announced(&self, now: Tick) -> impl Iterator<Item = Announced> {
        let heard = self.heard.iter();
        heard
            .filter(move |(_, heard)| heard.announced && now.since(heard.at) < ANNOUNCEMENT_TTL)
            .map(|(address, heard)| Announced {
                id: heard.id,
                node: heard.hello.node.clone(),
                address: *address,
            })
    }

    fn add_reported(&mut self, known: &[SocketAddr]) {
        let room = MAX_KNOWN_NODES.saturating_sub(self.reported.len());
        self.reported.extend(known.iter().copied().take(room));
    }

    /// Records a message from a node; a hello without a name stands for a Raft message.
    fn record(&mut self, address: SocketAddr, id: MemberId, hello: Hello, at: Tick) {
        let announced = !hello.node.as_str().is_empty();
        self.heard.insert(
            address,
            HeardNode {
                id,
                hello,
                at,
                announced,
            },
        );
    }

    /// Returns the first members once every other configured node has announced a blank disk.
    ///
    /// All of them must: a node that does not answer could be the rest of a group whose other disks were lost.
    fn first_members(&self, config: &NodeConfig, now: Tick) -> Option<Members> {
        let blank: BTreeMap<SocketAddr, (MemberId, &NodeId)> = self
            .blank(now)
            .map(|(id, node, address)| (address, (id, node)))
            .collect();
        let member = |address: &SocketAddr| {
            let (id, node) = if *address == config.address {
                (self.own_id, &config.node)
            } else {
                blank.get(address).copied()?
            };
            Some((id, first_voter(node, *address)))
        };
        config.peers.iter().map(member).collect::<Option<_>>().map(Members)
    }
}

fn first_voter(node: &NodeId, address: SocketAddr) -> Member {
    Member {
        node: node.clone(),
        address,
        votes: true,
        replaces: None,
    }
}

impl Core {
    /// Announces the node if necessary, and forms the group if this node is the one to do so.
    pub(super) fn announce_and_bootstrap(&mut self, now: Tick) {
        if now < self.discovery.next_announcement || !self.must_announce(now) {
            return;
        }
        self.discovery.next_announcement = now + ANNOUNCE_INTERVAL;
        let hello = self.hello();
        for peer in self.known_nodes() {
            self.peers.send(peer, PeerMessage::Hello(hello.clone()));
        }
        if !self.node.members().is_empty() {
            return;
        }
        match self.config.membership {
            MembershipMode::Manual => self.form_group(now),
            MembershipMode::Automatic { bootstrap: true, .. } => self.found_group(now),
            MembershipMode::Automatic { bootstrap: false, .. } => {}
        }
    }

    /// Forms the group of all configured nodes if this node is the one to do so.
    fn form_group(&mut self, now: Tick) {
        // Only one node, the one with the lowest address, may decide on the first members: two nodes that decide
        // differently would form two groups.
        if self.config.peers.iter().min() == Some(&self.config.address)
            && let Some(members) = self.discovery.first_members(&self.config, now)
        {
            let first = Position {
                term: Term(1),
                index: Index(1),
            };
            self.bootstrap(first, members);
        }
    }

    /// Founds the group with the seeds that let this node do so, if a majority of all seeds does.
    ///
    /// The seed with the lowest address founds it as soon as all have announced themselves. Without some of them it waits
    /// for a while, and the others longer, one after the other.
    fn found_group(&mut self, now: Tick) {
        let blank = self.blank_seeds(now);
        if let Some(members) = self.granted_members(&blank, now) {
            self.bootstrap(self.node.first_position(), members);
            return;
        }
        let Some(rank) = blank.keys().position(|address| *address == self.config.address) else {
            return;
        };
        let (heard, seeds) = (blank.len(), self.config.peers.len());
        let patience = if heard == seeds { Duration::ZERO } else { SEED_TIMEOUT };
        let begin = self.discovery.started + patience + SEED_TIMEOUT * rank as u32;
        let again = self.discovery.asked_founding.map_or(begin, |at| at + FOUNDING_INTERVAL);
        if heard <= seeds / 2 || now < begin.max(again) {
            return;
        }
        self.discovery.asked_founding = Some(now);
        let ids = blank.values().map(|(id, _)| *id);
        let others: Vec<MemberId> = ids.filter(|id| *id != self.node.id()).collect();
        info!(self.logger, "asks to found the group"; "seeds" => seeds, "heard" => heard);
        self.node.ask_founding(&others, now);
    }

    /// Returns the seeds whose disks are blank, this node included if it is a seed.
    fn blank_seeds(&self, now: Tick) -> BTreeMap<SocketAddr, (MemberId, NodeId)> {
        let own = (self.discovery.own_id, self.config.node.clone());
        let mut seeds = BTreeMap::from([(self.config.address, own)]);
        let announced = self.discovery.blank(now);
        seeds.extend(announced.map(|(id, node, address)| (address, (id, node.clone()))));
        seeds.retain(|address, _| self.config.peers.contains(address));
        seeds
    }

    /// Returns the first members once all seeds, or after a while a majority, let this node found the group.
    fn granted_members(&self, blank: &BTreeMap<SocketAddr, (MemberId, NodeId)>, now: Tick) -> Option<Members> {
        let (asked_at, granted) = self.node.founding()?;
        let members = blank.iter().filter(|(_, (id, _))| granted.contains(id));
        let members = members.map(|(address, (id, node))| (*id, first_voter(node, *address)));
        let members = Members(members.collect());
        let (count, seeds) = (members.len(), self.config.peers.len());
        let waited = now.since(asked_at) >= FOUNDING_WAIT;
        (count == seeds || (waited && count > seeds / 2)).then_some(members)
    }

    /// Makes this node the first member of a group that others join.
    fn bootstrap(&mut self, at: Position, members: Members) {
        let mut applied = AppliedState::default();
        applied.index = at.index.0;
        self.node.bootstrap(&Snapshot {
            at,
            members,
            data: encode_snapshot(&applied).into(),
        });
    }

    /// Handles a batch of messages from another node.
    pub(super) fn receive(&mut self, batch: PeerBatch, now: Tick) {
        let PeerBatch { from, address, parcels } = batch;
        for message in parcels {
            match message {
                PeerMessage::Agree(message) => {
                    if self.discovery.address(from) != Some(address) {
                        let hello = Hello {
                            node: NodeId::default(),
                            member: true,
                            known: Vec::new(),
                        };
                        self.discovery.record(address, from, hello, now);
                    }
                    let leader_commit = match (&message.body, message.term >= self.node.term()) {
                        (Body::Append { commit, .. }, true) => Some(*commit),
                        _ => None,
                    };
                    self.node.receive(message, now);
                    if leader_commit.is_some_and(|commit| commit <= self.node.committed()) {
                        self.current_at = Some(now);
                    }
                }
                PeerMessage::Hello(hello) => self.on_hello(from, address, hello, now),
                PeerMessage::Form(snapshot) => self.node.bootstrap(&snapshot),
            }
        }
    }

    /// Answers an announcement: with the first snapshot to a first member of the group, else with this node's own
    /// hello.
    fn on_hello(&mut self, from: MemberId, address: SocketAddr, hello: Hello, now: Tick) {
        let blank = !hello.member;
        self.discovery.add_reported(&hello.known);
        self.discovery.record(address, from, hello, now);
        let answers = blank || self.config.membership.is_automatic();
        if self.node.members().is_empty() || !answers {
            return;
        }
        let first = self.node.snapshot();
        if first.members.votes(from) && Node::is_first(first) {
            self.peers.send(address, PeerMessage::Form(first.clone()));
        } else if blank || !self.must_announce(now) {
            // Two members that both look for a leader would otherwise answer each other forever.
            self.peers.send(address, PeerMessage::Hello(self.hello()));
        }
    }

    /// Returns whether this node has to announce itself: its disk is blank, or it is a member that no leader contacts,
    /// perhaps because it was considered lost and removed.
    fn must_announce(&self, now: Tick) -> bool {
        let blank = self.node.members().is_empty();
        let forgotten = || {
            let silence = self.current_at.map_or(LEADER_TIMEOUT, |heard| now.since(heard));
            self.config.membership.is_automatic() && !self.node.leads(now) && silence >= LEADER_TIMEOUT
        };
        blank || forgotten()
    }

    /// Returns the addresses of all other nodes that this one knows.
    fn known_nodes(&self) -> BTreeSet<SocketAddr> {
        let mut known: BTreeSet<SocketAddr> = self.config.peers.iter().copied().collect();
        if self.config.membership.is_automatic() {
            known.extend(self.node.members().0.values().map(|member| member.address));
            known.extend(self.discovery.reported.iter().copied());
        }
        known.remove(&self.config.address);
        known
    }

    fn hello(&self) -> Hello {
        Hello {
            node: self.config.node.clone(),
            member: !self.node.members().is_empty(),
            known: self.known_nodes().into_iter().take(MAX_KNOWN_NODES).collect(),
        }
    }
}
