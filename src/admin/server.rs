//! HTTP/1.1 server of the admin endpoint, with one request per connection.
//!
//! Nothing here waits on requests of clients, model hosts or discovery. A caller that does not complete its request can't
//! delay the others: connections are few, their time is bounded, and the oldest one without a complete request
//! is displaced.

use super::connections::{Connection, ConnectionSlot, Connections, MAX_CONNECTIONS};
use super::metrics::{Gauges, Metrics};
use crate::dispatch::DispatcherEvent;
use crate::front::shared::Shared;
use crate::net::LocalBoxFuture;
use crate::net::discovery::Directory;
use crate::net::drain::DrainSwitch;
use crate::net::fault::accept_retry_delay;
use crate::net::stream::{RetryingStream, retry_interrupted, shutdown_write};
use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::header::{ALLOW, CONTENT_TYPE, HeaderValue};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use std::cell::Cell;
use std::convert::Infallible;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::oneshot;

/// Maximum number of file descriptors of the endpoint: its listener, its connections, and one that was just accepted.
pub const ADMIN_SOCKETS: usize = MAX_CONNECTIONS + 2;
/// Time from the accept until a request has to be complete.
pub(super) const REQUEST_TIMEOUT: Duration = Duration::from_secs(5);
/// Time that a caller has to read the response and close. Closing a socket with unread bytes would reset the connection
/// and could discard the response.
const LINGER_TIMEOUT: Duration = Duration::from_millis(500);
/// Maximum number of bytes read and discarded within [`LINGER_TIMEOUT`].
const MAX_LINGER_BYTES: usize = 64 * 1024;
/// Maximum size of a request head, in bytes.
const MAX_HEAD_BYTES: usize = 16 * 1024;
/// Maximum size of a request body, in bytes; no request needs a body.
const MAX_BODY_BYTES: usize = 4 * 1024;
/// How long the metrics report waits for the dispatcher; after that it uses the last known count of avoided workers.
const DISPATCHER_TIMEOUT: Duration = Duration::from_millis(300);

/// The admin endpoint, with the state that its requests read or change.
pub struct AdminServer {
    /// State shared with the clients' connections.
    pub shared: Rc<Shared>,
    /// Whether this process can serve; a drain does not change that.
    pub can_serve: Box<dyn Fn() -> bool>,
    /// The endpoint list.
    pub directory: Rc<Directory>,
    /// The drain switch.
    pub drain: Rc<DrainSwitch>,
    /// Workers that routing avoided when the dispatcher was last asked.
    pub avoided_workers: Cell<usize>,
}

impl AdminServer {
    /// Answers requests for as long as the process runs.
    pub async fn serve(self: Rc<Self>, listener: TcpListener) {
        let connections = Rc::new(Connections::default());
        loop {
            connections.make_room().await;
            match listener.accept().await {
                Ok((stream, _)) => {
                    let slot = connections.enter();
                    tokio::task::spawn_local(self.clone().serve_connection(stream, slot));
                }
                Err(error) => {
                    log::warn!("admin endpoint: accept failed: {error}; accepting again");
                    if let Some(pause) = accept_retry_delay(&error) {
                        tokio::time::sleep(pause).await;
                    }
                }
            }
        }
    }

    /// Runs one connection until it ends or is displaced.
    async fn serve_connection(self: Rc<Self>, stream: TcpStream, slot: ConnectionSlot) {
        let connection = slot.connection.clone();
        tokio::select! {
            biased;
            () = connection.displaced.notified() => {}
            () = self.answer(stream, connection.clone()) => {}
        }
    }

    async fn answer(self: Rc<Self>, stream: TcpStream, connection: Rc<Connection>) {
        let _ = stream.set_nodelay(true);
        let service = service_fn(move |request: Request<Incoming>| -> ResponseFuture {
            let (server, connection) = (self.clone(), connection.clone());
            Box::pin(async move { Ok(server.respond(request, &connection).await) })
        });
        let serving = http1::Builder::new()
            .keep_alive(false)
            .half_close(true)
            .header_read_timeout(None)
            .max_buf_size(MAX_HEAD_BYTES)
            .serve_connection(TokioIo::new(RetryingStream(stream)), service)
            .without_shutdown();
        match tokio::time::timeout(REQUEST_TIMEOUT, serving).await {
            Ok(Ok(parts)) => linger(parts.io.into_inner().0).await,
            Ok(Err(error)) => log::debug!("admin endpoint: connection failed: {error}"),
            Err(_) => log::debug!(
                "admin endpoint: request incomplete after {REQUEST_TIMEOUT:?}; closing the connection"
            ),
        }
    }

