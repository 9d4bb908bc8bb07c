//! Decides until when a model host has to send the next event of a stream.
//!
//! Only what the client waits for moves the limit on: an event with data. Comments, blank lines and blocks without data do
//! not. An event that is still being written gets more time, so that a slow host is not cut off and a trickle is: while its data
//! comes at a least rate, or while the chunk that holds it comes fast enough to become whole.
//!
//! Events in a chunk move the limit on only as long as the chunk may become whole: it is complete soon after its first
//! event, or its stated size is not believed.

use super::host_socket::OpenFrame;
use super::http1_framing::OpenPart;
use std::time::Duration;
use tokio::time::Instant;

/// A stream that delivers no event for this long is considered broken, even if its connection looks open: a machine
/// that vanished closes nothing. A client counts its response as lost after 5 s without an event. A size line, a trailer
/// and a chunk with a complete event may take this long as well.
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
/// How long after its first event the rest of a chunk may take in any case.
const CHUNK_REST_GRACE: Duration = Duration::from_millis(500);
/// How long a chunk may take in a body that is not an event stream.
const MAX_UNCHECKED_CHUNK_DURATION: Duration = Duration::from_secs(30);

/// The first complete event of a chunk whose data is incomplete.
#[derive(Clone, Copy, Debug)]
struct ChunkEvent {
    /// When the first byte of the chunk was received.
    chunk_since: Instant,
    completed: Instant,
}

/// Time in which the incomplete chunk could not come any further, since its client did not read.
#[derive(Clone, Copy, Debug)]
struct ReadingPause {
    chunk_since: Instant,
    length: Duration,
}

/// The progress of one stream.
#[derive(Debug)]
pub(super) struct StreamProgress {
    /// When the last event was received, or the model host got what it had waited for.
    last_event: Instant,
    /// Until when the incomplete event counts as being written.
    writing_until: Instant,
    /// Until when the model host may take up writing again.
    resuming_until: Instant,
    chunk_event: Option<ChunkEvent>,
    reading_pause: Option<ReadingPause>,
}

impl StreamProgress {
    /// A stream whose first event was received at `now`.
    pub fn new(now: Instant) -> Self {
        StreamProgress {
            last_event: now,
            writing_until: now,
            resuming_until: now,
            chunk_event: None,
            reading_pause: None,
        }
    }

    /// An event with data was received, or the model host was given a tool's result.
    pub fn on_event(&mut self, now: Instant) {
        self.last_event = now;
        self.writing_until = now;
    }

    /// An event was received that lies in the incomplete chunk `frame`.
    pub fn on_event_in_chunk(&mut self, frame: OpenFrame, now: Instant) {
        let known = self.chunk_event;
        if known.is_none_or(|known| known.chunk_since != frame.since) {
            self.chunk_event = Some(ChunkEvent {
                chunk_since: frame.since,
                completed: now,
            });
        }
    }

    /// `bytes` of the data of an incomplete event were received; `frame` is the incomplete part of the framing.
    pub fn on_partial_data(&mut self, bytes: usize, frame: Option<OpenFrame>, now: Instant) {
        if bytes == 0 {
            return;
        }
        let longest = self.last_event + MAX_EVENT_DURATION;
        if frame.is_some_and(|frame| frame.completes_by(longest, now)) {
            self.writing_until = now + MAX_WRITE_PAUSE;
            return;
        }

        let paid_for = Duration::from_secs_f64(bytes as f64 / MIN_EVENT_RATE as f64);
        let until = self.writing_until.max(now) + paid_for;
        self.writing_until = until.min(now + MAX_WRITE_PAUSE);
    }

    /// The client has taken all that was received, and the model host is read again, which it was not for `pause`. `frame` is
    /// the incomplete part of the framing.
    pub fn on_reading_resumed(&mut self, pause: Duration, frame: Option<OpenFrame>, now: Instant) {
        self.resuming_until = now + pause.min(HOST_RESUME_GRACE);
        let Some(frame) = frame else { return };
        let paused = pause.min(now.saturating_duration_since(frame.since));
        self.reading_pause = Some(ReadingPause {
            chunk_since: frame.since,
            length: self.pause_of(frame) + paused,
        });
    }

    fn pause_of(&self, frame: OpenFrame) -> Duration {
        let pause = self.reading_pause;
        let pause = pause.filter(|pause| pause.chunk_since == frame.since);
        pause.map_or(Duration::ZERO, |pause| pause.length)
    }

    /// When the stream is considered broken unless something of the above happens before.
    pub fn deadline(&self) -> Instant {
        let idle = self.last_event + STREAM_IDLE_TIMEOUT;
        let longest = self.last_event + MAX_EVENT_DURATION;
        let deadline = idle.max(self.writing_until.min(longest));
        deadline.max(self.resuming_until)
    }

    /// When the stream is considered broken unless `frame`, the incomplete part of its framing, is complete. `None` while its
    /// first event is still being written, for which [`StreamProgress::deadline`] holds.
    pub fn frame_deadline(&self, frame: OpenFrame, is_event_stream: bool) -> Option<Instant> {
        let limit = match frame.part {
            OpenPart::SizeLine | OpenPart::Trailer => frame.since + STREAM_IDLE_TIMEOUT,
            OpenPart::Data { .. } if !is_event_stream => frame.since + MAX_UNCHECKED_CHUNK_DURATION,
            OpenPart::Data { .. } => {
                let event = self.chunk_event?;
                if event.chunk_since != frame.since {
                    return None;
                }
                let limit = frame.since + STREAM_IDLE_TIMEOUT;
                limit.max(event.completed + CHUNK_REST_GRACE)
            }
        };
        Some(limit + self.pause_of(frame))
    }

    /// When the last event was received.
    pub fn last_event(&self) -> Instant {
        self.last_event
    }
}

#[cfg(test)]
mod tests;
