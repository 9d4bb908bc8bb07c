//! A client's socket, watched: how far its request has come, and whether its framing can be read in one way only.
//!
//! hyper settles a head with both `Content-Length` and `Transfer-Encoding` by dropping the one, and before the
//! service can see it. Such a head may hide a second request in its body, so heads are looked at here, as bytes.

use super::stream::{self, retry_interrupted};
use crate::front::shared::BudgetReservation;
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
const MOST_HEADER: usize = 256;

/// Most that is kept of what a client sends behind its request in hand, where the budget of bodies has room for it.
const MOST_AHEAD: usize = 64 * 1024;

/// Where a client connection stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Standing {
    /// Nothing of a next request has come since.
    Idle(Instant),
    /// A request began to arrive then, and has not come whole.
    Arriving(Instant),
    /// A request is being answered.
    InHand,
}

/// What is known of a client connection, shared between its socket, its supervisor and its service.
pub struct Watch {
    standing: Cell<Standing>,
    blocked: Cell<bool>,
    unwanted: Cell<bool>,
    answered: Cell<bool>,
    changed: Notify,
    scan: RefCell<Scan>,
    /// One for each head that has passed and was not handed to the service.
    heads: RefCell<VecDeque<Head>>,
    ahead: RefCell<Ahead>,
}

/// What is known of a request's head.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Head {
    /// Whether its framing can be read in one way only.
    pub is_sound: bool,
    /// When its last bytes came from the socket. A request that is written behind another one waits here, and its
    /// client's deadline runs.
    pub arrived: Instant,
}

/// What was read ahead of hyper.
#[derive(Default)]
struct Ahead {
    bytes: VecDeque<u8>,
    /// The pieces that `bytes` came in: their lengths, and when they came.
    pieces: VecDeque<(usize, Instant)>,
    /// There was more than is kept: what follows the request in hand is not read as requests any more.
    cut: bool,
}

impl Watch {
    /// A connection accepted now.
    pub fn new() -> Rc<Self> {
        Rc::new(Watch {
            standing: Cell::new(Standing::Idle(Instant::now())),
            blocked: Cell::new(false),
            unwanted: Cell::new(false),
            answered: Cell::new(false),
            changed: Notify::new(),
            scan: RefCell::default(),
            heads: RefCell::default(),
            ahead: RefCell::default(),
        })
    }

    /// Where it stands.
    pub fn standing(&self) -> Standing {
        self.standing.get()
    }

    /// Whether bytes wait that the client doesn't take.
    pub fn is_blocked(&self) -> bool {
        self.blocked.get()
    }

    /// Whether its place is wanted for others.
    pub fn is_unwanted(&self) -> bool {
        self.unwanted.get()
    }

    /// Whether anything was ever answered on it.
    pub fn has_answered(&self) -> bool {
        self.answered.get()
    }

    /// Resolves when it stands elsewhere, or its place is wanted.
    pub async fn changed(&self) {
        self.changed.notified().await;
    }

    fn stand(&self, standing: Standing) {
        self.standing.set(standing);
        self.changed.notify_one();
    }

    /// The next head is handed to the service.
    pub fn head(&self) -> Head {
        self.scan.borrow_mut().verdicts.pop_front();
        let head = self.heads.borrow_mut().pop_front();
        head.unwrap_or_else(|| Head {
            is_sound: false,
            arrived: Instant::now(),
        })
    }

    /// The request in hand has come whole.
    pub fn whole(&self) {
        self.stand(Standing::InHand);
    }

    /// Its answer has been handed over.
    pub fn finish(&self) {
        self.answered.set(true);
        let (now, begun) = (Instant::now(), self.scan.borrow().begun());
        self.stand(if begun {
            Standing::Arriving(now)
        } else {
            Standing::Idle(now)
        });
    }

    /// Its place is wanted for others.
    pub fn evict(&self) {
        self.unwanted.set(true);
        self.changed.notify_one();
    }

    /// Whether not all of the last request's body was read, or it is past following: the connection ends with it.
    pub fn is_spent(&self) -> bool {
        self.scan.borrow().at != At::Line
    }

    /// Whether what came behind the request in hand is no beginning of another: its length was wrong.
    pub fn has_excess(&self) -> bool {
        let scan = self.scan.borrow();
        scan.at == At::Line && scan.verdicts.is_empty() && scan.lines == 0 && {
            let method = scan.line.split(|b| *b == b' ').next().unwrap_or_default();
            !method.iter().all(|b| b.is_ascii_uppercase() || *b == b'\r')
        }
    }

    /// Reads on behind the request in hand; resolves when bytes have come, and tells whether the client has gone
    /// instead. hyper reads no further than to the first bytes there: the end behind them would go unseen. What is kept
    /// takes `room`.
    pub async fn read_ahead(&self, socket: &TcpStream, room: &mut BudgetReservation) -> bool {
        let mut scrap = [0; 4096];
        match socket
            .readable()
            .await
            .and_then(|()| retry_interrupted(|| socket.try_read(&mut scrap)))
        {
            Ok(n) if n > 0 => self.ahead.borrow_mut().keep(&scrap[..n], room),
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
            _ => return true,
        }
        // A client may send without end.
        tokio::task::yield_now().await;
        false
    }

