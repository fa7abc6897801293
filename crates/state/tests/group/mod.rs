//! A simulated group of Raft nodes, with a network and disks that fail.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use policy::Tick;
use quickcheck::Gen;
use rand::seq::{IndexedRandom, SliceRandom};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use state::membership::{Announced, AutoMembership};
use state::raft::{
    HardState, Index, Member, MemberId, Members, Message, Node, Payload, Position, Ready, Record, Restored, Snapshot,
    Term, Timing,
};

const STEP_MS: u64 = 20;
/// Longest delay of a message without faults.
const MAX_DELAY_MS: u64 = 30;
/// Length of the alternating phases with and without writes.
const PHASE_MS: u64 = 3_000;
/// Most steps without faults until there is a leader.
const ELECTION_STEPS: usize = 150;
/// Interval between two announcements of a node that is no member, and their lifetime.
const ANNOUNCE_MS: u64 = 100;
const ANNOUNCED_MS: u64 = 2_000;

/// What a disk holds when its process dies.
#[derive(Clone, Debug, Default)]
struct Disk {
    id: MemberId,
    hard: HardState,
    snapshot: Snapshot,
    records: Vec<Record>,
    committed: Index,
}

#[derive(Debug)]
struct Host {
    disk: Disk,
    node: Option<Node>,
    address: SocketAddr,
    membership: AutoMembership,
    /// Newest announcement from each address, with its time.
    heard: BTreeMap<SocketAddr, (u64, Announced)>,
    /// Local milliseconds per simulated one.
    rate: f64,
    started: u64,
    paused_until: u64,
    hash: u64,
}

/// Size and faults of a simulated history.
#[derive(Clone, Copy, Debug)]
pub struct History {
    pub hosts: usize,
    pub steps: usize,
    pub lose_disks: bool,
    /// Whether members are removed and join again.
    pub resize: bool,
}

