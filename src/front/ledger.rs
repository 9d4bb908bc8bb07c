//! The ledger of tool calls: what keeps a tool from running twice when a stream breaks and resumes.
//!
//! A call's key is its request's lasting name and its ordinal in the answer, never the writer's id. The entry
//! stands before the first byte goes out and outlives the stream, the writer and the client's connection.

use super::record::Claim;
use crate::config::ToolSettings;
use crate::counters::Counters;
use crate::net::pool::{Pool, Target};
use crate::routing::types::{CallState, WorkerId, permit_call};
use bytes::Bytes;
use http_body_util::{BodyExt, Full, LengthLimitError, Limited};
use hyper::Request;
use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::Instant;
use tower::{Service, ServiceExt};
use xxhash_rust::xxh3::xxh3_128;

/// Between tries to connect to the tool side: nothing has run yet, so trying again is harmless.
const RECONNECT: Duration = Duration::from_millis(50);
/// Tries to connect.
const CONNECTS: u32 = 3;
/// What an entry takes beside its outcome.
const ENTRY_BYTES: usize = 256;

/// A call's lasting name: the request's and the ordinal of the call in its answer.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct CallKey {
    /// The request's name, the same over all resumes.
    pub request: Rc<str>,
    /// Calls of its answer before this one.
    pub ordinal: u32,
}

/// A JSON-RPC error object of the front's own.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct ToolError {
    /// The code.
    pub code: i32,
    /// What it means.
    pub message: &'static str,
}

/// The tool was never reached: it did not run, and a repeat may try again.
pub const NEVER_RAN: ToolError = ToolError {
    code: -32010,
    message: "tool not reached; it did not run",
};
/// The call went out and no answer came: it may have run and will not be sent again.
pub const UNKNOWN: ToolError = ToolError {
    code: -32011,
    message: "outcome unknown; the call may have run",
};
/// The key stands for other arguments already.
pub const REUSED: ToolError = ToolError {
    code: -32012,
    message: "call repeated with other arguments",
};
/// The arguments are over their bound.
pub const CALL_TOO_LONG: ToolError = ToolError {
    code: -32013,
    message: "arguments too long; the tool did not run",
};
/// The result is over its bound.
pub const RESULT_TOO_LONG: ToolError = ToolError {
    code: -32014,
    message: "result too long; the tool has run",
};
/// No room for another call.
pub const NO_ROOM: ToolError = ToolError {
    code: -32015,
    message: "too many calls; the tool did not run",
};
/// The call's client took its request back while the tool was at it.
pub const CANCELLED: ToolError = ToolError {
    code: -32016,
    message: "cancelled; the call may have run",
};

impl ToolError {
    /// The error of this code; one that says least if there is none.
    pub fn by_code(code: i32) -> ToolError {
        let all = [
            NEVER_RAN,
            UNKNOWN,
            REUSED,
            CALL_TOO_LONG,
            RESULT_TOO_LONG,
            NO_ROOM,
            CANCELLED,
        ];
        all.into_iter().find(|e| e.code == code).unwrap_or(UNKNOWN)
    }
}

/// How a call ended.
#[derive(Clone, Debug)]
pub enum Outcome {
    /// The tool's result.
    Result(Rc<RawValue>),
    /// The tool's own error.
    ToolSaid(Rc<RawValue>),
    /// The front's error.
    Error(ToolError),
}

#[derive(Clone)]
enum State {
    InFlight,
    Ended(Outcome),
}

struct Entry {
    arguments: u128,
    state: watch::Receiver<State>,
    /// Drops the call while it is in flight.
    cancel: Rc<watch::Sender<bool>>,
    ended: Option<Instant>,
    bytes: usize,
}

#[derive(Serialize)]
struct ToolRequest<'a> {
    jsonrpc: &'static str,
    id: &'a str,
    method: &'a str,
    #[serde(skip_serializing_if = "Option::is_none")]
    params: Option<&'a RawValue>,
}

#[derive(Deserialize)]
struct ToolResponse {
    jsonrpc: String,
    id: String,
    #[serde(default, deserialize_with = "super::jsonrpc::present")]
    result: Option<Box<RawValue>>,
    error: Option<Box<RawValue>>,
}

/// The ledger, and the client of the tool side behind it.
pub struct Ledger {
    entries: RefCell<HashMap<CallKey, Entry>>,
    bytes: Cell<usize>,
    swept: Cell<Option<Instant>>,
    settings: ToolSettings,
    pool: Pool,
    counters: Rc<Counters>,
}

impl Ledger {
    /// An empty ledger.
    pub fn new(
        settings: ToolSettings,
        connect_timeout: Duration,
        counters: Rc<Counters>,
    ) -> Rc<Self> {
        let keep = Duration::from_secs(5);
        let pool = Pool::new(
            settings.max_calls_at_once,
            connect_timeout,
            keep,
            counters.clone(),
        );
        let (entries, bytes, swept) = (RefCell::default(), Cell::new(0), Cell::new(None));
        Rc::new(Ledger {
            entries,
            bytes,
            swept,
            settings,
            pool,
            counters,
        })
    }

