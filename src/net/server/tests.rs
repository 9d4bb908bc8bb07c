//! Requests that cross the close of their connection, over loopback sockets. The client writes and the router decides
//! to close within one poll of the runtime, so the kernel has received bytes that the runtime has not been notified
//! of.

use super::super::client_connection::LINGER_TIMEOUT;
use super::super::connection_tracker::TrackedStream;
use super::*;
use crate::admin::metrics::Metrics;
use crate::dispatch::Clock;
use crate::front::run_table::RunTable;
use crate::memory::Budget;
use crate::net::connection_tracker::RequestPhase;
use crate::shutdown::{Shutdown, StopRequest};
use bytes::Bytes;
use rstest::rstest;
use socket2::SockRef;
use std::cell::{Cell, RefCell};
use std::io;
use std::io::{Read, Write};
use tokio::io::AsyncReadExt;
use tokio::task::{LocalSet, spawn_blocking, spawn_local};
use tokio::time::Instant;

const REQUEST: &[u8] = b"GET /healthz HTTP/1.1\r\nhost: a\r\n\r\n";

/// Opens a blocking client socket.
fn connect(listener: &TcpListener) -> std::net::TcpStream {
    connect_to(listener.local_addr().unwrap())
}

fn connect_to(address: std::net::SocketAddr) -> std::net::TcpStream {
    let client = std::net::TcpStream::connect(address).unwrap();
    client
        .set_read_timeout(Some(Duration::from_secs(30)))
        .unwrap();
    client.set_nodelay(true).unwrap();
    client
}

/// Reads everything up to the end of the stream.
async fn read_to_end(mut client: std::net::TcpStream) -> io::Result<String> {
    let read = move || {
        let mut bytes = Vec::new();
        client
            .read_to_end(&mut bytes)
            .map(|_| String::from_utf8_lossy(&bytes).into_owned())
    };
    spawn_blocking(read).await.unwrap()
}

/// Reads up to the end of a response whose body is `here`; the connection stays open.
async fn read_response(client: &std::net::TcpStream) -> String {
    let mut client = client.try_clone().unwrap();
    let read = move || {
        let mut received = Vec::new();
        let mut buffer = [0; 1024];
        while !received.ends_with(b"\r\n\r\nhere") {
            let n = client.read(&mut buffer).unwrap();
            assert!(n > 0, "connection closed before the response");
            received.extend_from_slice(&buffer[..n]);
        }
        String::from_utf8(received).unwrap()
    };
    spawn_blocking(read).await.unwrap()
}

/// Opens a connection with small socket buffers and returns both of its ends.
async fn connect_with_small_buffers(
    listener: &TcpListener,
    send_buffer: usize,
) -> (std::net::TcpStream, TcpStream) {
    let client = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).unwrap();
    client.set_recv_buffer_size(4096).unwrap();
    client
        .connect(&listener.local_addr().unwrap().into())
        .unwrap();
    client
        .set_read_timeout(Some(Duration::from_secs(30)))
        .unwrap();
    let (stream, _) = listener.accept().await.unwrap();
    SockRef::from(&stream)
        .set_send_buffer_size(send_buffer)
        .unwrap();
    (client.into(), stream)
}

fn shared(budget: usize) -> Rc<Shared> {
    let (dispatcher, _) = crate::dispatch::DispatcherHandle::channel(Clock::start());
    let shutdown = Shutdown::new(StopRequest::default(), dispatcher.clock);
    Rc::new(Shared {
        dispatcher,
        shutdown,
        classes: RefCell::default(),
        gate: None,
        ready: Box::new(|| true),
        may_serve: Box::new(|| true),
        metrics: Rc::default(),
        counters: Rc::default(),
        runs: RunTable::new(&Budget::new(budget)),
        body_budget: Budget::new(budget),
    })
}

struct TestServer {
    listener: TcpListener,
    stage: watch::Sender<Stage>,
    tracker: Rc<ConnectionTracker>,
    counters: Rc<Counters>,
}

