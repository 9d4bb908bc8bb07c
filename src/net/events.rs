//! Filters a model host's event stream, so that only complete and valid events are passed on.
//!
//! A stream may be corrupt from any byte on: a wrong chunk size makes chunk heads look like data, or makes whatever
//! follows part of a chunk. Bytes that form no event end the stream before they reach the client; the bytes of events
//! are passed on unchanged.

use super::event_memory::{EventMemory, LongEvent};
use super::stream::MAX_READ_BYTES;
use crate::memory::{Budget, Buffer};
use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use std::rc::Rc;

/// Maximum length of an event.
const MAX_EVENT_BYTES: usize = 128 * 1024;
/// Maximum length of the incomplete event of a stream that holds no memory for a long one.
const MAX_SHORT_EVENT_BYTES: usize = 8 * 1024;
/// The memory of a stream with a long event: one of the maximum length, and the bytes that are read with its end.
const LONG_EVENT_BYTES: usize = MAX_EVENT_BYTES + MAX_READ_BYTES;

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
    /// An event was not completed for long, and its memory is needed for others.
    #[error("an event stays incomplete, and memory is short")]
    Revoked,
}

/// The events of one response.
pub struct EventStream {
    body: Incoming,
    /// Whether the response is declared to be an event stream. Other bodies are passed on unfiltered.
    is_checked: bool,
    filter: EventFilter,
    /// Held while the incomplete event is long. Dropped after the filter, whose memory has been returned by then.
    long_event: Option<LongEvent>,
    memory: Rc<EventMemory>,
}

impl EventStream {
    /// Reads events from `body`. If `is_checked` is false, the body is passed on unfiltered.
    pub fn new(body: Incoming, is_checked: bool, memory: Rc<EventMemory>) -> Self {
        EventStream {
            body,
            is_checked,
            filter: EventFilter::new(memory.budget()),
            long_event: None,
            memory,
        }
    }

    /// Whether the length of the remaining body is known.
    pub fn has_length(&self) -> bool {
        self.body.size_hint().exact().is_some()
    }

    /// Returns the bytes of the next events, one or more complete ones; `None` at the end of the stream. The bytes count
    /// against the memory budget until they are dropped. Cancel safe.
    ///
    /// # Errors
    /// The stream is broken or corrupt, and must not be read any further.
    pub async fn next(&mut self) -> Result<Option<Bytes>, StreamError> {
        while let Some(data) = self.next_data().await? {
            let events = if self.is_checked {
                self.filter.push(&data)?
            } else {
                Buffer::overdrawn(data.to_vec(), self.memory.budget()).freeze()
            };
            if self.filter.is_short() {
                self.long_event = None;
            }
            if !events.is_empty() {
                return Ok(Some(events));
            }
        }
        // The last event may lack its final blank line.
        let remainder = self.filter.remainder()?;
        Ok(Some(remainder).filter(|remainder| !remainder.is_empty()))
    }

    /// Reads the next bytes of the body, once there is memory for the event that they belong to.
    async fn next_data(&mut self) -> Result<Option<Bytes>, StreamError> {
        loop {
            let long_event = match &self.long_event {
                None if !self.filter.is_short() => {
                    let buffer = &mut self.filter.buffer;
                    let reserved = self.memory.reserve(buffer, LONG_EVENT_BYTES).await;
                    Some(&*self.long_event.insert(reserved))
                }
                long_event => long_event.as_ref(),
            };
            let revoked = async {
                match long_event {
                    Some(long_event) => long_event.revoked().await,
                    None => std::future::pending().await,
                }
            };
            let frame = tokio::select! {
                biased;
                () = revoked => return Err(StreamError::Revoked),
                frame = self.body.frame() => frame,
            };
            let Some(frame) = frame.transpose()? else {
                return Ok(None);
            };
            if let Ok(data) = frame.into_data() {
                return Ok(Some(data));
            }
        }
    }
}

/// Buffers bytes until they form complete events.
struct EventFilter {
    buffer: Buffer,
    /// Number of bytes of `buffer` that were parsed: complete lines.
    parsed: usize,
    /// Number of bytes of `buffer` that were searched for the end of a line.
    searched: usize,
    budget: Budget,
}

impl EventFilter {
    fn new(budget: &Budget) -> Self {
        EventFilter {
            buffer: Buffer::new(budget),
            parsed: 0,
            searched: 0,
            budget: budget.clone(),
        }
    }

    /// Whether the incomplete event is so short that it needs no memory of its own.
    fn is_short(&self) -> bool {
        self.buffer.len() <= MAX_SHORT_EVENT_BYTES
    }

    fn push(&mut self, data: &[u8]) -> Result<Bytes, StreamError> {
        self.buffer.extend_overdrawn(data, LONG_EVENT_BYTES);
        let bytes = self.buffer.as_ref();
        let mut complete = 0;
        while let Some(end) = bytes[self.searched..]
            .iter()
            .position(|byte| *byte == b'\n')
        {
            let end = self.searched + end;
            let line = &bytes[self.parsed..end];
            let line = line.strip_suffix(b"\r").unwrap_or(line);
            if !is_field(line) {
                return Err(StreamError::NotAnEvent);
            }
            self.parsed = end + 1;
            self.searched = self.parsed;
            if line.is_empty() {
                complete = self.parsed;
            }
        }
        if bytes.len() - complete > MAX_EVENT_BYTES {
            return Err(StreamError::TooLong);
        }
        self.searched = bytes.len() - complete;
        self.parsed -= complete;
        if complete == 0 {
            return Ok(Bytes::new());
        }
        Ok(self.buffer.split_to(complete).freeze())
    }

    fn remainder(&mut self) -> Result<Bytes, StreamError> {
        let remainder = std::mem::replace(&mut self.buffer, Buffer::new(&self.budget)).freeze();
        self.searched = 0;
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
