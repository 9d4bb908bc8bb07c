//! Server side: accepts client connections, reads requests and returns responses.

use super::LocalBoxFuture;
use super::client_connection::{ResponseFuture, TrackedBody, serve};
use super::connection_tracker::ConnectionTracker;
use super::connections::Connections;
use super::fault::accept_retry_delay;
use super::upgrade::socket::drop_new_connections;
use crate::admin::metrics::RequestMetrics;
use crate::counters::Counters;
use crate::exchange::UpstreamRequest;
use crate::front::jsonrpc;
use crate::front::platform::{self, AnswerBody, end_to_end_headers, plain};
use crate::front::run_table::{RunDenial, RunName, RunOptions};
use crate::front::shared::{MAX_BODY_BYTES, RETRY_AFTER_CUT_OFF, RETRY_AFTER_OVERLOAD, Shared};
use crate::memory::{BudgetExhausted, Buffer, Reservation};
use crate::routing::types::Micros;
use futures_util::FutureExt;
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use hyper::{HeaderMap, Method, Request, Response, StatusCode};
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

/// A request that follows the last answer on its connection this soon was sent ahead.
const BACK_TO_BACK_PERIOD: Duration = Duration::from_millis(1);
/// Number of failed accepts that are tolerated while the accept queue is emptied at shutdown.
const MAX_ACCEPT_ERRORS_AT_CLOSE: usize = 64;
/// Timeout for the first byte on a new connection.
pub(super) const FIRST_REQUEST_TIMEOUT: Duration = Duration::from_millis(2_200);
/// Timeout for the first byte on a connection accepted during a drain. Capacity is not short then, but no connection
/// may delay the drain for long.
const DRAINING_FIRST_REQUEST_TIMEOUT: Duration = Duration::from_millis(500);
/// Minimum idle time before a connection may be evicted to make room, so that a client that has just connected can
/// send its request.
pub(super) const MIN_IDLE_BEFORE_EVICTION: Duration = Duration::from_millis(50);
/// Minimum time since the first byte of an incomplete request before its connection may be evicted to make room.
pub(super) const MIN_ARRIVAL_BEFORE_EVICTION: Duration = Duration::from_millis(400);
/// Number of connections above the limit that are accepted and receive a refusal. Further connections wait in the
/// kernel's accept queue.
pub const MAX_REFUSED_CONNECTIONS: usize = 16;
/// How long a listener that hands its address over to another process waits for TCP handshakes that are under way.
const HANDSHAKE_GRACE: Duration = Duration::from_millis(2);

/// The tower service that answers client requests.
#[derive(Clone)]
pub struct ClientService {
    /// State shared by all connections.
    pub shared: Rc<Shared>,
    /// The JSON-RPC front end for tool calls; `None` if it is not configured.
    pub tools: Option<Rc<jsonrpc::Front>>,
}

impl ClientService {
    fn bad_request(&self, status: StatusCode, text: &'static str) -> Response<AnswerBody> {
        self.shared.counters.bad_requests.up();
        log::debug!("bad request: {text}");
        plain(status, text)
    }

    fn run_denied(&self, denial: RunDenial) -> Response<AnswerBody> {
        let text = match denial {
            RunDenial::Full => return platform::refusal(Some(RETRY_AFTER_OVERLOAD)),
            RunDenial::InProgress => "a request with this id is in hand\n",
            RunDenial::MayHaveRun | RunDenial::HasStarted => {
                "a request with this id may have run\n"
            }
        };
        self.bad_request(StatusCode::CONFLICT, text)
    }

    fn over_budget(&self, error: BudgetExhausted) -> Response<AnswerBody> {
        self.shared.counters.over_bound.up();
        log::debug!("request rejected: {error}");
        platform::refusal(Some(RETRY_AFTER_OVERLOAD))
    }

    /// Starts the metrics of a request whose head has been received. Called before anything that may refuse the
    /// request.
    fn request_metrics(&self, request: &Request<Incoming>) -> Rc<RequestMetrics> {
        let is_completion =
            request.uri().path() == platform::COMPLETIONS_PATH && request.method() == Method::POST;
        let class = request.headers().get("x-class").filter(|_| is_completion);
        let class = class.and_then(|value| value.to_str().ok()).map(str::trim);
        self.shared
            .metrics
            .begin(class, &self.shared.classes.borrow())
    }

