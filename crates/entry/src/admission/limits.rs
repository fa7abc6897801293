//! Customers' rate and concurrency limits: measures the demand at this host and admits requests up to this host's part
//! of each limit, plus what peers lend it.

use std::collections::HashMap;
use std::time::Duration;

use contract::{Config, Contract, CustomerId, CustomerLimits};
use policy::Tick;
use policy::limits::{Bucket, CustomerShare, DemandMeter, LimitAmounts, PeerDemand, owned_part};
use wire::digest::{self, Demand};
use xxhash_rust::xxh3::xxh3_64;

/// Shortest retry-after for a caller that is over its concurrency limit.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(100);
/// Digests carry request rates in hundredths of a request per second.
const REQUEST_SCALE: f64 = 100.0;

/// The limits of all customers at this host.
#[derive(Debug)]
pub(super) struct LimitTable {
    host_count: u32,
    host_rank: u32,
    meters: HashMap<CustomerId, CustomerMeter>,
    by_key: HashMap<u32, CustomerId>,
}

/// One customer's limits, demand and running requests at this host.
#[derive(Debug)]
struct CustomerMeter {
    limits: CustomerLimits,
    share: CustomerShare,
    requests: Bucket,
    tokens: Bucket,
    request_demand: DemandMeter,
    token_demand: DemandMeter,
    /// Requests a second that were rejected because the concurrency limit was used up.
    rejections: DemandMeter,
    running: u32,
}

impl Default for LimitTable {
    fn default() -> Self {
        Self {
            host_count: 1,
            host_rank: 0,
            meters: HashMap::new(),
            by_key: HashMap::new(),
        }
    }
}

impl LimitTable {
    /// Charges a request to a customer's limits.
    ///
    /// # Errors
    /// Returns the time after which a retry is worthwhile if a limit is used up.
    pub(super) fn charge(
        &mut self,
        contract: &Contract,
        tokens: f64,
        slot_wait: Duration,
        now: Tick,
    ) -> Result<(), Duration> {
        let (hosts, rank) = (self.host_count, self.host_rank);
        if !self.meters.contains_key(&contract.customer) {
            self.add_customer(contract, now);
        }
        let meter = self.meters.get_mut(&contract.customer).expect("inserted above");
        meter.limits = contract.limits;
        meter.charge(owned_part(&contract.limits, hosts, rank), tokens, slot_wait, now)
    }

    /// Refunds the charge of a request that was not run.
    pub(super) fn refund(&mut self, customer: &CustomerId, tokens: f64) {
        if let Some(meter) = self.meters.get_mut(customer) {
            meter.running = meter.running.saturating_sub(1);
            meter.requests.correct(1.0);
            meter.tokens.correct(tokens);
        }
    }

    /// Refunds tokens that were charged but not used; a negative amount charges tokens that were used beyond the
    /// estimate.
    pub(super) fn adjust_tokens(&mut self, customer: &CustomerId, tokens: f64) {
        if let Some(meter) = self.meters.get_mut(customer) {
            meter.tokens.correct(tokens);
        }
    }

    /// Releases the concurrency slot of a request that ended.
    pub(super) fn release(&mut self, customer: &CustomerId) {
        if let Some(meter) = self.meters.get_mut(customer) {
            meter.running = meter.running.saturating_sub(1);
        }
    }

    /// Applies the contracts of a configuration and the position of this host among all entry hosts.
    ///
    /// Customers without callers at this host are tracked too, because their part of the limits can be lent to peers.
    pub(super) fn apply_config(&mut self, config: &Config, hosts: u32, rank: u32, now: Tick) {
        (self.host_count, self.host_rank) = (hosts, rank);
        for contract in config.contracts.values() {
            match self.meters.get_mut(&contract.customer) {
                Some(meter) => meter.limits = contract.limits,
                None => self.add_customer(contract, now),
            }
        }
        self.meters
            .retain(|customer, meter| meter.running > 0 || config.contracts.contains_key(customer));
        let meters = &self.meters;
        self.by_key.retain(|_, customer| meters.contains_key(customer));
    }