    /// Bytes that were read ahead and not handed on yet.
    pub fn kept_ahead(&self) -> usize {
        self.ahead.borrow().bytes.len()
    }

    /// Takes in bytes that are handed to hyper, and when they came.
    fn read(&self, bytes: &[u8], arrived: Instant) {
        if let Standing::Idle(_) = self.standing.get() {
            self.stand(Standing::Arriving(Instant::now()));
        }
        let mut scan = self.scan.borrow_mut();
        let before = scan.verdicts.len();
        scan.take(bytes);
        let heads = scan.verdicts.iter().skip(before).map(|is_sound| Head {
            is_sound: *is_sound,
            arrived,
        });
        self.heads.borrow_mut().extend(heads);
    }
}

impl Ahead {
    fn keep(&mut self, bytes: &[u8], room: &mut BudgetReservation) {
        self.cut =
            self.cut || self.bytes.len() + bytes.len() > MOST_AHEAD || !room.grow(bytes.len());
        if self.cut {
            self.bytes = VecDeque::new();
            self.pieces = VecDeque::new();
            room.shrink_to(0);
        } else {
            self.bytes.extend(bytes);
            self.pieces.push_back((bytes.len(), Instant::now()));
        }
    }

    /// Hands on what is left of the first piece and when that came; `None`: there is none.
    fn hand_on(&mut self, buf: &mut ReadBuf<'_>) -> Option<Instant> {
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
enum At {
    /// In a head.
    #[default]
    Line,
    /// In a body, with so many bytes to come.
    Body(u64),
    /// Past what can be followed: a chunked body, or a head that is refused. The connection ends with it.
    Lost,
}

/// Follows the heads and bodies that a client sends.
#[derive(Default)]
struct Scan {
    at: At,
    line: Vec<u8>,
    /// Lines of the current head that weren't blank.
    lines: usize,
    length: Option<u64>,
    coded: bool,
    bad: bool,
    /// One for each head that has passed: whether it is sound.
    verdicts: VecDeque<bool>,
}

impl Scan {
    /// Whether bytes of a head have come that the service has not been handed.
    fn begun(&self) -> bool {
        !self.verdicts.is_empty()
            || self.at == At::Line && (self.lines > 0 || !self.line.is_empty())
    }

    fn take(&mut self, mut bytes: &[u8]) {
        while !bytes.is_empty() {
            match self.at {
                At::Lost => return,
                At::Body(left) => {
                    let part = left.min(bytes.len() as u64);
                    bytes = &bytes[part as usize..];
                    self.at = if part == left {
                        At::Line
                    } else {
                        At::Body(left - part)
                    };
                }
                At::Line => {
                    let end = bytes.iter().position(|b| *b == b'\n');
                    let part = &bytes[..end.unwrap_or(bytes.len())];
                    let room = MOST_HEADER.saturating_sub(self.line.len());
                    self.line.extend_from_slice(&part[..part.len().min(room)]);
                    bytes = &bytes[end.map_or(bytes.len(), |e| e + 1)..];
                    if end.is_some() {
                        self.line_ended();
                    }
                }
            }
        }
    }

    fn line_ended(&mut self) {
        let line = std::mem::take(&mut self.line);
        let line = line.strip_suffix(b"\r").unwrap_or(&line);
        if line.is_empty() {
            // Blank lines ahead of a request are skipped, here as in hyper.
            if self.lines > 0 {
                self.head_ended();
            }
            return;
        }
        self.lines += 1;
        let Some(colon) = line
            .iter()
            .position(|b| *b == b':')
            .filter(|_| self.lines > 1)
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
            self.bad |= length.is_none() || self.length.is_some_and(|l| Some(l) != length);
            self.length = length;
        } else if name.eq_ignore_ascii_case(b"transfer-encoding") {
            self.bad |= self.coded || !value.eq_ignore_ascii_case(b"chunked");
            self.coded = true;
        }
    }

    fn head_ended(&mut self) {
        let sound = !(self.bad || self.coded && self.length.is_some());
        self.verdicts.push_back(sound);
        self.at = match self.length {
            _ if self.coded || !sound => At::Lost,
            Some(length) if length > 0 => At::Body(length),
            _ => At::Line,
        };
        (self.lines, self.length, self.coded, self.bad) = (0, None, false, false);
    }
}

/// The socket itself. It is shared with the connection's supervisor, who has to see what hyper doesn't look at.
pub struct Watched {
    stream: Rc<TcpStream>,
    watch: Rc<Watch>,
}

impl Watched {
    /// A client's socket.
    pub fn new(stream: Rc<TcpStream>, watch: Rc<Watch>) -> Self {
        Watched { stream, watch }
    }
}

impl AsyncRead for Watched {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        let kept = self.watch.ahead.borrow_mut().hand_on(buf);
        let mut done = Ok(());
        if kept.is_none() && !self.watch.ahead.borrow().cut {
            done = ready!(stream::poll_read(&self.stream, cx, buf));
        }
        let come = &buf.filled()[before..];
        if !come.is_empty() {
            self.watch.read(come, kept.unwrap_or_else(Instant::now));
        }
        Poll::Ready(done)
    }
}

impl AsyncWrite for Watched {
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
        self.watch.blocked.set(true);
        let written = ready!(stream::poll_write(&self.stream, cx, bufs));
        self.watch.blocked.set(false);
        Poll::Ready(written)
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
