//! Clients that send a batch and close their connection while the prompt is being read.

use crate::http;
use crate::rpc::{self, Member, Placed};
use crate::world::*;
use std::collections::BTreeMap;
use std::io;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

const BATCHES: usize = 10;
/// How long a reader reads a prompt.
const READ_MS: u64 = 900;
/// When the client closes its connection, from the send of its batch.
const LEAVE_MS: u64 = 300;
/// The rule: an attempt that begins so long after the close is a break. The protocol page gives every time limit 50 ms
/// more.
const ALLOWED_MS: u64 = 100 + 50;

pub fn run(folder: &Path, trouble: bool) -> io::Result<bool> {
    let record = Record::create(folder)?;
    let temp = TempFolder::create("batch")?;
    let fleet = Arc::new(Fleet::default());
    // By order: when its client closed its connection.
    let closed: Arc<Mutex<BTreeMap<String, u64>>> = Arc::default();
    // Order, host, and how long after the close of its client the attempt began.
    let late: Arc<Mutex<Vec<(String, String, u64)>>> = Arc::default();
    let mut hosts = Vec::new();
    for name in ["reader-1", "reader-2", "writer-1", "writer-2"] {
        let (listener, address) = listener()?;
        let is_reader = name.starts_with("reader");
        let kind = if is_reader { "prompt" } else { "answer" };
        let host = Listed {
            name: name.to_owned(),
            address,
            kind,
        };
        hosts.push(Placed { host, zone: "here" });
        let (fleet, record, closed, late) =
            (fleet.clone(), record.clone(), closed.clone(), late.clone());
        serve(listener, move |request, stream| {
            if let Some(done) = fleet.release(request, stream) {
                return done;
            }
            let (order, id) = (rpc::order_of(&request.body), request.header("x-request-id"));
            let after_close = lock(&closed)
                .get(&order)
                .map(|at| record.now_ms().saturating_sub(*at));
            record.line(&format!(
                "{name}: an attempt of {order}{}",
                after_close.map_or(String::new(), |ms| format!(
                    ", {ms} ms after its client closed"
                ))
            ));
            if let Some(ms) = after_close.filter(|ms| *ms > ALLOWED_MS) {
                lock(&late).push((order, name.to_owned(), ms));
            }
            if is_reader {
                sleep_ms(READ_MS);
                fleet.hold(id, name);
                return http::send(stream, &prompt_read());
            }
            if !fleet.fetch(id) {
                return http::send(stream, &state_is_gone());
            }
            let events = http::chunk(&http::event("sent.")) + &http::chunk(&http::last_events());
            let whole = http::STREAM_HEAD.to_owned() + &events + http::LAST_CHUNK;
            http::send(stream, whole.as_bytes())
        });
    }
    let member = Member {
        name: "edge-1".to_owned(),
        zone: "here",
        listen: free_address()?,
        peer: free_address()?,
    };
    let file = rpc::write_alone(&temp.0, &member, &hosts)?;
    let router = Router::serve_file(&temp.0, &member.name, member.listen, &file)?;
    let listen = router.listen;
    let clients: Vec<_> = (0..BATCHES)
        .map(|i| {
            let (record, closed) = (record.clone(), closed.clone());
            thread::spawn(move || -> io::Result<bool> {
                sleep_ms(i as u64 * 1500);
                let order = format!("order-{i}");
                let batch = format!("[{}]", rpc::completion("send", &order, 9000));
                record.line(&format!("client {i}: sends a batch with {order}"));
                let mut connection = rpc::post(listen, &batch, Duration::from_secs(15))?;
                if trouble {
                    sleep_ms(LEAVE_MS);
                    drop(connection);
                    lock(&closed).insert(order, record.now_ms());
                    record.line(&format!("client {i}: has closed its connection"));
                    return Ok(true);
                }
                let response = http::read_response(&mut connection)?;
                let line = rpc::last_line(&response);
                record.line(&format!("client {i}: {} {line}", response.status));
                Ok(response.status == 200 && line.contains("\"result\""))
            })
        })
        .collect();
    let mut done = 0;
    for client in clients {
        done += usize::from(matches!(client.join(), Ok(Ok(true))));
    }
    sleep_ms(3000);
    let late = lock(&late);
    record.say(&format!(
        "{done} of {BATCHES} clients did what they had to; {} attempts began over {ALLOWED_MS} ms after the close",
        late.len()
    ));
    if done != BATCHES {
        return Err(io::Error::other(
            "not all clients were served as they should",
        ));
    }
    Ok(late.is_empty())
}
