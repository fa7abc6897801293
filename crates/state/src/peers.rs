//! Messages to the other nodes: a thread and a bounded ring for each.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use contract::{NodeId, Revision};
use crossbeam_channel::{Receiver, Sender, bounded};
use jsonrpsee::http_client::HttpClient;
use metrics::counter;
use serde::{Deserialize, Serialize};
use wire::Envelope;
use wire::client::RpcRuntime;
use wire::raft::{Packet, RaftRpcClient};

use crate::core::Hello;
use crate::raft::{Body, MemberId, Message, Snapshot};

/// Parcels that may wait for a peer; more are dropped and counted, and the agreement sends again what matters.
const RING: usize = 256;
/// Most bytes that travel in one call, unless a single parcel is larger.
const MAX_BYTES: usize = 1024 * 1024;
/// Pause after a call that failed.
const PAUSE: Duration = Duration::from_millis(20);

/// What one node sends to another.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Parcel {
    /// A message of the agreement.
    Agree(Message),
    /// A node tells who it is.
    Hello(Hello),
    /// The first members of a group that has just begun.
    Form(Snapshot),
}

/// Parcels with their sender.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Delivery {
    /// The sender's incarnation.
    pub from: MemberId,
    /// Where the sender answers.
    pub address: SocketAddr,
    /// The parcels in order.
    pub parcels: Vec<Parcel>,
}

/// The rings to all peers.
#[derive(Debug)]
pub struct Peers {
    calls: RpcRuntime,
    node: NodeId,
    id: MemberId,
    address: SocketAddr,
    rings: BTreeMap<SocketAddr, Sender<Parcel>>,
}

impl Peers {
    /// Makes the sending side of a node.
    #[must_use]
    pub const fn new(calls: RpcRuntime, node: NodeId, id: MemberId, address: SocketAddr) -> Self {
        Self {
            calls,
            node,
            id,
            address,
            rings: BTreeMap::new(),
        }
    }

    /// Sends a parcel, or drops it when too many wait.
    pub fn send(&mut self, to: SocketAddr, parcel: Parcel) {
        if !self.rings.contains_key(&to)
            && let Some(ring) = self.start(to)
        {
            self.rings.insert(to, ring);
        }
        let sent = self.rings.get(&to).is_some_and(|ring| ring.try_send(parcel).is_ok());
        if !sent {
            counter!("gentian_state_messages_dropped_total").increment(1);
        }
    }

    fn start(&self, to: SocketAddr) -> Option<Sender<Parcel>> {
        let client = self.calls.client(to, Duration::ZERO).ok()?;
        let (ring, parcels) = bounded(RING);
        let (calls, node, id, address) = (self.calls.clone(), self.node.clone(), self.id, self.address);
        let work = move || {
            while let Some(batch) = take(&parcels) {
                let delivery = Delivery {
                    from: id,
                    address,
                    parcels: batch,
                };
                if deliver(&calls, &client, &node, &delivery).is_none() {
                    counter!("gentian_state_messages_failed_total").increment(1);
                    std::thread::sleep(PAUSE);
                }
            }
        };
        let thread = std::thread::Builder::new().name(format!("to {to}"));
        thread.spawn(work).ok()?;
        Some(ring)
    }
}

/// Waits for a parcel and takes what else there is.
fn take(parcels: &Receiver<Parcel>) -> Option<Vec<Parcel>> {
    let first = parcels.recv().ok()?;
    let mut bytes = size(&first);
    let mut batch = vec![first];
    while bytes < MAX_BYTES
        && let Ok(next) = parcels.try_recv()
    {
        bytes += size(&next);
        batch.push(next);
    }
    Some(batch)
}

fn size(parcel: &Parcel) -> usize {
    match parcel {
        Parcel::Agree(message) => match &message.body {
            Body::Append { records, .. } => records.iter().map(|record| record.payload.size()).sum(),
            Body::Part { bytes, .. } => bytes.len(),
            _ => 0,
        },
        Parcel::Form(snapshot) => snapshot.data.len(),
        Parcel::Hello(_) => 0,
    }
}

fn deliver(calls: &RpcRuntime, client: &HttpClient, node: &NodeId, delivery: &Delivery) -> Option<()> {
    let messages = postcard::to_stdvec(delivery).ok()?;
    counter!("gentian_state_sent_bytes_total").increment(messages.len() as u64);
    let packet = Envelope::new(node, Revision::default(), Packet { messages });
    calls.wait(client.deliver(packet)).ok()
}
