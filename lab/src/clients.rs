//! Clients: named requests with tool calls that come again at another conductor, and the platform's requests.

use crate::history::History;
use crate::hosts::Plan;
use crate::peer::Message;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde_json::{Value, json};
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

/// What a client asks for.
#[derive(Clone, Debug)]
pub struct Ask {
    /// Its lasting name, the length of its answer and the calls in it.
    pub plan: Plan,
    /// Its class: `send` must not run twice, `explain` may.
    pub class: String,
    /// How long the client waits for a first token.
    pub deadline: Duration,
}

impl Ask {
    /// A request of the unsafe class.
    pub fn send(name: &str, words: u32, calls: u32) -> Ask {
        let plan = Plan {
            name: name.to_owned(),
            words,
            calls,
        };
        Ask {
            plan,
            class: "send".to_owned(),
            deadline: Duration::from_secs(8),
        }
    }

    /// A request of the class that may be repeated.
    pub fn explain(name: &str, words: u32) -> Ask {
        Ask {
            class: "explain".to_owned(),
            ..Ask::send(name, words, 0)
        }
    }
}

/// What a client has of an answer.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Got {
    /// Its text so far.
    pub text: String,
    /// Tool calls told of so far.
    pub calls: u32,
    /// Those that were told of before the last piece of the text.
    pub calls_before: u32,
    /// When the first piece of the text came.
    pub first_at: Option<Instant>,
}

/// How a try ended.
#[derive(Clone, Debug, PartialEq)]
pub enum Tried {
    /// The last line came.
    Final(Final),
    /// Refused, or in hand elsewhere: to be tried again, after a while if one is told.
    Refused(Option<Duration>),
    /// No connection: the conductor never had it.
    Unreached,
    /// The connection ended or fell silent before the last line; it may have been taken.
    Broke,
}

/// A final answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Final {
    /// The whole text.
    Text(String),
    /// An error that is the end of the request, by its code.
    Error(i64),
}

/// What became of a request in the end.
#[derive(Clone, Debug, PartialEq)]
pub struct Ended {
    /// The final answer, if one came before the client gave up.
    pub answer: Option<Final>,
    /// Tries it took.
    pub tries: u32,
}

/// A client that knows all conductors.
#[derive(Clone)]
pub struct Client {
    /// The conductors by name, with the addresses at which clients reach them.
    pub conductors: Vec<(String, SocketAddr)>,
    /// A conductor that says nothing for this long is left for another.
    pub silence: Duration,
    /// Before the next try after one that failed or was refused without a time.
    pub pause: Duration,
    /// Tries before the client gives up.
    pub most_tries: u32,
    history: History,
}

impl Client {
    /// A client with the usual patience.
    pub fn new(conductors: Vec<(String, SocketAddr)>, history: History) -> Client {
        let (silence, pause) = (Duration::from_secs(10), Duration::from_millis(50));
        Client {
            conductors,
            silence,
            pause,
            most_tries: 200,
            history,
        }
    }

    fn note(&self, event: &str, ask: &Ask, at: &str, mut fields: Value) {
        fields["name"] = ask.plan.name.clone().into();
        fields["at"] = at.into();
        self.history.note("client", event, fields);
    }

    /// One try of a named request at a conductor, by its place in the list. What came is added to `got`; a try that
    /// follows a broken one asks for the rest.
    pub fn attempt(&self, at: usize, ask: &Ask, got: &mut Got, resume: bool) -> Tried {
        let (name, address) = &self.conductors[at % self.conductors.len()];
        self.note(
            "client.sent",
            ask,
            name,
            json!({ "class": ask.class, "resumed": resume }),
        );
        let tried = self.carry_out(name, *address, ask, got, resume);
        match &tried {
            Tried::Final(Final::Text(text)) => {
                self.note(
                    "client.final",
                    ask,
                    name,
                    json!({ "kind": "text", "text": text }),
                );
            }
            Tried::Final(Final::Error(code)) => {
                self.note(
                    "client.final",
                    ask,
                    name,
                    json!({ "kind": "error", "code": code }),
                );
            }
            Tried::Refused(_) => self.note("client.refused", ask, name, json!({})),
            Tried::Unreached => self.note("client.unreached", ask, name, json!({})),
            Tried::Broke => self.note("client.broke", ask, name, json!({ "calls": got.calls })),
        }
        tried
    }

