//! What is known of each peer, and whose turn it is to be told.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::Duration;

use contract::{DataCenter, NodeId};
use policy::Tick;
use policy::limits::Bucket;
use wire::digest::{DigestAck, GossipDigest};

use super::Live;

/// Bytes a second that are sent at most, headers of IP and UDP counted; about as many are received.
pub(super) const BYTES: f64 = 2_200.0;
/// Size of a digest before one was sent.
const GUESS: f64 = 200.0;
/// Own digests whose time of sending is remembered.
const REMEMBERED: usize = 128;
/// Shortest and longest time after which a peer that is not heard counts as dead.
const SILENCE: (Duration, Duration) = (Duration::from_secs(3), Duration::from_secs(20));
/// Peers of other data centres are told once for so many of the own.
const NEAR_TURNS: usize = 3;

/// All peers of the settings.
#[derive(Debug)]
pub(super) struct Peers {
    all: Vec<Peer>,
    rank: u32,
    sequence: u64,
    times: VecDeque<(u64, Tick)>,
    budget: Bucket,
    turns: usize,
    cycle: Duration,
}

#[derive(Debug)]
struct Peer {
    address: SocketAddr,
    node: Option<(NodeId, DataCenter)>,
    heard: Option<DigestAck>,
    heard_at: Option<Tick>,
    hosts: u32,
    leaving: bool,
    /// It asks for a loan that this host could give.
    owed: bool,
    sent_at: Option<Tick>,
    size: f64,
}

/// Why a digest is dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Stale {
    /// It comes from an address that is not in the settings.
    Stranger,
    /// A newer one of the sender was heard, or one of a later process.
    Old,
}

impl Peers {
    /// Makes the peers of the settings, in which the own address may stand too.
    pub(super) fn new(addresses: &[SocketAddr], own: SocketAddr, now: Tick) -> Self {
        let mut others: Vec<SocketAddr> = addresses.iter().copied().filter(|address| *address != own).collect();
        others.sort_unstable();
        others.dedup();
        let rank = others.iter().filter(|address| **address < own).count() as u32;
        Self {
            all: others.into_iter().map(Peer::new).collect(),
            rank,
            sequence: 0,
            times: VecDeque::new(),
            budget: Bucket::new(BYTES, now),
            turns: 0,
            cycle: Duration::ZERO,
        }
    }

    /// Gives the number of entry hosts in the own settings.
    pub(super) fn configured(&self) -> u32 {
        self.all.len() as u32 + 1
    }

    /// Gives the number of entry hosts by which limits are divided.
    ///
    /// While settings are rolled out, hosts know different numbers; the largest that is heard counts, so that the parts
    /// of those that know it don't add up to more than the limit with the larger parts of those that don't.
    pub(super) fn hosts(&self, now: Tick) -> u32 {
        let heard = self
            .all
            .iter()
            .filter(|peer| self.is_live(peer, now))
            .map(|peer| peer.hosts);
        heard.chain([self.configured()]).max().unwrap_or(1)
    }

    /// Gives the rank of this host among all by address.
    pub(super) const fn rank(&self) -> u32 {
        self.rank
    }

    /// Begins a round.
    pub(super) fn begin(&mut self, now: Tick) {
        self.sequence += 1;
        self.turns = 0;
        if self.times.len() >= REMEMBERED {
            self.times.pop_front();
        }
        self.times.push_back((self.sequence, now));
    }

    /// Notes that a peer asks for a loan that this host could give.
    pub(super) fn owe(&mut self, peer: u32) {
        self.all[peer as usize].owed = true;
    }

