//! Stand-in model hosts: readers and writers that speak the platform's protocol.
//!
//! What a writer answers follows from the request alone, so that any writer can go on where another broke off, and so
//! that the checker can tell a whole answer from a wrong one. A [`Plan`] in the prompt says how long the answer is and
//! where it calls tools: `plan name=order-1 words=12 calls=2`. The answer is that many words, with a call before some
//! of them; the word behind a call is what the tool said.

use crate::history::History;
use crate::peer::{Conn, Message, Peer};
use serde_json::{Value, json};
use std::collections::{HashMap, VecDeque};
use std::net::SocketAddr;
use std::sync::{Arc, Condvar, Mutex, MutexGuard, OnceLock, PoisonError};
use std::time::{Duration, Instant};

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// What a stand-in host can do.
#[derive(Clone, Debug)]
pub struct HostSettings {
    /// Its name in the list of hosts, the same at every conductor.
    pub name: String,
    /// Where it listens.
    pub listen: SocketAddr,
    /// Its site.
    pub site: String,
    /// Whether it reads prompts or writes answers.
    pub role: HostRole,
    /// Requests at once.
    pub slots: usize,
    /// Requests that may wait for a slot; what comes beyond them is turned away.
    pub waiting: usize,
    /// Tokens of prompts that fit: read states held and reads under way. What comes beyond them is turned away.
    pub memory_tokens: u64,
    /// Tokens read or written a second by each slot once warm; 0 takes no time.
    pub tokens_per_s: f64,
    /// Part of the speed right after a start; it rises evenly to the whole over `cold_for`.
    pub cold_from: f64,
    /// How long a start is felt; zero for a host that is warm at once.
    pub cold_for: Duration,
    /// Sent more than so many times what it can do at the moment, all over `fall_after`, it falls over and stays down
    /// until it is started again; 0 for never.
    pub fall_multiple: f64,
    /// See there.
    pub fall_after: Duration,
}

/// What a host is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HostRole {
    /// Reads prompts and holds what it has read.
    Reader,
    /// Takes a held state and streams the answer.
    Writer,
}

impl HostRole {
    /// The host's kind in the conductors' settings.
    pub fn kind(self) -> &'static str {
        match self {
            HostRole::Reader => "prompt",
            HostRole::Writer => "answer",
        }
    }
}

impl HostSettings {
    /// A warm host with room for everything that takes no time.
    pub fn quick(name: &str, role: HostRole, listen: SocketAddr) -> HostSettings {
        HostSettings {
            name: name.to_owned(),
            listen,
            site: "here".to_owned(),
            role,
            slots: 64,
            waiting: 64,
            memory_tokens: 1_000_000,
            tokens_per_s: 0.0,
            cold_from: 1.0,
            cold_for: Duration::ZERO,
            fall_multiple: 0.0,
            fall_after: Duration::from_secs(3),
        }
    }
}

/// What the prompt asks the stand-in writer for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Plan {
    /// The client's lasting name for the request; the request's id where the prompt has no plan.
    pub name: String,
    /// Words of the answer.
    pub words: u32,
    /// Tool calls in it, spread evenly.
    pub calls: u32,
}

impl Plan {
    /// The words of a prompt that carry this plan.
    pub fn prompt(&self) -> String {
        format!(
            "plan name={} words={} calls={}",
            self.name, self.words, self.calls
        )
    }