    async fn respond(self, incoming: IncomingRequest) -> Response<AnswerBody> {
        let IncomingRequest {
            request,
            tracker,
            request_metrics,
        } = incoming;
        let head = tracker.take_head();
        if tracker.has_answered_within(BACK_TO_BACK_PERIOD) {
            // Others have their turn between requests that come without a pause.
            tokio::task::yield_now().await;
        }
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
        if let Some(front) = self.tools.clone().filter(|front| front.path == path) {
            if request.method() != Method::POST {
                return self.bad_request(StatusCode::METHOD_NOT_ALLOWED, "wrong method\n");
            }
            return match self.read_body(request.into_body(), &tracker).await {
                Ok(body) => front.respond(body, arrived).await,
                Err(response) => response,
            };
        }
        match (path, request.method()) {
            (platform::COMPLETIONS_PATH, &Method::POST) => {
                self.handle_completion(request, arrived, &tracker, &request_metrics)
                    .await
            }
            (platform::COMPLETIONS_PATH | "/healthz", _) => {
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
        let (head, body) = request.into_parts();
        let mut intake = match platform::decode(&head.headers, arrived) {
            Ok(intake) => intake,
            Err(reason) => return self.bad_request(StatusCode::BAD_REQUEST, reason),
        };
        let name = RunName::Platform(intake.id.as_str().into());
        if let Some(denial) = shared.find_earlier_run(&name, false) {
            return self.run_denied(denial);
        }
        if !(shared.may_serve)() {
            shared.counters.cut_off.up();
            return platform::refusal(Some(RETRY_AFTER_CUT_OFF));
        }
        if shared.gate.is_none() && !shared.has_class(&intake.spec.class) {
            return self.bad_request(StatusCode::BAD_REQUEST, "unknown class\n");
        }
        let body = match self.read_body(body, tracker).await {
            Ok(body) => body.freeze(),
            Err(response) => return response,
        };
        request_metrics.begin_progress();
        let permit = match shared.admit(&intake.id) {
            Ok(permit) => permit,
            Err(retry_after) => return platform::refusal(Some(retry_after)),
        };
        let headers = end_to_end_headers(&head.headers);
        let mut header_memory = Reservation::new(&shared.body_budget);
        if let Err(error) = header_memory.grow(size_of_headers(&headers)) {
            return self.over_budget(error);
        }
        if !intake.has_prompt_length {
            // Estimate: one token is four characters.
            intake.spec.prompt_tokens = body.len() as u64 / 4;
        }
        let gate_pass = match shared.begin(intake.spec.deadline).await {
            Ok(gate_pass) => gate_pass,
            Err(retry_after) => return platform::refusal(Some(retry_after)),
        };
        // Checked only here because the request runs under the settings epoch in force now.
        if !shared.has_class(&intake.spec.class) {
            return self.bad_request(StatusCode::BAD_REQUEST, "unknown class\n");
        }
        // Model hosts identify requests by id, so two concurrent requests with one id would share KV state. The id
        // stays registered until the last attempt and release of the request have ended; otherwise another client
        // could send a second copy of a request whose stream still runs.
        let options = RunOptions {
            retention: shared.run_retention(&intake.spec.class),
            is_resume: false,
        };
        let run_record = match shared.begin_run(name, options) {
            Ok(record) => record,
            Err(denial) => return self.run_denied(denial),
        };
        let target = head
            .uri
            .path_and_query()
            .map_or(platform::COMPLETIONS_PATH, |path| path.as_str())
            .to_owned();
        let lifetime_guards: Option<Rc<dyn Any>> = Some(Rc::new(header_memory));
        let call = UpstreamRequest {
            id: intake.id,
            target,
            headers,
            body: body.into(),
            lifetime_guards,
            run_record: Some(run_record),
            claim_key: None,
        };
        let submitted = shared.dispatcher.submit(intake.spec, call, permit);
        drop(gate_pass);
        let (answer, presence) = submitted.answer().await;
        platform::encode(answer, presence)
    }

    /// Reads a complete body within the limit per body and the memory budget of all bodies. The connection task
    /// enforces the time limit.
    async fn read_body(
        &self,
        mut body: Incoming,
        tracker: &ConnectionTracker,
    ) -> Result<Buffer, Response<AnswerBody>> {
        let too_long = || self.bad_request(StatusCode::PAYLOAD_TOO_LARGE, "body too long\n");
        if body.size_hint().lower() > MAX_BODY_BYTES as u64 {
            return Err(too_long());
        }
        let expected_len = body
            .size_hint()
            .exact()
            .map_or(MAX_BODY_BYTES, |n| n as usize);
        let mut received = Buffer::new(&self.shared.body_budget);
        while let Some(frame) = body.frame().await {
            let Ok(frame) = frame else {
                return Err(self.bad_request(StatusCode::BAD_REQUEST, "body broken\n"));
            };
            let Ok(data) = frame.into_data() else {
                continue;
            };
            if received.len() + data.len() > MAX_BODY_BYTES {
                return Err(too_long());
            }
            received
                .extend(&data, expected_len)
                .map_err(|error| self.over_budget(error))?;
        }
        if tracker.has_excess_bytes() {
            return Err(
                self.bad_request(StatusCode::BAD_REQUEST, "more bytes than the length says\n")
            );
        }
        tracker.request_received();
        Ok(received)
    }
}

fn size_of_headers(headers: &HeaderMap) -> usize {
    let sizes = headers
        .iter()
        .map(|(name, value)| name.as_str().len() + value.len());
    sizes.sum()
}

/// A request whose head has been received, with the state of its connection.
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

    fn call(&mut self, incoming: IncomingRequest) -> Self::Future {
        let service = self.clone();
        Box::pin(async move { Ok(service.respond(incoming).await) })
    }
}

/// How client connections are treated; follows drains and the shutdown.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stage {
    /// Connections are kept open for further requests.
    Open,
    /// An operator drains the router: idle connections are closed, others after the response in progress. New
    /// connections are accepted and closed after their first response.
    Draining,
    /// Another process serves the address: no connection is accepted, and each response closes its connection. Idle
    /// connections stay open.
    Leaving,
    /// The router is stopping and admits no more requests. Connections are treated as in a drain, but new requests
    /// are rejected.
    Rejecting,
    /// Last stage of the shutdown: connections are treated as in a drain, and none is accepted.
    Closing,
}

