//! Case 2: a device's link drops just after its `send` was taken, and the device asks again under the same name. The
//! request may not run a second time.

use review_standins::{
    BROKEN, COULD_NOT_RUN, Client, HELD, Message, Record, Router, STREAM_HEAD, States,
    answer_common, delta, end_after, free_address, has_trouble, lock, operator_file, post,
    prompt_of, reader, refuse_without_state, serve, stream_end, unused_tool_side,
};
use std::collections::HashMap;
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

const ORDERS: usize = 8;
/// How long a writer works before its first token; the class's aim is 2.5 s.
const FIRST_TOKEN: Duration = Duration::from_secs(1);
/// How long after the writer got the request the link drops, and how long the device is away.
const DROP_AFTER: Duration = Duration::from_millis(200);
const AWAY: Duration = Duration::from_millis(500);

/// How often each order ran, by its words.
type Runs = Arc<Mutex<HashMap<String, usize>>>;

/// A writer that begins to run a request when its last byte has arrived, and goes on with it when nobody listens.
fn writer(states: Arc<States>, runs: Runs, record: Arc<Record>) -> SocketAddr {
    serve(move |message, stream| {
        if let Some(done) = answer_common(message, stream, &states)
            .or_else(|| refuse_without_state(message, stream, &states))
        {
            return done;
        }
        let (order, id) = (prompt_of(message), message.header("x-request-id"));
        let run = {
            let mut runs = lock(&runs);
            let count = runs.entry(order.clone()).or_default();
            *count += 1;
            *count
        };
        record.line(format!(
            "writer runs {order} (id {id}), run {run}: {}",
            message.text()
        ));
        thread::sleep(FIRST_TOKEN);
        record.line(format!("writer has dispatched {order}, run {run}"));
        let answer = [
            STREAM_HEAD.to_owned(),
            delta("dispatched "),
            delta(&order),
            stream_end(),
        ];
        stream.write_all(answer.concat().as_bytes())?;
        Ok(true)
    })
}

/// The link between the device and the router: passes bytes on until it drops.
struct Link {
    address: SocketAddr,
    open: Arc<Mutex<Vec<TcpStream>>>,
}

impl Link {
    fn start(router: SocketAddr) -> Link {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a loopback port is free");
        let address = listener.local_addr().expect("the listener has an address");
        let open = Arc::<Mutex<Vec<TcpStream>>>::default();
        let passed = open.clone();
        thread::spawn(move || {
            for near in listener.incoming().flatten() {
                let Ok(far) = TcpStream::connect(router) else {
                    continue;
                };
                for (from, to) in [(&near, &far), (&far, &near)] {
                    let (Ok(mut from), Ok(mut to)) = (from.try_clone(), to.try_clone()) else {
                        continue;
                    };
                    let _ = to.set_nodelay(true);
                    thread::spawn(move || {
                        let mut bytes = [0; 4096];
                        while let Ok(n) = from.read(&mut bytes) {
                            if n == 0 || to.write_all(&bytes[..n]).is_err() {
                                break;
                            }
                        }
                        let _ = to.shutdown(Shutdown::Write);
                    });
                }
                lock(&passed).extend([near, far]);
            }
        });
        Link { address, open }
    }

    /// Ends all connections that go over the link.
    fn drop_all(&self) {
        for stream in lock(&self.open).drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }
}

/// A request under a lasting name; a further one asks for the rest, as the README says.
fn request(order: &str, is_again: bool) -> String {
    let rest = if is_again {
        ",\"resume\":{\"text\":\"\",\"calls\":0}"
    } else {
        ""
    };
    let body = format!(
        "{{\"jsonrpc\":\"2.0\",\"id\":1,\"method\":\"send\",\"params\":{{\"request\":\"{order}\",\"deadline_ms\":9000,\"max_out\":100,\"messages\":[{{\"role\":\"user\",\"content\":\"{order}\"}}]{rest}}}}}"
    );
    post("/rpc", &[], &body)
}

/// Sends an order over the link; its answer, or `None` if the link dropped.
fn ask(link: &Link, order: &str, is_again: bool, record: &Record) -> Option<Message> {
    let what = if is_again {
        "asks for the rest of"
    } else {
        "asks"
    };
    record.line(format!("device {what} {order}"));
    let answer = Client::connect(link.address)
        .and_then(|mut client| client.ask(&request(order, is_again)))
        .ok()
        .filter(|answer| answer.is_whole);
    let text = answer.as_ref().map_or("the link dropped".into(), |answer| {
        format!("{} {}", answer.line, answer.text().trim())
    });
    record.line(format!("device got for {order}: {text}"));
    answer
}

/// Asks until there is a final answer.
fn ask_again(link: &Link, order: &str, record: &Record) {
    let begun = Instant::now();
    while begun.elapsed() < Duration::from_secs(9) {
        let answer = ask(link, order, true, record)
            .map(|answer| answer.text())
            .unwrap_or_default();
        // In hand still, or refused: to be asked again later.
        if !answer.contains("-32003") && !answer.contains("-32000") && !answer.is_empty() {
            return;
        }
        thread::sleep(Duration::from_millis(300));
    }
}

fn main() {
    end_after(Duration::from_secs(110));
    let record = Record::open();
    let (states, runs) = (Arc::<States>::default(), Runs::default());
    let note = record.clone();
    let reader = reader(
        states.clone(),
        |_| Duration::from_millis(50),
        move |message| {
            note.line(format!("reader reads {}", prompt_of(message)));
        },
    );
    let writer = writer(states, runs.clone(), record.clone());
    let tools = unused_tool_side();
    let listen = free_address();
    let hosts = [
        ("reader-1", reader, "prompt"),
        ("writer-1", writer, "answer"),
    ];
    let file = operator_file(listen, tools, &hosts);
    let Some(router) = Router::by_operator_file(&record, listen, &file) else {
        std::process::exit(COULD_NOT_RUN);
    };
    let link = Arc::new(Link::start(router.address));
    for number in 1..=ORDERS {
        let order = format!("order-{number}");
        let first = {
            let (link, order, record) = (link.clone(), order.clone(), record.clone());
            thread::spawn(move || ask(&link, &order, false, &record).is_some())
        };
        let begun = Instant::now();
        while !lock(&runs).contains_key(&order) && begun.elapsed() < Duration::from_secs(5) {
            thread::sleep(Duration::from_millis(5));
        }
        if has_trouble() {
            thread::sleep(DROP_AFTER);
            record.line("the link drops");
            link.drop_all();
        }
        let is_answered = first.join().unwrap_or(false);
        if !is_answered {
            thread::sleep(AWAY);
            ask_again(&link, &order, &record);
        }
    }
    drop(router);
    let runs = lock(&runs).clone();
    let twice = runs.values().filter(|count| **count > 1).count();
    let summary = format!("{} orders ran, {twice} of them more than once", runs.len());
    record.line(&summary);
    println!("{summary}");
    std::process::exit(match (runs.len(), twice) {
        (ORDERS, 0) => HELD,
        (_, 0) => COULD_NOT_RUN,
        _ => BROKEN,
    });
}
