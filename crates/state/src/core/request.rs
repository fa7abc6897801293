//! Requests to the thread that owns the replicated state.

use std::net::SocketAddr;
use std::time::Duration;

use contract::{NodeId, Rollout, ServiceName};
use crossbeam_channel::{Receiver, Sender, bounded};
use derive_more::{Display, Error};
use policy::Tick;
use serde::Serialize;
use tokio::sync::oneshot;
use wire::catalog::{Follow, Followed, SeenVersion};
use wire::state::{StateStatus, Unavailable, Watch, Watched};

use crate::applied::{AppliedState, Command, Reply};
use crate::peers::PeerBatch;
use crate::raft::{ChangeError, MemberId, Members};

/// Most requests that may wait for the thread; more are refused.
pub const MAX_QUEUED: usize = 4_096;

/// Reads the applied state; the duration is its age, the time for which the node may have missed newer changes.
pub type ReadFn = Box<dyn FnOnce(&AppliedState, Duration) + Send>;

/// A request to the thread; answers go to the sender in it.
#[derive(derive_more::Debug)]
pub enum StateRequest {
    /// Appends a command to the log.
    Command(Box<Command>, oneshot::Sender<Result<Reply, Unavailable>>),
    /// Waits for changes of the configuration.
    Watch(Watch, oneshot::Sender<Watched>),
    /// Waits for a newer catalog.
    Follow(Follow, oneshot::Sender<Followed>),
    /// Asks for the term, the leader, and whether this node leads.
    Leadership(oneshot::Sender<Leadership>),
    /// Asks for the rollouts; answered with `None` unless this node leads.
    Rollouts(oneshot::Sender<Option<KnownRollouts>>),
    /// Asks for the versions of a service that were listed lately.
    Versions(ServiceName, oneshot::Sender<KnownVersions>),
    /// Asks for the status.
    Status(oneshot::Sender<StateStatus>),
    /// Runs a function on the applied state.
    #[debug("Read")]
    Read(ReadFn),
    /// Asks for the members.
    Members(oneshot::Sender<MemberList>),
    /// Starts to replace a member by a node with a blank disk.
    Replace(ReplaceMember, oneshot::Sender<Result<Replacement, ReplaceError>>),
    /// Hands over messages of another node.
    Deliver(PeerBatch),
}

/// What a node knows about the current leader.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Leadership {
    /// The newest term that the node knows.
    pub term: u64,
    /// Since when this node has led without a break; `None` if it does not lead.
    pub since: Option<Tick>,
    /// Inner address of the leader, if known.
    pub leader: Option<SocketAddr>,
    /// Number of members of the group.
    pub nodes: u32,
}

/// The newest rollout of each service, as the leader knows them.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct KnownRollouts {
    /// Term of the leader.
    pub term: u64,
    /// Current log time in milliseconds.
    pub now_ms: u64,
    /// The rollouts.
    pub rollouts: Vec<Rollout>,
}

/// Versions of a service that were listed lately, as a node knows them.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct KnownVersions {
    /// The versions.
    pub versions: Vec<SeenVersion>,
    /// Time for which the node may have missed newer ones.
    pub age: Duration,
}

/// The member to replace and the node that replaces it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReplaceMember {
    /// Name of the member's node.
    pub old: NodeId,
    /// Name of the node with a blank disk; it may be the same.
    pub new: NodeId,
}

/// A replacement that was started; the leader completes it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Replacement {
    /// Incarnation of the member that leaves.
    pub old: String,
    /// Incarnation of the member that joins.
    pub new: String,
}

/// Reason why a replacement was not started.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub enum ReplaceError {
    /// The members cannot be changed now, or not in this way.
    #[display("{_0}")]
    Change(#[error(not(source))] ChangeError),
    /// No node of this name has announced a blank disk.
    #[display("node {_0} has not announced a blank disk; start it with an empty data folder first")]
    NotBlank(#[error(not(source))] NodeId),
    /// No member has this name.
    #[display("no member is called {_0}")]
    NoMember(#[error(not(source))] NodeId),
}

/// The members of the group and the nodes with blank disks that have announced themselves.
#[derive(Clone, Debug, Default)]
pub struct MemberList {
    /// The current members.
    pub members: Members,
    /// Nodes with a blank disk: incarnation, name and inner address.
    pub blank: Vec<(MemberId, NodeId, SocketAddr)>,
    /// The leader, if known.
    pub leader: Option<MemberId>,
}

/// Creates the bounded channel of requests to the thread.
#[must_use]
pub fn request_channel() -> (Sender<StateRequest>, Receiver<StateRequest>) {
    bounded(MAX_QUEUED)
}
