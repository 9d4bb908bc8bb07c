//! The operators' door: HTTP/1.1 on an address of its own, one call a connection.
//!
//! Nothing here waits on requests, model hosts or discovery, and a caller that doesn't finish its call can't
//! hold the others up: connections are few, their time is bounded, and the oldest one without a whole call
//! makes room.

use super::figures::{Figures, Gauges};
use crate::dispatch::DispatcherEvent;
use crate::front::shared::Shared;
use crate::net::Local;
use crate::net::discovery::Directory;
use crate::net::drain::DrainSwitch;
use crate::net::fault::pause_after_accept;
use crate::net::stream::{SteadyStream, end_sending, uninterrupted};
use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::header::{ALLOW, CONTENT_TYPE, HeaderValue};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::convert::Infallible;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Notify, oneshot};
use tokio::time::Instant;

/// Most connections at once; one more is accepted to find out whom it displaces.
const MOST_CONNECTIONS: usize = 32;
/// Descriptors that the door may hold: its listener, its connections, and the one that is just accepted.
pub const DOOR_SOCKETS: usize = MOST_CONNECTIONS + 2;
/// A call has this long to come whole, from the accept on.
const CALL_WITHIN: Duration = Duration::from_secs(5);
/// A connection is not displaced before: what it has sent may not have been looked at yet.
const SETTLED: Duration = Duration::from_millis(50);
/// After its answer a caller has this long to take it and close: a socket closed over unread bytes is reset.
const LINGER: Duration = Duration::from_millis(500);
/// Bytes that are read and forgotten meanwhile.
const MOST_LINGER: usize = 64 * 1024;
/// The longest head of a call.
const MOST_HEAD: usize = 16 * 1024;
/// The longest body of a call; none of them needs one.
const MOST_BODY: usize = 4 * 1024;
/// How long the figures wait for the dispatcher; past that the count of skipped hosts is the last one known.
const CORE_WITHIN: Duration = Duration::from_millis(300);

/// What the calls look at and switch.
pub struct Door {
    /// What the clients' connections share.
    pub shared: Rc<Shared>,
    /// Whether this process can serve; a drain doesn't change that.
    pub can_serve: Box<dyn Fn() -> bool>,
    /// The list of model hosts.
    pub directory: Rc<Directory>,
    /// Whether clients are sent away.
    pub drain: Rc<DrainSwitch>,
    /// Model hosts that were skipped when the dispatcher was last asked.
    pub skipped: Cell<usize>,
}

impl Door {
    /// Answers calls for as long as the process runs.
    pub async fn serve(self: Rc<Self>, listener: TcpListener) {
        let connections = Rc::new(Connections::default());
        loop {
            connections.make_room().await;
            match listener.accept().await {
                Ok((stream, _)) => {
                    let seat = connections.enter();
                    tokio::task::spawn_local(self.clone().attend(stream, seat));
                }
                Err(error) => {
                    log::warn!("operators' door: accept: {error}");
                    if let Some(pause) = pause_after_accept(&error) {
                        tokio::time::sleep(pause).await;
                    }
                }
            }
        }
    }

    /// One connection, from its accept to its end.
    async fn attend(self: Rc<Self>, stream: TcpStream, seat: Seat) {
        let connection = seat.connection.clone();
        tokio::select! {
            biased;
            () = connection.displaced.notified() => {}
            () = self.answer(stream, connection.clone()) => {}
        }
    }

    async fn answer(self: Rc<Self>, stream: TcpStream, connection: Rc<Connection>) {
        let _ = stream.set_nodelay(true);
        let service = service_fn(move |request: Request<Incoming>| -> Answering {
            let (door, connection) = (self.clone(), connection.clone());
            Box::pin(async move { Ok(door.call(request, &connection).await) })
        });
        let serving = http1::Builder::new()
            .keep_alive(false)
            .half_close(true)
            .header_read_timeout(None)
            .max_buf_size(MOST_HEAD)
            .serve_connection(TokioIo::new(SteadyStream(stream)), service)
            .without_shutdown();
        match tokio::time::timeout(CALL_WITHIN, serving).await {
            Ok(Ok(parts)) => linger(parts.io.into_inner().0).await,
            Ok(Err(error)) => log::debug!("operators' door: {error}"),
            Err(_) => log::debug!("operators' door: a call that did not come whole"),
        }
    }

    /// Answers a call once it has come whole.
    async fn call(
        &self,
        request: Request<Incoming>,
        connection: &Connection,
    ) -> Response<Full<Bytes>> {
        let (head, body) = request.into_parts();
        if Limited::new(body, MOST_BODY).collect().await.is_err() {
            return plain(StatusCode::PAYLOAD_TOO_LARGE, "body too long or broken\n");
        }
        connection.answering.set(true);
        let response = self.act(&head.method, head.uri.path()).await;
        connection.answering.set(false);
        response
    }

