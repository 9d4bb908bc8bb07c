//! Stand-ins for the clients, model hosts and platform of the review's cases: HTTP/1.1 over loopback sockets, one
//! thread a connection, the standard library alone.

use std::collections::{HashMap, HashSet};
use std::fmt::Write as _;
use std::fs::File;
use std::io::{self, BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

/// Exit status: the rule held, was broken, or the case could not run.
pub const HELD: i32 = 0;
/// See [`HELD`].
pub const BROKEN: i32 = 1;
/// See [`HELD`].
pub const COULD_NOT_RUN: i32 = 2;

/// Locks a mutex, also after a panic of another thread.
pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Whether the case plays its disruption (`TROUBLE=0` leaves it out).
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

/// What was sent, answered and run, with the time since the start of the case.
pub struct Record {
    start: Instant,
    file: Mutex<File>,
}

impl Record {
    /// Opens the file named by `RECORD`.
    pub fn open() -> Arc<Record> {
        let path = std::env::var("RECORD").unwrap_or_else(|_| "record.txt".into());
        let file = Mutex::new(File::create(path).expect("the record can be written"));
        let start = Instant::now();
        Arc::new(Record { start, file })
    }

    /// Seconds since the start of the case.
    pub fn now(&self) -> f64 {
        self.start.elapsed().as_secs_f64()
    }

    /// Writes one line.
    pub fn line(&self, text: impl AsRef<str>) {
        let now = self.now();
        let _ = writeln!(lock(&self.file), "{now:9.4} {}", text.as_ref());
    }
}

/// A request or response as it was read.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// The first line.
    pub line: String,
    /// Headers by lower-case name.
    pub headers: HashMap<String, String>,
    /// The body, as far as it came.
    pub body: Vec<u8>,
    /// Whether the body came to its end.
    pub is_whole: bool,
}

impl Message {
    /// Reads a whole message; `None` if the connection ends before its head does.
    pub fn read(from: &mut impl BufRead) -> Option<Message> {
        let mut message = Message::default();
        from.read_line(&mut message.line).ok().filter(|n| *n > 0)?;
        loop {
            let mut line = String::new();
            from.read_line(&mut line).ok().filter(|n| *n > 0)?;
            let Some((name, value)) = line.trim_end().split_once(':') else {
                break;
            };
            let (name, value) = (name.to_lowercase(), value.trim().to_owned());
            message.headers.insert(name, value);
        }
        message.line.truncate(message.line.trim_end().len());
        if message.headers.contains_key("transfer-encoding") {
            while let Some(chunk) = read_chunk(from) {
                if chunk.is_empty() {
                    message.is_whole = true;
                    break;
                }
                message.body.extend(chunk);
            }
        } else {
            let length = message.header("content-length").parse().unwrap_or(0);
            message.body.resize(length, 0);
            message.is_whole = from.read_exact(&mut message.body).is_ok();
        }
        Some(message)
    }

    /// A header by its lower-case name; empty if it is missing.
    pub fn header(&self, name: &str) -> &str {
        self.headers.get(name).map_or("", String::as_str)
    }

    /// The second word of the first line: a request's path or a response's status.
    pub fn second_word(&self) -> &str {
        self.line.split(' ').nth(1).unwrap_or("")
    }

