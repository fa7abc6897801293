//! A state node: the thread that owns the state, the server of the inner protocol, and a client for the group.

use std::net::SocketAddr;
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use contract::{NodeId, Revision};
use crossbeam_channel::{Receiver, Sender};
use jsonrpsee::http_client::HttpClient;
use jsonrpsee::server::{Server, ServerConfig, ServerHandle};
use policy::parts::Slack;
use slog::Logger;
use telemetry::Clock;
use tokio::sync::oneshot;
use wire::Envelope;
use wire::catalog::{CatalogRpcClient, CatalogRpcServer, Fetched, Publish, Published, Upload, UploadId, Uploaded};
use wire::client::{MAX_MESSAGE_BYTES, RpcRuntime};
use wire::raft::RaftRpcServer;
use wire::rollout::{RolloutCall, RolloutReply};
use wire::state::{StateRpcServer, Unavailable};

use crate::applied::{Command, Reply};

use crate::core::{Core, NodeConfig, StateRequest, request_channel};
use crate::disk::{Folder, Limits};
use crate::origins::OriginStore;
use crate::peers::PeerSenders;
use crate::registry::EntryRegistry;
use crate::rpc::Rpc;

/// Longest wait for an answer of another node.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);
/// Longest wait for the delivery of Raft messages; a paused node must not delay newer messages for longer.
const PEER_TIMEOUT: Duration = Duration::from_millis(500);
/// Most connections of the inner protocol: several hundred hosts and other callers with one or two each.
const MAX_CONNECTIONS: u32 = 2_048;

/// A running state node.
#[derive(Debug)]
pub struct StateNode {
    /// Requests to the thread that owns the state.
    pub requests: Sender<StateRequest>,
    /// What the node knows about entry hosts while it leads.
    pub registry: Arc<EntryRegistry>,
    /// Clock of all parts of the node.
    pub clock: Clock,
    /// Runtime for calls to other nodes.
    pub calls: RpcRuntime,
    core_thread: JoinHandle<()>,
    server: ServerHandle,
}

impl StateNode {
    /// Opens the data folder and starts the node. `stop` is set when the folder cannot be written any more; `slack` is
    /// by how much each quota may be exceeded in a window.
    ///
    /// # Errors
    /// Fails when the data folder or the address cannot be used.
    pub fn start(
        config: NodeConfig,
        data: &Path,
        slack: Slack,
        logger: &Logger,
        stop: &Arc<AtomicBool>,
    ) -> anyhow::Result<Self> {
        let clock = Clock::start();
        let calls = RpcRuntime::start(2, CALL_TIMEOUT)?;
        let (requests, queue) = request_channel();
        let registry = Arc::new(EntryRegistry::new(slack));
        let (node, listen) = (config.node.clone(), config.address);
        let core_thread = start_core(config, data, &calls, queue, clock.clone(), logger, stop)?;
        let rpc = Rpc::new(
            node,
            requests.clone(),
            Arc::clone(&registry),
            OriginStore::open(data, &clock, logger)?,
            clock.clone(),
            logger.clone(),
        );
        let mut methods = StateRpcServer::into_rpc(rpc.clone());
        methods.merge(CatalogRpcServer::into_rpc(rpc.clone()))?;
        methods.merge(RaftRpcServer::into_rpc(rpc))?;
        let limits = ServerConfig::builder()
            .max_request_body_size(MAX_MESSAGE_BYTES)
            .max_response_body_size(MAX_MESSAGE_BYTES)
            .max_connections(MAX_CONNECTIONS)
            .build();
        let server = calls.wait(Server::builder().set_config(limits).build(listen))?;
        let server = calls.wait(async { server.start(methods) });
        Ok(Self {
            requests,
            registry,
            clock,
            calls,
            core_thread,
            server,
        })
    }

    /// Stops the server of the inner protocol.
    ///
    /// # Errors
    /// Fails when the node had already stopped because the data folder could not be written.
    pub fn stop(&self, data: &Path) -> anyhow::Result<()> {
        // The only error is that the server was stopped before.
        let _ = self.server.stop();
        if self.core_thread.is_finished() {
            anyhow::bail!(
                "the data folder {} cannot be written; the log names the file",
                data.display()
            );
        }
        Ok(())
    }
}