/// The group, with every record that was ever committed in it.
#[derive(Debug)]
pub struct Group {
    random: ChaCha8Rng,
    now: u64,
    hosts: Vec<Host>,
    in_flight: Vec<(u64, Message)>,
    /// Announcements on their way, with the position of the receiver.
    hellos: Vec<(u64, usize, Announced)>,
    /// Whether leaders change the members by themselves.
    automatic: bool,
    /// Disks whose loss at once the group is to bear, if the leaders know.
    lost_disks: Option<usize>,
    cut_links: BTreeSet<(usize, usize)>,
    faultless: bool,
    next_id: u64,
    leaders: BTreeMap<Term, MemberId>,
    /// What the leader of a term had committed when it was first seen to lead.
    start_commit: BTreeMap<Term, Index>,
    committed: BTreeMap<Index, (Record, u64)>,
    first_members: Members,
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
            address: ([127, 0, 0, 1], n as u16).into(),
            membership: AutoMembership::default(),
            heard: BTreeMap::new(),
            rate: random.random_range(0.92..1.08),
            started: 0,
            paused_until: 0,
            hash: 0,
        };
        let hosts: Vec<Host> = (0..hosts).map(host).collect();
        let next_id = hosts.len() as u64 + 1;
        let mut group = Self {
            random,
            now: 0,
            hosts,
            in_flight: Vec::new(),
            hellos: Vec::new(),
            automatic: false,
            lost_disks: None,
            cut_links: BTreeSet::new(),
            faultless: true,
            next_id,
            leaders: BTreeMap::new(),
            start_commit: BTreeMap::new(),
            committed: BTreeMap::new(),
            first_members: members,
            wiped: 0,
            repaired: 0,
            removed: 0,
        };
        (0..group.hosts.len()).for_each(|n| group.start(n));
        group
    }

    /// Creates a group whose leaders change the members by themselves.
    pub fn automatic(seed: u64, hosts: usize) -> Self {
        let mut group = Self::new(seed, hosts);
        group.automatic = true;
        group
    }

    /// The same for leaders that know how many disks may be lost at once.
    pub fn bearing(seed: u64, hosts: usize, lost_disks: Option<usize>) -> Self {
        let mut group = Self::automatic(seed, hosts);
        group.lost_disks = lost_disks;
        for host in &mut group.hosts {
            host.membership = AutoMembership::new(lost_disks);
        }
        group
    }

    /// Runs a history of faults, then a phase without faults in which everything must work again.
    pub fn run_history(&mut self, history: History) {
        self.faultless = false;
        for _ in 0..history.steps {
            self.fault(history);
            self.step();
        }
        self.recover();
    }

    /// Ends all faults and checks that the group makes progress with nothing lost.
    pub fn recover(&mut self) {
        self.faultless = true;
        self.cut_links.clear();
        for n in 0..self.hosts.len() {
            self.hosts[n].paused_until = 0;
            if self.hosts[n].node.is_none() {
                self.start(n);
            }
        }
        let before = self.committed.keys().last().copied().unwrap_or_default();
        for _ in 0..1_000 {
            self.repair();
            self.propose();
            self.step();
            let caught_up = self
                .hosts
                .iter()
                .all(|host| host.node.as_ref().unwrap().committed().0 > before.0 + 5);
            if caught_up && self.is_repaired() {
                return;
            }
        }
        panic!("the group did not go on after {before}: {:?}", self.hosts);
    }

    /// Runs a number of steps without new faults.
    pub fn run(&mut self, steps: usize) {
        for _ in 0..steps {
            self.propose();
            self.step();
        }
    }

    /// Returns the position of the host that leads now.
    pub fn leader(&self) -> Option<usize> {
        (0..self.hosts.len()).find(|n| self.leads(*n))
    }

    /// Replaces a host's disk by a blank one.
    pub fn wipe(&mut self, n: usize) {
        let id = MemberId(self.next_id);
        self.next_id += 1;
        self.wiped += 1;
        self.hosts[n].disk = Disk { id, ..Disk::default() };
        self.start(n);
    }

    /// Kills a host; its disk is kept.
    pub fn kill(&mut self, n: usize) {
        self.hosts[n].node = None;
    }

    /// Takes a host down and its disk away; it may have another address when it starts again.
    pub fn lose(&mut self, n: usize, elsewhere: bool) {
        let id = MemberId(self.random.random());
        self.wiped += 1;
        let host = &mut self.hosts[n];
        host.node = None;
        host.disk = Disk { id, ..Disk::default() };
        if elsewhere {
            host.address = ([127, 0, 1, 1], self.wiped as u16).into();
        }
    }

    /// Starts a host unless it runs.
    pub fn start_again(&mut self, n: usize) {
        if self.hosts[n].node.is_none() {
            self.start(n);
        }
    }

    /// Has messages dropped and delayed until [`Group::settle`], if `faults` is set.
    pub fn set_faults(&mut self, faults: bool) {
        self.faultless = !faults;
    }

    /// Ends all faults, waits for a leader, and checks that all hosts are voters after a time.
    pub fn settle(&mut self, steps: usize) {
        self.faultless = true;
        self.cut_links.clear();
        let soon = self.now + MAX_DELAY_MS;
        self.in_flight.retain(|(at, _)| *at <= soon);
        for n in 0..self.hosts.len() {
            self.hosts[n].paused_until = 0;
            self.start_again(n);
        }
        for _ in 0..ELECTION_STEPS {
            self.run(usize::from(self.leader().is_none()));
        }
        self.run(steps);
        let (ids, members) = (self.ids(), self.committed_members());
        assert!(
            ids.iter().all(|id| members.votes(*id)),
            "not all of {ids:?} are voters: {members:?}"
        );
    }

    fn ids(&self) -> BTreeSet<MemberId> {
        self.hosts.iter().map(|host| host.disk.id).collect()
    }

    /// Returns a random number below a limit.
    pub fn draw(&mut self, limit: usize) -> usize {
        self.random.random_range(0..limit)
    }

    /// Returns the positions of all hosts in a random order.
    pub fn shuffled(&mut self) -> Vec<usize> {
        let mut all: Vec<usize> = (0..self.hosts.len()).collect();
        all.shuffle(&mut self.random);
        all
    }

    /// Returns whether the committed members are all voters and are exactly the hosts' current disks.
    pub fn is_repaired(&self) -> bool {
        let (ids, members) = (self.ids(), self.committed_members());
        members.voters().collect::<BTreeSet<_>>() == ids && members.len() == ids.len()
    }

    fn committed_members(&self) -> &Members {
        let newest = self
            .committed
            .values()
            .rev()
            .find_map(|(record, _)| match &record.payload {
                Payload::Members(members) => Some(members),
                _ => None,
            });
        newest.unwrap_or(&self.first_members)
    }

    /// Asks the leader to replace a lost member by a blank host, or to add a removed member again.
    pub fn repair(&mut self) {
        if self.automatic {
            return;
        }
        let Some(leader) = self.leader() else {
            return;
        };
        let now = self.local_time(leader);
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
            // No member is lost: a removed one joins again, with the content of its disk.
            None => node.add(*new, self.first_members.0.values().next().unwrap().clone(), now),
        };
        self.repaired += usize::from(begun.is_ok());
    }

    /// Makes the leader remove a member, if there are at least three other voters.
    pub fn remove_member(&mut self) {
        let Some(leader) = self.leader() else {
            return;
        };
        let now = self.local_time(leader);
        let own = self.hosts[leader].disk.id;
        let node = self.hosts[leader].node.as_mut().unwrap();
        let others: Vec<MemberId> = node.members().voters().filter(|id| *id != own).collect();
        if others.len() >= 3
            && let Some(removed_id) = others.choose(&mut self.random)
            && node.remove(*removed_id, now).is_ok()
        {
            self.removed += 1;
        }
    }

    /// Pauses a host for a time, after which it continues as if none had passed.
    pub fn pause(&mut self, n: usize, ms: u64) {
        self.hosts[n].paused_until = self.now + ms;
    }

    /// Drops all messages from one host to another from now on.
    pub fn cut_link(&mut self, from: usize, to: usize) {
        self.cut_links.insert((from, to));
    }

    /// Returns the number of committed records.
    pub fn count(&self) -> usize {
        self.committed.len()
    }

    /// Returns the number of terms that had a leader.
    pub fn terms(&self) -> usize {
        self.leaders.len()
    }

    /// Causes a random fault, repair or write.
    fn fault(&mut self, history: History) {
        let n = self.random.random_range(0..self.hosts.len());
        let other = self.random.random_range(0..self.hosts.len());
        match self.random.random_range(0..1_000) {
            0..=4 => self.hosts[n].node = None,
            5..=34 if self.hosts[n].node.is_none() => self.start(n),
            35..=38 => self.pause(n, 3_000),
            39..=44 => self.cut_link(n, other),
            45..=59 => self.cut_links.clear(),
            60..=64 if history.lose_disks && self.is_repaired() => self.wipe(n),
            65..=165 => self.repair(),
            166..=170 if history.resize => self.remove_member(),
            // In a phase without writes, a node that missed a heartbeat has the same log as the others and may win.
            _ if (self.now / PHASE_MS).is_multiple_of(2) => self.propose(),
            _ => {}
        }
    }

    fn propose(&mut self) {
        let n = self.random.random_range(0..self.hosts.len());
        let now = self.local_time(n);
        let commands = (0..self.random.random_range(1..4)).map(|_| self.random.random::<[u8; 8]>().to_vec());
        let commands = commands.collect();
        if let Some(node) = self.running(n) {
            // A node that does not lead refuses the commands.
            let _ = node.propose(commands, now);
        }
    }

    fn step(&mut self) {
        self.now += STEP_MS;
        for n in 0..self.hosts.len() {
            let now = self.local_time(n);
            if let Some(node) = self.running(n) {
                node.tick(now);
                self.maintain_members(n);
                self.carry_out(n);
            }
        }
        let now = self.now;
        for (_, n, hello) in self.hellos.extract_if(.., |(at, ..)| *at <= now) {
            let host = &mut self.hosts[n];
            if host.node.is_some() && host.paused_until <= now {
                host.heard.insert(hello.address, (now, hello));
            }
        }
        let mut due: Vec<Message> = self
            .in_flight
            .extract_if(.., |(at, _)| *at <= now)
            .map(|(_, message)| message)
            .collect();
        while !due.is_empty() {
            let at = self.random.random_range(0..due.len());
            self.deliver(due.swap_remove(at));
        }
        self.check_leaders();
    }

    /// Has a host announce itself if it is no member, and change the members if it leads.
    fn maintain_members(&mut self, n: usize) {
        if !self.automatic {
            return;
        }
        let (now, local) = (self.now, self.local_time(n));
        let host = &mut self.hosts[n];
        host.heard.retain(|_, (at, _)| now - *at < ANNOUNCED_MS);
        let heard: Vec<Announced> = host.heard.values().map(|(_, hello)| hello.clone()).collect();
        let node = host.node.as_mut().unwrap();
        host.membership.maintain(node, &heard, local);
        let id = host.disk.id;
        let announced = Announced {
            id,
            node: format!("n{n}").into(),
            address: host.address,
        };
        let leader = self.leader().and_then(|n| self.hosts[n].node.as_ref());
        let joins = leader.is_some_and(|node| !node.members().0.contains_key(&id));
        if joins && self.now.is_multiple_of(ANNOUNCE_MS) {
            for to in (0..self.hosts.len()).filter(|to| *to != n) {
                if let Some(delay) = self.delay(n, to) {
                    self.hellos.push((now + delay, to, announced.clone()));
                }
            }
        }
    }

    fn deliver(&mut self, message: Message) {
        let Some(n) = self.position(message.to) else {
            return;
        };
        let now = self.local_time(n);
        if let Some(node) = self.running(n) {
            node.receive(message, now);
            self.carry_out(n);
        }
    }

    /// Carries out the writes and messages of a node, which may die before the sync.
    fn carry_out(&mut self, n: usize) {
        let now = self.local_time(n);
        let ready = self.hosts[n].node.as_mut().unwrap().ready(now);
        ready.before_sync.iter().for_each(|message| self.send(n, message));
        if !self.faultless && ready.writes() && self.random.random_range(0..1_000) == 0 {
            self.hosts[n].node = None;
            return;
        }
        let host = &mut self.hosts[n];
        host.disk.write(&ready);
        if let Some(snapshot) = &ready.snapshot {
            host.hash = u64::from_le_bytes(snapshot.data[..].try_into().unwrap());
            let committed = self.committed.get(&snapshot.at.index).map_or(0, |(_, hash)| *hash);
            assert_eq!(host.hash, committed, "the snapshot differs at {}", snapshot.at);
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
            host.hash = extend_hash(host.hash, record);
            let known = self
                .committed
                .entry(record.at.index)
                .or_insert_with(|| (record.clone(), host.hash));
            assert_eq!(
                known,
                &(record.clone(), host.hash),
                "a committed record changed at {}",
                record.at
            );
        }
        if !records.is_empty() && self.random.random_range(0..20) == 0 {
            let snapshot = node.compact(host.hash.to_le_bytes().to_vec()).clone();
            host.disk.set_snapshot(&snapshot);
        }
    }

    fn send(&mut self, from: usize, message: &Message) {
        let Some(to) = self.position(message.to) else {
            return;
        };
        let Some(first) = self.delay(from, to) else {
            return;
        };
        self.in_flight.push((self.now + first, message.clone()));
        if self.random.random_range(0..20) == 0
            && let Some(second) = self.delay(from, to)
        {
            self.in_flight.push((self.now + second, message.clone()));
        }
    }

    /// Returns how long a message is on its way; `None` if it is lost.
    fn delay(&mut self, from: usize, to: usize) -> Option<u64> {
        if self.cut_links.contains(&(from, to)) || (!self.faultless && self.random.random_range(0..20) == 0) {
            return None;
        }
        Some(match self.random.random_range(0..50) {
            0 if !self.faultless => self.random.random_range(0..3_000),
            _ => self.random.random_range(0..MAX_DELAY_MS),
        })
    }

    /// Checks that no term has two leaders, no two nodes lead now, and each commit goes through a record of its term.
    fn check_leaders(&mut self) {
        let mut leading = Vec::new();
        for n in 0..self.hosts.len() {
            let Some(node) = &self.hosts[n].node else {
                continue;
            };
            if node.role() == "leader" {
                let first = *self.leaders.entry(node.term()).or_insert(node.id());
                assert_eq!(first, node.id(), "two leaders in term {}", node.term());
                let start_commit = *self.start_commit.entry(node.term()).or_insert_with(|| node.committed());
                // A record of an older term on a majority may still be replaced by a leader that lacks it; only a
                // record of the leader's own term commits the records before it.
                if let Some((record, _)) = self
                    .committed
                    .get(&node.committed())
                    .filter(|_| node.committed() > start_commit)
                {
                    assert_eq!(
                        record.at.term,
                        node.term(),
                        "committed through a record of an older term"
                    );
                }
            }
            // Paused nodes are checked as well: they answer as they would when they resume.
            if node.leads(self.local_time(n)) {
                leading.push(n);
            }
        }
        assert!(leading.len() <= 1, "two nodes lead at once: {leading:?}");
    }

    fn start(&mut self, n: usize) {
        let seed = self.random.random();
        let host = &mut self.hosts[n];
        let disk = host.disk.clone();
        host.hash = disk.snapshot.data[..].try_into().map_or(0, u64::from_le_bytes);
        host.started = self.now;
        host.membership = AutoMembership::new(self.lost_disks);
        host.heard.clear();
        let restored = Restored {
            id: disk.id,
            hard_state: disk.hard,
            snapshot: disk.snapshot,
            records: disk.records,
            committed: disk.committed,
        };
        host.node = Some(Node::new(restored, Timing::default(), seed, Tick::default()));
    }

    fn leads(&self, n: usize) -> bool {
        let host = &self.hosts[n];
        host.paused_until <= self.now && host.node.as_ref().is_some_and(|node| node.leads(self.local_time(n)))
    }

    fn local_time(&self, n: usize) -> Tick {
        let host = &self.hosts[n];
        Tick(Duration::from_millis(self.now - host.started).mul_f64(host.rate))
    }

    /// Returns a host's node if it runs and is not paused.
    fn running(&mut self, n: usize) -> Option<&mut Node> {
        let host = &mut self.hosts[n];
        host.node.as_mut().filter(|_| host.paused_until <= self.now)
    }

    fn position(&self, id: MemberId) -> Option<usize> {
        self.hosts.iter().position(|host| host.disk.id == id)
    }

    /// Returns a random host that does not lead.
    pub fn follower(&mut self) -> usize {
        let others: Vec<usize> = (0..self.hosts.len()).filter(|n| !self.leads(*n)).collect();
        *others.choose(&mut self.random).unwrap()
    }
}

