//! Closes that cross a request, over loopback: the client writes and the conductor decides in one and the same turn,
//! so that the runtime has not been told of the bytes that the system has.

use super::super::client_connection::LINGER;
use super::super::framing::Watched;
use super::*;
use crate::admin::metrics::Metrics;
use crate::dispatch::Clock;
use crate::net::framing::Standing;
use crate::shutdown::{Shutdown, StopRequest};
use rstest::rstest;
use socket2::SockRef;
use std::cell::{Cell, RefCell};
use std::io;
use std::io::{Read, Write};
use tokio::io::AsyncReadExt;
use tokio::task::{LocalSet, spawn_blocking, spawn_local};
use tokio::time::Instant;

const ASKED: &[u8] = b"GET /healthz HTTP/1.1\r\nhost: a\r\n\r\n";

/// A client's socket, as a client uses it: blocking.
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

/// All that comes on it up to its end.
async fn rest(mut client: std::net::TcpStream) -> io::Result<String> {
    let read = move || {
        let mut all = Vec::new();
        client
            .read_to_end(&mut all)
            .map(|_| String::from_utf8_lossy(&all).into_owned())
    };
    spawn_blocking(read).await.unwrap()
}

/// Reads one answer.
async fn answer(client: &std::net::TcpStream) -> String {
    let mut client = client.try_clone().unwrap();
    let read = move || {
        let mut come = Vec::new();
        let mut piece = [0; 1024];
        while !come.ends_with(b"\r\n\r\nhere") {
            let n = client.read(&mut piece).unwrap();
            assert!(n > 0, "closed instead");
            come.extend_from_slice(&piece[..n]);
        }
        String::from_utf8(come).unwrap()
    };
    spawn_blocking(read).await.unwrap()
}

/// A connection with little room on its way, and both of its ends.
async fn narrow(listener: &TcpListener, send: usize) -> (std::net::TcpStream, TcpStream) {
    let client = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).unwrap();
    client.set_recv_buffer_size(4096).unwrap();
    client
        .connect(&listener.local_addr().unwrap().into())
        .unwrap();
    client
        .set_read_timeout(Some(Duration::from_secs(30)))
        .unwrap();
    let (stream, _) = listener.accept().await.unwrap();
    SockRef::from(&stream).set_send_buffer_size(send).unwrap();
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
        body_budget: Cell::new(budget),
        active_ids: RefCell::default(),
    })
}

struct Story {
    listener: TcpListener,
    stage: watch::Sender<Stage>,
    watch: Rc<Watch>,
    counters: Rc<Counters>,
}

impl Story {
    async fn new() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let (stage, _) = watch::channel(Stage::Open);
        Story {
            listener,
            stage,
            watch: Watch::new(),
            counters: Rc::default(),
        }
    }

    /// A connection that is served, its answers as given.
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
        let (watch, counters, stage) = (
            self.watch.clone(),
            self.counters.clone(),
            self.stage.subscribe(),
        );
        let (answer, room) = (Rc::new(answer), BudgetReservation::new(shared(64 * 1024)));
        spawn_local(async move {
            let seen = watch.clone();
            let answerer = move |request: Request<Incoming>| -> Answerer {
                let (watch, answer) = (seen.clone(), answer.clone());
                Box::pin(async move {
                    watch.head();
                    let _ = request.into_body().collect().await;
                    watch.whole();
                    let request_metrics = Rc::<Metrics>::default().begin(None, &[]);
                    Ok(Answering::new(answer(), watch, request_metrics))
                })
            };
            serve(
                stream,
                hyper::service::service_fn(answerer),
                stage,
                &watch,
                room,
                &counters,
            )
            .await;
        })
    }
}

/// Guards against requests lost to a close that they cross.
#[rstest]
#[case::at_the_end(|story: &Story| _ = story.stage.send(Stage::Closing))]
#[case::in_a_drain(|story: &Story| _ = story.stage.send(Stage::Draining))]
#[case::whose_place_is_wanted(|story: &Story| story.watch.evict())]
#[tokio::test]
async fn a_request_on_a_resting_connection_that_is_just_being_closed_is_answered(
    #[case] close: fn(&Story),
) {
    let tell = async {
        let story = Story::new().await;
        let (mut client, served) = story.serve("here").await;
        client.write_all(ASKED).unwrap();
        answer(&client).await;
        // In one turn: only the system knows of the second request by now.
        client.write_all(ASKED).unwrap();
        close(&story);
        let come = rest(client).await.expect("ended in order");
        assert!(come.starts_with("HTTP/1.1 200 OK"), "{come:?}");
        served.await.unwrap();
    };
    LocalSet::new().run_until(tell).await;
}

