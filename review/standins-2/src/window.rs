//! A router of a fleet is killed while a request of a class with a repeat window is at a writer.

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

const ORDERS: usize = 4;
/// How long a writer works before its first event.
const FIRST_EVENT_MS: u64 = 3000;
/// When the router is killed, from the sends of the requests.
const KILL_MS: u64 = 2200;
/// `repeat_window_us` of the class, with the 50 ms by which the protocol page lengthens every time limit.
const WINDOW_MS: u64 = 5000 + 50;

const CLASSES: &[Class] = &[Class {
    name: "send",
    effect: "effect = \"idempotency_key\"\ndedup_scope = \"all\"\nrepeat_window_us = 5000000\nobjective_us = 2500000\n\
             give_up_us = 10000000\nvalue = 2.0\n",
}];

/// When each order arrived at a writer that had its state, and at which one.
type Arrivals = Arc<Mutex<BTreeMap<String, Vec<(u64, &'static str)>>>>;

pub fn run(folder: &Path, trouble: bool) -> io::Result<bool> {
    let record = Record::create(folder)?;
    let temp = TempFolder::create("window")?;
    let fleet = Arc::new(Fleet::default());
    let arrivals = Arrivals::default();
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
        let (fleet, record, arrivals) = (fleet.clone(), record.clone(), arrivals.clone());
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
            record.line(&format!("{name}: {order} arrives and runs, as {id}"));
            let mut all = lock(&arrivals);
            all.entry(order).or_default().push((record.now_ms(), name));
            drop(all);
            sleep_ms(FIRST_EVENT_MS);
            let events = http::chunk(&http::event("sent.")) + &http::chunk(&http::last_events());
            let whole = http::STREAM_HEAD.to_owned() + &events + http::LAST_CHUNK;
            http::send(stream, whole.as_bytes())
        });
    }
    let mut members = Vec::new();
    for name in ["c1", "c2", "c3"] {
        members.push(Member {
            name: name.to_owned(),
            zone: "here",
            listen: free_address()?,
            peer: rpc::peer_address()?,
        });
    }
    let mut routers = rpc::start_fleet(&temp.0, &members, CLASSES, &hosts)?;
    let addresses: Vec<SocketAddr> = routers.iter().map(|router| router.listen).collect();
    let clients: Vec<_> = (0..ORDERS)
        .map(|i| {
            let (record, addresses) = (record.clone(), addresses.clone());
            thread::spawn(move || client(i, &addresses, &record))
        })
        .collect();
    if trouble {
        sleep_ms(KILL_MS);
        record.line("c1 is killed");
        drop(routers.remove(0));
    }
    for client in clients {
        let _ = client.join();
    }
    let arrivals = lock(&arrivals);
    let mut late = 0;
    for (order, arrivals) in arrivals.iter() {
        let first = arrivals.first().map_or(0, |(at, _)| *at);
        for (at, writer) in arrivals.iter().filter(|(at, _)| at - first > WINDOW_MS) {
            late += 1;
            record.say(&format!(
                "{order} was sent to {writer} {} ms after its first arrival, which may have run",
                at - first
            ));
        }
    }
    record.say(&format!(
        "{} orders reached a writer; {late} sends came after the window",
        arrivals.len()
    ));
    if arrivals.len() != ORDERS {
        return Err(io::Error::other("not all orders reached a writer"));
    }
    Ok(late == 0)
}

/// Asks c1, and where that breaks the next one at once, until there is a final answer.
fn client(i: usize, addresses: &[SocketAddr], record: &Record) {
    let order = format!("order-{i}");
    let body = rpc::completion("send", &order, 9900);
    for turn in 0..12 {
        let member = if turn == 0 { 0 } else { 1 + (turn - 1) % 2 };
        record.line(&format!("client {i}: asks c{} for {order}", member + 1));
        let answer = rpc::post(addresses[member], &body, Duration::from_secs(15))
            .and_then(|mut connection| http::read_response(&mut connection));
        match answer {
            Ok(response) => {
                let line = rpc::last_line(&response);
                record.line(&format!("client {i}: {order}: {} {line}", response.status));
                if !line.contains("-32003") && !line.contains("-32000") {
                    return;
                }
            }
            Err(error) => record.line(&format!("client {i}: {order}: {error}")),
        }
        sleep_ms(200);
    }
}
