//! A writer's connection ends under a request of a class that may be repeated in one zone only; while the router reads
//! the prompt anew, the client's link drops, and the client asks another router of the fleet.

use crate::http;
use crate::rpc::{self, Class, Member, Placed};
use crate::world::*;
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

const ORDERS: usize = 12;
/// How long a reader reads a prompt for the first time, and when it is asked to read it again.
const READ_MS: u64 = 50;
const READ_AGAIN_MS: u64 = 1500;
/// When a client's link drops, from its request, and how long the device is offline.
const DROP_MS: u64 = 900;
const OFFLINE_MS: u64 = 200;
/// `repeat_window_us` of the class, with the 50 ms by which the protocol page lengthens every time limit.
const WINDOW_MS: u64 = 5000 + 50;

const CLASSES: &[Class] = &[Class {
    name: "send",
    effect: "effect = \"idempotency_key\"\ndedup_scope = \"zone\"\nrepeat_window_us = 5000000\nobjective_us = 2500000\n\
             give_up_us = 10000000\nvalue = 2.0\n",
}];

/// A request that arrived whole at a writer that had its state.
#[derive(Clone)]
struct Run {
    at: u64,
    writer: &'static str,
    zone: &'static str,
}

#[derive(Default)]
struct Seen {
    runs: BTreeMap<String, Vec<Run>>,
    /// How often readers were asked to read each id.
    reads: BTreeMap<String, usize>,
}

pub fn run(folder: &Path, trouble: bool) -> io::Result<bool> {
    let record = Record::create(folder)?;
    let temp = TempFolder::create("reread")?;
    let fleet = Arc::new(Fleet::default());
    let seen: Arc<Mutex<Seen>> = Arc::default();
    let mut hosts = Vec::new();
    let names = [
        ("reader-n1", "north"),
        ("writer-n1", "north"),
        ("writer-n2", "north"),
        ("reader-s1", "south"),
        ("writer-s1", "south"),
        ("writer-s2", "south"),
    ];
    for (name, zone) in names {
        let (listener, address) = listener()?;
        let is_reader = name.starts_with("reader");
        let kind = if is_reader { "prompt" } else { "answer" };
        let host = Listed {
            name: name.to_owned(),
            address,
            kind,
        };
        hosts.push(Placed { host, zone });
        let (fleet, record, seen) = (fleet.clone(), record.clone(), seen.clone());
        serve(listener, move |request, stream| {
            if let Some(done) = fleet.release(request, stream) {
                return done;
            }
            let (order, id) = (rpc::order_of(&request.body), request.header("x-request-id"));
            if is_reader {
                let mut all = lock(&seen);
                let reads = all.reads.entry(id.to_owned()).or_default();
                *reads += 1;
                let is_first = *reads == 1;
                drop(all);
                record.line(&format!("{name}: reads {order}, as {id}"));
                sleep_ms(if is_first { READ_MS } else { READ_AGAIN_MS });
                fleet.hold(id, name);
                return http::send(stream, &prompt_read());
            }
            if !fleet.fetch(id) {
                record.line(&format!("{name}: {order}, as {id}: no state"));
                return http::send(stream, &state_is_gone());
            }
            let mut all = lock(&seen);
            let runs = all.runs.entry(order.clone()).or_default();
            runs.push(Run {
                at: record.now_ms(),
                writer: name,
                zone,
            });
            let is_first = runs.len() == 1;
            drop(all);
            record.line(&format!("{name}: {order} runs, as {id}"));
            sleep_ms(100);
            if trouble && is_first {
                record.line(&format!(
                    "{name}: the connection of {order} ends without an answer"
                ));
                return Err(io::ErrorKind::ConnectionReset.into());
            }
            let events = http::chunk(&http::event("sent.")) + &http::chunk(&http::last_events());
            let whole = http::STREAM_HEAD.to_owned() + &events + http::LAST_CHUNK;
            http::send(stream, whole.as_bytes())
        });
    }
    let mut members = Vec::new();
    for (name, zone) in [("c1", "north"), ("c2", "south"), ("c3", "north")] {
        members.push(Member {
            name: name.to_owned(),
            zone,
            listen: free_address()?,
            peer: rpc::peer_address()?,
        });
    }
    let routers = rpc::start_fleet(&temp.0, &members, CLASSES, &hosts)?;
    let addresses: Vec<SocketAddr> = routers.iter().map(|router| router.listen).collect();
    let clients: Vec<_> = (0..ORDERS)
        .map(|i| {
            let (record, addresses) = (record.clone(), addresses.clone());
            thread::spawn(move || client(i, &addresses, trouble, &record))
        })
        .collect();
    for client in clients {
        let _ = client.join();
    }
    let seen = lock(&seen);
    let mut broken = 0;
    for (order, runs) in &seen.runs {
        let Some(first) = runs.first() else { continue };
        for run in &runs[1..] {
            let later = run.at - first.at;
            if run.zone != first.zone || later > WINDOW_MS {
                broken += 1;
                record.say(&format!(
                    "{order} ran at {} in {}, and {later} ms later at {} in {}",
                    first.writer, first.zone, run.writer, run.zone
                ));
            }
        }
    }
    record.say(&format!(
        "{} orders reached a writer; {broken} sends outside of zone and window of the first one",
        seen.runs.len()
    ));
    if seen.runs.len() != ORDERS {
        return Err(io::Error::other("not all orders reached a writer"));
    }
    Ok(broken == 0)
}

fn client(i: usize, addresses: &[SocketAddr], trouble: bool, record: &Record) -> io::Result<()> {
    sleep_ms(i as u64 * 300);
    let order = format!("order-{i}");
    let body = rpc::completion("send", &order, 9000);
    record.line(&format!("client {i}: asks c1 for {order}"));
    let mut first = rpc::post(addresses[0], &body, Duration::from_secs(15))?;
    if !trouble {
        let response = http::read_response(&mut first)?;
        let line = rpc::last_line(&response);
        record.line(&format!("client {i}: {order}: {} {line}", response.status));
        return Ok(());
    }
    sleep_ms(DROP_MS);
    drop(first);
    record.line(&format!(
        "client {i}: its link drops, nothing has been answered"
    ));
    sleep_ms(OFFLINE_MS);
    for _ in 0..10 {
        record.line(&format!("client {i}: asks c2 for {order}"));
        let mut again = rpc::post(addresses[1], &body, Duration::from_secs(15))?;
        let response = http::read_response(&mut again)?;
        let line = rpc::last_line(&response);
        record.line(&format!("client {i}: {order}: {} {line}", response.status));
        if !line.contains("-32003") && !line.contains("-32000") {
            return Ok(());
        }
        sleep_ms(300);
    }
    Ok(())
}
