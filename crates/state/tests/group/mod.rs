//! A group of nodes in memory, with a network and disks that fail.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use policy::Tick;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use state::raft::{
    HardState, Index, Member, MemberId, Members, Message, Node, Payload, Position, Ready, Record, Restored, Snapshot,
    Term, Timing,
};

const STEP_MS: u64 = 20;
/// Length of the times with and without writes.
const QUIET_MS: u64 = 3_000;

/// What a disk keeps when its process dies.
#[derive(Clone, Debug, Default)]
struct Disk {
    id: MemberId,
    hard: HardState,
    snapshot: Snapshot,
    records: Vec<Record>,
}

#[derive(Debug)]
struct Host {
    disk: Disk,
    node: Option<Node>,
    /// Local milliseconds for each real one.
    rate: f64,
    started: u64,
    frozen_until: u64,
    chain: u64,
}

/// How rough a history is.
#[derive(Clone, Copy, Debug)]
pub struct Rough {
    pub hosts: usize,
    pub steps: usize,
    pub lose_disks: bool,
    /// Whether members are removed and join again.
    pub resize: bool,
}

/// The group with everything that was ever agreed in it.
#[derive(Debug)]
pub struct Group {
    random: ChaCha8Rng,
    now: u64,
    hosts: Vec<Host>,
    wires: Vec<(u64, Message)>,
    cuts: BTreeSet<(usize, usize)>,
    calm: bool,
    next_id: u64,
    leaders: BTreeMap<Term, MemberId>,
    /// What the leader of a term had committed when it was first seen to lead.
    began: BTreeMap<Term, Index>,
    agreed: BTreeMap<Index, (Record, u64)>,
    first: Members,
    pub wiped: usize,
    pub repaired: usize,
    pub removed: usize,
}

impl Group {
    pub fn new(seed: u64, hosts: usize) -> Self {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let member = |n: usize| Member {
            node: format!("n{n}").into(),
            address: ([127, 0, 0, 1], n as u16).into(),
            votes: true,
            replaces: None,
        };
        let members = Members((0..hosts).map(|n| (MemberId(n as u64 + 1), member(n))).collect());
        let at = Position {
            term: Term(1),
            index: Index(1),
        };
        let snapshot = Snapshot {
            at,
            members: members.clone(),
            data: 0_u64.to_le_bytes().to_vec().into(),
        };
        let host = |n: usize| Host {
            disk: Disk {
                id: MemberId(n as u64 + 1),
                snapshot: snapshot.clone(),
                ..Disk::default()
            },
            node: None,
            rate: random.random_range(0.92..1.08),
            started: 0,
            frozen_until: 0,
            chain: 0,
        };
        let hosts: Vec<Host> = (0..hosts).map(host).collect();
        let next_id = hosts.len() as u64 + 1;
        let mut group = Self {
            random,
            now: 0,
            hosts,
            wires: Vec::new(),
            cuts: BTreeSet::new(),
            calm: true,
            next_id,
            leaders: BTreeMap::new(),
            began: BTreeMap::new(),
            agreed: BTreeMap::new(),
            first: members,
            wiped: 0,
            repaired: 0,
            removed: 0,
        };
        (0..group.hosts.len()).for_each(|n| group.start(n));
        group
    }

    /// Lives through a history of faults, then a calm time in which everything must work again.
    pub fn live(&mut self, rough: Rough) {
        self.calm = false;
        for _ in 0..rough.steps {
            self.fault(rough);
            self.step();
        }
        self.settle();
    }

    /// Heals everything and checks that the group goes on with nothing lost.
    pub fn settle(&mut self) {
        self.calm = true;
        self.cuts.clear();
        for n in 0..self.hosts.len() {
            self.hosts[n].frozen_until = 0;
            if self.hosts[n].node.is_none() {
                self.start(n);
            }
        }
        let before = self.agreed.keys().last().copied().unwrap_or_default();
        for _ in 0..1_000 {
            self.repair();
            self.propose();
            self.step();
            let level = self
                .hosts
                .iter()
                .all(|host| host.node.as_ref().unwrap().committed().0 > before.0 + 5);
            if level && self.whole() {
                return;
            }
        }
        panic!("the group did not go on after {before}: {:?}", self.hosts);
    }