    fn carry_out(
        &self,
        name: &str,
        address: SocketAddr,
        ask: &Ask,
        got: &mut Got,
        resume: bool,
    ) -> Tried {
        let mut params = json!({ "request": ask.plan.name, "deadline_ms": ask.deadline.as_millis() as u64,
            "messages": [{ "role": "user", "content": ask.plan.prompt() }] });
        got.calls = got.calls_before;
        if resume {
            params["resume"] = json!({ "text": got.text, "calls": got.calls_before });
        }
        let body =
            json!({ "jsonrpc": "2.0", "id": 1, "method": ask.class, "params": params }).to_string();
        let head = format!(
            "POST /rpc HTTP/1.1\r\nhost: a\r\ncontent-length: {}\r\n\r\n",
            body.len()
        );
        let Ok(mut stream) = TcpStream::connect_timeout(&address, self.silence) else {
            return Tried::Unreached;
        };
        let ready = stream
            .set_read_timeout(Some(self.silence))
            .and_then(|()| stream.set_nodelay(true));
        if ready
            .and_then(|()| stream.write_all((head + &body).as_bytes()))
            .is_err()
        {
            return Tried::Broke;
        }
        let mut from = BufReader::new(stream);
        let Some(mut message) = Message::read_head(&mut from) else {
            return Tried::Broke;
        };
        let status = message.status();
        if status == 200 {
            self.note("client.taken", ask, name, json!({}));
        }
        let (mut line, mut last) = (Vec::new(), None);
        message.read_body(&mut from, |piece| {
            for byte in piece {
                if *byte == b'\n' {
                    let told: Value = serde_json::from_slice(&line).unwrap_or_default();
                    line.clear();
                    match told["method"].as_str() {
                        Some("delta") => {
                            got.first_at.get_or_insert_with(Instant::now);
                            got.text += told["params"]["text"].as_str().unwrap_or("");
                            got.calls_before = got.calls;
                        }
                        Some("tool") if told["params"]["state"] == "calling" => {
                            got.calls += 1;
                            self.note(
                                "client.calling",
                                ask,
                                name,
                                json!({ "ordinal": told["params"]["ordinal"] }),
                            );
                        }
                        Some(_) => {}
                        None => last = Some(told),
                    }
                } else {
                    line.push(*byte);
                }
            }
        });
        let Some(last) = last.filter(|_| message.whole) else {
            return Tried::Broke;
        };
        let error = &last["error"];
        match error["code"].as_i64() {
            None => Tried::Final(Final::Text(got.text.clone())),
            // Refused, or in hand: here or at a conductor that is taken for living.
            Some(-32000 | -32003) => Tried::Refused(
                error["data"]["retry_after"]
                    .as_f64()
                    .map(Duration::from_secs_f64),
            ),
            Some(code) => Tried::Final(Final::Error(code)),
        }
    }

    /// Asks until there is a final answer, first at the conductor `first`, after each failure at the next one.
    pub fn ask(&self, ask: &Ask, first: usize) -> Ended {
        let (mut at, mut got, mut resume) = (first, Got::default(), false);
        for tries in 1..=self.most_tries {
            match self.attempt(at, ask, &mut got, resume) {
                Tried::Final(answer) => {
                    return Ended {
                        answer: Some(answer),
                        tries,
                    };
                }
                Tried::Refused(after) => {
                    std::thread::sleep(after.unwrap_or(self.pause).min(self.pause * 4));
                }
                Tried::Unreached => std::thread::sleep(self.pause),
                Tried::Broke => resume = true,
            }
            at += 1;
        }
        self.note("client.gave_up", ask, "", json!({}));
        Ended {
            answer: None,
            tries: self.most_tries,
        }
    }

    /// Asks for a name that has had its final answer once more, at another conductor, as a client that lost it would.
    pub fn ask_again(&self, ask: &Ask, at: usize) -> Tried {
        self.attempt(at, ask, &mut Got::default(), true)
    }

