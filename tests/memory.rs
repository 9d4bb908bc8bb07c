//! The memory of the router process while hundreds of clients ask at once.

mod support;

use rstest::rstest;
use socket2::{Domain, Socket, Type};
use std::io::{BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Mutex, PoisonError, mpsc};
use std::thread;
use support::*;

/// `limits.memory_mb` of the router under test.
const MEMORY_MB: u64 = 96;
/// `limits.sockets` of the router under test.
const SOCKETS: usize = 640;
/// A third of the descriptors, which is the most that clients hold for requests.
const CLIENTS: usize = SOCKETS / 3;
/// The length of a prompt's text in bytes of JSON, within the limit of 256 KiB for a body.
const PROMPT_BYTES: usize = 180_000;

/// The number of messages in a batch.
const BATCH_MESSAGES: usize = 4;
/// How often the counters are read at most until the router has taken all requests.
const MAX_COUNTER_READS: usize = 3_000;

/// Held by each test while it runs: a burst has hundreds of threads.
static ONE_AT_A_TIME: Mutex<()> = Mutex::new(());

/// What became of the requests of a burst.
#[derive(Debug, Default, PartialEq, Eq)]
struct Outcomes {
    served: usize,
    /// Rejected with 503 and `Retry-After`.
    rejected: usize,
    lost: usize,
}

impl Outcomes {
    fn count(&mut self, answer: &Message) {
        let is_rejection = answer.status() == 503 && answer.header("retry-after").is_some();
        let counter = match answer.status() {
            200 if answer.whole && !has_failed_message(answer) => &mut self.served,
            _ if is_rejection && answer.whole => &mut self.rejected,
            _ => &mut self.lost,
        };
        *counter += 1;
    }
}

/// Whether a message in a JSON-RPC answer has another error than a rejection, which promises that a retry is harmless.
fn has_failed_message(answer: &Message) -> bool {
    let text = answer.text();
    let mut codes = text.split("\"error\":{\"code\":").skip(1);
    codes.any(|rest| !rest.starts_with("-32000,"))
}

/// A text with characters that are escaped in JSON, of `bytes` bytes in their escaped form.
fn escaped(bytes: usize) -> String {
    "\\u0436".repeat(bytes / 6)
}

fn call(name: &str, bytes: usize, more: &str) -> String {
    let text = escaped(bytes);
    format!(
        r#"{{"jsonrpc":"2.0","id":1,"method":"send","params":{{"request":"{name}","deadline_ms":8000,"prompt_len":100,"max_out":50,"messages":[{{"role":"user","content":"{text}"}}]{more}}}}}"#
    )
}

fn single(name: &str) -> String {
    rpc_request(&call(name, PROMPT_BYTES, ""))
}

fn batch(name: &str) -> String {
    let part = |number| {
        call(
            &format!("{name}-{number}"),
            PROMPT_BYTES / BATCH_MESSAGES,
            "",
        )
    };
    let parts: Vec<String> = (0..BATCH_MESSAGES).map(part).collect();
    rpc_request(&format!("[{}]", parts.join(",")))
}

