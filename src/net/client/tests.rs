use super::*;
use crate::memory::Budget;
use crate::net::discovery::Listing;
use crate::routing::types::{Endpoint, SendPermit, Status};
use rstest::rstest;
use std::cell::RefCell;
use std::net::SocketAddr;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::{mpsc, oneshot};
use tokio::task::LocalSet;

const HOST: &str = "host";
/// Far more than the socket buffers hold for a peer that does not read.
const LARGE_BODY: usize = 64 * 1024 * 1024;

/// A host client with one listed host, and the events that it sends to the dispatcher.
struct Fixture {
    client: HostClient,
    dispatcher_events: mpsc::UnboundedReceiver<DispatcherEvent>,
}

impl Fixture {
    fn new(address: SocketAddr) -> Fixture {
        let directory = Rc::new(Directory::default());
        let entry = Endpoint {
            worker: WorkerId(HOST.into()),
            zone: "here".into(),
            kind: "prompt".into(),
            cell: 0,
            status: Status::Ready,
            weight: 1.0,
            started: None,
        };
        directory.apply(&Listing {
            seq: 1,
            is_full: true,
            entries: vec![(entry, Some(address))],
        });
        let counters = Rc::new(Counters::default());
        let (dispatcher, dispatcher_events) = DispatcherHandle::channel(Clock::start());
        let event_memory =
            EventMemory::new(Budget::new(1024 * 1024), Rc::default(), counters.clone());
        let client = HostClient {
            directory,
            pool: Pool::new(
                64,
                Duration::from_secs(10),
                Duration::from_secs(10),
                counters.clone(),
            ),
            dispatcher,
            counters,
            resubscribe: Rc::default(),
            pending_releases: Rc::default(),
            late_arrivals: Rc::default(),
            event_memory,
        };
        Fixture {
            client,
            dispatcher_events,
        }
    }

    /// Starts an attempt with a time limit; returns the sender that cancels it.
    fn send(
        &self,
        body: Bytes,
        time_limit: Duration,
        send_by: Option<Duration>,
    ) -> oneshot::Sender<()> {
        let (attempt, cancel) = self.attempt(body, time_limit, send_by);
        self.client.send(attempt);
        cancel
    }

    /// An attempt with a time limit, and the sender that cancels it.
    fn attempt(
        &self,
        body: Bytes,
        time_limit: Duration,
        send_by: Option<Duration>,
    ) -> (Attempt, oneshot::Sender<()>) {
        let after = |time_limit: Duration| {
            self.client.dispatcher.clock.now() + time_limit.as_micros() as u64
        };
        let call = UpstreamRequest {
            id: "id-1".into(),
            target: "/v1/chat/completions".into(),
            headers: Default::default(),
            body: body.into(),
            lifetime_guards: None,
            run_record: None,
            claim_key: None,
        };
        let (cancel, cancelled) = oneshot::channel();
        let attempt = Attempt {
            request: RequestId(1),
            attempt: AttemptIndex(0),
            worker: WorkerId(HOST.into()),
            upstream_request: Rc::new(call),
            max_attempts: 4,
            first_event_deadline: after(time_limit),
            permit: SendPermit::for_test(send_by.map(after)),
            wait_for_release: None,
            cancelled,
            client_disconnected: Rc::default(),
        };
        (attempt, cancel)
    }

    async fn next_outcome(&mut self) -> AttemptOutcome {
        match self.dispatcher_events.recv().await {
            Some(DispatcherEvent::AttemptCompleted { outcome, .. }) => outcome,
            _ => panic!("expected AttemptCompleted as the next dispatcher event"),
        }
    }
}

async fn listen() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    (listener, address)
}

async fn read_head(stream: &mut TcpStream) -> String {
    let mut read = Vec::new();
    while !read.ends_with(b"\r\n\r\n") {
        read.push(stream.read_u8().await.unwrap());
    }
    String::from_utf8(read).unwrap()
}

async fn read_to_end(stream: &mut TcpStream) -> usize {
    let (mut buffer, mut total) = (vec![0; 64 * 1024], 0);
    while let Ok(bytes) = stream.read(&mut buffer).await {
        if bytes == 0 {
            break;
        }
        total += bytes;
    }
    total
}

