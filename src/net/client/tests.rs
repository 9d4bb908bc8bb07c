use super::*;
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
/// Far more than the system takes in for a peer that doesn't read.
const LARGE_BODY: usize = 64 * 1024 * 1024;

/// The client side in front of one host, and what it tells the dispatcher.
struct Rig {
    hosts: HostClient,
    told: mpsc::UnboundedReceiver<DispatcherEvent>,
}

impl Rig {
    fn new(address: SocketAddr) -> Rig {
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
        let (dispatcher, told) = DispatcherHandle::channel(Clock::start());
        let hosts = HostClient {
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
        };
        Rig { hosts, told }
    }

    /// Sends one attempt that has this long; the other end of its cancellation.
    fn send(&self, body: Bytes, time: Duration, send_by: Option<Duration>) -> oneshot::Sender<()> {
        let (attempt, cancel) = self.attempt(body, time, send_by);
        self.hosts.send(attempt);
        cancel
    }

    /// An attempt that has this long, and the other end of its cancellation.
    fn attempt(
        &self,
        body: Bytes,
        time: Duration,
        send_by: Option<Duration>,
    ) -> (Attempt, oneshot::Sender<()>) {
        let after = |time: Duration| self.hosts.dispatcher.clock.now() + time.as_micros() as u64;
        let call = UpstreamRequest {
            id: "id-1".into(),
            target: "/v1/chat/completions".into(),
            headers: Default::default(),
            body,
            lifetime_guards: None,
            claim_key: None,
        };
        let (cancel, cancelled) = oneshot::channel();
        let attempt = Attempt {
            request: RequestId(1),
            attempt: AttemptIndex(0),
            worker: WorkerId(HOST.into()),
            upstream_request: Rc::new(call),
            max_attempts: 4,
            first_event_deadline: after(time),
            permit: SendPermit::for_test(send_by.map(after)),
            wait_for_release: None,
            cancelled,
            client_disconnected: Rc::default(),
        };
        (attempt, cancel)
    }

    /// The end of the attempt.
    async fn ended(&mut self) -> AttemptOutcome {
        match self.told.recv().await {
            Some(DispatcherEvent::AttemptCompleted { outcome, .. }) => outcome,
            _ => panic!("something else than the attempt's end"),
        }
    }
}

async fn listen() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    (listener, address)
}

/// Reads a request without a body.
async fn read_head(stream: &mut TcpStream) -> String {
    let mut read = Vec::new();
    while !read.ends_with(b"\r\n\r\n") {
        read.push(stream.read_u8().await.unwrap());
    }
    String::from_utf8(read).unwrap()
}

async fn read_to_end(stream: &mut TcpStream) -> usize {
    let (mut scrap, mut all) = (vec![0; 64 * 1024], 0);
    while let Ok(bytes) = stream.read(&mut scrap).await {
        if bytes == 0 {
            break;
        }
        all += bytes;
    }
    all
}

/// Guards against work that runs twice, or is refused while it runs: what the dispatcher does on an end goes out on other
/// connections, and reached its receivers while the attempt that it followed was still open at its host.
#[rstest]
#[case::silent("", AttemptOutcome::TimedOut)]
#[case::no_stream(
    "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\ncontent-length: 5\r\n\r\nnoise",
    AttemptOutcome::ConnectionLost
)]
#[case::no_http("noise\r\n\r\n", AttemptOutcome::ConnectionLost)]
#[case::an_error_without_end(
    "HTTP/1.1 500 Oops\r\ncontent-length: 9\r\n\r\nhalf",
    AttemptOutcome::Error
)]
#[tokio::test]
async fn the_end_of_an_attempt_given_up_is_told_when_its_host_has_seen_the_close(
    #[case] answer: &'static str,
    #[case] outcome: AttemptOutcome,
) {
    LocalSet::new()
        .run_until(async {
            let (listener, address) = listen().await;
            let mut rig = Rig::new(address);
            let order = Rc::new(RefCell::new(Vec::new()));
            let seen = order.clone();
            let host = tokio::task::spawn_local(async move {
                let (mut stream, _) = listener.accept().await.unwrap();
                read_head(&mut stream).await;
                stream.write_all(answer.as_bytes()).await.unwrap();
                read_to_end(&mut stream).await;
                seen.borrow_mut().push("closed");
            });
            let _cancel = rig.send(Bytes::new(), Duration::from_millis(700), None);
            assert_eq!(rig.ended().await, outcome);
            order.borrow_mut().push("told");
            host.await.unwrap();
            assert_eq!(*order.borrow(), ["closed", "told"]);
        })
        .await;
}

/// Guards against a repeat that comes after its window: the connection or a release before it took too long.
#[tokio::test]
async fn a_repeat_whose_window_is_over_is_not_written() {
    LocalSet::new()
        .run_until(async {
            let (listener, address) = listen().await;
            let mut rig = Rig::new(address);
            let _cancel = rig.send(Bytes::new(), Duration::from_secs(60), Some(Duration::ZERO));
            let (mut stream, _) = listener.accept().await.unwrap();
            assert_eq!(rig.ended().await, AttemptOutcome::NotSent);
            assert_eq!(read_to_end(&mut stream).await, 0);
            assert_eq!(rig.hosts.counters.repeats_held_back.get(), 1);
            assert_eq!(rig.hosts.counters.sent.get(), 0);
        })
        .await;
}

