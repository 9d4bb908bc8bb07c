//! The memory of the router process while hundreds of clients ask at once.

mod support;

use rstest::rstest;
use std::io::{BufReader, Write};
use std::net::SocketAddr;
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
    let limits = format!("limits = {{ sockets = {SOCKETS}, memory_mb = {MEMORY_MB} }}");
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
) -> (Vec<std::net::TcpStream>, Outcomes) {
    let mut outcomes = Outcomes::default();
    let mut open = Vec::new();
    for number in 0..count {
        let mut client = router.connect();
        let request = request(&format!("ask-{number}"));
        client.write_all(request.as_bytes()).unwrap();
        let mut reader = BufReader::with_capacity(16, client.try_clone().unwrap());
        let mut head = Message::read_head(&mut reader).unwrap_or_default();
        head.whole = true;
        outcomes.count(&head);
        open.push(client);
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
