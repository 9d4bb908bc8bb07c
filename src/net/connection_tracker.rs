//! Tracks a client's socket: how much of its request has been received, and whether the framing is unambiguous.
//!
//! hyper resolves a head with both `Content-Length` and `Transfer-Encoding` by dropping one of them before the
//! service sees the head. Such a head can smuggle a second request in its body, so the raw bytes are scanned by
//! [`FramingScan`].

use super::http1_framing::{Direction, FramingScan};
use super::read_ahead::ReadAhead;
use super::stream::{self, retry_interrupted};
use crate::memory::Reservation;
use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::io::{self, IoSlice};
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::time::Instant;

/// The longest chunk or body of a request that is tracked; the server refuses shorter ones already.
const MAX_STATED_BYTES: u64 = u64::MAX >> 1;

/// A client that reads less than this while its response waits is considered to read nothing.
const MIN_READ_BYTES: usize = 4 * 1024;

/// Receive state of a client connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestPhase {
    /// No byte of a next request has been received since this time.
    Idle(Instant),
    /// A request began to arrive at this time and is incomplete.
    Arriving(Instant),
    /// A complete request is being answered.
    InProgress,
}

/// State of a client connection, shared between its socket, its connection task and its service.
pub struct ConnectionTracker {
    phase: Cell<RequestPhase>,
    /// Since when the socket accepts no more bytes of a response.
    write_blocked_since: Cell<Option<Instant>>,
    /// Since when the client has read less than [`MIN_READ_BYTES`], if it was slow at all.
    stalled_since: Cell<Option<Instant>>,
    /// Bytes that the socket has accepted since then.
    read_by_client: Cell<usize>,
    evicted: Cell<bool>,
    aborted: Cell<bool>,
    /// When a request on it was last answered.
    answered_at: Cell<Option<Instant>>,
    changed: Notify,
    framing: RefCell<FramingScan>,
    /// Complete heads that have not been handed to the service.
    heads: RefCell<VecDeque<RequestHead>>,
    read_ahead: RefCell<ReadAhead>,
}

/// Properties of a request's head.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RequestHead {
    /// Whether its framing is unambiguous.
    pub is_sound: bool,
    /// When its last bytes were read from the socket. A pipelined request waits here while its client's deadline
    /// runs.
    pub arrived: Instant,
}

impl ConnectionTracker {
    /// Creates the state of a connection accepted now.
    pub fn new() -> Rc<Self> {
        Rc::new(ConnectionTracker {
            phase: Cell::new(RequestPhase::Idle(Instant::now())),
            write_blocked_since: Cell::new(None),
            stalled_since: Cell::new(None),
            read_by_client: Cell::new(0),
            evicted: Cell::new(false),
            aborted: Cell::new(false),
            answered_at: Cell::new(None),
            changed: Notify::new(),
            framing: RefCell::new(FramingScan::new(Direction::Requests, MAX_STATED_BYTES)),
            heads: RefCell::default(),
            read_ahead: RefCell::default(),
        })
    }

    /// How much of the next request has been received.
    pub fn phase(&self) -> RequestPhase {
        self.phase.get()
    }

    /// Whether response bytes wait that the client does not read.
    pub fn is_write_blocked(&self) -> bool {
        self.write_blocked_since.get().is_some()
    }

    /// Since when the client has read nothing of the response bytes that wait.
    pub fn write_blocked_since(&self) -> Option<Instant> {
        self.write_blocked_since.get()
    }

    /// Whether the connection is to be closed with its response unread.
    pub fn is_aborted(&self) -> bool {
        self.aborted.get()
    }

    /// Closes the connection, though its client has not read its response.
    pub fn abort(&self) {
        self.aborted.set(true);
        self.changed.notify_one();
    }

    /// Notes that the socket has accepted `bytes` of a response.
    pub(super) fn note_written(&self, bytes: usize) {
        self.read_by_client
            .set(self.read_by_client.get().saturating_add(bytes));
        if self.write_blocked_since.take().is_some() {
            self.changed.notify_one();
        }
    }

    /// Notes that the socket accepts no more bytes of a response. A client that has read little since it did so before counts
    /// as stalled since then: a trickle must not hold its place for ever.
    pub(super) fn note_write_blocked(&self) {
        if self.is_write_blocked() {
            return;
        }
        let earlier = self.stalled_since.get();
        let earlier = earlier.filter(|_| self.read_by_client.get() < MIN_READ_BYTES);
        let since = earlier.unwrap_or_else(Instant::now);
        if earlier.is_none() {
            self.read_by_client.set(0);
            self.stalled_since.set(Some(since));
        }
        self.write_blocked_since.set(Some(since));
        self.changed.notify_one();
    }

