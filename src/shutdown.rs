//! The shutdown of the process: when it was asked for.

use crate::dispatch::Clock;
use crate::routing::types::Micros;
use std::sync::{Arc, OnceLock};
use std::time::Instant;

/// When the process was asked to stop, if it was. Written by the thread that waits for signals, read by all others.
#[derive(Clone, Debug, Default)]
pub struct StopRequest(Arc<OnceLock<Instant>>);

impl StopRequest {
    /// Notes a request to stop. The first one counts.
    pub fn note(&self) {
        let _ = self.0.set(Instant::now());
    }
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
    pub fn elapsed(&self) -> Option<std::time::Duration> {
        let elapsed = self.clock.now().saturating_sub(self.requested_at()?);
        Some(std::time::Duration::from_micros(elapsed))
    }
}
