//! The server side: accepts clients, takes requests in, passes answers on.

use super::LocalBoxFuture;
use super::client_connection::{Answerer, Answering, serve};
use super::connections::Connections;
use super::fault::accept_retry_delay;
use super::framing::Watch;
use super::upgrade::socket::turn_away_new;
use crate::admin::metrics::RequestMetrics;
use crate::counters::Counters;
use crate::exchange::UpstreamRequest;
use crate::front::jsonrpc;
use crate::front::platform::{self, AnswerBody, end_to_end_headers, plain};
use crate::front::shared::{
    ActiveRequestId, BudgetReservation, MAX_BODY_BYTES, RETRY_AFTER_CUT_OFF, RETRY_AFTER_OVERLOAD,
    Shared,
};
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
const ACCEPTS_AFTER_FAULTS: usize = 64;
/// A client that has said nothing since it connected is let go after this.
pub(super) const SILENT_CLIENT: Duration = Duration::from_millis(2_200);
/// The same during a drain, where no place is wanted but none may be held for long.
const LATE_CLIENT: Duration = Duration::from_millis(500);
/// Where places are short, a connection may have to go that has been idle for this long: a client that has just
/// connected gets to send its request.
pub(super) const SETTLED: Duration = Duration::from_millis(50);
/// The same for a request that is still not whole.
pub(super) const DAWDLES: Duration = Duration::from_millis(400);
/// Connections over the bound that are still told so; beyond them, new ones wait in the system's queue.
pub const OVER: usize = 16;
/// How long a listener that leaves an address to another one waits for the end of handshakes that had begun.
const HANDSHAKE: Duration = Duration::from_millis(2);

/// The tower service that clients reach.
#[derive(Clone)]
pub struct Edge {
    /// What all connections share.
    pub shared: Rc<Shared>,
    /// The tool-call front, if configured.
    pub tools: Option<Rc<jsonrpc::Front>>,
}

impl Edge {
    fn bad(&self, status: StatusCode, text: &'static str) -> Response<AnswerBody> {
        self.shared.counters.bad_requests.up();
        log::debug!("bad request: {text}");
        plain(status, text)
    }

    /// Begins the request_metrics of a request whose head has come; ahead of all that may refuse it.
    fn request_metrics(&self, request: &Request<Incoming>) -> Rc<RequestMetrics> {
        let asks =
            request.uri().path() == platform::COMPLETIONS_PATH && request.method() == Method::POST;
        let class = request.headers().get("x-class").filter(|_| asks);
        let class = class.and_then(|value| value.to_str().ok()).map(str::trim);
        self.shared
            .metrics
            .begin(class, &self.shared.classes.borrow())
    }

