//! Borrows units of an account's quota beyond the host's own share from the state group.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use contract::{NodeId, Revision};
use metrics::counter;
use tokio::time::timeout;
use wire::Envelope;
use wire::catalog::CatalogRpcClient;
use wire::registry::{Borrow, BorrowReply, Lender};

use crate::gate::Shared;
use crate::node_clients::NodeClients;

/// Longest wait for a response. Data centres are a few milliseconds apart, and the caller waits meanwhile.
const BORROW_TIMEOUT: Duration = Duration::from_millis(120);

/// Client of the state nodes that lend.
#[derive(Debug)]
pub struct QuotaBorrower {
    node: NodeId,
    shared: Arc<Shared>,
    clients: NodeClients,
}

impl QuotaBorrower {
    /// Creates a client that identifies itself as `node`.
    #[must_use]
    pub fn new(node: NodeId, shared: Arc<Shared>) -> Self {
        Self {
            node,
            shared,
            clients: NodeClients::default(),
        }
    }

    /// Borrows units of an account's quota, first from the leader and then from the state node that this host follows.
    /// Returns whether they were lent, or `None` if the leader did not answer and the other node did not lend.
    pub async fn borrow(&self, account: &str, units: f64) -> Option<bool> {
        let leader = **self.shared.leader.load();
        let by_leader = self.ask(leader, Lender::Leader, account, units).await;
        if by_leader == Some(true) {
            return by_leader;
        }
        let near_node = **self.shared.near_node.load();
        match self.ask(near_node, Lender::Node, account, units).await {
            Some(true) => Some(true),
            Some(false) | None => by_leader,
        }
    }

    /// Asks one state node; returns `None` if it is unknown or did not answer.
    async fn ask(&self, peer: Option<SocketAddr>, lender: Lender, account: &str, units: f64) -> Option<bool> {
        let peer = peer?;
        let client = self.clients.get(peer)?;
        let request = Borrow {
            account: account.to_owned(),
            units,
            lender,
        };
        let call = client.borrow_units(Envelope::new(&self.node, Revision::default(), request));
        let reply = timeout(BORROW_TIMEOUT, call).await;
        match reply {
            Ok(Ok(reply)) => match reply.body {
                BorrowReply::Lent => Some(true),
                BorrowReply::Over => Some(false),
                BorrowReply::Unavailable(_) => self.record_failure(peer),
            },
            Ok(Err(_)) | Err(_) => self.record_failure(peer),
        }
    }

    /// Counts a failed call; the background threads log the loss of a state node.
    fn record_failure(&self, peer: SocketAddr) -> Option<bool> {
        counter!("gentian_gateway_borrow_failed_total").increment(1);
        self.clients.forget(peer);
        None
    }
}
