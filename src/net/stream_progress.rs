//! Decides until when a model host has to send the next event of a stream.
//!
//! Only what the client waits for moves the limit on: an event with data. Comments, blank lines and blocks without data do
//! not. A long event that is still being written gets more time while its data comes at a least rate, so that a slow host is
//! not cut off and a trickle is.

use std::time::Duration;
use tokio::time::Instant;

/// A stream that delivers no event for this long is considered broken, even if its connection looks open: a machine
/// that vanished closes nothing. A client counts its response as lost after 5 s without an event.
pub(super) const STREAM_IDLE_TIMEOUT: Duration = Duration::from_millis(4500);
/// The least rate, in bytes of data per second, at which an incomplete event is considered to be still being written.
const MIN_EVENT_RATE: usize = 256;
/// Data that was received faster than [`MIN_EVENT_RATE`] buys at most this much time.
const MAX_WRITE_PAUSE: Duration = Duration::from_secs(2);
/// An event that takes longer than this is not waited for, at whatever rate it comes.
const MAX_EVENT_DURATION: Duration = Duration::from_secs(30);
/// After a client that read slowly has taken everything, the model host, which could not write meanwhile, has up to this long
/// to go on.
const HOST_RESUME_GRACE: Duration = Duration::from_millis(500);

/// The progress of one stream.
#[derive(Debug)]
pub(super) struct StreamProgress {
    /// When the last event was received, or the model host got what it had waited for.
    last_event: Instant,
    /// Until when the incomplete event counts as being written.
    writing_until: Instant,
    /// Until when the model host may take up writing again.
    resuming_until: Instant,
}

impl StreamProgress {
    /// A stream whose first event was received at `now`.
    pub fn new(now: Instant) -> Self {
        StreamProgress {
            last_event: now,
            writing_until: now,
            resuming_until: now,
        }
    }

    /// An event with data was received, or the model host was given a tool's result.
    pub fn on_event(&mut self, now: Instant) {
        self.last_event = now;
        self.writing_until = now;
    }

    /// `bytes` of the data of an incomplete event were received.
    pub fn on_partial_data(&mut self, bytes: usize, now: Instant) {
        let paid_for = Duration::from_secs_f64(bytes as f64 / MIN_EVENT_RATE as f64);
        let until = self.writing_until.max(now) + paid_for;
        self.writing_until = until.min(now + MAX_WRITE_PAUSE);
    }

    /// The client has taken all that was received, and the model host is read again, which it was not for `pause`.
    pub fn on_reading_resumed(&mut self, pause: Duration, now: Instant) {
        self.resuming_until = now + pause.min(HOST_RESUME_GRACE);
    }

    /// When the stream is considered broken unless something of the above happens before.
    pub fn deadline(&self) -> Instant {
        let longest = self.last_event + MAX_EVENT_DURATION;
        let idle = self.last_event + STREAM_IDLE_TIMEOUT;
        let deadline = idle.max(self.writing_until.min(longest));
        deadline.max(self.resuming_until)
    }

    /// When the last event was received.
    pub fn last_event(&self) -> Instant {
        self.last_event
    }
}

#[cfg(test)]
mod tests;
