//! Clients of state nodes for calls of the event loop.

use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;

use jsonrpsee::http_client::{HttpClient, HttpClientBuilder};

/// Clients by address, kept as long as their calls succeed.
#[derive(Debug, Default)]
pub(crate) struct NodeClients(RefCell<HashMap<SocketAddr, HttpClient>>);

impl NodeClients {
    /// Returns a client; `None` if the address can't be used.
    pub(crate) fn get(&self, peer: SocketAddr) -> Option<HttpClient> {
        let mut clients = self.0.borrow_mut();
        if let Some(client) = clients.get(&peer) {
            return Some(client.clone());
        }
        let client = HttpClientBuilder::default().build(format!("http://{peer}")).ok()?;
        clients.insert(peer, client.clone());
        Some(client)
    }

    /// Drops a client whose call failed, with its connections.
    pub(crate) fn forget(&self, peer: SocketAddr) {
        self.0.borrow_mut().remove(&peer);
    }
}
