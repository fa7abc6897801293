//! Borrows units of an account's quota beyond the host's own share from the leader of the state group.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use contract::{NodeId, Revision};
use jsonrpsee::http_client::{HttpClient, HttpClientBuilder};
use metrics::counter;
use tokio::time::timeout;
use wire::Envelope;
use wire::catalog::CatalogRpcClient;
use wire::registry::{Borrow, BorrowReply};

use crate::gate::Shared;

/// Longest wait for the leader's response. Data centres are a few milliseconds apart, and the caller waits meanwhile.
const BORROW_TIMEOUT: Duration = Duration::from_millis(120);

/// Client of the leader.
#[derive(Debug)]
pub struct QuotaBorrower {
    node: NodeId,
    shared: Arc<Shared>,
    client: RefCell<Option<(SocketAddr, HttpClient)>>,
}

impl QuotaBorrower {
    /// Creates a client that identifies itself as `node`.
    #[must_use]
    pub const fn new(node: NodeId, shared: Arc<Shared>) -> Self {
        Self {
            node,
            shared,
            client: RefCell::new(None),
        }
    }

    /// Borrows units of an account's quota. Returns whether they were lent, or `None` if the leader did not answer.
    pub async fn borrow(&self, account: &str, units: f64) -> Option<bool> {
        let client = self.client()?;
        let request = Borrow {
            account: account.to_owned(),
            units,
        };
        let call = client.borrow_units(Envelope::new(&self.node, Revision::default(), request));
        let reply = timeout(BORROW_TIMEOUT, call).await;
        match reply {
            Ok(Ok(reply)) => match reply.body {
                BorrowReply::Lent => Some(true),
                BorrowReply::Over => Some(false),
                BorrowReply::Unavailable(_) => self.record_failure(),
            },
            Ok(Err(_)) | Err(_) => self.record_failure(),
        }
    }

    /// Counts a failed call; the heartbeat thread logs the loss of the leader.
    fn record_failure(&self) -> Option<bool> {
        counter!("gentian_gateway_borrow_failed_total").increment(1);
        *self.client.borrow_mut() = None;
        None
    }

    fn client(&self) -> Option<HttpClient> {
        let leader = (**self.shared.leader.load())?;
        let mut client = self.client.borrow_mut();
        if client.as_ref().is_none_or(|(address, _)| *address != leader) {
            let new_client = HttpClientBuilder::default().build(format!("http://{leader}")).ok()?;
            *client = Some((leader, new_client));
        }
        client.as_ref().map(|(_, client)| client.clone())
    }
}
