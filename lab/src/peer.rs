//! Scripted peers on loopback sockets: HTTP/1.1 by hand, so that a script can also write what no library would.

use crate::history::STUCK;
use std::collections::BTreeSet;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Ipv4Addr, Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread::{self, JoinHandle};
use std::time::{Duration, SystemTime};

/// A message as a peer reads it.
#[derive(Debug, Default, Clone)]
pub struct Message {
    /// The first line.
    pub line: String,
    /// All header lines, lower-cased names.
    pub headers: Vec<(String, String)>,
    /// The body as far as it came.
    pub body: Vec<u8>,
    /// Whether the body came to its proper end.
    pub whole: bool,
}

impl Message {
    /// A header by its lower-case name.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers
            .iter()
            .find(|(n, _)| n == name)
            .map(|(_, v)| v.as_str())
    }

    /// The body as text.
    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }

    /// The status of a response.
    pub fn status(&self) -> u16 {
        self.line
            .split(' ')
            .nth(1)
            .and_then(|s| s.parse().ok())
            .unwrap_or(0)
    }

    /// The method of a request.
    pub fn method(&self) -> &str {
        self.line.split(' ').next().unwrap_or("")
    }

    /// The path of a request, with its query.
    pub fn path(&self) -> &str {
        self.line.split(' ').nth(1).unwrap_or("")
    }

    /// Reads a head.
    pub fn read_head(from: &mut impl BufRead) -> Option<Message> {
        let mut message = Message::default();
        from.read_line(&mut message.line).ok().filter(|n| *n > 0)?;
        loop {
            let mut line = String::new();
            from.read_line(&mut line).ok().filter(|n| *n > 0)?;
            let Some((name, value)) = line.trim_end().split_once(':') else {
                break;
            };
            message
                .headers
                .push((name.to_lowercase(), value.trim().to_owned()));
        }
        message.line = message.line.trim_end().to_owned();
        Some(message)
    }

    /// Reads a message; `None` when the connection ends before its head has.
    pub fn read(from: &mut impl BufRead) -> Option<Message> {
        let mut message = Message::read_head(from)?;
        message.read_body(from, |_| {});
        Some(message)
    }

    /// Reads the body behind a head; `piece` sees each piece of it as it comes.
    pub fn read_body(&mut self, from: &mut impl BufRead, mut piece: impl FnMut(&[u8])) {
        if self.header("transfer-encoding").is_some() {
            while let Some(chunk) = read_chunk(from) {
                self.whole = chunk.is_empty();
                self.body.extend(&chunk);
                if chunk.is_empty() {
                    break;
                }
                piece(&chunk);
            }
        } else {
            let length = self
                .header("content-length")
                .and_then(|l| l.parse().ok())
                .unwrap_or(0);
            self.body.resize(length, 0);
            self.whole = from.read_exact(&mut self.body).is_ok();
            piece(&self.body);
        }
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
    /// Writes a whole answer; `headers` are lines that end in `\r\n`.
    pub fn answer(&mut self, status: &str, headers: &str, body: &str) {
        let length = body.len();
        let date = date();
        let answer =
            format!("HTTP/1.1 {status}\r\n{date}{headers}content-length: {length}\r\n\r\n{body}");
        let _ = self.0.write_all(answer.as_bytes());
    }

    /// Writes the head of a stream of events.
    pub fn begin_stream(&mut self) {
        let (date, kind) = (date(), "text/event-stream");
        let head = format!(
            "HTTP/1.1 200 OK\r\n{date}content-type: {kind}\r\ntransfer-encoding: chunked\r\n\r\n"
        );
        let _ = self.0.write_all(head.as_bytes());
    }

    /// Writes a chunk; whether the system took it.
    pub fn chunk(&mut self, data: &str) -> bool {
        self.0
            .write_all(format!("{:x}\r\n{data}\r\n", data.len()).as_bytes())
            .is_ok()
    }

    /// Writes an event; whether the system took it.
    pub fn event(&mut self, data: &str) -> bool {
        self.chunk(&format!("data: {data}\n\n"))
    }

    /// Writes an event with a piece of an answer; whether the system took it.
    pub fn delta(&mut self, text: &str) -> bool {
        self.event(&format!(
            r#"{{"choices":[{{"index":0,"delta":{{"content":"{text}"}},"finish_reason":null}}]}}"#
        ))
    }

    /// Writes the last events and the last chunk.
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

    /// Whether the other side closes or says something within `period`.
    pub fn closes_within(&mut self, period: Duration) -> bool {
        use std::io::ErrorKind::{Interrupted, TimedOut, WouldBlock};
        let _ = self.0.set_read_timeout(Some(period));
        let read = self.0.read(&mut [0]);
        !matches!(read, Err(e) if matches!(e.kind(), WouldBlock | TimedOut | Interrupted))
    }

    /// Whether the other side has closed by now, without waiting. Only where it has nothing to say.
    pub fn has_closed(&mut self) -> bool {
        if self.0.set_nonblocking(true).is_err() {
            return true;
        }
        let seen = self.0.peek(&mut [0]);
        let _ = self.0.set_nonblocking(false);
        !matches!(seen, Ok(1..))
            && !matches!(seen, Err(e) if e.kind() == std::io::ErrorKind::WouldBlock)
    }
}

type Script = dyn Fn(&Message, &mut Conn) -> bool + Send + Sync;

