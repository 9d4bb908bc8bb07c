//! A client's link drops just after a `send` was accepted, and the client comes again for the answer.

use crate::http;
use crate::rpc::{self, Member, Placed};
use crate::world::*;
use std::collections::BTreeMap;
use std::io;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

const ORDERS: usize = 8;
/// How long a writer works before its first event.
const FIRST_EVENT_MS: u64 = 1500;
/// When the link drops, from the send of the request.
const DROP_MS: u64 = 700;
/// How long the device is offline.
const OFFLINE_MS: u64 = 500;

pub fn run(folder: &Path, trouble: bool) -> io::Result<bool> {
    let record = Record::create(folder)?;
    let temp = TempFolder::create("reconnect")?;
    let fleet = Arc::new(Fleet::default());
    // By order: the ids under which writers have run it.
    let runs: Arc<Mutex<BTreeMap<String, Vec<String>>>> = Arc::default();
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
        let (fleet, record, runs) = (fleet.clone(), record.clone(), runs.clone());
        serve(listener, move |request, stream| {
            if let Some(done) = fleet.release(request, stream) {
                return done;
            }
            let id = request.header("x-request-id");
            if is_reader {
                sleep_ms(50);
                fleet.hold(id, name);
                return http::send(stream, &prompt_read());
            }
            if !fleet.fetch(id) {
                return http::send(stream, &state_is_gone());
            }
            let order = rpc::order_of(&request.body);
            record.line(&format!("{name}: {order} runs, as {id}"));
            let mut all = lock(&runs);
            all.entry(order.clone()).or_default().push(id.to_owned());
            drop(all);
            sleep_ms(FIRST_EVENT_MS);
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
    let clients: Vec<_> = (0..ORDERS)
        .map(|i| {
            let record = record.clone();
            thread::spawn(move || client(i, listen, trouble, &record))
        })
        .collect();
    for client in clients {
        let _ = client.join();
    }
    let runs = lock(&runs);
    let twice = runs.values().filter(|ids| ids.len() > 1).count();
    record.say(&format!(
        "{} orders of the class send; {twice} of them ran more than once",
        runs.len()
    ));
    Ok(twice == 0 && runs.len() == ORDERS)
}

fn client(
    i: usize,
    listen: std::net::SocketAddr,
    trouble: bool,
    record: &Record,
) -> io::Result<()> {
    sleep_ms(i as u64 * 200);
    let order = format!("order-{i}");
    let body = rpc::completion("send", &order, 9000);
    let ask = |wait| rpc::post(listen, &body, wait);
    record.line(&format!("client {i}: asks for {order}"));
    let mut first = ask(Duration::from_secs(15))?;
    if trouble {
        sleep_ms(DROP_MS);
        drop(first);
        record.line(&format!(
            "client {i}: its link drops, nothing has been answered"
        ));
        sleep_ms(OFFLINE_MS);
        for _ in 0..20 {
            record.line(&format!(
                "client {i}: asks for {order} again, under the same name"
            ));
            let mut again = ask(Duration::from_secs(15))?;
            let response = http::read_response(&mut again)?;
            let line = rpc::last_line(&response);
            record.line(&format!("client {i}: {order}: {} {line}", response.status));
            // In hand still: the client asks again later.
            if !line.contains("-32003") {
                return Ok(());
            }
            sleep_ms(500);
        }
        return Ok(());
    }
    let response = http::read_response(&mut first)?;
    let line = rpc::last_line(&response);
    record.line(&format!("client {i}: {order}: {} {line}", response.status));
    Ok(())
}
