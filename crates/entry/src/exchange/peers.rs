//! The state of each peer, and the order in which they get digests.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::Duration;

use contract::{DataCenter, NodeId};
use policy::Tick;
use policy::limits::Bucket;
use wire::digest::{DigestAck, GossipDigest};

use super::LiveHosts;

/// Budget for sending in bytes a second, with the headers of IP and UDP; about as many are received.
pub(super) const BYTES_PER_S: f64 = 2_200.0;
/// Assumed size of a digest in bytes until one was sent.
const INITIAL_DIGEST_BYTES: f64 = 200.0;
/// Number of own digests whose send time is remembered.
const MAX_SEND_TIMES: usize = 128;
/// Lower and upper bound of the silence after which a peer counts as dead.
const SILENCE_BOUNDS: (Duration, Duration) = (Duration::from_secs(3), Duration::from_secs(20));
/// Digests to peers of the own data centre for each one to a peer of another.
const NEAR_PER_FAR: usize = 3;

/// The peers from the settings.
#[derive(Debug)]
pub(super) struct PeerTable {
    peers: Vec<PeerState>,
    rank: u32,
    sequence: u64,
    send_times: VecDeque<(u64, Tick)>,
    budget: Bucket,
    picks: usize,
    full_cycle: Duration,
}

#[derive(Debug)]
struct PeerState {
    address: SocketAddr,
    node: Option<(NodeId, DataCenter)>,
    newest: Option<DigestAck>,
    received_at: Option<Tick>,
    host_count: u32,
    leaving: bool,
    /// Whether the peer needs a loan that this host could give.
    wants_loan: bool,
    sent_at: Option<Tick>,
    digest_bytes: f64,
}

/// Why a received digest is dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum DropReason {
    /// The sender's address is not in the settings.
    UnknownSender,
    /// A newer digest of the sender, or one of a later process there, was received before.
    Outdated,
}

impl PeerTable {
    /// Creates the state for the peers in the settings; `own_address` is left out if it is among them.
    pub(super) fn new(addresses: &[SocketAddr], own_address: SocketAddr, now: Tick) -> Self {
        let mut others: Vec<SocketAddr> = addresses
            .iter()
            .copied()
            .filter(|address| *address != own_address)
            .collect();
        others.sort_unstable();
        others.dedup();
        let rank = others.iter().filter(|address| **address < own_address).count() as u32;
        Self {
            peers: others.into_iter().map(PeerState::new).collect(),
            rank,
            sequence: 0,
            send_times: VecDeque::new(),
            budget: Bucket::new(BYTES_PER_S, now),
            picks: 0,
            full_cycle: Duration::ZERO,
        }
    }

    /// Returns the number of entry hosts in this host's settings, including itself.
    pub(super) fn configured_hosts(&self) -> u32 {
        self.peers.len() as u32 + 1
    }

    /// Returns the number of entry hosts among which limits are divided.
    ///
    /// While settings are rolled out, hosts have different numbers. The largest number that a live peer announces
    /// counts; otherwise the larger parts of hosts with the smaller number would make the sum exceed the limit.
    pub(super) fn limit_hosts(&self, now: Tick) -> u32 {
        let received = self
            .peers
            .iter()
            .filter(|peer| self.is_live(peer, now))
            .map(|peer| peer.host_count);
        received.chain([self.configured_hosts()]).max().unwrap_or(1)
    }

    /// Returns the rank of this host among all entry hosts, ordered by address.
    pub(super) const fn rank(&self) -> u32 {
        self.rank
    }

    /// Starts a round with a new sequence number.
    pub(super) fn start_round(&mut self, now: Tick) {
        self.sequence += 1;
        self.picks = 0;
        if self.send_times.len() >= MAX_SEND_TIMES {
            self.send_times.pop_front();
        }
        self.send_times.push_back((self.sequence, now));
    }

    /// Records that a peer needs a loan that this host could give.
    pub(super) fn mark_borrower(&mut self, peer: u32) {
        self.peers[peer as usize].wants_loan = true;
    }