    /// Answers a request once it is complete.
    async fn respond(
        &self,
        request: Request<Incoming>,
        connection: &Connection,
    ) -> Response<Full<Bytes>> {
        let (head, body) = request.into_parts();
        if Limited::new(body, MAX_BODY_BYTES).collect().await.is_err() {
            return plain(StatusCode::PAYLOAD_TOO_LARGE, "body too long or broken\n");
        }
        connection.is_answering.set(true);
        let response = self.dispatch(&head.method, head.uri.path()).await;
        connection.is_answering.set(false);
        response
    }

    async fn dispatch(&self, method: &Method, path: &str) -> Response<Full<Bytes>> {
        let Some(route) = Route::at(path) else {
            return plain(StatusCode::NOT_FOUND, "no such path\n");
        };
        if route.method() != method {
            let mut response = plain(StatusCode::METHOD_NOT_ALLOWED, "wrong method\n");
            let allowed = HeaderValue::from_str(route.method().as_str())
                .expect("HTTP methods are valid header values");
            response.headers_mut().insert(ALLOW, allowed);
            return response;
        }
        match route {
            Route::Readiness if (self.can_serve)() => plain(StatusCode::OK, "ready\n"),
            Route::Readiness => plain(StatusCode::SERVICE_UNAVAILABLE, "not ready\n"),
            Route::Stats => plain(StatusCode::OK, self.metrics_report().await),
            Route::DrainStart => {
                if self.drain.start() {
                    log::info!("admin endpoint: drain started");
                }
                plain(StatusCode::OK, "draining\n")
            }
            Route::DrainStop => {
                if self.drain.stop() {
                    log::info!("admin endpoint: drain stopped");
                }
                plain(StatusCode::OK, "not draining\n")
            }
        }
    }

    async fn metrics_report(&self) -> String {
        let avoided = self.count_avoided_workers().await;
        let counters = &self.shared.counters;
        let gauges = Gauges {
            upstream_tries: counters.written_whole.get(),
            known_model_hosts: self.directory.count() as u64,
            skipped_model_hosts: avoided as u64,
            loads: counters.reloads.get(),
            load_errors: counters.reloads_failed.get(),
        };
        let metrics: &Metrics = &self.shared.metrics;
        metrics
            .report(&self.shared.classes.borrow(), gauges)
            .to_string()
    }

    /// Asks the dispatcher how many listed workers routing avoids.
    async fn count_avoided_workers(&self) -> usize {
        let (reply, count) = oneshot::channel();
        self.shared
            .dispatcher
            .send(DispatcherEvent::CountAvoidedWorkers(reply));
        if let Ok(Ok(count)) = tokio::time::timeout(DISPATCHER_TIMEOUT, count).await {
            self.avoided_workers.set(count);
        }
        self.avoided_workers.get()
    }
}

/// Future of the response to one request.
type ResponseFuture = LocalBoxFuture<Result<Response<Full<Bytes>>, Infallible>>;

/// The routes of the endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Route {
    Readiness,
    Stats,
    DrainStart,
    DrainStop,
}

impl Route {
    fn at(path: &str) -> Option<Self> {
        match path {
            "/ops/readiness" => Some(Route::Readiness),
            "/ops/stats" => Some(Route::Stats),
            "/ops/drain/start" => Some(Route::DrainStart),
            "/ops/drain/stop" => Some(Route::DrainStop),
            _ => None,
        }
    }

    fn method(self) -> Method {
        match self {
            Route::Readiness | Route::Stats => Method::GET,
            Route::DrainStart | Route::DrainStop => Method::POST,
        }
    }
}

fn plain(status: StatusCode, text: impl Into<Bytes>) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(text.into()));
    *response.status_mut() = status;
    response
        .headers_mut()
        .insert(CONTENT_TYPE, HeaderValue::from_static("text/plain"));
    response
}

/// Shuts down the sending side, then reads and discards until the caller has closed, so that it can read the response
/// though it still sends.
async fn linger(stream: TcpStream) {
    let _ = shutdown_write(&stream);
    let drained = async {
        let (mut discarded, mut remaining) = (vec![0; 4 * 1024], MAX_LINGER_BYTES);
        while remaining > 0 && stream.readable().await.is_ok() {
            match retry_interrupted(|| stream.try_read(&mut discarded)) {
                Ok(0) => return,
                Ok(n) => remaining = remaining.saturating_sub(n),
                Err(error) if error.kind() == std::io::ErrorKind::WouldBlock => {}
                Err(_) => return,
            }
        }
    };
    let _ = tokio::time::timeout(LINGER_TIMEOUT, drained).await;
}