    /// Answers a call: from the record, with the call in flight, or by running the tool, once for a key.
    /// Dropping the future leaves the call running: its outcome is wanted when the stream resumes.
    /// With a claim, the fleet's record goes before this conductor's own.
    pub async fn call(
        self: &Rc<Self>,
        key: CallKey,
        claim: Option<Claim>,
        method: &str,
        params: Option<&RawValue>,
    ) -> Outcome {
        self.counters.tool_calls.up();
        let outcome = match self.enter(key, claim, method, params) {
            Ok(mut state) => loop {
                if let State::Ended(outcome) = &*state.borrow_and_update() {
                    break outcome.clone();
                }
                if state.changed().await.is_err() {
                    // Whoever ran it has gone wrong (a panic, say).
                    break Outcome::Error(UNKNOWN);
                }
            },
            Err(error) => Outcome::Error(error),
        };
        if matches!(outcome, Outcome::Error(_)) {
            self.counters.tool_errors.up();
        }
        outcome
    }

    /// Whether a call is out, or its outcome not on record yet.
    pub fn is_busy(&self) -> bool {
        self.entries.borrow().values().any(|e| e.ended.is_none())
    }

    /// Drops the calls of a request that are in flight; their outcome is unknown from then on.
    pub fn cancel(&self, request: &str) {
        let entries = self.entries.borrow();
        for entry in entries
            .iter()
            .filter(|(k, e)| &*k.request == request && e.ended.is_none())
            .map(|(_, e)| e)
        {
            entry.cancel.send_replace(true);
        }
    }

    fn enter(
        self: &Rc<Self>,
        key: CallKey,
        claim: Option<Claim>,
        method: &str,
        params: Option<&RawValue>,
    ) -> Result<watch::Receiver<State>, ToolError> {
        let arguments = digest(method, params);
        if let Some(entry) = self.entries.borrow().get(&key) {
            // Guards against a model that, after a resume, asks something else in the same place: the recorded
            // result is no answer to that, and running it would be a second run.
            if entry.arguments != arguments {
                return Err(REUSED);
            }
            self.counters.tool_repeats.up();
            return Ok(entry.state.clone());
        }
        if key.ordinal >= self.settings.max_calls {
            return Err(NO_ROOM);
        }
        let id = format!("{}/{}", key.request, key.ordinal);
        let message = ToolRequest {
            jsonrpc: "2.0",
            id: &id,
            method,
            params,
        };
        let body = serde_json::to_vec(&message).map_err(|_| CALL_TOO_LONG)?;
        if body.len() > self.settings.max_call_bytes {
            return Err(CALL_TOO_LONG);
        }
        self.sweep();
        // Nothing that is still remembered is put out to make room: that would allow a second run.
        let full = self.entries.borrow().len() >= self.settings.max_entries;
        if full || self.bytes.get() + ENTRY_BYTES > self.settings.max_ledger_bytes {
            return Err(NO_ROOM);
        }
        let (tell, state) = watch::channel(State::InFlight);
        let cancel = Rc::new(watch::Sender::new(false));
        let cancelled = cancel.subscribe();
        let entry = Entry {
            arguments,
            state: state.clone(),
            cancel,
            ended: None,
            bytes: ENTRY_BYTES,
        };
        // From here on a repeat finds the call, and only now does a byte of it go out.
        self.entries.borrow_mut().insert(key.clone(), entry);
        self.bytes.set(self.bytes.get() + ENTRY_BYTES);
        let ledger = self.clone();
        tokio::task::spawn_local(async move {
            let recorded = match &claim {
                Some(claim) => {
                    claim
                        .call(key.ordinal, arguments, ledger.settings.call_timeout())
                        .await
                }
                None => None,
            };
            let outcome = match recorded {
                // Made before, by whichever conductor, or not to be made.
                Some(outcome) => outcome,
                None => {
                    let outcome = ledger.run(id, Bytes::from(body), cancelled).await;
                    if let Some(claim) = &claim {
                        claim.call_ended(key.ordinal, &outcome).await;
                    }
                    outcome
                }
            };
            ledger.record(&key, &outcome);
            tell.send_replace(State::Ended(outcome));
        });
        Ok(state)
    }

    fn record(&self, key: &CallKey, outcome: &Outcome) {
        let mut entries = self.entries.borrow_mut();
        if matches!(outcome, Outcome::Error(error) if *error == NEVER_RAN) {
            if let Some(entry) = entries.remove(key) {
                self.bytes.set(self.bytes.get() - entry.bytes);
            }
            return;
        }
        if let Some(entry) = entries.get_mut(key) {
            entry.ended = Some(Instant::now());
            if let Outcome::Result(raw) | Outcome::ToolSaid(raw) = outcome {
                entry.bytes += raw.get().len();
                self.bytes.set(self.bytes.get() + raw.get().len());
            }
        }
    }

