//! The ledger of tool calls, which keeps a tool from running twice when a stream breaks and is resumed.
//!
//! A call's key consists of the client's name for the request, which stays the same over all resumes, and the call's
//! ordinal in the answer; the JSON-RPC id that the decode worker chose is not part of it. The entry is inserted before
//! the first byte of the call is sent, and it outlives the stream, the decode worker's connection and the client's
//! connection.

use super::record::Claim;
use crate::config::ToolSettings;
use crate::counters::Counters;
use crate::memory::{Budget, Buffer};
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

/// The delay between attempts to connect to the tool server. Nothing has run at that point, so a retry is harmless.
const CONNECT_RETRY_DELAY: Duration = Duration::from_millis(50);
const MAX_CONNECT_ATTEMPTS: u32 = 3;
/// The size that is accounted for an entry in addition to its outcome.
const ENTRY_OVERHEAD_BYTES: usize = 256;

/// Identifies a tool call across resumes of its request.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct CallKey {
    /// The client's name for the request, the same over all resumes.
    pub request: Rc<str>,
    /// The number of calls before this one in the request's answer.
    pub ordinal: u32,
}

/// A JSON-RPC error object that the router itself reports for a tool call.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct CallError {
    /// The JSON-RPC error code, unique among the constants of this module.
    pub code: i32,
    /// The error text for the decode worker.
    pub message: &'static str,
}

/// The tool server was not reached: the tool did not run, and a repeat of the call tries again.
pub const TOOL_NOT_REACHED: CallError = CallError {
    code: -32010,
    message: "tool not reached; it did not run",
};
/// The call was sent and no valid response was received: the tool may have run, and the call is not sent again.
pub const OUTCOME_UNKNOWN: CallError = CallError {
    code: -32011,
    message: "outcome unknown; the call may have run",
};
/// The ledger has a call with this key but with another method or other parameters.
pub const ARGUMENTS_DIFFER: CallError = CallError {
    code: -32012,
    message: "call repeated with other arguments",
};
/// The call is longer than `max_call_bytes`.
pub const ARGUMENTS_TOO_LONG: CallError = CallError {
    code: -32013,
    message: "arguments too long; the tool did not run",
};
/// The tool's response is longer than `max_result_bytes`.
pub const RESULT_TOO_LONG: CallError = CallError {
    code: -32014,
    message: "result too long; the tool has run",
};
/// The request has reached `max_calls`, or the ledger is full.
pub const TOO_MANY_CALLS: CallError = CallError {
    code: -32015,
    message: "too many calls; the tool did not run",
};
/// The client cancelled the request after the call had been sent.
pub const CANCELLED: CallError = CallError {
    code: -32016,
    message: "cancelled; the call may have run",
};

impl CallError {
    /// Returns the error with this code, or [`OUTCOME_UNKNOWN`], which promises the least, if there is none.
    pub fn by_code(code: i32) -> CallError {
        let known_errors = [
            TOOL_NOT_REACHED,
            OUTCOME_UNKNOWN,
            ARGUMENTS_DIFFER,
            ARGUMENTS_TOO_LONG,
            RESULT_TOO_LONG,
            TOO_MANY_CALLS,
            CANCELLED,
        ];
        known_errors
            .into_iter()
            .find(|e| e.code == code)
            .unwrap_or(OUTCOME_UNKNOWN)
    }
}

/// The outcome of a tool call.
#[derive(Clone, Debug)]
pub enum Outcome {
    /// The `result` of the tool's response.
    Result(Rc<RawValue>),
    /// The `error` of the tool's response.
    ToolError(Rc<RawValue>),
    /// An error that the router reports.
    Error(CallError),
}

#[derive(Clone)]
enum State {
    InFlight,
    Completed(Outcome),
}

struct Entry {
    arguments_digest: u128,
    state: watch::Receiver<State>,
    /// Set to `true` to cancel the call while it is in flight.
    cancel: Rc<watch::Sender<bool>>,
    completed_at: Option<Instant>,
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
    #[serde(default, deserialize_with = "super::jsonrpc::deserialize_present")]
    result: Option<Box<RawValue>>,
    error: Option<Box<RawValue>>,
}