    /// Runs without new faults.
    pub fn run(&mut self, steps: usize) {
        for _ in 0..steps {
            self.propose();
            self.step();
        }
    }

    /// Gives the place of the host that leads now.
    pub fn leader(&self) -> Option<usize> {
        (0..self.hosts.len()).find(|n| self.leads(*n))
    }

    /// Loses a host's disk; it comes back blank.
    pub fn wipe(&mut self, n: usize) {
        let id = MemberId(self.next_id);
        self.next_id += 1;
        self.wiped += 1;
        self.hosts[n].disk = Disk { id, ..Disk::default() };
        self.start(n);
    }

    /// Tells whether the agreed members all vote and none is lost.
    pub fn whole(&self) -> bool {
        let ids: BTreeSet<MemberId> = self.hosts.iter().map(|host| host.disk.id).collect();
        let newest = self
            .agreed
            .values()
            .rev()
            .find_map(|(record, _)| match &record.payload {
                Payload::Members(members) => Some(members),
                _ => None,
            });
        let members = newest.unwrap_or(&self.first);
        members.voters().collect::<BTreeSet<_>>() == ids && members.len() == ids.len()
    }

    /// Asks the leader to put blank hosts in the place of the lost ones, and to let removed ones join again.
    pub fn repair(&mut self) {
        let Some(leader) = self.leader() else {
            return;
        };
        let now = self.local(leader);
        let ids: Vec<MemberId> = self.hosts.iter().map(|host| host.disk.id).collect();
        let node = self.hosts[leader].node.as_mut().unwrap();
        let members = node.members().clone();
        let lost = members.0.iter().find(|(id, _)| !ids.contains(id));
        let blank = ids.iter().find(|id| !members.0.contains_key(id));
        let Some(new) = blank else {
            return;
        };
        let begun = match lost {
            Some((old, member)) => node.replace(*old, *new, member.clone(), now),
            // Nobody is lost: a member that was removed is there again, with what it had on its disk.
            None => node.add(*new, self.first.0.values().next().unwrap().clone(), now),
        };
        self.repaired += usize::from(begun.is_ok());
    }

    /// Has the leader remove a member that it takes for gone, as long as three others vote.
    pub fn shrink(&mut self) {
        let Some(leader) = self.leader() else {
            return;
        };
        let now = self.local(leader);
        let own = self.hosts[leader].disk.id;
        let node = self.hosts[leader].node.as_mut().unwrap();
        let others: Vec<MemberId> = node.members().voters().filter(|id| *id != own).collect();
        if others.len() >= 3
            && let Some(gone) = others.choose(&mut self.random)
            && node.remove(*gone, now).is_ok()
        {
            self.removed += 1;
        }
    }

    /// Freezes a host; it wakes late and goes on as if nothing had been.
    pub fn freeze(&mut self, n: usize, ms: u64) {
        self.hosts[n].frozen_until = self.now + ms;
    }

    /// Cuts messages from one host to another.
    pub fn cut(&mut self, from: usize, to: usize) {
        self.cuts.insert((from, to));
    }

    /// Gives how many records were agreed on.
    pub fn count(&self) -> usize {
        self.agreed.len()
    }

    /// Gives in how many terms somebody led.
    pub fn terms(&self) -> usize {
        self.leaders.len()
    }

