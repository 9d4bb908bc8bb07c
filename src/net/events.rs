//! Filters a model host's event stream, so that only complete and valid events are passed on.
//!
//! A stream may be corrupt from any byte on: a wrong chunk size makes chunk heads look like data, or makes whatever
//! follows part of a chunk. Bytes that form no event end the stream before they reach the client; the bytes of events
//! are passed on unchanged.
//!
//! A chunk that holds the first event has to be complete before that event counts: a stream that is spoilt from its first
//! chunk on is no answer.
//!
//! A blank line ends a block of lines, and a block with data is an event. Blocks without data (comments, an `id` alone) are
//! passed on as well, but they are no events: nobody waits for them.

use super::event_memory::{EventMemory, LongEvent};
use super::host_socket::{IoMeter, OpenFrame};
use super::http1_framing::FramingFault;
use super::stream::MAX_READ_BYTES;
use crate::memory::{Budget, Buffer};
use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use std::rc::Rc;

/// Maximum length of an event.
const MAX_EVENT_BYTES: usize = 128 * 1024;
/// Maximum length of the incomplete event of a stream that holds no memory for a long one.
const MAX_SHORT_EVENT_BYTES: usize = 8 * 1024;
/// The memory of a stream with a long event: one of the maximum length, and the bytes that are read with its end.
const LONG_EVENT_BYTES: usize = MAX_EVENT_BYTES + MAX_READ_BYTES;

/// This many bytes of a body that is not an event stream count as one event.
const UNCHECKED_EVENT_BYTES: usize = 1024;

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

/// What one read of a stream has brought.
#[derive(Debug, Default)]
pub struct Received {
    /// Complete blocks, to be passed on; they count against the memory budget until they are dropped. May be empty.
    pub blocks: Bytes,
    /// Whether one of the blocks is an event, that is, has data.
    pub has_event: bool,
    /// Number of bytes of data that were added to an event that is still incomplete.
    pub partial_data: usize,
}

/// The events of one response.
pub struct EventStream {
    body: Incoming,
    /// Whether the response is declared to be an event stream. Other bodies are passed on unfiltered.
    is_checked: bool,
    filter: EventFilter,
    /// Number of bytes since the last one that counted as an event, in a body that is not an event stream.
    unchecked_bytes: usize,
    /// The socket that the body is read from.
    meter: Rc<IoMeter>,
    /// Held while the incomplete event is long. Dropped after the filter, whose memory has been returned by then.
    long_event: Option<LongEvent>,
    memory: Rc<EventMemory>,
}

impl EventStream {
    /// Reads events from `body`, which comes over the socket of `meter`. If `is_checked` is false, the body is passed on
    /// unfiltered.
    pub fn new(
        body: Incoming,
        is_checked: bool,
        meter: Rc<IoMeter>,
        memory: Rc<EventMemory>,
    ) -> Self {
        EventStream {
            body,
            is_checked,
            filter: EventFilter::new(memory.budget()),
            unchecked_bytes: 0,
            meter,
            long_event: None,
            memory,
        }
    }

    /// Whether the response is declared to be an event stream.
    pub fn is_checked(&self) -> bool {
        self.is_checked
    }

    /// How the framing of the body is spoilt.
    pub fn framing_fault(&self) -> Option<FramingFault> {
        self.meter.framing_fault()
    }

    /// The part of the framing that has begun and is incomplete.
    pub fn open_frame(&self) -> Option<OpenFrame> {
        self.meter.open_frame()
    }

    /// The offset in the body of the end of the last complete event; of the last byte in a body that is not an event stream.
    pub fn events_end(&self) -> u64 {
        self.filter.events_end
    }

    /// Reads until the first event is complete, and returns it with all that came before it and was received together with it;
    /// `None` if the stream ends without an event.
    ///
    /// # Errors
    /// The stream is broken or corrupt, and must not be read any further.
    pub async fn first(&mut self) -> Result<Option<Bytes>, StreamError> {
        while let Some(received) = self.next().await? {
            if received.has_event || !received.blocks.is_empty() {
                return Ok(Some(received.blocks));
            }
        }
        Ok(None)
    }

    /// Reads once, and returns what that has brought; `None` at the end of the stream. Cancel safe.
    ///
    /// # Errors
    /// The stream is broken or corrupt, and must not be read any further.
    pub async fn next(&mut self) -> Result<Option<Received>, StreamError> {
        if let Some(data) = self.next_data().await? {
            let received = if self.is_checked {
                let open_frame = self.meter.open_frame();
                self.filter.push(&data, open_frame)?
            } else {
                self.receive_unchecked(&data)
            };
            if self.filter.is_short() {
                self.long_event = None;
            }
            return Ok(Some(received));
        }
        // The last event may lack its final blank line.
        self.filter.remainder()
    }