    /// Gives the next peer that is to be told in this round, if the budget allows one.
    ///
    /// Every second turn goes to a peer that waits for a loan. With hundreds of hosts a digest comes to each of them too
    /// seldom for a lease; a borrower asks some of them, and those answer at once.
    pub(super) fn next_due(&mut self, place: &DataCenter, now: Tick) -> Option<usize> {
        self.turns += 1;
        let near = !(self.turns / 2).is_multiple_of(NEAR_TURNS + 1);
        let longest = |near: bool| {
            let waiting = (0..self.all.len()).filter(|at| self.all[*at].sent_at != Some(now));
            let side = waiting.filter(|at| self.is_near(*at, place) == near);
            side.min_by_key(|at| self.all[*at].sent_at)
        };
        let owed = || {
            let waiting = (0..self.all.len()).filter(|at| self.all[*at].sent_at != Some(now) && self.all[*at].owed);
            waiting.min_by_key(|at| self.all[*at].sent_at)
        };
        let first = if self.turns.is_multiple_of(2) { owed() } else { None };
        let peer = first.or_else(|| longest(near)).or_else(|| longest(!near))?;
        self.budget.take(self.all[peer].size, now).ok().map(|()| peer)
    }

    /// Notes what was sent to a peer.
    pub(super) fn sent(&mut self, peer: usize, bytes: usize, now: Tick) {
        let peer = &mut self.all[peer];
        self.budget.correct(peer.size - bytes as f64);
        peer.size = bytes as f64;
        peer.owed = false;
        if let Some(before) = peer.sent_at.replace(now) {
            self.cycle = now.since(before);
        }
    }

    /// Takes in a digest and gives the number of the peer.
    pub(super) fn hear(&mut self, from: SocketAddr, digest: &GossipDigest, now: Tick) -> Result<u32, Stale> {
        let at = self.all.binary_search_by_key(&from, |peer| peer.address);
        let at = at.map_err(|_missing| Stale::Stranger)?;
        let peer = &mut self.all[at];
        let heard = DigestAck {
            incarnation: digest.incarnation,
            sequence: digest.sequence,
        };
        let newest = |heard: DigestAck| (heard.incarnation, heard.sequence);
        // The parts of one digest have the same number.
        if peer.heard.is_some_and(|before| newest(before) > newest(heard)) {
            return Err(Stale::Old);
        }
        peer.heard = Some(heard);
        peer.heard_at = Some(now);
        peer.hosts = digest.hosts;
        peer.leaving = digest.leaving;
        peer.node = Some((digest.from.clone(), digest.place.clone()));
        Ok(at as u32)
    }

    /// Gives the hosts that are live.
    pub(super) fn live(&self, node: &NodeId, place: &DataCenter, now: Tick) -> Live {
        let mut live = Live::new(place, node);
        for peer in self.all.iter().filter(|peer| self.is_live(peer, now) && !peer.leaving) {
            if let Some((node, place)) = &peer.node {
                live.add(place, node);
            }
        }
        live.cycle = self.cycle.max(Duration::from_millis(100));
        // Whole steps, so that it doesn't count as a change in every round.
        live.cycle = Duration::from_secs(live.cycle.as_secs() + 1);
        live
    }

    pub(super) fn sent_at(&self, sequence: u64) -> Option<Tick> {
        let found = self.times.iter().find(|(number, _)| *number == sequence);
        found.map(|(_, at)| *at)
    }

    pub(super) const fn sequence(&self) -> u64 {
        self.sequence
    }

    pub(super) const fn count(&self) -> usize {
        self.all.len()
    }

    pub(super) fn address(&self, peer: usize) -> SocketAddr {
        self.all[peer].address
    }

    pub(super) fn heard(&self, peer: usize) -> Option<DigestAck> {
        self.all[peer].heard
    }

    pub(super) fn last_sent(&self, peer: usize) -> Option<Tick> {
        self.all[peer].sent_at
    }

    pub(super) fn is_near(&self, peer: usize, place: &DataCenter) -> bool {
        let node = self.all[peer].node.as_ref();
        node.is_some_and(|(_, its)| its == place)
    }

    fn is_live(&self, peer: &Peer, now: Tick) -> bool {
        let silence = (3 * self.cycle).clamp(SILENCE.0, SILENCE.1);
        peer.heard_at.is_some_and(|at| now.since(at) < silence)
    }
}

impl Peer {
    const fn new(address: SocketAddr) -> Self {
        Self {
            address,
            node: None,
            heard: None,
            heard_at: None,
            hosts: 0,
            leaving: false,
            owed: false,
            sent_at: None,
            size: GUESS,
        }
    }
}