/// Guards against a request lost whose first bytes are read in the very turn in which its resting connection is closed.
#[rstest]
#[case::at_the_end(Stage::Closing)]
#[case::in_a_drain(Stage::Draining)]
#[tokio::test]
async fn half_a_request_that_crosses_the_close_of_a_resting_connection_is_waited_for(
    #[case] stage: Stage,
) {
    let tell = async {
        let story = Story::new().await;
        let (mut client, served) = story.serve("here").await;
        client.write_all(ASKED).unwrap();
        answer(&client).await;
        let (first, second) = ASKED.split_at(ASKED.len() / 2);
        // In one turn: only the system knows of these bytes by now.
        client.write_all(first).unwrap();
        story.stage.send(stage).unwrap();
        while !matches!(story.watch.standing(), Standing::Arriving(_)) {
            assert!(!served.is_finished(), "closed over half a request");
            tokio::task::yield_now().await;
        }
        client.write_all(second).unwrap();
        let come = rest(client).await.expect("ended in order");
        assert!(come.starts_with("HTTP/1.1 200 OK"), "{come:?}");
        served.await.unwrap();
    };
    LocalSet::new().run_until(tell).await;
}

/// Guards against connections closed before their first request can have come. The clock stands still while the client
/// is waited for.
#[tokio::test(start_paused = true)]
async fn a_connection_accepted_at_the_end_has_a_moment_for_its_request() {
    let tell = async {
        let story = Story::new().await;
        story.stage.send_replace(Stage::Closing);
        let (mut client, served) = story.serve("here").await;
        // The conductor has looked at it, and nothing had come.
        for _ in 0..10 {
            tokio::task::yield_now().await;
        }
        client.write_all(ASKED).unwrap();
        let come = rest(client).await.expect("no reset");
        assert!(come.starts_with("HTTP/1.1 200 OK"), "{come:?}");
        served.await.unwrap();
    };
    LocalSet::new().run_until(tell).await;
}

/// Guards against a request cut off in the middle: it is waited for, and its answer ends the connection.
#[rstest]
#[case::head_at_the_end(
    Stage::Closing,
    "POST /x HTTP/1.1\r\nhost: a\r\ncont",
    "ent-length: 0\r\n\r\n"
)]
#[case::head_in_a_drain(
    Stage::Draining,
    "POST /x HTTP/1.1\r\nhost: a\r\ncont",
    "ent-length: 0\r\n\r\n"
)]
#[case::body_at_the_end(
    Stage::Closing,
    "POST /x HTTP/1.1\r\nhost: a\r\ncontent-length: 4\r\n\r\nha",
    "lf"
)]
#[case::body_in_a_drain(
    Stage::Draining,
    "POST /x HTTP/1.1\r\nhost: a\r\ncontent-length: 4\r\n\r\nha",
    "lf"
)]
#[tokio::test]
async fn a_request_that_is_half_there_when_connections_close_is_answered(
    #[case] stage: Stage,
    #[case] first: &str,
    #[case] second: &str,
    #[values(false, true)] kept: bool,
) {
    let tell = async {
        let story = Story::new().await;
        let (mut client, served) = story.serve("here").await;
        if kept {
            client.write_all(ASKED).unwrap();
            answer(&client).await;
        }
        client.write_all(first.as_bytes()).unwrap();
        while !matches!(story.watch.standing(), Standing::Arriving(_)) {
            tokio::task::yield_now().await;
        }
        story.stage.send(stage).unwrap();
        for _ in 0..10 {
            tokio::task::yield_now().await;
        }
        client.write_all(second.as_bytes()).unwrap();
        let come = rest(client).await.unwrap();
        assert!(come.starts_with("HTTP/1.1 200 OK"), "{come:?}");
        served.await.unwrap();
    };
    LocalSet::new().run_until(tell).await;
}

/// Guards against clients that a drain holds for long, or turns away before their first request can have come.
#[tokio::test(start_paused = true)]
async fn a_silent_connection_accepted_in_a_drain_is_let_go_soon() {
    let tell = async {
        let story = Story::new().await;
        story.stage.send_replace(Stage::Draining);
        let (client, served) = story.serve("here").await;
        let begun = Instant::now();
        served.await.unwrap();
        assert!(
            (LATE_CLIENT..=LATE_CLIENT + LINGER).contains(&begun.elapsed()),
            "{:?}",
            begun.elapsed()
        );
        assert_eq!(rest(client).await.expect("ended in order"), "");
    };
    LocalSet::new().run_until(tell).await;
}

