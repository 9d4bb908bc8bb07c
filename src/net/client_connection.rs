//! One client's connection, from its accept to its close: serves the requests on it, and closes it where
//! [`crate::routing::policy::close_permit`] permits it.

use super::LocalBoxFuture;
use super::framing::{ConnectionTracker, RequestPhase, TrackedStream};
use super::server::{FIRST_REQUEST_TIMEOUT, MIN_ARRIVAL_BEFORE_EVICTION, Stage};
use super::stream::{end_sending, uninterrupted};
use crate::admin::metrics::{RequestMetrics, RequestOutcome};
use crate::counters::Counters;
use crate::front::platform::{self, AnswerBody};
use crate::front::shared::{Held, MOST_BODY};
use crate::routing::policy::close_permit::{
    CloseCause, CloseDenial, ClosePermit, ConnectionState, permit_close,
};
use bytes::Bytes;
use hyper::body::{Body, Incoming};
use hyper::server::conn::http1;
use hyper::{Request, Response};
use hyper_util::rt::{TokioIo, TokioTimer};
use socket2::SockRef;
use std::convert::Infallible;
use std::io;
use std::mem::MaybeUninit;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::time::Instant;

/// A request has this long to come whole, from its first byte and, the first on a connection, from the accept on.
/// Progress doesn't renew it: half a head, half a body and a drip without end all hold a place.
const REQUEST_ARRIVAL_TIMEOUT: Duration = Duration::from_millis(2_400);
/// One that was answered before may come again: a session's next turn, and this conductor knows where its text is
/// kept. It is let go after this, or as soon as its place is wanted.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);
/// A client that takes nothing of its answer for this long is gone.
const WRITE_STALL_TIMEOUT: Duration = Duration::from_secs(30);
/// After the conductor has ended its sending, the client has this long to take its last answer and to close: a socket
/// closed over unread bytes is reset, and what the client has not read is lost with it.
pub(super) const LINGER_TIMEOUT: Duration = Duration::from_secs(1);
/// Bytes that are read and forgotten meanwhile.
const MAX_LINGER_BYTES: usize = 2 * MOST_BODY;
/// For a request that did not come in time.
const REQUEST_TIMEOUT_RESPONSE: &[u8] =
    b"HTTP/1.1 408 Request Timeout\r\nconnection: close\r\ncontent-length: 0\r\n\r\n";

/// What answers one request.
pub(super) type ResponseFuture = LocalBoxFuture<Result<Response<TrackedBody>, Infallible>>;

/// What answers the requests of one connection.
pub(super) trait RequestService:
    hyper::service::Service<
        Request<Incoming>,
        Response = Response<TrackedBody>,
        Error = Infallible,
        Future = ResponseFuture,
    > + Unpin
{
}

impl<S> RequestService for S where
    S: hyper::service::Service<
            Request<Incoming>,
            Response = Response<TrackedBody>,
            Error = Infallible,
            Future = ResponseFuture,
        > + Unpin
{
}

/// An answer's body that tells its connection when it is over, and the figures how it ended.
pub(super) struct TrackedBody {
    body: AnswerBody,
    tracker: Rc<ConnectionTracker>,
    request_metrics: Rc<RequestMetrics>,
}

impl TrackedBody {
    pub fn new(
        response: Response<AnswerBody>,
        tracker: Rc<ConnectionTracker>,
        request_metrics: Rc<RequestMetrics>,
    ) -> Response<Self> {
        if let AnswerBody::Fixed(_) = response.body() {
            request_metrics.end(RequestOutcome::of_status(response.status()));
        }
        response.map(|body| TrackedBody {
            body,
            tracker,
            request_metrics,
        })
    }
}

impl Drop for TrackedBody {
    fn drop(&mut self) {
        self.tracker.response_finished();
    }
}

