//! The router's monotonic clock.

use crate::routing::types::Micros;
use std::time::Duration;
use tokio::time::Instant;

/// Reading of the clock at the start of the process: larger than any span that is subtracted from it.
const INITIAL_READING: Micros = 1_000_000_000_000;

/// Microseconds of the monotonic clock. The zero has no meaning, and a step of the wall clock doesn't change it; start
/// times of model hosts are converted to it by [`crate::net::host_starts`].
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    origin: Instant,
    reading_at_origin: Micros,
}

impl Clock {
    /// Starts the clock.
    pub fn start() -> Self {
        Clock {
            origin: Instant::now(),
            reading_at_origin: INITIAL_READING,
        }
    }

    /// The current time.
    pub fn now(&self) -> Micros {
        self.reading_at_origin + self.origin.elapsed().as_micros() as Micros
    }

    /// The reading at a time of the runtime's clock, also one before the clock was started.
    pub fn reading(&self, at: Instant) -> Micros {
        let before = self.origin.saturating_duration_since(at);
        let after = at.saturating_duration_since(self.origin);
        self.reading_at_origin + after.as_micros() as Micros - before.as_micros() as Micros
    }

    /// Converts a time to the runtime's clock.
    pub fn instant(&self, at: Micros) -> Instant {
        self.origin + Duration::from_micros(at.saturating_sub(self.reading_at_origin))
    }

    /// Waits until `at`; with `None`, forever.
    pub async fn sleep_until(&self, at: Option<Micros>) {
        match at {
            Some(at) => tokio::time::sleep_until(self.instant(at)).await,
            None => std::future::pending().await,
        }
    }
}
