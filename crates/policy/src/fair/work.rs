//! Prediction of the work that is served before a request.

use super::customer::Customer;
use super::sorted::SortedWork;
use super::ticket::{Class, Ticket};
use super::{AGED_INTERVAL, FairQueue};

impl FairQueue {
    /// Returns the work, in tokens, that would be served before the request if it was queued now.
    ///
    /// This counts what waits: requests that arrive later may still go before a less urgent one.
    #[must_use]
    pub fn work_ahead(&self, ticket: &Ticket) -> f64 {
        let class = ticket.class(self.now);
        let own = self.customers.number(&ticket.customer);
        let (own_work, virtual_start) = self.own_work(ticket, class);
        let others = self.customers.waiting().filter(|(number, _)| Some(*number) != own);
        let served = others.map(|(_, customer)| served_before(customer, class, virtual_start));
        self.with_aged(own_work + served.sum::<f64>())
    }

    /// Returns the customer's own work before the request, and the virtual start time of the request.
    fn own_work(&self, ticket: &Ticket, class: Class) -> (f64, f64) {
        let own = self.customers.number(&ticket.customer);
        let Some(own) = own.and_then(|own| self.customers.get(own)) else {
            return (0.0, self.virtual_time);
        };
        let start = if own.lanes.is_empty() {
            own.start.max(self.virtual_time)
        } else {
            own.start
        };
        let lane = own.lanes.get(&class);
        let in_lane = lane.map_or(0.0, |lane| lane.before((ticket.target(), ticket.id)));
        let work = own.work_before(class) + in_lane;
        (work, start + work / ticket.weight())
    }

    /// Adds the work of later classes that starts earlier because it has waited for longest.
    fn with_aged(&self, ahead: f64) -> f64 {
        if self.customers.classes.len() < 2 {
            return ahead;
        }
        let all: f64 = self.customers.waiting().map(|(_, customer)| customer.work).sum();
        ahead + (ahead / f64::from(AGED_INTERVAL - 1)).min((all - ahead).max(0.0))
    }
}

/// Returns the work of another customer that is served before a request of a class with a virtual start time.
fn served_before(customer: &Customer, class: Class, virtual_start: f64) -> f64 {
    let earlier = customer.work_before(class);
    let lane = customer.lanes.get(&class).map_or(0.0, SortedWork::total);
    let start = customer.start + earlier / customer.weight;
    earlier + ((virtual_start - start).max(0.0) * customer.weight).min(lane)
}