    /// Returns the demand rows for a peer and lends the peer what it lacks and this host does not need.
    pub(super) fn demand_for(&mut self, peer: u32, now: Tick) -> Vec<Demand> {
        let (hosts, rank) = (self.host_count, self.host_rank);
        let rows = self.by_key.iter().filter_map(|(key, customer)| {
            let meter = self.meters.get_mut(customer)?;
            let own_demand = meter.demand(now);
            let lent = meter
                .share
                .grant(peer, owned_part(&meter.limits, hosts, rank), own_demand, now);
            let row = Demand {
                customer: *key,
                wanted: to_wire(own_demand),
                running: meter.running,
                lent: to_wire_floor(lent),
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
    pub(super) fn record_demand(&mut self, peer: u32, rows: &[Demand], demand_sent: Option<Tick>, now: Tick) -> bool {
        let mut needs_loan = false;
        for row in rows {
            let customer = self.by_key.get(&row.customer);
            let Some(meter) = customer.and_then(|customer| self.meters.get_mut(customer)) else {
                continue;
            };
            let peer_demand = PeerDemand {
                demand: from_wire(&row.wanted),
                running: f64::from(row.running),
            };
            meter.share.record_demand(peer, peer_demand, now);
            if let Some(demand_sent) = demand_sent {
                meter.share.borrow(peer, from_wire(&row.lent), demand_sent);
            }
            let part = owned_part(&meter.limits, self.host_count, self.host_rank).to_array();
            let (own_demand, peer_wanted) = (meter.demand(now).to_array(), peer_demand.demand.to_array());
            needs_loan |=
                (0..part.len()).any(|index| peer_wanted[index] > part[index] && own_demand[index] < part[index]);
        }
        needs_loan
    }

    fn add_customer(&mut self, contract: &Contract, now: Tick) {
        let part = owned_part(&contract.limits, self.host_count, self.host_rank);
        let meter = CustomerMeter {
            limits: contract.limits,
            share: CustomerShare::new(self.host_count <= 1, now),
            requests: Bucket::new(part.requests, now),
            tokens: Bucket::new(part.tokens, now),
            request_demand: DemandMeter::default(),
            token_demand: DemandMeter::default(),
            rejections: DemandMeter::default(),
            running: 0,
        };
        self.by_key
            .insert(digest_key(&contract.customer), contract.customer.clone());
        self.meters.insert(contract.customer.clone(), meter);
    }
}

impl CustomerMeter {
    fn charge(&mut self, part: LimitAmounts, tokens: f64, slot_wait: Duration, now: Tick) -> Result<(), Duration> {
        self.request_demand.add(1.0, now);
        self.token_demand.add(tokens, now);
        let usable = self.share.usable(part, now);
        self.requests.set_rate(usable.requests, now);
        self.tokens.set_rate(usable.tokens, now);
        // Requests that wait for a slot count as running, because they will run soon.
        if f64::from(self.running) + 1.0 > usable.running {
            self.rejections.add(1.0, now);
            return Err(slot_wait.max(MIN_RETRY_AFTER));
        }
        self.requests.take(1.0, now)?;
        if let Err(wait) = self.tokens.take(tokens, now) {
            self.requests.correct(1.0);
            return Err(wait);
        }
        self.running += 1;
        Ok(())
    }

    fn demand(&self, now: Tick) -> LimitAmounts {
        LimitAmounts {
            requests: self.request_demand.rate(now),
            tokens: self.token_demand.rate(now),
            running: (f64::from(self.running) + self.rejections.rate(now)).round(),
        }
    }
}

/// Returns the 32-bit hash by which digests identify a customer.
fn digest_key(customer: &CustomerId) -> u32 {
    xxh3_64(customer.as_str().as_bytes()) as u32
}

fn to_wire(amounts: LimitAmounts) -> digest::Amounts {
    digest::Amounts {
        requests: (amounts.requests * REQUEST_SCALE).round() as u32,
        tokens: amounts.tokens.round() as u32,
        running: amounts.running.ceil() as u32,
    }
}

/// Rounds loans down, so that the borrower never uses more than the lender deducts.
fn to_wire_floor(amounts: LimitAmounts) -> digest::Amounts {
    digest::Amounts {
        requests: (amounts.requests * REQUEST_SCALE).floor() as u32,
        tokens: amounts.tokens.floor() as u32,
        running: amounts.running.floor() as u32,
    }
}

/// Converts amounts from the units of a digest.
fn from_wire(amounts: &digest::Amounts) -> LimitAmounts {
    LimitAmounts {
        requests: f64::from(amounts.requests) / REQUEST_SCALE,
        tokens: f64::from(amounts.tokens),
        running: f64::from(amounts.running),
    }
}
