//! Filters a model host's event stream, so that only complete and valid events are passed on.
//!
//! A stream may be corrupt from any byte on: a wrong chunk size makes chunk heads look like data, or makes whatever
//! follows part of a chunk. Bytes that form no event end the stream before they reach the client; the bytes of events
//! are passed on unchanged.

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};

/// Maximum length of an event.
const MAX_EVENT_BYTES: usize = 128 * 1024;

/// Why a stream of events was ended before its end.
#[derive(Debug, thiserror::Error)]
pub enum StreamError {
    /// The connection broke, or the HTTP framing is invalid.
    #[error("{0}")]
    Broken(#[from] hyper::Error),
    /// A line is not a valid field of an event.
    #[error("the stream contains a line that is not an event field")]
    NotAnEvent,
    /// An event is longer than the limit.
    #[error("an event exceeds {} bytes", MAX_EVENT_BYTES)]
    TooLong,
}

/// The events of one response.
pub struct EventStream {
    body: Incoming,
    /// Whether the response is declared to be an event stream. Other bodies are passed on unfiltered.
    is_checked: bool,
    filter: EventFilter,
}

impl EventStream {
    /// Reads events from `body`. If `is_checked` is false, the body is passed on unfiltered.
    pub fn new(body: Incoming, is_checked: bool) -> Self {
        EventStream {
            body,
            is_checked,
            filter: EventFilter::default(),
        }
    }

    /// Whether the length of the remaining body is known.
    pub fn has_length(&self) -> bool {
        self.body.size_hint().exact().is_some()
    }

    /// Returns the bytes of the next events, one or more complete ones; `None` at the end of the stream. Cancel safe.
    ///
    /// # Errors
    /// The stream is broken or corrupt, and must not be read any further.
    pub async fn next(&mut self) -> Result<Option<Bytes>, StreamError> {
        while let Some(frame) = self.body.frame().await {
            let Ok(data) = frame?.into_data() else {
                continue;
            };
            let events = if self.is_checked {
                self.filter.push(data)?
            } else {
                data
            };
            if !events.is_empty() {
                return Ok(Some(events));
            }
        }
        // The last event may lack its final blank line.
        let remainder = self.filter.remainder()?;
        Ok(Some(remainder).filter(|remainder| !remainder.is_empty()))
    }
}

/// Buffers bytes until they form complete events.
#[derive(Default)]
struct EventFilter {
    buffer: BytesMut,
    /// Number of bytes of `buffer` that were parsed: complete lines.
    parsed: usize,
}

impl EventFilter {
    fn push(&mut self, data: Bytes) -> Result<Bytes, StreamError> {
        self.buffer.extend_from_slice(&data);
        let mut complete = 0;
        while let Some(end) = self.buffer[self.parsed..]
            .iter()
            .position(|byte| *byte == b'\n')
        {
            let line = &self.buffer[self.parsed..self.parsed + end];
            let line = line.strip_suffix(b"\r").unwrap_or(line);
            if !is_field(line) {
                return Err(StreamError::NotAnEvent);
            }
            self.parsed += end + 1;
            if line.is_empty() {
                complete = self.parsed;
            }
        }
        if self.buffer.len() - complete > MAX_EVENT_BYTES {
            return Err(StreamError::TooLong);
        }
        self.parsed -= complete;
        Ok(self.buffer.split_to(complete).freeze())
    }

    fn remainder(&mut self) -> Result<Bytes, StreamError> {
        let remainder = self.buffer.split().freeze();
        let last_line = &remainder[std::mem::take(&mut self.parsed)..];
        if is_field(last_line) {
            Ok(remainder)
        } else {
            Err(StreamError::NotAnEvent)
        }
    }
}

/// Whether a line is valid in an event (server-sent events, WHATWG HTML).
fn is_field(line: &[u8]) -> bool {
    let name = line.split(|byte| *byte == b':').next().unwrap_or_default();
    // The name is empty for a comment and for a blank line.
    matches!(name, b"" | b"data" | b"event" | b"id" | b"retry") && std::str::from_utf8(line).is_ok()
}

#[cfg(test)]
mod tests;
