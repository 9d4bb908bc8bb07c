//! Scripted peers on loopback sockets and a conductor between them, for the stories.
#![allow(dead_code)]

use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::process::{Child, Command, Stdio};
use std::sync::mpsc;
use std::thread;
pub use whinhaven_lab::history::STUCK;
#[allow(unused_imports)]
pub use whinhaven_lab::peer::{Conn, Message, Peer, Silent};

/// An operator's file: readers, writers, and whatever follows.
pub fn operator_file(readers: &[SocketAddr], writers: &[SocketAddr], more: &str) -> String {
    let mut text = format!(
        "name = \"test\"\nlisten = \"127.0.0.1:0\"\n{}\n",
        more.split("---").next().unwrap_or("")
    );
    text += whinhaven_lab::fleet::SETTINGS;
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
    /// The operators' door, if the file has one.
    pub ops: Option<SocketAddr>,
    log: mpsc::Receiver<String>,
    file: std::path::PathBuf,
}

impl Conductor {
    /// Starts it and waits until it serves.
    pub fn start(operator_file: &str) -> Conductor {
        Conductor::launch(operator_file, &std::env::temp_dir()).serving()
    }

    /// Starts it with a temporary folder.
    pub fn launch(operator_file: &str, temporary: &std::path::Path) -> Conductor {
        static NUMBER: std::sync::atomic::AtomicU32 = std::sync::atomic::AtomicU32::new(0);
        let number = NUMBER.fetch_add(1, std::sync::atomic::Ordering::Relaxed);
        let file =
            std::env::temp_dir().join(format!("whinhaven-{}-{number}.toml", std::process::id()));
        std::fs::write(&file, operator_file).unwrap();
        let mut child = Command::new(env!("CARGO_BIN_EXE_whinhaven"))
            .args(["serve", file.to_str().unwrap()])
            .env("TMPDIR", temporary)
            .stderr(Stdio::piped())
            .spawn()
            .unwrap();
        let stderr = BufReader::new(child.stderr.take().unwrap());
        let (lines, log) = mpsc::channel();
        thread::spawn(move || {
            stderr
                .lines()
                .map_while(Result::ok)
                .all(|line| lines.send(line).is_ok())
        });
        Conductor {
            child,
            address: "127.0.0.1:1".parse().unwrap(),
            ops: None,
            log,
            file,
        }
    }

    /// Waits until it serves.
    pub fn serving(mut self) -> Conductor {
        let has_door = std::fs::read_to_string(&self.file)
            .unwrap()
            .lines()
            .any(|l| l.starts_with("ops ="));
        if has_door {
            let line = self.wait_for("admin endpoint listens on ");
            self.ops = line
                .rsplit(' ')
                .next()
                .and_then(|address| address.parse().ok());
        }
        let line = self.wait_for("serves on ");
        let address = line
            .split("serves on ")
            .nth(1)
            .unwrap()
            .split(',')
            .next()
            .unwrap();
        self.address = address.parse().unwrap();
        self
    }

    /// Waits for its end; whether that was in order.
    pub fn ends_well(mut self) -> bool {
        self.child.wait().unwrap().success()
    }

    /// Waits for a line of the log.
    pub fn wait_for(&self, text: &str) -> String {
        loop {
            let line = self
                .log
                .recv_timeout(STUCK)
                .unwrap_or_else(|_| panic!("no line with {text:?} in the log"));
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
        assert!(
            Command::new("kill")
                .args([name, &pid])
                .status()
                .unwrap()
                .success()
        );
    }

    /// Its counters now.
    pub fn counters(&self) -> Counters {
        self.signal("-USR1");
        Counters(self.wait_for("counters:"))
    }

    /// The most memory that the process had resident so far, in KiB.
    pub fn peak_memory_kb(&self) -> u64 {
        let path = format!("/proc/{}/status", self.child.id());
        let status = std::fs::read_to_string(path).unwrap();
        let line = status.lines().find(|line| line.starts_with("VmHWM:"));
        line.and_then(|line| line.split_whitespace().nth(1)?.parse().ok())
            .expect("the system tells the peak")
    }

    /// Sets how many descriptors the system lets it have.
    pub fn limit_descriptors(&self, most: u32) {
        let (pid, most) = (
            self.child.id().to_string(),
            format!("--nofile={most}:{most}"),
        );
        assert!(
            Command::new("prlimit")
                .args(["--pid", &pid, &most])
                .status()
                .unwrap()
                .success()
        );
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

    /// Connects to the operators' door.
    pub fn connect_to_door(&self) -> TcpStream {
        let stream = TcpStream::connect(self.ops.expect("a door in the file")).unwrap();
        stream.set_read_timeout(Some(STUCK)).unwrap();
        stream.set_nodelay(true).unwrap();
        stream
    }

    /// One call at the operators' door.
    pub fn call(&self, method: &str, path: &str) -> Message {
        let mut stream = self.connect_to_door();
        write!(stream, "{method} {path} HTTP/1.1\r\nhost: a\r\n\r\n").unwrap();
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
    format!(
        "POST /rpc HTTP/1.1\r\nhost: a\r\ncontent-length: {}\r\n\r\n{body}",
        body.len()
    )
}

pub struct Counters(pub String);

impl Counters {
    pub fn get(&self, name: &str) -> u64 {
        let found = self
            .0
            .split(' ')
            .find_map(|p| p.strip_prefix(name)?.strip_prefix('=')?.parse().ok());
        found.unwrap_or_else(|| panic!("no counter {name} in {}", self.0))
    }
}
