//! Scripted peers on loopback sockets and a conductor between them, for the stories.
#![allow(dead_code)]

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex, mpsc};
use std::thread;
use std::time::Duration;

/// Nothing here takes this long; a story that waits for it has failed.
pub const STUCK: Duration = Duration::from_secs(20);

/// A message as a peer reads it.
#[derive(Debug, Default, Clone)]
pub struct Message {
    /// The first line.
    pub line: String,
    /// All header lines, lower-cased names.
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// Whether the body came to its proper end.
    pub whole: bool,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(n, _)| n == name).map(|(_, v)| v.as_str())
    }

    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }

    /// The status of a response.
    pub fn status(&self) -> u16 {
        self.line.split(' ').nth(1).and_then(|s| s.parse().ok()).unwrap_or(0)
    }

    /// Reads a head; the body too unless it is chunked.
    fn read_head(from: &mut impl BufRead) -> Option<Message> {
        let mut message = Message::default();
        from.read_line(&mut message.line).ok().filter(|n| *n > 0)?;
        loop {
            let mut line = String::new();
            from.read_line(&mut line).ok().filter(|n| *n > 0)?;
            let Some((name, value)) = line.trim_end().split_once(':') else { break };
            message.headers.push((name.to_lowercase(), value.trim().to_owned()));
        }
        message.line = message.line.trim_end().to_owned();
        Some(message)
    }

    pub fn read(from: &mut impl BufRead) -> Option<Message> {
        let mut message = Message::read_head(from)?;
        if message.header("transfer-encoding").is_some() {
            while let Some(chunk) = read_chunk(from) {
                message.whole = chunk.is_empty();
                message.body.extend(&chunk);
                if chunk.is_empty() {
                    break;
                }
            }
        } else {
            let length = message.header("content-length").and_then(|l| l.parse().ok()).unwrap_or(0);
            message.body.resize(length, 0);
            message.whole = from.read_exact(&mut message.body).is_ok();
        }
        Some(message)
    }
}

/// One chunk; `None` when the connection ends instead.
fn read_chunk(from: &mut impl BufRead) -> Option<Vec<u8>> {
    let mut size = String::new();
    from.read_line(&mut size).ok().filter(|n| *n > 0)?;
    let mut chunk = vec![0; usize::from_str_radix(size.trim(), 16).ok()? + 2];
    from.read_exact(&mut chunk).ok()?;
    chunk.truncate(chunk.len() - 2);
    Some(chunk)
}

/// A connection as a script uses it.
pub struct Conn(pub TcpStream);

impl Conn {
    pub fn answer(&mut self, status: &str, headers: &str, body: &str) {
        let length = body.len();
        let _ = write!(self.0, "HTTP/1.1 {status}\r\n{headers}content-length: {length}\r\n\r\n{body}");
    }

    pub fn begin_stream(&mut self) {
        let head = "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n";
        let _ = self.0.write_all(head.as_bytes());
    }

    pub fn chunk(&mut self, data: &str) {
        let _ = write!(self.0, "{:x}\r\n{data}\r\n", data.len());
    }

    pub fn event(&mut self, data: &str) {
        self.chunk(&format!("data: {data}\n\n"));
    }

    pub fn delta(&mut self, text: &str) {
        self.event(&format!(
            r#"{{"choices":[{{"index":0,"delta":{{"content":"{text}"}},"finish_reason":null}}]}}"#
        ));
    }

    pub fn end_stream(&mut self) {
        self.event(
            r#"{"choices":[],"usage":{"prompt_tokens":9,"prompt_tokens_details":{"cached_tokens":4}}}"#,
        );
        self.event("[DONE]");
        let _ = self.0.write_all(b"0\r\n\r\n");
    }