/// A call that is on its way to the tool server.
struct PendingCall {
    id: String,
    body: Bytes,
    /// Whether all of the call may have been written, so that the tool may have run.
    written: Cell<bool>,
    outcome: watch::Sender<State>,
}

impl PendingCall {
    /// Whether anybody waits for the outcome, besides the ledger's own entry. When the client or the decode worker has
    /// gone, a call that has not begun is not made: the resumed stream makes it.
    fn is_wanted(&self) -> bool {
        self.outcome.receiver_count() > 1
    }
}

/// A call whose outcome [`Ledger::outcome`] returns; it does not refer to the call's arguments.
pub struct StartedCall(Result<watch::Receiver<State>, CallError>);

/// The ledger of tool calls, with the client that sends them to the tool server.
pub struct Ledger {
    entries: RefCell<HashMap<CallKey, Entry>>,
    /// The accounted size of all entries, bounded by `max_ledger_bytes`.
    bytes: Cell<usize>,
    last_sweep: Cell<Option<Instant>>,
    settings: ToolSettings,
    pool: Pool,
    counters: Rc<Counters>,
    /// Counts the calls in flight. The outcomes that are kept count against `max_ledger_bytes`.
    memory: Budget,
}

impl Ledger {
    /// An empty ledger. `connect_timeout` applies to connections to the tool server; calls in flight count against
    /// `memory`.
    pub fn new(
        settings: ToolSettings,
        connect_timeout: Duration,
        counters: Rc<Counters>,
        memory: Budget,
    ) -> Rc<Self> {
        let idle_timeout = Duration::from_secs(5);
        let pool = Pool::new(
            settings.max_calls_at_once,
            connect_timeout,
            idle_timeout,
            counters.clone(),
        );
        let (entries, bytes, last_sweep) = (RefCell::default(), Cell::new(0), Cell::new(None));
        Rc::new(Ledger {
            entries,
            bytes,
            last_sweep,
            settings,
            pool,
            counters,
            memory,
        })
    }

    /// Starts a call, unless its outcome is recorded or the same call is in flight. The tool runs at most once for a key.
    /// With a claim, the fleet's record takes precedence over this ledger.
    pub fn start(
        self: &Rc<Self>,
        key: CallKey,
        claim: Option<Claim>,
        method: &str,
        params: Option<&RawValue>,
    ) -> StartedCall {
        self.counters.tool_calls.up();
        StartedCall(self.find_or_start(key, claim, method, params))
    }

    /// Returns the outcome of a call. Dropping the future leaves the call running, since its outcome is needed when the
    /// stream is resumed.
    pub async fn outcome(&self, call: StartedCall) -> Outcome {
        let outcome = match call.0 {
            Ok(mut state) => loop {
                if let State::Completed(outcome) = &*state.borrow_and_update() {
                    break outcome.clone();
                }
                if state.changed().await.is_err() {
                    // The task that ran the call died without an outcome, for example by a panic.
                    break Outcome::Error(OUTCOME_UNKNOWN);
                }
            },
            Err(error) => Outcome::Error(error),
        };
        if matches!(outcome, Outcome::Error(_)) {
            self.counters.tool_errors.up();
        }
        outcome
    }

    /// Whether a call is in flight or its outcome is not recorded yet.
    pub fn is_busy(&self) -> bool {
        self.entries
            .borrow()
            .values()
            .any(|e| e.completed_at.is_none())
    }

    /// Cancels the calls of a request that are in flight. The outcome of those that were already sent is unknown.
    pub fn cancel(&self, request: &str) {
        let entries = self.entries.borrow();
        for entry in entries
            .iter()
            .filter(|(k, e)| &*k.request == request && e.completed_at.is_none())
            .map(|(_, e)| e)
        {
            entry.cancel.send_replace(true);
        }
    }

