//! The server side: accepts clients, takes requests in, passes answers on.

use super::LocalBoxFuture;
use super::client_connection::{ResponseFuture, TrackedBody, serve};
use super::connections::Connections;
use super::fault::pause_after_accept;
use super::framing::ConnectionTracker;
use super::upgrade::socket::drop_new_connections;
use crate::admin::metrics::RequestMetrics;
use crate::counters::Counters;
use crate::exchange::Call;
use crate::front::jsonrpc;
use crate::front::platform::{self, AnswerBody, end_to_end, plain};
use crate::front::shared::{COME_BACK, CUT_OFF, Held, InHand, MOST_BODY, Shared};
use crate::routing::types::Micros;
use bytes::{Bytes, BytesMut};
use futures_util::FutureExt;
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use hyper::{Method, Request, Response, StatusCode};
use std::any::Any;
use std::cell::Cell;
use std::convert::Infallible;
use std::panic::AssertUnwindSafe;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tower::{Service, ServiceBuilder, ServiceExt};

/// Accepts that may fail while what waits is taken at the end.
const MAX_ACCEPT_ERRORS_AT_CLOSE: usize = 64;
/// A client that has said nothing since it connected is let go after this.
pub(super) const FIRST_REQUEST_TIMEOUT: Duration = Duration::from_millis(2_200);
/// The same during a drain, where no place is wanted but none may be held for long.
const DRAINING_FIRST_REQUEST_TIMEOUT: Duration = Duration::from_millis(500);
/// Where places are short, a connection may have to go that has been idle for this long: a client that has just
/// connected gets to send its request.
pub(super) const MIN_IDLE_BEFORE_EVICTION: Duration = Duration::from_millis(50);
/// The same for a request that is still not received.
pub(super) const MIN_ARRIVAL_BEFORE_EVICTION: Duration = Duration::from_millis(400);
/// Connections over the bound that are still told so; beyond them, new ones wait in the system's queue.
pub const MAX_REFUSED_CONNECTIONS: usize = 16;
/// How long a listener that leaves an address to another one waits for the end of handshakes that had begun.
const HANDSHAKE_GRACE: Duration = Duration::from_millis(2);

/// The tower service that clients reach.
#[derive(Clone)]
pub struct ClientService {
    /// What all connections share.
    pub shared: Rc<Shared>,
    /// The tool-call front, if configured.
    pub tools: Option<Rc<jsonrpc::Front>>,
}

impl ClientService {
    fn bad_request(&self, status: StatusCode, text: &'static str) -> Response<AnswerBody> {
        self.shared.counters.bad_requests.up();
        log::debug!("bad request: {text}");
        plain(status, text)
    }

    /// Begins the request_metrics of a request whose head has come; ahead of all that may refuse it.
    fn request_metrics(&self, request: &Request<Incoming>) -> Rc<RequestMetrics> {
        let is_completion =
            request.uri().path() == platform::PATH && request.method() == Method::POST;
        let class = request.headers().get("x-class").filter(|_| is_completion);
        let class = class.and_then(|value| value.to_str().ok()).map(str::trim);
        self.shared
            .metrics
            .begin(class, &self.shared.classes.borrow())
    }

    async fn respond(self, arrival: IncomingRequest) -> Response<AnswerBody> {
        let IncomingRequest {
            request,
            tracker,
            request_metrics,
        } = arrival;
        let head = tracker.take_head();
        if !head.is_sound {
            return self.bad_request(StatusCode::BAD_REQUEST, "ambiguous framing\n");
        }
        let waited = head.arrived.elapsed().as_micros() as Micros;
        let arrived = self.shared.dispatcher.clock.now().saturating_sub(waited);
        let path = request.uri().path();
        if path == "/healthz" && request.method() == Method::GET {
            let ready = (self.shared.ready)() && (self.shared.may_serve)();
            return if ready {
                plain(StatusCode::OK, "ready\n")
            } else {
                plain(StatusCode::SERVICE_UNAVAILABLE, "not ready\n")
            };
        }
        if let Some(front) = self.tools.clone().filter(|f| f.path == path) {
            if request.method() != Method::POST {
                return self.bad_request(StatusCode::METHOD_NOT_ALLOWED, "wrong method\n");
            }
            return match self.read_body(request.into_body(), &tracker).await {
                Ok((body, _held)) => front.respond(body, arrived).await,
                Err(response) => response,
            };
        }
        match (path, request.method()) {
            (platform::PATH, &Method::POST) => {
                self.handle_completion(request, arrived, &tracker, &request_metrics)
                    .await
            }
            (platform::PATH | "/healthz", _) => {
                self.bad_request(StatusCode::METHOD_NOT_ALLOWED, "wrong method\n")
            }
            _ => self.bad_request(StatusCode::NOT_FOUND, "no such path\n"),
        }
    }