    /// The body as text.
    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

fn read_chunk(from: &mut impl BufRead) -> Option<Vec<u8>> {
    let mut size = String::new();
    from.read_line(&mut size).ok().filter(|n| *n > 0)?;
    let mut chunk = vec![0; usize::from_str_radix(size.trim(), 16).ok()? + 2];
    from.read_exact(&mut chunk).ok()?;
    chunk.truncate(chunk.len() - 2);
    Some(chunk)
}

/// One chunk of a chunked body.
pub fn chunk(data: &str) -> String {
    format!("{:x}\r\n{data}\r\n", data.len())
}

/// An event of a model host's stream with a piece of the answer, as a chunk.
pub fn delta(text: &str) -> String {
    chunk(&format!(
        "data: {{\"choices\":[{{\"index\":0,\"delta\":{{\"content\":\"{text}\"}},\"finish_reason\":null}}]}}\n\n"
    ))
}

/// The last events of a model host's stream, and its last chunk.
pub fn stream_end() -> String {
    let events = [
        "data: {\"choices\":[{\"index\":0,\"delta\":{},\"finish_reason\":\"stop\"}]}\n\n",
        "data: {\"choices\":[],\"usage\":{\"prompt_tokens\":500,\"completion_tokens\":3,\"prompt_tokens_details\":{\"cached_tokens\":0}}}\n\n",
        "data: [DONE]\n\n",
    ];
    let mut text: String = events.iter().map(|event| chunk(event)).collect();
    text.push_str("0\r\n\r\n");
    text
}

/// The head of a model host's stream.
pub const STREAM_HEAD: &str =
    "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n";

/// Accepts connections and answers each request with `answer`, which returns whether the connection stays open.
pub fn serve(
    answer: impl Fn(&Message, &mut TcpStream) -> io::Result<bool> + Send + Sync + 'static,
) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a loopback port is free");
    let address = listener.local_addr().expect("the listener has an address");
    let answer = Arc::new(answer);
    thread::spawn(move || {
        for stream in listener.incoming() {
            let (Ok(mut stream), answer) = (stream, answer.clone()) else {
                continue;
            };
            thread::spawn(move || -> io::Result<()> {
                stream.set_nodelay(true)?;
                let mut reader = BufReader::new(stream.try_clone()?);
                while let Some(message) = Message::read(&mut reader).filter(|m| m.is_whole) {
                    if !answer(&message, &mut stream)? {
                        break;
                    }
                }
                Ok(())
            });
        }
    });
    address
}

/// The states that the readers hold, shared by the hosts of a case.
#[derive(Default)]
pub struct States(Mutex<HashSet<String>>);

impl States {
    /// Holds a state for a request.
    pub fn hold(&self, id: &str) {
        lock(&self.0).insert(id.to_owned());
    }

    /// Fetches or drops a state; whether there was one.
    pub fn take(&self, id: &str) -> bool {
        lock(&self.0).remove(id)
    }
}

/// Answers what a reader and a writer answer alike; `None` for an attempt.
pub fn answer_common(
    message: &Message,
    stream: &mut TcpStream,
    states: &States,
) -> Option<io::Result<bool>> {
    let answer: &[u8] = if message.line.starts_with("DELETE /internal/reservations/") {
        states.take(message.second_word().rsplit('/').next().unwrap_or(""));
        b"HTTP/1.1 204 No Content\r\n\r\n"
    } else if message.line.starts_with("POST /v1/chat/completions")
        && !message.header("x-request-id").is_empty()
    {
        return None;
    } else {
        b"HTTP/1.1 404 Not Found\r\ncontent-length: 0\r\n\r\n"
    };
    Some(stream.write_all(answer).map(|()| true))
}

/// A sound reader that takes as long for a prompt as `time` says. `note` is called as the last byte of an attempt has
/// arrived.
pub fn reader(
    states: Arc<States>,
    time: impl Fn(&Message) -> Duration + Send + Sync + 'static,
    note: impl Fn(&Message) + Send + Sync + 'static,
) -> SocketAddr {
    serve(move |message, stream| {
        if let Some(done) = answer_common(message, stream, &states) {
            return done;
        }
        note(message);
        thread::sleep(time(message));
        states.hold(message.header("x-request-id"));
        let body = "{\"cached_tokens\":0}";
        let head = format!(
            "HTTP/1.1 202 Accepted\r\ncontent-length: {}\r\n\r\n",
            body.len()
        );
        stream.write_all((head + body).as_bytes())?;
        Ok(true)
    })
}

