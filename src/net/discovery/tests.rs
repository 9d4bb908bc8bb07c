use super::*;
use crate::dispatch::Clock;
use rstest::rstest;
use tokio::io::{AsyncReadExt, AsyncWriteExt, DuplexStream};
use tokio::sync::mpsc::{UnboundedReceiver, unbounded_channel};
use tokio::task::LocalSet;
use tokio::time::sleep;

/// Maximum delay of the routing module before a call, including the time until its next tick.
const MAX_MODULE_DELAY: Duration = Duration::from_millis(2_100);

fn listing(text: &str) -> Listing {
    serde_json::from_str::<ListMessage>(text).unwrap().into()
}

/// Guards against a directory that grows with every machine that is replaced under a new id.
#[test]
fn hosts_that_are_gone_are_removed() {
    let directory = Directory::default();
    let listing = |is_full: bool, name: String, health: &str| {
        listing(&format!(
            r#"{{"seq":1,"whole":{is_full},"hosts":[{{"host":"{name}","dial":"127.0.0.1:1","health":"{health}"}}]}}"#
        ))
    };
    for i in 0..10 {
        directory.apply(&listing(i % 2 == 0, format!("h{i}"), "ready"));
        let gone = directory.apply(&listing(false, format!("h{i}"), "gone"));
        assert_eq!(gone, [WorkerId(format!("h{i}").into())]);
        assert!(!directory.is_ready(&gone[0]));
    }
    assert!(directory.hosts.borrow().is_empty());
}

// ---------------------------------------------------------------- the message decoder

/// Decodes a text that arrives in pieces of `piece_size` bytes; returns the version of each message, `None` for an
/// error.
fn versions(text: &str, piece_size: usize) -> Vec<Option<u64>> {
    let (mut decoder, mut versions_seen) = (MessageDecoder::default(), Vec::new());
    for piece in text.as_bytes().chunks(piece_size) {
        decoder.push(piece);
        versions_seen.extend(
            std::iter::from_fn(|| decoder.next())
                .map(|message| message.ok().map(|message| message.seq)),
        );
    }
    versions_seen
}

const HOSTS: &str =
    r#"[{"host":"a","dial":"127.0.0.1:1","health":"ready"},{"host":"}{\"[\\","health":"gone"}]"#;

/// Guards against changes that are lost because messages are decoded line by line: the lines of an indented message are
/// not valid JSON by themselves.
#[rstest]
#[case::on_one_line(|text: String| text)]
#[case::indented(|text: String| text)]
#[case::indented_by_tabs(|text: String| text.replace("  ", "\t"))]
#[case::without_indentation(|text: String| text.replace("  ", ""))]
#[case::with_carriage_returns(|text: String| text.replace('\n', "\r\n"))]
fn messages_may_span_several_lines(
    #[case] format_message: fn(String) -> String,
    #[values(false, true)] indented: bool,
    #[values("", "\n", "\n\n")] keepalives: &str,
) {
    let message = |seq| {
        let text = format!(r#"{{"seq":{seq},"whole":false,"hosts":{HOSTS}}}"#);
        let value: serde_json::Value = serde_json::from_str(&text).unwrap();
        format_message(if indented {
            format!("{value:#}\n{keepalives}")
        } else {
            format!("{value}\n{keepalives}")
        })
    };
    let text: String = (1..4).map(message).collect();
    for piece_size in 1..=text.len() {
        assert_eq!(
            versions(&text, piece_size),
            [Some(1), Some(2), Some(3)],
            "in pieces of {piece_size}"
        );
    }
}

/// Guards against a message that is applied in part, and against a truncated message that consumes those after it.
#[rstest]
#[case::truncated_in_a_string("{\"seq\":1,\"hosts\":[{\"host\":\"a\n{\"seq\":2}\n", &[None, Some(2)])]
#[case::truncated_before_an_empty_line("{\"seq\":1,\"hosts\":[{\"host\":\"a\"},\n\n{\"seq\":2}\n", &[None, Some(2)])]
#[case::truncated_before_a_message("{\"seq\":1,\"hosts\":[{\"host\":\"a\"},\n{\"seq\":2}\n", &[None, Some(2)])]
#[case::truncated_before_an_indented_message(
    "{\"seq\":1,\"hosts\":[\n{\n  \"seq\":2,\n  \"hosts\":[\n  {\"host\":\"a\",\"health\":\"ready\"}\n  ]\n}\n",
    &[None, Some(2)]
)]
#[case::only_the_end_of_a_message("\"a\"}]}\n{\"seq\":2}\n", &[None, Some(2)])]
#[case::mismatched_brackets("{\"seq\":1,\"hosts\":[}\n{\"seq\":2}\n", &[None, Some(2)])]
#[case::no_json("what?\n{\"seq\":2}\n", &[None, Some(2)])]
#[case::another_object("{\"error\":\"later\"}\n{\"seq\":2}\n", &[None, Some(2)])]
#[case::invalid_health("{\"seq\":1,\"hosts\":[{\"host\":\"a\",\"health\":\"well\"}]}\n{\"seq\":2}\n", &[None, Some(2)])]
#[case::invalid_share(
    "{\"seq\":1,\"hosts\":[{\"host\":\"a\",\"health\":\"ready\",\"share\":1e999}]}\n{\"seq\":2}\n",
    &[None, Some(2)]
)]
#[case::no_host("{\"seq\":1,\"hosts\":[{\"health\":\"ready\"}]}\n{\"seq\":2}\n", &[None, Some(2)])]
#[case::invalid_address(
    "{\"seq\":1,\"hosts\":[{\"host\":\"a\",\"health\":\"ready\",\"dial\":\"here\"}]}\n{\"seq\":2}\n",
    &[None, Some(2)]
)]
#[case::invalid_version("{\"seq\":-1}\n{\"seq\":2}\n", &[None, Some(2)])]
#[case::incomplete("{\"seq\":1}\n{\"seq\":2,\"hosts\":[", &[Some(1)])]
fn an_invalid_message_does_not_affect_those_after_it(
    #[case] text: &str,
    #[case] expected: &[Option<u64>],
) {
    for piece_size in 1..=text.len() {
        assert_eq!(
            versions(text, piece_size),
            expected,
            "in pieces of {piece_size}"
        );
    }
}