/// Guards against a drain that goes on for connections that were accepted in it.
#[tokio::test(start_paused = true)]
async fn a_connection_that_outlasts_the_drain_is_kept() {
    let tell = async {
        let story = Story::new().await;
        story.stage.send_replace(Stage::Draining);
        let (mut client, _served) = story.serve("here").await;
        tokio::time::sleep(LATE_CLIENT / 2).await;
        story.stage.send_replace(Stage::Open);
        tokio::time::sleep(LATE_CLIENT).await;
        for _ in 0..2 {
            client.write_all(ASKED).unwrap();
            answer(&client).await;
        }
    };
    LocalSet::new().run_until(tell).await;
}

const LONG: usize = 100_000;

fn long() -> &'static str {
    Box::leak("~".repeat(LONG).into_boxed_str())
}

/// Guards against the end of an answer lost with its connection: what hyper had not written yet, and what the system
/// had not sent yet when the socket was closed over bytes that nobody had read.
#[rstest]
#[case::that_hyper_holds("", 4096)]
#[case::that_the_system_holds("GET /next HTTP/1.1\r\n", 2 * LONG)]
#[tokio::test]
async fn a_last_answer_comes_whole_to_a_client_that_reads_it_late(
    #[case] more: &str,
    #[case] buffer: usize,
) {
    let tell = async {
        let story = Story::new().await;
        let (mut client, stream) = narrow(&story.listener, buffer).await;
        let served = story.serve_on(stream, long());
        client.write_all(ASKED).unwrap();
        // The answer is handed over, and the client has taken none of it.
        while !story.watch.has_answered() {
            tokio::task::yield_now().await;
        }
        client.write_all(more.as_bytes()).unwrap();
        if !more.is_empty() {
            served.await.unwrap();
        }
        let come = rest(client).await.expect("no reset");
        assert_eq!(come.matches('~').count(), LONG);
    };
    LocalSet::new().run_until(tell).await;
}

/// Guards against connections that this machine has accepted and the conductor never took: their requests are lost.
#[tokio::test]
async fn what_waits_in_the_systems_queue_at_the_end_is_answered() {
    let tell = async {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let shared = shared(1);
        let (stage, stages) = watch::channel(Stage::Open);
        let open = Rc::new(Connections::default());
        let accepting = Listener {
            edge: Edge {
                shared,
                tools: None,
            },
            bound: 64,
            waiting: 64,
            stage: stages,
            open,
            other_serves: Rc::default(),
        };
        let asking = |_| {
            let mut client = connect(&listener);
            client.write_all(ASKED).unwrap();
            client
        };
        let clients: Vec<_> = (0..20).map(asking).collect();
        let accepted = spawn_local(accepting.accept(listener));
        stage.send(Stage::Closing).unwrap();
        accepted.await.unwrap();
        for client in clients {
            let come = rest(client).await.expect("no reset");
            assert!(
                come.starts_with("HTTP/1.1 200 OK") && come.contains("connection: close"),
                "{come:?}"
            );
        }
    };
    LocalSet::new().run_until(tell).await;
}

/// A listener in service, the requests that reach it counted.
struct Served {
    address: std::net::SocketAddr,
    stage: watch::Sender<Stage>,
    taken: Rc<Cell<u64>>,
    open: Rc<Connections>,
    accepting: tokio::task::JoinHandle<()>,
}

impl Served {
    async fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let (stage, stages) = watch::channel(Stage::Open);
        let (taken, open) = (Rc::<Cell<u64>>::default(), Rc::<Connections>::default());
        let mut shared = Rc::into_inner(shared(1)).unwrap();
        shared.ready = Box::new({
            let taken = taken.clone();
            move || {
                taken.set(taken.get() + 1);
                true
            }
        });
        let edge = Edge {
            shared: Rc::new(shared),
            tools: None,
        };
        let accepting = Listener {
            edge,
            bound: 64,
            waiting: 64,
            stage: stages,
            open: open.clone(),
            other_serves: Rc::default(),
        };
        let accepting = spawn_local(accepting.accept(listener));
        Served {
            address,
            stage,
            taken,
            open,
            accepting,
        }
    }

    /// A client that asks on one connection, `most` times or until that closes in order; how many answers it got, and
    /// whether the last one named the close.
    async fn ask(&self, most: usize) -> (u64, bool) {
        let address = self.address;
        spawn_blocking(move || asking(address, most)).await.unwrap()
    }
}

