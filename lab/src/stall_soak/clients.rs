//! Clients of the stall soak. Each records its requests by its own clock.

use super::plan::{ClientKind, Plan};
use crate::peer::Message;
use rand::Rng;
use rand_chacha::ChaCha8Rng;
use std::io::{BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

/// How long a client waits for anything.
const PATIENCE: Duration = Duration::from_secs(30);
/// The classes that clients ask for.
const CLASSES: [&str; 3] = ["explain", "send", "quote"];
/// Between two requests of a client.
const PAUSE: Duration = Duration::from_millis(50);
/// Requests that a pipelining client sends at once.
const PIPELINED: usize = 6;
/// What a slow reader reads at once, and its pause.
const SLOW_READ: (usize, Duration) = (512, Duration::from_millis(100));

/// How a request ended for its client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ending {
    /// No connection, or it ended while the request was being sent.
    NotSent,
    /// A whole answer.
    Answered(u16),
    /// An answer began and broke off.
    BrokeOff,
    /// The connection ended without an answer.
    NoAnswer,
    /// The client left.
    Left,
}

/// One request as its client saw it.
#[derive(Clone, Debug)]
pub struct Request {
    /// Its mark, which model hosts see; the same when the client comes again.
    pub mark: String,
    /// Its class.
    pub class: &'static str,
    /// What its client does.
    pub kind: ClientKind,
    /// When its last byte was written; `None` if it never was.
    pub sent: Option<Instant>,
    /// When its first byte was.
    pub begun: Instant,
    /// The client's deadline.
    pub deadline: Duration,
    /// When the head of the answer came.
    pub answered: Option<Instant>,
    /// The status of the answer, once its head came.
    pub status: Option<u16>,
    /// When the first event with data came.
    pub first_event: Option<Instant>,
    /// When the last event with data came.
    pub last_event: Option<Instant>,
    /// What the answer says.
    pub text: String,
    /// How it ended.
    pub ending: Ending,
    /// When.
    pub ended: Instant,
}

/// One client.
pub struct Client<'a> {
    /// Its number; the even ones use the platform's protocol.
    pub number: usize,
    /// What it does.
    pub kind: ClientKind,
    /// The round.
    pub plan: &'a Plan,
    /// The router.
    pub address: SocketAddr,
    /// The router has been killed.
    pub is_over: &'a AtomicBool,
}

/// A connection of a client.
struct Connection {
    stream: BufReader<TcpStream>,
    is_closing: bool,
}

impl Connection {
    fn open(address: SocketAddr) -> std::io::Result<Connection> {
        let stream = TcpStream::connect_timeout(&address, Duration::from_secs(3))?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(PATIENCE))?;
        Ok(Connection {
            stream: BufReader::new(stream),
            is_closing: false,
        })
    }

    /// Whether the router has closed by now.
    fn has_closed(&self) -> bool {
        let stream = self.stream.get_ref();
        if stream.set_nonblocking(true).is_err() {
            return true;
        }
        let is_closed = matches!(stream.peek(&mut [0]), Ok(0));
        stream.set_nonblocking(false).is_err() || is_closed
    }

    fn write(&mut self, bytes: &[u8]) -> std::io::Result<()> {
        self.stream.get_mut().write_all(bytes)
    }
}

/// Reads slowly while the router runs; what the system holds of a dead one is read at once.
struct Slow<'a, R> {
    stream: R,
    is_over: &'a AtomicBool,
}

impl<R: Read> Read for Slow<'_, R> {
    fn read(&mut self, buffer: &mut [u8]) -> std::io::Result<usize> {
        if !self.is_over.load(Ordering::SeqCst) {
            std::thread::sleep(SLOW_READ.1);
        }
        let most = buffer.len().min(SLOW_READ.0);
        self.stream.read(&mut buffer[..most])
    }
}

