//! Tool calls relayed mid-stream, against stand-in writers and a stand-in tool side.

mod support;

use rstest::rstest;
use std::collections::HashMap;
use std::io::{BufRead, BufReader, Write};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Condvar, Mutex, mpsc};
use support::*;

const CALL: &str = r#"{"jsonrpc":"2.0","id":"w-1","method":"annex.fetch","params":{"page":1}}"#;

fn tools(dial: SocketAddr, more: &str) -> String {
    format!("---[tools]\ndial = \"{dial}\"\n{more}\n")
}

fn ask(name: &str, more: &str) -> String {
    format!(
        r#"{{"jsonrpc":"2.0","id":1,"method":"send","params":{{"request":"{name}","deadline_ms":8000,"messages":[]{more}}}}}"#
    )
}

/// A stand-in tool side that counts its executions by key.
struct Tool {
    peer: Peer,
    runs: Arc<Mutex<HashMap<String, u32>>>,
}

impl Tool {
    /// `act` gives what comes after the id in its response, once it may.
    fn start(act: impl Fn() -> String + Send + Sync + 'static) -> Tool {
        let runs = Arc::new(Mutex::new(HashMap::new()));
        let count = runs.clone();
        let peer = Peer::start(move |message, conn| {
            let key = message.header("idempotency-key").unwrap().to_owned();
            assert!(message.text().contains(&format!(r#""id":"{key}""#)));
            *count.lock().unwrap().entry(key.clone()).or_insert(0) += 1;
            conn.answer(
                "200 OK",
                "",
                &format!(r#"{{"jsonrpc":"2.0","id":"{key}",{}}}"#, act()),
            );
            true
        });
        Tool { peer, runs }
    }
}

/// The results that a writer was sent, by request id.
#[derive(Default)]
struct Mailbox(Mutex<HashMap<String, String>>, Condvar);

impl Mailbox {
    fn put(&self, id: &str, result: String) {
        self.0.lock().unwrap().insert(id.to_owned(), result);
        self.1.notify_all();
    }

    fn take(&self, id: &str) -> String {
        let mut all = self
            .1
            .wait_while(self.0.lock().unwrap(), |all| !all.contains_key(id))
            .unwrap();
        all.remove(id).unwrap()
    }
}

/// A writer that calls a tool after its first words and ends with what the tool said.
fn writer(call: &'static str) -> Peer {
    let mail = Arc::new(Mailbox::default());
    Peer::start(move |message, conn| {
        let path = message.line.split(' ').nth(1).unwrap();
        if let Some(id) = path.strip_prefix("/internal/tool-results/") {
            mail.put(id, message.text());
            conn.answer("204 No Content", "", "");
        } else if message.line.starts_with("POST") {
            conn.begin_stream();
            conn.delta("before ");
            conn.event(call);
            let said = mail.take(message.header("x-request-id").unwrap());
            conn.delta(&said.replace('"', "'"));
            conn.end_stream();
        } else {
            conn.answer("204 No Content", "", "");
        }
        true
    })
}

#[rstest]
#[case::result(r#""result":{"page":"text"}"#, "", "'result':{'page':'text'}", "done")]
#[case::null_is_a_result(r#""result":null"#, "", "'result':null", "done")]
#[case::error_of_the_tool(
    r#""error":{"code":-7,"message":"no"}"#,
    "",
    "'error':{'code':-7,'message':'no'}",
    "error"
)]
#[case::neither(r#""other":1"#, "", "'error':{'code':-32011", "error")]
#[case::result_too_long(
    r#""result":"0123456789012345678901234567890123456789""#,
    "max_result_bytes = 64",
    "'error':{'code':-32014",
    "error"
)]
#[case::arguments_too_long(
    r#""result":1"#,
    "max_call_bytes = 20",
    "'error':{'code':-32013",
    "error"
)]
#[case::too_many(r#""result":1"#, "max_calls = 0", "'error':{'code':-32015", "error")]
fn a_call_goes_out_its_outcome_comes_back_and_the_stream_goes_on(
    #[case] tool: &'static str,
    #[case] limits: &str,
    #[case] to_writer: &str,
    #[case] state: &str,
) {
    let tool = Tool::start(move || tool.to_owned());
    let writer = writer(CALL);
    let reader = Peer::reader();
    let file = operator_file(
        &[reader.address],
        &[writer.address],
        &tools(tool.peer.address, limits),
    );
    let conductor = Conductor::start(&file);
    let answer = conductor.rpc(&ask("r1", ""));
    assert_eq!(
        (answer.status(), answer.whole),
        (200, true),
        "{}",
        answer.text()
    );
    let lines: Vec<String> = answer.text().lines().map(str::to_owned).collect();
    assert_eq!(lines.len(), 5, "{lines:?}");
    assert_eq!(
        lines[0],
        r#"{"jsonrpc":"2.0","method":"delta","params":{"request":"r1","text":"before "}}"#
    );
    assert!(lines[1].contains(r#""ordinal":0,"state":"calling""#));
    assert!(lines[2].contains(&format!(r#""ordinal":0,"state":"{state}""#)));
    assert!(
        lines[3].contains(&format!("'id':'w-1',{to_writer}")),
        "{}",
        lines[3]
    );
    assert!(
        lines[4].contains(r#""id":1,"result":{"request":"r1","finish":"stop","calls":1"#),
        "{}",
        lines[4]
    );
    assert_eq!(
        tool.runs.lock().unwrap().len(),
        usize::from(limits.contains("result") || limits.is_empty())
    );
}

#[rstest]
#[case::never_reached(false, "'code':-32010")]
#[case::silent_after_the_call(true, "'code':-32011")]
fn a_tool_that_does_not_answer_is_an_explicit_error(
    #[case] listens: bool,
    #[case] to_writer: &str,
) {
    let silent = Peer::start(|_, conn| !conn.is_closed());
    let dial = if listens {
        silent.address
    } else {
        Peer::nobody()
    };
    let (writer, reader) = (writer(CALL), Peer::reader());
    let file = operator_file(
        &[reader.address],
        &[writer.address],
        &tools(dial, "call_timeout_ms = 300"),
    );
    let conductor = Conductor::start(&file);
    let answer = conductor.rpc(&ask("r1", "")).text();
    assert!(answer.contains(to_writer), "{answer}");
}

#[rstest]
#[case::not_json(
    "{",
    400,
    r#"{"jsonrpc":"2.0","id":null,"error":{"code":-32700,"message":"parse error"}}"#
)]
#[case::not_a_request(
    "[1]",
    200,
    r#"[{"jsonrpc":"2.0","id":null,"error":{"code":-32600,"message":"invalid request"}}]"#
)]
#[case::empty_batch(
    "[]",
    400,
    r#"{"jsonrpc":"2.0","id":null,"error":{"code":-32600,"message":"invalid request"}}"#
)]
#[case::version(
    r#"{"jsonrpc":"1.0","id":4,"method":"send"}"#,
    400,
    r#"{"jsonrpc":"2.0","id":4,"error":{"code":-32600,"message":"invalid request"}}"#
)]
#[case::odd_id(
    r#"{"jsonrpc":"2.0","id":{},"method":"send"}"#,
    400,
    r#"{"jsonrpc":"2.0","id":null,"error":{"code":-32600,"message":"invalid request"}}"#
)]
#[case::unknown(
    r#"{"jsonrpc":"2.0","id":"x","method":"nope","params":[]}"#,
    404,
    r#"{"jsonrpc":"2.0","id":"x","error":{"code":-32601,"message":"method not found"}}"#
)]
#[case::no_params(
    r#"{"jsonrpc":"2.0","id":5,"method":"send"}"#,
    400,
    r#"{"jsonrpc":"2.0","id":5,"error":{"code":-32602,"message":"invalid params"}}"#
)]
#[case::notification(r#"{"jsonrpc":"2.0","method":"nope"}"#, 204, "")]
#[case::batch_of_notifications(r#"[{"jsonrpc":"2.0","method":"nope"}]"#, 204, "")]
#[case::cancel_unknown(
    r#"{"jsonrpc":"2.0","id":null,"method":"cancel","params":{"request":"q"}}"#,
    200,
    r#"{"jsonrpc":"2.0","id":null,"result":false}"#
)]
fn json_rpc_is_kept_to_the_letter(#[case] body: &str, #[case] status: u16, #[case] wanted: &str) {
    let file = operator_file(
        &[Peer::nobody()],
        &[Peer::nobody()],
        &tools(Peer::nobody(), ""),
    );
    let answer = Conductor::start(&file).rpc(body);
    assert_eq!(
        (answer.status(), answer.text().trim_end()),
        (status, wanted)
    );
}