fn asking(address: std::net::SocketAddr, most: usize) -> (u64, bool) {
    let mut client = connect_to(address);
    let mut answered = 0;
    for _ in 0..most {
        // An end that the request crosses may already be known.
        if client.write_all(ASKED).is_err() {
            break;
        }
        let (mut come, mut piece) = (Vec::new(), [0; 1024]);
        while !come.ends_with(b"ready\n") {
            match client.read(&mut piece).expect("ended in order") {
                0 => break,
                n => come.extend_from_slice(&piece[..n]),
            }
        }
        let come = String::from_utf8(come).unwrap();
        if come.is_empty() {
            break;
        }
        assert!(
            come.starts_with("HTTP/1.1 200 OK") && come.ends_with("ready\n"),
            "{come:?}"
        );
        answered += 1;
        if come.contains("connection: close") {
            assert_eq!(client.read(&mut piece).expect("ended in order"), 0);
            return (answered, true);
        }
    }
    (answered, false)
}

const WITHOUT_END: usize = usize::MAX;

/// Guards against requests lost in a drain: clients use the connections that they have for as long as those stay open,
/// and each request is answered or was never taken.
#[tokio::test]
async fn kept_connections_close_in_a_drain_and_no_request_is_lost() {
    let tell = async {
        let service = Served::start().await;
        let mut resting = connect_to(service.address);
        let drain = async {
            while service.taken.get() < 200 {
                tokio::task::yield_now().await;
            }
            service.stage.send_replace(Stage::Draining);
        };
        let clients = futures_util::future::join_all((0..8).map(|_| service.ask(WITHOUT_END)));
        let (ends, ()) = tokio::join!(clients, drain);
        assert_eq!(
            ends.iter().map(|(answered, _)| answered).sum::<u64>(),
            service.taken.get()
        );
        assert_eq!(
            spawn_blocking(move || resting.read(&mut [0]).unwrap())
                .await
                .unwrap(),
            0
        );
        // None is left, and the next ones are answered once.
        while service.open.count() > 0 {
            tokio::task::yield_now().await;
        }
        assert_eq!([service.ask(2).await, service.ask(2).await], [(1, true); 2]);
        assert!(!service.accepting.is_finished());
        // Kept again, and closed again.
        service.stage.send_replace(Stage::Open);
        assert_eq!(service.ask(20).await, (20, false));
        service.stage.send_replace(Stage::Draining);
        assert_eq!(service.ask(2).await, (1, true));
        // The conductor's own end comes during a drain.
        service.stage.send_replace(Stage::Closing);
        service.accepting.await.unwrap();
        assert!(std::net::TcpStream::connect(service.address).is_err());
    };
    LocalSet::new().run_until(tell).await;
}

/// Guards against a stream cut off by a drain, and against a connection that outlives it: its head is out already and
/// names no close.
#[tokio::test]
async fn a_stream_that_outlasts_a_drain_comes_to_its_end_and_its_connection_closes() {
    let tell = async {
        let story = Story::new().await;
        let (mut client, stream) = narrow(&story.listener, 4096).await;
        let (frames, lines) = tokio::sync::mpsc::channel(1);
        let lines = RefCell::new(Some(lines));
        let served = story.serve_with(stream, move || {
            Response::new(AnswerBody::Lines(lines.take().unwrap()))
        });
        client.write_all(ASKED).unwrap();
        let frame =
            |text: &'static str| crate::exchange::Frame::Data(Bytes::from_static(text.as_bytes()));
        frames.send(frame("one ")).await.unwrap();
        for stage in [Stage::Draining, Stage::Open, Stage::Draining] {
            for _ in 0..10 {
                tokio::task::yield_now().await;
            }
            story.stage.send_replace(stage);
        }
        frames.send(frame("two ")).await.unwrap();
        frames.send(crate::exchange::Frame::End).await.unwrap();
        let come = rest(client).await.expect("ended in order");
        assert!(
            come.contains("one ") && come.contains("two ") && come.ends_with("0\r\n\r\n"),
            "{come:?}"
        );
        assert!(!come.contains("connection: close"), "{come:?}");
        served.await.unwrap();
    };
    LocalSet::new().run_until(tell).await;
}