    /// Whether the connection was chosen for eviction.
    pub fn is_evicted(&self) -> bool {
        self.evicted.get()
    }

    /// Whether a request on it was ever answered.
    pub fn has_answered(&self) -> bool {
        self.answered_at.get().is_some()
    }

    /// Whether the last request on it was answered less than `period` ago.
    pub fn has_answered_within(&self, period: Duration) -> bool {
        self.answered_at
            .get()
            .is_some_and(|at| at.elapsed() < period)
    }

    /// Resolves when the receive state changes or the connection is chosen for eviction.
    pub async fn changed(&self) {
        self.changed.notified().await;
    }

    fn set_phase(&self, phase: RequestPhase) {
        self.phase.set(phase);
        self.changed.notify_one();
    }

    /// Takes the next head, as it is handed to the service.
    pub fn take_head(&self) -> RequestHead {
        self.framing.borrow_mut().verdicts().pop_front();
        let head = self.heads.borrow_mut().pop_front();
        head.unwrap_or_else(|| RequestHead {
            is_sound: false,
            arrived: Instant::now(),
        })
    }

    /// Notes that the request in progress has been received completely.
    pub fn request_received(&self) {
        self.set_phase(RequestPhase::InProgress);
    }

    /// Notes that the response has been handed over.
    pub fn response_finished(&self) {
        let now = Instant::now();
        let has_next_head = {
            let mut framing = self.framing.borrow_mut();
            framing.has_partial_head() || !framing.verdicts().is_empty()
        };
        self.answered_at.set(Some(now));
        self.set_phase(if has_next_head {
            RequestPhase::Arriving(now)
        } else {
            RequestPhase::Idle(now)
        });
    }

    /// Marks the connection for eviction.
    pub fn evict(&self) {
        self.evicted.set(true);
        self.changed.notify_one();
    }

    /// Whether the connection must be closed after the last request, because its body was not read completely or its
    /// framing cannot be tracked.
    pub fn must_close(&self) -> bool {
        self.framing.borrow().is_in_body()
    }

    /// Whether bytes after the request in progress cannot begin another request, so the stated length was wrong.
    pub fn has_excess_bytes(&self) -> bool {
        self.framing.borrow().has_excess_bytes()
    }

    /// Reads input behind the request in progress into a buffer that is charged to `read_ahead_budget`; resolves after each read,
    /// with whether the client has closed. hyper stops reading at the first bytes of a next request, so it would not
    /// notice a close behind them.
    pub async fn read_ahead(
        &self,
        socket: &TcpStream,
        read_ahead_budget: &mut Reservation,
    ) -> bool {
        let mut buffer = [0; 4096];
        match socket
            .readable()
            .await
            .and_then(|()| retry_interrupted(|| socket.try_read(&mut buffer)))
        {
            Ok(n) if n > 0 => self
                .read_ahead
                .borrow_mut()
                .push(&buffer[..n], read_ahead_budget),
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
            _ => return true,
        }
        // A client may send without end.
        tokio::task::yield_now().await;
        false
    }

    /// Number of bytes read ahead and not handed to hyper yet.
    pub fn buffered_bytes(&self) -> usize {
        self.read_ahead.borrow().len()
    }

    /// Records bytes handed to hyper and when they were received.
    fn record_read(&self, bytes: &[u8], arrived: Instant) {
        if let RequestPhase::Idle(_) = self.phase.get() {
            self.set_phase(RequestPhase::Arriving(Instant::now()));
        }
        let mut framing = self.framing.borrow_mut();
        let before = framing.verdicts().len();
        // hyper answers a request with spoilt framing; the scan then tracks nothing more.
        let _ = framing.scan(bytes);
        let heads = framing
            .verdicts()
            .iter()
            .skip(before)
            .map(|is_sound| RequestHead {
                is_sound: *is_sound,
                arrived,
            });
        self.heads.borrow_mut().extend(heads);
    }
}

/// The socket as hyper reads and writes it. It is shared with the connection task, which has to see events that hyper
/// does not poll for.
pub struct TrackedStream {
    stream: Rc<TcpStream>,
    tracker: Rc<ConnectionTracker>,
}

impl TrackedStream {
    /// Wraps a client's socket, so that `tracker` records what is read from it and whether a write is blocked.
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
        if read_ahead_at.is_none() && !self.tracker.read_ahead.borrow().has_overflowed() {
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
        let written = stream::poll_write(&self.stream, cx, bufs);
        match &written {
            Poll::Ready(Ok(bytes)) => self.tracker.note_written(*bytes),
            Poll::Ready(Err(_)) => self.tracker.note_written(0),
            Poll::Pending => self.tracker.note_write_blocked(),
        }
        written
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
