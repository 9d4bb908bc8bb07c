//! Shutdown of the process: when it was requested, and until when requests are admitted.
//!
//! A supervisor kills the process a fixed time after the signal, however long its requests take. A request admitted
//! late would be cut off, so admission ends a fixed time after the signal, on every connection and on both front
//! ends: the dispatcher accepts a request only with an [`AdmissionPermit`], which only [`Shutdown::permit_admission`]
//! issues.

use crate::dispatch::Clock;
use crate::routing::types::Micros;
use std::sync::{Arc, OnceLock};
use std::time::{Duration, Instant};

/// How long requests are admitted after the request to stop. Clients open new connections for up to 400 ms, and those
/// requests are to be served. A request that is complete within 700 ms may be cut off by SIGKILL, but a later one
/// must be answered by then, and the process may notice the signal 150 ms late.
pub const ADMISSION_PERIOD: Duration = Duration::from_millis(500);
/// How long new connections are accepted after the request to stop. Requests that arrive on them after
/// [`ADMISSION_PERIOD`] are rejected.
pub const ACCEPT_PERIOD: Duration = Duration::from_millis(700);

/// Time of the first request to stop, if any. Written by the signal thread, read by all others.
#[derive(Clone, Debug, Default)]
pub struct StopRequest(Arc<OnceLock<Instant>>);

impl StopRequest {
    /// Records a request to stop. Only the first one counts.
    pub fn record(&self, at: Instant) {
        let _ = self.0.set(at);
    }
}

/// Permission to dispatch one request.
#[derive(Debug)]
pub struct AdmissionPermit(());

/// A request was received too late in the shutdown to be admitted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the request was received completely {} ms after the signal to stop", .since_request.as_millis())]
pub struct AdmissionDenial {
    /// Time between the request to stop and the check.
    pub since_request: Duration,
}

/// Progress of the shutdown, for the parts that admit requests.
#[derive(Clone, Debug)]
pub struct Shutdown {
    request: StopRequest,
    clock: Clock,
}

impl Shutdown {
    /// Creates the shutdown that `request` starts.
    pub fn new(request: StopRequest, clock: Clock) -> Self {
        Shutdown { request, clock }
    }

    /// When the process was asked to stop; `None` if it was not.
    pub fn requested_at(&self) -> Option<Micros> {
        let at = self.request.0.get()?;
        Some(self.clock.reading((*at).into()))
    }

    /// Time since the request to stop; `None` if there was none.
    pub fn elapsed(&self) -> Option<Duration> {
        let elapsed = self.clock.now().saturating_sub(self.requested_at()?);
        Some(Duration::from_micros(elapsed))
    }

    /// Whether at least `period` has passed since the request to stop; `false` if there was none.
    pub fn has_lasted(&self, period: Duration) -> bool {
        self.elapsed().is_some_and(|elapsed| elapsed >= period)
    }

    /// Whether a request that has just been received completely may be dispatched. Reads the clock itself: a time
    /// read before the request's last byte arrived could be too early.
    ///
    /// # Errors
    /// The request was received too late to be answered before the process is killed.
    pub fn permit_admission(&self) -> Result<AdmissionPermit, AdmissionDenial> {
        match self.elapsed() {
            Some(since_request) if since_request >= ADMISSION_PERIOD => {
                Err(AdmissionDenial { since_request })
            }
            _ => Ok(AdmissionPermit(())),
        }
    }

    /// Waits until `period` after the request to stop; forever if there was none.
    pub async fn wait_until_elapsed(&self, period: Duration) {
        let at = self
            .requested_at()
            .map(|at| at + period.as_micros() as Micros);
        self.clock.sleep_until(at).await;
    }
}

#[cfg(test)]
mod tests;
