//! Connection pool for model hosts: one request at a time per connection, reuse of recently idle connections, and a
//! limit on the total number.
//!
//! The pool never resends a request. Its connections record whether a request's last byte was written, and how far the
//! response has come ([`super::host_socket`]).

use super::LocalBoxFuture;
use super::fault::{ErrorScope, SystemCall, classify_error};
use super::host_socket::{IoMeter, MeteredStream};
use super::reachability::Reachability;
use super::stream::retry_interrupted;
use crate::counters::Counters;
use crate::routing::types::{CallPermit, WorkerId, WritePermit};
use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use socket2::SockRef;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::io;
use std::mem::MaybeUninit;
use std::net::SocketAddr;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};
use tokio::task::JoinHandle;
use tokio::time::Instant;

/// One in this many sockets is reserved for releases. Few are enough: releases are short, and a handful in parallel
/// frees the KV state of hundreds of requests.
const RELEASE_RESERVE_DIVISOR: usize = 16;
/// Maximum number of idle connections for each model host. It covers a burst; more would only occupy sockets.
const MAX_IDLE_PER_HOST: usize = 32;

/// A connection lost within this time after a request was sent had been closed by the peer before; a later loss is
/// taken to be the host's reaction to the request.
const STALE_RESET_WINDOW: Duration = Duration::from_millis(100);
/// How long no connection is reused after an idle one turned out to be closed by its peer.
const REUSE_SUSPENSION: Duration = Duration::from_secs(60);

/// Delay before a connect is retried that failed for lack of a local resource; doubled with each retry.
const LOCAL_ERROR_BACKOFF: Duration = Duration::from_millis(5);

/// A connection to a model host. It counts against the pool's socket limit, and its socket is closed on drop.
pub struct Connection {
    sender: http1::SendRequest<Full<Bytes>>,
    stream: Rc<TcpStream>,
    meter: Rc<IoMeter>,
    driver: JoinHandle<()>,
    /// Whether it has carried a request before the current one.
    is_reused: bool,
    sent_at: Instant,
    _permit: OwnedSemaphorePermit,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.driver.abort();
    }
}

impl Connection {
    /// The progress of the current request on this connection.
    pub fn meter(&self) -> Rc<IoMeter> {
        self.meter.clone()
    }

    /// Sends a call other than an attempt and resolves with its response head. `body_len` is the length of the request
    /// body. The response body must be read to its end before the connection is used again.
    pub async fn send_call(
        &mut self,
        request: Request<Full<Bytes>>,
        body_len: usize,
        _permit: CallPermit,
    ) -> hyper::Result<Response<Incoming>> {
        self.send_metered(request, body_len, None).await
    }

    /// Sends an attempt and resolves with its response head. `body_len` is the length of the request body. The attempt
    /// is counted in `written_whole` when its last byte is written.
    pub async fn send_attempt(
        &mut self,
        request: Request<Full<Bytes>>,
        body_len: usize,
        counters: Rc<Counters>,
        _permit: WritePermit,
    ) -> hyper::Result<Response<Incoming>> {
        self.send_metered(request, body_len, Some(counters)).await
    }

    async fn send_metered(
        &mut self,
        request: Request<Full<Bytes>>,
        body_len: usize,
        attempt_counters: Option<Rc<Counters>>,
    ) -> hyper::Result<Response<Incoming>> {
        self.meter.begin_request(body_len, attempt_counters);
        self.sent_at = Instant::now();
        self.sender.send_request(request).await
    }

    /// Closes the connection. Resolves once the socket is closed, after which nothing more is written.
    pub async fn close(mut self) {
        self.driver.abort();
        // The result of an aborted task carries no information.
        let _ = (&mut self.driver).await;
    }

    /// Whether the connection can take a request. Unread bytes make it unusable: if a host sends a second response
    /// after the first one, hyper would take it for the response to the next request.
    fn is_usable(&self) -> bool {
        let peek = || SockRef::from(&*self.stream).peek(&mut [MaybeUninit::uninit()]);
        let peeked = retry_interrupted(peek);
        let no_pending_bytes = peeked.is_err_and(|e| e.kind() == io::ErrorKind::WouldBlock);
        no_pending_bytes && self.sender.is_ready() && !self.sender.is_closed()
    }
}