    /// Whether the other side closes: blocks until it does or says something.
    pub fn is_closed(&mut self) -> bool {
        let _ = self.0.set_read_timeout(Some(STUCK));
        matches!(self.0.read(&mut [0]), Ok(0))
            || matches!(self.0.read(&mut [0]), Err(e) if e.kind() == std::io::ErrorKind::ConnectionReset)
    }
}

type Script = dyn Fn(&Message, &mut Conn) -> bool + Send + Sync;

/// A scripted peer: its script answers each message and says whether the connection is kept.
pub struct Peer {
    pub address: SocketAddr,
    open: Arc<Mutex<Vec<TcpStream>>>,
}

impl Peer {
    pub fn start(script: impl Fn(&Message, &mut Conn) -> bool + Send + Sync + 'static) -> Peer {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let script: Arc<Script> = Arc::new(script);
        let open = Arc::new(Mutex::new(Vec::new()));
        let all = open.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let script = script.clone();
                let _ = stream.set_nodelay(true);
                let mut all = all.lock().unwrap();
                all.retain(|s: &TcpStream| s.peer_addr().is_ok());
                all.push(stream.try_clone().unwrap());
                drop(all);
                thread::spawn(move || {
                    let mut from = BufReader::new(stream.try_clone().unwrap());
                    let mut conn = Conn(stream);
                    while let Some(message) = Message::read(&mut from) {
                        if !script(&message, &mut conn) {
                            break;
                        }
                    }
                    let _ = conn.0.shutdown(Shutdown::Both);
                });
            }
        });
        Peer { address, open }
    }

    /// Breaks all of its connections, as the death of its process would.
    pub fn kill(&self) {
        for stream in self.open.lock().unwrap().drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }

    /// A reader that reads whatever it is sent.
    pub fn reader() -> Peer {
        Peer::start(|message, conn| {
            match message.line.split(' ').next() {
                Some("POST") => conn.answer("202 Accepted", "", r#"{"cached_tokens":4}"#),
                _ => conn.answer("204 No Content", "", ""),
            }
            true
        })
    }

    /// An address at which nobody listens.
    pub fn nobody() -> SocketAddr {
        TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap()
    }
}

/// An address at which connections never come up, as at a machine cut off: a listener that takes nothing and
/// whose queue is full, so that further handshakes go unanswered. Silent while the value lives.
pub struct Silent {
    pub address: SocketAddr,
    _listener: TcpListener,
    _queued: Vec<TcpStream>,
}

impl Silent {
    pub fn start() -> Silent {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        socket2::SockRef::from(&listener).listen(0).unwrap();
        // One handshake fills a queue of none; should the system allow more, the next ones fill it.
        let fill = |_| TcpStream::connect_timeout(&address, Duration::from_millis(200)).ok();
        let queued = (0..3).map_while(fill).collect();
        Silent { address, _listener: listener, _queued: queued }
    }
}

/// An operator's file: readers, writers, and whatever follows.
pub fn operator_file(readers: &[SocketAddr], writers: &[SocketAddr], more: &str) -> String {
    let mut text =
        format!("name = \"test\"\nlisten = \"127.0.0.1:0\"\n{}\n", more.split("---").next().unwrap_or(""));
    text += include_str!("settings.toml");
    text += "[known]\nseq = 1\nwhole = true\n";
    for (kind, all) in [("prompt", readers), ("answer", writers)] {
        for (i, dial) in all.iter().enumerate() {
            text += &format!(
                "[[known.hosts]]\nhost = \"{kind}-{i}\"\ndial = \"{dial}\"\nsite = \"here\"\nclass = \"{kind}\"\nhealth = \"ready\"\n"
            );
        }
    }
    text + more.split("---").nth(1).unwrap_or("")
}

/// The program under test.
pub struct Conductor {
    child: Child,
    pub address: SocketAddr,
    log: mpsc::Receiver<String>,
    file: std::path::PathBuf,
}

