//! The parts that every program with replicated state is put together from.

use std::net::SocketAddr;
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
use wire::state::{StateRpcServer, Unavailable};

use crate::applied::{Command, Reply};

use crate::core::{Ask, Core, NodeConfig, ring};
use crate::disk::{Folder, Limits};
use crate::peers::Peers;
use crate::registry::EntryRegistry;
use crate::rpc::Rpc;

/// Longest wait for another node.
const TIMEOUT: Duration = Duration::from_secs(2);
/// Longest wait for another node of the group; a frozen one must not keep newer messages waiting.
const PEER_TIMEOUT: Duration = Duration::from_millis(500);
/// Most connections of the inner protocol: some hundred learners and callers, each with one or two.
const MAX_CONNECTIONS: u32 = 2_048;

/// A running state node.
#[derive(Debug)]
pub struct StateNode {
    /// Questions to the thread that owns the state.
    pub requests: Sender<Ask>,
    /// What is known of the entry hosts while this node leads.
    pub registry: Arc<EntryRegistry>,
    /// The clock of all its parts.
    pub clock: Clock,
    /// Calls to other nodes.
    pub calls: RpcRuntime,
    owner: JoinHandle<()>,
    server: ServerHandle,
}

impl StateNode {
    /// Opens the data folder and starts the node; `stop` is set when the folder can't be written any more, `slack` is what
    /// may pass beyond each quota in a window.
    ///
    /// # Errors
    /// Fails when the data folder or the address can't be used.
    pub fn start(
        me: NodeConfig,
        data: &Path,
        slack: Slack,
        logger: &Logger,
        stop: &Arc<AtomicBool>,
    ) -> anyhow::Result<Self> {
        let clock = Clock::start();
        let calls = RpcRuntime::start(2, TIMEOUT)?;
        let (ring, asks) = ring();
        let registry = Arc::new(EntryRegistry::new(slack));
        let rpc = Rpc::new(
            me.node.clone(),
            ring.clone(),
            Arc::clone(&registry),
            clock.clone(),
            logger.clone(),
        );
        let listen = me.address;
        let owner = start_owner(me, data, &calls, asks, clock.clone(), logger, stop)?;
        let mut methods = StateRpcServer::into_rpc(rpc.clone());
        methods.merge(CatalogRpcServer::into_rpc(rpc.clone()))?;
        methods.merge(RaftRpcServer::into_rpc(rpc))?;
        let config = ServerConfig::builder()
            .max_request_body_size(MAX_MESSAGE_BYTES)
            .max_response_body_size(MAX_MESSAGE_BYTES)
            .max_connections(MAX_CONNECTIONS)
            .build();
        let server = calls.wait(Server::builder().set_config(config).build(listen))?;
        let server = calls.wait(async { server.start(methods) });
        Ok(Self {
            requests: ring,
            registry,
            clock,
            calls,
            owner,
            server,
        })
    }

    /// Stops the inner protocol.
    ///
    /// # Errors
    /// Fails when the data folder could not be written.
    pub fn stop(&self, data: &Path) -> anyhow::Result<()> {
        // A second request to stop changes nothing.
        let _ = self.server.stop();
        if self.owner.is_finished() {
            anyhow::bail!(
                "the data folder {} cannot be written; the log names the file",
                data.display()
            );
        }
        Ok(())
    }
}

fn start_owner(
    me: NodeConfig,
    data: &Path,
    calls: &RpcRuntime,
    asks: Receiver<Ask>,
    clock: Clock,
    logger: &Logger,
    stop: &Arc<AtomicBool>,
) -> anyhow::Result<JoinHandle<()>> {
    let (folder, restored) = Folder::open(data, Limits::default())?;
    let peers = Peers::new(
        calls.with_timeout(PEER_TIMEOUT),
        me.node.clone(),
        restored.id,
        me.address,
    );
    let core = Core::new(me, folder, restored, peers, clock, logger.clone())?;
    let stop = Arc::clone(stop);
    let work = move || {
        if core.run(&asks).is_err() {
            stop.store(true, Ordering::Relaxed);
        }
    };
    Ok(std::thread::Builder::new().name("state".to_owned()).spawn(work)?)
}