    /// The plan in a request's body. Where there is none, six words, with a call among them for the class `send`.
    pub fn read(body: &str, id: &str) -> Plan {
        let calls = u32::from(body.contains(r#""model":"send""#));
        let mut plan = Plan {
            name: id.to_owned(),
            words: 6,
            calls,
        };
        let Some(at) = body.find("plan name=") else {
            return plan;
        };
        let end = body[at..].find('"').map_or(body.len(), |n| at + n);
        for (key, value) in body[at..end].split(' ').filter_map(|w| w.split_once('=')) {
            match key {
                "name" => plan.name = value.to_owned(),
                "words" => plan.words = value.parse().unwrap_or(plan.words),
                "calls" => plan.calls = value.parse().unwrap_or(plan.calls),
                _ => {}
            }
        }
        plan.words = plan.words.clamp(1, 100_000);
        plan.calls = plan.calls.min(plan.words);
        plan
    }

    /// Whether a call stands right before a word, counted from 0.
    pub fn has_call(&self, word: u32) -> bool {
        // Spread evenly over all words but the first, unless every word has one.
        let (calls, rest) = (u64::from(self.calls), u64::from(self.words) - 1);
        if calls > rest {
            return true;
        }
        let part = |w: u32| {
            (u64::from(w) * calls + rest / 2)
                .checked_div(rest)
                .unwrap_or(0)
        };
        word > 0 && part(word) > part(word - 1)
    }

    /// A word of the answer that no call stands before.
    pub fn word(&self, word: u32) -> String {
        format!("{}.{word} ", self.name)
    }

    /// The whole answer, if every tool call ran and ran once.
    pub fn answer(&self) -> String {
        let mut ordinal = 0;
        let mut text = String::new();
        for word in 0..self.words {
            if self.has_call(word) {
                text += &format!(
                    "[{}] ",
                    crate::tools::said(&format!("{}/{ordinal}", self.name), 1)
                );
                ordinal += 1;
            } else {
                text += &self.word(word);
            }
        }
        text
    }
}

/// What a writer says in a call's place when the tool was not reached, or its outcome is unknown for good.
const SAID_OTHERWISE: [&str; 2] = ["[error-32010] ", "[error-32011] "];

impl Plan {
    /// Whether a text is the whole answer, each word once and in order; in a call's place it may
    /// say that the tool was not reached, or that the outcome is unknown.
    pub fn accepts(&self, text: &str) -> bool {
        let wanted = self.answer();
        let words = |text: &str| {
            text.split_inclusive(' ')
                .map(str::to_owned)
                .collect::<Vec<_>>()
        };
        let (wanted, said) = (words(&wanted), words(text));
        let fits = |(w, s): (&String, &String)| {
            w == s || w.starts_with('[') && SAID_OTHERWISE.contains(&s.as_str())
        };
        wanted.len() == said.len() && wanted.iter().zip(&said).all(fits)
    }
}

/// What hosts hold, in one table of the whole stand-in fleet: a writer takes a state from whichever reader has it, and
/// every host releases for all.
#[derive(Default)]
pub struct States {
    held: Mutex<HashMap<String, Held>>,
    /// Names of what writers are at, by id.
    running: Mutex<HashMap<String, String>>,
    results: (Mutex<HashMap<String, String>>, Condvar),
}

struct Held {
    host: String,
    tokens: u64,
    name: String,
    /// The read is still going on.
    reading: bool,
    /// A release came during the read: what it leaves is let go at once.
    unwanted: bool,
}

impl States {
    /// Ids of the states that are held, in order.
    pub fn held(&self) -> Vec<String> {
        let held = lock(&self.held);
        let mut ids: Vec<String> = held
            .iter()
            .filter(|(_, h)| !h.reading)
            .map(|(id, _)| id.clone())
            .collect();
        ids.sort();
        ids
    }

    /// Tokens that a host's memory holds.
    fn tokens(&self, host: &str) -> u64 {
        lock(&self.held)
            .values()
            .filter(|h| h.host == host)
            .map(|h| h.tokens)
            .sum()
    }

    fn begin(&self, id: &str, host: &str, name: &str, tokens: u64) {
        let (host, name) = (host.to_owned(), name.to_owned());
        lock(&self.held).insert(
            id.to_owned(),
            Held {
                host,
                tokens,
                name,
                reading: true,
                unwanted: false,
            },
        );
    }

    /// Ends a read: whether its state is held from now on.
    fn end(&self, id: &str) -> bool {
        let mut held = lock(&self.held);
        let Some(state) = held.get_mut(id) else {
            return false;
        };
        if state.unwanted {
            held.remove(id);
            return false;
        }
        state.reading = false;
        true
    }

    fn take(&self, id: &str) -> Option<Held> {
        let mut held = lock(&self.held);
        held.get(id).filter(|h| !h.reading)?;
        held.remove(id)
    }

    fn release(&self, id: &str) -> Option<Held> {
        let mut held = lock(&self.held);
        let state = held.get_mut(id)?;
        if state.reading {
            state.unwanted = true;
            return None;
        }
        held.remove(id)
    }

    fn forget(&self, host: &str) -> Vec<String> {
        let mut held = lock(&self.held);
        let mut gone: Vec<String> = held
            .iter()
            .filter(|(_, h)| h.host == host)
            .map(|(id, _)| id.clone())
            .collect();
        gone.sort();
        gone.iter().for_each(|id| _ = held.remove(id));
        gone
    }

    /// A writer begins; a result that an earlier run under this id left is not its own.
    fn began(&self, id: &str, name: &str) {
        lock(&self.running).insert(id.to_owned(), name.to_owned());
        lock(&self.results.0).remove(id);
    }

    fn ended(&self, id: &str, name: &str) {
        let mut running = lock(&self.running);
        if running.get(id).is_some_and(|n| n == name) {
            running.remove(id);
        }
    }

    fn running(&self, id: &str) -> String {
        lock(&self.running).get(id).cloned().unwrap_or_default()
    }

    fn put_result(&self, id: &str, result: String) {
        lock(&self.results.0).insert(id.to_owned(), result);
        self.results.1.notify_all();
    }

    fn has_result(&self, id: &str, patience: Duration) -> Option<String> {
        let waiting = self
            .results
            .1
            .wait_timeout_while(lock(&self.results.0), patience, |r| !r.contains_key(id));
        waiting.unwrap_or_else(PoisonError::into_inner).0.remove(id)
    }
}

/// Slots and the queue before them.
#[derive(Default)]
struct Slots {
    busy: usize,
    waiting: usize,
    closed: bool,
}

struct Shared {
    settings: HostSettings,
    states: Arc<States>,
    history: History,
    slots: (Mutex<Slots>, Condvar),
    started: Instant,
    /// Tokens it was sent lately, and when.
    sent: Mutex<VecDeque<(Instant, f64)>>,
    peer: OnceLock<Peer>,
}

/// A stand-in model host.
pub struct Host {
    settings: HostSettings,
    states: Arc<States>,
    history: History,
    life: Arc<Mutex<Option<Arc<Shared>>>>,
    address: SocketAddr,
}

impl Host {
    /// Starts a host.
    ///
    /// # Errors
    /// Its address is taken.
    pub fn start(
        settings: HostSettings,
        states: Arc<States>,
        history: History,
    ) -> std::io::Result<Host> {
        let address = settings.listen;
        let mut host = Host {
            settings,
            states,
            history,
            life: Arc::default(),
            address,
        };
        let life = host.live()?;
        host.address = life.peer.get().map_or(address, |p| p.address);
        *lock(&host.life) = Some(life);
        Ok(host)
    }

    fn live(&self) -> std::io::Result<Arc<Shared>> {
        let shared = Arc::new(Shared {
            settings: self.settings.clone(),
            states: self.states.clone(),
            history: self.history.clone(),
            slots: Default::default(),
            started: Instant::now(),
            sent: Mutex::default(),
            peer: OnceLock::new(),
        });
        let served = shared.clone();
        let peer = Peer::start_at(self.address, move |message, conn| {
            served.answer(message, conn)
        })?;
        shared.note("host.started", json!({ "role": self.settings.role.kind() }));
        let _ = shared.peer.set(peer);
        Ok(shared)
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Its settings.
    pub fn settings(&self) -> &HostSettings {
        &self.settings
    }

    /// Whether it runs: neither killed nor fallen over.
    pub fn is_running(&self) -> bool {
        lock(&self.life)
            .as_ref()
            .is_some_and(|life| !lock(&life.slots.0).closed)
    }

    /// Ends it as the death of its process would: connections break, new ones are refused, its states are gone.
    pub fn kill(&self) {
        self.killer()();
    }

    /// What kills it from wherever it is called, once: for reactions to the history.
    pub fn killer(&self) -> impl FnOnce() + Send + 'static {
        let life = Arc::downgrade(&self.life);
        move || {
            if let Some(life) = life.upgrade().and_then(|life| lock(&life).take()) {
                life.end("host.killed");
            }
        }
    }

    /// Starts it again after [`Host::kill`], cold.
    ///
    /// # Errors
    /// Its address is taken by now.
    pub fn restart(&self) -> std::io::Result<()> {
        self.kill();
        *lock(&self.life) = Some(self.live()?);
        Ok(())
    }
}

impl Drop for Host {
    fn drop(&mut self) {
        if let Some(life) = lock(&self.life).take() {
            life.close();
        }
    }
}

const NOT_RUN: &str = "x-not-run: 1\r\n";

impl Shared {
    fn note(&self, event: &str, fields: Value) {
        self.history
            .note(&format!("host/{}", self.settings.name), event, fields);
    }

    /// Takes nothing more; whether it did until now.
    fn close(&self) -> bool {
        let closed = std::mem::replace(&mut lock(&self.slots.0).closed, true);
        self.slots.1.notify_all();
        if let Some(peer) = self.peer.get() {
            peer.close();
        }
        !closed
    }

    fn end(&self, event: &str) {
        if self.close() {
            let lost = self.states.forget(&self.settings.name);
            self.note(event, json!({ "lost": lost }));
        }
    }

    /// Tokens a second that each slot does now.
    fn speed(&self) -> f64 {
        let settings = &self.settings;
        let up = self.started.elapsed().as_secs_f64() / settings.cold_for.as_secs_f64().max(1e-9);
        let part = settings.cold_from + (1.0 - settings.cold_from) * up.min(1.0);
        settings.tokens_per_s * part.max(0.01)
    }

    /// Takes the time that so many tokens need.
    fn work(&self, tokens: f64) {
        if self.settings.tokens_per_s > 0.0 {
            std::thread::sleep(Duration::from_secs_f64(tokens / self.speed()));
        }
    }

    /// Counts what it is sent; whether that was too much and it falls over.
    fn falls(&self, tokens: f64) -> bool {
        let HostSettings {
            fall_multiple,
            fall_after,
            tokens_per_s,
            slots,
            ..
        } = self.settings;
        if fall_multiple <= 0.0 || tokens_per_s <= 0.0 {
            return false;
        }
        let mut sent = lock(&self.sent);
        let now = Instant::now();
        sent.push_back((now, tokens));
        while sent
            .front()
            .is_some_and(|(at, _)| now.duration_since(*at) > fall_after)
        {
            sent.pop_front();
        }
        let all: f64 = sent.iter().map(|(_, tokens)| tokens).sum();
        let falls = all > fall_multiple * self.speed() * slots as f64 * fall_after.as_secs_f64();
        drop(sent);
        if falls {
            self.end("host.fell");
        }
        falls
    }

    /// Waits for a slot: `None` if the host is full or dies meanwhile.
    fn slot(self: &Arc<Self>) -> Option<Slot> {
        let mut slots = lock(&self.slots.0);
        if slots.busy >= self.settings.slots {
            if slots.waiting >= self.settings.waiting {
                return None;
            }
            slots.waiting += 1;
            let full = |s: &mut Slots| s.busy >= self.settings.slots && !s.closed;
            slots = self
                .slots
                .1
                .wait_while(slots, full)
                .unwrap_or_else(PoisonError::into_inner);
            slots.waiting -= 1;
        }
        if slots.closed {
            return None;
        }
        slots.busy += 1;
        Some(Slot(self.clone()))
    }

    fn answer(self: &Arc<Self>, message: &Message, conn: &mut Conn) -> bool {
        let path = message.path();
        if let Some(id) = path.strip_prefix("/internal/tool-results/") {
            let name = self.states.running(id);
            self.note("host.result", json!({ "id": id, "name": name }));
            self.states.put_result(id, message.text());
            conn.answer("204 No Content", "", "");
        } else if let Some(id) = path.strip_prefix("/internal/reservations/") {
            if message.method() != "DELETE" {
                conn.answer("404 Not Found", "", "");
                return true;
            }
            if let Some(state) = self.states.release(id) {
                self.note(
                    "state.released",
                    json!({ "id": id, "name": state.name, "at": state.host }),
                );
            }
            conn.answer("204 No Content", "", "");
        } else if message.method() != "POST" {
            conn.answer("404 Not Found", "", "");
        } else if let Some(id) = message.header("x-request-id") {
            let text = message.text();
            let plan = Plan::read(&text, id);
            let reads = self.settings.role == HostRole::Reader;
            if self.falls(if reads {
                text.len() as f64 / 4.0
            } else {
                f64::from(plan.words)
            }) {
                return false;
            }
            return match self.settings.role {
                HostRole::Reader => self.read(id, &plan, text.len() as u64 / 4, conn),
                HostRole::Writer => self.write(id, &plan, &text, conn),
            };
        } else {
            conn.answer("404 Not Found", "", "");
        }
        true
    }

    /// Reads a prompt. A read goes on though its conductor is gone: what it leaves is held until it is let go.
    fn read(self: &Arc<Self>, id: &str, plan: &Plan, tokens: u64, conn: &mut Conn) -> bool {
        let slot = self.slot();
        let fits = self.states.tokens(&self.settings.name) + tokens <= self.settings.memory_tokens;
        if slot.is_none() || !fits {
            self.note("host.turned_away", json!({ "id": id, "name": plan.name }));
            conn.answer("503 Service Unavailable", NOT_RUN, "");
            return true;
        }
        self.note(
            "read.begun",
            json!({ "id": id, "name": plan.name, "tokens": tokens }),
        );
        self.states
            .begin(id, &self.settings.name, &plan.name, tokens);
        self.work(tokens as f64);
        if self.states.end(id) {
            self.note(
                "state.held",
                json!({ "id": id, "name": plan.name, "tokens": tokens }),
            );
        }
        drop(slot);
        conn.answer("202 Accepted", "", r#"{"cached_tokens":0}"#);
        true
    }

    /// Streams an answer, from where the client's text ends.
    fn write(self: &Arc<Self>, id: &str, plan: &Plan, body: &str, conn: &mut Conn) -> bool {
        let Some(slot) = self.slot() else {
            self.note("host.turned_away", json!({ "id": id, "name": plan.name }));
            conn.answer("503 Service Unavailable", NOT_RUN, "");
            return true;
        };
        let Some(state) = self.states.take(id) else {
            self.note("host.no_state", json!({ "id": id, "name": plan.name }));
            conn.answer("410 Gone", NOT_RUN, "");
            return true;
        };
        self.states.began(id, &plan.name);
        self.note(
            "state.taken",
            json!({ "id": id, "name": plan.name, "at": state.host }),
        );
        let request: Value = serde_json::from_str(body).unwrap_or_default();
        let class = request["model"].as_str().unwrap_or("");
        let resume = request.get("resume");
        let had = resume.and_then(|r| r["text"].as_str()).unwrap_or("");
        let mut calls = resume.and_then(|r| r["calls"].as_u64()).unwrap_or(0);
        let first = had.split_whitespace().count() as u32;
        self.note(
            "run.begun",
            json!({ "id": id, "name": plan.name, "class": class, "resumed": resume.is_some(), "word": first }),
        );
        conn.begin_stream();
        for word in first..plan.words {
            self.work(1.0);
            let text = if plan.has_call(word) {
                self.note(
                    "run.call",
                    json!({ "id": id, "name": plan.name, "ordinal": calls }),
                );
                let call = json!({ "jsonrpc": "2.0", "id": format!("w-{calls}"), "method": "annex.fetch",
                    "params": { "request": plan.name, "ordinal": calls } });
                calls += 1;
                if !conn.event(&call.to_string()) {
                    return self.left(id, plan);
                }
                let said = loop {
                    if let Some(said) = self.states.has_result(id, Duration::from_millis(50)) {
                        break said;
                    }
                    if conn.has_closed() || lock(&self.slots.0).closed {
                        return self.left(id, plan);
                    }
                };
                let said: Value = serde_json::from_str(&said).unwrap_or_default();
                match said["result"]["said"].as_str() {
                    Some(said) => format!("[{said}] "),
                    None => format!("[error{}] ", said["error"]["code"]),
                }
            } else {
                plan.word(word)
            };
            if conn.has_closed() || !conn.delta(&text) {
                return self.left(id, plan);
            }
            if word == first {
                self.note("run.first", json!({ "id": id, "name": plan.name }));
            }
        }
        conn.event(r#"{"choices":[{"index":0,"delta":{},"finish_reason":"stop"}]}"#);
        self.note("run.done", json!({ "id": id, "name": plan.name }));
        self.states.ended(id, &plan.name);
        drop(slot);
        conn.end_stream();
        true
    }

    fn left(&self, id: &str, plan: &Plan) -> bool {
        self.note("run.left", json!({ "id": id, "name": plan.name }));
        self.states.ended(id, &plan.name);
        false
    }
}

struct Slot(Arc<Shared>);

impl Drop for Slot {
    fn drop(&mut self) {
        lock(&self.0.slots.0).busy -= 1;
        self.0.slots.1.notify_one();
    }
}

#[cfg(test)]
mod tests;
