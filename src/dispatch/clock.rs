//! Monotonic clock of the router, by which all deadlines and timers of the dispatcher are set.

use crate::routing::types::Micros;
use std::time::Duration;
use tokio::time::Instant;

/// Reading of the clock at the start of the process. Larger than any duration that is subtracted from a reading.
const INITIAL_READING: Micros = 1_000_000_000_000;

/// Monotonic clock with readings in microseconds. Its origin has no meaning, and steps of the wall clock don't affect
/// it. Start times of model hosts are converted to it by [`crate::net::host_starts`].
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    origin: Instant,
    reading_at_origin: Micros,
}

impl Clock {
    /// Starts a clock at the initial reading.
    pub fn start() -> Self {
        Clock {
            origin: Instant::now(),
            reading_at_origin: INITIAL_READING,
        }
    }

    /// Reads the current time in microseconds.
    pub fn now(&self) -> Micros {
        self.reading_at_origin + self.origin.elapsed().as_micros() as Micros
    }

    /// Converts a time of the tokio clock to a reading. The time may be before the start of this clock.
    pub fn reading(&self, at: Instant) -> Micros {
        let before = self.origin.saturating_duration_since(at);
        let after = at.saturating_duration_since(self.origin);
        self.reading_at_origin + after.as_micros() as Micros - before.as_micros() as Micros
    }

    /// Converts a reading to a time of the tokio clock.
    pub fn instant(&self, at: Micros) -> Instant {
        self.origin + Duration::from_micros(at.saturating_sub(self.reading_at_origin))
    }

    /// Sleeps until the reading `at`; with `None`, forever.
    pub async fn sleep_until(&self, at: Option<Micros>) {
        match at {
            Some(at) => tokio::time::sleep_until(self.instant(at)).await,
            None => std::future::pending().await,
        }
    }
}