    async fn respond(self, arrival: Arrival) -> Response<AnswerBody> {
        let Arrival {
            request,
            watch,
            request_metrics,
        } = arrival;
        let head = watch.head();
        if !head.is_sound {
            return self.bad(StatusCode::BAD_REQUEST, "ambiguous framing\n");
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
                return self.bad(StatusCode::METHOD_NOT_ALLOWED, "wrong method\n");
            }
            return match self.body(request.into_body(), &watch).await {
                Ok((body, _held)) => front.respond(body, arrived).await,
                Err(response) => response,
            };
        }
        match (path, request.method()) {
            (platform::COMPLETIONS_PATH, &Method::POST) => {
                self.platform(request, arrived, &watch, &request_metrics)
                    .await
            }
            (platform::COMPLETIONS_PATH | "/healthz", _) => {
                self.bad(StatusCode::METHOD_NOT_ALLOWED, "wrong method\n")
            }
            _ => self.bad(StatusCode::NOT_FOUND, "no such path\n"),
        }
    }

    async fn platform(
        self,
        request: Request<Incoming>,
        arrived: Micros,
        watch: &Watch,
        request_metrics: &RequestMetrics,
    ) -> Response<AnswerBody> {
        let shared = self.shared.clone();
        if !(shared.may_serve)() {
            shared.counters.cut_off.up();
            return platform::refusal(Some(RETRY_AFTER_CUT_OFF));
        }
        let (head, body) = request.into_parts();
        let mut intake = match platform::decode(&head.headers, arrived) {
            Ok(intake) => intake,
            Err(what) => return self.bad(StatusCode::BAD_REQUEST, what),
        };
        if shared.gate.is_none() && !shared.has_class(&intake.spec.class) {
            return self.bad(StatusCode::BAD_REQUEST, "unknown class\n");
        }
        let (body, mut held) = match self.body(body, watch).await {
            Ok(body) => body,
            Err(response) => return response,
        };
        request_metrics.begin_progress();
        let permit = match shared.admit(&intake.id) {
            Ok(permit) => permit,
            Err(advice) => return platform::refusal(Some(advice)),
        };
        let headers = end_to_end_headers(&head.headers);
        if !held.grow(
            headers
                .iter()
                .map(|(name, value)| name.as_str().len() + value.len())
                .sum(),
        ) {
            shared.counters.over_bound.up();
            return platform::refusal(Some(RETRY_AFTER_OVERLOAD));
        }
        if !intake.has_prompt_length {
            // One token is four characters.
            intake.spec.prompt_tokens = body.len() as u64 / 4;
        }
        let pass = match shared.begin(intake.spec.deadline).await {
            Ok(pass) => pass,
            Err(advice) => return platform::refusal(Some(advice)),
        };
        // Only now: the classes are those of the epoch it begins under.
        if !shared.has_class(&intake.spec.class) {
            return self.bad(StatusCode::BAD_REQUEST, "unknown class\n");
        }
        // Model hosts tell requests apart by their ids: two at once under one would share what is held. An id is in
        // hand until the last attempt and release of its request are over, or another client could send a second
        // copy of a request whose stream still runs.
        if !shared.active_ids.borrow_mut().insert(intake.id.clone()) {
            return self.bad(StatusCode::CONFLICT, "a request with this id is in hand\n");
        }
        let in_hand = ActiveRequestId::new(shared.clone(), intake.id.clone());
        let target = head
            .uri
            .path_and_query()
            .map_or(platform::COMPLETIONS_PATH, |p| p.as_str())
            .to_owned();
        let lifetime_guards: Option<Rc<dyn Any>> = Some(Rc::new((in_hand, held)));
        let call = UpstreamRequest {
            id: intake.id,
            target,
            headers,
            body,
            lifetime_guards,
            claim_key: None,
        };
        let asked = shared.dispatcher.submit(intake.spec, call, permit);
        drop(pass);
        let (answer, presence) = asked.answer().await;
        platform::encode(answer, presence)
    }

    /// Reads a body whole, within the bounds of its length and of what all bodies may take. Its time is bounded
    /// by the connection's supervisor.
    async fn body(
        &self,
        mut body: Incoming,
        watch: &Watch,
    ) -> Result<(Bytes, BudgetReservation), Response<AnswerBody>> {
        let too_long = || self.bad(StatusCode::PAYLOAD_TOO_LARGE, "body too long\n");
        if body.size_hint().lower() > MAX_BODY_BYTES as u64 {
            return Err(too_long());
        }
        let (mut whole, mut held) = (BytesMut::new(), BudgetReservation::new(self.shared.clone()));
        while let Some(frame) = body.frame().await {
            let Ok(frame) = frame else {
                return Err(self.bad(StatusCode::BAD_REQUEST, "body broken\n"));
            };
            let Ok(data) = frame.into_data() else {
                continue;
            };
            if whole.len() + data.len() > MAX_BODY_BYTES {
                return Err(too_long());
            }
            if !held.grow(data.len()) {
                self.shared.counters.over_bound.up();
                return Err(platform::refusal(Some(RETRY_AFTER_OVERLOAD)));
            }
            whole.extend_from_slice(&data);
        }
        if watch.has_excess() {
            return Err(self.bad(StatusCode::BAD_REQUEST, "more bytes than the length says\n"));
        }
        watch.whole();
        Ok((whole.freeze(), held))
    }
}

