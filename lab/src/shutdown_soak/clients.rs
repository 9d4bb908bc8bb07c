//! Clients of the shutdown soak. Each records its requests by its own clock.

use super::model_hosts::prompt;
use super::plan::{ClientPlan, Front, Plan};
use super::router::Routers;
use super::{ANSWER_WITHIN, Moments, signed_offset, sleep_until};
use crate::peer::Message;
use std::io::{self, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::thread::{Scope, ScopedJoinHandle};
use std::time::{Duration, Instant};

/// Long enough for a second SYN: a listener that leaves its address drops the first one.
const CONNECT_WITHIN: Duration = Duration::from_secs(3);
/// Requests that a keeper sends at most.
const MOST_REQUESTS: usize = 400;

/// How a request ended for its client.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Ending {
    /// No connection came up.
    NotConnected(io::ErrorKind),
    /// The connection ended while the request was being sent.
    NotSent,
    /// An answer came whole.
    Answered {
        /// Its status.
        status: u16,
    },
    /// An answer began and broke off.
    BrokeOff,
    /// The connection ended without an answer.
    NoAnswer,
}

/// One request as its client saw it.
#[derive(Clone, Debug)]
pub struct RequestRecord {
    /// Its mark, which model hosts see.
    pub mark: String,
    /// Whether it must not run twice.
    pub is_unsafe: bool,
    /// When the client began to connect, on a connection of its own.
    pub connect_begun: Option<Instant>,
    /// When its first bytes had been written.
    pub first_byte: Instant,
    /// Just before its last bytes were written.
    pub last_byte: Instant,
    /// How it ended.
    pub ending: Ending,
    /// When.
    pub ended: Instant,
}

/// The clients of a round.
pub struct Clients<'scope> {
    running: Vec<ScopedJoinHandle<'scope, Vec<RequestRecord>>>,
    crowd: Vec<TcpStream>,
}

impl<'scope> Clients<'scope> {
    /// Starts them.
    pub fn start<'env>(
        scope: &'scope Scope<'scope, 'env>,
        plan: &'env Plan,
        routers: &'env Routers,
        moments: &'env Moments,
        terminate_at: Instant,
    ) -> Clients<'scope> {
        let address = routers.address();
        let connect = |_| TcpStream::connect_timeout(&address, Duration::from_millis(200)).ok();
        let crowd = (0..plan.crowd).filter_map(connect).collect();
        let running = plan.clients.iter().enumerate().map(|(number, plan)| {
            let client = Client {
                number,
                address,
                moments,
                terminate_at,
            };
            scope.spawn(move || client.run(plan))
        });
        Clients {
            running: running.collect(),
            crowd,
        }
    }

    /// Waits for them; all their requests.
    pub fn join(self) -> Vec<RequestRecord> {
        let ended = self.running.into_iter();
        let records = ended
            .flat_map(|client| client.join().expect("a client panicked"))
            .collect();
        drop(self.crowd);
        records
    }
}

struct Client<'a> {
    number: usize,
    address: SocketAddr,
    moments: &'a Moments,
    terminate_at: Instant,
}

