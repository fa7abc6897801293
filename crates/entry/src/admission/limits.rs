//! Customers' limits: what they ask for here, and the part of their limits that this host may admit.

use std::collections::HashMap;
use std::time::Duration;

use contract::{Config, Contract, CustomerId, Limits};
use policy::Tick;
use policy::limits::{Bucket, CustomerShare, DemandMeter, LimitAmounts, PeerDemand, owned_part};
use wire::digest::{self, Demand};
use xxhash_rust::xxh3::xxh3_64;

/// Shortest time after which a caller over the limit of running requests is asked to come back.
const SHORTEST: Duration = Duration::from_millis(100);
/// Hundredths of requests, in which digests count them.
const HUNDREDTHS: f64 = 100.0;

/// All customers' limits at this host.
#[derive(Debug)]
pub(super) struct Customers {
    hosts: u32,
    rank: u32,
    meters: HashMap<CustomerId, Meter>,
    keys: HashMap<u32, CustomerId>,
}

/// One customer's limits at this host.
#[derive(Debug)]
struct Meter {
    limits: Limits,
    share: CustomerShare,
    requests: Bucket,
    tokens: Bucket,
    asked: DemandMeter,
    work: DemandMeter,
    /// Requests a second that found the limit of running ones used up.
    turned: DemandMeter,
    running: u32,
}

impl Default for Customers {
    fn default() -> Self {
        Self {
            hosts: 1,
            rank: 0,
            meters: HashMap::new(),
            keys: HashMap::new(),
        }
    }
}

impl Customers {
    /// Takes a request from a customer's limits, or gives the time after which it is worth asking again.
    pub(super) fn take(
        &mut self,
        contract: &Contract,
        tokens: f64,
        next_place: Duration,
        now: Tick,
    ) -> Result<(), Duration> {
        let (hosts, rank) = (self.hosts, self.rank);
        if !self.meters.contains_key(&contract.customer) {
            self.add(contract, now);
        }
        let meter = self
            .meters
            .get_mut(&contract.customer)
            .expect("it was added just before");
        meter.limits = contract.limits;
        meter.take(owned_part(&contract.limits, hosts, rank), tokens, next_place, now)
    }

    /// Gives back what a request took that was not run.
    pub(super) fn give_back(&mut self, customer: &CustomerId, tokens: f64) {
        if let Some(meter) = self.meters.get_mut(customer) {
            meter.running = meter.running.saturating_sub(1);
            meter.requests.correct(1.0);
            meter.tokens.correct(tokens);
        }
    }

    /// Gives back tokens that were not used, or takes those that were used beyond.
    pub(super) fn correct(&mut self, customer: &CustomerId, tokens: f64) {
        if let Some(meter) = self.meters.get_mut(customer) {
            meter.tokens.correct(tokens);
        }
    }

    /// Notes that a request ended.
    pub(super) fn ended(&mut self, customer: &CustomerId) {
        if let Some(meter) = self.meters.get_mut(customer) {
            meter.running = meter.running.saturating_sub(1);
        }
    }

    /// Takes over contracts and the place of this host among all.
    ///
    /// Customers that have no callers here are known too: their part can be lent.
    pub(super) fn refresh(&mut self, config: &Config, hosts: u32, rank: u32, now: Tick) {
        (self.hosts, self.rank) = (hosts, rank);
        for contract in config.contracts.values() {
            match self.meters.get_mut(&contract.customer) {
                Some(meter) => meter.limits = contract.limits,
                None => self.add(contract, now),
            }
        }
        self.meters
            .retain(|customer, meter| meter.running > 0 || config.contracts.contains_key(customer));
        let meters = &self.meters;
        self.keys.retain(|_, customer| meters.contains_key(customer));
    }

    /// Gives what a peer is told, and lends it what it lacks and this host doesn't need.
    pub(super) fn tell(&mut self, peer: u32, now: Tick) -> Vec<Demand> {
        let (hosts, rank) = (self.hosts, self.rank);
        let rows = self.keys.iter().filter_map(|(key, customer)| {
            let meter = self.meters.get_mut(customer)?;
            let own = meter.wanted(now);
            let lent = meter
                .share
                .grant(peer, owned_part(&meter.limits, hosts, rank), own, now);
            let row = Demand {
                customer: *key,
                wanted: rounded_up(own),
                running: meter.running,
                lent: rounded_down(lent),
            };
            let idle = Demand {
                customer: *key,
                ..Demand::default()
            };
            (row != idle).then_some(row)
        });
        rows.collect()
    }

