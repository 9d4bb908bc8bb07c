//! Answers that never end: after a first event, writers begin one that goes on and on, under hundreds of requests at once.

use crate::http;
use crate::world::*;
use std::io::{self, BufReader};
use std::net::{SocketAddr, TcpStream};
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;
use std::time::{Duration, Instant};

/// Limits as the bench draws them for its days: `memory 15 of 80 MB  descriptors 277 of 992` says its line.
const MEMORY_MB: u64 = 80;
const DESCRIPTORS: usize = 992;
/// Requests at once: one third of the descriptors.
const REQUESTS: usize = DESCRIPTORS / 3;
/// A prompt of 8,500 tokens, four characters each.
const PROMPT_BYTES: usize = 34_000;
/// How much of its last event a spoilt answer brings; the whole answer stays far under the 256 KiB of a body.
const ENDLESS_BYTES: usize = 125_000;
/// So many of ten answers are spoilt.
const SPOILT_OF_TEN: usize = 8;
const DEADLINE_MS: u64 = 6000;

pub fn run(folder: &Path, trouble: bool) -> io::Result<bool> {
    let record = Record::create(folder)?;
    let temp = TempFolder::create("endless")?;
    let fleet = Arc::new(Fleet::default());
    let answers = Arc::new(AtomicUsize::new(0));
    let mut hosts = Vec::new();
    for i in 0..12 {
        let (listener, address) = listener()?;
        let is_reader = i < 6;
        let (kind, name) = if is_reader {
            ("prompt", format!("reader-{i}"))
        } else {
            ("answer", format!("writer-{i}"))
        };
        hosts.push(Listed {
            name: name.clone(),
            address,
            kind,
        });
        let (fleet, record, answers) = (fleet.clone(), record.clone(), answers.clone());
        serve(listener, move |request, stream| {
            if let Some(done) = fleet.release(request, stream) {
                return done;
            }
            let id = request.header("x-request-id");
            if is_reader {
                sleep_ms(20);
                fleet.hold(id, &name);
                return http::send(stream, &prompt_read());
            }
            if !fleet.fetch(id) {
                return http::send(stream, &state_is_gone());
            }
            let is_spoilt = trouble && answers.fetch_add(1, Ordering::Relaxed) % 10 < SPOILT_OF_TEN;
            record.line(&format!("{name}: answers {id}, endless: {is_spoilt}"));
            let first = http::STREAM_HEAD.to_owned() + &http::chunk(&http::event("Clause "));
            http::send(stream, first.as_bytes())?;
            if is_spoilt {
                let endless = format!("data: {}", "x".repeat(ENDLESS_BYTES));
                http::send(stream, http::chunk(&endless).as_bytes())?;
                // It goes on, but not before the router has given it up.
                sleep_ms(20_000);
                return Err(io::ErrorKind::ConnectionReset.into());
            }
            sleep_ms(2000);
            let end = http::chunk(&http::last_events()) + http::LAST_CHUNK;
            http::send(stream, end.as_bytes())
        });
    }
    let limits = format!("{{\"cores\":1.0,\"memory_mb\":{MEMORY_MB},\"sockets\":{DESCRIPTORS}}}");
    let mut router = Router::start(&temp.0, "n1", discovery(&hosts)?, &hosts, &limits)?;
    let listen = router.listen;
    let clients: Vec<_> = (0..REQUESTS)
        .map(|i| {
            let record = record.clone();
            thread::spawn(move || client(i, listen, &record).unwrap_or("no answer"))
        })
        .collect();
    // The platform: it kills a router that goes over its memory.
    let (mut most, mut is_killed) = (0, false);
    let until = Instant::now() + Duration::from_millis(DEADLINE_MS + 3000);
    while Instant::now() < until && !is_killed {
        let memory = router.memory().unwrap_or(0);
        most = most.max(memory);
        if memory > MEMORY_MB * 1024 * 1024 {
            record.say(&format!(
                "the platform kills the router at {} bytes",
                memory
            ));
            router.kill();
            is_killed = true;
        }
        sleep_ms(5);
    }
    let mut outcomes = std::collections::BTreeMap::<&str, usize>::new();
    for client in clients {
        *outcomes
            .entry(client.join().unwrap_or("no answer"))
            .or_default() += 1;
    }
    record.say(&format!(
        "{REQUESTS} requests: {outcomes:?}; {} MB at the most, of {MEMORY_MB}",
        most / 1024 / 1024
    ));
    if !trouble && outcomes.get("served") != Some(&REQUESTS) {
        return Err(io::Error::other("not all requests were served"));
    }
    Ok(!is_killed)
}

/// Sends one request and reads its answer to the end; a sound client, which reads as it comes.
fn client(i: usize, listen: SocketAddr, record: &Record) -> io::Result<&'static str> {
    let stream = TcpStream::connect(listen)?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(Duration::from_secs(15)))?;
    let id = format!("r{i}");
    let body = format!(
        "{{\"model\":\"explain\",\"stream\":true,\"messages\":[{{\"role\":\"user\",\"content\":\"{}\"}}]}}",
        "x".repeat(PROMPT_BYTES)
    );
    let head = format!(
        "POST /v1/chat/completions HTTP/1.1\r\nhost: api.internal\r\nx-request-id: {id}\r\nx-class: explain\r\n\
         x-key: session-{i}\r\nx-deadline: {DEADLINE_MS}m\r\nx-extras: prompt_len=8500,max_out=500\r\n\
         content-type: application/json\r\ncontent-length: {}\r\n\r\n",
        body.len()
    );
    http::send(&stream, (head + &body).as_bytes())?;
    let response = http::read_response(&mut BufReader::new(stream))?;
    let outcome = match (response.status, response.is_whole) {
        (200, true) => "served",
        (200, false) => "cut",
        (429 | 503, _) => "refused",
        _ => "failed",
    };
    record.line(&format!("client {i}: {} {outcome}", response.status));
    Ok(outcome)
}