    /// Returns the peer that gets the next digest of this round, or `None` when the budget is used up.
    ///
    /// Every second digest goes to a peer that waits for a loan. With hundreds of hosts, the regular digests reach a
    /// peer too seldom to renew a loan before its lease ends; a borrower asks some of its peers, and those must answer
    /// at once.
    pub(super) fn next_peer(&mut self, data_center: &DataCenter, now: Tick) -> Option<usize> {
        self.picks += 1;
        let local = !(self.picks / 2).is_multiple_of(NEAR_PER_FAR + 1);
        let longest_waiting = |local: bool| {
            let waiting = (0..self.peers.len()).filter(|index| self.peers[*index].sent_at != Some(now));
            let candidates = waiting.filter(|index| self.is_local(*index, data_center) == local);
            candidates.min_by_key(|index| self.peers[*index].sent_at)
        };
        let borrower = || {
            let waiting = (0..self.peers.len())
                .filter(|index| self.peers[*index].sent_at != Some(now) && self.peers[*index].wants_loan);
            waiting.min_by_key(|index| self.peers[*index].sent_at)
        };
        let preferred = if self.picks.is_multiple_of(2) { borrower() } else { None };
        let peer = preferred
            .or_else(|| longest_waiting(local))
            .or_else(|| longest_waiting(!local))?;
        self.budget.take(self.peers[peer].digest_bytes, now).ok().map(|()| peer)
    }

    /// Records a digest that was sent to a peer, with its size in bytes.
    pub(super) fn record_sent(&mut self, peer: usize, bytes: usize, now: Tick) {
        let peer = &mut self.peers[peer];
        self.budget.correct(peer.digest_bytes - bytes as f64);
        peer.digest_bytes = bytes as f64;
        peer.wants_loan = false;
        if let Some(before) = peer.sent_at.replace(now) {
            self.full_cycle = now.since(before);
        }
    }

    /// Records a received digest and returns the index of its sender.
    pub(super) fn record_digest(
        &mut self,
        from: SocketAddr,
        digest: &GossipDigest,
        now: Tick,
    ) -> Result<u32, DropReason> {
        let index = self.peers.binary_search_by_key(&from, |peer| peer.address);
        let index = index.map_err(|_missing| DropReason::UnknownSender)?;
        let peer = &mut self.peers[index];
        let received = DigestAck {
            incarnation: digest.incarnation,
            sequence: digest.sequence,
        };
        let newest = |received: DigestAck| (received.incarnation, received.sequence);
        // The parts of a split digest have the same sequence number, so an equal one is not old.
        if peer.newest.is_some_and(|before| newest(before) > newest(received)) {
            return Err(DropReason::Outdated);
        }
        peer.newest = Some(received);
        peer.received_at = Some(now);
        peer.host_count = digest.hosts;
        peer.leaving = digest.leaving;
        peer.node = Some((digest.from.clone(), digest.place.clone()));
        Ok(index as u32)
    }

    /// Returns the live entry hosts, without those that are leaving.
    pub(super) fn live_hosts(&self, node: &NodeId, data_center: &DataCenter, now: Tick) -> LiveHosts {
        let mut live = LiveHosts::new(data_center, node);
        for peer in self
            .peers
            .iter()
            .filter(|peer| self.is_live(peer, now) && !peer.leaving)
        {
            if let Some((node, data_center)) = &peer.node {
                live.add(data_center, node);
            }
        }
        live.cycle = self.full_cycle.max(Duration::from_millis(100));
        // Rounded to whole seconds, because any difference counts as a change of the live hosts.
        live.cycle = Duration::from_secs(live.cycle.as_secs() + 1);
        live
    }

    pub(super) fn send_time(&self, sequence: u64) -> Option<Tick> {
        let found = self.send_times.iter().find(|(number, _)| *number == sequence);
        found.map(|(_, at)| *at)
    }

    pub(super) const fn sequence(&self) -> u64 {
        self.sequence
    }

    pub(super) const fn count(&self) -> usize {
        self.peers.len()
    }

    pub(super) fn address(&self, peer: usize) -> SocketAddr {
        self.peers[peer].address
    }

    pub(super) fn newest_received(&self, peer: usize) -> Option<DigestAck> {
        self.peers[peer].newest
    }

    pub(super) fn last_sent(&self, peer: usize) -> Option<Tick> {
        self.peers[peer].sent_at
    }

    pub(super) fn is_local(&self, peer: usize, data_center: &DataCenter) -> bool {
        let node = self.peers[peer].node.as_ref();
        node.is_some_and(|(_, peer_center)| peer_center == data_center)
    }

    fn is_live(&self, peer: &PeerState, now: Tick) -> bool {
        let max_silence = (3 * self.full_cycle).clamp(SILENCE_BOUNDS.0, SILENCE_BOUNDS.1);
        peer.received_at.is_some_and(|at| now.since(at) < max_silence)
    }
}

impl PeerState {
    const fn new(address: SocketAddr) -> Self {
        Self {
            address,
            node: None,
            newest: None,
            received_at: None,
            host_count: 0,
            leaving: false,
            wants_loan: false,
            sent_at: None,
            digest_bytes: INITIAL_DIGEST_BYTES,
        }
    }
}
