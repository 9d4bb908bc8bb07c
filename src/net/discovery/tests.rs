use super::*;
use crate::dispatch::Clock;
use rstest::rstest;
use tokio::io::{AsyncReadExt, AsyncWriteExt, DuplexStream};
use tokio::sync::mpsc::{UnboundedReceiver, unbounded_channel};
use tokio::task::LocalSet;
use tokio::time::sleep;

/// The longest that the module waits before a call, and until its next look at the clock.
const MODULE_WAITS: Duration = Duration::from_millis(2_100);

fn listing(text: &str) -> Listing {
    serde_json::from_str::<ListMessage>(text).unwrap().into()
}

/// Guards against a list that grows with every machine that is replaced under a new id.
#[test]
fn hosts_that_are_gone_are_forgotten() {
    let directory = Directory::default();
    let listing = |whole: bool, host: String, health: &str| {
        listing(&format!(
            r#"{{"seq":1,"whole":{whole},"hosts":[{{"host":"{host}","dial":"127.0.0.1:1","health":"{health}"}}]}}"#
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

// ---------------------------------------------------------------- messages

/// The versions of the messages in a text that comes in pieces of a size; `None` where one can't be read.
fn versions(text: &str, size: usize) -> Vec<Option<u64>> {
    let (mut messages, mut all) = (Messages::default(), Vec::new());
    for piece in text.as_bytes().chunks(size) {
        messages.push(piece);
        all.extend(std::iter::from_fn(|| messages.next()).map(|m| m.ok().map(|m| m.seq)));
    }
    all
}

const HOSTS: &str =
    r#"[{"host":"a","dial":"127.0.0.1:1","health":"ready"},{"host":"}{\"[\\","health":"gone"}]"#;

/// Guards against changes that are never heard of: of an indented message each line by itself can't be read.
#[rstest]
#[case::in_a_line(|text: String| text)]
#[case::indented(|text: String| text)]
#[case::by_tabs(|text: String| text.replace("  ", "\t"))]
#[case::by_nothing(|text: String| text.replace("  ", ""))]
#[case::with_carriage_returns(|text: String| text.replace('\n', "\r\n"))]
fn messages_may_come_over_several_lines(
    #[case] print: fn(String) -> String,
    #[values(false, true)] indented: bool,
    #[values("", "\n", "\n\n")] beats: &str,
) {
    let message = |seq| {
        let text = format!(r#"{{"seq":{seq},"whole":false,"hosts":{HOSTS}}}"#);
        let value: serde_json::Value = serde_json::from_str(&text).unwrap();
        print(if indented {
            format!("{value:#}\n{beats}")
        } else {
            format!("{value}\n{beats}")
        })
    };
    let text: String = (1..4).map(message).collect();
    for size in 1..=text.len() {
        assert_eq!(
            versions(&text, size),
            [Some(1), Some(2), Some(3)],
            "in pieces of {size}"
        );
    }
}

/// Guards against a message that is taken by halves, and against one that takes those behind it along.
#[rstest]
#[case::cut_off_in_a_string("{\"seq\":1,\"hosts\":[{\"host\":\"a\n{\"seq\":2}\n", &[None, Some(2)])]
#[case::cut_off_before_an_empty_line("{\"seq\":1,\"hosts\":[{\"host\":\"a\"},\n\n{\"seq\":2}\n", &[None, Some(2)])]
#[case::cut_off_before_a_message("{\"seq\":1,\"hosts\":[{\"host\":\"a\"},\n{\"seq\":2}\n", &[None, Some(2)])]
#[case::cut_off_before_an_indented_one(
    "{\"seq\":1,\"hosts\":[\n{\n  \"seq\":2,\n  \"hosts\":[\n  {\"host\":\"a\",\"health\":\"ready\"}\n  ]\n}\n",
    &[None, Some(2)]
)]
#[case::the_end_of_one("\"a\"}]}\n{\"seq\":2}\n", &[None, Some(2)])]
#[case::brackets_that_do_not_match("{\"seq\":1,\"hosts\":[}\n{\"seq\":2}\n", &[None, Some(2)])]
#[case::noise("what?\n{\"seq\":2}\n", &[None, Some(2)])]
#[case::another_object("{\"error\":\"later\"}\n{\"seq\":2}\n", &[None, Some(2)])]
#[case::health("{\"seq\":1,\"hosts\":[{\"host\":\"a\",\"health\":\"well\"}]}\n{\"seq\":2}\n", &[None, Some(2)])]
#[case::share(
    "{\"seq\":1,\"hosts\":[{\"host\":\"a\",\"health\":\"ready\",\"share\":1e999}]}\n{\"seq\":2}\n",
    &[None, Some(2)]
)]
#[case::no_host("{\"seq\":1,\"hosts\":[{\"health\":\"ready\"}]}\n{\"seq\":2}\n", &[None, Some(2)])]
#[case::address(
    "{\"seq\":1,\"hosts\":[{\"host\":\"a\",\"health\":\"ready\",\"dial\":\"here\"}]}\n{\"seq\":2}\n",
    &[None, Some(2)]
)]
#[case::version("{\"seq\":-1}\n{\"seq\":2}\n", &[None, Some(2)])]
#[case::not_yet_whole("{\"seq\":1}\n{\"seq\":2,\"hosts\":[", &[Some(1)])]
fn a_message_that_can_t_be_read_costs_itself_alone(
    #[case] text: &str,
    #[case] wanted: &[Option<u64>],
) {
    for size in 1..=text.len() {
        assert_eq!(versions(text, size), wanted, "in pieces of {size}");
    }
}