impl Stage {
    fn keeps_connections(self) -> bool {
        self == Stage::Open
    }

    /// Whether idle connections are closed.
    pub(super) fn closes_idle(self) -> bool {
        matches!(self, Stage::Draining | Stage::Rejecting | Stage::Closing)
    }

    /// Whether new connections are accepted.
    fn accepts(self) -> bool {
        matches!(self, Stage::Open | Stage::Draining | Stage::Rejecting)
    }

    /// How long a newly accepted connection may stay open without sending a request.
    pub(super) fn first_request_timeout(self) -> Duration {
        match self {
            Stage::Open | Stage::Leaving => FIRST_REQUEST_TIMEOUT,
            Stage::Draining | Stage::Rejecting => DRAINING_FIRST_REQUEST_TIMEOUT,
            Stage::Closing => MIN_IDLE_BEFORE_EVICTION,
        }
    }
}

/// Accepts client connections until [`Stage`] forbids it, at most `max_connections` at once.
pub struct Listener {
    /// Service that answers the requests of all connections.
    pub service: ClientService,
    /// Maximum number of client connections. [`MAX_REFUSED_CONNECTIONS`] more are accepted to receive a refusal.
    pub max_connections: usize,
    /// Maximum number of requests that wait for their first event.
    pub max_waiting_requests: usize,
    /// Current stage of client connections.
    pub stage: watch::Receiver<Stage>,
    /// Table to which each accepted connection is added.
    pub connections: Rc<Connections>,
    /// Whether another process serves the same address.
    pub other_process_serves: Rc<Cell<bool>>,
}

impl Listener {
    /// Accepts until the stage forbids it, then takes the connections left in the accept queue. The kernel has
    /// already accepted those and may hold their requests; closing the listener would reset them.
    pub async fn accept(self, listener: TcpListener) {
        // Above the concurrency limit, tower's load shedding returns an error, which `respond_always` turns into a
        // refusal.
        let service = ServiceBuilder::new()
            .load_shed()
            .concurrency_limit(self.max_waiting_requests)
            .service(self.service.clone());
        let mut stage = self.stage.clone();
        loop {
            self.wait_for_room().await;
            tokio::select! {
                biased;
                _ = stage.wait_for(|stage| !stage.accepts()) => break,
                accepted = listener.accept() => match accepted {
                    Ok((stream, _)) => self.serve_connection(stream, service.clone()),
                    Err(error) => self.accept_failed(&error).await,
                }
            }
        }
        let Ok(listener) = listener.into_std() else {
            return;
        };
        // The flag is read instead of the stage because a stage that was replaced at once may not have been observed
        // here.
        if self.other_process_serves.get() {
            if let Err(error) = drop_new_connections(&listener) {
                log::warn!(
                    "accept: cannot attach the SYN filter: {error}; closing the listener may reset new connections"
                );
            }
            self.accept_backlog(&listener, &service).await;
            // A handshake that has begun may still complete.
            tokio::time::sleep(HANDSHAKE_GRACE).await;
        }
        self.accept_backlog(&listener, &service).await;
    }