    async fn handle_completion(
        self,
        request: Request<Incoming>,
        arrived: Micros,
        tracker: &ConnectionTracker,
        request_metrics: &RequestMetrics,
    ) -> Response<AnswerBody> {
        let shared = self.shared.clone();
        if !(shared.may_serve)() {
            shared.counters.cut_off.up();
            return platform::refusal(Some(CUT_OFF));
        }
        let (head, body) = request.into_parts();
        let mut intake = match platform::decode(&head.headers, arrived) {
            Ok(intake) => intake,
            Err(what) => return self.bad_request(StatusCode::BAD_REQUEST, what),
        };
        if shared.gate.is_none() && !shared.knows(&intake.ask.class) {
            return self.bad_request(StatusCode::BAD_REQUEST, "unknown class\n");
        }
        let (body, mut held) = match self.read_body(body, tracker).await {
            Ok(body) => body,
            Err(response) => return response,
        };
        request_metrics.begin_progress();
        let permit = match shared.admit(&intake.id) {
            Ok(permit) => permit,
            Err(advice) => return platform::refusal(Some(advice)),
        };
        let headers = end_to_end(&head.headers);
        if !held.grow(
            headers
                .iter()
                .map(|(name, value)| name.as_str().len() + value.len())
                .sum(),
        ) {
            shared.counters.over_bound.up();
            return platform::refusal(Some(COME_BACK));
        }
        if !intake.stated {
            // One token is four characters.
            intake.ask.prompt_tokens = body.len() as u64 / 4;
        }
        let pass = match shared.begin(intake.ask.deadline).await {
            Ok(pass) => pass,
            Err(advice) => return platform::refusal(Some(advice)),
        };
        // Only now: the classes are those of the epoch it begins under.
        if !shared.knows(&intake.ask.class) {
            return self.bad_request(StatusCode::BAD_REQUEST, "unknown class\n");
        }
        // Model hosts tell requests apart by their ids: two at once under one would share what is held. An id is in
        // hand until the last attempt and release of its request are over, or another client could send a second
        // copy of a request whose stream still runs.
        if !shared.ids.borrow_mut().insert(intake.id.clone()) {
            return self.bad_request(StatusCode::CONFLICT, "a request with this id is in hand\n");
        }
        let in_hand = InHand::new(shared.clone(), intake.id.clone());
        let target = head
            .uri
            .path_and_query()
            .map_or(platform::PATH, |p| p.as_str())
            .to_owned();
        let keeps: Option<Rc<dyn Any>> = Some(Rc::new((in_hand, held)));
        let call = Call {
            id: intake.id,
            target,
            headers,
            body,
            keeps,
            name: None,
        };
        let asked = shared.dispatcher.submit(intake.ask, call, permit);
        drop(pass);
        let (answer, presence) = asked.answer().await;
        platform::encode(answer, presence)
    }

    /// Reads a body whole, within the bounds of its length and of what all bodies may take. Its time is bounded
    /// by the connection's supervisor.
    async fn read_body(
        &self,
        mut body: Incoming,
        tracker: &ConnectionTracker,
    ) -> Result<(Bytes, Held), Response<AnswerBody>> {
        let too_long = || self.bad_request(StatusCode::PAYLOAD_TOO_LARGE, "body too long\n");
        if body.size_hint().lower() > MOST_BODY as u64 {
            return Err(too_long());
        }
        let (mut received, mut held) = (BytesMut::new(), Held::new(self.shared.clone()));
        while let Some(frame) = body.frame().await {
            let Ok(frame) = frame else {
                return Err(self.bad_request(StatusCode::BAD_REQUEST, "body broken\n"));
            };
            let Ok(data) = frame.into_data() else {
                continue;
            };
            if received.len() + data.len() > MOST_BODY {
                return Err(too_long());
            }
            if !held.grow(data.len()) {
                self.shared.counters.over_bound.up();
                return Err(platform::refusal(Some(COME_BACK)));
            }
            received.extend_from_slice(&data);
        }
        if tracker.has_excess_bytes() {
            return Err(
                self.bad_request(StatusCode::BAD_REQUEST, "more bytes than the length says\n")
            );
        }
        tracker.request_received();
        Ok((received.freeze(), held))
    }
}

/// A request whose head has come, and the connection it comes on.
pub struct IncomingRequest {
    request: Request<Incoming>,
    tracker: Rc<ConnectionTracker>,
    request_metrics: Rc<RequestMetrics>,
}