    fn find_or_start(
        self: &Rc<Self>,
        key: CallKey,
        claim: Option<Claim>,
        method: &str,
        params: Option<&RawValue>,
    ) -> Result<watch::Receiver<State>, CallError> {
        let arguments_digest = digest(method, params);
        if let Some(entry) = self.entries.borrow().get(&key) {
            // After a resume, a model may make a different call at the same ordinal. The recorded result does not
            // answer it, and running it would be a second run under the same key.
            if entry.arguments_digest != arguments_digest {
                return Err(ARGUMENTS_DIFFER);
            }
            self.counters.tool_repeats.up();
            return Ok(entry.state.clone());
        }
        if key.ordinal >= self.settings.max_calls {
            return Err(TOO_MANY_CALLS);
        }
        let id = format!("{}/{}", key.request, key.ordinal);
        let message = ToolRequest {
            jsonrpc: "2.0",
            id: &id,
            method,
            params,
        };
        let body = serde_json::to_vec(&message).map_err(|_| ARGUMENTS_TOO_LONG)?;
        if body.len() > self.settings.max_call_bytes {
            return Err(ARGUMENTS_TOO_LONG);
        }
        self.sweep();
        // Entries are never evicted before their retention ends: that would allow a second run.
        let full = self.entries.borrow().len() >= self.settings.max_entries;
        if full || self.bytes.get() + ENTRY_OVERHEAD_BYTES > self.settings.max_ledger_bytes {
            return Err(TOO_MANY_CALLS);
        }
        let (state_sender, state) = watch::channel(State::InFlight);
        let cancel = Rc::new(watch::Sender::new(false));
        let cancelled = cancel.subscribe();
        let entry = Entry {
            arguments_digest,
            state: state.clone(),
            cancel,
            completed_at: None,
            bytes: ENTRY_OVERHEAD_BYTES,
        };
        // The entry is inserted before any byte of the call is sent, so that a repeat finds it.
        self.entries.borrow_mut().insert(key.clone(), entry);
        self.bytes.set(self.bytes.get() + ENTRY_OVERHEAD_BYTES);
        let ledger = self.clone();
        // The decode worker waits for the outcome, so the call is made even if the budget has too little left.
        let body = Buffer::overdrawn(body, &self.memory).freeze();
        let call = PendingCall {
            id,
            body,
            written: Cell::new(false),
            outcome: state_sender,
        };
        tokio::task::spawn_local(async move {
            let recorded = match &claim {
                Some(claim) => {
                    claim
                        .start_call(
                            key.ordinal,
                            arguments_digest,
                            ledger.settings.call_timeout(),
                        )
                        .await
                }
                None => None,
            };
            let outcome = match recorded {
                // The call was made before, by this or another router, or must not be made.
                Some(outcome) => outcome,
                None => {
                    let outcome = ledger.run(&call, cancelled).await;
                    if let Some(claim) = &claim {
                        claim.record_call_outcome(key.ordinal, &outcome).await;
                    }
                    outcome
                }
            };
            ledger.record(&key, &outcome);
            call.outcome.send_replace(State::Completed(outcome));
        });
        Ok(state)
    }

    fn record(&self, key: &CallKey, outcome: &Outcome) {
        let mut entries = self.entries.borrow_mut();
        if matches!(outcome, Outcome::Error(error) if *error == TOOL_NOT_REACHED) {
            if let Some(entry) = entries.remove(key) {
                self.bytes.set(self.bytes.get() - entry.bytes);
            }
            return;
        }
        if let Some(entry) = entries.get_mut(key) {
            entry.completed_at = Some(Instant::now());
            if let Outcome::Result(raw) | Outcome::ToolError(raw) = outcome {
                entry.bytes += raw.get().len();
                self.bytes.set(self.bytes.get() + raw.get().len());
            }
        }
    }

    /// Removes outcomes that are older than `remember_s` and closes idle connections to the tool server. Runs at most once
    /// a second; call it regularly, so that entries also expire when no calls arrive.
    pub fn sweep(&self) {
        if self
            .last_sweep
            .get()
            .is_some_and(|at| at.elapsed() < Duration::from_secs(1))
        {
            return;
        }
        self.last_sweep.set(Some(Instant::now()));
        let remember = Duration::from_secs(self.settings.remember_s);
        self.entries
            .borrow_mut()
            .retain(|_, e| e.completed_at.is_none_or(|at| at.elapsed() < remember));
        self.bytes
            .set(self.entries.borrow().values().map(|e| e.bytes).sum());
        self.pool.evict_stale();
    }

