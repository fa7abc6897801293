//! A node without a vote: it follows the voter's configuration and sends everything else there.

use std::net::SocketAddr;
use std::time::Duration;

use contract::{Config, NodeId};
use crossbeam_channel::{Receiver, RecvTimeoutError};
use policy::Tick;
use telemetry::Clock;
use tokio::sync::oneshot;
use wire::client::StateClient;
use wire::state::{StateStatus, Unavailable, Watch, Watched};

use crate::core::Ask;

const WAIT_MS: u64 = 200;

/// Answers for a node that follows.
///
/// Returns when every sender of the ring is gone.
pub fn run(voter: SocketAddr, leader: &NodeId, client: &StateClient, clock: &Clock, asks: &Receiver<Ask>) {
    let mut config = Config::default();
    let mut heard = Tick::default();
    let mut watchers: Vec<(Tick, Watch, oneshot::Sender<Watched>)> = Vec::new();
    loop {
        let ask = Watch {
            after: config.revision,
            wait_ms: WAIT_MS,
        };
        if let Ok(news) = client.watch(0, config.revision, ask) {
            heard = clock.now();
            if let Some(snapshot) = news.body.snapshot {
                config = snapshot;
            }
            news.body.records.iter().for_each(|record| config.apply(record));
        }
        loop {
            match asks.recv_timeout(Duration::from_millis(1)) {
                Ok(Ask::Command(_, reply)) => {
                    drop(reply.send(Err(Unavailable::NotLeader { leader: Some(voter) })));
                }
                Ok(Ask::Watch(watch, reply)) => {
                    watchers.push((clock.now() + Duration::from_millis(watch.wait_ms), watch, reply));
                }
                Ok(Ask::Status(reply)) => {
                    let status = StateStatus {
                        role: "learner".to_owned(),
                        leader: Some(leader.clone()),
                        ..StateStatus::default()
                    };
                    drop(reply.send(status));
                }
                Ok(Ask::Config(reply)) => drop(reply.send(config.clone())),
                Err(RecvTimeoutError::Timeout) => break,
                Err(RecvTimeoutError::Disconnected) => return,
            }
        }
        let now = clock.now();
        let age_ms = u64::try_from(now.since(heard).as_millis()).unwrap_or(u64::MAX);
        let ready: Vec<_> = watchers
            .extract_if(.., |(until, watch, _)| watch.after < config.revision || *until <= now)
            .collect();
        for (_, watch, reply) in ready {
            let snapshot = (watch.after < config.revision).then(|| config.clone());
            drop(reply.send(Watched {
                snapshot,
                records: Vec::new(),
                age_ms,
            }));
        }
    }
}
