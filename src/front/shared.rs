//! State and limits that the client connections and both protocol front ends share.

use super::run_table::{RunDenial, RunName, RunOptions, RunRecord, RunTable, retention_of};
use crate::admin::metrics::Metrics;
use crate::counters::Counters;
use crate::dispatch::DispatcherHandle;
use crate::fleet::transport::policy::{
    AdmissionError, PolicyGate, PolicyPermit, non_repeatable_classes,
};
use crate::memory::Budget;
use crate::routing::types::{Micros, RequestClass};
use crate::shutdown::{AdmissionPermit, Shutdown};
use std::cell::RefCell;
use std::rc::Rc;

/// The maximum length of a request body, in bytes.
pub const MAX_BODY_BYTES: usize = 256 * 1024;
/// `Retry-After` advice for requests that are rejected because a capacity limit is reached.
pub const RETRY_AFTER_OVERLOAD: Micros = 500_000;
/// `Retry-After` advice from a router that may not serve (cut off from its fleet, or stopping). It is longer than
/// [`RETRY_AFTER_OVERLOAD`], so that clients try another router first.
pub const RETRY_AFTER_CUT_OFF: Micros = 1_000_000;

/// State shared by all client connections and front ends.
pub struct Shared {
    /// Submits requests to the dispatcher.
    pub dispatcher: DispatcherHandle,
    /// The request classes of the current configuration.
    pub classes: RefCell<Vec<RequestClass>>,
    /// Holds requests back while the fleet changes its policy; `None` without a fleet policy.
    pub gate: Option<Rc<PolicyGate>>,
    /// Whether this router is ready to serve (for readiness checks).
    pub ready: Box<dyn Fn() -> bool>,
    /// Whether new requests may be accepted. In a fleet this requires that the router's session lease is valid now.
    pub may_serve: Box<dyn Fn() -> bool>,
    /// The shutdown state of the process; it issues admission permits.
    pub shutdown: Shutdown,
    /// The process-wide counters.
    pub counters: Rc<Counters>,
    /// Request metrics per class, for operators.
    pub metrics: Rc<Metrics>,
    /// The memory that requests and their answers may hold, over all connections.
    pub body_budget: Budget,
    /// The requests that are in progress or may have run.
    pub runs: Rc<RunTable>,
}

impl Shared {
    /// Whether the current configuration defines this class.
    pub fn has_class(&self, name: &str) -> bool {
        self.classes.borrow().iter().any(|c| c.name == name)
    }

    /// Whether a request of this class that may have run must not be sent again under another claim.
    pub fn is_at_most_once(&self, name: &str) -> bool {
        non_repeatable_classes(&self.classes.borrow()).any(|c| c.name == name)
    }

    /// How long a client may come again with a request of this class; `None` if that is harmless.
    pub fn run_retention(&self, name: &str) -> Option<Micros> {
        let classes = self.classes.borrow();
        classes
            .iter()
            .find(|c| c.name == name)
            .and_then(retention_of)
    }

    /// Enters a request among those in progress, unless one of the same name is or may have run.
    ///
    /// # Errors
    /// The reason why the request must not be sent to a model host.
    pub fn begin_run(
        &self,
        name: RunName,
        options: RunOptions,
    ) -> Result<Rc<RunRecord>, RunDenial> {
        let begun = self
            .runs
            .begin(name.clone(), options, self.dispatcher.clock);
        begun
            .map(Rc::new)
            .inspect_err(|denial| self.note_denial(&name, *denial))
    }

    /// Like [`RunTable::find_earlier_run`], with a counter and a log line.
    pub fn find_earlier_run(&self, name: &RunName, is_resume: bool) -> Option<RunDenial> {
        let now = self.dispatcher.clock.now();
        let denial = self.runs.find_earlier_run(name, is_resume, now)?;
        self.note_denial(name, denial);
        Some(denial)
    }

    fn note_denial(&self, name: &RunName, denial: RunDenial) {
        match denial {
            RunDenial::InProgress => {}
            RunDenial::MayHaveRun | RunDenial::HasStarted => self.counters.runs_not_repeated.up(),
            RunDenial::Full => {
                self.counters.over_bound.up();
                self.counters.run_records_full.up();
            }
        }
        log::info!("request {name:?}: not started: {denial}");
    }

    /// Admits a request that has just been received in full.
    ///
    /// # Errors
    /// The `Retry-After` advice ([`RETRY_AFTER_CUT_OFF`]) if the process is shutting down and no longer admits requests.
    pub fn admit(&self, id: &str) -> Result<AdmissionPermit, Micros> {
        match self.shutdown.permit_admission() {
            Ok(permit) => {
                if let Some(elapsed) = self.shutdown.elapsed() {
                    log::info!(
                        "request {id}: admitted; received in full {} ms after the shutdown signal",
                        elapsed.as_millis()
                    );
                }
                Ok(permit)
            }
            Err(denial) => {
                self.counters.rejected_stopping.up();
                log::info!("request {id}: rejected: {denial}");
                Err(RETRY_AFTER_CUT_OFF)
            }
        }
    }

    /// Waits until the fleet's policy lets a request start. Keep the returned pass until the request is submitted to the
    /// dispatcher; it is `None` without a fleet policy.
    ///
    /// # Errors
    /// The `Retry-After` advice: the router may not act or lacks the current policy epoch ([`RETRY_AFTER_CUT_OFF`]), or a
    /// policy change does not finish before `deadline`, or too many requests wait for it ([`RETRY_AFTER_OVERLOAD`]).
    pub async fn begin(&self, deadline: Micros) -> Result<Option<PolicyPermit>, Micros> {
        let Some(gate) = &self.gate else {
            return Ok(None);
        };
        match gate.admit(deadline).await {
            Ok(pass) => Ok(Some(pass)),
            Err(AdmissionError::NotServing) => {
                self.counters.cut_off.up();
                Err(RETRY_AFTER_CUT_OFF)
            }
            Err(AdmissionError::TimedOut) => {
                self.counters.over_bound.up();
                Err(RETRY_AFTER_OVERLOAD)
            }
        }
    }
}
