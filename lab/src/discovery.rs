//! Stand-in discovery: one list of hosts, told by an agent at each conductor's side.

use crate::history::History;
use crate::peer::{Conn, Message, Peer};
use serde::Serialize;
use serde_json::json;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

/// An empty line comes this often while nothing changes.
const BEAT: Duration = Duration::from_secs(2);

/// An entry of the list, as the platform's protocol has it.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Entry {
    /// The host's name, the same at every conductor.
    pub host: String,
    /// Where it is reached; an agent may say otherwise.
    pub dial: SocketAddr,
    /// Its site.
    pub site: String,
    /// Its kind.
    pub class: String,
    /// Its rack.
    pub block: u64,
    /// `ready`, `draining` or `gone`.
    pub health: String,
    /// Its share of the load.
    pub share: f64,
    /// Its last start in milliseconds since 1970; 0 for long ago.
    pub born_ms: u64,
}

#[derive(Default)]
struct List {
    /// Entries with the version of their last change.
    entries: BTreeMap<String, (u64, Entry)>,
    seq: u64,
    closed: bool,
}

struct Shared {
    list: (Mutex<List>, Condvar),
    history: History,
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, List> {
        self.list.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// The list, and whom it is told.
pub struct Discovery {
    shared: Arc<Shared>,
    agents: Mutex<Vec<Peer>>,
}

impl Discovery {
    /// An empty list.
    pub fn new(history: History) -> Discovery {
        let shared = Arc::new(Shared {
            list: Default::default(),
            history,
        });
        Discovery {
            shared,
            agents: Mutex::default(),
        }
    }

    /// Enters a host or changes its entry.
    pub fn set(&self, entry: Entry) {
        self.shared.history.note(
            "discovery",
            "list.set",
            json!({ "host": entry.host, "health": entry.health }),
        );
        let mut list = self.shared.lock();
        list.seq += 1;
        let seq = list.seq;
        list.entries.insert(entry.host.clone(), (seq, entry));
        drop(list);
        self.shared.list.1.notify_all();
    }

    /// Changes a host's health; nothing if there is none of that name.
    pub fn set_health(&self, host: &str, health: &str) {
        let entry = self.shared.lock().entries.get(host).map(|(_, e)| e.clone());
        if let Some(entry) = entry {
            self.set(Entry {
                health: health.to_owned(),
                ..entry
            });
        }
    }

    /// An agent at an address, which gives some hosts other addresses (those of a conductor's relays).
    ///
    /// # Errors
    /// The address is taken.
    pub fn agent(
        &self,
        listen: SocketAddr,
        dial: BTreeMap<String, SocketAddr>,
    ) -> std::io::Result<SocketAddr> {
        let shared = self.shared.clone();
        let peer = Peer::start_at(listen, move |message, conn| {
            answer(&shared, &dial, message, conn)
        })?;
        let address = peer.address;
        self.agents
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .push(peer);
        Ok(address)
    }
}

impl Drop for Discovery {
    fn drop(&mut self) {
        self.shared.lock().closed = true;
        self.shared.list.1.notify_all();
    }
}

fn message(list: &List, dial: &BTreeMap<String, SocketAddr>, after: Option<u64>) -> String {
    let told = |(seq, entry): &(u64, Entry)| match after {
        Some(after) => *seq > after,
        None => entry.health != "gone",
    };
    let mut hosts: Vec<Entry> = list
        .entries
        .values()
        .filter(|e| told(e))
        .map(|(_, e)| e.clone())
        .collect();
    hosts
        .iter_mut()
        .for_each(|e| e.dial = *dial.get(&e.host).unwrap_or(&e.dial));
    json!({ "seq": list.seq, "whole": after.is_none(), "hosts": hosts }).to_string()
}

fn answer(
    shared: &Shared,
    dial: &BTreeMap<String, SocketAddr>,
    request: &Message,
    conn: &mut Conn,
) -> bool {
    let (path, query) = request
        .path()
        .split_once('?')
        .unwrap_or((request.path(), ""));
    if path != "/v1/servers" {
        conn.answer("404 Not Found", "", "");
        return true;
    }
    let field = |name: &str| {
        query
            .split('&')
            .find_map(|p| p.strip_prefix(name)?.strip_prefix('='))
    };
    if field("watch").is_none() {
        let body = message(&shared.lock(), dial, None);
        conn.answer("200 OK", "", &body);
        return true;
    }
    let mut after: u64 = field("after").and_then(|a| a.parse().ok()).unwrap_or(0);
    conn.begin_stream();
    loop {
        let unchanged = |list: &mut List| list.seq <= after && !list.closed;
        let waited = shared
            .list
            .1
            .wait_timeout_while(shared.lock(), BEAT, unchanged);
        let list = waited.unwrap_or_else(PoisonError::into_inner).0;
        if list.closed {
            return false;
        }
        let line = if list.seq > after {
            message(&list, dial, Some(after))
        } else {
            String::new()
        };
        after = list.seq;
        drop(list);
        if line.is_empty() {
            shared.history.note("discovery", "list.beat", json!({}));
        }
        if !conn.chunk(&format!("{line}\n")) || conn.has_closed() {
            return false;
        }
    }
}