/// Guards against memory that grows with what is between messages, or with a message without end.
#[test]
fn only_a_message_that_is_not_whole_is_held() {
    let mut messages = Messages::default();
    for text in [
        "\n\n  \n",
        "what? ",
        "what?\n",
        "{\"seq\":1}\n",
        "{\"seq\":1,\n\n",
    ] {
        messages.push(text.as_bytes());
        assert_eq!(messages.held(), 0, "{text:?}");
    }
    messages.push(b"\n{\"seq\":");
    assert_eq!(messages.held(), 7);
}

// ---------------------------------------------------------------- following, on a paused clock

/// A call as it reaches discovery.
struct Call {
    target: String,
    wire: DuplexStream,
}

impl Call {
    async fn begin(&mut self) {
        let head = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n";
        self.wire.write_all(head.as_bytes()).await.unwrap();
    }

    async fn chunk(&mut self, text: &str) {
        self.wire
            .write_all(format!("{:x}\r\n{text}\r\n", text.len()).as_bytes())
            .await
            .unwrap();
    }

    async fn answer(&mut self, text: &str) {
        let answer = format!(
            "HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n{text}",
            text.len()
        );
        self.wire.write_all(answer.as_bytes()).await.unwrap();
    }
}

/// A watcher that holds version 1 with one host, and the discovery that it follows.
struct Rig {
    directory: Rc<Directory>,
    told: UnboundedReceiver<DispatcherEvent>,
    wires: UnboundedReceiver<DuplexStream>,
    /// Connections that will never come up.
    lost: Rc<Cell<u32>>,
    ask: Rc<Notify>,
    fetch_list: Rc<Notify>,
    counters: Rc<Counters>,
    address: watch::Sender<Option<SocketAddr>>,
}

