//! One client connection from accept to close: serves its requests, and closes it when
//! [`crate::routing::policy::close_permit`] permits it.

use super::LocalBoxFuture;
use super::connection_tracker::{ConnectionTracker, RequestPhase, TrackedStream};
use super::server::{FIRST_REQUEST_TIMEOUT, MIN_ARRIVAL_BEFORE_EVICTION, Stage};
use super::stream::{retry_interrupted, shutdown_write};
use crate::admin::metrics::{RequestMetrics, RequestOutcome};
use crate::counters::Counters;
use crate::front::platform::{self, AnswerBody};
use crate::front::shared::MAX_BODY_BYTES;
use crate::memory::Reservation;
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

/// Time for a request to arrive completely, counted from its first byte; for the first request on a connection, from
/// the accept. Progress does not extend it: a partial head, a partial body and a body sent one byte at a time all
/// occupy a connection.
const REQUEST_ARRIVAL_TIMEOUT: Duration = Duration::from_millis(2_400);
/// Idle timeout of a connection on which a request was answered. The client may send the next turn of its session
/// here, and this router knows which worker holds the session's KV state. The connection is closed earlier if its
/// capacity is needed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);
/// A client that reads nothing of its response for this long is considered gone. It is earlier where memory is short.
const WRITE_STALL_TIMEOUT: Duration = Duration::from_secs(30);
/// After the router has shut down the sending side, the client has this long to read its last response and close. A
/// socket that is closed with unread input is reset, and response bytes that the client has not read yet are lost.
pub(super) const LINGER_TIMEOUT: Duration = Duration::from_secs(1);
/// Maximum number of bytes read and discarded during that time.
const MAX_LINGER_BYTES: usize = 2 * MAX_BODY_BYTES;
/// Response to a request that was not received in time.
const REQUEST_TIMEOUT_RESPONSE: &[u8] =
    b"HTTP/1.1 408 Request Timeout\r\nconnection: close\r\ncontent-length: 0\r\n\r\n";

/// Future of the response to one request.
pub(super) type ResponseFuture = LocalBoxFuture<Result<Response<TrackedBody>, Infallible>>;

/// The hyper service that answers the requests of one connection.
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

