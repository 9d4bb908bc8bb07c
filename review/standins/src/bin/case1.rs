//! Case 1: a model host sends a second answer some milliseconds behind a good one. No client may get it for its own.

use review_standins::{
    BROKEN, COULD_NOT_RUN, Client, HELD, Message, Record, Router, SETTINGS_JSON, STREAM_HEAD,
    States, answer_common, delta, discovery, end_after, free_address, has_trouble, host_entry,
    lock, post, reader, refuse_without_state, serve, stream_end,
};
use std::collections::HashMap;
use std::io::Write;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// How far the second answer is behind: "some milliseconds".
const BEHIND: Duration = Duration::from_millis(4);
/// Each so-many-th stream of a writer brings a second answer.
const SPOILT_EVERY: usize = 4;
/// With their pauses these clients send about 17 requests a second.
const CLIENTS: u64 = 24;
const PLAY: Duration = Duration::from_secs(60);
/// Events of a stream, and the time between two.
const EVENTS: usize = 8;
const EVENT_INTERVAL: Duration = Duration::from_millis(30);

/// The events that writers made for each request, by its id.
type Made = Arc<Mutex<HashMap<String, String>>>;

/// A writer whose streams are good. Behind some of them comes a second answer.
fn writer(states: Arc<States>, made: Made, record: Arc<Record>, name: &'static str) -> SocketAddr {
    let streams = AtomicUsize::new(0);
    serve(move |message, stream| {
        if let Some(done) = answer_common(message, stream, &states)
            .or_else(|| refuse_without_state(message, stream, &states))
        {
            return done;
        }
        let id = message.header("x-request-id");
        record.line(format!("{name} runs {id}"));
        let events: Vec<String> = (0..EVENTS)
            .map(|i| delta(&format!("answer-to-{id} part {i} ")))
            .collect();
        lock(&made).insert(id.to_owned(), text_of(&events));
        thread::sleep(EVENT_INTERVAL);
        stream.write_all(STREAM_HEAD.as_bytes())?;
        for (i, event) in events.iter().enumerate() {
            if i > 0 {
                thread::sleep(EVENT_INTERVAL);
            }
            stream.write_all(event.as_bytes())?;
        }
        stream.write_all(stream_end().as_bytes())?;
        let is_spoilt = streams
            .fetch_add(1, Ordering::Relaxed)
            .is_multiple_of(SPOILT_EVERY);
        if has_trouble() && is_spoilt {
            thread::sleep(BEHIND);
            let second = format!("{STREAM_HEAD}{}{}", events.concat(), stream_end());
            stream.write_all(second.as_bytes())?;
            record.line(format!("{name} sent a second answer to {id}"));
        }
        Ok(true)
    })
}

/// The pieces of the answer in a stream's events.
fn text_of(events: &[String]) -> String {
    contents(&events.concat())
}

fn contents(stream: &str) -> String {
    let pieces = stream.split("\"content\":\"").skip(1);
    pieces.filter_map(|piece| piece.split('"').next()).collect()
}

/// What became of the clients' requests.
#[derive(Default)]
struct Outcomes {
    served: AtomicUsize,
    refused_or_failed: AtomicUsize,
    cut: AtomicUsize,
    foreign: AtomicUsize,
}

fn request(id: &str, class: &str, session: &str) -> String {
    let body = format!(
        "{{\"model\":\"{class}\",\"stream\":true,\"max_tokens\":200,\"messages\":[{{\"role\":\"user\",\"content\":\"question {id}\"}}]}}"
    );
    let headers = [
        ("X-Request-Id", id),
        ("X-Class", class),
        ("X-Key", session),
        ("X-Deadline", "6000m"),
        ("X-Extras", "prompt_len=500,max_out=200"),
    ];
    post("/v1/chat/completions", &headers, &body)
}