/// Guards against a request that runs twice, or is refused while it runs. The dispatcher reacts to an outcome on other
/// connections, and without a pause its reaction arrives while the abandoned attempt is still open at its host.
#[rstest]
#[case::no_response("", AttemptOutcome::TimedOut)]
#[case::not_an_event_stream(
    "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\ncontent-length: 5\r\n\r\nnoise",
    AttemptOutcome::ConnectionLost
)]
#[case::not_http("noise\r\n\r\n", AttemptOutcome::ConnectionLost)]
#[case::truncated_error(
    "HTTP/1.1 500 Oops\r\ncontent-length: 9\r\n\r\nhalf",
    AttemptOutcome::Error
)]
#[tokio::test]
async fn outcome_of_an_abandoned_attempt_is_reported_after_the_host_has_seen_the_close(
    #[case] response: &'static str,
    #[case] outcome: AttemptOutcome,
) {
    LocalSet::new()
        .run_until(async {
            let (listener, address) = listen().await;
            let mut fixture = Fixture::new(address);
            let events = Rc::new(RefCell::new(Vec::new()));
            let host_events = events.clone();
            let host = tokio::task::spawn_local(async move {
                let (mut stream, _) = listener.accept().await.unwrap();
                read_head(&mut stream).await;
                stream.write_all(response.as_bytes()).await.unwrap();
                read_to_end(&mut stream).await;
                host_events.borrow_mut().push("closed");
            });
            let _cancel = fixture.send(Bytes::new(), Duration::from_millis(700), None);
            assert_eq!(fixture.next_outcome().await, outcome);
            events.borrow_mut().push("reported");
            host.await.unwrap();
            assert_eq!(*events.borrow(), ["closed", "reported"]);
        })
        .await;
}

/// Guards against a repeat that is written after its window, because connecting or an earlier release took too long.
#[tokio::test]
async fn a_repeat_is_not_written_after_its_window() {
    LocalSet::new()
        .run_until(async {
            let (listener, address) = listen().await;
            let mut fixture = Fixture::new(address);
            let _cancel = fixture.send(Bytes::new(), Duration::from_secs(60), Some(Duration::ZERO));
            let (mut stream, _) = listener.accept().await.unwrap();
            assert_eq!(fixture.next_outcome().await, AttemptOutcome::NotSent);
            assert_eq!(read_to_end(&mut stream).await, 0);
            assert_eq!(fixture.client.counters.repeats_held_back.get(), 1);
            assert_eq!(fixture.client.counters.sent.get(), 0);
        })
        .await;
}

/// Guards against an attempt that is written although its client disconnected or cancelled while the connection to the
/// host was being opened.
#[tokio::test]
async fn nothing_is_written_for_a_disconnected_client() {
    LocalSet::new()
        .run_until(async {
            let (listener, address) = listen().await;
            let mut fixture = Fixture::new(address);
            let (attempt, _cancel) = fixture.attempt(Bytes::new(), Duration::from_secs(60), None);
            let gone = attempt.client_disconnected.clone();
            fixture.client.send(attempt);
            gone.set(true);
            let (mut stream, _) = listener.accept().await.unwrap();
            assert_eq!(fixture.next_outcome().await, AttemptOutcome::NotSent);
            assert_eq!(read_to_end(&mut stream).await, 0);
            assert_eq!(fixture.client.counters.held_back.get(), 1);
        })
        .await;
}

/// Guards against an `x-deadline` that exceeds the client's remaining time, because the time spent before the head was
/// written (a release that goes first, connecting) is not subtracted.
#[tokio::test(start_paused = true)]
async fn forwarded_deadline_is_the_time_left_when_the_head_is_written() {
    const TIME_LIMIT: Duration = Duration::from_secs(60);
    const RELEASE_DURATION: Duration = Duration::from_millis(80);
    LocalSet::new()
        .run_until(async {
            let (listener, address) = listen().await;
            let fixture = Fixture::new(address);
            let (mut attempt, _cancel) = fixture.attempt(Bytes::new(), TIME_LIMIT, None);
            let progress = Rc::<ReleaseProgress>::default();
            attempt.wait_for_release = Some(progress.clone());
            fixture.client.send(attempt);
            tokio::time::advance(RELEASE_DURATION).await;
            // Real sockets are awaited from here on.
            tokio::time::resume();
            progress.set_done();
            let (mut stream, _) = listener.accept().await.unwrap();
            let head = read_head(&mut stream).await;
            let deadline = head
                .lines()
                .find_map(|line| line.strip_prefix("x-deadline: ")?.strip_suffix('u'));
            let deadline =
                Duration::from_micros(deadline.expect("the head has x-deadline").parse().unwrap());
            assert!(deadline <= TIME_LIMIT - RELEASE_DURATION, "{deadline:?}");
        })
        .await;
}

