//! One client's connection, from its accept to its close: serves the requests on it, and closes it where
//! [`crate::routing::policy::close_permit`] permits it.

use super::LocalBoxFuture;
use super::framing::{Standing, Watch, Watched};
use super::server::{DAWDLES, SILENT_CLIENT, Stage};
use super::stream::{retry_interrupted, shutdown_write};
use crate::admin::metrics::{RequestMetrics, RequestOutcome};
use crate::counters::Counters;
use crate::front::platform::{self, AnswerBody};
use crate::front::shared::{BudgetReservation, MAX_BODY_BYTES};
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
const ARRIVE: Duration = Duration::from_millis(2_400);
/// One that was answered before may come again: a session's next turn, and this conductor knows where its text is
/// kept. It is let go after this, or as soon as its place is wanted.
const IDLE_CLIENT: Duration = Duration::from_secs(30);
/// A client that takes nothing of its answer for this long is gone.
const CLIENT_STALLED: Duration = Duration::from_secs(30);
/// After the conductor has ended its sending, the client has this long to take its last answer and to close: a socket
/// closed over unread bytes is reset, and what the client has not read is lost with it.
pub(super) const LINGER: Duration = Duration::from_secs(1);
/// Bytes that are read and forgotten meanwhile.
const MOST_LINGER: usize = 2 * MAX_BODY_BYTES;
/// For a request that did not come in time.
const TOO_SLOW: &[u8] =
    b"HTTP/1.1 408 Request Timeout\r\nconnection: close\r\ncontent-length: 0\r\n\r\n";

/// What answers one request.
pub(super) type Answerer = LocalBoxFuture<Result<Response<Answering>, Infallible>>;

/// What answers the requests of one connection.
pub(super) trait RequestService:
    hyper::service::Service<
        Request<Incoming>,
        Response = Response<Answering>,
        Error = Infallible,
        Future = Answerer,
    > + Unpin
{
}

impl<S> RequestService for S where
    S: hyper::service::Service<
            Request<Incoming>,
            Response = Response<Answering>,
            Error = Infallible,
            Future = Answerer,
        > + Unpin
{
}

/// An answer's body that tells its connection when it is over, and the figures how it ended.
pub(super) struct Answering {
    body: AnswerBody,
    watch: Rc<Watch>,
    request_metrics: Rc<RequestMetrics>,
}

impl Answering {
    pub fn new(
        response: Response<AnswerBody>,
        watch: Rc<Watch>,
        request_metrics: Rc<RequestMetrics>,
    ) -> Response<Self> {
        if let AnswerBody::Fixed(_) = response.body() {
            request_metrics.end(RequestOutcome::of_status(response.status()));
        }
        response.map(|body| Answering {
            body,
            watch,
            request_metrics,
        })
    }
}

impl Drop for Answering {
    fn drop(&mut self) {
        self.watch.finish();
    }
}