    fn fault(&mut self, rough: Rough) {
        let n = self.random.random_range(0..self.hosts.len());
        let other = self.random.random_range(0..self.hosts.len());
        match self.random.random_range(0..1_000) {
            0..=4 => self.hosts[n].node = None,
            5..=34 if self.hosts[n].node.is_none() => self.start(n),
            35..=38 => self.freeze(n, 3_000),
            39..=44 => self.cut(n, other),
            45..=59 => self.cuts.clear(),
            60..=64 if rough.lose_disks && self.whole() => self.wipe(n),
            65..=165 => self.repair(),
            166..=170 if rough.resize => self.shrink(),
            // Where nothing is written for a while, a node that missed a heartbeat is as good a candidate as any.
            _ if (self.now / QUIET_MS).is_multiple_of(2) => self.propose(),
            _ => {}
        }
    }

    fn propose(&mut self) {
        let n = self.random.random_range(0..self.hosts.len());
        let now = self.local(n);
        let commands = (0..self.random.random_range(1..4)).map(|_| self.random.random::<[u8; 8]>().to_vec());
        let commands = commands.collect();
        if let Some(node) = self.awake(n) {
            // A node that doesn't lead refuses, which is all that is wanted of it.
            let _ = node.propose(commands, now);
        }
    }

    fn step(&mut self) {
        self.now += STEP_MS;
        for n in 0..self.hosts.len() {
            let now = self.local(n);
            if let Some(node) = self.awake(n) {
                node.tick(now);
                self.work(n);
            }
        }
        let now = self.now;
        let mut due: Vec<Message> = self
            .wires
            .extract_if(.., |(at, _)| *at <= now)
            .map(|(_, message)| message)
            .collect();
        while !due.is_empty() {
            let at = self.random.random_range(0..due.len());
            self.deliver(due.swap_remove(at));
        }
        self.check_leaders();
    }

    fn deliver(&mut self, message: Message) {
        let Some(n) = self.place(message.to) else {
            return;
        };
        let now = self.local(n);
        if let Some(node) = self.awake(n) {
            node.receive(message, now);
            self.work(n);
        }
    }

    /// Carries out what a node wants, unless it dies before the sync.
    fn work(&mut self, n: usize) {
        let now = self.local(n);
        let ready = self.hosts[n].node.as_mut().unwrap().ready(now);
        ready.before_sync.iter().for_each(|message| self.send(n, message));
        if !self.calm && ready.writes() && self.random.random_range(0..1_000) == 0 {
            self.hosts[n].node = None;
            return;
        }
        let host = &mut self.hosts[n];
        host.disk.keep(&ready);
        if let Some(snapshot) = &ready.snapshot {
            host.chain = u64::from_le_bytes(snapshot.data[..].try_into().unwrap());
            let agreed = self.agreed.get(&snapshot.at.index).map_or(0, |(_, chain)| *chain);
            assert_eq!(host.chain, agreed, "the snapshot differs at {}", snapshot.at);
        }
        host.node.as_mut().unwrap().on_synced(ready.log_end, now);
        ready.after_sync.iter().for_each(|message| self.send(n, message));
        self.apply(n);
    }

    fn apply(&mut self, n: usize) {
        let host = &mut self.hosts[n];
        let node = host.node.as_mut().unwrap();
        let records = node.take_committed();
        for record in &records {
            host.chain = link(host.chain, record);
            let known = self
                .agreed
                .entry(record.at.index)
                .or_insert_with(|| (record.clone(), host.chain));
            assert_eq!(
                known,
                &(record.clone(), host.chain),
                "a committed record changed at {}",
                record.at
            );
        }
        if !records.is_empty() && self.random.random_range(0..20) == 0 {
            let snapshot = node.compact(host.chain.to_le_bytes().to_vec()).clone();
            host.disk.cover(&snapshot);
        }
    }

    fn send(&mut self, from: usize, message: &Message) {
        let Some(to) = self.place(message.to) else {
            return;
        };
        if self.cuts.contains(&(from, to)) || (!self.calm && self.random.random_range(0..20) == 0) {
            return;
        }
        let copies = if self.random.random_range(0..20) == 0 { 2 } else { 1 };
        for _ in 0..copies {
            let delay = match self.random.random_range(0..50) {
                0 if !self.calm => self.random.random_range(0..3_000),
                _ => self.random.random_range(0..30),
            };
            self.wires.push((self.now + delay, message.clone()));
        }
    }