/// Guards against a repeat that a stalled host finishes reading long after the repeat's window.
#[tokio::test]
async fn a_repeat_not_fully_written_within_its_window_is_aborted() {
    LocalSet::new()
        .run_until(async {
            let socket = TcpSocket::new_v4().unwrap();
            socket.set_recv_buffer_size(4096).unwrap();
            socket.bind("127.0.0.1:0".parse().unwrap()).unwrap();
            let listener = socket.listen(8).unwrap();
            let mut fixture = Fixture::new(listener.local_addr().unwrap());
            let body = Bytes::from(vec![b'x'; LARGE_BODY]);
            let _cancel = fixture.send(
                body,
                Duration::from_secs(60),
                Some(Duration::from_millis(200)),
            );
            let (mut stream, _) = listener.accept().await.unwrap();
            assert_eq!(
                fixture.next_outcome().await,
                AttemptOutcome::ConnectFailed,
                "an incomplete request has not run"
            );
            assert!(read_to_end(&mut stream).await < LARGE_BODY);
            assert_eq!(fixture.client.counters.repeats_held_back.get(), 1);
        })
        .await;
}

/// Guards against a second run after a response that does not state that the request has not run: only the value "1" of
/// `x-not-run` does.
#[rstest]
#[case::one("x-not-run: 1\r\n", AttemptOutcome::Rejected)]
#[case::zero("x-not-run: 0\r\n", AttemptOutcome::Error)]
#[case::empty("x-not-run:\r\n", AttemptOutcome::Error)]
#[case::absent("", AttemptOutcome::Error)]
#[tokio::test]
async fn only_x_not_run_1_counts_as_not_run(#[case] header: &str, #[case] outcome: AttemptOutcome) {
    let response = format!("HTTP/1.1 503 Busy\r\n{header}content-length: 0\r\n\r\n");
    LocalSet::new()
        .run_until(async {
            let (listener, address) = listen().await;
            let mut fixture = Fixture::new(address);
            let _cancel = fixture.send(Bytes::new(), Duration::from_secs(60), None);
            let (mut stream, _) = listener.accept().await.unwrap();
            read_head(&mut stream).await;
            stream.write_all(response.as_bytes()).await.unwrap();
            assert_eq!(fixture.next_outcome().await, outcome);
        })
        .await;
}

/// Guards against a repeat that is written to an idle connection which has gone silent, and so arrives after its
/// window.
#[rstest]
#[case::first_send(None, false)]
#[case::repeat(Some(Duration::from_secs(30)), true)]
#[tokio::test]
async fn idle_connections_are_reused_except_for_repeats(
    #[case] send_by: Option<Duration>,
    #[case] expects_new: bool,
) {
    const PREFILL_RESPONSE: &str = "HTTP/1.1 202 Accepted\r\ncontent-length: 2\r\n\r\n{}";
    LocalSet::new()
        .run_until(async {
            let (listener, address) = listen().await;
            let mut fixture = Fixture::new(address);
            let _first = fixture.send(Bytes::new(), Duration::from_secs(60), None);
            let (mut first_connection, _) = listener.accept().await.unwrap();
            read_head(&mut first_connection).await;
            first_connection
                .write_all(PREFILL_RESPONSE.as_bytes())
                .await
                .unwrap();
            assert_eq!(fixture.next_outcome().await, AttemptOutcome::Prefilled);
            let _second = fixture.send(Bytes::new(), Duration::from_secs(60), send_by);
            let opened_new = tokio::select! {
                _ = listener.accept() => true,
                _ = read_head(&mut first_connection) => false,
            };
            assert_eq!(opened_new, expects_new);
        })
        .await;
}