/// Guards against requests that cross the closing of their connection: as another process takes the address over, a
/// client that rests is left in peace, and its next answer tells it to go.
#[tokio::test]
async fn as_another_process_takes_over_answers_close_their_connections_and_what_rests_stays() {
    let tell = async {
        let address = "127.0.0.1:0".parse().unwrap();
        let listener = crate::net::upgrade::socket::listen(address, true).unwrap();
        let _other =
            crate::net::upgrade::socket::listen(listener.local_addr().unwrap(), true).unwrap();
        let (stage, stages) = watch::channel(Stage::Open);
        let open = Rc::new(Connections::default());
        let edge = Edge {
            shared: shared(1),
            tools: None,
        };
        let accepting = Listener {
            edge,
            bound: 64,
            waiting: 64,
            stage: stages,
            open: open.clone(),
            other_serves: Rc::new(Cell::new(true)),
        };
        // Some of them wait at the other listener, which nobody serves.
        let mut clients: Vec<_> = (0..64).map(|_| connect(&listener)).collect();
        let accepted = spawn_local(accepting.accept(listener));
        stage.send(Stage::Leaving).unwrap();
        accepted.await.unwrap();
        let here = open.count();
        assert!(here > 0 && here < clients.len());
        for client in &mut clients {
            client.write_all(ASKED).unwrap();
        }
        while open.count() > 0 {
            tokio::task::yield_now().await;
        }
        let mut answered = 0;
        for mut client in clients {
            client.set_nonblocking(true).unwrap();
            let mut come = String::new();
            let _ = client.read_to_string(&mut come);
            answered += usize::from(
                come.starts_with("HTTP/1.1 200 OK") && come.contains("connection: close"),
            );
        }
        assert_eq!(answered, here);
    };
    LocalSet::new().run_until(tell).await;
}

/// Guards against clients that are reset as the listener closes: from then on the other one gets them, also where the
/// signal to stop was seen so late that connections close at once.
#[rstest]
#[case::leaving(Stage::Leaving)]
#[case::closing_at_once(Stage::Closing)]
#[tokio::test(start_paused = true)]
async fn as_another_process_takes_over_the_system_hands_nothing_new_to_this_one(
    #[case] next: Stage,
) {
    let tell = async {
        let listener =
            crate::net::upgrade::socket::listen("127.0.0.1:0".parse().unwrap(), true).unwrap();
        let address = listener.local_addr().unwrap();
        let _other = crate::net::upgrade::socket::listen(address, true).unwrap();
        let (stage, stages) = watch::channel(Stage::Open);
        let open = Rc::new(Connections::default());
        let edge = Edge {
            shared: shared(1),
            tools: None,
        };
        let accepting = Listener {
            edge,
            bound: 128,
            waiting: 128,
            stage: stages,
            open: open.clone(),
            other_serves: Rc::new(Cell::new(true)),
        };
        let accepted = spawn_local(accepting.accept(listener));
        stage.send(next).unwrap();
        // It waits for the end of handshakes then: the clock stands for as long as there is something to do.
        for _ in 0..100 {
            tokio::task::yield_now().await;
        }
        assert!(!accepted.is_finished());
        let begin = |_| {
            let client =
                socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).unwrap();
            client.set_nonblocking(true).unwrap();
            let _ = client.connect(&address.into());
            client
        };
        let _clients: Vec<_> = (0..64).map(begin).collect();
        accepted.await.unwrap();
        assert_eq!(open.count(), 0);
    };
    LocalSet::new().run_until(tell).await;
}

/// Guards against events lost with a stream that breaks: what a slow client had not taken yet was dropped by hyper.
#[tokio::test]
async fn a_stream_that_breaks_gives_a_slow_client_all_that_came_before() {
    let tell = async {
        let story = Story::new().await;
        let (mut client, stream) = narrow(&story.listener, 4096).await;
        let (frames, lines) = tokio::sync::mpsc::channel(1);
        let lines = RefCell::new(Some(lines));
        let served = story.serve_with(stream, move || {
            Response::new(AnswerBody::Lines(lines.take().unwrap()))
        });
        client.write_all(ASKED).unwrap();
        frames
            .send(crate::exchange::Frame::Data(Bytes::from_static(
                long().as_bytes(),
            )))
            .await
            .unwrap();
        drop(frames);
        while !story.watch.is_blocked() {
            tokio::task::yield_now().await;
        }
        // However often it is asked meanwhile.
        for _ in 0..100 {
            tokio::task::yield_now().await;
        }
        let come = rest(client).await.expect("no reset");
        assert_eq!(
            (come.matches('~').count(), come.ends_with("0\r\n\r\n")),
            (LONG, false)
        );
        served.await.unwrap();
    };
    LocalSet::new().run_until(tell).await;
}