    fn receive_unchecked(&mut self, data: &[u8]) -> Received {
        self.unchecked_bytes += data.len();
        self.filter.events_end += data.len() as u64;
        let has_event = self.unchecked_bytes >= UNCHECKED_EVENT_BYTES;
        if has_event {
            self.unchecked_bytes = 0;
        }
        Received {
            blocks: Buffer::overdrawn(data.to_vec(), self.memory.budget()).freeze(),
            has_event,
            partial_data: 0,
        }
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

/// Buffers bytes until they form complete blocks, and up to the first event.
struct EventFilter {
    buffer: Buffer,
    /// Number of bytes of `buffer` that were parsed: complete lines.
    parsed: usize,
    /// Number of bytes of `buffer` that were searched for the end of a line.
    searched: usize,
    /// Number of bytes of `buffer` that are complete blocks.
    complete: usize,
    /// Number of bytes of data in the complete lines of the incomplete block.
    block_data: usize,
    /// Number of bytes of data in the incomplete block, with its incomplete line.
    partial_data: usize,
    /// Number of bytes that have left `buffer`.
    passed_on: u64,
    /// The offset in the body of the end of the last event.
    events_end: u64,
    /// The offset in the body of the end of the first event.
    first_event_end: Option<u64>,
    /// Whether the first event was passed on. What precedes it is kept, since it is no answer yet.
    has_begun: bool,
    budget: Budget,
}

impl EventFilter {
    fn new(budget: &Budget) -> Self {
        EventFilter {
            buffer: Buffer::new(budget),
            parsed: 0,
            searched: 0,
            complete: 0,
            block_data: 0,
            partial_data: 0,
            passed_on: 0,
            events_end: 0,
            first_event_end: None,
            has_begun: false,
            budget: budget.clone(),
        }
    }

    /// Whether the incomplete event is so short that it needs no memory of its own.
    fn is_short(&self) -> bool {
        self.buffer.len() <= MAX_SHORT_EVENT_BYTES
    }

    /// Takes data of the body; `open_frame` is the part of its framing that is incomplete by now.
    fn push(
        &mut self,
        data: &[u8],
        open_frame: Option<OpenFrame>,
    ) -> Result<Received, StreamError> {
        self.buffer.extend_overdrawn(data, LONG_EVENT_BYTES);
        let events_before = self.events_end;
        self.parse_lines()?;
        let buffered = self.buffer.len();
        // The socket ends a response with a chunk above the limit on bodies, so no more than that is held.
        let is_held = self
            .first_event_end
            .is_some_and(|end| open_frame.is_some_and(|frame| frame.holds(end)));
        let begins = !self.has_begun && self.first_event_end.is_some() && !is_held;
        let has_event = begins || self.has_begun && self.events_end > events_before;
        self.has_begun |= begins;
        if buffered - self.complete > MAX_EVENT_BYTES {
            return Err(StreamError::TooLong);
        }
        let complete = if self.has_begun { self.complete } else { 0 };
        let partial_data = self.block_data + data_of(&self.buffer.as_ref()[self.parsed..]).len();
        let added_data = partial_data.saturating_sub(self.partial_data);
        self.partial_data = partial_data;
        self.searched = buffered - complete;
        Ok(Received {
            blocks: self.take_blocks(complete),
            has_event,
            partial_data: added_data,
        })
    }

    /// Parses the lines that are complete, up to the first that is not valid.
    fn parse_lines(&mut self) -> Result<(), StreamError> {
        let bytes = self.buffer.as_ref();
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
            self.block_data += data_of(line).len();
            if line.is_empty() {
                self.complete = self.parsed;
                if self.block_data > 0 {
                    self.events_end = self.passed_on + self.parsed as u64;
                    self.first_event_end.get_or_insert(self.events_end);
                }
                self.block_data = 0;
                self.partial_data = 0;
            }
        }
        Ok(())
    }

    /// Takes the first `length` bytes, which are complete blocks, out of the buffer.
    fn take_blocks(&mut self, length: usize) -> Bytes {
        if length == 0 {
            return Bytes::new();
        }
        self.parsed -= length;
        self.complete -= length;
        self.passed_on += length as u64;
        self.buffer.split_to(length).freeze()
    }

    /// What is left at the end of the stream; `None` if that is nothing, or if there was no event.
    fn remainder(&mut self) -> Result<Option<Received>, StreamError> {
        let remainder = std::mem::replace(&mut self.buffer, Buffer::new(&self.budget)).freeze();
        self.searched = 0;
        self.complete = 0;
        let last_line = &remainder[std::mem::take(&mut self.parsed)..];
        if !is_field(last_line) {
            return Err(StreamError::NotAnEvent);
        }
        let ends_with_event = std::mem::take(&mut self.block_data) + data_of(last_line).len() > 0;
        // An event that was kept back has a complete chunk now.
        let has_event = ends_with_event || !self.has_begun && self.first_event_end.is_some();
        if remainder.is_empty() || !(has_event || self.has_begun) {
            return Ok(None);
        }
        Ok(Some(Received {
            blocks: remainder,
            has_event,
            partial_data: 0,
        }))
    }
}

/// The value of a line's `data` field without surrounding white space; empty if it is another field.
fn data_of(line: &[u8]) -> &[u8] {
    line.strip_prefix(b"data:").unwrap_or_default().trim_ascii()
}

/// Whether a line is valid in an event (server-sent events, WHATWG HTML).
fn is_field(line: &[u8]) -> bool {
    let name = line.split(|byte| *byte == b':').next().unwrap_or_default();
    // The name is empty for a comment and for a blank line.
    matches!(name, b"" | b"data" | b"event" | b"id" | b"retry") && std::str::from_utf8(line).is_ok()
}

#[cfg(test)]
mod tests;
