//! Closes that cross a request, over loopback: the client writes and the conductor decides in one and the same turn,
//! so that the runtime has not been told of the bytes that the system has.

use super::*;
use crate::core::Clock;
use rstest::rstest;
use std::io::{Read, Write};
use tokio::task::{LocalSet, spawn_blocking, spawn_local};

const ASKED: &[u8] = b"GET /healthz HTTP/1.1\r\nhost: a\r\n\r\n";

/// A client's socket, as a client uses it: blocking.
fn connect(listener: &TcpListener) -> std::net::TcpStream {
    let client = std::net::TcpStream::connect(listener.local_addr().unwrap()).unwrap();
    client.set_read_timeout(Some(Duration::from_secs(30))).unwrap();
    client.set_nodelay(true).unwrap();
    client
}

/// All that comes on it up to its end.
async fn rest(mut client: std::net::TcpStream) -> io::Result<String> {
    let read = move || {
        let mut all = Vec::new();
        client.read_to_end(&mut all).map(|_| String::from_utf8_lossy(&all).into_owned())
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
    client.connect(&listener.local_addr().unwrap().into()).unwrap();
    client.set_read_timeout(Some(Duration::from_secs(30))).unwrap();
    let (stream, _) = listener.accept().await.unwrap();
    SockRef::from(&stream).set_send_buffer_size(send).unwrap();
    (client.into(), stream)
}

fn shared(budget: usize) -> Rc<Shared> {
    let (core, _) = crate::core::CoreHandle::channel(Clock::start());
    Rc::new(Shared {
        core,
        classes: RefCell::default(),
        gate: None,
        ready: Box::new(|| true),
        may_serve: Box::new(|| true),
        counters: Rc::default(),
        budget: Cell::new(budget),
        ids: RefCell::default(),
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
        Story { listener, stage, watch: Watch::new(), counters: Rc::default() }
    }

    /// A connection that is served, its answers as given.
    async fn serve(&self, body: &'static str) -> (std::net::TcpStream, tokio::task::JoinHandle<()>) {
        let client = connect(&self.listener);
        let (stream, _) = self.listener.accept().await.unwrap();
        (client, self.serve_on(stream, body))
    }

    fn serve_on(&self, stream: TcpStream, body: &'static str) -> tokio::task::JoinHandle<()> {
        self.serve_with(stream, move || {
            let mut response = plain(StatusCode::OK, body);
            if body != "here" {
                response.headers_mut().insert("connection", "close".parse().unwrap());
            }
            response
        })
    }

    fn serve_with(
        &self,
        stream: TcpStream,
        answer: impl Fn() -> Response<AnswerBody> + Unpin + 'static,
    ) -> tokio::task::JoinHandle<()> {
        let (watch, counters, stage) = (self.watch.clone(), self.counters.clone(), self.stage.subscribe());
        let (answer, room) = (Rc::new(answer), Held::new(shared(64 * 1024)));
        spawn_local(async move {
            let seen = watch.clone();
            let answerer = move |request: Request<Incoming>| -> Answerer {
                let (watch, answer) = (seen.clone(), answer.clone());
                Box::pin(async move {
                    watch.head();
                    let _ = request.into_body().collect().await;
                    watch.whole();
                    Ok(answer().map(|body| Answering { body, watch }))
                })
            };
            serve(stream, hyper::service::service_fn(answerer), stage, &watch, room, &counters).await;
        })
    }
}

/// Guards against requests lost to a close that they cross.
#[rstest]
#[case::at_the_end(|story: &Story| _ = story.stage.send(Stage::Closing))]
#[case::whose_place_is_wanted(|story: &Story| story.watch.evict())]
#[tokio::test]
async fn a_request_on_a_resting_connection_that_is_just_being_closed_is_answered(#[case] close: fn(&Story)) {
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

/// Guards against a body cut off at the conductor's end: it is waited for, and its answer ends the connection.
#[tokio::test]
async fn a_request_that_is_half_there_at_the_end_is_answered() {
    let tell = async {
        let story = Story::new().await;
        let (mut client, served) = story.serve("here").await;
        client.write_all(b"POST /x HTTP/1.1\r\nhost: a\r\ncontent-length: 4\r\n\r\nha").unwrap();
        while !matches!(story.watch.standing(), Standing::Arriving(_)) {
            tokio::task::yield_now().await;
        }
        story.stage.send(Stage::Closing).unwrap();
        tokio::task::yield_now().await;
        client.write_all(b"lf").unwrap();
        let come = rest(client).await.unwrap();
        assert!(come.starts_with("HTTP/1.1 200 OK"), "{come:?}");
        served.await.unwrap();
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
async fn a_last_answer_comes_whole_to_a_client_that_reads_it_late(#[case] more: &str, #[case] buffer: usize) {
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
        let accepting =
            Listener { edge: Edge { shared, tools: None }, bound: 64, waiting: 64, stage: stages, open };
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
            assert!(come.starts_with("HTTP/1.1 200 OK") && come.contains("connection: close"), "{come:?}");
        }
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
        let _other = crate::net::upgrade::socket::listen(listener.local_addr().unwrap(), true).unwrap();
        let (stage, stages) = watch::channel(Stage::Open);
        let open = Rc::new(Connections::default());
        let edge = Edge { shared: shared(1), tools: None };
        let accepting = Listener { edge, bound: 64, waiting: 64, stage: stages, open: open.clone() };
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
            answered +=
                usize::from(come.starts_with("HTTP/1.1 200 OK") && come.contains("connection: close"));
        }
        assert_eq!(answered, here);
    };
    LocalSet::new().run_until(tell).await;
}

/// Guards against clients that are reset as the listener closes: from then on the other one gets them.
#[tokio::test(start_paused = true)]
async fn as_another_process_takes_over_the_system_hands_nothing_new_to_this_one() {
    let tell = async {
        let listener = crate::net::upgrade::socket::listen("127.0.0.1:0".parse().unwrap(), true).unwrap();
        let address = listener.local_addr().unwrap();
        let _other = crate::net::upgrade::socket::listen(address, true).unwrap();
        let (stage, stages) = watch::channel(Stage::Open);
        let open = Rc::new(Connections::default());
        let edge = Edge { shared: shared(1), tools: None };
        let accepting = Listener { edge, bound: 128, waiting: 128, stage: stages, open: open.clone() };
        let accepted = spawn_local(accepting.accept(listener));
        stage.send(Stage::Leaving).unwrap();
        // It waits for the end of handshakes then: the clock stands for as long as there is something to do.
        for _ in 0..100 {
            tokio::task::yield_now().await;
        }
        assert!(!accepted.is_finished());
        let begin = |_| {
            let client = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).unwrap();
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
        let served =
            story.serve_with(stream, move || Response::new(AnswerBody::Lines(lines.take().unwrap())));
        client.write_all(ASKED).unwrap();
        frames.send(crate::exchange::Frame::Data(Bytes::from_static(long().as_bytes()))).await.unwrap();
        drop(frames);
        while !story.watch.is_blocked() {
            tokio::task::yield_now().await;
        }
        // However often it is asked meanwhile.
        for _ in 0..100 {
            tokio::task::yield_now().await;
        }
        let come = rest(client).await.expect("no reset");
        assert_eq!((come.matches('~').count(), come.ends_with("0\r\n\r\n")), (LONG, false));
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
    let mut room = Held::new(shared.clone());
    client.write_all(&[b'a'; 5_000]).unwrap();
    client.shutdown(std::net::Shutdown::Write).unwrap();
    while !watch.read_ahead(&stream, &mut room).await {}
    assert_eq!((watch.kept_ahead(), shared.budget.get()), (kept, budget - kept));
    room.shrink_to(2_000);
    assert_eq!(shared.budget.get(), budget - kept.min(2_000));
    drop(room);
    assert_eq!(shared.budget.get(), budget);
}