impl Rig {
    fn start(on_request: bool) -> Rig {
        let (dispatcher, told) = DispatcherHandle::channel(Clock::start());
        let (directory, counters) = (Rc::<Directory>::default(), Rc::<Counters>::default());
        let (ask, fetch_list) = (Rc::<Notify>::default(), Rc::<Notify>::default());
        let watcher = DiscoveryWatcher {
            directory: directory.clone(),
            dispatcher,
            close_idle: Box::new(|_| {}),
            subscribe_request: on_request.then(|| ask.clone()),
            fetch_list: fetch_list.clone(),
            counters: counters.clone(),
            adjust_endpoints: None,
            host_starts: Default::default(),
        };
        watcher.apply(listing(&host(1, true, "ready")), EndpointUpdate::Restored);
        let (address, address_told) = watch::channel(Some(([127, 0, 0, 1], 1).into()));
        let (lost, (up, wires)) = (Rc::new(Cell::new(0)), unbounded_channel());
        let losing = lost.clone();
        let dial = move |_| -> LocalBoxFuture<std::io::Result<Box<dyn Stream>>> {
            if losing.get() > 0 {
                losing.set(losing.get() - 1);
                return Box::pin(std::future::pending());
            }
            let (ours, theirs) = tokio::io::duplex(64 * 1024);
            let _ = up.send(theirs);
            Box::pin(async { Ok(Box::new(ours) as Box<dyn Stream>) })
        };
        tokio::task::spawn_local(watcher.run_with(Rc::new(dial), address_told));
        Rig {
            directory,
            told,
            wires,
            lost,
            ask,
            fetch_list,
            counters,
            address,
        }
    }

    async fn call(&mut self) -> Call {
        let mut wire = self.wires.recv().await.unwrap();
        let mut head = Vec::new();
        while !head.ends_with(b"\r\n\r\n") {
            head.push(wire.read_u8().await.unwrap());
        }
        let target = String::from_utf8(head)
            .unwrap()
            .split(' ')
            .nth(1)
            .unwrap()
            .to_owned();
        Call { target, wire }
    }

    /// What the dispatcher is told next.
    async fn told(&mut self) -> EndpointUpdate {
        match self.told.recv().await.unwrap() {
            DispatcherEvent::EndpointsUpdated { update: kind, .. } => kind,
            _ => panic!("only lists are told"),
        }
    }

    /// Waits until the dispatcher is told so, whatever comes before.
    async fn until(&mut self, wanted: EndpointUpdate) {
        while self.told().await != wanted {}
    }

    fn is_ready(&self) -> bool {
        self.directory.is_ready(&WorkerId("h0".into()))
    }
}

fn host(seq: u64, whole: bool, health: &str) -> String {
    format!(
        r#"{{"seq":{seq},"whole":{whole},"hosts":[{{"host":"h0","dial":"127.0.0.1:1","health":"{health}"}}]}}"#
    )
}

fn line(seq: u64, whole: bool, health: &str) -> String {
    host(seq, whole, health) + "\n"
}

/// Plays a story beside the watcher, in one thread.
async fn play<F: Future<Output = ()>>(story: F) {
    LocalSet::new().run_until(story).await;
}

/// Guards against sends to a host that drains 6 s after its drain was missed by a watch that had fallen silent, though
/// the first calls after it are lost, too.
#[rstest]
#[tokio::test(start_paused = true)]
async fn what_a_silent_watch_missed_is_told_in_time(
    #[values(0, 1, 2)] lost: u32,
    #[values(false, true)] come_up: bool,
) {
    play(async {
        let mut rig = Rig::start(false);
        let mut silent = rig.call().await;
        silent.begin().await;
        silent.chunk("\n").await;
        let since = Instant::now();
        let mut unanswered = Vec::new();
        if come_up {
            for _ in 0..lost {
                unanswered.push(rig.call().await);
            }
        } else {
            rig.lost.set(lost);
        }
        let mut again = rig.call().await;
        assert_eq!(again.target, "/v1/servers?watch=1&after=1");
        again.begin().await;
        again.chunk(&line(2, false, "draining")).await;
        rig.until(EndpointUpdate::Incremental).await;
        assert!(
            !rig.is_ready() && since.elapsed() < TOLD,
            "told after {:?}",
            since.elapsed()
        );
    })
    .await;
}

