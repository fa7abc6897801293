//! Questions to the thread that owns the state.

use std::net::SocketAddr;
use std::time::Duration;

use contract::NodeId;
use crossbeam_channel::{Receiver, Sender, bounded};
use derive_more::{Display, Error};
use policy::Tick;
use serde::Serialize;
use tokio::sync::oneshot;
use wire::catalog::{Follow, Followed};
use wire::state::{StateStatus, Unavailable, Watch, Watched};

use crate::applied::{AppliedState, Command, Reply};
use crate::peers::Delivery;
use crate::raft::{ChangeError, MemberId, Members};

/// Questions that may wait for the thread; more are refused.
pub const RING: usize = 4_096;

/// Looks at the applied state and at the time for which news may have passed it by.
pub type Read = Box<dyn FnOnce(&AppliedState, Duration) + Send>;

/// A question to the thread.
#[derive(derive_more::Debug)]
pub enum Ask {
    /// Appends a command to the log.
    Command(Box<Command>, oneshot::Sender<Result<Reply, Unavailable>>),
    /// Waits for changes of the configuration.
    Watch(Watch, oneshot::Sender<Watched>),
    /// Waits for a newer catalog.
    Follow(Follow, oneshot::Sender<Followed>),
    /// Asks whether the node leads.
    Lead(oneshot::Sender<Lead>),
    /// Asks for the status.
    Status(oneshot::Sender<StateStatus>),
    /// Asks something of the applied state.
    #[debug("Read")]
    Read(Read),
    /// Asks for the members.
    Members(oneshot::Sender<MemberList>),
    /// Puts another disk in the place of a member.
    Replace(Replace, oneshot::Sender<Result<Replaced, ReplaceError>>),
    /// Hands over what another node sent.
    Deliver(Delivery),
}

/// What a node knows of the leader.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Lead {
    /// The term.
    pub term: u64,
    /// Since when this node has led in it; nothing if it doesn't lead.
    pub since: Option<Tick>,
    /// Inner address of the leader, if known.
    pub leader: Option<SocketAddr>,
}

/// Names the member that is to be replaced and the node that takes its place.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Replace {
    /// The member's node.
    pub old: NodeId,
    /// The node with a blank disk; it may have the same name.
    pub new: NodeId,
}

/// A replacement that has begun; the leader carries it to its end.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Replaced {
    /// Incarnation that leaves.
    pub old: String,
    /// Incarnation that joins.
    pub new: String,
}

/// A replacement that was not begun.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub enum ReplaceError {
    /// The members can't be changed now.
    #[display("{_0}")]
    Change(#[error(not(source))] ChangeError),
    /// The node has not announced a blank disk.
    #[display("node {_0} has not announced a blank disk; start it with an empty data folder first")]
    NotBlank(#[error(not(source))] NodeId),
    /// No member has the name.
    #[display("no member is called {_0}")]
    NoMember(#[error(not(source))] NodeId),
}

/// The members and the blank disks that have announced themselves.
#[derive(Clone, Debug, Default)]
pub struct MemberList {
    /// Members in force.
    pub members: Members,
    /// Blank disks.
    pub blank: Vec<(MemberId, NodeId, SocketAddr)>,
    /// The leader, if known.
    pub leader: Option<MemberId>,
}

/// Gives the ring to the thread.
#[must_use]
pub fn ring() -> (Sender<Ask>, Receiver<Ask>) {
    bounded(RING)
}