/// Turns an attempt away whose state is not held; `None` if there was one, which is fetched.
pub fn refuse_without_state(
    message: &Message,
    stream: &mut TcpStream,
    states: &States,
) -> Option<io::Result<bool>> {
    if states.take(message.header("x-request-id")) {
        return None;
    }
    let answer = b"HTTP/1.1 410 Gone\r\nx-not-run: 1\r\ncontent-length: 0\r\n\r\n";
    Some(stream.write_all(answer).map(|()| true))
}

/// One entry of the list of hosts, in discovery's form.
pub fn host_entry(name: &str, dial: SocketAddr, kind: &str) -> String {
    format!(
        "{{\"host\":\"{name}\",\"dial\":\"{dial}\",\"site\":\"milano\",\"class\":\"{kind}\",\"block\":0,\"health\":\"ready\",\"share\":1.0,\"born_ms\":0}}"
    )
}

/// Discovery's agent with a list that does not change.
pub fn discovery(list: String) -> SocketAddr {
    serve(move |message, stream| {
        if !message.second_word().contains("watch=1") {
            let head = format!(
                "HTTP/1.1 200 OK\r\ncontent-type: application/json\r\ncontent-length: {}\r\n\r\n",
                list.len()
            );
            stream.write_all((head + &list).as_bytes())?;
            return Ok(true);
        }
        stream.write_all(b"HTTP/1.1 200 OK\r\ncontent-type: application/json\r\ntransfer-encoding: chunked\r\n\r\n")?;
        if !message.second_word().contains("after=1") {
            stream.write_all(chunk(&format!("{list}\n")).as_bytes())?;
        }
        loop {
            thread::sleep(Duration::from_secs(2));
            stream.write_all(chunk("\n").as_bytes())?;
        }
    })
}

/// A loopback address that nobody listens on at the moment.
pub fn free_address() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a loopback port is free");
    listener.local_addr().expect("the listener has an address")
}

/// The program under test, ended when dropped.
pub struct Router {
    child: Child,
    /// Where clients connect.
    pub address: SocketAddr,
}

impl Router {
    /// Starts it on the platform's terms, with the command of the deploy file.
    pub fn on_platform(
        record: &Record,
        address: SocketAddr,
        discovery: SocketAddr,
        config: &str,
    ) -> Option<Router> {
        let file = temporary_file("config.json", config);
        let mut command = Command::new("/bin/sh");
        command
            .args(["-c", "exec target/release/whinhaven"])
            .env("NODE_NAME", "n1")
            .env("NODE_LISTEN", address.to_string())
            .env("NODE_DISCOVERY", discovery.to_string())
            .env("NODE_CONFIG", file);
        Router::start(record, address, command)
    }

    /// Starts it by an operator's file.
    pub fn by_operator_file(record: &Record, address: SocketAddr, text: &str) -> Option<Router> {
        let file = temporary_file("operator.toml", text);
        let mut command = Command::new("/bin/sh");
        command
            .args(["-c", "exec target/release/whinhaven serve \"$FILE\""])
            .env("FILE", file);
        Router::start(record, address, command)
    }

    /// The id of its process.
    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    /// Waits until it says that it is ready; `None` if it does not in time.
    fn start(record: &Record, address: SocketAddr, mut command: Command) -> Option<Router> {
        let log = File::create(temporary_folder().join("router.log")).ok()?;
        let child = command
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .spawn()
            .ok()?;
        let _ = std::fs::write(temporary_folder().join("pid"), child.id().to_string());
        let router = Router { child, address };
        for _ in 0..200 {
            let answer = Client::connect(address)
                .and_then(|mut client| client.ask("GET /healthz HTTP/1.1\r\nhost: router\r\n\r\n"));
            if answer.is_ok_and(|answer| answer.second_word() == "200") {
                record.line(format!("the router is ready at {address}"));
                return Some(router);
            }
            thread::sleep(Duration::from_millis(50));
        }
        record.line("the router did not become ready");
        None
    }
}

