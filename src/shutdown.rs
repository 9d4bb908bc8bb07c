//! The shutdown of the process: when it was asked for, and until when requests are admitted.
//!
//! Whoever stops the process kills it after a fixed time, which doesn't depend on how long its requests take. A request that
//! is admitted late would be cut, so admission ends a fixed time after the request to stop, on every connection and on both
//! fronts: the dispatcher takes a request only with an [`AdmissionPermit`], which only [`Shutdown::permit_admission`] makes.

use crate::dispatch::Clock;
use crate::routing::types::Micros;
use std::sync::{Arc, OnceLock};
use std::time::{Duration, Instant};

/// How long requests are admitted after the request to stop. New connections keep coming for up to 400 ms, and what comes
/// within 700 ms may be cut by SIGKILL; the process may notice the signal 150 ms late.
pub const ADMISSION_PERIOD: Duration = Duration::from_millis(500);
/// How long new connections are accepted after the request to stop. After [`ADMISSION_PERIOD`] their requests are rejected.
pub const ACCEPT_PERIOD: Duration = Duration::from_millis(700);

/// When the process was asked to stop, if it was. Written by the thread that waits for signals, read by all others.
#[derive(Clone, Debug, Default)]
pub struct StopRequest(Arc<OnceLock<Instant>>);

impl StopRequest {
    /// Notes a request to stop that came at this moment. The first one counts.
    pub fn record(&self, at: Instant) {
        let _ = self.0.set(at);
    }
}

/// Permission for one request to be dispatched.
#[derive(Debug)]
pub struct AdmissionPermit(());

/// Why a request is not admitted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("it came whole {} ms after the signal to stop", .since_request.as_millis())]
pub struct AdmissionDenial {
    /// How long the process had been stopping.
    pub since_request: Duration,
}

/// The shutdown, as the parts that take in requests see it.
#[derive(Clone, Debug)]
pub struct Shutdown {
    request: StopRequest,
    clock: Clock,
}

impl Shutdown {
    /// A shutdown that `request` begins.
    pub fn new(request: StopRequest, clock: Clock) -> Self {
        Shutdown { request, clock }
    }

    /// When the process was asked to stop. `None`: it was not.
    pub fn requested_at(&self) -> Option<Micros> {
        let at = self.request.0.get()?;
        Some(self.clock.reading((*at).into()))
    }

    /// How long the process has been stopping. `None`: it was not asked to.
    pub fn elapsed(&self) -> Option<Duration> {
        let elapsed = self.clock.now().saturating_sub(self.requested_at()?);
        Some(Duration::from_micros(elapsed))
    }

    /// Whether the process has been stopping for this span or longer.
    pub fn has_lasted(&self, span: Duration) -> bool {
        self.elapsed().is_some_and(|elapsed| elapsed >= span)
    }

    /// Whether a request that has just come whole may be dispatched. Reads the clock itself: a reading from before the
    /// request's last byte was read could be too early.
    ///
    /// # Errors
    /// It came too late to be answered before the process is killed.
    pub fn permit_admission(&self) -> Result<AdmissionPermit, AdmissionDenial> {
        match self.elapsed() {
            Some(since_request) if since_request >= ADMISSION_PERIOD => {
                Err(AdmissionDenial { since_request })
            }
            _ => Ok(AdmissionPermit(())),
        }
    }

    /// Waits until `span` after the request to stop; without one, forever.
    pub async fn wait_until(&self, span: Duration) {
        let at = self
            .requested_at()
            .map(|at| at + span.as_micros() as Micros);
        self.clock.reach(at).await;
    }
}

#[cfg(test)]
mod tests;