/// A client: one request at a time on a kept connection.
fn client(number: u64, router: SocketAddr, made: &Made, record: &Record, outcomes: &Outcomes) {
    let mut random = 0x9e37_79b9_7f4a_7c15_u64.wrapping_mul(number + 1);
    let mut connection = None;
    let begun = Instant::now();
    for turn in 0.. {
        random ^= random << 13;
        random ^= random >> 7;
        random ^= random << 17;
        let uniform = (random >> 11) as f64 / (1_u64 << 53) as f64;
        thread::sleep(Duration::from_secs_f64(-uniform.max(1e-9).ln().max(-5.0)));
        if begun.elapsed() > PLAY {
            return;
        }
        let id = format!("c{number}-{turn}");
        let class = if random % 100 < 56 { "explain" } else { "send" };
        let mut current = match connection.take() {
            Some(current) => current,
            None => match Client::connect(router) {
                Ok(current) => current,
                Err(_) => continue,
            },
        };
        record.line(format!("client {number} asks {id} ({class})"));
        let answer = current.ask(&request(&id, class, &format!("s{number}")));
        judge(&id, answer, made, record, outcomes, || {
            connection = Some(current)
        });
    }
}

/// Judges one answer: what a served client got has to be what a writer made for its request.
fn judge(
    id: &str,
    answer: std::io::Result<Message>,
    made: &Made,
    record: &Record,
    outcomes: &Outcomes,
    keep: impl FnOnce(),
) {
    let Ok(answer) = answer else {
        outcomes.cut.fetch_add(1, Ordering::Relaxed);
        return record.line(format!("{id}: closed without an answer"));
    };
    if answer.second_word() != "200" {
        keep();
        outcomes.refused_or_failed.fetch_add(1, Ordering::Relaxed);
        return record.line(format!("{id}: {}", answer.line));
    }
    if !answer.is_whole {
        outcomes.cut.fetch_add(1, Ordering::Relaxed);
        return record.line(format!("{id}: the stream was cut"));
    }
    keep();
    let got = contents(&answer.text());
    let own = lock(made).get(id).cloned().unwrap_or_default();
    if got == own && !own.is_empty() {
        outcomes.served.fetch_add(1, Ordering::Relaxed);
        record.line(format!("{id}: served"));
    } else {
        outcomes.foreign.fetch_add(1, Ordering::Relaxed);
        record.line(format!("{id}: BROKEN, got {got:?}, a writer made {own:?}"));
    }
}

fn main() {
    end_after(Duration::from_secs(110));
    let record = Record::open();
    let (states, made) = (Arc::<States>::default(), Made::default());
    let mut hosts = Vec::new();
    for name in ["reader-1", "reader-2"] {
        let note = record.clone();
        let dial = reader(
            states.clone(),
            |_| Duration::from_millis(20),
            move |message| {
                note.line(format!("{name} reads {}", message.header("x-request-id")));
            },
        );
        hosts.push(host_entry(name, dial, "prompt"));
    }
    for name in ["writer-1", "writer-2"] {
        let dial = writer(states.clone(), made.clone(), record.clone(), name);
        hosts.push(host_entry(name, dial, "answer"));
    }
    let list = format!(
        "{{\"seq\":1,\"whole\":true,\"hosts\":[{}]}}",
        hosts.join(",")
    );
    let agent = discovery(list.clone());
    // Drawn last, so that no stand-in gets the same port.
    let listen = free_address();
    let config = format!(
        "{{\"name\":\"n1\",\"listen\":\"{listen}\",\"discovery\":\"{agent}\",\"seed\":\"8c1f30d27a5be964\",\"limits\":{{\"cores\":1.0,\"memory_mb\":192,\"sockets\":1024}},\"known\":{list},\"settings\":{SETTINGS_JSON}}}"
    );
    let Some(router) = Router::on_platform(&record, listen, agent, &config) else {
        std::process::exit(COULD_NOT_RUN);
    };
    let outcomes = Arc::<Outcomes>::default();
    let clients: Vec<_> = (0..CLIENTS)
        .map(|number| {
            let (made, record, outcomes) = (made.clone(), record.clone(), outcomes.clone());
            let address = router.address;
            thread::spawn(move || client(number, address, &made, &record, &outcomes))
        })
        .collect();
    for client in clients {
        let _ = client.join();
    }
    drop(router);
    let count = |counter: &AtomicUsize| counter.load(Ordering::Relaxed);
    let (served, foreign) = (count(&outcomes.served), count(&outcomes.foreign));
    let summary = format!(
        "{served} served with their own answer, {foreign} with another request's, {} refused or failed, {} cut",
        count(&outcomes.refused_or_failed),
        count(&outcomes.cut)
    );
    record.line(&summary);
    println!("{summary}");
    std::process::exit(match (served, foreign) {
        (0, 0) => COULD_NOT_RUN,
        (_, 0) => HELD,
        _ => BROKEN,
    });
}