/// Guards against memory that grows with bytes between messages, or with discarded messages.
#[test]
fn only_an_incomplete_message_is_buffered() {
    let mut decoder = MessageDecoder::default();
    for text in [
        "\n\n  \n",
        "what? ",
        "what?\n",
        "{\"seq\":1}\n",
        "{\"seq\":1,\n\n",
    ] {
        decoder.push(text.as_bytes());
        assert_eq!(decoder.buffered_len(), 0, "{text:?}");
    }
    decoder.push(b"\n{\"seq\":");
    assert_eq!(decoder.buffered_len(), 7);
}

// ---------------------------------------------------------------- the watcher, on a paused clock

/// A call as discovery receives it.
struct Call {
    target: String,
    stream: DuplexStream,
}

impl Call {
    async fn send_head(&mut self) {
        let head = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n";
        self.stream.write_all(head.as_bytes()).await.unwrap();
    }

    async fn send_chunk(&mut self, text: &str) {
        self.stream
            .write_all(format!("{:x}\r\n{text}\r\n", text.len()).as_bytes())
            .await
            .unwrap();
    }

    async fn send_response(&mut self, text: &str) {
        let response = format!(
            "HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n{text}",
            text.len()
        );
        self.stream.write_all(response.as_bytes()).await.unwrap();
    }
}

/// A watcher that holds version 1 with one host, and the server side of its connections to discovery.
struct Fixture {
    directory: Rc<Directory>,
    dispatcher_events: UnboundedReceiver<DispatcherEvent>,
    server_streams: UnboundedReceiver<DuplexStream>,
    /// Number of further connects that never complete.
    connects_to_lose: Rc<Cell<u32>>,
    subscribe_request: Rc<Notify>,
    fetch_list: Rc<Notify>,
    counters: Rc<Counters>,
    address: watch::Sender<Option<SocketAddr>>,
}

impl Fixture {
    fn start(is_shared_service: bool) -> Fixture {
        let (dispatcher, dispatcher_events) = DispatcherHandle::channel(Clock::start());
        let (directory, counters) = (Rc::<Directory>::default(), Rc::<Counters>::default());
        let (subscribe_request, fetch_list) = (Rc::<Notify>::default(), Rc::<Notify>::default());
        let watcher = DiscoveryWatcher {
            directory: directory.clone(),
            dispatcher,
            close_idle: Box::new(|_| {}),
            subscribe_request: is_shared_service.then(|| subscribe_request.clone()),
            fetch_list: fetch_list.clone(),
            counters: counters.clone(),
            adjust_endpoints: None,
            host_starts: Default::default(),
        };
        watcher.apply(
            listing(&host_message(1, true, "ready")),
            EndpointUpdate::Restored,
        );
        let (address, address_updates) = watch::channel(Some(([127, 0, 0, 1], 1).into()));
        let (connects_to_lose, (new_stream, server_streams)) =
            (Rc::new(Cell::new(0)), unbounded_channel());
        let connects_left = connects_to_lose.clone();
        let dial = move |_| -> LocalBoxFuture<std::io::Result<Box<dyn ByteStream>>> {
            if connects_left.get() > 0 {
                connects_left.set(connects_left.get() - 1);
                return Box::pin(std::future::pending());
            }
            let (client_stream, server_stream) = tokio::io::duplex(64 * 1024);
            let _ = new_stream.send(server_stream);
            Box::pin(async { Ok(Box::new(client_stream) as Box<dyn ByteStream>) })
        };
        tokio::task::spawn_local(watcher.run_with(Rc::new(dial), address_updates));
        Fixture {
            directory,
            dispatcher_events,
            server_streams,
            connects_to_lose,
            subscribe_request,
            fetch_list,
            counters,
            address,
        }
    }

