//! A router of a fleet is told to stop while requests wait for their first event, and their clients ask another one.

use crate::http;
use crate::rpc::{self, Member, Placed};
use crate::world::*;
use std::io;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

const ORDERS: usize = 4;
const FIRST_EVENT_MS: u64 = 7500;
const TERM_MS: u64 = 800;

pub fn run(folder: &Path, trouble: bool) -> io::Result<bool> {
    let record = Record::create(folder)?;
    let temp = TempFolder::create("handover")?;
    let fleet = Arc::new(Fleet::default());
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
        let (fleet, record) = (fleet.clone(), record.clone());
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
    let routers = rpc::start_fleet(&temp.0, &members, rpc::CLASSES, &hosts)?;
    let addresses: Vec<SocketAddr> = routers.iter().map(|router| router.listen).collect();
    let clients: Vec<_> = (0..ORDERS)
        .map(|i| {
            let (record, addresses) = (record.clone(), addresses.clone());
            thread::spawn(move || client(i, &addresses, &record))
        })
        .collect();
    if trouble {
        sleep_ms(TERM_MS);
        record.line("c1: SIGTERM");
        routers[0].signal("TERM")?;
    }
    for client in clients {
        let _ = client.join();
    }
    Ok(true)
}

fn client(i: usize, addresses: &[SocketAddr], record: &Record) {
    let order = format!("order-{i}");
    let class = if i % 2 == 0 { "send" } else { "explain" };
    let body = rpc::completion(class, &order, 9900);
    for turn in 0..3 {
        let answer = rpc::post(addresses[turn % 3], &body, Duration::from_secs(15))
            .and_then(|mut connection| http::read_response(&mut connection));
        match answer {
            Ok(response) => record.line(&format!(
                "client {i}: {class} {order}: {} {}",
                response.status,
                rpc::last_line(&response)
            )),
            Err(error) => record.line(&format!("client {i}: {order}: {error}")),
        }
        sleep_ms(200);
    }
}
