//! Messages to the other nodes: a sender thread and a bounded queue for each.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use contract::{NodeId, Revision};
use crossbeam_channel::{Receiver, Sender, bounded};
use jsonrpsee::http_client::HttpClient;
use metrics::counter;
use serde::{Deserialize, Serialize};
use slog::Logger;
use telemetry::panics;
use wire::Envelope;
use wire::client::RpcRuntime;
use wire::raft::{Packet, RaftRpcClient};

use crate::core::Hello;
use crate::raft::{Body, MemberId, Message, Snapshot};

/// Most messages that may wait for a peer; more are dropped and counted, and Raft sends again what is needed.
const MAX_QUEUED: usize = 256;
/// Most payload bytes that may wait for a peer, unless a single message is larger. A peer that does not answer would
/// otherwise keep records in memory that the log has dropped.
const MAX_QUEUED_BYTES: usize = 4 * 1024 * 1024;
/// Most payload bytes of one call, unless a single message is larger.
const MAX_BATCH_BYTES: usize = 1024 * 1024;
/// Pause after a call that failed.
const RETRY_PAUSE: Duration = Duration::from_millis(20);

/// A message from one node to another.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PeerMessage {
    /// A Raft message.
    Agree(Message),
    /// The announcement of a node.
    Hello(Hello),
    /// The first snapshot of a new group, sent to its blank members.
    Form(Snapshot),
}

/// Messages of one call with their sender.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerBatch {
    /// Incarnation of the sender.
    pub from: MemberId,
    /// Inner address of the sender.
    pub address: SocketAddr,
    /// The messages in the order in which they were sent.
    pub parcels: Vec<PeerMessage>,
}

/// Queues and sender threads of all peers.
#[derive(Debug)]
pub struct PeerSenders {
    calls: RpcRuntime,
    node: NodeId,
    id: MemberId,
    address: SocketAddr,
    queues: BTreeMap<SocketAddr, PeerQueue>,
    logger: Logger,
}

/// Messages that wait for a peer.
#[derive(Debug)]
struct PeerQueue {
    messages: Sender<PeerMessage>,
    /// Payload bytes of the messages.
    bytes: Arc<AtomicUsize>,
}

impl PeerQueue {
    /// Adds a message unless too many wait; returns whether it was added.
    fn add(&self, message: PeerMessage) -> bool {
        let size = payload_size(&message);
        let before = self.bytes.fetch_add(size, Ordering::Relaxed);
        let fits = before == 0 || before + size <= MAX_QUEUED_BYTES;
        let added = fits && self.messages.try_send(message).is_ok();
        if !added {
            self.bytes.fetch_sub(size, Ordering::Relaxed);
        }
        added
    }
}

impl PeerSenders {
    /// Creates the sending side of a node; a sender thread is started with the first message to its peer.
    #[must_use]
    pub const fn new(calls: RpcRuntime, node: NodeId, id: MemberId, address: SocketAddr, logger: Logger) -> Self {
        Self {
            calls,
            node,
            id,
            address,
            queues: BTreeMap::new(),
            logger,
        }
    }

    /// Queues a message, or drops it when too many wait.
    pub fn send(&mut self, to: SocketAddr, message: PeerMessage) {
        if !self.queues.contains_key(&to)
            && let Some(queue) = self.start_sender(to)
        {
            self.queues.insert(to, queue);
        }
        let sent = self.queues.get(&to).is_some_and(|queue| queue.add(message));
        if !sent {
            counter!("gentian_state_messages_dropped_total").increment(1);
        }
    }

    fn start_sender(&self, to: SocketAddr) -> Option<PeerQueue> {
        let client = self.calls.client(to, Duration::ZERO).ok()?;
        let (queue, messages) = bounded(MAX_QUEUED);
        let (calls, node, id, address) = (self.calls.clone(), self.node.clone(), self.id, self.address);
        let bytes = Arc::new(AtomicUsize::new(0));
        let waiting = Arc::clone(&bytes);
        let work = move || {
            while let Some(batch) = next_batch(&messages) {
                waiting.fetch_sub(batch.iter().map(payload_size).sum(), Ordering::Relaxed);
                let delivery = PeerBatch {
                    from: id,
                    address,
                    parcels: batch,
                };
                if deliver(&calls, &client, &node, &delivery).is_none() {
                    counter!("gentian_state_messages_failed_total").increment(1);
                    std::thread::sleep(RETRY_PAUSE);
                }
            }
        };
        panics::spawn_restarting(&format!("to {to}"), &self.logger, work).ok()?;
        Some(PeerQueue { messages: queue, bytes })
    }
}

/// Waits for a message and takes those that are queued after it; `None` once the queue is closed.
fn next_batch(messages: &Receiver<PeerMessage>) -> Option<Vec<PeerMessage>> {
    let first = messages.recv().ok()?;
    let mut bytes = payload_size(&first);
    let mut batch = vec![first];
    while bytes < MAX_BATCH_BYTES
        && let Ok(next) = messages.try_recv()
    {
        bytes += payload_size(&next);
        batch.push(next);
    }
    Some(batch)
}

fn payload_size(message: &PeerMessage) -> usize {
    match message {
        PeerMessage::Agree(message) => match &message.body {
            Body::Append { records, .. } => records.iter().map(|record| record.payload.size()).sum(),
            Body::Part { bytes, .. } => bytes.len(),
            _ => 0,
        },
        PeerMessage::Form(snapshot) => snapshot.data.len(),
        PeerMessage::Hello(_) => 0,
    }
}

fn deliver(calls: &RpcRuntime, client: &HttpClient, node: &NodeId, delivery: &PeerBatch) -> Option<()> {
    let messages = postcard::to_stdvec(delivery).ok()?;
    counter!("gentian_state_sent_bytes_total").increment(messages.len() as u64);
    let packet = Envelope::new(node, Revision::default(), Packet { messages });
    calls.wait(client.deliver(packet)).ok()
}