    async fn call(&mut self) -> Call {
        let mut stream = self.server_streams.recv().await.unwrap();
        let mut head = Vec::new();
        while !head.ends_with(b"\r\n\r\n") {
            head.push(stream.read_u8().await.unwrap());
        }
        let target = String::from_utf8(head)
            .unwrap()
            .split(' ')
            .nth(1)
            .unwrap()
            .to_owned();
        Call { target, stream }
    }

    /// The kind of the next update that the dispatcher receives.
    async fn next_update(&mut self) -> EndpointUpdate {
        match self.dispatcher_events.recv().await.unwrap() {
            DispatcherEvent::EndpointsUpdated { update: kind, .. } => kind,
            _ => panic!("expected EndpointsUpdated as the next dispatcher event"),
        }
    }

    /// Waits for an update of this kind, skipping others.
    async fn wait_for_update(&mut self, expected: EndpointUpdate) {
        while self.next_update().await != expected {}
    }

    fn is_ready(&self) -> bool {
        self.directory.is_ready(&WorkerId("h0".into()))
    }
}

fn host_message(seq: u64, is_full: bool, health: &str) -> String {
    format!(
        r#"{{"seq":{seq},"whole":{is_full},"hosts":[{{"host":"h0","dial":"127.0.0.1:1","health":"{health}"}}]}}"#
    )
}

fn message_line(seq: u64, is_full: bool, health: &str) -> String {
    host_message(seq, is_full, health) + "\n"
}

/// Runs a scenario on the thread that also runs the watcher.
async fn run_local<F: Future<Output = ()>>(scenario: F) {
    LocalSet::new().run_until(scenario).await;
}

/// Guards against sends to a draining host more than 6 s after a silent watch has missed the drain, even if the first
/// calls after the watch are lost, too.
#[rstest]
#[tokio::test(start_paused = true)]
async fn changes_missed_by_a_silent_watch_are_applied_in_time(
    #[values(0, 1, 2)] lost_calls: u32,
    #[values(false, true)] connects_succeed: bool,
) {
    run_local(async {
        let mut fixture = Fixture::start(false);
        let mut silent = fixture.call().await;
        silent.send_head().await;
        silent.send_chunk("\n").await;
        let started_at = Instant::now();
        let mut unanswered = Vec::new();
        if connects_succeed {
            for _ in 0..lost_calls {
                unanswered.push(fixture.call().await);
            }
        } else {
            fixture.connects_to_lose.set(lost_calls);
        }
        let mut reopened = fixture.call().await;
        assert_eq!(reopened.target, "/v1/servers?watch=1&after=1");
        reopened.send_head().await;
        reopened
            .send_chunk(&message_line(2, false, "draining"))
            .await;
        fixture.wait_for_update(EndpointUpdate::Incremental).await;
        assert!(
            !fixture.is_ready() && started_at.elapsed() < UPDATE_DEADLINE,
            "applied after {:?}",
            started_at.elapsed()
        );
    })
    .await;
}

/// Guards against closing a healthy watch whose empty lines are late.
#[tokio::test(start_paused = true)]
async fn a_watch_with_late_empty_lines_is_kept() {
    run_local(async {
        let mut fixture = Fixture::start(false);
        let mut watch = fixture.call().await;
        watch.send_head().await;
        for _ in 0..20 {
            sleep(KEEPALIVE_INTERVAL + KEEPALIVE_INTERVAL / 4).await;
            watch.send_chunk("\n").await;
        }
        assert!(fixture.server_streams.try_recv().is_err());
    })
    .await;
}