fn resume(name: &str) -> String {
    let received = escaped(PROMPT_BYTES / 2);
    let more = format!(r#","resume":{{"calls":0,"text":"{received}"}}"#);
    rpc_request(&call(name, PROMPT_BYTES / 2, &more))
}

fn platform(name: &str) -> String {
    request(name, "send", &escaped(PROMPT_BYTES))
}

/// A reader that keeps all prompts until it is told to answer them.
fn holding_reader(is_open: mpsc::Receiver<()>) -> Peer {
    let is_open = Mutex::new(is_open);
    Peer::start(move |message, conn| {
        if message.method() == "POST" {
            // An error: the sender was dropped, so that all prompts are answered now.
            let _ = is_open.lock().unwrap().recv();
            conn.answer("202 Accepted", "", r#"{"cached_tokens":0}"#);
        } else {
            conn.answer("204 No Content", "", "");
        }
        true
    })
}

fn writer() -> Peer {
    Peer::start(|message, conn| {
        if message.method() == "POST" {
            conn.begin_stream();
            conn.delta("one");
            conn.end_stream();
        } else {
            conn.answer("204 No Content", "", "");
        }
        true
    })
}

/// A writer that begins each answer, and ends them when it is told to.
fn holding_writer(may_end: mpsc::Receiver<()>) -> Peer {
    let may_end = Mutex::new(may_end);
    Peer::start(move |message, conn| {
        if message.method() == "POST" {
            conn.begin_stream();
            conn.delta("one");
            let _ = may_end.lock().unwrap().recv();
            conn.end_stream();
        } else {
            conn.answer("204 No Content", "", "");
        }
        true
    })
}

fn reader() -> Peer {
    Peer::start(|message, conn| {
        if message.method() == "POST" {
            conn.answer("202 Accepted", "", r#"{"cached_tokens":0}"#);
        } else {
            conn.answer("204 No Content", "", "");
        }
        true
    })
}

fn router(reader: SocketAddr, writer: SocketAddr) -> Conductor {
    router_with_memory(reader, writer, MEMORY_MB)
}

fn router_with_memory(reader: SocketAddr, writer: SocketAddr, memory_mb: u64) -> Conductor {
    let limits = format!("limits = {{ sockets = {SOCKETS}, memory_mb = {memory_mb} }}");
    let tools = format!("---[tools]\ndial = \"{}\"\n", Peer::nobody());
    Conductor::start(&operator_file(&[reader], &[writer], &(limits + &tools)))
}

/// Sends one request of `messages` messages on each of `CLIENTS` connections. `all_taken` is dropped when the router has
/// received all of them, so that it holds them at once.
fn burst(
    router: &Conductor,
    request: fn(&str) -> String,
    messages: u64,
    all_taken: mpsc::Sender<()>,
) -> Outcomes {
    let waiting: Vec<_> = (0..CLIENTS)
        .map(|number| {
            let mut client = router.connect();
            let request = request(&format!("ask-{number}"));
            thread::spawn(move || {
                let _ = client.write_all(request.as_bytes());
                Message::read(&mut BufReader::new(client)).unwrap_or_default()
            })
        })
        .collect();
    let is_taken = |counters: &Counters| {
        let rejected = messages * counters.get("over_bound");
        counters.get("taken") + rejected >= messages * CLIENTS as u64
    };
    let all_are_taken = (0..MAX_COUNTER_READS).any(|_| is_taken(&router.counters()));
    drop(all_taken);
    let mut outcomes = Outcomes::default();
    for answer in waiting {
        outcomes.count(&answer.join().unwrap());
    }
    assert!(all_are_taken, "{outcomes:?}");
    outcomes
}

/// Guards against memory that requests hold and that no budget counts, by which a burst of sound requests took the
/// router over its memory limit.
#[rstest]
#[case::single(single, 1)]
#[case::batch(batch, BATCH_MESSAGES as u64)]
#[case::resume(resume, 1)]
#[case::platform_protocol(platform, 1)]
fn a_burst_stays_within_the_memory_limit(
    #[case] request: fn(&str) -> String,
    #[case] messages: u64,
) {
    let _turn = ONE_AT_A_TIME.lock().unwrap_or_else(PoisonError::into_inner);
    let (all_taken, is_open) = mpsc::channel();
    let (reader, writer) = (holding_reader(is_open), writer());
    let router = router(reader.address, writer.address);
    let outcomes = burst(&router, request, messages, all_taken);
    let peak_kb = router.peak_memory_kb();
    println!("peak {} MB, {outcomes:?}", peak_kb / 1024);
    assert_eq!(
        (outcomes.lost, outcomes.served + outcomes.rejected),
        (0, CLIENTS)
    );
    assert!(outcomes.served > 0, "{outcomes:?}");
    assert!(peak_kb <= MEMORY_MB * 1024, "{} MB", peak_kb / 1024);
    router.stop();
}

/// Sends one request on each of `count` connections, one after the other, and reads the heads of their answers.
fn open_streams(
    router: &Conductor,
    request: fn(&str) -> String,
    count: usize,
) -> (Vec<BufReader<TcpStream>>, Outcomes) {
    let mut outcomes = Outcomes::default();
    let mut open = Vec::new();
    for number in 0..count {
        let mut client = router.connect();
        let request = request(&format!("ask-{number}"));
        client.write_all(request.as_bytes()).unwrap();
        let mut reader = BufReader::new(client);
        let mut head = Message::read_head(&mut reader).unwrap_or_default();
        head.whole = true;
        outcomes.count(&head);
        open.push(reader);
    }
    (open, outcomes)
}

/// Guards against prompts that are kept in memory, counted or not, while their answers stream: clients with long answers
/// took the budget from others.
#[rstest]
#[case::single(single)]
#[case::platform_protocol(platform)]
fn open_streams_keep_no_prompts(#[case] request: fn(&str) -> String) {
    let _turn = ONE_AT_A_TIME.lock().unwrap_or_else(PoisonError::into_inner);
    let (end, may_end) = mpsc::channel();
    let (reader, writer) = (reader(), holding_writer(may_end));
    let router = router(reader.address, writer.address);
    let (open, outcomes) = open_streams(&router, request, CLIENTS);
    drop(end);
    let peak_kb = router.peak_memory_kb();
    println!("peak {} MB, {outcomes:?}", peak_kb / 1024);
    assert_eq!(outcomes.served, CLIENTS, "{outcomes:?}");
    assert!(peak_kb <= MEMORY_MB * 1024, "{} MB", peak_kb / 1024);
    drop(open);
}

/// `limits.memory_mb` where events are long: far less than the events of all streams.
const LONG_EVENTS_MEMORY_MB: u64 = 52;
/// The length of a long event, within the limit of 128 KiB.
const LONG_EVENT_BYTES: usize = 125_000;
/// Of this many answers, one is sound where the others are spoilt.
const SOUND_ANSWER_EVERY: usize = 5;
/// The number of long events in a response to a client that reads.
const LONG_EVENTS: usize = 4;
/// The number of clients that do not read, and of long events in a response to one: more than the sockets on its way hold.
const STALLED_CLIENTS: usize = 64;
const STALLED_LONG_EVENTS: usize = 48;
/// The receive buffer of a client that does not read.
const SMALL_RECEIVE_BUFFER_BYTES: usize = 4 * 1024;

fn short_single(name: &str) -> String {
    rpc_request(&call(name, 60, ""))
}

fn short_platform(name: &str) -> String {
    request(name, "send", "hello").replace("8000m", "60000m")
}

/// A writer whose answers begin a long event and leave it incomplete until the router gives them up; one in
/// [`SOUND_ANSWER_EVERY`] is sound, and ends when all answers have begun.
fn endless_writer(all_begun: mpsc::Receiver<()>) -> Peer {
    let (all_begun, count) = (Mutex::new(all_begun), AtomicUsize::new(0));
    Peer::start(move |message, conn| {
        if message.method() != "POST" {
            conn.answer("204 No Content", "", "");
            return true;
        }
        conn.begin_stream();
        conn.delta("one");
        if count.fetch_add(1, Ordering::Relaxed) % SOUND_ANSWER_EVERY == 0 {
            let _ = all_begun.lock().unwrap().recv();
            conn.end_stream();
            return true;
        }
        conn.chunk(&format!("data: {}", "x".repeat(LONG_EVENT_BYTES)));
        // Reads until the router closes the connection.
        let _ = conn.0.read_to_end(&mut Vec::new());
        false
    })
}

/// A writer whose answers are sound and have long events.
fn long_event_writer(events: usize) -> Peer {
    Peer::start(move |message, conn| {
        if message.method() != "POST" {
            conn.answer("204 No Content", "", "");
            return true;
        }
        conn.begin_stream();
        conn.delta("one");
        let is_sent = (0..events).all(|_| conn.delta(&"x".repeat(LONG_EVENT_BYTES)));
        if is_sent {
            conn.end_stream();
        }
        is_sent
    })
}

/// Reads the rest of each response on a thread of its own.
fn read_all(open: Vec<BufReader<TcpStream>>) -> Outcomes {
    let read = |client| thread::spawn(move || read_body(client));
    let reading: Vec<_> = open.into_iter().map(read).collect();
    let mut outcomes = Outcomes::default();
    for is_whole in reading {
        let is_whole = is_whole.join().unwrap();
        *(if is_whole {
            &mut outcomes.served
        } else {
            &mut outcomes.lost
        }) += 1;
    }
    outcomes
}

/// Reads a chunked body; returns whether it was whole.
fn read_body(mut client: BufReader<TcpStream>) -> bool {
    let mut message = Message::default();
    let chunked = ("transfer-encoding".into(), "chunked".into());
    message.headers.push(chunked);
    message.read_body(&mut client, |_| {});
    message.whole
}

/// Guards against spoilt events that never end: they took the router over its memory limit, and all requests with it.
#[rstest]
#[case::single(short_single)]
#[case::platform_protocol(short_platform)]
fn endless_events_stay_within_the_memory_limit(#[case] request: fn(&str) -> String) {
    let _turn = ONE_AT_A_TIME.lock().unwrap_or_else(PoisonError::into_inner);
    let (begun, all_begun) = mpsc::channel();
    let (reader, writer) = (reader(), endless_writer(all_begun));
    let router = router_with_memory(reader.address, writer.address, LONG_EVENTS_MEMORY_MB);
    let (open, outcomes) = open_streams(&router, request, CLIENTS);
    drop(begun);
    let ends = read_all(open);
    let peak_kb = router.peak_memory_kb();
    println!("peak {} MB, {outcomes:?}, {ends:?}", peak_kb / 1024);
    assert!(
        peak_kb <= LONG_EVENTS_MEMORY_MB * 1024,
        "{} MB",
        peak_kb / 1024
    );
    // With the budget empty, requests are rejected at admission; every sound answer that began is whole.
    assert_eq!(outcomes.lost, 0, "{outcomes:?}");
    let sound = outcomes.served.div_ceil(SOUND_ANSWER_EVERY);
    assert!(ends.served >= sound, "{sound} sound answers, {ends:?}");
    router.stop();
}

/// Guards against whole long events of sound hosts, which took the router over its memory limit as well. Streams wait for
/// memory in turn, and all of them are served.
#[rstest]
#[case::single(short_single)]
#[case::platform_protocol(short_platform)]
fn long_events_stay_within_the_memory_limit(#[case] request: fn(&str) -> String) {
    let _turn = ONE_AT_A_TIME.lock().unwrap_or_else(PoisonError::into_inner);
    let (reader, writer) = (reader(), long_event_writer(LONG_EVENTS));
    let router = router_with_memory(reader.address, writer.address, LONG_EVENTS_MEMORY_MB);
    let clients = (0..CLIENTS).map(|number| {
        let (mut client, request) = (router.connect(), request(&format!("ask-{number}")));
        thread::spawn(move || {
            client.write_all(request.as_bytes()).unwrap();
            Message::read(&mut BufReader::new(client)).unwrap_or_default()
        })
    });
    let clients: Vec<_> = clients.collect();
    let mut outcomes = Outcomes::default();
    for client in clients {
        outcomes.count(&client.join().unwrap());
    }
    let peak_kb = router.peak_memory_kb();
    println!("peak {} MB, {outcomes:?}", peak_kb / 1024);
    assert!(
        peak_kb <= LONG_EVENTS_MEMORY_MB * 1024,
        "{} MB",
        peak_kb / 1024
    );
    assert_eq!(outcomes.lost, 0, "{outcomes:?}");
    assert!(outcomes.served > 0, "{outcomes:?}");
    router.stop();
}

/// Guards against clients that do not read long events: what waits for them took the router over its memory limit, and was
/// kept for as long as they stayed. They are disconnected when others need the memory.
#[rstest]
#[case::single(short_single)]
#[case::platform_protocol(short_platform)]
fn clients_that_do_not_read_stay_within_the_memory_limit(#[case] request: fn(&str) -> String) {
    let _turn = ONE_AT_A_TIME.lock().unwrap_or_else(PoisonError::into_inner);
    let (reader, writer) = (reader(), long_event_writer(STALLED_LONG_EVENTS));
    let router = router_with_memory(reader.address, writer.address, LONG_EVENTS_MEMORY_MB);
    let mut open = Vec::new();
    for number in 0..STALLED_CLIENTS {
        let mut client = connect_with_small_buffer(router.address);
        let request = request(&format!("ask-{number}"));
        client.write_all(request.as_bytes()).unwrap();
        open.push(client);
    }
    let has_closed_one = |counters: &Counters| counters.get("stalled_clients_closed") > 0;
    let is_reclaimed = (0..MAX_COUNTER_READS).any(|_| has_closed_one(&router.counters()));
    let peak_kb = router.peak_memory_kb();
    println!("peak {} MB", peak_kb / 1024);
    assert!(is_reclaimed, "no client was disconnected");
    assert!(
        peak_kb <= LONG_EVENTS_MEMORY_MB * 1024,
        "{} MB",
        peak_kb / 1024
    );
    drop(open);
    let answer = router.raw(request("afterwards").as_bytes());
    assert!(
        answer.whole && matches!(answer.status(), 200 | 503),
        "{answer:?}"
    );
    router.stop();
}

fn connect_with_small_buffer(address: SocketAddr) -> TcpStream {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
    socket
        .set_recv_buffer_size(SMALL_RECEIVE_BUFFER_BYTES)
        .unwrap();
    socket.connect(&address.into()).unwrap();
    socket.into()
}

/// What a slow client sends, and whether it reads nothing of its answer.
#[derive(Clone, Copy, Debug)]
enum SlowClient {
    /// A head of many short fields that does not end.
    EndlessHead,
    /// Half of a large request.
    HalfRequest,
    /// A whole request, of whose long answer it reads nothing.
    ReadsNothing,
}

/// Guards against hundreds of slow clients that take the router over its memory, on both fronts, while sound ones are served.
#[rstest]
fn hundreds_of_slow_clients_stay_within_the_memory_limit(
    #[values(single, platform)] front: fn(&str) -> String,
    #[values(
        SlowClient::EndlessHead,
        SlowClient::HalfRequest,
        SlowClient::ReadsNothing
    )]
    kind: SlowClient,
) {
    let _alone = ONE_AT_A_TIME.lock().unwrap_or_else(PoisonError::into_inner);
    let (reader, writer) = (reader(), verbose_writer());
    let tools = format!("---[tools]\ndial = \"{}\"\n", Peer::nobody());
    let more = format!("limits = {{ sockets = {SOCKETS}, memory_mb = {MEMORY_MB} }}\n{tools}");
    let router = Conductor::start(&operator_file(&[reader.address], &[writer.address], &more));
    let slow: Vec<TcpStream> = (0..CLIENTS)
        .map(|number| {
            let mut stream = router.connect();
            stream.set_write_timeout(Some(STALL)).unwrap();
            let request = front(&format!("slow-{number}"));
            let bytes = match kind {
                SlowClient::EndlessHead => {
                    format!("POST /rpc HTTP/1.1\r\n{}", "a: b\r\n".repeat(10_000))
                }
                SlowClient::HalfRequest => request[..request.len() / 2].to_owned(),
                SlowClient::ReadsNothing => request,
            };
            let _ = stream.write_all(bytes.as_bytes());
            stream
        })
        .collect();
    let mut served = 0;
    for number in 0..20 {
        served += usize::from(router.ask(&format!("sound-{number}"), "explain").status() == 200);
    }
    let peak = router.peak_memory_kb();
    println!("{kind:?}: {served} of 20 served, peak {peak} kB");
    assert!(peak <= MEMORY_MB * 1024, "{peak} kB");
    assert!(served > 0, "no sound client was served");
    drop(slow);
}

/// How long a client tries to write more than the router takes.
const STALL: std::time::Duration = std::time::Duration::from_millis(100);

/// A writer with long answers.
fn verbose_writer() -> Peer {
    Peer::start(|message, conn| {
        if message.method() == "POST" {
            let is_sound = message.text().len() < 1_000;
            conn.begin_stream();
            for _ in 0..if is_sound { 1 } else { 200 } {
                if !conn.delta(&"x".repeat(if is_sound { 3 } else { 6_000 })) {
                    return false;
                }
            }
            conn.end_stream();
        } else {
            conn.answer("204 No Content", "", "");
        }
        true
    })
}
