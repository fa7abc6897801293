//! Customers' rate and concurrency limits: measures the demand at this host and admits requests up to this host's part
//! of each limit, plus what peers lend it.

use std::collections::HashMap;
use std::time::Duration;

use contract::{Config, Contract, CustomerId, Limits};
use policy::Tick;
use policy::limits::{Bucket, CustomerShare, DemandMeter, LimitAmounts, PeerDemand, owned_part};
use wire::digest::{self, Demand};
use xxhash_rust::xxh3::xxh3_64;

/// Shortest retry-after for a caller that is over its concurrency limit.
const SHORTEST: Duration = Duration::from_millis(100);
/// Digests carry request rates in hundredths of a request per second.
const HUNDREDTHS: f64 = 100.0;

/// The limits of all customers at this host.
#[derive(Debug)]
pub(super) struct Customers {
    hosts: u32,
    rank: u32,
    meters: HashMap<CustomerId, Meter>,
    keys: HashMap<u32, CustomerId>,
}

/// One customer's limits, demand and running requests at this host.
#[derive(Debug)]
struct Meter {
    limits: Limits,
    share: CustomerShare,
    requests: Bucket,
    tokens: Bucket,
    asked: DemandMeter,
    work: DemandMeter,
    /// Requests a second that were rejected because the concurrency limit was used up.
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
    /// Charges a request to a customer's limits.
    ///
    /// # Errors
    /// Returns the time after which a retry is worthwhile if a limit is used up.
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

    /// Refunds the charge of a request that was not run.
    pub(super) fn give_back(&mut self, customer: &CustomerId, tokens: f64) {
        if let Some(meter) = self.meters.get_mut(customer) {
            meter.running = meter.running.saturating_sub(1);
            meter.requests.correct(1.0);
            meter.tokens.correct(tokens);
        }
    }

    /// Refunds tokens that were charged but not used; a negative amount charges tokens that were used beyond the
    /// estimate.
    pub(super) fn correct(&mut self, customer: &CustomerId, tokens: f64) {
        if let Some(meter) = self.meters.get_mut(customer) {
            meter.tokens.correct(tokens);
        }
    }

    /// Releases the concurrency slot of a request that ended.
    pub(super) fn ended(&mut self, customer: &CustomerId) {
        if let Some(meter) = self.meters.get_mut(customer) {
            meter.running = meter.running.saturating_sub(1);
        }
    }

    /// Applies the contracts of a configuration and the position of this host among all entry hosts.
    ///
    /// Customers without callers at this host are tracked too, because their part of the limits can be lent to peers.
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

    /// Returns the demand rows for a peer and lends the peer what it lacks and this host does not need.
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

    /// Records a peer's demand and its loans to this host. `asked` is the time at which this host sent the demand that
    /// the loans answer; without it the loans don't count.
    ///
    /// Returns whether the peer lacks something that this host could lend.
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
        // Requests that wait for a slot count as running, because they will run soon.
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

/// Returns the 32-bit hash by which digests identify a customer.
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

/// Rounds loans down, so that the borrower never uses more than the lender deducts.
fn rounded_down(amounts: LimitAmounts) -> digest::Amounts {
    digest::Amounts {
        requests: (amounts.requests * HUNDREDTHS).floor() as u32,
        tokens: amounts.tokens.floor() as u32,
        running: amounts.running.floor() as u32,
    }
}

/// Converts amounts from the units of a digest.
fn read(amounts: &digest::Amounts) -> LimitAmounts {
    LimitAmounts {
        requests: f64::from(amounts.requests) / HUNDREDTHS,
        tokens: f64::from(amounts.tokens),
        running: f64::from(amounts.running),
    }
}
