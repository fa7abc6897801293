//! Prediction of the work that is served before a request.

use super::customer::Customer;
use super::ticket::Ticket;
use super::{AGED_INTERVAL, FairQueue};

impl FairQueue {
    /// Returns the work, in tokens, that would be served before the request if it was queued now.
    ///
    /// This counts what waits: requests that arrive later may still go before a less urgent one.
    #[must_use]
    pub fn work_ahead(&self, ticket: &Ticket) -> f64 {
        let class = ticket.class(self.now);
        let own = self.customers.number(&ticket.customer);
        let own_customer = own.and_then(|own| self.customers.get(own));
        let own_earlier = own_customer.map_or(0.0, |own| own.work_before(class));
        let own_in_class = own_customer.map_or(0.0, |own| own.work_in_class(class, ticket));
        let own_work = own_earlier + own_in_class;
        let virtual_start = self.start_of(own_customer) + own_work / ticket.weight();
        let others = self.customers.before(class, virtual_start);
        let in_class = others
            .filter(|(number, _)| Some(*number) != own)
            .map(|(_, customer)| customer.work_until(class, virtual_start));
        let earlier = (self.customers.work_before(class) - own_earlier).max(0.0);
        self.with_aged(own_work + earlier + in_class.sum::<f64>())
    }

    /// Returns the virtual start time at which the next request of a customer is queued.
    pub(super) fn start_of(&self, customer: Option<&Customer>) -> f64 {
        customer.map_or(self.virtual_time, |customer| {
            // A customer that was idle starts at the current virtual time; otherwise it could save up a burst that
            // starves others.
            if customer.lanes.is_empty() {
                customer.start.max(self.virtual_time)
            } else {
                customer.start
            }
        })
    }

    /// Adds the work of later classes that starts earlier because it has waited for longest.
    fn with_aged(&self, ahead: f64) -> f64 {
        if self.customers.classes.len() < 2 {
            return ahead;
        }
        let all = self.customers.work();
        ahead + (ahead / f64::from(AGED_INTERVAL - 1)).min((all - ahead).max(0.0))
    }
}
