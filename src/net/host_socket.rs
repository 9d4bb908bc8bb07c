//! The socket of a connection to a server (a model host or a tool server): how much of a request was written, and whether
//! the framing of what came back is sound.
//!
//! hyper does not report when the last byte of a request was written, which decides whether an attempt may have run.

use super::http1_framing::{Direction, FramingFault, FramingScan, OpenPart};
use super::stream;
use crate::counters::Counters;
use crate::front::shared::MAX_BODY_BYTES;
use std::cell::{Cell, RefCell};
use std::io::{self, IoSlice};
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::time::Instant;

/// The bytes that end a head.
const HEAD_END: &[u8; 4] = b"\r\n\r\n";

/// A part of a chunked body that has begun and is incomplete.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OpenFrame {
    /// When the first byte of its size line was received.
    pub since: Instant,
    /// What of it is incomplete.
    pub part: OpenPart,
}

impl OpenFrame {
    /// Whether the byte of the body before `offset` lies in this chunk.
    pub fn holds(&self, offset: u64) -> bool {
        matches!(self.part, OpenPart::Data { body_offset, .. } if body_offset < offset)
    }

    /// Whether the chunk will be complete `by` then, if its data goes on to come as fast as so far.
    pub fn completes_by(&self, by: Instant, now: Instant) -> bool {
        let OpenPart::Data { size, left, .. } = self.part else {
            return false;
        };
        let received = size.saturating_sub(left);
        let elapsed = now.saturating_duration_since(self.since).as_secs_f64();
        let time_left = elapsed * left as f64 / received.max(1) as f64;
        now.saturating_duration_since(by).is_zero() && time_left <= (by - now).as_secs_f64()
    }
}

/// Progress of the current request on a connection, as seen at the socket: how much of the request was written, and how
/// far its response has come.
#[derive(Debug)]
pub struct IoMeter {
    /// Length of the prefix of [`HEAD_END`] that ends the request bytes written so far; 4 once the head was written.
    matched: Cell<u8>,
    /// Bytes of the request body still to be written.
    remaining: Cell<usize>,
    /// Whether any byte of the response was received.
    response_seen: Cell<bool>,
    framing: RefCell<FramingScan>,
    /// Number of responses that were complete when the current request began.
    earlier_responses: Cell<u64>,
    /// How the framing is spoilt.
    fault: Cell<Option<FramingFault>>,
    /// When the first byte of the current head was received.
    head_since: Cell<Option<Instant>>,
    /// When the first byte of the current chunk was received; outdated while none is incomplete.
    chunk_since: Cell<Option<Instant>>,
    /// Notified when a response head starts.
    head_started: Notify,
    /// Counts the current request once its last byte is written; `None` if the request is not an attempt.
    attempt_counters: RefCell<Option<Rc<Counters>>>,
}

impl Default for IoMeter {
    fn default() -> Self {
        IoMeter {
            matched: Cell::default(),
            remaining: Cell::default(),
            response_seen: Cell::default(),
            framing: RefCell::new(FramingScan::new(
                Direction::Responses,
                MAX_BODY_BYTES as u64,
            )),
            earlier_responses: Cell::default(),
            fault: Cell::default(),
            head_since: Cell::default(),
            chunk_since: Cell::default(),
            head_started: Notify::new(),
            attempt_counters: RefCell::default(),
        }
    }
}

/// Advances the match against [`HEAD_END`] by one byte; returns the number of bytes matched so far.
fn match_head_end(matched: u8, byte: u8) -> u8 {
    match (matched, byte) {
        (4, _) => 4,
        (0 | 2, b'\r') | (1 | 3, b'\n') => matched + 1,
        (_, b'\r') => 1,
        _ => 0,
    }
}

impl IoMeter {
    /// Resets the progress for a new request with a body of `body_len` bytes.
    pub fn begin_request(&self, body_len: usize, attempt_counters: Option<Rc<Counters>>) {
        self.attempt_counters.replace(attempt_counters);
        self.matched.set(0);
        self.remaining.set(body_len);
        self.response_seen.set(false);
        self.earlier_responses
            .set(self.framing.borrow().messages_ended());
        self.head_since.set(None);
        self.chunk_since.set(None);
    }