/// Guards against watches that are given up while they work: an empty line may come late.
#[tokio::test(start_paused = true)]
async fn a_watch_whose_empty_lines_come_late_is_kept() {
    play(async {
        let mut rig = Rig::start(false);
        let mut watch = rig.call().await;
        watch.begin().await;
        for _ in 0..20 {
            sleep(BEAT + BEAT / 4).await;
            watch.chunk("\n").await;
        }
        assert!(rig.wires.try_recv().is_err());
    })
    .await;
}

/// Guards against a call that is waited for so long, or a watch that is silent for so long, that the next call can't
/// bring in time what was missed, wherever the module's wait before that one ends.
#[rstest]
#[case::a_call(false)]
#[case::a_watch(true)]
#[tokio::test(start_paused = true)]
async fn where_it_has_to_be_asked_a_loss_leaves_time_for_another_call(#[case] begun: bool) {
    play(async {
        let mut rig = Rig::start(true);
        rig.ask.notify_one();
        let mut lost = rig.call().await;
        if begun {
            lost.begin().await;
            lost.chunk("\n").await;
        }
        let since = Instant::now();
        rig.until(EndpointUpdate::Failed).await;
        sleep(MODULE_WAITS).await;
        rig.ask.notify_one();
        let mut next = rig.call().await;
        sleep(ANSWER / 2).await;
        next.begin().await;
        next.chunk(&line(2, false, "draining")).await;
        rig.until(EndpointUpdate::Incremental).await;
        assert!(
            !rig.is_ready() && since.elapsed() < TOLD,
            "told after {:?}",
            since.elapsed()
        );
    })
    .await;
}

/// Guards against calls in vain: discovery that is asked by all lets a call wait for 2 s before it turns others away.
#[tokio::test(start_paused = true)]
async fn where_it_has_to_be_asked_a_call_waits_its_turn() {
    play(async {
        let mut rig = Rig::start(true);
        rig.ask.notify_one();
        let mut call = rig.call().await;
        sleep(Duration::from_millis(2_500)).await;
        call.begin().await;
        call.chunk(&line(2, false, "draining")).await;
        rig.until(EndpointUpdate::Incremental).await;
        assert_eq!(rig.counters.watches_lost.get(), 0);
    })
    .await;
}

/// Guards against half a line that is taken, or never comes again.
#[rstest]
#[case::cut(false)]
#[case::ended_in_order(true)]
#[tokio::test(start_paused = true)]
async fn half_a_line_at_a_close_is_not_taken_and_comes_again(#[case] in_order: bool) {
    play(async {
        let mut rig = Rig::start(false);
        let mut watch = rig.call().await;
        watch.begin().await;
        watch
            .chunk(&host(2, false, "draining").replace("}]}", "}"))
            .await;
        if in_order {
            watch.wire.write_all(b"0\r\n\r\n").await.unwrap();
        }
        drop(watch);
        let mut again = rig.call().await;
        assert!(again.target.ends_with("after=1") && rig.is_ready());
        again.begin().await;
        again.chunk(&line(2, false, "draining")).await;
        rig.until(EndpointUpdate::Incremental).await;
        assert!(!rig.is_ready());
    })
    .await;
}

/// Guards against a change between the whole list and a watch that did not come up after it, and against a SIGHUP
/// that waits for the old agent's answer.
#[rstest]
#[tokio::test(start_paused = true)]
async fn a_new_address_in_the_midst_of_a_call_is_asked_at_once_and_from_its_own_version(
    #[values(false, true)] on_request: bool,
) {
    play(async {
        let mut rig = Rig::start(on_request);
        rig.ask.notify_one();
        let unanswered = rig.call().await;
        let since = Instant::now();
        rig.address.send(Some(([127, 0, 0, 1], 2).into())).unwrap();
        let mut list = rig.call().await;
        assert_eq!(
            (list.target.as_str(), since.elapsed()),
            ("/v1/servers", Duration::ZERO)
        );
        list.answer(&host(40, true, "ready")).await;
        rig.until(EndpointUpdate::Full).await;
        drop(rig.call().await);
        rig.until(EndpointUpdate::Failed).await;
        rig.ask.notify_one();
        let mut watch = rig.call().await;
        assert_eq!(watch.target, "/v1/servers?watch=1&after=40");
        watch.begin().await;
        watch.chunk(&line(41, false, "draining")).await;
        rig.until(EndpointUpdate::Incremental).await;
        assert!(!rig.is_ready());
        drop(unanswered);
    })
    .await;
}

