//! A client's socket, watched: how far its request has read, and whether its framing can be read in one way only.
//!
//! hyper settles a head with both `Content-Length` and `Transfer-Encoding` by dropping the one, and before the
//! service can see it. Such a head may hide a second request in its body, so heads are looked at here, as bytes.

use super::stream::{self, uninterrupted};
use crate::front::shared::Held;
use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::io::{self, IoSlice};
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::time::Instant;

/// Bytes of one header line that are looked at; framing headers are far shorter.
const MAX_HEADER_LINE_BYTES: usize = 256;

/// Most that is kept of what a client sends behind its request in hand, where the budget of bodies has room for it.
const MAX_READ_AHEAD_BYTES: usize = 64 * 1024;

/// Where a client connection stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestPhase {
    /// Nothing of a next request has come since.
    Idle(Instant),
    /// A request began to arrive then, and has not come whole.
    Arriving(Instant),
    /// A request is being answered.
    InProgress,
}

/// What is known of a client connection, shared between its socket, its supervisor and its service.
pub struct ConnectionTracker {
    phase: Cell<RequestPhase>,
    write_blocked: Cell<bool>,
    evicted: Cell<bool>,
    answered: Cell<bool>,
    changed: Notify,
    scan: RefCell<FramingScan>,
    /// One for each head that has passed and was not handed to the service.
    heads: RefCell<VecDeque<RequestHead>>,
    read_ahead: RefCell<ReadAhead>,
}

/// What is known of a request's head.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RequestHead {
    /// Whether its framing can be read in one way only.
    pub is_sound: bool,
    /// When its last bytes came from the socket. A request that is written behind another one waits here, and its
    /// client's deadline runs.
    pub arrived: Instant,
}

/// What was read ahead of hyper.
#[derive(Default)]
struct ReadAhead {
    bytes: VecDeque<u8>,
    /// The pieces that `bytes` came in: their lengths, and when they came.
    pieces: VecDeque<(usize, Instant)>,
    /// There was more than is kept: what follows the request in hand is not read as requests any more.
    overflowed: bool,
}

impl ConnectionTracker {
    /// A connection accepted now.
    pub fn new() -> Rc<Self> {
        Rc::new(ConnectionTracker {
            phase: Cell::new(RequestPhase::Idle(Instant::now())),
            write_blocked: Cell::new(false),
            evicted: Cell::new(false),
            answered: Cell::new(false),
            changed: Notify::new(),
            scan: RefCell::default(),
            heads: RefCell::default(),
            read_ahead: RefCell::default(),
        })
    }

    /// Where it stands.
    pub fn phase(&self) -> RequestPhase {
        self.phase.get()
    }

    /// Whether bytes wait that the client doesn't take.
    pub fn is_write_blocked(&self) -> bool {
        self.write_blocked.get()
    }

    /// Whether its place is wanted for others.
    pub fn is_evicted(&self) -> bool {
        self.evicted.get()
    }

    /// Whether anything was ever answered on it.
    pub fn has_answered(&self) -> bool {
        self.answered.get()
    }

    /// Resolves when it stands elsewhere, or its place is wanted.
    pub async fn changed(&self) {
        self.changed.notified().await;
    }

    fn set_phase(&self, phase: RequestPhase) {
        self.phase.set(phase);
        self.changed.notify_one();
    }

    /// The next head is handed to the service.
    pub fn take_head(&self) -> RequestHead {
        self.scan.borrow_mut().verdicts.pop_front();
        let head = self.heads.borrow_mut().pop_front();
        head.unwrap_or_else(|| RequestHead {
            is_sound: false,
            arrived: Instant::now(),
        })
    }

    /// The request in hand has come whole.
    pub fn request_received(&self) {
        self.set_phase(RequestPhase::InProgress);
    }

    /// Its answer has been handed over.
    pub fn response_finished(&self) {
        self.answered.set(true);
        let (now, has_next_head) = (Instant::now(), self.scan.borrow().has_partial_head());
        self.set_phase(if has_next_head {
            RequestPhase::Arriving(now)
        } else {
            RequestPhase::Idle(now)
        });
    }

    /// Its place is wanted for others.
    pub fn evict(&self) {
        self.evicted.set(true);
        self.changed.notify_one();
    }

