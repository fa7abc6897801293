//! Large records: what a node keeps of them in memory, and how a slow follower gets them while more are written.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use policy::Tick;
use state::raft::{Index, Member, MemberId, Members, Message, Node, Position, Restored, Snapshot, Term, Timing};

/// Size of a record, and of a snapshot that some of them make up.
const RECORD_BYTES: usize = 256 * 1024;
const SNAPSHOT_BYTES: usize = 8 * RECORD_BYTES;
/// Records between two snapshots.
const SNAPSHOT_RECORDS: u64 = 4;
const STEP: Duration = Duration::from_millis(20);
/// Most bytes that a node may keep of records that snapshots cover, and of those that no snapshot covers yet.
const MAX_LOG_BYTES: usize = 20 * 1024 * 1024;

/// Nodes of one group whose messages wait in a queue for each.
struct Trio {
    nodes: BTreeMap<MemberId, Node>,
    queues: BTreeMap<MemberId, VecDeque<Message>>,
    now: Tick,
}

impl Trio {
    fn new() -> Self {
        let ids: Vec<MemberId> = (1..=3).map(MemberId).collect();
        let member = |id: MemberId| Member {
            node: format!("n{id}").into(),
            address: ([127, 0, 0, 1], id.0 as u16).into(),
            votes: true,
            replaces: None,
        };
        let members = Members(ids.iter().map(|id| (*id, member(*id))).collect());
        let at = Position {
            term: Term(1),
            index: Index(1),
        };
        let snapshot = Snapshot {
            at,
            members,
            data: vec![0].into(),
        };
        let node = |id: &MemberId| {
            let restored = Restored {
                id: *id,
                snapshot: snapshot.clone(),
                ..Restored::default()
            };
            (*id, Node::new(restored, Timing::default(), 7, Tick::default()))
        };
        Self {
            nodes: ids.iter().map(node).collect(),
            queues: ids.iter().map(|id| (*id, VecDeque::new())).collect(),
            now: Tick::default(),
        }
    }

    /// Advances time by a step, in which a node takes at most so many messages.
    fn step(&mut self, most: impl Fn(MemberId) -> usize) {
        self.now = self.now + STEP;
        let ids: Vec<MemberId> = self.nodes.keys().copied().collect();
        for id in &ids {
            self.nodes.get_mut(id).unwrap().tick(self.now);
            self.carry_out(*id);
        }
        let mut left: BTreeMap<MemberId, usize> = ids.iter().map(|id| (*id, most(*id))).collect();
        while let Some(id) = ids.iter().find(|id| left[id] > 0 && !self.queues[id].is_empty()) {
            *left.get_mut(id).unwrap() -= 1;
            let message = self.queues.get_mut(id).unwrap().pop_front().unwrap();
            self.nodes.get_mut(id).unwrap().receive(message, self.now);
            self.carry_out(*id);
        }
    }

    fn carry_out(&mut self, id: MemberId) {
        let node = self.nodes.get_mut(&id).unwrap();
        let ready = node.ready(self.now);
        node.on_synced(ready.log_end, self.now);
        node.take_committed();
        for message in ready.before_sync.into_iter().chain(ready.after_sync) {
            self.queues.get_mut(&message.to).unwrap().push_back(message);
        }
    }

    fn leader(&self) -> Option<MemberId> {
        let mut all = self.nodes.iter();
        all.find(|(_, node)| node.leads(self.now)).map(|(id, _)| *id)
    }

    fn elect(&mut self) -> MemberId {
        for _ in 0..200 {
            self.step(|_| 100);
            if let Some(leader) = self.leader() {
                // Until all have answered the leader.
                (0..10).for_each(|_| self.step(|_| 100));
                return leader;
            }
        }
        panic!("nobody leads");
    }

    /// Has the leader append a record, and takes a snapshot on all nodes but `slow` after some of them.
    fn write(&mut self, leader: MemberId, slow: Option<MemberId>) {
        let node = self.nodes.get_mut(&leader).unwrap();
        let index = node.propose(vec![vec![0; RECORD_BYTES]], self.now).unwrap();
        if index.0.is_multiple_of(SNAPSHOT_RECORDS) {
            for (_, node) in self.nodes.iter_mut().filter(|(id, _)| Some(**id) != slow) {
                node.compact(vec![1; SNAPSHOT_BYTES]);
            }
        }
    }
}

/// Guards against records that are kept by their number, so that a thousand large ones take all memory of a node.
#[test]
fn bytes_bounded() {
    let mut trio = Trio::new();
    let leader = trio.elect();
    for _ in 0..300 {
        trio.write(leader, None);
        trio.step(|_| 100);
        for (id, node) in &trio.nodes {
            let bytes = node.log_bytes();
            assert!(bytes <= MAX_LOG_BYTES, "{id} keeps {bytes} bytes of records");
        }
    }
}

/// Guards against records that are sent to a follower without end before it has answered.
#[test]
fn silent_follower() {
    let mut trio = Trio::new();
    let leader = trio.elect();
    let silent = *trio.nodes.keys().find(|id| **id != leader).unwrap();
    for _ in 0..100 {
        trio.write(leader, None);
        trio.step(|id| if id == silent { 0 } else { 100 });
    }
    let queued: usize = trio.queues[&silent].iter().map(payload_bytes).sum();
    assert!(
        queued <= MAX_LOG_BYTES / 4,
        "{queued} bytes were sent to a silent follower"
    );
}

fn payload_bytes(message: &Message) -> usize {
    match &message.body {
        state::raft::Body::Append { records, .. } => records.iter().map(|record| record.payload.size()).sum(),
        state::raft::Body::Part { bytes, .. } => bytes.len(),
        _ => 0,
    }
}

/// Guards against a snapshot that is outdated before a slow follower has all of it, again and again, so that the follower
/// catches up only when nothing is written any more.
#[test]
fn slow_follower() {
    let mut trio = Trio::new();
    let leader = trio.elect();
    let slow = *trio.nodes.keys().find(|id| **id != leader).unwrap();
    // It misses so much that it needs a snapshot.
    for _ in 0..100 {
        trio.write(leader, Some(slow));
        trio.step(|id| if id == slow { 0 } else { 100 });
    }
    trio.queues.get_mut(&slow).unwrap().clear();
    let mut behind = u64::MAX;
    for _ in 0..400 {
        trio.write(leader, Some(slow));
        // Heartbeats and parts: about one and a half times what is written meanwhile.
        trio.step(|id| if id == slow { 2 } else { 100 });
        behind = trio.nodes[&leader].committed().0 - trio.nodes[&slow].committed().0;
        if behind <= 2 * SNAPSHOT_RECORDS {
            return;
        }
    }
    panic!("the follower is {behind} records behind while more are written");
}
