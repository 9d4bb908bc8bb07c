//! Writers that send a second answer some milliseconds after the first, on the same connection.

use crate::http::{self, Request};
use crate::world::*;
use std::io::{self, BufReader};
use std::net::TcpStream;
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;
use std::time::{Duration, Instant};

/// One in so many answers of a writer is followed by a second one.
const SPOILT_ONE_IN: usize = 5;
/// How late the second answer comes.
const LATE_MS: u64 = 8;
const CLIENTS: usize = 14;
const RUN_S: u64 = 60;

pub fn run(folder: &Path, trouble: bool) -> io::Result<bool> {
    let record = Record::create(folder)?;
    let temp = TempFolder::create("late-answer")?;
    let fleet = Arc::new(Fleet::default());
    let mut hosts = Vec::new();
    for i in 0..6 {
        let (listener, address) = listener()?;
        let is_reader = i < 3;
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
        let (fleet, record) = (fleet.clone(), record.clone());
        let answers = AtomicUsize::new(i);
        serve(listener, move |request, stream| {
            if let Some(done) = fleet.release(request, stream) {
                return done;
            }
            if is_reader {
                read(&fleet, &name, request, stream)
            } else {
                let is_spoilt =
                    trouble && answers.fetch_add(1, Ordering::Relaxed) % SPOILT_ONE_IN == 0;
                write(&fleet, &record, &name, is_spoilt, request, stream)
            }
        });
    }
    let router = Router::start(&temp.0, "n1", discovery(&hosts)?, &hosts)?;
    let until = Instant::now() + Duration::from_secs(RUN_S);
    let clients: Vec<_> = (0..CLIENTS)
        .map(|client| {
            let (record, listen) = (record.clone(), router.listen);
            thread::spawn(move || ask_until(client, until, listen, &record))
        })
        .collect();
    let (mut answered, mut foreign) = (0, 0);
    for client in clients {
        let (a, f) = client.join().unwrap_or_default();
        answered += a;
        foreign += f;
    }
    record.say(&format!(
        "{answered} requests were answered 200; {foreign} of them with events that a host made for another request"
    ));
    Ok(foreign == 0 && answered > 0)
}

/// A reader: it takes 20 ms to read a prompt.
fn read(fleet: &Fleet, name: &str, request: &Request, stream: &TcpStream) -> io::Result<()> {
    sleep_ms(20);
    fleet.hold(request.header("x-request-id"), name);
    http::send(stream, &prompt_read())
}

/// A writer: ten events in 200 ms. Each event names the request that it was made for.
fn write(
    fleet: &Fleet,
    record: &Record,
    name: &str,
    is_spoilt: bool,
    request: &Request,
    stream: &TcpStream,
) -> io::Result<()> {
    let id = request.header("x-request-id");
    if !fleet.fetch(id) {
        return http::send(stream, &state_is_gone());
    }
    record.line(&format!("{name}: {id} runs"));
    fleet.note_run(id, name);
    let mut whole = http::STREAM_HEAD.to_owned();
    http::send(stream, http::STREAM_HEAD.as_bytes())?;
    for _ in 0..10 {
        let part = http::chunk(&http::event(&format!("{id} ")));
        http::send(stream, part.as_bytes())?;
        whole += &part;
        sleep_ms(20);
    }
    let end = http::chunk(&http::last_events()) + http::LAST_CHUNK;
    http::send(stream, end.as_bytes())?;
    whole += &end;
    if is_spoilt {
        sleep_ms(LATE_MS);
        record.line(&format!("{name}: second answer for {id}"));
        http::send(stream, whole.as_bytes())?;
    }
    Ok(())
}

/// Asks again and again on one connection; returns how many requests were answered, and how many with foreign events.
fn ask_until(
    client: usize,
    until: Instant,
    listen: std::net::SocketAddr,
    record: &Record,
) -> (usize, usize) {
    let (mut answered, mut foreign) = (0, 0);
    let mut connection: Option<BufReader<TcpStream>> = None;
    let mut turn = 0;
    while Instant::now() < until {
        turn += 1;
        let id = format!("c{client}t{turn}");
        let class = if turn % 2 == 0 { "explain" } else { "send" };
        let mut ask = || -> io::Result<http::Response> {
            let mut reader = match connection.take() {
                Some(reader) => reader,
                None => {
                    let stream = TcpStream::connect(listen)?;
                    stream.set_nodelay(true)?;
                    BufReader::new(stream)
                }
            };
            let request = http_request(&id, class, client);
            http::send(reader.get_ref(), &request)?;
            let response = http::read_response(&mut reader)?;
            if response.is_whole && response.header("connection") != "close" {
                connection = Some(reader);
            }
            Ok(response)
        };
        match ask() {
            Ok(response) => {
                let is_foreign =
                    response.status == 200 && other_request(&response.body, &id).is_some();
                answered += usize::from(response.status == 200);
                foreign += usize::from(is_foreign);
                let note = other_request(&response.body, &id)
                    .filter(|_| is_foreign)
                    .map_or(String::new(), |other| format!(", EVENTS OF {other}"));
                record.line(&format!(
                    "client {client}: {id} ({class}) answered {}, whole: {}{note}",
                    response.status, response.is_whole
                ));
            }
            Err(error) => record.line(&format!("client {client}: {id} ({class}): {error}")),
        }
        sleep_ms(150 + (client as u64 * 37 + turn * 53) % 200);
    }
    (answered, foreign)
}

fn http_request(id: &str, class: &str, client: usize) -> Vec<u8> {
    platform_request(id, class, 5000, &format!("session-{client}"))
}

/// The first other request that the events of an answer were made for.
fn other_request(body: &str, id: &str) -> Option<String> {
    let texts = body.split("\"content\":\"").skip(1);
    let names = texts.filter_map(|text| text.split('"').next());
    names
        .map(str::trim)
        .find(|name| !name.is_empty() && *name != id)
        .map(str::to_owned)
}