/// Guards against memory beyond the configured limit: what hundreds of clients send behind their requests in hand takes
/// the same room as bodies, and gives it back.
#[rstest]
#[case::room_enough(10_000, 5_000)]
#[case::too_little(4_000, 0)]
#[tokio::test]
async fn what_is_read_ahead_takes_room_of_the_budget(#[case] budget: usize, #[case] kept: usize) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let mut client = connect(&listener);
    let (stream, _) = listener.accept().await.unwrap();
    let (watch, shared) = (Watch::new(), shared(budget));
    let mut room = BudgetReservation::new(shared.clone());
    client.write_all(&[b'a'; 5_000]).unwrap();
    client.shutdown(std::net::Shutdown::Write).unwrap();
    while !watch.read_ahead(&stream, &mut room).await {}
    assert_eq!(
        (watch.kept_ahead(), shared.body_budget.get()),
        (kept, budget - kept)
    );
    room.shrink_to(2_000);
    assert_eq!(shared.body_budget.get(), budget - kept.min(2_000));
    drop(room);
    assert_eq!(shared.body_budget.get(), budget);
}

/// Guards against a deadline that begins anew where a request was written behind another one: it waits unread by hyper
/// while that is answered, and its client's time runs.
#[tokio::test(start_paused = true)]
async fn a_request_behind_the_one_in_hand_counts_from_when_it_came() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let mut client = connect(&listener);
    let (stream, _) = listener.accept().await.unwrap();
    let (stream, watch) = (Rc::new(stream), Watch::new());
    let mut room = BudgetReservation::new(shared(64 * 1024));
    client.write_all(ASKED).unwrap();
    while watch.kept_ahead() < ASKED.len() {
        assert!(!watch.read_ahead(&stream, &mut room).await);
    }
    let came = Instant::now();
    tokio::time::advance(Duration::from_secs(2)).await;
    let mut piece = [0; 1024];
    let read = Watched::new(stream, watch.clone())
        .read(&mut piece)
        .await
        .unwrap();
    assert_eq!(&piece[..read], ASKED);
    let head = watch.head();
    assert!(head.is_sound);
    assert_eq!(head.arrived, came);
}

/// Guards against a request that was read and has no answer: the end of its task closed its connection.
#[tokio::test]
async fn a_request_whose_answering_panics_is_answered_as_failed() {
    let counters = Counters::default();
    let panicking = async { panic!("on purpose") };
    let response = answer_always::<Infallible>(panicking, &counters).await;
    assert_eq!(response.status(), StatusCode::INTERNAL_SERVER_ERROR);
    assert_eq!(counters.panics.get(), 1);
    let full = async { Err("no room") };
    assert_eq!(
        answer_always(full, &counters).await.status(),
        StatusCode::SERVICE_UNAVAILABLE
    );
}

/// Guards against the same over loopback sockets: the connection lives on.
#[tokio::test]
async fn a_panic_costs_one_request_and_no_connection() {
    LocalSet::new()
        .run_until(async {
            let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
            let mut client = connect(&listener);
            let (dispatcher, _) = crate::dispatch::DispatcherHandle::channel(Clock::start());
            let panics = Cell::new(true);
            let ready = Box::new(move || !panics.take() || panic!("on purpose"));
            let shared = Rc::new(Shared {
                dispatcher,
                ready,
                ..Rc::into_inner(shared(64 * 1024)).unwrap()
            });
            let counters = shared.counters.clone();
            let edge = Edge {
                shared,
                tools: None,
            };
            let (_stage, stage) = watch::channel(Stage::Open);
            let listening = Listener {
                edge,
                bound: 8,
                waiting: 8,
                stage,
                open: Rc::default(),
                other_serves: Rc::default(),
            };
            spawn_local(listening.accept(listener));
            for wanted in ["HTTP/1.1 500 ", "HTTP/1.1 200 "] {
                client.write_all(ASKED).unwrap();
                let mut reading = client.try_clone().unwrap();
                let read = move || {
                    let mut piece = [0; 1024];
                    let read = reading.read(&mut piece).unwrap();
                    String::from_utf8_lossy(&piece[..read]).into_owned()
                };
                let come = spawn_blocking(read).await.unwrap();
                assert!(come.starts_with(wanted), "{come:?}");
            }
            assert_eq!(counters.panics.get(), 1);
        })
        .await;
}