/// Guards against an attempt that begins after its client has closed its connection or cancelled: that was seen while
/// the attempt's own connection came up.
#[tokio::test]
async fn nothing_is_written_for_a_client_that_has_gone() {
    LocalSet::new()
        .run_until(async {
            let (listener, address) = listen().await;
            let mut rig = Rig::new(address);
            let (attempt, _cancel) = rig.attempt(Bytes::new(), Duration::from_secs(60), None);
            let gone = attempt.client_disconnected.clone();
            rig.hosts.send(attempt);
            gone.set(true);
            let (mut stream, _) = listener.accept().await.unwrap();
            assert_eq!(rig.ended().await, AttemptOutcome::NotSent);
            assert_eq!(read_to_end(&mut stream).await, 0);
            assert_eq!(rig.hosts.counters.held_back.get(), 1);
        })
        .await;
}

/// Guards against a host that is told of more time than the client has left: what goes before the head takes its part.
#[tokio::test(start_paused = true)]
async fn the_deadline_passed_on_is_what_is_left_when_the_head_is_written() {
    const TIME: Duration = Duration::from_secs(60);
    const RELEASE: Duration = Duration::from_millis(80);
    LocalSet::new()
        .run_until(async {
            let (listener, address) = listen().await;
            let rig = Rig::new(address);
            let (mut attempt, _cancel) = rig.attempt(Bytes::new(), TIME, None);
            let releasing = Rc::<ReleaseProgress>::default();
            attempt.wait_for_release = Some(releasing.clone());
            rig.hosts.send(attempt);
            tokio::time::advance(RELEASE).await;
            // From here on sockets are waited for.
            tokio::time::resume();
            releasing.set_done();
            let (mut stream, _) = listener.accept().await.unwrap();
            let head = read_head(&mut stream).await;
            let told = head
                .lines()
                .find_map(|line| line.strip_prefix("x-deadline: ")?.strip_suffix('u'));
            let told = Duration::from_micros(told.expect("a deadline").parse().unwrap());
            assert!(told <= TIME - RELEASE, "{told:?}");
        })
        .await;
}

/// Guards against a repeat that a host which hangs takes in whole long after its window.
#[tokio::test]
async fn a_repeat_that_is_not_taken_whole_in_its_window_never_is() {
    LocalSet::new()
        .run_until(async {
            let socket = TcpSocket::new_v4().unwrap();
            socket.set_recv_buffer_size(4096).unwrap();
            socket.bind("127.0.0.1:0".parse().unwrap()).unwrap();
            let listener = socket.listen(8).unwrap();
            let mut rig = Rig::new(listener.local_addr().unwrap());
            let body = Bytes::from(vec![b'x'; LARGE_BODY]);
            let _cancel = rig.send(
                body,
                Duration::from_secs(60),
                Some(Duration::from_millis(200)),
            );
            let (mut stream, _) = listener.accept().await.unwrap();
            assert_eq!(
                rig.ended().await,
                AttemptOutcome::ConnectFailed,
                "never run"
            );
            assert!(read_to_end(&mut stream).await < LARGE_BODY);
            assert_eq!(rig.hosts.counters.repeats_held_back.get(), 1);
        })
        .await;
}

/// Guards against a second run on the word of a host that did not say it: the header's value counts.
#[rstest]
#[case::said("x-not-run: 1\r\n", AttemptOutcome::Rejected)]
#[case::denied("x-not-run: 0\r\n", AttemptOutcome::Error)]
#[case::empty("x-not-run:\r\n", AttemptOutcome::Error)]
#[case::not_said("", AttemptOutcome::Error)]
#[tokio::test]
async fn a_host_is_believed_that_says_it_has_not_run_a_request(
    #[case] header: &str,
    #[case] outcome: AttemptOutcome,
) {
    let answer = format!("HTTP/1.1 503 Busy\r\n{header}content-length: 0\r\n\r\n");
    LocalSet::new()
        .run_until(async {
            let (listener, address) = listen().await;
            let mut rig = Rig::new(address);
            let _cancel = rig.send(Bytes::new(), Duration::from_secs(60), None);
            let (mut stream, _) = listener.accept().await.unwrap();
            read_head(&mut stream).await;
            stream.write_all(answer.as_bytes()).await.unwrap();
            assert_eq!(rig.ended().await, outcome);
        })
        .await;
}

/// Guards against a repeat that lies on a kept connection which has fallen silent, and arrives behind its window.
#[rstest]
#[case::a_first_send_is_written_to_the_kept_one(None, false)]
#[case::a_repeat_gets_a_new_one(Some(Duration::from_secs(30)), true)]
#[tokio::test]
async fn a_connection_is_kept_for(#[case] send_by: Option<Duration>, #[case] is_new: bool) {
    const READ: &str = "HTTP/1.1 202 Accepted\r\ncontent-length: 2\r\n\r\n{}";
    LocalSet::new()
        .run_until(async {
            let (listener, address) = listen().await;
            let mut rig = Rig::new(address);
            let _first = rig.send(Bytes::new(), Duration::from_secs(60), None);
            let (mut kept, _) = listener.accept().await.unwrap();
            read_head(&mut kept).await;
            kept.write_all(READ.as_bytes()).await.unwrap();
            assert_eq!(rig.ended().await, AttemptOutcome::Prefilled);
            let _second = rig.send(Bytes::new(), Duration::from_secs(60), send_by);
            let came_up = tokio::select! {
                _ = listener.accept() => true,
                _ = read_head(&mut kept) => false,
            };
            assert_eq!(came_up, is_new);
        })
        .await;
}