impl TestServer {
    async fn new() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let (stage, _) = watch::channel(Stage::Open);
        TestServer {
            listener,
            stage,
            tracker: ConnectionTracker::new(),
            counters: Rc::default(),
        }
    }

    /// Opens a connection and serves it with responses that have this body.
    async fn serve(
        &self,
        body: &'static str,
    ) -> (std::net::TcpStream, tokio::task::JoinHandle<()>) {
        let client = connect(&self.listener);
        let (stream, _) = self.listener.accept().await.unwrap();
        (client, self.serve_on(stream, body))
    }

    fn serve_on(&self, stream: TcpStream, body: &'static str) -> tokio::task::JoinHandle<()> {
        self.serve_with(stream, move || {
            let mut response = plain(StatusCode::OK, body);
            if body != "here" {
                response
                    .headers_mut()
                    .insert("connection", "close".parse().unwrap());
            }
            response
        })
    }

    fn serve_with(
        &self,
        stream: TcpStream,
        answer: impl Fn() -> Response<AnswerBody> + Unpin + 'static,
    ) -> tokio::task::JoinHandle<()> {
        let (tracker, counters, stage) = (
            self.tracker.clone(),
            self.counters.clone(),
            self.stage.subscribe(),
        );
        let (answer, read_ahead_budget) = (
            Rc::new(answer),
            Reservation::new(&shared(64 * 1024).body_budget),
        );
        spawn_local(async move {
            let request_tracker = tracker.clone();
            let service = move |request: Request<Incoming>| -> ResponseFuture {
                let (tracker, answer) = (request_tracker.clone(), answer.clone());
                Box::pin(async move {
                    tracker.take_head();
                    let _ = request.into_body().collect().await;
                    tracker.request_received();
                    let request_metrics = Rc::<Metrics>::default().begin(None, &[]);
                    Ok(TrackedBody::new(answer(), tracker, request_metrics))
                })
            };
            serve(
                stream,
                hyper::service::service_fn(service),
                stage,
                &tracker,
                read_ahead_budget,
                &counters,
            )
            .await;
        })
    }
}

/// Guards against a request that is lost because the router closes its connection at the same moment.
#[rstest]
#[case::closing(|server: &TestServer| _ = server.stage.send(Stage::Closing))]
#[case::draining(|server: &TestServer| _ = server.stage.send(Stage::Draining))]
#[case::evicted(|server: &TestServer| server.tracker.evict())]
#[tokio::test]
async fn request_that_crosses_the_close_of_an_idle_connection_is_answered(
    #[case] close: fn(&TestServer),
) {
    let scenario = async {
        let server = TestServer::new().await;
        let (mut client, served) = server.serve("here").await;
        client.write_all(REQUEST).unwrap();
        read_response(&client).await;
        // Within one poll: only the kernel has the second request at this point.
        client.write_all(REQUEST).unwrap();
        close(&server);
        let received = read_to_end(client).await.expect("closed without a reset");
        assert!(received.starts_with("HTTP/1.1 200 OK"), "{received:?}");
        served.await.unwrap();
    };
    LocalSet::new().run_until(scenario).await;
}

/// Guards against a lost request whose first bytes are read in the same poll in which its idle connection is closed.
#[rstest]
#[case::closing(Stage::Closing)]
#[case::draining(Stage::Draining)]
#[tokio::test]
async fn partial_request_that_crosses_the_close_of_an_idle_connection_is_awaited(
    #[case] stage: Stage,
) {
    let scenario = async {
        let server = TestServer::new().await;
        let (mut client, served) = server.serve("here").await;
        client.write_all(REQUEST).unwrap();
        read_response(&client).await;
        let (first, second) = REQUEST.split_at(REQUEST.len() / 2);
        // Within one poll: only the kernel has these bytes at this point.
        client.write_all(first).unwrap();
        server.stage.send(stage).unwrap();
        while !matches!(server.tracker.phase(), RequestPhase::Arriving(_)) {
            assert!(!served.is_finished(), "closed while a request was arriving");
            tokio::task::yield_now().await;
        }
        client.write_all(second).unwrap();
        let received = read_to_end(client).await.expect("closed without a reset");
        assert!(received.starts_with("HTTP/1.1 200 OK"), "{received:?}");
        served.await.unwrap();
    };
    LocalSet::new().run_until(scenario).await;
}

/// Guards against connections that are closed before their first request can arrive. The paused clock does not
/// advance while the test waits for the client.
#[tokio::test(start_paused = true)]
async fn connection_accepted_while_closing_gets_time_for_its_request() {
    let scenario = async {
        let server = TestServer::new().await;
        server.stage.send_replace(Stage::Closing);
        let (mut client, served) = server.serve("here").await;
        // The router has polled the connection, and nothing had arrived.
        for _ in 0..10 {
            tokio::task::yield_now().await;
        }
        client.write_all(REQUEST).unwrap();
        let received = read_to_end(client).await.expect("no reset");
        assert!(received.starts_with("HTTP/1.1 200 OK"), "{received:?}");
        served.await.unwrap();
    };
    LocalSet::new().run_until(scenario).await;
}