/// Guards against a watch that is taken for a live one since bytes of a line come that never ends.
#[tokio::test(start_paused = true)]
async fn a_watch_that_trickles_half_a_line_is_opened_again() {
    run_local(async {
        let mut fixture = Fixture::start(false);
        let mut watch = fixture.call().await;
        watch.send_head().await;
        watch.send_chunk("\n").await;
        let trickle = async {
            loop {
                sleep(KEEPALIVE_INTERVAL / 4).await;
                watch.send_chunk("{").await;
            }
        };
        tokio::select! {
            () = trickle => {}
            reopened = fixture.call() => assert_eq!(reopened.target, "/v1/servers?watch=1&after=1"),
            () = sleep(UPDATE_DEADLINE) => panic!("the watch was kept"),
        }
    })
    .await;
}

/// Guards against a lost call or a silent watch that is awaited for so long that the next call cannot deliver the
/// missed changes in time, however long the routing module delays that call.
#[rstest]
#[case::a_call(false)]
#[case::a_watch(true)]
#[tokio::test(start_paused = true)]
async fn with_a_shared_service_a_loss_leaves_time_for_another_call(#[case] head_sent: bool) {
    run_local(async {
        let mut fixture = Fixture::start(true);
        fixture.subscribe_request.notify_one();
        let mut lost_call = fixture.call().await;
        if head_sent {
            lost_call.send_head().await;
            lost_call.send_chunk("\n").await;
        }
        let started_at = Instant::now();
        fixture.wait_for_update(EndpointUpdate::Failed).await;
        sleep(MAX_MODULE_DELAY).await;
        fixture.subscribe_request.notify_one();
        let mut next = fixture.call().await;
        sleep(LOCAL_CALL_TIMEOUT / 2).await;
        next.send_head().await;
        next.send_chunk(&message_line(2, false, "draining")).await;
        fixture.wait_for_update(EndpointUpdate::Incremental).await;
        assert!(
            !fixture.is_ready() && started_at.elapsed() < UPDATE_DEADLINE,
            "applied after {:?}",
            started_at.elapsed()
        );
    })
    .await;
}

/// Guards against wasted calls: a discovery service that all routers share queues a call for 2 s before it rejects
/// others.
#[tokio::test(start_paused = true)]
async fn with_a_shared_service_a_queued_call_is_awaited() {
    run_local(async {
        let mut fixture = Fixture::start(true);
        fixture.subscribe_request.notify_one();
        let mut call = fixture.call().await;
        sleep(Duration::from_millis(2_500)).await;
        call.send_head().await;
        call.send_chunk(&message_line(2, false, "draining")).await;
        fixture.wait_for_update(EndpointUpdate::Incremental).await;
        assert_eq!(fixture.counters.watches_lost.get(), 0);
    })
    .await;
}

/// Guards against an incomplete line at the end of a watch that is applied, or whose change is never delivered again.
#[rstest]
#[case::connection_lost(false)]
#[case::proper_end(true)]
#[tokio::test(start_paused = true)]
async fn an_incomplete_line_at_the_end_is_ignored_and_delivered_again(#[case] is_proper_end: bool) {
    run_local(async {
        let mut fixture = Fixture::start(false);
        let mut watch = fixture.call().await;
        watch.send_head().await;
        watch
            .send_chunk(&host_message(2, false, "draining").replace("}]}", "}"))
            .await;
        if is_proper_end {
            watch.stream.write_all(b"0\r\n\r\n").await.unwrap();
        }
        drop(watch);
        let mut reopened = fixture.call().await;
        assert!(reopened.target.ends_with("after=1") && fixture.is_ready());
        reopened.send_head().await;
        reopened
            .send_chunk(&message_line(2, false, "draining"))
            .await;
        fixture.wait_for_update(EndpointUpdate::Incremental).await;
        assert!(!fixture.is_ready());
    })
    .await;
}

/// Guards against changes that are lost between the full list of a new agent and its watch if opening the watch fails
/// once, and against a new address (SIGHUP) that takes effect only after the old agent has answered.
#[rstest]
#[tokio::test(start_paused = true)]
async fn a_new_address_during_a_call_is_called_at_once_and_watched_from_its_own_version(
    #[values(false, true)] is_shared_service: bool,
) {
    run_local(async {
        let mut fixture = Fixture::start(is_shared_service);
        fixture.subscribe_request.notify_one();
        let unanswered = fixture.call().await;
        let started_at = Instant::now();
        fixture
            .address
            .send(Some(([127, 0, 0, 1], 2).into()))
            .unwrap();
        let mut list = fixture.call().await;
        assert_eq!(
            (list.target.as_str(), started_at.elapsed()),
            ("/v1/servers", Duration::ZERO)
        );
        list.send_response(&host_message(40, true, "ready")).await;
        fixture.wait_for_update(EndpointUpdate::Full).await;
        drop(fixture.call().await);
        fixture.wait_for_update(EndpointUpdate::Failed).await;
        fixture.subscribe_request.notify_one();
        let mut watch = fixture.call().await;
        assert_eq!(watch.target, "/v1/servers?watch=1&after=40");
        watch.send_head().await;
        watch.send_chunk(&message_line(41, false, "draining")).await;
        fixture.wait_for_update(EndpointUpdate::Incremental).await;
        assert!(!fixture.is_ready());
        drop(unanswered);
    })
    .await;
}