impl Body for Answering {
    type Data = Bytes;
    type Error = platform::StreamBroken;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<hyper::body::Frame<Bytes>, platform::StreamBroken>>> {
        // hyper drops what a slow client has not taken yet when a body fails; it asks again once that is written.
        if matches!(self.body, AnswerBody::Breaking) && self.watch.is_blocked() {
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
fn due(watch: &Watch, accepted: Instant) -> Option<Instant> {
    match watch.standing() {
        Standing::InHand => None,
        Standing::Idle(since) | Standing::Arriving(since) if watch.is_blocked() => {
            Some(since + CLIENT_STALLED)
        }
        Standing::Idle(_) if watch.is_unwanted() => Some(accepted),
        // It was to go while it rested, and just then a request came.
        Standing::Arriving(since) if watch.is_unwanted() => Some(since + DAWDLES),
        Standing::Idle(since) if watch.has_answered() => Some(since + IDLE_CLIENT),
        Standing::Idle(since) => Some(since + SILENT_CLIENT),
        Standing::Arriving(_) if !watch.has_answered() => Some(accepted + ARRIVE),
        Standing::Arriving(since) => Some(since + ARRIVE),
    }
}

/// Resolves when a connection is to be closed for a drain or for the conductor's own end. One that was just accepted
/// may have its first request on the way.
async fn closing(stage: &mut watch::Receiver<Stage>, watch: &Watch, accepted: Instant) {
    loop {
        let Ok(now) = stage.wait_for(|s| s.closes_resting()).await.map(|s| *s) else {
            return;
        };
        if watch.has_answered() {
            return;
        }
        tokio::select! {
            () = tokio::time::sleep_until(accepted + now.first_request_within()) => return,
            Ok(()) = stage.changed() => {}
        }
    }
}

/// What the connection's socket says now. A request may have come on a resting connection that the system has and of which
/// the runtime was not told yet.
fn state(socket: &TcpStream, watch: &Watch) -> ConnectionState {
    match watch.standing() {
        Standing::InHand => ConnectionState::AwaitingResponse,
        Standing::Arriving(_) => ConnectionState::ReceivingRequest,
        Standing::Idle(_) => {
            let peek = || SockRef::from(socket).peek(&mut [MaybeUninit::uninit()]);
            let has_bytes = || retry_interrupted(peek).is_ok_and(|n| n > 0);
            // A client that takes nothing of its answer gets no other one.
            ConnectionState::Idle {
                has_unread_bytes: !watch.is_blocked() && has_bytes(),
            }
        }
    }
}

/// How the serving of a connection ended.
enum Served {
    /// hyper has ended it: in order, or since the client has gone or sent what can't be read.
    Itself(hyper::Result<()>),
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
    watch: &Rc<Watch>,
    room: BudgetReservation,
    counters: &Counters,
) where
    S: RequestService,
{
    let _ = stream.set_nodelay(true);
    let socket = Rc::new(stream);
    let served = serve_requests(&socket, service, stage, watch, room).await;
    let is_late = match &served {
        Served::ClientGone(_) => {
            return log::debug!("client connection: closed under its request");
        }
        Served::Itself(Ok(())) => false,
        Served::Itself(Err(error)) => {
            log::debug!("client connection: {error}");
            // hyper has answered what was no HTTP with a 4xx of its own.
            if error.is_parse() || error.is_parse_too_large() {
                counters.bad_requests.up();
            }
            false
        }
        Served::Closed(_) => watch.is_spent() || matches!(watch.standing(), Standing::Arriving(_)),
    };
    if is_late && !watch.is_blocked() {
        counters.slow_clients.up();
        let _ = retry_interrupted(|| socket.try_write(TOO_SLOW));
    }
    if !matches!(served, Served::Closed(_)) || !watch.is_blocked() {
        watch.finish();
        let _ = shutdown_write(&socket);
        tokio::select! {
            biased;
            () = async { while !watch.is_unwanted() { watch.changed().await } } => {}
            _ = tokio::time::timeout(LINGER, linger(&socket)) => {}
        }
    }
}

/// Serves the requests of a connection until it is to be closed; its socket is left open for the last answer to be taken.
async fn serve_requests<S>(
    socket: &Rc<TcpStream>,
    service: S,
    mut stage: watch::Receiver<Stage>,
    watch: &Rc<Watch>,
    mut room: BudgetReservation,
) -> Served
where
    S: RequestService,
{
    let accepted = Instant::now();
    let mut connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(None)
        .max_buf_size(64 * 1024)
        .serve_connection(
            TokioIo::new(Watched::new(socket.clone(), watch.clone())),
            service,
        );
    let mut stopping = false;
    loop {
        room.shrink_to(watch.kept_ahead());
        let due = due(watch, accepted);
        // hyper takes a kept connection for idle until a head is whole. What has begun to come gets its answer first.
        let may_close = !stopping && !matches!(watch.standing(), Standing::Arriving(_));
        tokio::select! {
            biased;
            // First: what has come by now is looked at before any deadline is.
            ended = &mut connection => return Served::Itself(ended),
            gone = watch.read_ahead(socket, &mut room), if watch.standing() == Standing::InHand => {
                if gone && let Ok(permit) = permit_close(CloseCause::ClientDisconnected, state(socket, watch)) {
                    return Served::ClientGone(permit);
                }
            }
            () = closing(&mut stage, watch, accepted), if may_close => {
                let state = state(socket, watch);
                log::debug!("client connection: it is to close for the end: {state:?}");
                match permit_close(CloseCause::ShuttingDown, state) {
                    // With a request in hand: it is closed behind that one's answer.
                    Ok(_) | Err(CloseDenial::AwaitingResponse) => {
                        stopping = true;
                        Pin::new(&mut connection).graceful_shutdown();
                    }
                    Err(CloseDenial::UnreadBytes | CloseDenial::ReceivingRequest) => tokio::task::yield_now().await,
                }
            }
            () = watch.changed() => {}
            () = async { tokio::time::sleep_until(due.unwrap_or(accepted)).await }, if due.is_some() => {
                match permit_close(CloseCause::TimedOut, state(socket, watch)) {
                    Ok(permit) => {
                        log::debug!("client connection: closed, its time is over: {:?}", watch.standing());
                        return Served::Closed(permit);
                    }
                    Err(refusal) => {
                        log::debug!("client connection: not closed: {refusal}");
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
    let (mut scrap, mut left) = (vec![0; 8 * 1024], MOST_LINGER);
    while left > 0 {
        match socket
            .readable()
            .await
            .and_then(|()| retry_interrupted(|| socket.try_read(&mut scrap)))
        {
            Ok(n) if n > 0 => left = left.saturating_sub(n),
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
            _ => return,
        }
    }
    // Past that its sending is left to stand.
    std::future::pending::<()>().await;
}