/// Guards against cutting off a request that has partly arrived: the router waits for the rest, answers, and closes
/// the connection after the response.
#[rstest]
#[case::head_closing(
    Stage::Closing,
    "POST /x HTTP/1.1\r\nhost: a\r\ncont",
    "ent-length: 0\r\n\r\n"
)]
#[case::head_draining(
    Stage::Draining,
    "POST /x HTTP/1.1\r\nhost: a\r\ncont",
    "ent-length: 0\r\n\r\n"
)]
#[case::body_closing(
    Stage::Closing,
    "POST /x HTTP/1.1\r\nhost: a\r\ncontent-length: 4\r\n\r\nha",
    "lf"
)]
#[case::body_draining(
    Stage::Draining,
    "POST /x HTTP/1.1\r\nhost: a\r\ncontent-length: 4\r\n\r\nha",
    "lf"
)]
#[tokio::test]
async fn partial_request_is_answered_when_connections_close(
    #[case] stage: Stage,
    #[case] first: &str,
    #[case] second: &str,
    #[values(false, true)] is_reused: bool,
) {
    let scenario = async {
        let server = TestServer::new().await;
        let (mut client, served) = server.serve("here").await;
        if is_reused {
            client.write_all(REQUEST).unwrap();
            read_response(&client).await;
        }
        client.write_all(first.as_bytes()).unwrap();
        while !matches!(server.tracker.phase(), RequestPhase::Arriving(_)) {
            tokio::task::yield_now().await;
        }
        server.stage.send(stage).unwrap();
        for _ in 0..10 {
            tokio::task::yield_now().await;
        }
        client.write_all(second.as_bytes()).unwrap();
        let received = read_to_end(client).await.unwrap();
        assert!(received.starts_with("HTTP/1.1 200 OK"), "{received:?}");
        served.await.unwrap();
    };
    LocalSet::new().run_until(scenario).await;
}

/// Guards against silent clients that delay a drain, and against closing a connection before its first request can
/// arrive.
#[tokio::test(start_paused = true)]
async fn silent_connection_accepted_in_a_drain_is_closed_after_the_drain_timeout() {
    let scenario = async {
        let server = TestServer::new().await;
        server.stage.send_replace(Stage::Draining);
        let (client, served) = server.serve("here").await;
        let started = Instant::now();
        served.await.unwrap();
        assert!(
            (DRAINING_FIRST_REQUEST_TIMEOUT..=DRAINING_FIRST_REQUEST_TIMEOUT + LINGER_TIMEOUT)
                .contains(&started.elapsed()),
            "{:?}",
            started.elapsed()
        );
        assert_eq!(
            read_to_end(client).await.expect("closed without a reset"),
            ""
        );
    };
    LocalSet::new().run_until(scenario).await;
}

/// Guards against a drain that stays in effect for connections that were accepted during it.
#[tokio::test(start_paused = true)]
async fn connection_accepted_in_a_drain_is_kept_after_the_drain() {
    let scenario = async {
        let server = TestServer::new().await;
        server.stage.send_replace(Stage::Draining);
        let (mut client, _served) = server.serve("here").await;
        tokio::time::sleep(DRAINING_FIRST_REQUEST_TIMEOUT / 2).await;
        server.stage.send_replace(Stage::Open);
        tokio::time::sleep(DRAINING_FIRST_REQUEST_TIMEOUT).await;
        for _ in 0..2 {
            client.write_all(REQUEST).unwrap();
            read_response(&client).await;
        }
    };
    LocalSet::new().run_until(scenario).await;
}

const LONG_BODY_BYTES: usize = 100_000;

fn long_body() -> &'static str {
    Box::leak("~".repeat(LONG_BODY_BYTES).into_boxed_str())
}