    /// Takes in what a peer tells; returns whether it lacks something that this host could lend.
    pub(super) fn hear(&mut self, peer: u32, rows: &[Demand], asked: Option<Tick>, now: Tick) -> bool {
        let mut lacks = false;
        for row in rows {
            let customer = self.keys.get(&row.customer);
            let Some(meter) = customer.and_then(|customer| self.meters.get_mut(customer)) else {
                continue;
            };
            let told = PeerDemand {
                wanted: read(&row.wanted),
                running: f64::from(row.running),
            };
            meter.share.record_demand(peer, told, now);
            if let Some(asked) = asked {
                meter.share.borrow(peer, read(&row.lent), asked);
            }
            let part = owned_part(&meter.limits, self.hosts, self.rank).to_array();
            let (own, its) = (meter.wanted(now).to_array(), told.wanted.to_array());
            lacks |= (0..part.len()).any(|at| its[at] > part[at] && own[at] < part[at]);
        }
        lacks
    }

    fn add(&mut self, contract: &Contract, now: Tick) {
        let part = owned_part(&contract.limits, self.hosts, self.rank);
        let meter = Meter {
            limits: contract.limits,
            share: CustomerShare::new(self.hosts <= 1, now),
            requests: Bucket::new(part.requests, now),
            tokens: Bucket::new(part.tokens, now),
            asked: DemandMeter::default(),
            work: DemandMeter::default(),
            turned: DemandMeter::default(),
            running: 0,
        };
        self.keys
            .insert(customer_key(&contract.customer), contract.customer.clone());
        self.meters.insert(contract.customer.clone(), meter);
    }
}

impl Meter {
    fn take(&mut self, part: LimitAmounts, tokens: f64, next_place: Duration, now: Tick) -> Result<(), Duration> {
        self.asked.add(1.0, now);
        self.work.add(tokens, now);
        let usable = self.share.usable(part, now);
        self.requests.set_rate(usable.requests, now);
        self.tokens.set_rate(usable.tokens, now);
        // Waiting requests count as running: they will be soon.
        if f64::from(self.running) + 1.0 > usable.running {
            self.turned.add(1.0, now);
            return Err(next_place.max(SHORTEST));
        }
        self.requests.take(1.0, now)?;
        if let Err(after) = self.tokens.take(tokens, now) {
            self.requests.correct(1.0);
            return Err(after);
        }
        self.running += 1;
        Ok(())
    }

    fn wanted(&self, now: Tick) -> LimitAmounts {
        LimitAmounts {
            requests: self.asked.rate(now),
            tokens: self.work.rate(now),
            running: (f64::from(self.running) + self.turned.rate(now)).round(),
        }
    }
}

/// Gives the key by which digests name a customer.
fn customer_key(customer: &CustomerId) -> u32 {
    xxh3_64(customer.as_str().as_bytes()) as u32
}

fn rounded_up(amounts: LimitAmounts) -> digest::Amounts {
    digest::Amounts {
        requests: (amounts.requests * HUNDREDTHS).round() as u32,
        tokens: amounts.tokens.round() as u32,
        running: amounts.running.ceil() as u32,
    }
}

/// Rounds what is lent down, so that the borrower never uses more than the lender counts.
fn rounded_down(amounts: LimitAmounts) -> digest::Amounts {
    digest::Amounts {
        requests: (amounts.requests * HUNDREDTHS).floor() as u32,
        tokens: amounts.tokens.floor() as u32,
        running: amounts.running.floor() as u32,
    }
}

/// Reads amounts of a digest.
fn read(amounts: &digest::Amounts) -> LimitAmounts {
    LimitAmounts {
        requests: f64::from(amounts.requests) / HUNDREDTHS,
        tokens: f64::from(amounts.tokens),
        running: f64::from(amounts.running),
    }
}