fn start_core(
    config: NodeConfig,
    data: &Path,
    calls: &RpcRuntime,
    queue: Receiver<StateRequest>,
    clock: Clock,
    logger: &Logger,
    stop: &Arc<AtomicBool>,
) -> anyhow::Result<JoinHandle<()>> {
    let (folder, restored) = Folder::open(data, Limits::default())?;
    let peers = PeerSenders::new(
        calls.with_timeout(PEER_TIMEOUT),
        config.node.clone(),
        restored.id,
        config.address,
        logger.clone(),
    );
    let core = Core::new(config, folder, restored, peers, clock, logger.clone())?;
    let stop = Arc::clone(stop);
    let work = move || {
        // After a panic the state may be half changed; the process starts again from the disk.
        let ended = catch_unwind(AssertUnwindSafe(|| core.run(&queue)));
        if !matches!(ended, Ok(Ok(()))) {
            stop.store(true, Ordering::Relaxed);
        }
    };
    Ok(std::thread::Builder::new().name("state".to_owned()).spawn(work)?)
}

/// Time for which a node looks for a leader before it reports to an operator that there is none. Operators turn to
/// another node after a second.
const LEADER_SEARCH: Duration = Duration::from_millis(800);
/// Most bytes of a publication in one log entry.
const PIECE_BYTES: usize = 256 * 1024;
/// Pause before the leader is looked up again.
const RETRY_PAUSE: Duration = Duration::from_millis(40);

/// Client of the group for the operators' API of any of its nodes: commands are forwarded to the leader.
#[derive(Clone, Debug)]
pub struct GroupClient {
    node: NodeId,
    requests: Sender<StateRequest>,
    calls: RpcRuntime,
}

impl StateNode {
    /// Returns a client of the group that starts at this node; `node` names it to the others.
    #[must_use]
    pub fn group_client(&self, node: &NodeId) -> GroupClient {
        GroupClient {
            node: node.clone(),
            requests: self.requests.clone(),
            calls: self.calls.with_timeout(LEADER_SEARCH),
        }
    }
}

impl GroupClient {
    /// Publishes a document with its catalog.
    #[must_use]
    pub fn publish(&self, ask: &Publish) -> Published {
        if ask.document.len() > PIECE_BYTES {
            return self.publish_in_pieces(ask);
        }
        let remote = |client: HttpClient, message| async move { client.publish(message).await };
        let result = self.run_command(
            Command::Publish(ask.clone()),
            |reply| match reply {
                Reply::Published(published) => Some(published),
                _ => None,
            },
            |client| remote(client, Envelope::new(&self.node, Revision::default(), ask.clone())),
            |answer| match answer {
                Published::Unavailable(why) => Err(why),
                accepted @ Published::Accepted { .. } => Ok(accepted),
            },
        );
        result.unwrap_or_else(Published::Unavailable)
    }

    /// Reads the newest document.
    #[must_use]
    pub fn fetch(&self) -> Fetched {
        let remote = |client: HttpClient, message| async move { client.fetch(message).await };
        let result = self.run_command(
            Command::Fetch,
            |reply| match reply {
                Reply::Fetched(fetched) => Some(fetched),
                _ => None,
            },
            |client| remote(client, Envelope::new(&self.node, Revision::default(), ())),
            |answer| match answer {
                Fetched::Unavailable(why) => Err(why),
                document @ Fetched::Document(_) => Ok(document),
            },
        );
        result.unwrap_or_else(Fetched::Unavailable)
    }

    /// Orders, reads or ends a rollout.
    #[must_use]
    pub fn rollout(&self, call: &RolloutCall) -> RolloutReply {
        let remote = |client: HttpClient, message| async move { client.rollout(message).await };
        let result = self.run_command(
            Command::Rollout(call.clone()),
            |reply| match reply {
                Reply::RolloutReply(reply) => Some(reply),
                _ => None,
            },
            |client| remote(client, Envelope::new(&self.node, Revision::default(), call.clone())),
            |answer| match answer {
                RolloutReply::Unavailable(why) => Err(why),
                decided => Ok(decided),
            },
        );
        result.unwrap_or_else(RolloutReply::Unavailable)
    }