/// Guards against losing the end of a response when the connection closes: data that hyper had not written yet, and
/// data that the kernel had not sent yet when the socket was closed with unread input.
#[rstest]
#[case::buffered_by_hyper("", 4096)]
#[case::buffered_by_the_kernel("GET /next HTTP/1.1\r\n", 2 * LONG_BODY_BYTES)]
#[tokio::test]
async fn last_response_reaches_a_slow_reader_completely(
    #[case] next_request: &str,
    #[case] send_buffer: usize,
) {
    let scenario = async {
        let server = TestServer::new().await;
        let (mut client, stream) = connect_with_small_buffers(&server.listener, send_buffer).await;
        let served = server.serve_on(stream, long_body());
        client.write_all(REQUEST).unwrap();
        // The response is handed over, and the client has read nothing of it.
        while !server.tracker.has_answered() {
            tokio::task::yield_now().await;
        }
        client.write_all(next_request.as_bytes()).unwrap();
        if !next_request.is_empty() {
            served.await.unwrap();
        }
        let received = read_to_end(client).await.expect("no reset");
        assert_eq!(received.matches('~').count(), LONG_BODY_BYTES);
    };
    LocalSet::new().run_until(scenario).await;
}

/// Guards against losing the requests on connections that the kernel has accepted and the router has not.
#[tokio::test]
async fn connections_in_the_accept_queue_are_answered_at_shutdown() {
    let scenario = async {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let shared = shared(1);
        let (stage, stage_receiver) = watch::channel(Stage::Open);
        let connections = Rc::new(Connections::default());
        let listener_config = Listener {
            service: ClientService {
                shared,
                tools: None,
            },
            max_connections: 64,
            max_waiting_requests: 64,
            stage: stage_receiver,
            connections,
            other_process_serves: Rc::default(),
        };
        let send_request = |_| {
            let mut client = connect(&listener);
            client.write_all(REQUEST).unwrap();
            client
        };
        let clients: Vec<_> = (0..20).map(send_request).collect();
        let accept_task = spawn_local(listener_config.accept(listener));
        stage.send(Stage::Closing).unwrap();
        accept_task.await.unwrap();
        for client in clients {
            let received = read_to_end(client).await.expect("no reset");
            assert!(
                received.starts_with("HTTP/1.1 200 OK") && received.contains("connection: close"),
                "{received:?}"
            );
        }
    };
    LocalSet::new().run_until(scenario).await;
}

/// A running listener that counts the requests it receives.
struct TestListener {
    address: std::net::SocketAddr,
    stage: watch::Sender<Stage>,
    received_requests: Rc<Cell<u64>>,
    connections: Rc<Connections>,
    accept_task: tokio::task::JoinHandle<()>,
}

impl TestListener {
    async fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let (stage, stage_receiver) = watch::channel(Stage::Open);
        let (received_requests, connections) =
            (Rc::<Cell<u64>>::default(), Rc::<Connections>::default());
        let mut shared = Rc::into_inner(shared(1)).unwrap();
        shared.ready = Box::new({
            let received_requests = received_requests.clone();
            move || {
                received_requests.set(received_requests.get() + 1);
                true
            }
        });
        let service = ClientService {
            shared: Rc::new(shared),
            tools: None,
        };
        let listener_config = Listener {
            service,
            max_connections: 64,
            max_waiting_requests: 64,
            stage: stage_receiver,
            connections: connections.clone(),
            other_process_serves: Rc::default(),
        };
        let accept_task = spawn_local(listener_config.accept(listener));
        TestListener {
            address,
            stage,
            received_requests,
            connections,
            accept_task,
        }
    }

    /// Sends up to `max_requests` requests on one connection, until it is closed in order. Returns the number of
    /// responses and whether the last one announced the close.
    async fn send_requests(&self, max_requests: usize) -> (u64, bool) {
        let address = self.address;
        spawn_blocking(move || send_requests(address, max_requests))
            .await
            .unwrap()
    }
}

fn send_requests(address: std::net::SocketAddr, max_requests: usize) -> (u64, bool) {
    let mut client = connect_to(address);
    let mut answered = 0;
    for _ in 0..max_requests {
        // The close may already have been received when the request is written.
        if client.write_all(REQUEST).is_err() {
            break;
        }
        let (mut received, mut buffer) = (Vec::new(), [0; 1024]);
        while !received.ends_with(b"ready\n") {
            match client.read(&mut buffer).expect("closed without a reset") {
                0 => break,
                n => received.extend_from_slice(&buffer[..n]),
            }
        }
        let received = String::from_utf8(received).unwrap();
        if received.is_empty() {
            break;
        }
        assert!(
            received.starts_with("HTTP/1.1 200 OK") && received.ends_with("ready\n"),
            "{received:?}"
        );
        answered += 1;
        if received.contains("connection: close") {
            assert_eq!(client.read(&mut buffer).expect("closed without a reset"), 0);
            return (answered, true);
        }
    }
    (answered, false)
}