#[derive(Default)]
struct Sockets {
    closed: bool,
    open: Vec<TcpStream>,
}

/// A scripted peer: its script answers each message and says whether the connection is kept.
pub struct Peer {
    /// Where it listens.
    pub address: SocketAddr,
    sockets: Arc<Mutex<Sockets>>,
    accepting: Mutex<Option<JoinHandle<()>>>,
}

fn lock(sockets: &Mutex<Sockets>) -> MutexGuard<'_, Sockets> {
    sockets.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Peer {
    /// A peer at an address of the system's choice.
    ///
    /// # Panics
    /// There is no free address.
    pub fn start(script: impl Fn(&Message, &mut Conn) -> bool + Send + Sync + 'static) -> Peer {
        Peer::start_at(([127, 0, 0, 1], 0).into(), script).expect("a free address")
    }

    /// A peer at an address.
    ///
    /// # Errors
    /// The address is taken.
    pub fn start_at(
        address: SocketAddr,
        script: impl Fn(&Message, &mut Conn) -> bool + Send + Sync + 'static,
    ) -> std::io::Result<Peer> {
        let listener = TcpListener::bind(address)?;
        let address = listener.local_addr()?;
        let script: Arc<Script> = Arc::new(script);
        let sockets = Arc::new(Mutex::new(Sockets::default()));
        let all = sockets.clone();
        let accepting = thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let script = script.clone();
                let _ = stream.set_nodelay(true);
                let Ok(copy) = stream.try_clone() else {
                    continue;
                };
                let mut all = lock(&all);
                if all.closed {
                    return;
                }
                all.open.retain(|s: &TcpStream| s.peer_addr().is_ok());
                all.open.push(copy);
                drop(all);
                thread::spawn(move || serve(stream, &*script));
            }
        });
        Ok(Peer {
            address,
            sockets,
            accepting: Mutex::new(Some(accepting)),
        })
    }

    /// Breaks all of its connections; new ones come up.
    pub fn kill(&self) {
        for stream in lock(&self.sockets).open.drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }

    /// Breaks all of its connections and listens no more, as at the death of its process. New ones are refused.
    pub fn close(&self) {
        if std::mem::replace(&mut lock(&self.sockets).closed, true) {
            return;
        }
        // Wakes whoever accepts, so that the listener goes, and waits until it has.
        if let Some(accepting) = self
            .accepting
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .take()
        {
            while !accepting.is_finished() {
                drop(TcpStream::connect_timeout(
                    &self.address,
                    Duration::from_millis(100),
                ));
            }
            let _ = accepting.join();
        }
        self.kill();
    }

    /// A reader that reads whatever it is sent.
    pub fn reader() -> Peer {
        Peer::start(|message, conn| {
            match message.method() {
                "POST" => conn.answer("202 Accepted", "", r#"{"cached_tokens":4}"#),
                _ => conn.answer("204 No Content", "", ""),
            }
            true
        })
    }

    /// An address at which nobody listens, for a process that is started on it later. It is on a loopback address of this process
    /// and is given once, so that neither another test nor a connection takes its port meanwhile.
    ///
    /// # Panics
    /// There is no free address.
    pub fn nobody() -> SocketAddr {
        static GIVEN: Mutex<BTreeSet<SocketAddr>> = Mutex::new(BTreeSet::new());
        let [_, high, middle, low] = std::process::id().to_be_bytes();
        let own = Ipv4Addr::new(127, 64 | high, middle, low);
        loop {
            let free = TcpListener::bind((own, 0)).and_then(|l| l.local_addr());
            let address = free.expect("a free address");
            let mut given = GIVEN.lock().unwrap_or_else(PoisonError::into_inner);
            if given.insert(address) {
                return address;
            }
        }
    }
}

impl Drop for Peer {
    fn drop(&mut self) {
        self.close();
    }
}

fn serve(stream: TcpStream, script: &Script) {
    let Ok(copy) = stream.try_clone() else { return };
    let mut from = BufReader::new(copy);
    let mut conn = Conn(stream);
    while let Some(message) = Message::read(&mut from) {
        if !script(&message, &mut conn) {
            break;
        }
    }
    let _ = conn.0.shutdown(Shutdown::Both);
}

/// An address at which connections never come up, as at a machine cut off: a listener that takes nothing and
/// whose queue is full, so that further handshakes go unanswered. Silent while the value lives.
pub struct Silent {
    /// The address.
    pub address: SocketAddr,
    _listener: TcpListener,
    _queued: Vec<TcpStream>,
}

impl Silent {
    /// Takes an address and fills its queue.
    ///
    /// # Panics
    /// There is no free address.
    pub fn start() -> Silent {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free address");
        let address = listener
            .local_addr()
            .expect("a bound socket has an address");
        socket2::SockRef::from(&listener)
            .listen(0)
            .expect("listening again with a shorter queue");
        // One handshake fills a queue of none; should the system allow more, the next ones fill it.
        let fill = |_| TcpStream::connect_timeout(&address, Duration::from_millis(200)).ok();
        let queued = (0..3).map_while(fill).collect();
        Silent {
            address,
            _listener: listener,
            _queued: queued,
        }
    }
}

/// The header that tells this machine's time.
fn date() -> String {
    format!("date: {}\r\n", httpdate::fmt_http_date(SystemTime::now()))
}