/// Guards against all hosts gone because an agent that has just started knows nobody yet, and against what follows
/// being lost with what can't be taken.
#[rstest]
#[case::an_empty_list(r#"{"seq":9,"whole":true,"hosts":[]}"#)]
#[case::an_unknown_word(r#"{"seq":9,"whole":true,"hosts":[{"host":"h1","health":"well"}]}"#)]
#[case::half_a_message(r#"{"seq":9,"whole":true,"hosts":["#)]
#[tokio::test(start_paused = true)]
async fn the_list_stands_where_a_message_can_t_be_taken(#[case] text: &str) {
    play(async {
        let mut rig = Rig::start(false);
        let mut watch = rig.call().await;
        watch.begin().await;
        watch.chunk(&format!("{text}\n\n")).await;
        sleep(BEAT).await;
        assert!(rig.is_ready() && rig.directory.seq.get() == 1);
        watch.chunk(&line(10, false, "draining")).await;
        rig.until(EndpointUpdate::Incremental).await;
        assert!(!rig.is_ready() && rig.counters.watches_lost.get() == 0);
    })
    .await;
}

/// Guards against a drain that is undone by an older list, which was on its way here while the watch told the drain;
/// an agent that has started again may count anew all the same.
#[rstest]
#[case::older_than_the_watch(true, "ready", false)]
#[case::counted_anew(false, "draining", false)]
#[case::empty(false, "", true)]
#[tokio::test(start_paused = true)]
async fn a_whole_list_beside_the_watch(
    #[case] overtaken: bool,
    #[case] health: &str,
    #[case] ready: bool,
) {
    play(async {
        let mut rig = Rig::start(false);
        let mut watch = rig.call().await;
        watch.begin().await;
        watch.chunk(&line(7, false, "ready")).await;
        rig.until(EndpointUpdate::Incremental).await;
        rig.fetch_list.notify_one();
        let mut list = rig.call().await;
        if overtaken {
            watch.chunk(&line(8, false, "draining")).await;
            rig.until(EndpointUpdate::Incremental).await;
        }
        match health {
            "" => list.answer(r#"{"seq":9,"whole":true,"hosts":[]}"#).await,
            health => list.answer(&host(3, true, health)).await,
        }
        sleep(ANSWER).await;
        assert_eq!(
            (rig.is_ready(), rig.counters.watches_lost.get()),
            (ready, 0)
        );
    })
    .await;
}

/// Guards against memory: a list without end is not read on.
#[tokio::test(start_paused = true)]
async fn a_whole_list_without_end_is_given_up() {
    play(async {
        let mut rig = Rig::start(false);
        let unanswered = rig.call().await;
        rig.address.send(Some(([127, 0, 0, 1], 2).into())).unwrap();
        let mut list = rig.call().await;
        assert_eq!(list.target, "/v1/servers");
        let since = Instant::now();
        list.wire
            .write_all(b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n")
            .await
            .unwrap();
        let mut written = 0;
        while written < 2 * MOST_BYTES
            && list
                .wire
                .write_all(format!("1000\r\n{}\r\n", " ".repeat(4096)).as_bytes())
                .await
                .is_ok()
        {
            written += 4096;
        }
        assert!(written < 2 * MOST_BYTES && since.elapsed() < ANSWER);
        rig.until(EndpointUpdate::Failed).await;
        assert!(rig.is_ready());
        drop(unanswered);
    })
    .await;
}