const UNLIMITED: usize = usize::MAX;

/// Guards against requests lost in a drain. Clients use their connections until they are closed; each request must be
/// answered, or must not have been received.
#[tokio::test]
async fn drain_closes_keep_alive_connections_without_losing_requests() {
    let scenario = async {
        let service = TestListener::start().await;
        let mut idle_client = connect_to(service.address);
        let drain = async {
            while service.received_requests.get() < 200 {
                tokio::task::yield_now().await;
            }
            service.stage.send_replace(Stage::Draining);
        };
        let clients =
            futures_util::future::join_all((0..8).map(|_| service.send_requests(UNLIMITED)));
        let (results, ()) = tokio::join!(clients, drain);
        assert_eq!(
            results.iter().map(|(answered, _)| answered).sum::<u64>(),
            service.received_requests.get()
        );
        assert_eq!(
            spawn_blocking(move || idle_client.read(&mut [0]).unwrap())
                .await
                .unwrap(),
            0
        );
        // All connections are closed; new ones get one response each.
        while service.connections.count() > 0 {
            tokio::task::yield_now().await;
        }
        assert_eq!(
            [
                service.send_requests(2).await,
                service.send_requests(2).await
            ],
            [(1, true); 2]
        );
        assert!(!service.accept_task.is_finished());
        // After the drain, connections are kept; in the next drain, they are closed.
        service.stage.send_replace(Stage::Open);
        assert_eq!(service.send_requests(20).await, (20, false));
        service.stage.send_replace(Stage::Draining);
        assert_eq!(service.send_requests(2).await, (1, true));
        // The router shuts down during a drain.
        service.stage.send_replace(Stage::Closing);
        service.accept_task.await.unwrap();
        assert!(std::net::TcpStream::connect(service.address).is_err());
    };
    LocalSet::new().run_until(scenario).await;
}

/// Guards against a stream that a drain cuts off, and against a connection that stays open after it: the response
/// head has been sent already and does not announce the close.
#[tokio::test]
async fn stream_in_progress_during_a_drain_completes_and_closes_its_connection() {
    let scenario = async {
        let server = TestServer::new().await;
        let (mut client, stream) = connect_with_small_buffers(&server.listener, 4096).await;
        let (frames, lines) = crate::exchange::frame_channel();
        let lines = RefCell::new(Some(lines));
        let served = server.serve_with(stream, move || {
            Response::new(AnswerBody::Lines(lines.take().unwrap()))
        });
        client.write_all(REQUEST).unwrap();
        let frame =
            |text: &'static str| crate::exchange::Frame::Data(Bytes::from_static(text.as_bytes()));
        frames.send(frame("one ")).await.unwrap();
        for stage in [Stage::Draining, Stage::Open, Stage::Draining] {
            for _ in 0..10 {
                tokio::task::yield_now().await;
            }
            server.stage.send_replace(stage);
        }
        frames.send(frame("two ")).await.unwrap();
        frames.send(crate::exchange::Frame::End).await.unwrap();
        let received = read_to_end(client).await.expect("closed without a reset");
        assert!(
            received.contains("one ")
                && received.contains("two ")
                && received.ends_with("0\r\n\r\n"),
            "{received:?}"
        );
        assert!(!received.contains("connection: close"), "{received:?}");
        served.await.unwrap();
    };
    LocalSet::new().run_until(scenario).await;
}

