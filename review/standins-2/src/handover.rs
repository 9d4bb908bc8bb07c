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
/// How long a writer works before its first event: the class's clients wait for up to 10 s.
const FIRST_EVENT_MS: u64 = 7500;
/// When the router gets SIGTERM, from the sends of the requests.
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
    let (mut answered, mut cancelled, mut changed) = (0, 0, 0);
    for client in clients {
        let told = client.join().unwrap_or_default();
        answered += usize::from(!told.is_empty());
        cancelled += usize::from(told.contains(&"cancelled"));
        changed += usize::from(told.windows(2).any(|pair| pair[0] != pair[1]));
    }
    record.say(&format!(
        "{answered} of {ORDERS} requests of the class send got an answer; {cancelled} were told to be cancelled, which nobody \
         asked for; {changed} were told something else when asked for again"
    ));
    if answered != ORDERS {
        return Err(io::Error::other("not all requests were answered"));
    }
    Ok(cancelled == 0 && changed == 0)
}

/// What the last line of an answer says.
fn kind(response: &http::Response) -> &'static str {
    let line = rpc::last_line(response);
    let kinds = [
        ("\"result\"", "served"),
        ("-32000", "refused"),
        ("-32001", "failed"),
        ("-32002", "cancelled"),
    ];
    let known = kinds.iter().find(|(mark, _)| line.contains(mark));
    known.map_or("other", |(_, kind)| kind)
}

/// Asks c1, and once it has an answer, c2 for the same request. Returns the final answers it was told, in order.
fn client(i: usize, addresses: &[SocketAddr], record: &Record) -> Vec<&'static str> {
    let order = format!("order-{i}");
    let body = rpc::completion("send", &order, 9900);
    let mut told = Vec::new();
    for (member, address) in addresses.iter().enumerate().take(2) {
        record.line(&format!("client {i}: asks c{} for {order}", member + 1));
        let answer = rpc::post(*address, &body, Duration::from_secs(15))
            .and_then(|mut connection| http::read_response(&mut connection));
        match answer {
            Ok(response) => {
                record.line(&format!(
                    "client {i}: {order}: {} {}",
                    response.status,
                    rpc::last_line(&response)
                ));
                told.push(kind(&response));
            }
            Err(error) => record.line(&format!("client {i}: {order}: {error}")),
        }
        sleep_ms(300);
    }
    told
}