    fn check_leaders(&mut self) {
        let mut leading = Vec::new();
        for n in 0..self.hosts.len() {
            let Some(node) = &self.hosts[n].node else {
                continue;
            };
            if node.role() == "leader" {
                let first = *self.leaders.entry(node.term()).or_insert(node.id());
                assert_eq!(first, node.id(), "two leaders in term {}", node.term());
                let began = *self.began.entry(node.term()).or_insert_with(|| node.committed());
                // A majority that holds a record of an older term may still be overruled by a leader that does not have it;
                // only a record of the own term settles what stands before it.
                if let Some((record, _)) = self.agreed.get(&node.committed()).filter(|_| node.committed() > began) {
                    assert_eq!(
                        record.at.term,
                        node.term(),
                        "committed through a record of an older term"
                    );
                }
            }
            // A frozen one is asked as well: it answers as it would on waking up.
            if node.leads(self.local(n)) {
                leading.push(n);
            }
        }
        assert!(leading.len() <= 1, "two nodes lead at once: {leading:?}");
    }

    fn start(&mut self, n: usize) {
        let seed = self.random.random();
        let host = &mut self.hosts[n];
        let disk = host.disk.clone();
        host.chain = disk.snapshot.data[..].try_into().map_or(0, u64::from_le_bytes);
        host.started = self.now;
        let restored = Restored {
            id: disk.id,
            hard_state: disk.hard,
            snapshot: disk.snapshot,
            records: disk.records,
        };
        host.node = Some(Node::new(restored, Timing::default(), seed, Tick::default()));
    }

    fn leads(&self, n: usize) -> bool {
        let host = &self.hosts[n];
        host.frozen_until <= self.now && host.node.as_ref().is_some_and(|node| node.leads(self.local(n)))
    }

    fn local(&self, n: usize) -> Tick {
        let host = &self.hosts[n];
        Tick(Duration::from_millis(self.now - host.started).mul_f64(host.rate))
    }

    fn awake(&mut self, n: usize) -> Option<&mut Node> {
        let host = &mut self.hosts[n];
        host.node.as_mut().filter(|_| host.frozen_until <= self.now)
    }

    fn place(&self, id: MemberId) -> Option<usize> {
        self.hosts.iter().position(|host| host.disk.id == id)
    }

    /// Picks one of the hosts that don't lead.
    pub fn follower(&mut self) -> usize {
        let others: Vec<usize> = (0..self.hosts.len()).filter(|n| !self.leads(*n)).collect();
        *others.choose(&mut self.random).unwrap()
    }
}

impl Disk {
    fn keep(&mut self, ready: &Ready) {
        if let Some(snapshot) = &ready.snapshot {
            self.cover(snapshot);
        }
        self.hard = ready.hard_state.unwrap_or(self.hard);
        for record in &ready.records {
            self.records.retain(|old| old.at.index < record.at.index);
            self.records.push(record.clone());
        }
    }

    fn cover(&mut self, snapshot: &Snapshot) {
        self.records.retain(|record| record.at.index > snapshot.at.index);
        self.snapshot = snapshot.clone();
    }
}

/// Folds a record into a number that depends on all records before it.
fn link(chain: u64, record: &Record) -> u64 {
    let bytes = match &record.payload {
        Payload::Command(bytes) => bytes.to_vec(),
        Payload::Empty => vec![0],
        Payload::Members(members) => vec![members.len() as u8],
    };
    let fold = |chain: u64, byte: &u8| (chain ^ u64::from(*byte)).wrapping_mul(0x0100_0000_01b3);
    bytes.iter().fold(chain.rotate_left(7) ^ record.at.term.0, fold)
}