/// Guards against requests that cross the close of their connection: when another process takes over the address,
/// idle connections stay open, and the next response closes them.
#[tokio::test]
async fn takeover_closes_connections_with_their_responses_and_keeps_idle_ones() {
    let scenario = async {
        let address = "127.0.0.1:0".parse().unwrap();
        let listener = crate::net::upgrade::socket::listen(address, true).unwrap();
        let _other =
            crate::net::upgrade::socket::listen(listener.local_addr().unwrap(), true).unwrap();
        let (stage, stage_receiver) = watch::channel(Stage::Open);
        let connections = Rc::new(Connections::default());
        let service = ClientService {
            shared: shared(1),
            tools: None,
        };
        let listener_config = Listener {
            service,
            max_connections: 64,
            max_waiting_requests: 64,
            stage: stage_receiver,
            connections: connections.clone(),
            other_process_serves: Rc::new(Cell::new(true)),
        };
        // The kernel assigns some of them to the other listener, which accepts nothing.
        let mut clients: Vec<_> = (0..64).map(|_| connect(&listener)).collect();
        let accept_task = spawn_local(listener_config.accept(listener));
        stage.send(Stage::Leaving).unwrap();
        accept_task.await.unwrap();
        let accepted_here = connections.count();
        assert!(accepted_here > 0 && accepted_here < clients.len());
        for client in &mut clients {
            client.write_all(REQUEST).unwrap();
        }
        while connections.count() > 0 {
            tokio::task::yield_now().await;
        }
        let mut answered = 0;
        for mut client in clients {
            client.set_nonblocking(true).unwrap();
            let mut received = String::new();
            let _ = client.read_to_string(&mut received);
            answered += usize::from(
                received.starts_with("HTTP/1.1 200 OK") && received.contains("connection: close"),
            );
        }
        assert_eq!(answered, accepted_here);
    };
    LocalSet::new().run_until(scenario).await;
}

/// Guards against clients that are reset when the listener closes: from then on, the other listener gets new
/// connections, even if the signal was handled so late that the stage goes to closing directly.
#[rstest]
#[case::leaving(Stage::Leaving)]
#[case::closing_at_once(Stage::Closing)]
#[tokio::test(start_paused = true)]
async fn after_a_takeover_the_kernel_assigns_no_connections_to_the_old_listener(
    #[case] next: Stage,
) {
    let scenario = async {
        let listener =
            crate::net::upgrade::socket::listen("127.0.0.1:0".parse().unwrap(), true).unwrap();
        let address = listener.local_addr().unwrap();
        let _other = crate::net::upgrade::socket::listen(address, true).unwrap();
        let (stage, stage_receiver) = watch::channel(Stage::Open);
        let connections = Rc::new(Connections::default());
        let service = ClientService {
            shared: shared(1),
            tools: None,
        };
        let listener_config = Listener {
            service,
            max_connections: 128,
            max_waiting_requests: 128,
            stage: stage_receiver,
            connections: connections.clone(),
            other_process_serves: Rc::new(Cell::new(true)),
        };
        let accept_task = spawn_local(listener_config.accept(listener));
        stage.send(next).unwrap();
        // The listener waits for handshakes now; the paused clock advances only when all tasks are idle.
        for _ in 0..100 {
            tokio::task::yield_now().await;
        }
        assert!(!accept_task.is_finished());
        let start_connecting = |_| {
            let client =
                socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).unwrap();
            client.set_nonblocking(true).unwrap();
            let _ = client.connect(&address.into());
            client
        };
        let _clients: Vec<_> = (0..64).map(start_connecting).collect();
        accept_task.await.unwrap();
        assert_eq!(connections.count(), 0);
    };
    LocalSet::new().run_until(scenario).await;
}

/// Guards against events lost when a stream breaks: hyper discarded the data that a slow client had not read yet.
#[tokio::test]
async fn broken_stream_delivers_all_earlier_data_to_a_slow_client() {
    let scenario = async {
        let server = TestServer::new().await;
        let (mut client, stream) = connect_with_small_buffers(&server.listener, 4096).await;
        let (frames, lines) = crate::exchange::frame_channel();
        let lines = RefCell::new(Some(lines));
        let served = server.serve_with(stream, move || {
            Response::new(AnswerBody::Lines(lines.take().unwrap()))
        });
        client.write_all(REQUEST).unwrap();
        frames
            .send(crate::exchange::Frame::Data(Bytes::from_static(
                long_body().as_bytes(),
            )))
            .await
            .unwrap();
        drop(frames);
        while !server.tracker.is_write_blocked() {
            tokio::task::yield_now().await;
        }
        // The error must stay withheld however often hyper polls the body.
        for _ in 0..100 {
            tokio::task::yield_now().await;
        }
        let received = read_to_end(client).await.expect("no reset");
        assert_eq!(
            (
                received.matches('~').count(),
                received.ends_with("0\r\n\r\n")
            ),
            (LONG_BODY_BYTES, false)
        );
        served.await.unwrap();
    };
    LocalSet::new().run_until(scenario).await;
}