/// A request whose head has come, and the connection it comes on.
pub struct Arrival {
    request: Request<Incoming>,
    watch: Rc<Watch>,
    request_metrics: Rc<RequestMetrics>,
}

impl Service<Arrival> for Edge {
    type Response = Response<AnswerBody>;
    type Error = Infallible;
    type Future = LocalBoxFuture<Result<Self::Response, Infallible>>;

    fn poll_ready(&mut self, _: &mut Context<'_>) -> Poll<Result<(), Infallible>> {
        Poll::Ready(Ok(()))
    }

    fn call(&mut self, arrival: Arrival) -> Self::Future {
        let edge = self.clone();
        Box::pin(async move { Ok(edge.respond(arrival).await) })
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
    pub(super) fn closes_resting(self) -> bool {
        matches!(self, Stage::Draining | Stage::Rejecting | Stage::Closing)
    }

    /// Whether new connections are accepted.
    fn accepts(self) -> bool {
        matches!(self, Stage::Open | Stage::Draining | Stage::Rejecting)
    }

    /// How long a connection that has just been accepted is left open without a request.
    pub(super) fn first_request_within(self) -> Duration {
        match self {
            Stage::Open | Stage::Leaving => SILENT_CLIENT,
            Stage::Draining | Stage::Rejecting => LATE_CLIENT,
            Stage::Closing => SETTLED,
        }
    }
}

/// Accepts clients until told to stop, at most `bound` at once.
pub struct Listener {
    /// The service.
    pub edge: Edge,
    /// Most client connections; [`OVER`] more are told that there is no room.
    pub bound: usize,
    /// Most requests that wait for their first event.
    pub waiting: usize,
    /// Whether connections are kept.
    pub stage: watch::Receiver<Stage>,
    /// Connections that are open.
    pub open: Rc<Connections>,
    /// Whether another process serves the address.
    pub other_serves: Rc<Cell<bool>>,
}

impl Listener {
    /// Accepts until the connections are to be closed, and then what still waits in the system's queue: a request
    /// written to a connection that this machine has accepted is taken, and a listener that goes resets those.
    pub async fn accept(self, listener: TcpListener) {
        // Over its bound the service refuses: tower's shed turns a full limit into an error, answered below.
        let service = ServiceBuilder::new()
            .load_shed()
            .concurrency_limit(self.waiting)
            .service(self.edge.clone());
        let mut stage = self.stage.clone();
        loop {
            self.room().await;
            tokio::select! {
                biased;
                _ = stage.wait_for(|s| !s.accepts()) => break,
                accepted = listener.accept() => match accepted {
                    Ok((stream, _)) => self.begin(stream, service.clone()),
                    Err(error) => self.accept_failed(&error).await,
                }
            }
        }
        let Ok(listener) = listener.into_std() else {
            return;
        };
        // Not by the stage: one that was passed at once is not seen.
        if self.other_serves.get() {
            if let Err(error) = turn_away_new(&listener) {
                log::warn!("accept: new connections can't be turned away: {error}");
            }
            self.empty(&listener, &service).await;
            // A handshake that had begun may still end.
            tokio::time::sleep(HANDSHAKE).await;
        }
        self.empty(&listener, &service).await;
    }

