//! A model host's stream of events, let through whole event by whole event.
//!
//! A stream may come spoilt after any byte: a chunk whose size doesn't fit makes chunk heads look like data, and a
//! chunk that is said to be huge brings whatever follows. What is no event ends the stream here, before it is passed
//! on; the bytes of what is passed on are not touched.

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};

/// The longest event.
const MOST_EVENT: usize = 128 * 1024;

/// Why a stream can't go on.
#[derive(Debug, thiserror::Error)]
pub enum StreamError {
    /// It broke, or its framing can't be read.
    #[error("{0}")]
    Broken(#[from] hyper::Error),
    /// What came is no event.
    #[error("what came is no event")]
    NoEvent,
    /// An event without end.
    #[error("an event without end")]
    TooLong,
}

/// The events of one answer.
pub struct EventStream {
    body: Incoming,
    /// Whether the answer says that it is made of events; others are passed on as they come.
    checked: bool,
    gate: Gate,
}

impl EventStream {
    /// Over an answer's body.
    pub fn new(body: Incoming, checked: bool) -> Self {
        EventStream {
            body,
            checked,
            gate: Gate::default(),
        }
    }

    /// Whether the length of the rest is known beforehand.
    pub fn has_length(&self) -> bool {
        self.body.size_hint().exact().is_some()
    }

    /// The next events as they came, one or more whole ones; `None` at the stream's end. May be dropped and called
    /// again.
    ///
    /// # Errors
    /// The stream is spoilt from here on.
    pub async fn next(&mut self) -> Result<Option<Bytes>, StreamError> {
        while let Some(frame) = self.body.frame().await {
            let Ok(data) = frame?.into_data() else {
                continue;
            };
            let passed = if self.checked {
                self.gate.take(data)?
            } else {
                data
            };
            if !passed.is_empty() {
                return Ok(Some(passed));
            }
        }
        // The last event may lack the blank line behind it.
        let rest = self.gate.rest()?;
        Ok(Some(rest).filter(|r| !r.is_empty()))
    }
}

/// Holds back what is no whole event yet.
#[derive(Default)]
struct Gate {
    held: BytesMut,
    /// Bytes of `held` that have been looked at: whole lines.
    seen: usize,
}

impl Gate {
    fn take(&mut self, data: Bytes) -> Result<Bytes, StreamError> {
        self.held.extend_from_slice(&data);
        let mut whole = 0;
        while let Some(end) = self.held[self.seen..].iter().position(|b| *b == b'\n') {
            let line = &self.held[self.seen..self.seen + end];
            let line = line.strip_suffix(b"\r").unwrap_or(line);
            if !is_field(line) {
                return Err(StreamError::NoEvent);
            }
            self.seen += end + 1;
            if line.is_empty() {
                whole = self.seen;
            }
        }
        if self.held.len() - whole > MOST_EVENT {
            return Err(StreamError::TooLong);
        }
        self.seen -= whole;
        Ok(self.held.split_to(whole).freeze())
    }

    fn rest(&mut self) -> Result<Bytes, StreamError> {
        let rest = self.held.split().freeze();
        let last = &rest[std::mem::take(&mut self.seen)..];
        if is_field(last) {
            Ok(rest)
        } else {
            Err(StreamError::NoEvent)
        }
    }
}

/// Whether a line may stand in an event.
fn is_field(line: &[u8]) -> bool {
    let name = line.split(|b| *b == b':').next().unwrap_or_default();
    // A comment has no name before its colon, a blank line nothing at all.
    matches!(name, b"" | b"data" | b"event" | b"id" | b"retry") && std::str::from_utf8(line).is_ok()
}

#[cfg(test)]
mod tests;