    /// Forgets outcomes that have been remembered for long enough, and closes connections that idle.
    pub fn sweep(&self) {
        if self
            .swept
            .get()
            .is_some_and(|at| at.elapsed() < Duration::from_secs(1))
        {
            return;
        }
        self.swept.set(Some(Instant::now()));
        let remember = Duration::from_secs(self.settings.remember_s);
        self.entries
            .borrow_mut()
            .retain(|_, e| e.ended.is_none_or(|at| at.elapsed() < remember));
        self.bytes
            .set(self.entries.borrow().values().map(|e| e.bytes).sum());
        self.pool.evict_stale();
    }

    /// Runs the tool. Tried again only while not all of the call has been written: it can't have run.
    async fn run(&self, id: String, body: Bytes, mut cancelled: watch::Receiver<bool>) -> Outcome {
        let deadline = tokio::time::sleep(self.settings.call_timeout());
        tokio::pin!(deadline);
        let written = Cell::new(false);
        let outcome = tokio::select! {
            outcome = self.tries(&id, body, &written) => outcome,
            () = &mut deadline => Err("no answer in time".into()),
            _ = cancelled.wait_for(|c| *c) => {
                return Outcome::Error(if written.get() { CANCELLED } else { NEVER_RAN });
            }
        };
        outcome.unwrap_or_else(|error: Box<dyn std::error::Error>| {
            let never = !written.get();
            log::warn!(
                "tool call {id}: {error}; {}",
                if never {
                    "it did not run"
                } else {
                    "it may have run"
                }
            );
            Outcome::Error(if never { NEVER_RAN } else { UNKNOWN })
        })
    }

    async fn tries(
        &self,
        id: &str,
        body: Bytes,
        written: &Cell<bool>,
    ) -> Result<Outcome, Box<dyn std::error::Error>> {
        let mut tries = 0;
        loop {
            tries += 1;
            let outcome = self.once(id, body.clone(), written).await;
            if written.get() || outcome.is_ok() || tries == CONNECTS {
                return outcome;
            }
            tokio::time::sleep(RECONNECT).await;
        }
    }

    async fn once(
        &self,
        id: &str,
        body: Bytes,
        written: &Cell<bool>,
    ) -> Result<Outcome, Box<dyn std::error::Error>> {
        let target = Target {
            worker: WorkerId("tools".into()),
            address: self.settings.dial,
            connect_timeout: None,
            may_use_reserve: false,
            requires_new: false,
        };
        let mut connection = self
            .pool
            .clone()
            .ready()
            .await?
            .call(target.clone())
            .await?;
        let length = body.len();
        let request = Request::post(&self.settings.path)
            .header("host", "tools")
            .header("content-type", "application/json")
            .header("idempotency-key", id)
            .body(Full::new(body))?;
        let meter = connection.meter();
        let permit = permit_call(CallState::ToolCall {
            may_have_run: written.get(),
        })?;
        self.counters.tool_runs.up();
        // Taken to be written until the meter says otherwise, should this be dropped half-way.
        written.set(true);
        let answered = connection.send_call(request, length, permit).await;
        written.set(meter.complete());
        let (head, body) = answered?.into_parts();
        written.set(true);
        let whole = match Limited::new(body, self.settings.max_result_bytes)
            .collect()
            .await
        {
            Ok(whole) => whole.to_bytes(),
            Err(error) if error.is::<LengthLimitError>() => {
                return Ok(Outcome::Error(RESULT_TOO_LONG));
            }
            Err(error) => return Err(error.to_string().into()),
        };
        self.pool.put_back(&target, connection);
        let response: ToolResponse = serde_json::from_slice(&whole)
            .map_err(|e| format!("status {}, no JSON-RPC response: {e}", head.status))?;
        if response.jsonrpc != "2.0" || response.id != id {
            return Err("a response to something else".into());
        }
        match (response.result, response.error) {
            (Some(result), None) => Ok(Outcome::Result(result.into())),
            (None, Some(error)) => Ok(Outcome::ToolSaid(error.into())),
            _ => Err("a response with neither or both of result and error".into()),
        }
    }
}

/// Arguments as one number: the same for the same values, however a writer spaces or orders them.
fn digest(method: &str, params: Option<&RawValue>) -> u128 {
    let value: serde_json::Value = params
        .and_then(|p| serde_json::from_str(p.get()).ok())
        .unwrap_or_default();
    xxh3_128(format!("{method}\n{value}").as_bytes())
}

#[cfg(test)]
mod tests;
