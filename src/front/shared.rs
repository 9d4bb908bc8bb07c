//! What the server's connections and the fronts share.

use crate::admin::metrics::Metrics;
use crate::counters::Counters;
use crate::dispatch::DispatcherHandle;
use crate::fleet::transport::policy::{
    AdmissionError, PolicyGate, PolicyPermit, non_repeatable_classes,
};
use crate::routing::types::{Micros, RequestClass};
use crate::shutdown::{AdmissionPermit, Shutdown};
use std::cell::{Cell, RefCell};
use std::collections::HashSet;
use std::rc::Rc;

/// No body is longer.
pub const MOST_BODY: usize = 256 * 1024;
/// Advice to clients that came when there was no room.
pub const COME_BACK: Micros = 500_000;
/// Advice to clients of a conductor that is cut off from its fleet: another one is better tried first.
pub const CUT_OFF: Micros = 1_000_000;

/// What all connections of the edge share.
pub struct Shared {
    /// The core.
    pub dispatcher: DispatcherHandle,
    /// Classes that the settings in force name.
    pub classes: RefCell<Vec<RequestClass>>,
    /// Lets requests begin under the fleet's policy, where there is one.
    pub gate: Option<Rc<PolicyGate>>,
    /// Whether the conductor can serve.
    pub ready: Box<dyn Fn() -> bool>,
    /// Whether new requests may be taken: in a fleet, whether the conductor's right to act stands at this moment.
    pub may_serve: Box<dyn Fn() -> bool>,
    /// The shutdown of the process.
    pub shutdown: Shutdown,
    /// Counters.
    pub counters: Rc<Counters>,
    /// How requests of each class ended, for operators.
    pub metrics: Rc<Metrics>,
    /// Bytes of bodies that may be held at once.
    pub budget: Cell<usize>,
    /// Ids in hand.
    pub ids: RefCell<HashSet<String>>,
}

impl Shared {
    /// Whether the settings in force name this class.
    pub fn knows(&self, class: &str) -> bool {
        self.classes.borrow().iter().any(|c| c.name == class)
    }

    /// Whether requests of this class must not run twice.
    pub fn is_once(&self, class: &str) -> bool {
        non_repeatable_classes(&self.classes.borrow()).any(|c| c.name == class)
    }

    /// Admits a request that has just come whole.
    ///
    /// # Errors
    /// The process stops, and the request came late: the advice when to come back. Another router is better tried first.
    pub fn admit(&self, id: &str) -> Result<AdmissionPermit, Micros> {
        match self.shutdown.permit_admission() {
            Ok(permit) => {
                if let Some(elapsed) = self.shutdown.elapsed() {
                    log::info!(
                        "request {id}: came whole {} ms after the signal to stop",
                        elapsed.as_millis()
                    );
                }
                Ok(permit)
            }
            Err(denial) => {
                self.counters.rejected_stopping.up();
                log::info!("request {id}: rejected: {denial}");
                Err(CUT_OFF)
            }
        }
    }

    /// Lets a request begin; hold on to the pass until the dispatcher has the request.
    ///
    /// # Errors
    /// It can't begin now: the advice when to come back.
    pub async fn begin(&self, deadline: Micros) -> Result<Option<PolicyPermit>, Micros> {
        let Some(gate) = &self.gate else {
            return Ok(None);
        };
        match gate.admit(deadline).await {
            Ok(pass) => Ok(Some(pass)),
            Err(AdmissionError::NotServing) => {
                self.counters.cut_off.up();
                Err(CUT_OFF)
            }
            Err(AdmissionError::TimedOut) => {
                self.counters.over_bound.up();
                Err(COME_BACK)
            }
        }
    }
}

/// Bytes of the budget, given back when dropped.
pub struct Held(Rc<Shared>, usize);

impl Held {
    /// None yet.
    pub fn new(shared: Rc<Shared>) -> Self {
        Held(shared, 0)
    }

    /// Takes more, as bytes come: a length that is only claimed takes nothing from others.
    pub fn grow(&mut self, bytes: usize) -> bool {
        let left = self.0.budget.get().checked_sub(bytes);
        if let Some(left) = left {
            self.0.budget.set(left);
            self.1 += bytes;
        }
        left.is_some()
    }

    /// Gives back what is more than this.
    pub fn shrink_to(&mut self, bytes: usize) {
        let over = self.1.saturating_sub(bytes);
        self.0.budget.set(self.0.budget.get() + over);
        self.1 -= over;
    }
}

impl Drop for Held {
    fn drop(&mut self) {
        self.0.budget.set(self.0.budget.get() + self.1);
    }
}

/// An id in hand, free again when dropped.
pub struct InHand(Rc<Shared>, String);

impl InHand {
    /// Over an id that has been entered.
    pub fn new(shared: Rc<Shared>, id: String) -> Self {
        InHand(shared, id)
    }
}

impl Drop for InHand {
    fn drop(&mut self) {
        self.0.ids.borrow_mut().remove(&self.1);
    }
}