impl Body for TrackedBody {
    type Data = Bytes;
    type Error = platform::Broken;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<hyper::body::Frame<Bytes>, platform::Broken>>> {
        // hyper drops what a slow client has not taken yet when a body fails; it asks again once that is written.
        if matches!(self.body, AnswerBody::Breaking) && self.tracker.is_write_blocked() {
            return Poll::Pending;
        }
        let next = Pin::new(&mut self.body).poll_frame(cx);
        match &next {
            Poll::Ready(None) => self.request_metrics.end(RequestOutcome::Served),
            Poll::Ready(Some(Err(_))) => self.request_metrics.end(RequestOutcome::Failed),
            Poll::Ready(Some(Ok(_))) | Poll::Pending => {}
        }
        next
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> hyper::body::SizeHint {
        self.body.size_hint()
    }
}

/// When a connection is to be closed as it stands.
fn close_deadline(tracker: &ConnectionTracker, accepted: Instant) -> Option<Instant> {
    match tracker.phase() {
        RequestPhase::InProgress => None,
        RequestPhase::Idle(since) | RequestPhase::Arriving(since) if tracker.is_write_blocked() => {
            Some(since + WRITE_STALL_TIMEOUT)
        }
        RequestPhase::Idle(_) if tracker.is_evicted() => Some(accepted),
        // It was to go while it rested, and just then a request came.
        RequestPhase::Arriving(since) if tracker.is_evicted() => {
            Some(since + MIN_ARRIVAL_BEFORE_EVICTION)
        }
        RequestPhase::Idle(since) if tracker.has_answered() => Some(since + IDLE_TIMEOUT),
        RequestPhase::Idle(since) => Some(since + FIRST_REQUEST_TIMEOUT),
        RequestPhase::Arriving(_) if !tracker.has_answered() => {
            Some(accepted + REQUEST_ARRIVAL_TIMEOUT)
        }
        RequestPhase::Arriving(since) => Some(since + REQUEST_ARRIVAL_TIMEOUT),
    }
}

/// Resolves when a connection is to be closed for a drain or for the conductor's own end. One that was just accepted
/// may have its first request on the way.
async fn wait_for_closing_stage(
    stage: &mut watch::Receiver<Stage>,
    tracker: &ConnectionTracker,
    accepted: Instant,
) {
    loop {
        let Ok(stage_now) = stage.wait_for(|s| s.closes_idle()).await.map(|s| *s) else {
            return;
        };
        if tracker.has_answered() {
            return;
        }
        tokio::select! {
            () = tokio::time::sleep_until(accepted + stage_now.first_request_timeout()) => return,
            Ok(()) = stage.changed() => {}
        }
    }
}

/// What the connection's socket says now. A request may have come on a resting connection that the system has and of which
/// the runtime was not told yet.
fn connection_state(socket: &TcpStream, tracker: &ConnectionTracker) -> ConnectionState {
    match tracker.phase() {
        RequestPhase::InProgress => ConnectionState::InHand,
        RequestPhase::Arriving(_) => ConnectionState::Arriving,
        RequestPhase::Idle(_) => {
            let peek = || SockRef::from(socket).peek(&mut [MaybeUninit::uninit()]);
            let has_bytes = || uninterrupted(peek).is_ok_and(|n| n > 0);
            // A client that takes nothing of its answer gets no other one.
            ConnectionState::Resting {
                has_unread: !tracker.is_write_blocked() && has_bytes(),
            }
        }
    }
}

/// How the serving of a connection ended.
enum ServeOutcome {
    /// hyper has ended it: in order, or since the client has gone or sent what can't be read.
    HyperFinished(hyper::Result<()>),
    /// The client has closed it under its request.
    ClientGone(ClosePermit),
    /// It is closed as it stands.
    Closed(ClosePermit),
}

/// Serves a connection to its end.
pub(super) async fn serve<S>(
    stream: TcpStream,
    service: S,
    stage: watch::Receiver<Stage>,
    tracker: &Rc<ConnectionTracker>,
    room: Held,
    counters: &Counters,
) where
    S: RequestService,
{
    let _ = stream.set_nodelay(true);
    let socket = Rc::new(stream);
    let outcome = serve_requests(&socket, service, stage, tracker, room).await;
    let is_late = match &outcome {
        ServeOutcome::ClientGone(_) => {
            return log::debug!("client connection: closed under its request");
        }
        ServeOutcome::HyperFinished(Ok(())) => false,
        ServeOutcome::HyperFinished(Err(error)) => {
            log::debug!("client connection: {error}");
            // hyper has answered what was no HTTP with a 4xx of its own.
            if error.is_parse() || error.is_parse_too_large() {
                counters.bad_requests.up();
            }
            false
        }
        ServeOutcome::Closed(_) => {
            tracker.must_close() || matches!(tracker.phase(), RequestPhase::Arriving(_))
        }
    };
    if is_late && !tracker.is_write_blocked() {
        counters.slow_clients.up();
        let _ = uninterrupted(|| socket.try_write(REQUEST_TIMEOUT_RESPONSE));
    }
    if !matches!(outcome, ServeOutcome::Closed(_)) || !tracker.is_write_blocked() {
        tracker.response_finished();
        let _ = end_sending(&socket);
        tokio::select! {
            biased;
            () = async { while !tracker.is_evicted() { tracker.changed().await } } => {}
            _ = tokio::time::timeout(LINGER_TIMEOUT, linger(&socket)) => {}
        }
    }
}

/// Serves the requests of a connection until it is to be closed; its socket is left open for the last answer to be taken.
async fn serve_requests<S>(
    socket: &Rc<TcpStream>,
    service: S,
    mut stage: watch::Receiver<Stage>,
    tracker: &Rc<ConnectionTracker>,
    mut room: Held,
) -> ServeOutcome
where
    S: RequestService,
{
    let accepted = Instant::now();
    let mut connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(None)
        .max_buf_size(64 * 1024)
        .serve_connection(
            TokioIo::new(TrackedStream::new(socket.clone(), tracker.clone())),
            service,
        );
    let mut is_closing = false;
    loop {
        room.shrink_to(tracker.buffered_bytes());
        let deadline = close_deadline(tracker, accepted);
        // hyper takes a kept connection for idle until a head is whole. What has begun to come gets its answer first.
        let may_close = !is_closing && !matches!(tracker.phase(), RequestPhase::Arriving(_));
        tokio::select! {
            biased;
            // First: what has come by now is looked at before any deadline is.
            result = &mut connection => return ServeOutcome::HyperFinished(result),
            has_closed = tracker.read_ahead(socket, &mut room), if tracker.phase() == RequestPhase::InProgress => {
                if has_closed && let Ok(permit) = permit_close(CloseCause::ClientGone, connection_state(socket, tracker)) {
                    return ServeOutcome::ClientGone(permit);
                }
            }
            () = wait_for_closing_stage(&mut stage, tracker, accepted), if may_close => {
                let state = connection_state(socket, tracker);
                log::debug!("client connection: it is to close for the end: {state:?}");
                match permit_close(CloseCause::Ending, state) {
                    // With a request in hand: it is closed behind that one's answer.
                    Ok(_) | Err(CloseDenial::InHand) => {
                        is_closing = true;
                        Pin::new(&mut connection).graceful_shutdown();
                    }
                    Err(CloseDenial::Unread | CloseDenial::Arriving) => tokio::task::yield_now().await,
                }
            }
            () = tracker.changed() => {}
            () = async { tokio::time::sleep_until(deadline.unwrap_or(accepted)).await }, if deadline.is_some() => {
                match permit_close(CloseCause::TimeOver, connection_state(socket, tracker)) {
                    Ok(permit) => {
                        log::debug!("client connection: closed, its time is over: {:?}", tracker.phase());
                        return ServeOutcome::Closed(permit);
                    }
                    Err(denial) => {
                        log::debug!("client connection: not closed: {denial}");
                        tokio::task::yield_now().await;
                    }
                }
            }
        }
    }
}

/// Reads and forgets, so that a client can take its last answer though more of its bytes come: until it has closed,
/// too. A socket closed over unread bytes is reset.
async fn linger(socket: &TcpStream) {
    let (mut discarded, mut left) = (vec![0; 8 * 1024], MAX_LINGER_BYTES);
    while left > 0 {
        match socket
            .readable()
            .await
            .and_then(|()| uninterrupted(|| socket.try_read(&mut discarded)))
        {
            Ok(n) if n > 0 => left = left.saturating_sub(n),
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
            _ => return,
        }
    }
    // Past that its sending is left to stand.
    std::future::pending::<()>().await;
}
