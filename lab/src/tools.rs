//! The stand-in tool side: JSON-RPC over HTTP, every execution counted.

use crate::history::History;
use crate::peer::{Conn, Message, Peer};
use serde_json::{Value, json};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};

/// What a tool says at an execution of a call, counted from 1: a second run says something else, so that an answer
/// built on it is told from the right one.
pub fn said(key: &str, execution: u32) -> String {
    format!("{key}#{execution}")
}

#[derive(Default)]
struct Runs {
    /// Executions by the call's id.
    runs: HashMap<String, u32>,
    /// What was answered, by `Idempotency-Key`, where keys are kept.
    kept: HashMap<String, String>,
    held: bool,
}

struct Shared {
    history: History,
    keeps_keys: bool,
    runs: (Mutex<Runs>, Condvar),
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, Runs> {
        self.runs.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A stand-in tool side.
pub struct ToolSide {
    peer: Peer,
    shared: Arc<Shared>,
}

impl ToolSide {
    /// Starts it. One that does not keep keys runs a call as often as it comes.
    ///
    /// # Errors
    /// The address is taken.
    pub fn start(
        listen: SocketAddr,
        keeps_keys: bool,
        history: History,
    ) -> std::io::Result<ToolSide> {
        let shared = Arc::new(Shared {
            history,
            keeps_keys,
            runs: Default::default(),
        });
        let served = shared.clone();
        let peer = Peer::start_at(listen, move |message, conn| answer(&served, message, conn))?;
        Ok(ToolSide { peer, shared })
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.peer.address
    }

    /// Executions by the call's id.
    pub fn runs(&self) -> HashMap<String, u32> {
        self.shared.lock().runs.clone()
    }

    /// From now on it runs what comes and keeps its answers back.
    pub fn hold(&self) {
        self.shared.lock().held = true;
    }

    /// Gives the answers held back, and all further ones at once.
    pub fn release(&self) {
        self.shared.lock().held = false;
        self.shared.runs.1.notify_all();
    }

    /// Breaks all its connections.
    pub fn break_off(&self) {
        self.peer.kill();
    }
}

impl Drop for ToolSide {
    fn drop(&mut self) {
        self.release();
    }
}

fn answer(shared: &Shared, message: &Message, conn: &mut Conn) -> bool {
    let call: Value = serde_json::from_slice(&message.body).unwrap_or_default();
    let Some(id) = call["id"].as_str() else {
        conn.answer("400 Bad Request", "", "");
        return true;
    };
    let key = message.header("idempotency-key").unwrap_or(id);
    let mut runs = shared.lock();
    if shared.keeps_keys {
        // A repeat waits for the run it repeats.
        let running = |r: &mut Runs| r.runs.contains_key(id) && !r.kept.contains_key(key);
        runs = shared
            .runs
            .1
            .wait_while(runs, running)
            .unwrap_or_else(PoisonError::into_inner);
        if let Some(answer) = runs.kept.get(key).cloned() {
            drop(runs);
            shared
                .history
                .note("tool", "tool.repeated", json!({ "call": id }));
            conn.answer("200 OK", "", &answer);
            return true;
        }
    }
    let execution = {
        let count = runs.runs.entry(id.to_owned()).or_insert(0);
        *count += 1;
        *count
    };
    drop(runs);
    let from = conn
        .0
        .peer_addr()
        .map(|a| a.to_string())
        .unwrap_or_default();
    shared.history.note(
        "tool",
        "tool.ran",
        json!({ "call": id, "execution": execution, "from": from }),
    );
    drop(
        shared
            .runs
            .1
            .wait_while(shared.lock(), |r| r.held)
            .unwrap_or_else(PoisonError::into_inner),
    );
    let answer = json!({ "jsonrpc": "2.0", "id": id, "result": { "said": said(id, execution) } })
        .to_string();
    if shared.keeps_keys {
        shared.lock().kept.insert(key.to_owned(), answer.clone());
        shared.runs.1.notify_all();
    }
    shared.history.note(
        "tool",
        "tool.answered",
        json!({ "call": id, "execution": execution }),
    );
    conn.answer("200 OK", "", &answer);
    true
}