/// A response body that reports its end to the connection tracker and its outcome to the request metrics.
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
    type Error = platform::StreamBroken;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<hyper::body::Frame<Bytes>, platform::StreamBroken>>> {
        // While the client does not read, nothing more is handed to hyper, which would keep it; and when a body fails,
        // hyper discards data that the client has not read yet. hyper polls again when it has written that data.
        if self.tracker.is_write_blocked() {
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

/// When the connection is to be closed if its phase does not change; `None` while a request is in progress.
fn close_deadline(tracker: &ConnectionTracker, accepted: Instant) -> Option<Instant> {
    match tracker.phase() {
        RequestPhase::InProgress => None,
        RequestPhase::Idle(since) | RequestPhase::Arriving(since) if tracker.is_write_blocked() => {
            Some(since + WRITE_STALL_TIMEOUT)
        }
        RequestPhase::Idle(_) if tracker.is_evicted() => Some(accepted),
        // The connection was chosen for eviction while idle, and a request began to arrive before it was closed.
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

/// Resolves when the connection is to be closed for a drain or a shutdown. A connection that was just accepted gets
/// time for its first request, which may be under way.
async fn wait_for_closing_stage(
    stage: &mut watch::Receiver<Stage>,
    tracker: &ConnectionTracker,
    accepted: Instant,
) {
    loop {
        let Ok(stage_now) = stage
            .wait_for(|stage| stage.closes_idle())
            .await
            .map(|stage| *stage)
        else {
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

/// When the connection is to be closed because its client does not read the response in progress.
fn unread_deadline(tracker: &ConnectionTracker) -> Option<Instant> {
    if tracker.is_aborted() {
        return Some(Instant::now());
    }
    Some(tracker.write_blocked_since()? + WRITE_STALL_TIMEOUT)
}

/// Determines the connection's current state. On an idle connection, a request may be in the socket's receive buffer
/// although the runtime has not seen the readiness event yet.
fn connection_state(socket: &TcpStream, tracker: &ConnectionTracker) -> ConnectionState {
    match tracker.phase() {
        RequestPhase::InProgress => ConnectionState::AwaitingResponse,
        RequestPhase::Arriving(_) => ConnectionState::ReceivingRequest,
        RequestPhase::Idle(_) => {
            let peek = || SockRef::from(socket).peek(&mut [MaybeUninit::uninit()]);
            let has_bytes = || retry_interrupted(peek).is_ok_and(|n| n > 0);
            // A client that does not read its response gets no further one.
            ConnectionState::Idle {
                has_unread_bytes: !tracker.is_write_blocked() && has_bytes(),
            }
        }
    }
}

/// How serving a connection ended.
enum ServeOutcome {
    /// hyper ended it: in order, because the client closed, or because its input was invalid.
    HyperFinished(hyper::Result<()>),
    /// The client closed the connection while its request was in progress.
    ClientGone(ClosePermit),
    /// The router closes it, because a timeout expired or its capacity is needed.
    Closed(ClosePermit),
}

/// Serves a connection until it is closed.
pub(super) async fn serve<S>(
    stream: TcpStream,
    service: S,
    stage: watch::Receiver<Stage>,
    tracker: &Rc<ConnectionTracker>,
    read_ahead_budget: Reservation,
    counters: &Counters,
) where
    S: RequestService,
{
    let _ = stream.set_nodelay(true);
    let socket = Rc::new(stream);
    let outcome = serve_requests(&socket, service, stage, tracker, read_ahead_budget).await;
    let is_late = match &outcome {
        ServeOutcome::ClientGone(_) => {
            return log::debug!(
                "client connection: closed by the client while its request was in progress"
            );
        }
        ServeOutcome::HyperFinished(Ok(())) => false,
        ServeOutcome::HyperFinished(Err(error)) => {
            log::debug!("client connection: {error}");
            // hyper has answered invalid HTTP with its own 4xx response.
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
        let _ = retry_interrupted(|| socket.try_write(REQUEST_TIMEOUT_RESPONSE));
    }
    if !matches!(outcome, ServeOutcome::Closed(_)) || !tracker.is_write_blocked() {
        tracker.response_finished();
        let _ = shutdown_write(&socket);
        tokio::select! {
            biased;
            () = async { while !tracker.is_evicted() { tracker.changed().await } } => {}
            _ = tokio::time::timeout(LINGER_TIMEOUT, linger(&socket)) => {}
        }
    }
}

/// Serves requests until the connection is to be closed. Leaves the socket open so that the client can read the last
/// response.
async fn serve_requests<S>(
    socket: &Rc<TcpStream>,
    service: S,
    mut stage: watch::Receiver<Stage>,
    tracker: &Rc<ConnectionTracker>,
    mut read_ahead_budget: Reservation,
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
        read_ahead_budget.shrink_to(tracker.buffered_bytes());
        let deadline = close_deadline(tracker, accepted);
        let unread_deadline = unread_deadline(tracker);
        // hyper treats a keep-alive connection as idle until a head is complete. A request that has begun to arrive
        // is answered first.
        let may_close = !is_closing && !matches!(tracker.phase(), RequestPhase::Arriving(_));
        tokio::select! {
            biased;
            // Polled first, so that received data is processed before any deadline is checked.
            result = &mut connection => return ServeOutcome::HyperFinished(result),
            has_closed = tracker.read_ahead(socket, &mut read_ahead_budget), if tracker.phase() == RequestPhase::InProgress => {
                if has_closed && let Ok(permit) = permit_close(CloseCause::ClientDisconnected, connection_state(socket, tracker)) {
                    return ServeOutcome::ClientGone(permit);
                }
            }
            () = wait_for_closing_stage(&mut stage, tracker, accepted), if may_close => {
                let state = connection_state(socket, tracker);
                log::debug!("client connection: closing for a drain or shutdown, state {state:?}");
                match permit_close(CloseCause::ShuttingDown, state) {
                    // With a request in progress, the connection is closed after its response.
                    Ok(_) | Err(CloseDenial::AwaitingResponse) => {
                        is_closing = true;
                        Pin::new(&mut connection).graceful_shutdown();
                    }
                    Err(CloseDenial::UnreadBytes | CloseDenial::ReceivingRequest) => tokio::task::yield_now().await,
                }
            }
            () = tracker.changed() => {}
            () = async { tokio::time::sleep_until(unread_deadline.unwrap_or(accepted)).await }, if unread_deadline.is_some() => {
                if let Ok(permit) = permit_close(CloseCause::ResponseUnread, connection_state(socket, tracker)) {
                    return ServeOutcome::Closed(permit);
                }
            }
            () = async { tokio::time::sleep_until(deadline.unwrap_or(accepted)).await }, if deadline.is_some() => {
                match permit_close(CloseCause::TimedOut, connection_state(socket, tracker)) {
                    Ok(permit) => {
                        log::debug!("client connection: timed out, closing: {:?}", tracker.phase());
                        return ServeOutcome::Closed(permit);
                    }
                    Err(denial) => {
                        log::debug!("client connection: timed out, but kept open: {denial}");
                        tokio::task::yield_now().await;
                    }
                }
            }
        }
    }
}

/// Reads and discards input until the client closes, so that it can read its last response although it sends more. A
/// socket that is closed with unread input is reset.
async fn linger(socket: &TcpStream) {
    let (mut discarded, mut left) = (vec![0; 8 * 1024], MAX_LINGER_BYTES);
    while left > 0 {
        match socket
            .readable()
            .await
            .and_then(|()| retry_interrupted(|| socket.try_read(&mut discarded)))
        {
            Ok(n) if n > 0 => left = left.saturating_sub(n),
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
            _ => return,
        }
    }
    // Above the limit, input stays unread.
    std::future::pending::<()>().await;
}