impl Client<'_> {
    fn run(&self, plan: &ClientPlan) -> Vec<RequestRecord> {
        match plan {
            ClientPlan::Keeper {
                front,
                pause_ms,
                stream_ms,
                gap_ms,
            } => self.keep_asking(*front, *pause_ms, stream_ms, *gap_ms),
            ClientPlan::Dripper {
                front,
                connect_at,
                first_at,
                last_at,
                last_bytes,
                stream_ms,
            } => {
                let mut request = self.request(0, *front, *stream_ms);
                request.last_bytes = *last_bytes;
                sleep_until(signed_offset(self.terminate_at, *connect_at));
                let begun = Instant::now();
                let mut connection = match self.connect() {
                    Ok(connection) => connection,
                    Err(error) => return vec![request.not_connected(begun, &error)],
                };
                sleep_until(signed_offset(self.terminate_at, *first_at));
                let last_at = signed_offset(self.terminate_at, *last_at);
                let mut record = request.send(&mut connection, last_at);
                record.connect_begun = Some(begun);
                vec![record]
            }
            ClientPlan::Newcomer {
                front,
                connect_at,
                stream_ms,
            } => {
                let request = self.request(0, *front, *stream_ms);
                sleep_until(signed_offset(self.terminate_at, *connect_at));
                let begun = Instant::now();
                let mut connection = match self.connect() {
                    Ok(connection) => connection,
                    Err(error) => return vec![request.not_connected(begun, &error)],
                };
                let mut record = request.send(&mut connection, begun);
                record.connect_begun = Some(begun);
                vec![record]
            }
        }
    }

    /// Asks on and on over one connection until it ends or the router is killed.
    fn keep_asking(
        &self,
        front: Front,
        pause_ms: u64,
        stream_ms: &[u64],
        gap_ms: u64,
    ) -> Vec<RequestRecord> {
        let mut records = Vec::new();
        let Ok(mut connection) = self.connect() else {
            return records;
        };
        for number in 0..MOST_REQUESTS {
            if self.moments.killed.get().is_some() {
                break;
            }
            let request = self.request(number, front, stream_ms[number % stream_ms.len()]);
            let last_at = Instant::now() + Duration::from_millis(gap_ms);
            let record = request.send(&mut connection, last_at);
            let is_over = !matches!(record.ending, Ending::Answered { .. });
            records.push(record);
            if is_over || connection.is_closing {
                break;
            }
            std::thread::sleep(Duration::from_millis(pause_ms));
        }
        records
    }

    fn connect(&self) -> io::Result<Connection> {
        let stream = TcpStream::connect_timeout(&self.address, CONNECT_WITHIN)?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(ANSWER_WITHIN))?;
        Ok(Connection {
            stream: BufReader::new(stream),
            is_closing: false,
        })
    }

    fn request(&self, number: usize, front: Front, stream_ms: u64) -> Outgoing {
        let mark = format!("{}-{number}", self.number);
        let is_unsafe = (self.number + number).is_multiple_of(2);
        let class = if is_unsafe { "send" } else { "explain" };
        let content = prompt(&mark, stream_ms);
        let messages = format!(r#"[{{"role":"user","content":"{content}"}}]"#);
        let bytes = match front {
            Front::Platform => {
                let body = format!(r#"{{"messages":{messages}}}"#);
                format!(
                    "POST /v1/chat/completions HTTP/1.1\r\nhost: a\r\nx-request-id: {mark}\r\nx-class: {class}\r\nx-deadline: 8000m\r\n\
                     x-extras: prompt_len=100,max_out=50\r\ncontent-length: {}\r\n\r\n{body}",
                    body.len()
                )
            }
            Front::JsonRpc => {
                let body = format!(
                    r#"{{"jsonrpc":"2.0","id":1,"method":"{class}","params":{{"request":"order-{mark}","deadline_ms":8000,"messages":{messages}}}}}"#
                );
                format!(
                    "POST /rpc HTTP/1.1\r\nhost: a\r\ncontent-length: {}\r\n\r\n{body}",
                    body.len()
                )
            }
        };
        Outgoing {
            mark,
            is_unsafe,
            bytes,
            last_bytes: 1,
        }
    }
}

struct Connection {
    stream: BufReader<TcpStream>,
    /// The router has said that it closes it.
    is_closing: bool,
}

/// A request that is to be sent.
struct Outgoing {
    mark: String,
    is_unsafe: bool,
    bytes: String,
    /// Bytes that are kept back for the second piece.
    last_bytes: usize,
}

impl Outgoing {
    fn not_connected(self, begun: Instant, error: &io::Error) -> RequestRecord {
        RequestRecord {
            mark: self.mark,
            is_unsafe: self.is_unsafe,
            connect_begun: Some(begun),
            first_byte: begun,
            last_byte: begun,
            ending: Ending::NotConnected(error.kind()),
            ended: Instant::now(),
        }
    }

    /// Sends it, its last piece at `last_at`, and waits for its end.
    fn send(self, connection: &mut Connection, last_at: Instant) -> RequestRecord {
        let (first, last) = self.bytes.split_at(self.bytes.len() - self.last_bytes);
        let stream = connection.stream.get_mut();
        let first_sent = stream.write_all(first.as_bytes());
        let first_byte = Instant::now();
        sleep_until(last_at);
        let last_byte = Instant::now();
        let sent = first_sent.and_then(|()| stream.write_all(last.as_bytes()));
        // An answer may have come before the last piece, and the connection's end with it.
        let ending = connection.read_answer();
        let ending = if sent.is_err() && ending == Ending::NoAnswer {
            Ending::NotSent
        } else {
            ending
        };
        RequestRecord {
            mark: self.mark,
            is_unsafe: self.is_unsafe,
            connect_begun: None,
            first_byte,
            last_byte,
            ending,
            ended: Instant::now(),
        }
    }
}

impl Connection {
    fn read_answer(&mut self) -> Ending {
        let Some(mut answer) = Message::read_head(&mut self.stream) else {
            return Ending::NoAnswer;
        };
        self.is_closing = answer.header("connection") == Some("close");
        answer.read_body(&mut self.stream, |_| {});
        if answer.whole {
            Ending::Answered {
                status: answer.status(),
            }
        } else {
            Ending::BrokeOff
        }
    }
}