    /// Accepts what waits. The system is asked itself: the runtime may not have been told yet of what has come. Not for
    /// ever, though: clients may come without end.
    async fn empty<S>(&self, listener: &std::net::TcpListener, service: &S)
    where
        S: Service<Arrival, Response = Response<AnswerBody>> + Clone + Unpin + 'static,
        S::Future: 'static,
    {
        let mut attempts_after_faults = ACCEPTS_AFTER_FAULTS;
        for _ in 0..self.bound + OVER {
            self.room().await;
            let stream = match listener.accept() {
                Ok((stream, _)) => stream,
                Err(error) if error.kind() == std::io::ErrorKind::WouldBlock => return,
                // Others may wait behind the one that this is about, or there may be room for them in a moment.
                Err(error) if attempts_after_faults > 0 => {
                    attempts_after_faults -= 1;
                    self.accept_failed(&error).await;
                    continue;
                }
                Err(error) => return log::warn!("accept: {error}; what waits is left"),
            };
            if let Ok(stream) = stream
                .set_nonblocking(true)
                .and_then(|()| TcpStream::from_std(stream))
            {
                self.begin(stream, service.clone());
            }
        }
    }

    /// Counts a failed accept, and waits where another one at once would fail as well.
    async fn accept_failed(&self, error: &std::io::Error) {
        let counters = &self.edge.shared.counters;
        let Some(pause) = accept_retry_delay(error) else {
            counters.accepts_of_one_failed.up();
            return log::debug!("accept: {error}");
        };
        // Out of descriptors, say: what is open goes on, new ones wait.
        counters.accepts_failed.up();
        log::warn!("accept: {error}");
        tokio::time::sleep(pause).await;
    }

    /// The most connections now, [`OVER`] aside.
    fn most(&self) -> usize {
        self.open
            .most
            .get()
            .map_or(self.bound, |most| most.min(self.bound))
    }

    /// Waits until there is room for one more connection, if only to be refused.
    async fn room(&self) {
        while self.open.count() >= self.most() + OVER {
            self.open.make_room(&self.edge.shared.counters);
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    }

    fn begin<S>(&self, stream: TcpStream, service: S)
    where
        S: Service<Arrival, Response = Response<AnswerBody>> + Clone + Unpin + 'static,
        S::Future: 'static,
    {
        let counters = self.edge.shared.counters.clone();
        counters.connections_in.up();
        let watch = Watch::new();
        let place = self.open.enter(watch.clone());
        // Room is made before there is none: clients that keep their connections for good must not leave a burst
        // to those that are refused.
        let crowded = self.open.count() > self.most() * 3 / 4;
        let over = crowded && !self.open.make_room(&counters) && self.open.count() > self.most();
        if over {
            counters.connections_over_bound.up();
        }
        let (stage, room) = (
            self.stage.clone(),
            BudgetReservation::new(self.edge.shared.clone()),
        );
        let edge = self.edge.clone();
        tokio::task::spawn_local(async move {
            let _place = place;
            let (seen, count, now) = (watch.clone(), counters.clone(), stage.clone());
            let answer = move |request: Request<Incoming>| -> Answerer {
                let (service, watch, counters, stage) =
                    (service.clone(), seen.clone(), count.clone(), now.clone());
                let edge = edge.clone();
                Box::pin(async move {
                    let request_metrics = edge.request_metrics(&request);
                    let arrival = Arrival {
                        request,
                        watch: watch.clone(),
                        request_metrics: request_metrics.clone(),
                    };
                    let mut response = if over {
                        platform::refusal(Some(RETRY_AFTER_OVERLOAD))
                    } else {
                        answer_always(service.oneshot(arrival), &counters).await
                    };
                    if over || watch.is_spent() || !stage.borrow().keeps_connections() {
                        let close = hyper::header::HeaderValue::from_static("close");
                        response.headers_mut().insert("connection", close);
                    }
                    Ok(Answering::new(response, watch, request_metrics))
                })
            };
            serve(
                stream,
                hyper::service::service_fn(answer),
                stage,
                &watch,
                room,
                &counters,
            )
            .await;
        });
    }
}

/// The service's answer; a refusal where it has no room, and a failure where it panics: a request that was read is
/// never left without an answer.
async fn answer_always<E>(
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
            log::error!("answering a request panicked; it is answered as failed");
            plain(StatusCode::INTERNAL_SERVER_ERROR, "failed\n")
        }
    }
}

#[cfg(test)]
mod tests;
