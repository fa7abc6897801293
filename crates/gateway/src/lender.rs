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
const PATIENCE: Duration = Duration::from_millis(120);

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
    pub async fn lend(&self, account: &str, units: f64) -> Option<bool> {
        let client = self.client()?;
        let ask = Borrow {
            account: account.to_owned(),
            units,
        };
        let call = client.borrow_units(Envelope::new(&self.node, Revision::default(), ask));
        let answer = timeout(PATIENCE, call).await;
        match answer {
            Ok(Ok(answer)) => match answer.body {
                BorrowReply::Lent => Some(true),
                BorrowReply::Over => Some(false),
                BorrowReply::Unavailable(_) => self.lost(),
            },
            Ok(Err(_)) | Err(_) => self.lost(),
        }
    }

    /// Counts a question without an answer; the thread that beats logs the loss of the leader itself.
    fn lost(&self) -> Option<bool> {
        counter!("gentian_gateway_borrow_failed_total").increment(1);
        *self.client.borrow_mut() = None;
        None
    }

    fn client(&self) -> Option<HttpClient> {
        let leader = (**self.shared.leader.load())?;
        let mut client = self.client.borrow_mut();
        if client.as_ref().is_none_or(|(address, _)| *address != leader) {
            let opened = HttpClientBuilder::default().build(format!("http://{leader}")).ok()?;
            *client = Some((leader, opened));
        }
        client.as_ref().map(|(_, client)| client.clone())
    }
}