/// Guards against removing all hosts because an agent that has just started knows none yet, and against losing the
/// messages after an invalid one.
#[rstest]
#[case::an_empty_list(r#"{"seq":9,"whole":true,"hosts":[]}"#)]
#[case::an_unknown_health(r#"{"seq":9,"whole":true,"hosts":[{"host":"h1","health":"well"}]}"#)]
#[case::incomplete_message(r#"{"seq":9,"whole":true,"hosts":["#)]
#[tokio::test(start_paused = true)]
async fn an_invalid_message_leaves_the_list_unchanged(#[case] text: &str) {
    run_local(async {
        let mut fixture = Fixture::start(false);
        let mut watch = fixture.call().await;
        watch.send_head().await;
        watch.send_chunk(&format!("{text}\n\n")).await;
        sleep(KEEPALIVE_INTERVAL).await;
        assert!(fixture.is_ready() && fixture.directory.seq.get() == 1);
        watch.send_chunk(&message_line(10, false, "draining")).await;
        fixture.wait_for_update(EndpointUpdate::Incremental).await;
        assert!(!fixture.is_ready() && fixture.counters.watches_lost.get() == 0);
    })
    .await;
}

/// Guards against a drain that is undone by an older full list, which was in transit while the watch delivered the
/// drain. A lower version alone is no reason to reject a list, because a restarted agent may start its numbering again.
#[rstest]
#[case::older_than_the_watch(true, "ready", false)]
#[case::numbering_restarted(false, "draining", false)]
#[case::empty(false, "", true)]
#[tokio::test(start_paused = true)]
async fn a_full_list_fetched_during_the_watch(
    #[case] newer_on_watch: bool,
    #[case] health: &str,
    #[case] expected_ready: bool,
) {
    run_local(async {
        let mut fixture = Fixture::start(false);
        let mut watch = fixture.call().await;
        watch.send_head().await;
        watch.send_chunk(&message_line(7, false, "ready")).await;
        fixture.wait_for_update(EndpointUpdate::Incremental).await;
        fixture.fetch_list.notify_one();
        let mut list = fixture.call().await;
        if newer_on_watch {
            watch.send_chunk(&message_line(8, false, "draining")).await;
            fixture.wait_for_update(EndpointUpdate::Incremental).await;
        }
        match health {
            "" => {
                list.send_response(r#"{"seq":9,"whole":true,"hosts":[]}"#)
                    .await;
            }
            health => list.send_response(&host_message(3, true, health)).await,
        }
        sleep(LOCAL_CALL_TIMEOUT).await;
        assert_eq!(
            (fixture.is_ready(), fixture.counters.watches_lost.get()),
            (expected_ready, 0)
        );
    })
    .await;
}

/// Guards against unbounded memory for a list that never ends.
#[tokio::test(start_paused = true)]
async fn reading_a_full_list_stops_at_the_size_limit() {
    run_local(async {
        let mut fixture = Fixture::start(false);
        let unanswered = fixture.call().await;
        fixture
            .address
            .send(Some(([127, 0, 0, 1], 2).into()))
            .unwrap();
        let mut list = fixture.call().await;
        assert_eq!(list.target, "/v1/servers");
        let started_at = Instant::now();
        list.stream
            .write_all(b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n")
            .await
            .unwrap();
        let mut written = 0;
        while written < 2 * MAX_MESSAGE_BYTES
            && list
                .stream
                .write_all(format!("1000\r\n{}\r\n", " ".repeat(4096)).as_bytes())
                .await
                .is_ok()
        {
            written += 4096;
        }
        assert!(written < 2 * MAX_MESSAGE_BYTES && started_at.elapsed() < LOCAL_CALL_TIMEOUT);
        fixture.wait_for_update(EndpointUpdate::Failed).await;
        assert!(fixture.is_ready());
        drop(unanswered);
    })
    .await;
}