impl Conductor {
    pub fn start(operator_file: &str) -> Conductor {
        static NUMBER: std::sync::atomic::AtomicU32 = std::sync::atomic::AtomicU32::new(0);
        let number = NUMBER.fetch_add(1, std::sync::atomic::Ordering::Relaxed);
        let file = std::env::temp_dir().join(format!("whinhaven-{}-{number}.toml", std::process::id()));
        std::fs::write(&file, operator_file).unwrap();
        let mut child = Command::new(env!("CARGO_BIN_EXE_whinhaven"))
            .args(["serve", file.to_str().unwrap()])
            .stderr(Stdio::piped())
            .spawn()
            .unwrap();
        let stderr = BufReader::new(child.stderr.take().unwrap());
        let (lines, log) = mpsc::channel();
        thread::spawn(move || stderr.lines().map_while(Result::ok).all(|line| lines.send(line).is_ok()));
        let mut conductor = Conductor { child, address: "127.0.0.1:1".parse().unwrap(), log, file };
        let line = conductor.wait_for("serves on ");
        let address = line.split("serves on ").nth(1).unwrap().split(',').next().unwrap();
        conductor.address = address.parse().unwrap();
        conductor
    }

    /// Waits for a line of the log.
    pub fn wait_for(&self, text: &str) -> String {
        loop {
            let line =
                self.log.recv_timeout(STUCK).unwrap_or_else(|_| panic!("no line with {text:?} in the log"));
            if line.contains(text) {
                return line;
            }
        }
    }

    /// Replaces its configuration and tells it so.
    pub fn reload(&self, operator_file: &str) {
        std::fs::write(&self.file, operator_file).unwrap();
        self.signal("-HUP");
    }

    pub fn signal(&self, name: &str) {
        let pid = self.child.id().to_string();
        assert!(Command::new("kill").args([name, &pid]).status().unwrap().success());
    }

    /// Ends it in order; its counters.
    pub fn stop(mut self) -> Counters {
        self.signal("-TERM");
        let line = self.wait_for("stopped; counters:");
        assert!(self.child.wait().unwrap().success());
        Counters(line)
    }

    pub fn connect(&self) -> TcpStream {
        let stream = TcpStream::connect(self.address).unwrap();
        stream.set_read_timeout(Some(STUCK)).unwrap();
        stream.set_nodelay(true).unwrap();
        stream
    }

    /// Sends bytes as they are and reads one answer.
    pub fn raw(&self, bytes: &[u8]) -> Message {
        let mut stream = self.connect();
        stream.write_all(bytes).unwrap();
        Message::read(&mut BufReader::new(stream)).unwrap_or_default()
    }

    /// A request in the platform's form.
    pub fn ask(&self, id: &str, class: &str) -> Message {
        self.raw(request(id, class, "hello").as_bytes())
    }

    pub fn rpc(&self, body: &str) -> Message {
        self.raw(rpc_request(body).as_bytes())
    }
}

impl Drop for Conductor {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_file(&self.file);
    }
}

pub fn request(id: &str, class: &str, body: &str) -> String {
    let length = body.len();
    format!(
        "POST /v1/chat/completions?x=1 HTTP/1.1\r\nhost: a\r\nx-request-id: {id}\r\nx-class: {class}\r\n\
         x-deadline: 8000m\r\nx-key: s-{id}\r\nx-extras: prompt_len=100,max_out=50\r\ncontent-length: {length}\r\n\r\n{body}"
    )
}

pub fn rpc_request(body: &str) -> String {
    format!("POST /rpc HTTP/1.1\r\nhost: a\r\ncontent-length: {}\r\n\r\n{body}", body.len())
}

pub struct Counters(pub String);

impl Counters {
    pub fn get(&self, name: &str) -> u64 {
        let found = self.0.split(' ').find_map(|p| p.strip_prefix(name)?.strip_prefix('=')?.parse().ok());
        found.unwrap_or_else(|| panic!("no counter {name} in {}", self.0))
    }
}