/// Guards against exceeding the memory limit: data that hundreds of clients send behind their requests in progress is
/// charged to the budget of bodies, and returned to it.
#[rstest]
#[case::within_the_budget(10_000, 5_000)]
#[case::over_the_budget(4_000, 0)]
#[tokio::test]
async fn read_ahead_is_charged_to_the_body_budget(#[case] budget: usize, #[case] buffered: usize) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let mut client = connect(&listener);
    let (stream, _) = listener.accept().await.unwrap();
    let (tracker, shared) = (ConnectionTracker::new(), shared(budget));
    let mut read_ahead_budget = Reservation::new(&shared.body_budget);
    client.write_all(&[b'a'; 5_000]).unwrap();
    client.shutdown(std::net::Shutdown::Write).unwrap();
    while !tracker.read_ahead(&stream, &mut read_ahead_budget).await {}
    assert_eq!(
        (tracker.buffered_bytes(), shared.body_budget.left()),
        (buffered, budget - buffered)
    );
    read_ahead_budget.shrink_to(2_000);
    assert_eq!(shared.body_budget.left(), budget - buffered.min(2_000));
    drop(read_ahead_budget);
    assert_eq!(shared.body_budget.left(), budget);
}

/// Guards against a deadline that starts late for a pipelined request: hyper does not read it while the previous
/// request is answered, but its client's deadline runs from its arrival.
#[tokio::test(start_paused = true)]
async fn pipelined_request_is_timed_from_its_arrival() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let mut client = connect(&listener);
    let (stream, _) = listener.accept().await.unwrap();
    let (stream, tracker) = (Rc::new(stream), ConnectionTracker::new());
    let mut read_ahead_budget = Reservation::new(&shared(64 * 1024).body_budget);
    client.write_all(REQUEST).unwrap();
    while tracker.buffered_bytes() < REQUEST.len() {
        assert!(!tracker.read_ahead(&stream, &mut read_ahead_budget).await);
    }
    let arrived = Instant::now();
    tokio::time::advance(Duration::from_secs(2)).await;
    let mut buffer = [0; 1024];
    let read = TrackedStream::new(stream, tracker.clone())
        .read(&mut buffer)
        .await
        .unwrap();
    assert_eq!(&buffer[..read], REQUEST);
    let head = tracker.take_head();
    assert!(head.is_sound);
    assert_eq!(head.arrived, arrived);
}

/// Guards against a request that was read and gets no response: a panic ended its task and closed its connection.
#[tokio::test]
async fn panic_in_the_service_is_answered_with_500() {
    let counters = Counters::default();
    let panicking_service = async { panic!("deliberate panic") };
    let response = respond_always::<Infallible>(panicking_service, &counters).await;
    assert_eq!(response.status(), StatusCode::INTERNAL_SERVER_ERROR);
    assert_eq!(counters.panics.get(), 1);
    let overloaded_service = async { Err("overloaded") };
    assert_eq!(
        respond_always(overloaded_service, &counters).await.status(),
        StatusCode::SERVICE_UNAVAILABLE
    );
}

/// Guards against the same failure over loopback sockets: the connection must stay open.
#[tokio::test]
async fn connection_survives_a_panic_in_the_service() {
    LocalSet::new()
        .run_until(async {
            let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
            let mut client = connect(&listener);
            let (dispatcher, _) = crate::dispatch::DispatcherHandle::channel(Clock::start());
            let panics = Cell::new(true);
            let ready = Box::new(move || !panics.take() || panic!("deliberate panic"));
            let shared = Rc::new(Shared {
                dispatcher,
                ready,
                ..Rc::into_inner(shared(64 * 1024)).unwrap()
            });
            let counters = shared.counters.clone();
            let service = ClientService {
                shared,
                tools: None,
            };
            let (_stage, stage) = watch::channel(Stage::Open);
            let listener_config = Listener {
                service,
                max_connections: 8,
                max_waiting_requests: 8,
                stage,
                connections: Rc::default(),
                other_process_serves: Rc::default(),
            };
            spawn_local(listener_config.accept(listener));
            for expected_status in ["HTTP/1.1 500 ", "HTTP/1.1 200 "] {
                client.write_all(REQUEST).unwrap();
                let mut client_reader = client.try_clone().unwrap();
                let read = move || {
                    let mut buffer = [0; 1024];
                    let read = client_reader.read(&mut buffer).unwrap();
                    String::from_utf8_lossy(&buffer[..read]).into_owned()
                };
                let received = spawn_blocking(read).await.unwrap();
                assert!(received.starts_with(expected_status), "{received:?}");
            }
            assert_eq!(counters.panics.get(), 1);
        })
        .await;
}
