//! Case 3: some hundred clients ask at once by the JSON-RPC front. The router may not go over its memory limit, or the
//! platform kills it with all that it has in hand.

use review_standins::{
    BROKEN, COULD_NOT_RUN, Client, HELD, Message, Record, Router, STREAM_HEAD, States,
    answer_common, delta, end_after, free_address, has_trouble, operator_file, post, reader,
    refuse_without_state, serve, stream_end, unused_tool_side,
};
use std::io::Write;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::thread;
use std::time::Duration;

/// `limits.memory_mb` of the operator's file.
const MEMORY_MB: f64 = 192.0;
/// A third of the 1,024 descriptors, which is what clients hold at most for requests.
const CLIENTS: usize = 340;
/// How many of them ask at the same time without the disruption.
const FEW: usize = 8;
/// Characters of a prompt. Each is escaped in JSON, as a client's library does by default with letters that are not ASCII.
const CHARACTERS: usize = 31_600;
const WARM_UP: usize = 20;

/// How long a reader takes: 20,000 tokens a second, of which one is four characters, each six bytes long here.
fn read_time(message: &Message) -> Duration {
    Duration::from_secs_f64(message.body.len() as f64 / 24.0 / 20_000.0)
}

/// A sound writer.
fn writer(states: Arc<States>) -> SocketAddr {
    serve(move |message, stream| {
        if let Some(done) = answer_common(message, stream, &states)
            .or_else(|| refuse_without_state(message, stream, &states))
        {
            return done;
        }
        thread::sleep(Duration::from_millis(100));
        let answer = [STREAM_HEAD.to_owned(), delta("done"), stream_end()];
        stream.write_all(answer.concat().as_bytes())?;
        Ok(true)
    })
}

fn request(name: &str, characters: usize) -> String {
    let text = "\\u0436".repeat(characters);
    let body = format!(
        "{{\"jsonrpc\":\"2.0\",\"id\":1,\"method\":\"explain\",\"params\":{{\"request\":\"{name}\",\"deadline_ms\":5900,\"prompt_len\":{},\"max_out\":100,\"messages\":[{{\"role\":\"user\",\"content\":\"{text}\"}}]}}}}",
        characters / 4
    );
    post("/rpc", &[], &body)
}

/// What became of the clients' requests.
#[derive(Default)]
struct Answers {
    served: AtomicUsize,
    refused: AtomicUsize,
    lost: AtomicUsize,
}

impl Answers {
    /// Asks once on a connection of its own.
    fn ask(&self, router: SocketAddr, name: &str, characters: usize, record: &Record) {
        let request = request(name, characters);
        let answer = Client::connect(router).and_then(|mut client| client.ask(&request));
        let (counter, text) = match answer {
            Ok(answer) if answer.is_whole && answer.second_word() == "200" => {
                (&self.served, answer.line)
            }
            Ok(answer) if answer.is_whole => (&self.refused, answer.line),
            Ok(_) => (&self.lost, "cut off".to_owned()),
            Err(error) => (&self.lost, format!("no answer: {error}")),
        };
        counter.fetch_add(1, Ordering::Relaxed);
        record.line(format!("{name} ({} bytes): {text}", request.len()));
    }
}

/// Anonymous memory of the router in MiB: the least that can be counted as its memory.
fn memory_mb(pid: u32) -> Option<f64> {
    let status = std::fs::read_to_string(format!("/proc/{pid}/status")).ok()?;
    let line = status.lines().find(|line| line.starts_with("RssAnon:"))?;
    let kilobytes: f64 = line.split_whitespace().nth(1)?.parse().ok()?;
    Some(kilobytes / 1024.0)
}

/// The platform: kills the router over its memory limit. Returns the most that was seen.
fn watch_memory(pid: u32, record: &Record, is_over: &AtomicBool, is_done: &AtomicBool) -> f64 {
    let mut most = 0.0_f64;
    while !is_done.load(Ordering::Relaxed) {
        let memory = memory_mb(pid).unwrap_or(0.0);
        most = most.max(memory);
        if memory > MEMORY_MB && !is_over.swap(true, Ordering::Relaxed) {
            record.line(format!(
                "the platform kills the router: {memory:.0} MB of {MEMORY_MB:.0}"
            ));
            review_standins::kill(pid);
        }
        thread::sleep(Duration::from_millis(5));
    }
    most
}

fn main() {
    end_after(Duration::from_secs(110));
    let record = Record::open();
    let states = Arc::<States>::default();
    let start_reader = || reader(states.clone(), read_time, |_| ());
    let (reader_1, reader_2) = (start_reader(), start_reader());
    let (writer_1, writer_2) = (writer(states.clone()), writer(states.clone()));
    let tools = unused_tool_side();
    let listen = free_address();
    let hosts = [
        ("reader-1", reader_1, "prompt"),
        ("reader-2", reader_2, "prompt"),
        ("writer-1", writer_1, "answer"),
        ("writer-2", writer_2, "answer"),
    ];
    let Some(router) =
        Router::by_operator_file(&record, listen, &operator_file(listen, tools, &hosts))
    else {
        std::process::exit(COULD_NOT_RUN);
    };
    let (is_over, is_done) = (Arc::<AtomicBool>::default(), Arc::<AtomicBool>::default());
    let platform = {
        let (pid, record) = (router.pid(), record.clone());
        let (is_over, is_done) = (is_over.clone(), is_done.clone());
        thread::spawn(move || watch_memory(pid, &record, &is_over, &is_done))
    };
    let (warm_up, answers) = (Answers::default(), Arc::<Answers>::default());
    for number in 0..WARM_UP {
        warm_up.ask(
            router.address,
            &format!("first-{number}"),
            CHARACTERS,
            &record,
        );
    }
    let at_once = if has_trouble() { CLIENTS } else { FEW };
    record.line(format!("{CLIENTS} clients ask, {at_once} at a time"));
    let numbers: Vec<usize> = (0..CLIENTS).collect();
    for group in numbers.chunks(at_once) {
        let clients: Vec<_> = group
            .iter()
            .map(|number| {
                let (answers, record, address) = (answers.clone(), record.clone(), router.address);
                let name = format!("order-{number}");
                thread::spawn(move || answers.ask(address, &name, CHARACTERS, &record))
            })
            .collect();
        for client in clients {
            let _ = client.join();
        }
    }
    is_done.store(true, Ordering::Relaxed);
    let most = platform.join().unwrap_or(0.0);
    drop(router);
    let count = |counter: &AtomicUsize| counter.load(Ordering::Relaxed);
    let is_over = is_over.load(Ordering::Relaxed);
    let summary = format!(
        "{most:.0} MB of {MEMORY_MB:.0} at most, {}; {} served, {} refused, {} lost",
        if is_over {
            "killed for it"
        } else {
            "within the limit"
        },
        count(&answers.served),
        count(&answers.refused),
        count(&answers.lost)
    );
    record.line(&summary);
    println!("{summary}");
    let has_run = count(&warm_up.served) > 0 && most > 0.0;
    std::process::exit(match (has_run, is_over) {
        (false, _) => COULD_NOT_RUN,
        (true, false) => HELD,
        (true, true) => BROKEN,
    });
}