    /// Publishes a document in several log entries, so that no large entry delays heartbeats and other changes.
    fn publish_in_pieces(&self, ask: &Publish) -> Published {
        let bytes = postcard::to_stdvec(ask).expect("every publication can be encoded");
        let id = UploadId {
            version: ask.catalog.version,
            digest: crc32fast::hash(&bytes),
            total: bytes.len() as u64,
        };
        let (mut offset, mut moved) = (0, Instant::now());
        loop {
            let until = bytes.len().min(offset + PIECE_BYTES);
            let piece = Upload {
                id,
                offset: offset as u64,
                bytes: bytes[offset..until].to_vec(),
            };
            match self.upload(&piece) {
                Uploaded::Published(published) => return published,
                Uploaded::Unreadable(why) => return Published::Unavailable(undecided(&why)),
                Uploaded::Held(held) if held as usize > offset => (offset, moved) = (held as usize, Instant::now()),
                // Pieces of other publications have displaced this one.
                Uploaded::Held(_) if moved.elapsed() > LEADER_SEARCH => {
                    return Published::Unavailable(undecided("too many publications at once"));
                }
                Uploaded::Held(held) => offset = held as usize,
                // A repeated piece has no effect, so that it can be sent again to the next leader.
                Uploaded::Unavailable(why) if moved.elapsed() > LEADER_SEARCH => return Published::Unavailable(why),
                Uploaded::Unavailable(_) => std::thread::sleep(RETRY_PAUSE),
            }
        }
    }

    fn upload(&self, piece: &Upload) -> Uploaded {
        let remote = |client: HttpClient, message| async move { client.upload(message).await };
        let result = self.run_command(
            Command::Upload(piece.clone()),
            |reply| match reply {
                Reply::Uploaded(uploaded) => Some(uploaded),
                _ => None,
            },
            |client| remote(client, Envelope::new(&self.node, Revision::default(), piece.clone())),
            |answer| match answer {
                Uploaded::Unavailable(why) => Err(why),
                taken => Ok(taken),
            },
        );
        result.unwrap_or_else(Uploaded::Unavailable)
    }

    /// Appends a command at this node or the leader; looks for a leader for at most [`LEADER_SEARCH`].
    fn run_command<T, F>(
        &self,
        command: Command,
        unwrap: impl Fn(Reply) -> Option<T>,
        remote: impl Fn(HttpClient) -> F,
        refused: impl Fn(T) -> Result<T, Unavailable>,
    ) -> Result<T, Unavailable>
    where
        F: Future<Output = Result<Envelope<T>, jsonrpsee::core::ClientError>>,
    {
        let begun = Instant::now();
        loop {
            let why = match self.run_locally(command.clone()) {
                Ok(reply) => {
                    let other = || undecided("the reply belongs to another command");
                    return unwrap(reply).ok_or_else(other);
                }
                Err(Unavailable::NotLeader { leader: Some(leader) }) => match self.run_at(leader, &remote) {
                    Ok(answer) => match refused(answer) {
                        Ok(answer) => return Ok(answer),
                        Err(why) => why,
                    },
                    Err(why) => why,
                },
                Err(why) => why,
            };
            if matches!(why, Unavailable::Undecided { .. }) || begun.elapsed() > LEADER_SEARCH {
                return Err(why);
            }
            std::thread::sleep(RETRY_PAUSE);
        }
    }

    /// Appends a command at this node.
    fn run_locally(&self, command: Command) -> Result<Reply, Unavailable> {
        let (reply, answer) = oneshot::channel();
        if self
            .requests
            .try_send(StateRequest::Command(Box::new(command), reply))
            .is_err()
        {
            return Err(Unavailable::NoQuorum {
                reason: "too many requests wait".to_owned(),
            });
        }
        answer.blocking_recv().map_err(|_stopped| undecided("the node stops"))?
    }

    /// Makes a call at the leader.
    fn run_at<T, F>(&self, leader: SocketAddr, remote: impl Fn(HttpClient) -> F) -> Result<T, Unavailable>
    where
        F: Future<Output = Result<Envelope<T>, jsonrpsee::core::ClientError>>,
    {
        let client = self.calls.client(leader, Duration::ZERO);
        let client = client.map_err(|error| undecided(&error.to_string()))?;
        let answer = self.calls.wait(remote(client));
        answer
            .map(|answer| answer.body)
            .map_err(|error| undecided(&error.to_string()))
    }
}

fn undecided(reason: &str) -> Unavailable {
    Unavailable::Undecided {
        reason: reason.to_owned(),
    }
}