    /// Whether not all of the last request's body was read, or it is past following: the connection ends with it.
    pub fn must_close(&self) -> bool {
        self.scan.borrow().state != ScanState::Head
    }

    /// Whether what came behind the request in hand is no beginning of another: its length was wrong.
    pub fn has_excess_bytes(&self) -> bool {
        let scan = self.scan.borrow();
        scan.state == ScanState::Head && scan.verdicts.is_empty() && scan.line_count == 0 && {
            let method = scan.line.split(|b| *b == b' ').next().unwrap_or_default();
            !method.iter().all(|b| b.is_ascii_uppercase() || *b == b'\r')
        }
    }

    /// Reads on behind the request in hand; resolves when bytes have read, and tells whether the client has gone
    /// instead. hyper reads no further than to the first bytes there: the end behind them would go unseen. What is kept
    /// takes `room`.
    pub async fn read_ahead(&self, socket: &TcpStream, room: &mut Held) -> bool {
        let mut buffer = [0; 4096];
        match socket
            .readable()
            .await
            .and_then(|()| uninterrupted(|| socket.try_read(&mut buffer)))
        {
            Ok(n) if n > 0 => self.read_ahead.borrow_mut().push(&buffer[..n], room),
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
            _ => return true,
        }
        // A client may send without end.
        tokio::task::yield_now().await;
        false
    }

    /// Bytes that were read ahead and not handed on yet.
    pub fn buffered_bytes(&self) -> usize {
        self.read_ahead.borrow().bytes.len()
    }

    /// Takes in bytes that are handed to hyper, and when they came.
    fn record_read(&self, bytes: &[u8], arrived: Instant) {
        if let RequestPhase::Idle(_) = self.phase.get() {
            self.set_phase(RequestPhase::Arriving(Instant::now()));
        }
        let mut scan = self.scan.borrow_mut();
        let before = scan.verdicts.len();
        scan.scan(bytes);
        let heads = scan
            .verdicts
            .iter()
            .skip(before)
            .map(|is_sound| RequestHead {
                is_sound: *is_sound,
                arrived,
            });
        self.heads.borrow_mut().extend(heads);
    }
}

impl ReadAhead {
    fn push(&mut self, bytes: &[u8], room: &mut Held) {
        self.overflowed = self.overflowed
            || self.bytes.len() + bytes.len() > MAX_READ_AHEAD_BYTES
            || !room.grow(bytes.len());
        if self.overflowed {
            self.bytes = VecDeque::new();
            self.pieces = VecDeque::new();
            room.shrink_to(0);
        } else {
            self.bytes.extend(bytes);
            self.pieces.push_back((bytes.len(), Instant::now()));
        }
    }

    /// Hands on what is left of the first piece and when that came; `None`: there is none.
    fn read_into(&mut self, buf: &mut ReadBuf<'_>) -> Option<Instant> {
        let (length, arrived) = self.pieces.front_mut()?;
        let (first, _) = self.bytes.as_slices();
        let part = first.len().min(buf.remaining()).min(*length);
        buf.put_slice(&first[..part]);
        self.bytes.drain(..part);
        *length -= part;
        let arrived = *arrived;
        if self.pieces.front().is_some_and(|(length, _)| *length == 0) {
            self.pieces.pop_front();
        }
        Some(arrived)
    }
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum ScanState {
    /// In a head.
    #[default]
    Head,
    /// In a body, with so many bytes to come.
    Body(u64),
    /// Past what can be followed: a chunked body, or a head that is refused. The connection ends with it.
    Untracked,
}

/// Follows the heads and bodies that a client sends.
#[derive(Default)]
struct FramingScan {
    state: ScanState,
    line: Vec<u8>,
    /// Lines of the current head that weren't blank.
    line_count: usize,
    content_length: Option<u64>,
    has_transfer_encoding: bool,
    is_ambiguous: bool,
    /// One for each head that has passed: whether it is sound.
    verdicts: VecDeque<bool>,
}

impl FramingScan {
    /// Whether bytes of a head have come that the service has not been handed.
    fn has_partial_head(&self) -> bool {
        !self.verdicts.is_empty()
            || self.state == ScanState::Head && (self.line_count > 0 || !self.line.is_empty())
    }