impl Service<IncomingRequest> for ClientService {
    type Response = Response<AnswerBody>;
    type Error = Infallible;
    type Future = LocalBoxFuture<Result<Self::Response, Infallible>>;

    fn poll_ready(&mut self, _: &mut Context<'_>) -> Poll<Result<(), Infallible>> {
        Poll::Ready(Ok(()))
    }

    fn call(&mut self, arrival: IncomingRequest) -> Self::Future {
        let service = self.clone();
        Box::pin(async move { Ok(service.respond(arrival).await) })
    }
}

/// What becomes of client connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stage {
    /// They are kept for further requests.
    Open,
    /// Operators send clients away: idle ones are closed, and each one after the answer under way. New ones are
    /// accepted and served, and closed after their first answer.
    Draining,
    /// Another process serves the address: nothing more is accepted, and each answer closes its connection.
    Leaving,
    /// The conductor stops and admits no more requests: as while it drains, but requests that come are rejected.
    Rejecting,
    /// The conductor ends: as while it drains, but none is accepted any more.
    Closing,
}

impl Stage {
    fn keeps_connections(self) -> bool {
        self == Stage::Open
    }

    /// Whether connections that rest are closed.
    pub(super) fn closes_idle(self) -> bool {
        matches!(self, Stage::Draining | Stage::Rejecting | Stage::Closing)
    }

    /// Whether new connections are accepted.
    fn accepts(self) -> bool {
        matches!(self, Stage::Open | Stage::Draining | Stage::Rejecting)
    }

    /// How long a connection that has just been accepted is left open without a request.
    pub(super) fn first_request_timeout(self) -> Duration {
        match self {
            Stage::Open | Stage::Leaving => FIRST_REQUEST_TIMEOUT,
            Stage::Draining | Stage::Rejecting => DRAINING_FIRST_REQUEST_TIMEOUT,
            Stage::Closing => MIN_IDLE_BEFORE_EVICTION,
        }
    }
}

/// Accepts clients until told to stop, at most `bound` at once.
pub struct Listener {
    /// The service.
    pub service: ClientService,
    /// Most client connections; [`MAX_REFUSED_CONNECTIONS`] more are told that there is no room.
    pub max_connections: usize,
    /// Most requests that wait for their first event.
    pub max_waiting_requests: usize,
    /// Whether connections are kept.
    pub stage: watch::Receiver<Stage>,
    /// Connections that are open.
    pub connections: Rc<Connections>,
    /// Whether another process serves the address.
    pub other_process_serves: Rc<Cell<bool>>,
}

impl Listener {
    /// Accepts until the connections are to be closed, and then what still waits in the system's queue: a request
    /// written to a connection that this machine has accepted is taken, and a listener that goes resets those.
    pub async fn accept(self, listener: TcpListener) {
        // Over its bound the service refuses: tower's shed turns a full limit into an error, answered below.
        let service = ServiceBuilder::new()
            .load_shed()
            .concurrency_limit(self.max_waiting_requests)
            .service(self.service.clone());
        let mut stage = self.stage.clone();
        loop {
            self.wait_for_room().await;
            tokio::select! {
                biased;
                _ = stage.wait_for(|s| !s.accepts()) => break,
                accepted = listener.accept() => match accepted {
                    Ok((stream, _)) => self.serve_connection(stream, service.clone()),
                    Err(error) => self.accept_failed(&error).await,
                }
            }
        }
        let Ok(listener) = listener.into_std() else {
            return;
        };
        // Not by the stage: one that was passed at once is not seen.
        if self.other_process_serves.get() {
            if let Err(error) = drop_new_connections(&listener) {
                log::warn!("accept: new connections can't be turned away: {error}");
            }
            self.accept_backlog(&listener, &service).await;
            // A handshake that had begun may still end.
            tokio::time::sleep(HANDSHAKE_GRACE).await;
        }
        self.accept_backlog(&listener, &service).await;
    }

    /// Accepts what waits. The system is asked itself: the runtime may not have been told yet of what has come. Not for
    /// ever, though: clients may come without end.
    async fn accept_backlog<S>(&self, listener: &std::net::TcpListener, service: &S)
    where
        S: Service<IncomingRequest, Response = Response<AnswerBody>> + Clone + Unpin + 'static,
        S::Future: 'static,
    {
        let mut errors_left = MAX_ACCEPT_ERRORS_AT_CLOSE;
        for _ in 0..self.max_connections + MAX_REFUSED_CONNECTIONS {
            self.wait_for_room().await;
            let stream = match listener.accept() {
                Ok((stream, _)) => stream,
                Err(error) if error.kind() == std::io::ErrorKind::WouldBlock => return,
                // Others may wait behind the one that this is about, or there may be room for them in a moment.
                Err(error) if errors_left > 0 => {
                    errors_left -= 1;
                    self.accept_failed(&error).await;
                    continue;
                }
                Err(error) => return log::warn!("accept: {error}; what waits is left"),
            };
            if let Ok(stream) = stream
                .set_nonblocking(true)
                .and_then(|()| TcpStream::from_std(stream))
            {
                self.serve_connection(stream, service.clone());
            }
        }
    }