    /// One request in the platform's form: status, and the text if the stream came whole.
    pub fn platform(&self, at: usize, ask: &Ask) -> (u16, Option<String>) {
        let (name, address) = &self.conductors[at % self.conductors.len()];
        self.note(
            "client.sent",
            ask,
            name,
            json!({ "class": ask.class, "resumed": false,
            "deadline_us": ask.deadline.as_micros() as u64 }),
        );
        let body = json!({ "model": ask.class, "stream": true,
            "messages": [{ "role": "user", "content": ask.plan.prompt() }] });
        let (body, id) = (body.to_string(), &ask.plan.name);
        let request = format!(
            "POST /v1/chat/completions HTTP/1.1\r\nhost: a\r\nx-request-id: {id}\r\nx-class: {}\r\n\
             x-deadline: {}m\r\nx-key: s-{id}\r\ncontent-length: {}\r\n\r\n{body}",
            ask.class,
            ask.deadline.as_millis(),
            body.len()
        );
        let sent = TcpStream::connect_timeout(address, self.silence).and_then(|mut stream| {
            stream.set_read_timeout(Some(self.silence))?;
            stream.write_all(request.as_bytes())?;
            Ok(stream)
        });
        let answer = sent
            .ok()
            .and_then(|stream| Message::read(&mut BufReader::new(stream)));
        let status = answer.as_ref().map_or(0, Message::status);
        let whole = answer.filter(|a| a.status() == 200 && a.whole);
        let text = whole.map(|a| {
            let events = a.text();
            let events = events.lines().filter_map(|l| l.strip_prefix("data: "));
            let pieces = events.filter_map(|e| serde_json::from_str::<Value>(e).ok());
            pieces
                .filter_map(|e| Some(e["choices"][0]["delta"]["content"].as_str()?.to_owned()))
                .collect()
        });
        self.note(
            "client.platform",
            ask,
            name,
            json!({ "status": status, "text": text }),
        );
        (status, text)
    }
}

/// Clients that ask on and on until the load is stopped.
pub struct Load {
    stop: Arc<AtomicBool>,
    threads: Vec<JoinHandle<()>>,
    counts: Arc<Counts>,
}

/// What a load has come to.
#[derive(Debug, Default)]
pub struct Counts {
    /// Requests begun.
    pub asked: AtomicU64,
    /// Whole answers, as their plans have them.
    pub right: AtomicU64,
    /// Whole answers with a wrong text: a word twice, a gap, another's word.
    pub wrong: AtomicU64,
    /// Requests that ended in an error.
    pub failed: AtomicU64,
    /// Requests that the client gave up.
    pub given_up: AtomicU64,
    /// Tries beyond the first ones.
    pub repeats: AtomicU64,
}

impl Load {
    /// `clients` clients ask for `per_s` requests a second in all, half of them unsafe with tool calls, from one seed.
    pub fn start(client: &Client, clients: usize, per_s: f64, seed: u64) -> Load {
        let (stop, counts) = (
            Arc::new(AtomicBool::new(false)),
            Arc::new(Counts::default()),
        );
        let every = Duration::from_secs_f64(clients as f64 / per_s.max(0.01));
        let threads = (0..clients).map(|c| {
            let (client, stop, counts) = (client.clone(), stop.clone(), counts.clone());
            let mut random =
                ChaCha8Rng::seed_from_u64(seed.wrapping_mul(1009).wrapping_add(c as u64));
            std::thread::spawn(move || {
                let mut next = Instant::now() + every.mul_f64(random.random());
                for number in 0u64.. {
                    while let Some(wait) = next.checked_duration_since(Instant::now()) {
                        if stop.load(Ordering::Relaxed) {
                            return;
                        }
                        std::thread::sleep(wait.min(Duration::from_millis(50)));
                    }
                    if stop.load(Ordering::Relaxed) {
                        return;
                    }
                    next = Instant::now().max(next + every);
                    let (name, words) = (format!("load-{c}-{number}"), random.random_range(4..24));
                    let ask = if random.random() {
                        Ask::send(&name, words, random.random_range(0..3))
                    } else {
                        Ask::explain(&name, words)
                    };
                    counts.asked.fetch_add(1, Ordering::Relaxed);
                    let Ended { answer, tries } = client.ask(&ask, random.random_range(0..64));
                    counts
                        .repeats
                        .fetch_add(u64::from(tries) - 1, Ordering::Relaxed);
                    let end = match answer {
                        Some(Final::Text(text)) if ask.plan.accepts(&text) => &counts.right,
                        Some(Final::Text(_)) => &counts.wrong,
                        Some(Final::Error(_)) => &counts.failed,
                        None => &counts.given_up,
                    };
                    end.fetch_add(1, Ordering::Relaxed);
                }
            })
        });
        let threads = threads.collect();
        Load {
            stop,
            threads,
            counts,
        }
    }

    /// What it has come to so far.
    pub fn counts(&self) -> &Counts {
        &self.counts
    }

    /// Begins nothing more and waits for what is in hand.
    pub fn stop(mut self) -> Arc<Counts> {
        self.stop.store(true, Ordering::Relaxed);
        for thread in self.threads.drain(..) {
            let _ = thread.join();
        }
        self.counts.clone()
    }
}

impl Drop for Load {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::Relaxed);
    }
}