    fn scan(&mut self, mut bytes: &[u8]) {
        while !bytes.is_empty() {
            match self.state {
                ScanState::Untracked => return,
                ScanState::Body(left) => {
                    let part = left.min(bytes.len() as u64);
                    bytes = &bytes[part as usize..];
                    self.state = if part == left {
                        ScanState::Head
                    } else {
                        ScanState::Body(left - part)
                    };
                }
                ScanState::Head => {
                    let end = bytes.iter().position(|b| *b == b'\n');
                    let part = &bytes[..end.unwrap_or(bytes.len())];
                    let room = MAX_HEADER_LINE_BYTES.saturating_sub(self.line.len());
                    self.line.extend_from_slice(&part[..part.len().min(room)]);
                    bytes = &bytes[end.map_or(bytes.len(), |e| e + 1)..];
                    if end.is_some() {
                        self.end_line();
                    }
                }
            }
        }
    }

    fn end_line(&mut self) {
        let line = std::mem::take(&mut self.line);
        let line = line.strip_suffix(b"\r").unwrap_or(&line);
        if line.is_empty() {
            // Blank lines ahead of a request are skipped, here as in hyper.
            if self.line_count > 0 {
                self.end_head();
            }
            return;
        }
        self.line_count += 1;
        let Some(colon) = line
            .iter()
            .position(|b| *b == b':')
            .filter(|_| self.line_count > 1)
        else {
            return;
        };
        let (name, value) = (line[..colon].trim_ascii(), line[colon + 1..].trim_ascii());
        if name.eq_ignore_ascii_case(b"content-length") {
            let digits = !value.is_empty() && value.iter().all(u8::is_ascii_digit);
            let length = std::str::from_utf8(value)
                .ok()
                .filter(|_| digits)
                .and_then(|v| v.parse().ok());
            self.is_ambiguous |=
                length.is_none() || self.content_length.is_some_and(|l| Some(l) != length);
            self.content_length = length;
        } else if name.eq_ignore_ascii_case(b"transfer-encoding") {
            self.is_ambiguous |=
                self.has_transfer_encoding || !value.eq_ignore_ascii_case(b"chunked");
            self.has_transfer_encoding = true;
        }
    }

    fn end_head(&mut self) {
        let is_sound =
            !(self.is_ambiguous || self.has_transfer_encoding && self.content_length.is_some());
        self.verdicts.push_back(is_sound);
        self.state = match self.content_length {
            _ if self.has_transfer_encoding || !is_sound => ScanState::Untracked,
            Some(length) if length > 0 => ScanState::Body(length),
            _ => ScanState::Head,
        };
        (
            self.line_count,
            self.content_length,
            self.has_transfer_encoding,
            self.is_ambiguous,
        ) = (0, None, false, false);
    }
}

/// The socket itself. It is shared with the connection's supervisor, who has to see what hyper doesn't look at.
pub struct TrackedStream {
    stream: Rc<TcpStream>,
    tracker: Rc<ConnectionTracker>,
}

impl TrackedStream {
    /// A client's socket.
    pub fn new(stream: Rc<TcpStream>, tracker: Rc<ConnectionTracker>) -> Self {
        TrackedStream { stream, tracker }
    }
}

impl AsyncRead for TrackedStream {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        let read_ahead_at = self.tracker.read_ahead.borrow_mut().read_into(buf);
        let mut result = Ok(());
        if read_ahead_at.is_none() && !self.tracker.read_ahead.borrow().overflowed {
            result = ready!(stream::poll_read(&self.stream, cx, buf));
        }
        let read = &buf.filled()[before..];
        if !read.is_empty() {
            self.tracker
                .record_read(read, read_ahead_at.unwrap_or_else(Instant::now));
        }
        Poll::Ready(result)
    }
}

impl AsyncWrite for TrackedStream {
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
        self.tracker.write_blocked.set(true);
        let written = ready!(stream::poll_write(&self.stream, cx, bufs));
        self.tracker.write_blocked.set(false);
        Poll::Ready(written)
    }

    fn is_write_vectored(&self) -> bool {
        true
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(stream::end_sending(&self.stream))
    }
}

#[cfg(test)]
mod tests;