    /// Sends the call to the tool server. It is sent again only if not all of it has been written, because then the tool
    /// cannot have run.
    async fn run(&self, call: &PendingCall, mut cancelled: watch::Receiver<bool>) -> Outcome {
        let deadline = tokio::time::sleep(self.settings.call_timeout());
        tokio::pin!(deadline);
        let outcome = tokio::select! {
            outcome = self.run_with_retries(call) => outcome,
            () = &mut deadline => Err("no response before the call timeout".into()),
            _ = cancelled.wait_for(|c| *c) => {
                return Outcome::Error(if call.written.get() { CANCELLED } else { TOOL_NOT_REACHED });
            }
        };
        outcome.unwrap_or_else(|error: Box<dyn std::error::Error>| {
            let not_executed = !call.written.get();
            log::warn!(
                "tool call {}: {error}; {}",
                call.id,
                if not_executed {
                    "the tool did not run"
                } else {
                    "the tool may have run; the call is not repeated"
                }
            );
            Outcome::Error(if not_executed {
                TOOL_NOT_REACHED
            } else {
                OUTCOME_UNKNOWN
            })
        })
    }

    async fn run_with_retries(
        &self,
        call: &PendingCall,
    ) -> Result<Outcome, Box<dyn std::error::Error>> {
        let mut attempts = 0;
        loop {
            attempts += 1;
            let outcome = self.send_once(call).await;
            let is_last = attempts == MAX_CONNECT_ATTEMPTS || !call.is_wanted();
            if call.written.get() || outcome.is_ok() || is_last {
                return outcome;
            }
            tokio::time::sleep(CONNECT_RETRY_DELAY).await;
        }
    }

    async fn send_once(&self, call: &PendingCall) -> Result<Outcome, Box<dyn std::error::Error>> {
        let PendingCall {
            id, body, written, ..
        } = call;
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
            .body(Full::new(body.clone()))?;
        let meter = connection.meter();
        let permit = permit_call(CallState::ToolCall {
            may_have_run: written.get(),
            is_wanted: call.is_wanted(),
        })?;
        self.counters.tool_runs.up();
        // Assume that the call was written until the meter says otherwise: this future may be dropped while it sends.
        written.set(true);
        let result = connection.send_call(request, length, permit).await;
        written.set(meter.is_written());
        let (head, body) = result?.into_parts();
        written.set(true);
        let response_body = match Limited::new(body, self.settings.max_result_bytes)
            .collect()
            .await
        {
            Ok(collected) => collected.to_bytes(),
            Err(error) if error.is::<LengthLimitError>() => {
                return Ok(Outcome::Error(RESULT_TOO_LONG));
            }
            Err(error) => return Err(error.to_string().into()),
        };
        self.pool.put_back(&target, connection);
        let response: ToolResponse = serde_json::from_slice(&response_body).map_err(|e| {
            format!(
                "HTTP status {} without a JSON-RPC response: {e}",
                head.status
            )
        })?;
        if response.jsonrpc != "2.0" || response.id != *id {
            return Err("the response has another id or JSON-RPC version".into());
        }
        match (response.result, response.error) {
            (Some(result), None) => Ok(Outcome::Result(result.into())),
            (None, Some(error)) => Ok(Outcome::ToolError(error.into())),
            _ => Err("the response has neither or both of result and error".into()),
        }
    }
}

/// A digest of a call's method and parameters. It depends on the JSON values only, not on spacing or key order.
fn digest(method: &str, params: Option<&RawValue>) -> u128 {
    let value: serde_json::Value = params
        .and_then(|p| serde_json::from_str(p.get()).ok())
        .unwrap_or_default();
    xxh3_128(format!("{method}\n{value}").as_bytes())
}

#[cfg(test)]
mod tests;