    /// Accepts the connections in the accept queue. Calls `accept` directly because the runtime may not have seen
    /// their readiness events yet. The number of accepts is bounded because clients may connect without end.
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
                // The error may concern only this connection, or be temporary, so the next accept may succeed.
                Err(error) if errors_left > 0 => {
                    errors_left -= 1;
                    self.accept_failed(&error).await;
                    continue;
                }
                Err(error) => {
                    return log::warn!(
                        "accept: {error}; too many errors, leaving the rest of the accept queue"
                    );
                }
            };
            if let Ok(stream) = stream
                .set_nonblocking(true)
                .and_then(|()| TcpStream::from_std(stream))
            {
                self.serve_connection(stream, service.clone());
            }
        }
    }

    /// Counts a failed accept, and waits if an immediate retry would fail as well.
    async fn accept_failed(&self, error: &std::io::Error) {
        let counters = &self.service.shared.counters;
        let Some(pause) = accept_retry_delay(error) else {
            counters.accepts_of_one_failed.up();
            return log::debug!("accept: {error}");
        };
        // For example, the process is out of descriptors: open connections continue, new ones wait.
        counters.accepts_failed.up();
        log::warn!("accept: {error}; next accept in {} ms", pause.as_millis());
        tokio::time::sleep(pause).await;
    }

    /// Current maximum number of connections, without [`MAX_REFUSED_CONNECTIONS`].
    fn current_limit(&self) -> usize {
        self.connections
            .limit
            .get()
            .map_or(self.max_connections, |limit| {
                limit.min(self.max_connections)
            })
    }

    /// Waits until one more connection may be accepted, if only to refuse its request.
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
        // Evicts idle connections before the limit is reached, so that clients that keep their connections open do
        // not cause a burst of new ones to be refused.
        let is_nearly_full = self.connections.count() > self.current_limit() * 3 / 4;
        let is_over_limit = is_nearly_full
            && !self.connections.evict_one(&counters)
            && self.connections.count() > self.current_limit();
        if is_over_limit {
            counters.connections_over_bound.up();
        }
        let (stage, read_ahead_budget) = (
            self.stage.clone(),
            Reservation::new(&self.service.shared.body_budget),
        );
        let client_service = self.service.clone();
        tokio::task::spawn_local(async move {
            let _entry = entry;
            let (request_tracker, request_counters, request_stage) =
                (tracker.clone(), counters.clone(), stage.clone());
            let respond = move |request: Request<Incoming>| -> ResponseFuture {
                let (service, tracker, counters, stage) = (
                    service.clone(),
                    request_tracker.clone(),
                    request_counters.clone(),
                    request_stage.clone(),
                );
                let client_service = client_service.clone();
                Box::pin(async move {
                    let request_metrics = client_service.request_metrics(&request);
                    let incoming = IncomingRequest {
                        request,
                        tracker: tracker.clone(),
                        request_metrics: request_metrics.clone(),
                    };
                    let mut response = if is_over_limit {
                        platform::refusal(Some(RETRY_AFTER_OVERLOAD))
                    } else {
                        respond_always(service.oneshot(incoming), &counters).await
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
                hyper::service::service_fn(respond),
                stage,
                &tracker,
                read_ahead_budget,
                &counters,
            )
            .await;
        });
    }
}

/// Returns the service's response, a refusal if the concurrency limit is reached, or a 500 if the service panics:
/// every request that was read gets a response.
async fn respond_always<E>(
    answering: impl Future<Output = Result<Response<AnswerBody>, E>>,
    counters: &Counters,
) -> Response<AnswerBody> {
    match AssertUnwindSafe(answering).catch_unwind().await {
        Ok(Ok(response)) => response,
        Ok(Err(_)) => {
            counters.over_bound.up();
            platform::refusal(Some(RETRY_AFTER_OVERLOAD))
        }
        Err(_) => {
            counters.panics.up();
            log::error!("request handler panicked; answering 500");
            plain(StatusCode::INTERNAL_SERVER_ERROR, "failed\n")
        }
    }
}

#[cfg(test)]
mod tests;
