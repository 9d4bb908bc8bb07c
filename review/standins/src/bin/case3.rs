//! Case 3: a client closes its connection while its batch is being read. No attempt may begin for it from 0.1 s after.

use review_standins::{
    BROKEN, COULD_NOT_RUN, Client, HELD, Record, Router, STREAM_HEAD, States, answer_common, delta,
    end_after, free_address, has_trouble, lock, operator_file, post, prompt_of, reader,
    refuse_without_state, serve, stream_end, unused_tool_side,
};
use std::io::Write;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

const BATCHES: usize = 6;
/// How long a read takes.
const READ: Duration = Duration::from_millis(600);
/// The client closes so long after its requests have reached a reader.
const CLOSE_AFTER: Duration = Duration::from_millis(100);
/// An attempt that begins later than this after the close breaks the rule: 0.1 s, and the 50 ms by which every time
/// limit is longer on sockets.
const LIMIT: Duration = Duration::from_millis(150);

/// An attempt as a host got it.
struct Attempt {
    prompt: String,
    host: &'static str,
    at: Instant,
}

/// All attempts, in the order of their last bytes.
type Attempts = Arc<Mutex<Vec<Attempt>>>;

fn note(attempts: &Attempts, record: &Record, host: &'static str, prompt: String) {
    record.line(format!("{host} gets {prompt}"));
    let at = Instant::now();
    lock(attempts).push(Attempt { prompt, host, at });
}

/// A sound writer.
fn writer(states: Arc<States>, attempts: Attempts, record: Arc<Record>) -> SocketAddr {
    serve(move |message, stream| {
        if let Some(done) = answer_common(message, stream, &states) {
            return done;
        }
        note(&attempts, &record, "writer-1", prompt_of(message));
        if let Some(done) = refuse_without_state(message, stream, &states) {
            return done;
        }
        thread::sleep(Duration::from_millis(50));
        let answer = [STREAM_HEAD.to_owned(), delta("done"), stream_end()];
        stream.write_all(answer.concat().as_bytes())?;
        Ok(true)
    })
}

/// A batch of two requests, one of each class.
fn batch(number: usize) -> String {
    let messages: Vec<String> = ["explain", "send"]
        .iter()
        .map(|class| {
            let name = format!("{class}-{number}");
            format!(
                "{{\"jsonrpc\":\"2.0\",\"id\":\"{name}\",\"method\":\"{class}\",\"params\":{{\"request\":\"{name}\",\"deadline_ms\":5000,\"max_out\":100,\"messages\":[{{\"role\":\"user\",\"content\":\"{name}\"}}]}}}}"
            )
        })
        .collect();
    post("/rpc", &[], &format!("[{}]", messages.join(",")))
}

fn main() {
    end_after(Duration::from_secs(110));
    let record = Record::open();
    let (states, attempts) = (Arc::<States>::default(), Attempts::default());
    let reader = {
        let (attempts, record) = (attempts.clone(), record.clone());
        reader(states.clone(), READ, move |message| {
            note(&attempts, &record, "reader-1", prompt_of(message));
        })
    };
    let writer = writer(states, attempts.clone(), record.clone());
    let tools = unused_tool_side();
    let listen = free_address();
    let hosts = [
        ("reader-1", reader, "prompt"),
        ("writer-1", writer, "answer"),
    ];
    let file = operator_file(listen, tools, &hosts);
    let Some(router) = Router::by_operator_file(&record, listen, &file) else {
        std::process::exit(COULD_NOT_RUN);
    };
    let (mut late, mut answered) = (0, 0);
    for number in 1..=BATCHES {
        let Ok(mut client) = Client::connect(router.address) else {
            std::process::exit(COULD_NOT_RUN);
        };
        record.line(format!("client sends batch {number}"));
        if client.send(&batch(number)).is_err() {
            std::process::exit(COULD_NOT_RUN);
        }
        let names = [format!("explain-{number}"), format!("send-{number}")];
        let has_begun = || {
            let attempts = lock(&attempts);
            names
                .iter()
                .all(|name| attempts.iter().any(|attempt| attempt.prompt == *name))
        };
        let begun = Instant::now();
        while !has_begun() && begun.elapsed() < Duration::from_secs(3) {
            thread::sleep(Duration::from_millis(5));
        }
        if !has_trouble() {
            let answer = client
                .answer()
                .map(|answer| answer.text())
                .unwrap_or_default();
            record.line(format!("client got for batch {number}: {}", answer.trim()));
            answered += usize::from(answer.contains("\"result\""));
            continue;
        }
        thread::sleep(CLOSE_AFTER);
        drop(client);
        let closed = Instant::now();
        record.line(format!(
            "client has closed the connection of batch {number}"
        ));
        thread::sleep(Duration::from_secs(3));
        for attempt in lock(&attempts)
            .iter()
            .filter(|attempt| names.contains(&attempt.prompt))
        {
            let after = attempt.at.saturating_duration_since(closed);
            if after > LIMIT {
                late += 1;
                let Attempt { prompt, host, .. } = attempt;
                let after = after.as_secs_f64();
                record.line(format!(
                    "BROKEN: {prompt} began at {host} {after:.3} s after its client closed"
                ));
            }
        }
    }
    drop(router);
    let begun = lock(&attempts).len();
    let summary = format!(
        "{begun} attempts, {late} of them begun too late after the client's close; {answered} batches answered"
    );
    record.line(&summary);
    println!("{summary}");
    let has_run = begun >= 2 * BATCHES && (has_trouble() || answered == BATCHES);
    std::process::exit(match (has_run, late) {
        (false, _) => COULD_NOT_RUN,
        (true, 0) => HELD,
        (true, _) => BROKEN,
    });
}