    async fn act(&self, method: &Method, path: &str) -> Response<Full<Bytes>> {
        let Some(call) = Call::at(path) else {
            return plain(StatusCode::NOT_FOUND, "no such path\n");
        };
        if call.method() != method {
            let mut response = plain(StatusCode::METHOD_NOT_ALLOWED, "wrong method\n");
            let allowed = HeaderValue::from_str(call.method().as_str())
                .expect("a method is a header's value");
            response.headers_mut().insert(ALLOW, allowed);
            return response;
        }
        match call {
            Call::Readiness if (self.can_serve)() => plain(StatusCode::OK, "ready\n"),
            Call::Readiness => plain(StatusCode::SERVICE_UNAVAILABLE, "not ready\n"),
            Call::Stats => plain(StatusCode::OK, self.stats().await),
            Call::DrainStart => {
                if self.drain.start() {
                    log::info!("operators' door: a drain begins");
                }
                plain(StatusCode::OK, "draining\n")
            }
            Call::DrainStop => {
                if self.drain.stop() {
                    log::info!("operators' door: the drain ends");
                }
                plain(StatusCode::OK, "not draining\n")
            }
        }
    }

    async fn stats(&self) -> String {
        let skipped = self.skipped_hosts().await;
        let counters = &self.shared.counters;
        let gauges = Gauges {
            upstream_tries: counters.written_whole.get(),
            known_model_hosts: self.directory.count() as u64,
            skipped_model_hosts: skipped as u64,
            loads: counters.reloads.get(),
            load_errors: counters.reloads_failed.get(),
        };
        let figures: &Figures = &self.shared.figures;
        figures
            .report(&self.shared.classes.borrow(), gauges)
            .to_string()
    }

    /// Asks the dispatcher, whose module knows what it avoids.
    async fn skipped_hosts(&self) -> usize {
        let (reply, skipped) = oneshot::channel();
        self.shared
            .dispatcher
            .tell(DispatcherEvent::CountAvoidedWorkers(reply));
        if let Ok(Ok(count)) = tokio::time::timeout(CORE_WITHIN, skipped).await {
            self.skipped.set(count);
        }
        self.skipped.get()
    }
}

/// The answer to one call.
type Answering = Local<Result<Response<Full<Bytes>>, Infallible>>;

/// What operators may call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Call {
    Readiness,
    Stats,
    DrainStart,
    DrainStop,
}

impl Call {
    fn at(path: &str) -> Option<Self> {
        match path {
            "/ops/readiness" => Some(Call::Readiness),
            "/ops/stats" => Some(Call::Stats),
            "/ops/drain/start" => Some(Call::DrainStart),
            "/ops/drain/stop" => Some(Call::DrainStop),
            _ => None,
        }
    }

    fn method(self) -> Method {
        match self {
            Call::Readiness | Call::Stats => Method::GET,
            Call::DrainStart | Call::DrainStop => Method::POST,
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

/// Ends the sending, then reads and forgets until the caller has closed: it can take its answer though more
/// of its bytes come.
async fn linger(stream: TcpStream) {
    let _ = end_sending(&stream);
    let drained = async {
        let (mut scrap, mut left) = (vec![0; 4 * 1024], MOST_LINGER);
        while left > 0 && stream.readable().await.is_ok() {
            match uninterrupted(|| stream.try_read(&mut scrap)) {
                Ok(0) => return,
                Ok(n) => left = left.saturating_sub(n),
                Err(error) if error.kind() == std::io::ErrorKind::WouldBlock => {}
                Err(_) => return,
            }
        }
    };
    let _ = tokio::time::timeout(LINGER, drained).await;
}

/// A connection at the door.
struct Connection {
    accepted: Instant,
    /// Whether its call has come whole and its answer is being made.
    answering: Cell<bool>,
    displaced: Notify,
}

/// The connections at the door, by the order of their accepts.
#[derive(Default)]
struct Connections {
    open: RefCell<BTreeMap<u64, Rc<Connection>>>,
    accepted: Cell<u64>,
    left: Notify,
}

impl Connections {
    fn enter(self: &Rc<Self>) -> Seat {
        let number = self.accepted.get();
        self.accepted.set(number + 1);
        let (answering, displaced) = (Cell::new(false), Notify::new());
        let connection = Rc::new(Connection {
            accepted: Instant::now(),
            answering,
            displaced,
        });
        self.open.borrow_mut().insert(number, connection.clone());
        Seat {
            connections: self.clone(),
            connection,
            number,
        }
    }

    /// Waits until there are no more than there may be: the oldest one without a whole call is displaced.
    async fn make_room(&self) {
        while self.open.borrow().len() > MOST_CONNECTIONS {
            let oldest = self
                .open
                .borrow()
                .values()
                .find(|c| !c.answering.get())
                .cloned();
            let displace = async {
                let Some(oldest) = oldest else {
                    return tokio::time::sleep(SETTLED).await;
                };
                tokio::time::sleep_until(oldest.accepted + SETTLED).await;
                if !oldest.answering.get() {
                    oldest.displaced.notify_one();
                    std::future::pending().await
                }
            };
            tokio::select! {
                biased;
                () = self.left.notified() => {}
                () = displace => {}
            }
        }
    }
}

/// A connection's place among them, given back when dropped.
struct Seat {
    connections: Rc<Connections>,
    connection: Rc<Connection>,
    number: u64,
}

impl Drop for Seat {
    fn drop(&mut self) {
        self.connections.open.borrow_mut().remove(&self.number);
        self.connections.left.notify_one();
    }
}

#[cfg(test)]
mod tests;
