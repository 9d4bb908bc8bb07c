//! A new version takes over an address while streams with tool calls run; a writer dies right after its tool call left.

use crate::http;
use crate::rpc::{self, Member, Placed};
use crate::world::*;
use std::collections::{BTreeMap, BTreeSet};
use std::io;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

const ORDERS: usize = 4;

/// What the stand-ins have seen.
#[derive(Default)]
struct Seen {
    /// Whether writers may make their tool calls.
    may_call: bool,
    /// How often the tool has run for each order.
    tool_runs: BTreeMap<String, usize>,
    /// Ids whose tool result has come back to its writer.
    results: BTreeSet<String>,
}

/// Waits until `is_met`, for ten seconds at most.
fn wait_for(seen: &Mutex<Seen>, is_met: impl Fn(&Seen) -> bool) -> bool {
    let until = Instant::now() + Duration::from_secs(10);
    while Instant::now() < until {
        if is_met(&lock(seen)) {
            return true;
        }
        sleep_ms(2);
    }
    false
}

pub fn run(folder: &Path, trouble: bool) -> io::Result<bool> {
    let record = Record::create(folder)?;
    let temp = TempFolder::create("upgrade")?;
    let fleet = Arc::new(Fleet::default());
    let seen: Arc<Mutex<Seen>> = Arc::default();
    let tools = tool_side(&seen, &record)?;
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
        let (fleet, record, seen) = (fleet.clone(), record.clone(), seen.clone());
        serve(listener, move |request, stream| {
            if let Some(done) = fleet.release(request, stream) {
                return done;
            }
            if let Some(id) = request.path.strip_prefix("/internal/tool-results/") {
                lock(&seen).results.insert(id.to_owned());
                return http::send(stream, b"HTTP/1.1 204 No Content\r\n\r\n");
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
            let is_resumed = String::from_utf8_lossy(&request.body).contains("\"resume\"");
            http::send(stream, http::STREAM_HEAD.as_bytes())?;
            if !is_resumed {
                http::send(stream, http::chunk(&http::event("Clause 4 ")).as_bytes())?;
                wait_for(&seen, |seen| seen.may_call);
            }
            record.line(&format!(
                "{name}: {order}, resumed: {is_resumed}, calls the tool"
            ));
            let call = "data: {\"jsonrpc\":\"2.0\",\"id\":\"w\",\"method\":\"annex\",\"params\":{\"clause\":4}}\n\n";
            http::send(stream, http::chunk(call).as_bytes())?;
            if !is_resumed {
                wait_for(&seen, |seen| seen.tool_runs.contains_key(&order));
                record.line(&format!(
                    "{name}: dies under {order}, its tool call has left"
                ));
                return Err(io::ErrorKind::ConnectionReset.into());
            }
            wait_for(&seen, |seen| seen.results.contains(id));
            let end = http::chunk(&http::event("is fine."))
                + &http::chunk(&http::last_events())
                + http::LAST_CHUNK;
            http::send(stream, end.as_bytes())
        });
    }
    let member = Member {
        name: "edge-1".to_owned(),
        zone: "here",
        listen: free_address()?,
        peer: free_address()?,
    };
    let file = rpc::write_alone_with_tools(&temp.0, &member, &hosts, Some(tools))?;
    let start = || Router::serve_file(&temp.0, &member.name, member.listen, &file);
    let old = start()?;
    let clients: Vec<_> = (0..ORDERS)
        .map(|i| {
            let (record, listen) = (record.clone(), member.listen);
            thread::spawn(move || client(i, listen, &record).is_ok())
        })
        .collect();
    sleep_ms(1000);
    let mut new = None;
    if trouble {
        let second = start()?;
        let until = Instant::now() + Duration::from_secs(6);
        while second.log().matches(" serves on ").count() < 2 && Instant::now() < until {
            sleep_ms(20);
        }
        record.line("a second process serves the address; the first one gets SIGTERM");
        old.signal("TERM")?;
        new = Some(second);
        sleep_ms(600);
    }
    lock(&seen).may_call = true;
    let mut done = 0;
    for client in clients {
        done += usize::from(client.join().unwrap_or(false));
    }
    drop(new);
    let seen = lock(&seen);
    let twice = seen.tool_runs.values().filter(|runs| **runs > 1).count();
    record.say(&format!(
        "{done} of {ORDERS} orders got their whole answer; for {twice} of them the tool ran more than once"
    ));
    if done != ORDERS {
        return Err(io::Error::other("not all orders were answered"));
    }
    Ok(twice == 0)
}

/// The tool side: it runs whatever it is called for, and takes 50 ms.
fn tool_side(seen: &Arc<Mutex<Seen>>, record: &Arc<Record>) -> io::Result<SocketAddr> {
    let (listener, address) = listener()?;
    let (seen, record) = (seen.clone(), record.clone());
    serve(listener, move |request, stream| {
        let key = request.header("idempotency-key").to_owned();
        let order = key.split('/').next().unwrap_or_default().to_owned();
        *lock(&seen).tool_runs.entry(order).or_default() += 1;
        record.line(&format!("tool: runs {key}"));
        sleep_ms(50);
        let answer =
            format!("{{\"jsonrpc\":\"2.0\",\"id\":\"{key}\",\"result\":{{\"annex\":\"B\"}}}}");
        let headers = "content-type: application/json\r\n";
        http::send(stream, &http::answer("200 OK", headers, &answer))
    });
    Ok(address)
}

fn client(i: usize, listen: SocketAddr, record: &Record) -> io::Result<()> {
    let order = format!("order-{i}");
    let mut body = rpc::completion("send", &order, 9000);
    for _ in 0..5 {
        let mut connection = rpc::post(listen, &body, Duration::from_secs(20))?;
        let response = http::read_response(&mut connection)?;
        let line = rpc::last_line(&response);
        record.line(&format!(
            "client {i}: {order}: {}, whole: {}, last line {line}",
            response.status, response.is_whole
        ));
        if response.is_whole && line.contains("\"result\"") {
            return Ok(());
        }
        sleep_ms(100);
        record.line(&format!("client {i}: asks for the rest of {order}"));
        body = rpc::completion("send", &order, 9000).replace(
            "\"messages\"",
            "\"resume\":{\"text\":\"Clause 4 \",\"calls\":0},\"messages\"",
        );
    }
    Err(io::Error::other("no whole answer"))
}