    /// Counts a failed accept, and waits where another one at once would fail as well.
    async fn accept_failed(&self, error: &std::io::Error) {
        let counters = &self.service.shared.counters;
        let Some(pause) = pause_after_accept(error) else {
            counters.accepts_of_one_failed.up();
            return log::debug!("accept: {error}");
        };
        // Out of descriptors, say: what is open goes on, new ones wait.
        counters.accepts_failed.up();
        log::warn!("accept: {error}");
        tokio::time::sleep(pause).await;
    }

    /// The most connections now, [`MAX_REFUSED_CONNECTIONS`] aside.
    fn current_limit(&self) -> usize {
        self.connections
            .limit
            .get()
            .map_or(self.max_connections, |limit| {
                limit.min(self.max_connections)
            })
    }

    /// Waits until there is room for one more connection, if only to be refused.
    async fn wait_for_room(&self) {
        while self.connections.count() >= self.current_limit() + MAX_REFUSED_CONNECTIONS {
            self.connections.evict_one(&self.service.shared.counters);
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    }

    fn serve_connection<S>(&self, stream: TcpStream, service: S)
    where
        S: Service<IncomingRequest, Response = Response<AnswerBody>> + Clone + Unpin + 'static,
        S::Future: 'static,
    {
        let counters = self.service.shared.counters.clone();
        counters.connections_in.up();
        let tracker = ConnectionTracker::new();
        let entry = self.connections.register(tracker.clone());
        // Room is made before there is none: clients that keep their connections for good must not leave a burst
        // to those that are refused.
        let is_nearly_full = self.connections.count() > self.current_limit() * 3 / 4;
        let is_over_limit = is_nearly_full
            && !self.connections.evict_one(&counters)
            && self.connections.count() > self.current_limit();
        if is_over_limit {
            counters.connections_over_bound.up();
        }
        let (stage, room) = (self.stage.clone(), Held::new(self.service.shared.clone()));
        let edge = self.service.clone();
        tokio::task::spawn_local(async move {
            let _entry = entry;
            let (request_tracker, request_counters, request_stage) =
                (tracker.clone(), counters.clone(), stage.clone());
            let answer = move |request: Request<Incoming>| -> ResponseFuture {
                let (service, tracker, counters, stage) = (
                    service.clone(),
                    request_tracker.clone(),
                    request_counters.clone(),
                    request_stage.clone(),
                );
                let edge = edge.clone();
                Box::pin(async move {
                    let request_metrics = edge.request_metrics(&request);
                    let arrival = IncomingRequest {
                        request,
                        tracker: tracker.clone(),
                        request_metrics: request_metrics.clone(),
                    };
                    let mut response = if is_over_limit {
                        platform::refusal(Some(COME_BACK))
                    } else {
                        respond_always(service.oneshot(arrival), &counters).await
                    };
                    if is_over_limit || tracker.must_close() || !stage.borrow().keeps_connections()
                    {
                        let close = hyper::header::HeaderValue::from_static("close");
                        response.headers_mut().insert("connection", close);
                    }
                    Ok(TrackedBody::new(response, tracker, request_metrics))
                })
            };
            serve(
                stream,
                hyper::service::service_fn(answer),
                stage,
                &tracker,
                room,
                &counters,
            )
            .await;
        });
    }
}

/// The service's answer; a refusal where it has no room, and a failure where it panics: a request that was read is
/// never left without an answer.
async fn respond_always<E>(
    answering: impl Future<Output = Result<Response<AnswerBody>, E>>,
    counters: &Counters,
) -> Response<AnswerBody> {
    match AssertUnwindSafe(answering).catch_unwind().await {
        Ok(Ok(response)) => response,
        Ok(Err(_)) => {
            counters.over_bound.up();
            platform::refusal(Some(COME_BACK))
        }
        Err(_) => {
            counters.panics.up();
            log::error!("answering a request panicked; it is answered as failed");
            plain(StatusCode::INTERNAL_SERVER_ERROR, "failed\n")
        }
    }
}

#[cfg(test)]
mod tests;