impl Disk {
    fn write(&mut self, ready: &Ready) {
        if let Some(snapshot) = &ready.snapshot {
            self.set_snapshot(snapshot);
        }
        self.hard = ready.hard_state.unwrap_or(self.hard);
        self.committed = self.committed.max(ready.committed);
        for record in &ready.records {
            self.records.retain(|old| old.at.index < record.at.index);
            self.records.push(record.clone());
        }
    }

    fn set_snapshot(&mut self, snapshot: &Snapshot) {
        self.records.retain(|record| record.at.index > snapshot.at.index);
        self.snapshot = snapshot.clone();
    }
}

/// Extends a hash of all records so far by one record.
fn extend_hash(hash: u64, record: &Record) -> u64 {
    let bytes = match &record.payload {
        Payload::Command(bytes) => bytes.to_vec(),
        Payload::Empty => vec![0],
        Payload::Members(members) => vec![members.len() as u8],
    };
    let fold = |hash: u64, byte: &u8| (hash ^ u64::from(*byte)).wrapping_mul(0x0100_0000_01b3);
    bytes.iter().fold(hash.rotate_left(7) ^ record.at.term.0, fold)
}

/// A property over seeds that is not shrunk, since a smaller seed is no simpler history.
pub struct Histories<F>(pub F);

impl<F: Fn(u64) -> bool + 'static> quickcheck::Testable for Histories<F> {
    fn result(&self, choice: &mut Gen) -> quickcheck::TestResult {
        let seed = quickcheck::Arbitrary::arbitrary(choice);
        quickcheck::TestResult::from_bool((self.0)(seed))
    }
}