impl Client<'_> {
    /// Runs until the router is killed; all its requests.
    pub fn run(&self) -> Vec<Request> {
        let mut random = self.plan.random(1_000 + self.number as u64);
        let mut requests = Vec::new();
        let mut connection = None;
        for number in 0.. {
            std::thread::sleep(PAUSE);
            if self.is_over.load(Ordering::SeqCst) {
                break;
            }
            if connection.is_none() {
                connection = Connection::open(self.address).ok();
            }
            let open = connection
                .take()
                .filter(|open: &Connection| !open.has_closed());
            let Some(mut open) = open else {
                continue;
            };
            if self.kind == ClientKind::Pipeliner {
                requests.extend(self.pipeline(number, &mut open, &mut random));
                continue;
            }
            let (mut request, bytes) = self.request(number, 0, &mut random);
            self.ask(&mut request, &bytes, &mut open, &mut random);
            let has_left = request.ending == Ending::Left;
            let is_kept = matches!(request.ending, Ending::Answered(_)) && !open.is_closing;
            let again = Request {
                status: None,
                first_event: None,
                last_event: None,
                answered: None,
                text: String::new(),
                ..request.clone()
            };
            requests.push(request);
            if is_kept {
                connection = Some(open);
            } else if has_left {
                drop(open);
                std::thread::sleep(Duration::from_millis(random.random_range(0..600)));
                requests.extend(self.come_again(again, &bytes));
            }
        }
        requests
    }

    fn request(&self, number: usize, part: usize, random: &mut ChaCha8Rng) -> (Request, String) {
        let class = CLASSES[random.random_range(0..3)];
        let mark = format!("{}-{number}-{part}", self.number);
        let deadline_ms =
            self.plan.deadlines_ms[random.random_range(0..self.plan.deadlines_ms.len())];
        let padding = "p".repeat(random.random_range(0..4) * 10_000);
        let messages = format!(r#"[{{"role":"user","content":"mark={mark};{padding}"}}]"#);
        let bytes = if self.number.is_multiple_of(2) {
            let body = format!(r#"{{"messages":{messages}}}"#);
            format!(
                "POST /v1/chat/completions HTTP/1.1\r\nhost: a\r\nx-request-id: {mark}\r\nx-class: {class}\r\nx-deadline: {deadline_ms}m\r\n\
                 x-extras: prompt_len=100,max_out=50\r\ncontent-length: {}\r\n\r\n{body}",
                body.len()
            )
        } else {
            let body = format!(
                r#"{{"jsonrpc":"2.0","id":1,"method":"{class}","params":{{"request":"{mark}","deadline_ms":{deadline_ms},"messages":{messages}}}}}"#
            );
            format!(
                "POST /rpc HTTP/1.1\r\nhost: a\r\ncontent-length: {}\r\n\r\n{body}",
                body.len()
            )
        };
        let now = Instant::now();
        let request = Request {
            mark,
            class,
            kind: self.kind,
            sent: None,
            begun: now,
            deadline: Duration::from_millis(deadline_ms),
            answered: None,
            status: None,
            first_event: None,
            last_event: None,
            text: String::new(),
            ending: Ending::NotSent,
            ended: now,
        };
        (request, bytes)
    }

    /// Sends a request in the way of this client, and waits for its end.
    fn ask(
        &self,
        request: &mut Request,
        bytes: &str,
        open: &mut Connection,
        random: &mut ChaCha8Rng,
    ) {
        let pieces = if self.kind == ClientKind::SlowWriter {
            5
        } else {
            1
        };
        let bytes = match self.kind {
            ClientKind::Staller => &bytes.as_bytes()[..bytes.len() / 2],
            _ => bytes.as_bytes(),
        };
        let mut is_whole = self.kind != ClientKind::Staller;
        for (number, piece) in bytes.chunks(bytes.len().div_ceil(pieces)).enumerate() {
            if number > 0 {
                std::thread::sleep(Duration::from_millis(random.random_range(50..350)));
            }
            if open.has_closed() || open.write(piece).is_err() {
                is_whole = false;
                break;
            }
        }
        request.sent = is_whole.then(Instant::now);
        if self.kind == ClientKind::Leaver {
            let stays = Duration::from_millis(random.random_range(10..900));
            let _ = open.stream.get_ref().set_read_timeout(Some(stays));
            let left = open.stream.get_mut().read(&mut [0]).is_err();
            let _ = open.stream.get_ref().shutdown(Shutdown::Both);
            request.ending = if left { Ending::Left } else { Ending::BrokeOff };
            request.ended = Instant::now();
            if !left {
                // It has read a part of its answer before it left, or saw the end of the connection.
                request.ending = Ending::Left;
            }
            return;
        }
        let is_slow = self.kind == ClientKind::SlowReader;
        read_answer(request, open, is_slow.then_some(self.is_over));
    }

    /// Sends the same request again on a new connection, and stays.
    fn come_again(&self, mut request: Request, bytes: &str) -> Option<Request> {
        let mut open = Connection::open(self.address).ok()?;
        request.begun = Instant::now();
        request.ending = Ending::NotSent;
        request.sent = None;
        if open.write(bytes.as_bytes()).is_ok() {
            request.sent = Some(Instant::now());
        }
        read_answer(&mut request, &mut open, None);
        Some(request)
    }

    /// Sends several requests at once, and leaves over what it has not read.
    fn pipeline(
        &self,
        number: usize,
        open: &mut Connection,
        random: &mut ChaCha8Rng,
    ) -> Vec<Request> {
        let parts = (0..PIPELINED).map(|part| self.request(number, part, random));
        let (mut requests, bytes): (Vec<Request>, Vec<String>) = parts.unzip();
        let _ = open.write(bytes.concat().as_bytes());
        let sent = Instant::now();
        std::thread::sleep(Duration::from_millis(random.random_range(0..300)));
        let _ = open.stream.get_ref().shutdown(Shutdown::Both);
        for request in &mut requests {
            request.sent = Some(sent);
            request.ending = Ending::Left;
            request.ended = Instant::now();
        }
        requests
    }
}

/// Reads an answer; slowly until the flag is set, if there is one.
fn read_answer(request: &mut Request, open: &mut Connection, slow_until: Option<&AtomicBool>) {
    let answer = if let Some(is_over) = slow_until {
        let stream = &mut open.stream;
        let slow = Slow { stream, is_over };
        read_message(request, &mut BufReader::with_capacity(SLOW_READ.0, slow))
    } else {
        read_message(request, &mut open.stream)
    };
    request.ended = Instant::now();
    request.ending = match &answer {
        None if request.sent.is_none() && request.kind != ClientKind::Staller => Ending::NotSent,
        None => Ending::NoAnswer,
        Some(answer) if answer.whole => Ending::Answered(answer.status()),
        Some(_) => Ending::BrokeOff,
    };
    if let Some(answer) = answer {
        open.is_closing = answer.header("connection") == Some("close");
        request.text = answer.text();
    }
}

fn read_message(request: &mut Request, from: &mut impl std::io::BufRead) -> Option<Message> {
    let mut answer = Message::read_head(from)?;
    request.answered = Some(Instant::now());
    request.status = Some(answer.status());
    let mark = format!("[{}]", request.mark);
    answer.read_body(from, |piece| {
        if String::from_utf8_lossy(piece).contains(&mark) {
            request.last_event = Some(Instant::now());
            request.first_event = request.first_event.or(request.last_event);
        }
    });
    Some(answer)
}