/// Why no connection to a model host was obtained.
#[derive(Debug, thiserror::Error)]
pub enum ConnectError {
    /// The socket limit is reached.
    #[error("all sockets for model hosts are in use")]
    SocketLimit,
    /// The model host did not accept the connection in time.
    #[error("connect timed out")]
    TimedOut,
    /// Until the time-out, this machine lacked a file descriptor, port, memory or route. The model host may be healthy.
    #[error("connect failed for lack of a local resource: {0}")]
    Local(io::Error),
    /// The connect failed, for example because the host refused it.
    #[error("{0}")]
    Io(#[from] io::Error),
    /// The HTTP connection could not be set up.
    #[error("{0}")]
    Http(#[from] hyper::Error),
}

/// The model host to connect to, and how.
#[derive(Clone, Debug)]
pub struct Target {
    /// The model host; idle connections are kept under this name.
    pub worker: WorkerId,
    /// The model host's current address. Idle connections to another one are not reused.
    pub address: SocketAddr,
    /// Limit on opening a new connection, if it is to be lower than the pool's; `None` for the pool's.
    pub connect_timeout: Option<Duration>,
    /// Whether the connection may take a socket reserved for releases, which must not wait for other requests' sockets.
    pub may_use_reserve: bool,
    /// Whether an idle connection must not be reused: only a new connection proves that the host is reachable now.
    pub requires_new: bool,
}

struct IdleConnection {
    connection: Connection,
    address: SocketAddr,
    idle_since: Instant,
}

/// The connection pool: a tower service that takes a [`Target`] and returns a [`Connection`]. Clones share their state.
#[derive(Clone)]
pub struct Pool {
    idle: Rc<RefCell<HashMap<WorkerId, Vec<IdleConnection>>>>,
    sockets: std::sync::Arc<Semaphore>,
    /// Sockets that only releases may take.
    release_reserve: std::sync::Arc<Semaphore>,
    /// The socket limit, reserve included.
    size: Rc<Cell<usize>>,
    connect_timeout: Duration,
    idle_timeout: Duration,
    /// Until when idle connections are neither kept nor reused.
    reuse_suspended_until: Rc<Cell<Option<Instant>>>,
    /// When each host was last reached or not reached.
    reachability: Rc<RefCell<Reachability>>,
    counters: Rc<Counters>,
}

impl Pool {
    /// Creates a pool of at most `sockets` connections, a sixteenth of which is reserved for releases. Idle connections
    /// are closed after `idle_timeout`.
    pub fn new(
        sockets: usize,
        connect_timeout: Duration,
        idle_timeout: Duration,
        counters: Rc<Counters>,
    ) -> Self {
        let (size, release_reserve) = (
            Rc::new(Cell::new(sockets)),
            sockets / RELEASE_RESERVE_DIVISOR,
        );
        let semaphore = |n| std::sync::Arc::new(Semaphore::new(n));
        let (sockets, release_reserve) = (
            semaphore(sockets - release_reserve),
            semaphore(release_reserve),
        );
        let (idle, reuse_suspended_until, reachability) =
            (Rc::default(), Rc::default(), Rc::default());
        Pool {
            idle,
            sockets,
            release_reserve,
            size,
            connect_timeout,
            idle_timeout,
            reuse_suspended_until,
            reachability,
            counters,
        }
    }

    /// The current limit on sockets, including the reserve for releases.
    pub fn size(&self) -> usize {
        self.size.get()
    }

    /// Changes the socket limit; the reserve for releases keeps its size. To lower the limit, idle connections are
    /// closed, and connections in use are left open: the limit then falls only as far as they allow, and falls further
    /// when this is called again.
    pub fn resize(&self, sockets: usize) {
        let size = self.size.get();
        if sockets >= size {
            self.sockets.add_permits(sockets - size);
            self.size.set(sockets);
            return;
        }
        let reduction = size - sockets;
        if self.sockets.available_permits() < reduction {
            self.close_all_idle();
        }
        self.size.set(size - self.sockets.forget_permits(reduction));
    }

    /// Takes note of a connection that broke before its response. A reused connection that is reset as soon as a
    /// request is written had been closed silently by its peer, and other idle connections probably were, too. A
    /// request written to one of those may have run, so a request that must not run twice would be lost. For that
    /// reason no connection is reused for a while; a new one costs a few round trips. A malformed response does not
    /// count: its connection was open.
    pub fn note_broken(&self, connection: &Connection) {
        if !connection.is_reused
            || connection.meter.has_response_begun()
            || connection.sent_at.elapsed() > STALE_RESET_WINDOW
        {
            return;
        }
        self.counters.stale_connections.up();
        if !self.is_reuse_suspended() {
            log::warn!(
                "an idle connection was reset when it was reused; no connection is reused for {} s",
                REUSE_SUSPENSION.as_secs()
            );
        }
        self.reuse_suspended_until
            .set(Some(Instant::now() + REUSE_SUSPENSION));
        self.close_all_idle();
    }

    fn is_reuse_suspended(&self) -> bool {
        self.reuse_suspended_until
            .get()
            .is_some_and(|deadline| Instant::now() < deadline)
    }

    /// Returns a connection for reuse. Its last response must have been read to the end.
    pub fn put_back(&self, target: &Target, connection: Connection) {
        self.reachability
            .borrow_mut()
            .note_response(&target.worker, Instant::now());
        if self.is_reuse_suspended() {
            return;
        }
        let mut idle_by_worker = self.idle.borrow_mut();
        let idle = idle_by_worker.entry(target.worker.clone()).or_default();
        if idle.len() < MAX_IDLE_PER_HOST && !connection.sender.is_closed() {
            idle.push(IdleConnection {
                connection,
                address: target.address,
                idle_since: Instant::now(),
            });
        }
    }

    /// Closes the idle connections to a model host.
    pub fn close_idle(&self, worker: &WorkerId) {
        self.idle.borrow_mut().remove(worker);
    }

    /// Orders hosts, each given with its zone, for a call that any of them can handle: recently reached hosts first,
    /// unreachable ones last (see [`Reachability::order_spread`]).
    pub fn order_by_reachability(
        &self,
        candidates: Vec<(WorkerId, String)>,
        offset: u64,
    ) -> Vec<WorkerId> {
        self.reachability
            .borrow()
            .order_spread(candidates, Instant::now(), offset)
    }

    /// Whether a complete response of a model host was received after `since`.
    pub fn answered_since(&self, worker: &WorkerId, since: Instant) -> bool {
        self.reachability.borrow().answered_since(worker, since)
    }

    /// Ranks a host behind reachable ones because a call to it went unanswered for longer than a healthy host takes.
    /// Otherwise a machine that vanished would be tried first again and again, because idle connections to it still
    /// look open.
    pub fn mark_unreachable(&self, worker: &WorkerId) {
        self.reachability
            .borrow_mut()
            .mark_unreachable(worker, Instant::now());
    }

    /// Closes connections that were idle for too long or that the peer closed, and drops outdated reachability entries.
    /// To be called periodically.
    pub fn evict_stale(&self) {
        self.reachability.borrow_mut().evict_old(Instant::now());
        self.idle.borrow_mut().retain(|_, idle| {
            idle.retain(|slot| {
                slot.idle_since.elapsed() < self.idle_timeout && !slot.connection.sender.is_closed()
            });
            !idle.is_empty()
        });
    }

    /// Closes the idle connections to all hosts; connections in use are not affected.
    pub fn close_all_idle(&self) {
        self.idle.borrow_mut().clear();
    }

    fn reuse(&self, target: &Target) -> Option<Connection> {
        // An idle connection to an unreachable host still looks open and accepts writes.
        if self.reachability.borrow().is_suspect(&target.worker) {
            return None;
        }
        let mut idle_by_worker = self.idle.borrow_mut();
        let idle = idle_by_worker.get_mut(&target.worker)?;
        while let Some(candidate) = idle.pop() {
            // Model hosts close idle connections after a while; a request written to one of those ends in a reset.
            if candidate.address == target.address
                && candidate.idle_since.elapsed() < self.idle_timeout
                && candidate.connection.is_usable()
            {
                let mut connection = candidate.connection;
                connection.is_reused = true;
                return Some(connection);
            }
        }
        None
    }

    /// Opens a connection, retrying failures for lack of a local resource until `timeout` has passed.
    async fn open_with_retries(
        &self,
        address: SocketAddr,
        timeout: Duration,
    ) -> Result<TcpStream, ConnectError> {
        let deadline = Instant::now() + timeout;
        let mut backoff = LOCAL_ERROR_BACKOFF;
        loop {
            let connecting = tokio::time::timeout_at(deadline, TcpStream::connect(address));
            let error = match connecting.await.map_err(|_| ConnectError::TimedOut)? {
                Ok(stream) => return Ok(stream),
                Err(error) => error,
            };
            match classify_error(SystemCall::Connect, &error) {
                ErrorScope::Peer | ErrorScope::Fatal => return Err(error.into()),
                ErrorScope::Local | ErrorScope::Connection
                    if Instant::now() + backoff >= deadline =>
                {
                    return Err(ConnectError::Local(error));
                }
                ErrorScope::Local | ErrorScope::Connection => {}
            }
            log::debug!("connect to {address}: {error}; retrying in {backoff:?}");
            self.counters.connects_repeated.up();
            // Idle connections may hold the resource that is exhausted.
            self.close_all_idle();
            tokio::time::sleep(backoff).await;
            backoff *= 2;
        }
    }

    async fn connect(self, target: Target) -> Result<Connection, ConnectError> {
        if !target.requires_new
            && let Some(connection) = self.reuse(&target)
        {
            return Ok(connection);
        }
        let permit = if let Ok(permit) = self.sockets.clone().try_acquire_owned() {
            permit
        } else {
            // Idle connections to other hosts count against the limit.
            self.close_all_idle();
            let permit = self.sockets.clone().try_acquire_owned();
            let release_reserve = || {
                self.release_reserve
                    .clone()
                    .try_acquire_owned()
                    .ok()
                    .filter(|_| target.may_use_reserve)
            };
            permit
                .ok()
                .or_else(release_reserve)
                .ok_or(ConnectError::SocketLimit)?
        };
        self.counters.connections_out.up();
        let timeout = target
            .connect_timeout
            .map_or(self.connect_timeout, |limit| {
                limit.min(self.connect_timeout)
            });
        let result = self.open_with_retries(target.address, timeout).await;
        match &result {
            Ok(_) => self
                .reachability
                .borrow_mut()
                .note_connected(&target.worker, Instant::now()),
            // A local failure says nothing about the host, so its rank must not suffer.
            Err(ConnectError::Local(_)) => self.counters.connects_failed_locally.up(),
            Err(_) => self
                .reachability
                .borrow_mut()
                .note_connect_failed(&target.worker, Instant::now()),
        }
        let stream = result?;
        stream.set_nodelay(true)?;
        let (stream, meter) = (Rc::new(stream), Rc::new(IoMeter::default()));
        let io = TokioIo::new(MeteredStream {
            stream: stream.clone(),
            meter: meter.clone(),
            counters: self.counters.clone(),
        });
        // A malformed header (such as a load report) must not cost an otherwise valid response.
        let mut builder = http1::Builder::new();
        builder
            .max_buf_size(64 * 1024)
            .ignore_invalid_headers_in_responses(true);
        let (sender, connection) = builder.handshake(io).await?;
        let driver = tokio::task::spawn_local(async move {
            if let Err(error) = connection.await {
                log::debug!("connection to a model host failed: {error}");
            }
        });
        Ok(Connection {
            sender,
            stream,
            meter,
            driver,
            is_reused: false,
            sent_at: Instant::now(),
            _permit: permit,
        })
    }
}

impl tower::Service<Target> for Pool {
    type Response = Connection;
    type Error = ConnectError;
    type Future = LocalBoxFuture<Result<Connection, ConnectError>>;

    fn poll_ready(&mut self, _: &mut Context<'_>) -> Poll<Result<(), ConnectError>> {
        Poll::Ready(Ok(()))
    }

    fn call(&mut self, target: Target) -> Self::Future {
        Box::pin(self.clone().connect(target))
    }
}

#[cfg(test)]
mod tests;