    /// Takes received bytes. Returns how many of them precede a fault of the framing.
    pub fn note_received(&self, bytes: &[u8]) -> usize {
        if bytes.is_empty() {
            return 0;
        }
        self.response_seen.set(true);
        let mut framing = self.framing.borrow_mut();
        let (heads, chunks) = (framing.heads_begun(), framing.chunks_begun());
        let scanned = framing.scan(bytes);
        // Most chunks are complete when they are read, and the clock need not be read for them.
        if framing.chunks_begun() != chunks && framing.open_part().is_some() {
            self.chunk_since.set(Some(Instant::now()));
        }
        if framing.heads_begun() != heads {
            self.head_since.set(Some(Instant::now()));
            self.head_started.notify_one();
        }
        // An interim head is no response: the next head counts from its own first byte.
        if framing.is_between_messages() {
            self.head_since.set(None);
        }
        match scanned {
            Ok(()) => bytes.len(),
            Err(spoilt) => {
                self.fault.set(Some(spoilt.fault));
                spoilt.sound_bytes
            }
        }
    }

    /// Whether any byte of the response to the current request was received.
    pub fn has_response_begun(&self) -> bool {
        self.response_seen.get()
    }

    /// How the framing of what was received is spoilt.
    pub fn framing_fault(&self) -> Option<FramingFault> {
        self.fault.get()
    }

    /// The part of the response's chunked body that has begun and is incomplete.
    pub fn open_frame(&self) -> Option<OpenFrame> {
        let framing = self.framing.borrow();
        // What follows the response is another one.
        if framing.messages_ended() > self.earlier_responses.get() {
            return None;
        }
        let (part, since) = (framing.open_part()?, self.chunk_since.get()?);
        Some(OpenFrame { since, part })
    }

    /// Resolves when `limit` has passed since the first byte of a response head. The caller polls this only until the
    /// head is complete. Without this limit a head that never ends would use up the request's whole deadline.
    pub async fn head_overdue(&self, limit: Duration) {
        loop {
            let Some(since) = self.head_since.get() else {
                self.head_started.notified().await;
                continue;
            };
            tokio::time::sleep_until(since + limit).await;
            if self.head_since.get() == Some(since) {
                return;
            }
        }
    }

    /// Takes request bytes that the socket accepted.
    pub fn note_written(&self, mut bytes: &[u8]) {
        while usize::from(self.matched.get()) < HEAD_END.len() {
            let Some((byte, rest)) = bytes.split_first() else {
                return;
            };
            bytes = rest;
            self.matched.set(match_head_end(self.matched.get(), *byte));
        }
        self.remaining
            .set(self.remaining.get().saturating_sub(bytes.len()));
        if self.is_written()
            && let Some(counters) = self.attempt_counters.take()
        {
            counters.written_whole.up();
        }
    }

    /// Whether the socket has accepted the last byte of the current request.
    pub fn is_written(&self) -> bool {
        usize::from(self.matched.get()) == HEAD_END.len() && self.remaining.get() == 0
    }
}

/// A socket that reports its reads and writes to a meter. It is shared with its connection, which has to see pending bytes
/// before hyper reads them. What follows a fault of the framing is not handed to hyper.
pub struct MeteredStream {
    /// The socket.
    pub stream: Rc<TcpStream>,
    /// Follows what is read and written.
    pub meter: Rc<IoMeter>,
    /// Counters of the process.
    pub counters: Rc<Counters>,
}

impl AsyncRead for MeteredStream {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if let Some(fault) = self.meter.framing_fault() {
            return Poll::Ready(Err(io::Error::new(io::ErrorKind::InvalidData, fault)));
        }
        let before = buf.filled().len();
        ready!(stream::poll_read(&self.stream, cx, buf))?;
        let sound_bytes = self.meter.note_received(&buf.filled()[before..]);
        if let Some(fault) = self.meter.framing_fault() {
            self.counters.framing_faults.up();
            buf.set_filled(before + sound_bytes);
            // Nothing read would mean that the connection has ended.
            if sound_bytes == 0 {
                return Poll::Ready(Err(io::Error::new(io::ErrorKind::InvalidData, fault)));
            }
        }
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for MeteredStream {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.poll_write_vectored(cx, &[IoSlice::new(buf)])
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = ready!(stream::poll_write(&self.stream, cx, bufs))?;
        let mut remaining = written;
        for buf in bufs {
            let taken = remaining.min(buf.len());
            self.meter.note_written(&buf[..taken]);
            remaining -= taken;
        }
        Poll::Ready(Ok(written))
    }

    fn is_write_vectored(&self) -> bool {
        true
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(stream::shutdown_write(&self.stream))
    }
}

#[cfg(test)]
mod tests;