#[test]
fn a_batch_is_answered_in_one_array() {
    let tool = Tool::start(|| r#""result":1"#.into());
    let (writer, reader) = (writer(CALL), Peer::reader());
    let conductor = Conductor::start(&operator_file(
        &[reader.address],
        &[writer.address],
        &tools(tool.peer.address, ""),
    ));
    let answer = conductor
        .rpc(&format!("[{},{{}},{}]", ask("b1", ""), ask("b2", "")))
        .text();
    assert_eq!(
        answer
            .matches(r#""finish":"stop","calls":1,"text":"before "#)
            .count(),
        2,
        "{answer}"
    );
    assert!(
        answer.contains(r#"{"jsonrpc":"2.0","id":null,"error":{"code":-32600"#),
        "{answer}"
    );
}

/// A reader that keeps each prompt until it is told to go on, and tells what reached it.
fn keeping_reader(go_on: mpsc::Receiver<()>, read: mpsc::Sender<String>) -> Peer {
    let go_on = Mutex::new(go_on);
    Peer::start(move |message, conn| {
        if message.method() == "POST" {
            let _ = read.send(message.text());
            let _ = go_on.lock().unwrap().recv();
            conn.answer("202 Accepted", "", r#"{"cached_tokens":0}"#);
        } else {
            conn.answer("204 No Content", "", "");
        }
        true
    })
}

/// A writer that refuses each request as not run, until it is told to go on.
fn refusing_writer(go_on: mpsc::Receiver<()>, asked: mpsc::Sender<String>) -> Peer {
    let go_on = Mutex::new(go_on);
    Peer::start(move |message, conn| {
        if message.method() == "POST" {
            let _ = asked.send(message.text());
            let _ = go_on.lock().unwrap().recv();
            conn.answer("410 Gone", "x-not-run: 1\r\n", "");
        } else {
            conn.answer("204 No Content", "", "");
        }
        true
    })
}

fn batch(name: &str) -> String {
    // The first message has its answer at once.
    let cancel = r#"{"jsonrpc":"2.0","id":0,"method":"cancel","params":{"request":"none"}}"#;
    let (first, second) = (format!("{name}-1"), format!("{name}-2"));
    format!("[{cancel},{},{}]", ask(&first, ""), ask(&second, ""))
}

fn single(name: &str) -> String {
    ask(name, "")
}

/// Waits until the router has seen this many clients leave, by its counters.
fn wait_until_clients_left(router: &Conductor, requests: u64) {
    let have_left = |counters: &Counters| counters.get("clients_left") >= requests;
    let have_left = (0..3_000).any(|_| have_left(&router.counters()));
    assert!(
        have_left,
        "the router has not noticed that its clients left"
    );
}

/// Guards against requests of a batch that go on after their client has left: an attempt that began then, of a class that
/// must not run twice, was work for nobody.
#[rstest]
#[case::single(single, 1)]
#[case::batch_partly_answered(batch, 2)]
fn no_attempt_begins_after_the_client_has_left_during_the_read(
    #[case] body: fn(&str) -> String,
    #[case] requests: u64,
) {
    let (go_on, may_go_on) = mpsc::channel();
    let (read, has_read) = mpsc::channel();
    let (asked, was_asked) = mpsc::channel();
    let reader = keeping_reader(may_go_on, read);
    let writer = refusing_writer(mpsc::channel().1, asked);
    let tools = tools(Peer::nobody(), "");
    let router = Conductor::start(&operator_file(&[reader.address], &[writer.address], &tools));
    let mut client = router.connect();
    client
        .write_all(rpc_request(&body("left")).as_bytes())
        .unwrap();
    for _ in 0..requests {
        has_read.recv_timeout(STUCK).unwrap();
    }
    drop(client);
    wait_until_clients_left(&router, requests);
    drop(go_on);
    // The router ends when nothing is in progress any more.
    router.stop();
    assert!(was_asked.try_recv().is_err(), "a writer was asked");
}

/// The same between two attempts: the client leaves while a writer has the request, which then refuses it.
#[rstest]
#[case::single(single, 1)]
#[case::batch_partly_answered(batch, 2)]
fn no_attempt_begins_after_the_client_has_left_between_attempts(
    #[case] body: fn(&str) -> String,
    #[case] requests: u64,
) {
    let (go_on, may_go_on) = mpsc::channel();
    let (asked, was_asked) = mpsc::channel();
    let writer = refusing_writer(may_go_on, asked);
    let tools = tools(Peer::nobody(), "");
    let reader = Peer::reader();
    let router = Conductor::start(&operator_file(&[reader.address], &[writer.address], &tools));
    let mut client = router.connect();
    client
        .write_all(rpc_request(&body("left")).as_bytes())
        .unwrap();
    for _ in 0..requests {
        was_asked.recv_timeout(STUCK).unwrap();
    }
    drop(client);
    wait_until_clients_left(&router, requests);
    let sent = router.counters().get("sent");
    drop(go_on);
    assert_eq!(router.stop().get("sent"), sent);
}

#[test]
fn a_request_taken_back_ends_with_its_writer_s_stream_and_a_response() {
    let (closed, closes) = mpsc::channel();
    let closed = Mutex::new(closed);
    let writer = Peer::start(move |message, conn| {
        if message.line.starts_with("POST") {
            conn.begin_stream();
            conn.delta("x");
            closed.lock().unwrap().send(conn.is_closed()).unwrap();
        }
        false
    });
    let reader = Peer::reader();
    let conductor = Conductor::start(&operator_file(
        &[reader.address],
        &[writer.address],
        &tools(Peer::nobody(), ""),
    ));
    let mut stream = conductor.connect();
    stream
        .write_all(rpc_request(&ask("c1", "")).as_bytes())
        .unwrap();
    let mut from = BufReader::new(stream);
    let mut line = String::new();
    while !line.contains("delta") {
        line.clear();
        from.read_line(&mut line).unwrap();
    }
    // The same name again, while its stream runs, is no second request.
    assert_eq!(conductor.rpc(&ask("c1", "")).status(), 409);
    assert_eq!(
        conductor
            .rpc(r#"{"jsonrpc":"2.0","method":"cancel","params":{"request":"c1"}}"#)
            .status(),
        204
    );
    while !line.contains("cancelled") {
        line.clear();
        assert!(from.read_line(&mut line).unwrap() > 0, "no response");
    }
    assert!(line.contains(r#""id":1,"error":{"code":-32002"#), "{line}");
    assert!(closes.recv().unwrap());
}

/// The hard case. Writers are killed mid-call 1,000 times, at varied points, and every execution of the tool is
/// counted. Guards against a second run after a resume: without the ledger the tool runs twice wherever the
/// writer died after its call had left.
#[test]
fn no_tool_runs_twice_though_writers_die_a_thousand_times_mid_call() {
    const KILLS: u32 = 1000;
    /// Where a writer dies; past the last one it doesn't.
    #[derive(Clone, Copy, PartialEq)]
    enum Point {
        CallHalfWritten,
        CallWritten,
        ToolAtWork,
        /// As before, and the tool isn't done before the call comes again.
        ToolHeld,
        ResultReceived,
        ResultTaken,
        Never,
    }
    use Point::*;
    let points = [
        CallHalfWritten,
        CallWritten,
        ToolAtWork,
        ToolHeld,
        ResultReceived,
        ResultTaken,
    ];
    let point = Arc::new(Mutex::new(Never));
    let (mail, kills) = (Arc::new(Mailbox::default()), Arc::new(AtomicU32::new(0)));
    let (at_work, tool_at_work) = mpsc::channel();
    let at_work = Mutex::new(at_work);
    let gate = Arc::new((Mutex::new(false), Condvar::new()));
    let shut = gate.clone();
    let tool = Tool::start(move || {
        at_work.lock().unwrap().send(()).unwrap();
        drop(shut.1.wait_while(shut.0.lock().unwrap(), |shut| *shut));
        r#""result":"annex""#.into()
    });
    let tool_at_work = Arc::new(Mutex::new(tool_at_work));
    let start = || {
        let (point, mail, kills) = (point.clone(), mail.clone(), kills.clone());
        let (tool_at_work, gate) = (tool_at_work.clone(), gate.clone());
        Peer::start(move |message, conn| {
            if let Some(id) = message
                .line
                .split(' ')
                .nth(1)
                .unwrap()
                .strip_prefix("/internal/tool-results/")
            {
                mail.put(id, message.text());
                // Counted before anybody can hear of it: a resume that comes at once must not die of the same point.
                let mut point = point.lock().unwrap();
                let dies = *point == ResultReceived;
                if dies {
                    kills.fetch_add(1, Ordering::SeqCst);
                    *point = Never;
                } else {
                    conn.answer("204 No Content", "", "");
                }
                return !dies;
            }
            if !message.line.starts_with("POST") {
                conn.answer("204 No Content", "", "");
                return true;
            }
            let id = message.header("x-request-id").unwrap().to_owned();
            let now = *point.lock().unwrap();
            conn.begin_stream();
            if !message.text().contains("resume") {
                conn.delta("before ");
            }
            let die = || {
                kills.fetch_add(1, Ordering::SeqCst);
                *point.lock().unwrap() = Never;
                false
            };
            if now == CallHalfWritten {
                conn.chunk(&format!("data: {}", &CALL[..40]));
                return die();
            }
            conn.event(CALL);
            match now {
                CallWritten => return die(),
                ToolAtWork | ToolHeld => {
                    tool_at_work.lock().unwrap().recv().unwrap();
                    return die();
                }
                _ => {}
            }
            *gate.0.lock().unwrap() = false;
            gate.1.notify_all();
            let said = mail.take(&id);
            match now {
                ResultReceived => return false,
                ResultTaken => return die(),
                _ => {}
            }
            assert!(said.contains(r#""result":"annex""#), "{said}");
            conn.delta("after");
            conn.end_stream();
            true
        })
    };
    let (writers, reader) = ([start(), start(), start()], Peer::reader());
    let all = writers.each_ref().map(|w| w.address);
    let conductor = Conductor::start(&operator_file(
        &[reader.address],
        &all,
        &tools(tool.peer.address, ""),
    ));
    for i in 0..KILLS {
        let name = format!("kill-{i}");
        while tool_at_work.lock().unwrap().try_recv().is_ok() {}
        let next = points[i as usize % points.len()];
        *gate.0.lock().unwrap() = next == ToolHeld;
        *point.lock().unwrap() = next;
        let first = conductor.rpc(&ask(&name, ""));
        assert!(
            !first.whole && first.text().contains("before "),
            "{i}: {}",
            first.text()
        );
        let mut rest = Message::default();
        // The writers that died are set aside for a while; their client comes back until it is served.
        while rest.status() != 200 {
            rest = conductor.rpc(&ask(&name, r#","resume":{"calls":0,"text":"before "}"#));
        }
        assert!(
            rest.whole && rest.text().contains(r#""text":"after""#),
            "{i}: {}",
            rest.text()
        );
    }
    assert_eq!(kills.load(Ordering::SeqCst), KILLS);
    let runs = tool.runs.lock().unwrap();
    let twice = runs.values().filter(|n| **n > 1).count();
    assert_eq!(
        (runs.len(), twice),
        (KILLS as usize, 0),
        "keys, and keys that ran more than once"
    );
}

#[test]
fn a_key_used_again_with_other_arguments_is_an_error_and_runs_nothing() {
    let tool = Tool::start(|| r#""result":"annex""#.into());
    let calls = Arc::new(AtomicU32::new(0));
    let mail = Arc::new(Mailbox::default());
    let writer = Peer::start(move |message, conn| {
        if let Some(id) = message
            .line
            .split(' ')
            .nth(1)
            .unwrap()
            .strip_prefix("/internal/tool-results/")
        {
            mail.put(id, message.text());
            conn.answer("204 No Content", "", "");
            return true;
        }
        let first = calls.fetch_add(1, Ordering::SeqCst) == 0;
        conn.begin_stream();
        conn.event(if first {
            CALL
        } else {
            r#"{"jsonrpc":"2.0","id":2,"method":"annex.fetch","params":{"page":2}}"#
        });
        let said = mail.take(message.header("x-request-id").unwrap());
        if !first {
            conn.delta(&said.replace('"', "'"));
            conn.end_stream();
        }
        !first
    });
    let reader = Peer::reader();
    let conductor = Conductor::start(&operator_file(
        &[reader.address],
        &[writer.address],
        &tools(tool.peer.address, ""),
    ));
    assert!(!conductor.rpc(&ask("k1", "")).whole);
    let rest = conductor
        .rpc(&ask("k1", r#","resume":{"calls":0,"text":""}"#))
        .text();
    assert!(rest.contains("'code':-32012"), "{rest}");
    assert_eq!(tool.runs.lock().unwrap().values().sum::<u32>(), 1);
}
