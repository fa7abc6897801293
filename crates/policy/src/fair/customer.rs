//! The waiting requests of one customer, and the customers in the orders that decisions need.

use std::cmp::Ordering;
use std::collections::{BTreeMap, BTreeSet};

use contract::CustomerId;

use super::sorted::SortedWork;
use super::ticket::{Class, DropOrder, Ticket, Waiting};

/// Virtual time or work for a weight, in tokens.
#[derive(Clone, Copy, Debug)]
pub(super) struct Amount(pub(super) f64);

/// The waiting requests of one customer.
#[derive(Debug)]
pub(super) struct Customer {
    name: CustomerId,
    /// Virtual start time of the next request, whatever its priority.
    pub(super) start: f64,
    pub(super) weight: f64,
    /// Waiting work, in tokens.
    pub(super) work: f64,
    /// The requests of each class; none is empty.
    pub(super) lanes: BTreeMap<Class, SortedWork>,
    drop_order: BTreeSet<DropOrder>,
}

/// All customers that wait, or that have used more than their share.
#[derive(Debug, Default)]
pub(super) struct Customers {
    next: u32,
    numbers: BTreeMap<CustomerId, u32>,
    table: BTreeMap<u32, Customer>,
    /// The customers with requests in each class, by virtual start time; no class is empty.
    pub(super) classes: BTreeMap<Class, BTreeSet<(Amount, u32)>>,
    /// The customers that wait, by work for their weight.
    by_work: BTreeSet<(Amount, u32)>,
    /// The customers without waiting requests, by virtual start time.
    idle: BTreeSet<(Amount, u32)>,
}

impl PartialEq for Amount {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other).is_eq()
    }
}

impl Eq for Amount {}

impl PartialOrd for Amount {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Amount {
    fn cmp(&self, other: &Self) -> Ordering {
        self.0.total_cmp(&other.0)
    }
}

impl Customer {
    const fn new(name: CustomerId, start: f64) -> Self {
        Self {
            name,
            start,
            weight: 1.0,
            work: 0.0,
            lanes: BTreeMap::new(),
            drop_order: BTreeSet::new(),
        }
    }

    fn add(&mut self, waiting: &Waiting) {
        let ticket = &waiting.ticket;
        let lane = self.lanes.entry(waiting.class()).or_default();
        lane.insert((ticket.target(), ticket.id), ticket.work());
        self.drop_order.insert(ticket.drop_order(waiting.late));
        self.work += ticket.work();
    }

    fn remove(&mut self, waiting: &Waiting) {
        let (ticket, class) = (&waiting.ticket, waiting.class());
        if let Some(lane) = self.lanes.get_mut(&class) {
            lane.remove((ticket.target(), ticket.id));
            if lane.is_empty() {
                self.lanes.remove(&class);
            }
        }
        self.drop_order.remove(&ticket.drop_order(waiting.late));
        // The sum is reset whenever it can be: rounding errors would add up otherwise.
        self.work = if self.lanes.is_empty() {
            0.0
        } else {
            self.work - ticket.work()
        };
    }

    /// Returns the waiting work for the customer's weight.
    fn relative_work(&self) -> Amount {
        Amount(self.work / self.weight)
    }

    /// Returns the request to drop first.
    pub(super) fn first_drop(&self) -> Option<DropOrder> {
        self.drop_order.last().copied()
    }

    /// Returns the work in classes before `class`.
    pub(super) fn work_before(&self, class: Class) -> f64 {
        self.lanes.range(..class).map(|(_, lane)| lane.total()).sum()
    }
}

impl Customers {
    pub(super) const fn new() -> Self {
        Self {
            next: 0,
            numbers: BTreeMap::new(),
            table: BTreeMap::new(),
            classes: BTreeMap::new(),
            by_work: BTreeSet::new(),
            idle: BTreeSet::new(),
        }
    }

    pub(super) fn get(&self, number: u32) -> Option<&Customer> {
        self.table.get(&number)
    }

    pub(super) fn number(&self, name: &CustomerId) -> Option<u32> {
        self.numbers.get(name).copied()
    }

    /// Returns the customers with waiting requests.
    pub(super) fn waiting(&self) -> impl Iterator<Item = (u32, &Customer)> {
        let all = self.table.iter().map(|(number, customer)| (*number, customer));
        all.filter(|(_, customer)| !customer.lanes.is_empty())
    }

    /// Returns the customer with the most waiting work for its weight.
    pub(super) fn heaviest(&self) -> Option<(u32, f64)> {
        self.by_work.last().map(|(work, number)| (*number, work.0))
    }

    /// Returns the number of a customer; one that is not known starts at `start`.
    pub(super) fn enter(&mut self, ticket: &Ticket, start: f64) -> u32 {
        if let Some(number) = self.number(&ticket.customer) {
            return number;
        }
        let number = self.next;
        // Long before 2^32 customers have come, the first ones are forgotten.
        self.next = self.next.wrapping_add(1);
        self.numbers.insert(ticket.customer.clone(), number);
        self.table.insert(number, Customer::new(ticket.customer.clone(), start));
        self.idle.insert((Amount(start), number));
        number
    }

    /// Adds a request to its customer.
    pub(super) fn add(&mut self, waiting: &Waiting) {
        self.update_lane(waiting, |customer| customer.add(waiting));
    }

    /// Removes a request from its customer.
    pub(super) fn remove(&mut self, waiting: &Waiting) {
        self.update_lane(waiting, |customer| customer.remove(waiting));
    }

    /// Changes the virtual start time and the weight of a customer.
    pub(super) fn set_start(&mut self, number: u32, start: f64, weight: f64) {
        let Some(customer) = self.table.get_mut(&number) else {
            return;
        };
        let (old, new) = ((Amount(customer.start), number), (Amount(start), number));
        let old_work = customer.relative_work();
        (customer.start, customer.weight) = (start, weight);
        for class in customer.lanes.keys() {
            if let Some(order) = self.classes.get_mut(class) {
                order.remove(&old);
                order.insert(new);
            }
        }
        if self.idle.remove(&old) {
            self.idle.insert(new);
        }
        if self.by_work.remove(&(old_work, number)) {
            self.by_work.insert((customer.relative_work(), number));
        }
    }

    /// Changes the lane of one request and puts the customer where it then belongs in each order.
    fn update_lane(&mut self, waiting: &Waiting, change: impl FnOnce(&mut Customer)) {
        let (number, class) = (waiting.customer, waiting.class());
        let Some(customer) = self.table.get_mut(&number) else {
            return;
        };
        let start = (Amount(customer.start), number);
        self.by_work.remove(&(customer.relative_work(), number));
        change(customer);
        let order = self.classes.entry(class).or_default();
        if customer.lanes.contains_key(&class) {
            order.insert(start);
        } else {
            order.remove(&start);
        }
        if order.is_empty() {
            self.classes.remove(&class);
        }
        if customer.lanes.is_empty() {
            self.idle.insert(start);
        } else {
            self.idle.remove(&start);
            self.by_work.insert((customer.relative_work(), number));
        }
    }

    /// Forgets customers without waiting requests that have used no more than their share.
    pub(super) fn forget_idle(&mut self, virtual_time: f64) {
        while let Some(&(start, number)) = self.idle.first()
            && start.0 <= virtual_time
        {
            self.idle.pop_first();
            if let Some(customer) = self.table.remove(&number) {
                self.numbers.remove(&customer.name);
            }
        }
    }
}
