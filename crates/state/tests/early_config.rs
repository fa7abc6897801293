//! What a state node tells entry hosts after a restart, before the group has a leader.

use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::time::Duration;

use contract::{Catalog, NodeId, Revision};
use policy::parts::Slack;
use slog::{Discard, Logger, o};
use state::applied::{Command, LogEntry};
use state::core::{MembershipMode, NodeConfig};
use state::disk::{Folder, Limits};
use state::program::StateNode;
use state::raft::{Index, Member, MemberId, Members, Payload, Position, Ready, Record, Snapshot, Term};
use tempfile::TempDir;
use wire::Envelope;
use wire::catalog::{CatalogRpcClient, Follow, Followed, Publish};

const VERSION: u64 = 7;
const ENTRY_HOSTS: u32 = 8;

/// A node of a group of three whose other nodes do not run.
struct LoneNode {
    node: StateNode,
    data: TempDir,
    address: SocketAddr,
}

impl LoneNode {
    /// Starts the node on a log with a publication and a number of entry hosts, committed up to an index.
    fn start(committed: Index) -> Self {
        let data = TempDir::new().expect("a directory for the log");
        write_log(data.path(), committed);
        let address = free_address();
        let config = NodeConfig {
            node: NodeId::from("state-1"),
            address,
            peers: vec![address],
            membership: MembershipMode::Manual,
        };
        let logger = Logger::root(Discard, o!());
        let stop = Arc::new(AtomicBool::new(false));
        let node = StateNode::start(config, data.path(), Slack::default(), &logger, &stop).expect("the node starts");
        Self { node, data, address }
    }

    fn follow(&self) -> Followed {
        let client = self.node.calls.client(self.address, Duration::ZERO);
        let client = client.expect("a client opens");
        let request = Follow {
            after: None,
            resume: None,
            max_bytes: 1_000_000,
            wait_ms: 200,
        };
        let request = Envelope::new(&NodeId::from("entry-1"), Revision::default(), request);
        self.node.calls.wait(client.follow(request)).expect("an answer").body
    }
}

impl Drop for LoneNode {
    fn drop(&mut self) {
        // The server may have stopped already.
        let _ = self.node.stop(self.data.path());
    }
}

fn free_address() -> SocketAddr {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a port is free");
    listener.local_addr().expect("the listener has an address")
}

fn write_log(data: &Path, committed: Index) {
    let (mut folder, restored) = Folder::open(data, Limits::default()).expect("a blank folder");
    let member = |port: u16| Member {
        node: NodeId::from(format!("state-{port}")),
        address: ([127, 0, 0, 1], port).into(),
        votes: true,
        replaces: None,
    };
    let others = [(MemberId(2), member(2)), (MemberId(3), member(3))];
    let members = others.into_iter().chain([(restored.id, member(1))]);
    let first = Snapshot {
        at: position(1),
        members: Members(members.collect()),
        ..Snapshot::default()
    };
    folder.save_snapshot(&first).expect("the snapshot is written");
    let publish = Publish {
        document: Vec::new(),
        catalog: Catalog {
            version: VERSION,
            ..Catalog::default()
        },
    };
    let commands = [Command::Publish(publish), Command::Sharers(ENTRY_HOSTS)];
    let records = (2..).zip(commands).map(|(index, command)| record(index, command));
    let ready = Ready {
        records: records.collect(),
        ..Ready::default()
    };
    folder.write(&ready).expect("the records are written");
    folder.write_commit(committed).expect("the commit index is written");
}

fn position(index: u64) -> Position {
    Position {
        term: Term(1),
        index: Index(index),
    }
}

fn record(index: u64, command: Command) -> Record {
    let entry = LogEntry {
        at_ms: index,
        wall_ms: index,
        command,
    };
    let bytes = postcard::to_stdvec(&entry).expect("the entry is encoded");
    Record {
        at: position(index),
        payload: Payload::Command(bytes.into()),
    }
}

/// Guards against refusals for the whole of an election after all hosts have lost power, although the committed
/// configuration lies on every disk.
#[test]
fn before_election() {
    let news = LoneNode::start(Index(3)).follow();
    assert_eq!(
        (news.newest, news.entry_hosts, news.leader),
        (VERSION, ENTRY_HOSTS, None)
    );
    assert!(!news.parts.is_empty(), "the catalog comes with the answer");
    assert!(news.age_ms > 60_000, "the state may be outdated");
}

/// Guards against a configuration in force that the group may never commit.
#[test]
fn uncommitted_withheld() {
    let news = LoneNode::start(Index(1)).follow();
    assert_eq!((news.newest, news.parts.len()), (0, 0));
}
