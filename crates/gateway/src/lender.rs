//! Asks the leader of the state group for units of a quota beyond the own part.

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

/// Longest wait for the leader's answer: data centres are a few milliseconds apart, and the caller waits meanwhile.
const BORROW_TIMEOUT: Duration = Duration::from_millis(120);

/// The client towards the leader.
#[derive(Debug)]
pub struct QuotaBorrower {
    node: NodeId,
    shared: Arc<Shared>,
    client: RefCell<Option<(SocketAddr, HttpClient)>>,
}

impl QuotaBorrower {
    /// Asks in the name of a process.
    #[must_use]
    pub const fn new(node: NodeId, shared: Arc<Shared>) -> Self {
        Self {
            node,
            shared,
            client: RefCell::new(None),
        }
    }

    /// Asks for units of an account's quota; nothing is known without an answer.
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

    /// Counts a question without an answer; the thread that beats logs the loss of the leader itself.
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