impl Drop for Router {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

fn temporary_folder() -> PathBuf {
    std::env::temp_dir()
}

fn temporary_file(name: &str, text: &str) -> PathBuf {
    let path = temporary_folder().join(name);
    std::fs::write(&path, text).expect("the temporary folder can be written");
    path
}

/// A client's connection.
pub struct Client {
    stream: TcpStream,
    reader: BufReader<TcpStream>,
}

impl Client {
    /// Opens a connection.
    pub fn connect(address: SocketAddr) -> io::Result<Client> {
        let stream = TcpStream::connect(address)?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(Duration::from_secs(20)))?;
        let reader = BufReader::new(stream.try_clone()?);
        Ok(Client { stream, reader })
    }

    /// Sends a request.
    pub fn send(&mut self, request: &str) -> io::Result<()> {
        self.stream.write_all(request.as_bytes())
    }

    /// Reads the answer.
    pub fn answer(&mut self) -> io::Result<Message> {
        Message::read(&mut self.reader).ok_or_else(|| io::ErrorKind::UnexpectedEof.into())
    }

    /// Sends a request and reads its answer.
    pub fn ask(&mut self, request: &str) -> io::Result<Message> {
        self.send(request)?;
        self.answer()
    }
}

/// A POST with a JSON body.
pub fn post(path: &str, headers: &[(&str, &str)], body: &str) -> String {
    let mut request =
        format!("POST {path} HTTP/1.1\r\nhost: api.internal\r\ncontent-type: application/json\r\n");
    for (name, value) in headers {
        let _ = write!(request, "{name}: {value}\r\n");
    }
    let _ = write!(request, "content-length: {}\r\n\r\n{body}", body.len());
    request
}

/// The `settings` of a small deployment, as JSON, after the pages' example.
pub const SETTINGS_JSON: &str = include_str!("settings.json");
/// The same as the tables of an operator's file, without the list of hosts.
pub const SETTINGS_TOML: &str = include_str!("settings.toml");

/// Ends the case after `limit`, if it has not ended by itself.
pub fn end_after(limit: Duration) {
    thread::spawn(move || {
        thread::sleep(limit);
        let pid = std::fs::read_to_string(temporary_folder().join("pid"));
        if let Some(pid) = pid.ok().and_then(|pid| pid.trim().parse().ok()) {
            kill(pid);
        }
        eprintln!("the case took too long");
        std::process::exit(COULD_NOT_RUN);
    });
}

/// An operator's file for a router with the JSON-RPC front: hosts by name, address and kind.
pub fn operator_file(
    listen: SocketAddr,
    tools: SocketAddr,
    hosts: &[(&str, SocketAddr, &str)],
) -> String {
    let mut text = format!(
        "name = \"edge-1\"\nlisten = \"{listen}\"\n\n[limits]\nmemory_mb = 192\nsockets = 1024\n\n[tools]\ndial = \"{tools}\"\n\n{SETTINGS_TOML}\n[known]\nseq = 1\nwhole = true\n"
    );
    for (name, dial, kind) in hosts {
        let _ = write!(
            text,
            "\n[[known.hosts]]\nhost = \"{name}\"\ndial = \"{dial}\"\nsite = \"here\"\nclass = \"{kind}\"\nhealth = \"ready\"\n"
        );
    }
    text
}

/// A tool side that none of the cases calls.
pub fn unused_tool_side() -> SocketAddr {
    serve(|_, stream| {
        stream.write_all(b"HTTP/1.1 404 Not Found\r\ncontent-length: 0\r\n\r\n")?;
        Ok(true)
    })
}

/// The words of a prompt's only message.
pub fn prompt_of(message: &Message) -> String {
    let text = message.text();
    let content = text.split("\"content\":\"").nth(1).unwrap_or("");
    content.split('"').next().unwrap_or("").to_owned()
}

/// Sends SIGKILL, by the `kill` of the shell, which every machine has.
pub fn kill(pid: u32) {
    let _ = Command::new("/bin/sh")
        .args(["-c", &format!("kill -9 {pid}")])
        .status();
}
