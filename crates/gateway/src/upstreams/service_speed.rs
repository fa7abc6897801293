//! What is learnt of the speed of a service's upstreams together.

use std::cell::{Ref, RefCell, RefMut};
use std::rc::Rc;

use policy::pace::SpeedEstimate;
use policy::pace::moment::PaceTrust;

/// Speed of a service's upstreams, shared by all of them.
#[derive(Clone, Debug, Default)]
pub(super) struct ServiceSpeed {
    rates: Rc<RefCell<SpeedEstimate>>,
    trust: Rc<RefCell<PaceTrust>>,
}

impl ServiceSpeed {
    /// Returns the rates of its engines.
    pub(super) fn rates(&self) -> Ref<'_, SpeedEstimate> {
        self.rates.borrow()
    }

    /// Returns the rates of its engines, to be updated.
    pub(super) fn rates_mut(&self) -> RefMut<'_, SpeedEstimate> {
        self.rates.borrow_mut()
    }

    /// Returns what its momentary paces are worth.
    pub(super) fn trust(&self) -> Ref<'_, PaceTrust> {
        self.trust.borrow()
    }

    /// Returns what its momentary paces are worth, to be updated.
    pub(super) fn trust_mut(&self) -> RefMut<'_, PaceTrust> {
        self.trust.borrow_mut()
    }
}
