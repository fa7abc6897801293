//! Simulation of entry hosts that exchange demand and loans over a network that delays, loses, doubles and splits.

pub mod faults;

use std::collections::VecDeque;

use contract::CustomerLimits;
use policy::Tick;
use policy::limits::{CustomerShare, LimitAmounts, PeerDemand, owned_part};

/// Steps between two rounds of datagrams of one host.
const ROUND_STEPS: u64 = 5;

/// All entry hosts and the network between them.
pub struct Hosts {
    all: Vec<Host>,
    in_flight: VecDeque<(u64, usize, usize, Message)>,
    limits: CustomerLimits,
    step: u64,
    now: Tick,
    sides: u64,
    delay: u64,
    loss: u8,
    random: u64,
}

struct Host {
    share: CustomerShare,
    alive: bool,
    wanted: LimitAmounts,
    running: f64,
    incarnation: u64,
    sequence: u64,
    /// When each digest of this incarnation was sent, by sequence number.
    sent: Vec<Tick>,
    heard: Vec<Option<(u64, u64)>>,
}

#[derive(Clone, Copy)]
struct Message {
    incarnation: u64,
    sequence: u64,
    heard: Option<(u64, u64)>,
    reported: PeerDemand,
    lent: LimitAmounts,
}

impl Hosts {
    pub fn new(count: usize, limits: CustomerLimits, seed: u64) -> Self {
        let now = Tick::default();
        let host = |_| Host {
            share: CustomerShare::new(count == 1, now),
            alive: true,
            wanted: LimitAmounts::default(),
            running: 0.0,
            incarnation: 1,
            sequence: 0,
            sent: Vec::new(),
            heard: vec![None; count],
        };
        Self {
            all: (0..count).map(host).collect(),
            in_flight: VecDeque::new(),
            limits,
            step: 0,
            now,
            sides: 0,
            delay: 0,
            loss: 0,
            random: seed | 1,
        }
    }

    pub fn count(&self) -> usize {
        self.all.len()
    }

    pub fn limit(&self) -> f64 {
        self.limits.requests_per_s
    }

    pub fn now(&self) -> Tick {
        self.now
    }

    /// Sends the whole demand, in requests per second, to one host.
    pub fn move_callers(&mut self, to: usize, demand: f64) {
        for host in 0..self.all.len() {
            self.set_demand(host, if host == to { demand } else { 0.0 });
        }
    }

    /// Sets the demand of one host's callers, in requests per second.
    pub fn set_demand(&mut self, host: usize, demand: f64) {
        self.all[host].wanted = LimitAmounts::from([demand, demand * 40.0, demand / 5.0]);
    }

    /// Returns the demand of each host's callers, in requests per second.
    pub fn demands(&self) -> Vec<f64> {
        self.all.iter().map(|host| host.wanted.requests).collect()
    }

    /// Cuts off the hosts whose bit is set from the others; zero ends the split.
    pub fn split(&mut self, sides: u64) {
        self.sides = sides;
    }

    pub fn crash(&mut self, host: usize) {
        self.all[host].alive = false;
    }

    pub fn restart(&mut self, host: usize) {
        let count = self.all.len();
        let now = self.now;
        let host = &mut self.all[host];
        host.share = CustomerShare::new(count == 1, now);
        host.alive = true;
        host.incarnation += 1;
        host.sequence = 0;
        host.sent.clear();
        host.heard = vec![None; count];
    }

    /// Sets the largest delay of datagrams in steps, and the lost share in 256ths.
    pub fn network(&mut self, delay: u64, loss: u8) {
        self.delay = delay;
        self.loss = loss;
    }

    /// Returns what each host may admit, in requests per second.
    pub fn rates(&self) -> Vec<f64> {
        (0..self.all.len()).map(|host| self.usable_by(host).requests).collect()
    }

    /// Returns what all hosts together may admit: requests and tokens per second, and concurrent requests.
    pub fn usable(&self) -> [f64; 3] {
        let all = (0..self.all.len()).map(|host| self.usable_by(host).to_array());
        all.fold([0.0; 3], |sum, part| std::array::from_fn(|at| sum[at] + part[at]))
    }

    /// Simulates one step of `ms` milliseconds.
    pub fn step(&mut self, ms: u64) {
        self.step += 1;
        self.now = Tick::from_millis(self.step * ms);
        for from in 0..self.all.len() {
            if self.all[from].alive && (self.step + from as u64).is_multiple_of(ROUND_STEPS) {
                self.send(from);
            }
        }
        self.deliver();
    }

    fn usable_by(&self, host: usize) -> LimitAmounts {
        if !self.all[host].alive {
            return LimitAmounts::default();
        }
        let part = owned_part(&self.limits, self.all.len() as u32, host as u32);
        self.all[host].share.usable(part, self.now)
    }

    fn send(&mut self, from: usize) {
        let part = owned_part(&self.limits, self.all.len() as u32, from as u32);
        let host = &mut self.all[from];
        host.sequence += 1;
        host.sent.push(self.now);
        host.running = host.wanted.running.min(host.share.usable(part, self.now).running);
        for to in 0..self.all.len() {
            if to == from {
                continue;
            }
            let host = &mut self.all[from];
            let lent = host.share.grant(to as u32, part, host.wanted, self.now);
            let message = Message {
                incarnation: host.incarnation,
                sequence: host.sequence,
                heard: host.heard[to],
                reported: PeerDemand {
                    demand: host.wanted,
                    running: host.running,
                },
                lent,
            };
            for _ in 0..=u64::from(self.next_random().is_multiple_of(8)) {
                let delay = self.next_random() % (self.delay + 1);
                if self.next_random() % 256 >= u64::from(self.loss) {
                    self.in_flight.push_back((self.step + delay, from, to, message));
                }
            }
        }
    }

    fn deliver(&mut self) {
        let due = std::mem::take(&mut self.in_flight);
        for (at, from, to, message) in due {
            if at > self.step {
                self.in_flight.push_back((at, from, to, message));
            } else if (self.sides >> from) & 1 == (self.sides >> to) & 1 && self.all[to].alive {
                self.all[to].receive(from, &message, self.now);
            }
        }
    }

    fn next_random(&mut self) -> u64 {
        self.random = self
            .random
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1_442_695_040_888_963_407);
        self.random >> 33
    }
}

impl Host {
    fn receive(&mut self, from: usize, message: &Message, now: Tick) {
        let newest = (message.incarnation, message.sequence);
        if self.heard[from].is_some_and(|before| before >= newest) {
            return;
        }
        self.heard[from] = Some(newest);
        self.share.record_demand(from as u32, message.reported, now);
        if let Some((incarnation, sequence)) = message.heard
            && incarnation == self.incarnation
        {
            let sent_at = self.sent[sequence as usize - 1];
            self.share.borrow(from as u32, message.lent, sent_at);
        }
    }
}