/// Time in which a node looks for a leader before it tells an operator that there is none. Operators move on to another
/// node after a second.
const DECIDE: Duration = Duration::from_millis(800);
/// Bytes of a publication in one entry of the log.
const PIECE: usize = 256 * 1024;
/// Pause before the leader is looked for again.
const PAUSE: Duration = Duration::from_millis(40);

/// The group as an operator's API at any of its nodes sees it: what another node has to decide is passed on to it.
#[derive(Clone, Debug)]
pub struct GroupClient {
    node: NodeId,
    ring: Sender<Ask>,
    calls: RpcRuntime,
}

impl StateNode {
    /// Gives the group as seen from this node.
    #[must_use]
    pub fn group_client(&self, node: &NodeId) -> GroupClient {
        GroupClient {
            node: node.clone(),
            ring: self.requests.clone(),
            calls: self.calls.with_timeout(DECIDE),
        }
    }
}

impl GroupClient {
    /// Publishes a document.
    #[must_use]
    pub fn publish(&self, ask: &Publish) -> Published {
        if ask.document.len() > PIECE {
            return self.publish_in_pieces(ask);
        }
        let remote = |client: HttpClient, message| async move { client.publish(message).await };
        let result = self.decide(
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
        let result = self.decide(
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

    /// Publishes a document in several entries of the log, so that none of them keeps beats and other changes waiting.
    fn publish_in_pieces(&self, ask: &Publish) -> Published {
        let bytes = postcard::to_stdvec(ask).expect("every publication can be encoded");
        let id = UploadId {
            version: ask.catalog.version,
            digest: crc32fast::hash(&bytes),
            total: bytes.len() as u64,
        };
        let (mut offset, mut moved) = (0, Instant::now());
        loop {
            let until = bytes.len().min(offset + PIECE);
            let piece = Upload {
                id,
                offset: offset as u64,
                bytes: bytes[offset..until].to_vec(),
            };
            match self.upload(&piece) {
                Uploaded::Published(published) => return published,
                Uploaded::Unreadable(why) => return Published::Unavailable(undecided(&why)),
                Uploaded::Held(held) if held as usize > offset => (offset, moved) = (held as usize, Instant::now()),
                // Others' pieces have pushed this publication out.
                Uploaded::Held(_) if moved.elapsed() > DECIDE => {
                    return Published::Unavailable(undecided("too many publications at once"));
                }
                Uploaded::Held(held) => offset = held as usize,
                // A piece that is sent twice is taken once, so that it can go to the next leader.
                Uploaded::Unavailable(why) if moved.elapsed() > DECIDE => return Published::Unavailable(why),
                Uploaded::Unavailable(_) => std::thread::sleep(PAUSE),
            }
        }
    }

    fn upload(&self, piece: &Upload) -> Uploaded {
        let remote = |client: HttpClient, message| async move { client.upload(message).await };
        let result = self.decide(
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

    /// Appends a command here or at the leader; looks for a leader for a short while.
    fn decide<T, F>(
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
            let why = match self.here(command.clone()) {
                Ok(reply) => {
                    let other = || undecided("the reply belongs to another command");
                    return unwrap(reply).ok_or_else(other);
                }
                Err(Unavailable::NotLeader { leader: Some(leader) }) => match self.at(leader, &remote) {
                    Ok(answer) => match refused(answer) {
                        Ok(answer) => return Ok(answer),
                        Err(why) => why,
                    },
                    Err(why) => why,
                },
                Err(why) => why,
            };
            if matches!(why, Unavailable::Undecided { .. }) || begun.elapsed() > DECIDE {
                return Err(why);
            }
            std::thread::sleep(PAUSE);
        }
    }

    fn here(&self, command: Command) -> Result<Reply, Unavailable> {
        let (reply, answer) = oneshot::channel();
        if self.ring.try_send(Ask::Command(Box::new(command), reply)).is_err() {
            return Err(Unavailable::NoQuorum {
                reason: "too many requests wait".to_owned(),
            });
        }
        answer.blocking_recv().map_err(|_stopped| undecided("the node stops"))?
    }

    fn at<T, F>(&self, leader: SocketAddr, remote: impl Fn(HttpClient) -> F) -> Result<T, Unavailable>
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
