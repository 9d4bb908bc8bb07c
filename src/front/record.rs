//! The JSON-RPC front end's access to the fleet's replicated request records: claiming a named request, and recording
//! its tool calls and its final response under that claim.

use super::ledger::{
    ARGUMENTS_DIFFER, CallError, OUTCOME_UNKNOWN, Outcome, TOO_MANY_CALLS, TOOL_NOT_REACHED,
};
use crate::fleet::transport::work::TakeoverClient;
use crate::fleet::work::recorder::Decision;
use crate::fleet::work::{CallState, ClientRequestRecord, Command, FinalResponse, Rejection};
use crate::routing::types::Micros;
use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

/// The ownership of a named request by this router, as recorded in the fleet's log. When the last clone is dropped before
/// the final response is recorded, the claim is released, and any router that the client asks next may continue.
#[derive(Clone)]
pub struct Claim(Rc<ClaimState>);

struct ClaimState {
    work: Rc<TakeoverClient>,
    name: String,
    generation: u64,
    completed: Cell<bool>,
    not_executed: Cell<bool>,
}

impl Drop for ClaimState {
    fn drop(&mut self) {
        if !self.completed.get() {
            let (name, generation) = (self.name.clone(), self.generation);
            self.work.report(Command::Release {
                name,
                generation,
                not_executed: self.not_executed.get(),
            });
        }
    }
}

/// The result of [`Claim::acquire`].
pub enum ClaimResult {
    /// This router owns the request now.
    Granted(Claim),
    /// The request has a final response on record.
    Completed(FinalResponse),
    /// Another router owns the request and was not found dead before the deadline.
    OwnedElsewhere,
    /// The request was started before and must not be started again.
    AlreadyStarted,
    /// No decision was reached, or there is no capacity. Nothing was done; a retry is harmless.
    Unavailable,
}

/// The recorded form of an [`Outcome`]; the outer names are stored data.
#[derive(Serialize, Deserialize)]
enum RecordedOutcome {
    Result(Box<RawValue>),
    #[serde(rename = "ToolSaid")]
    ToolError(Box<RawValue>),
    #[serde(rename = "Own")]
    RouterError(i32),
}

fn encode(outcome: &Outcome) -> Vec<u8> {
    let recorded = match outcome {
        Outcome::Result(raw) => RecordedOutcome::Result(raw.as_ref().to_owned()),
        Outcome::ToolError(raw) => RecordedOutcome::ToolError(raw.as_ref().to_owned()),
        Outcome::Error(error) => RecordedOutcome::RouterError(error.code),
    };
    serde_json::to_vec(&recorded).unwrap_or_default()
}

fn decode(bytes: &[u8]) -> Outcome {
    match serde_json::from_slice(bytes) {
        Ok(RecordedOutcome::Result(raw)) => Outcome::Result(raw.into()),
        Ok(RecordedOutcome::ToolError(raw)) => Outcome::ToolError(raw.into()),
        Ok(RecordedOutcome::RouterError(code)) => Outcome::Error(CallError::by_code(code)),
        Err(_) => Outcome::Error(OUTCOME_UNKNOWN),
    }
}

impl Claim {
    /// Asks the fleet for the ownership of the request `name`, until `deadline` at the latest.
    pub async fn acquire(
        work: &Rc<TakeoverClient>,
        name: &str,
        at_most_once: bool,
        resume: bool,
        deadline: Micros,
    ) -> ClaimResult {
        let capacity = work.capacity();
        let command = Command::Claim {
            name: name.into(),
            at_most_once,
            resume,
            capacity,
        };
        match work.request_claim(command, deadline).await {
            Decision::Claimed(record) => ClaimResult::Granted(Claim::new(work, name, &record)),
            Decision::Completed(answer) => ClaimResult::Completed(answer),
            Decision::OwnedBy(_) => ClaimResult::OwnedElsewhere,
            Decision::Rejected(Rejection::AlreadyStarted) => ClaimResult::AlreadyStarted,
            _ => ClaimResult::Unavailable,
        }
    }

    fn new(work: &Rc<TakeoverClient>, name: &str, record: &ClientRequestRecord) -> Self {
        let (work, name, generation) = (work.clone(), name.to_owned(), record.generation);
        work.history().request_claimed(&name, generation);
        Claim(Rc::new(ClaimState {
            work,
            name,
            generation,
            completed: Cell::new(false),
            not_executed: Cell::new(false),
        }))
    }

    /// The request's name and the claim's generation, which identify the claim.
    pub fn key(&self) -> (String, u64) {
        (self.0.name.clone(), self.0.generation)
    }

    /// Marks the request as not executed, because its client was told that a retry is harmless. The release on drop
    /// records this.
    pub fn mark_not_executed(&self) {
        self.0.not_executed.set(true);
    }

    /// The longest response text that is recorded with a final response, in bytes.
    pub fn max_text_bytes(&self) -> usize {
        self.0.work.settings().most_text_bytes
    }

    /// Records, without waiting, that the response has started.
    pub fn response_started(&self) {
        let (name, generation) = self.key();
        self.0
            .work
            .report(Command::ResponseStarted { name, generation });
    }

    /// Asks the fleet for permission to make a tool call. Returns `None` if this router, and no other, may send the call
    /// now; otherwise the outcome to report instead.
    pub async fn start_call(
        &self,
        ordinal: u32,
        arguments: u128,
        timeout: Duration,
    ) -> Option<Outcome> {
        let (name, generation) = self.key();
        let capacity = self.0.work.capacity();
        let command = Command::StartCall {
            name,
            generation,
            ordinal,
            arguments,
            capacity,
        };
        // Another router may be running the call: wait for its outcome as long as a call may take.
        let error = match self.0.work.request_with_extra_wait(command, timeout).await {
            Decision::Proceed => {
                self.0
                    .work
                    .history()
                    .tool_call_started(&self.0.name, ordinal);
                return None;
            }
            Decision::KnownCall(CallState::Completed(outcome)) => return Some(decode(&outcome)),
            Decision::KnownCall(CallState::OutcomeUnknown | CallState::InFlight) => OUTCOME_UNKNOWN,
            Decision::Rejected(Rejection::ArgumentsDiffer) => ARGUMENTS_DIFFER,
            Decision::Rejected(Rejection::CapacityExceeded) => TOO_MANY_CALLS,
            _ => TOOL_NOT_REACHED,
        };
        Some(Outcome::Error(error))
    }

    /// Records the outcome of a call and waits until it is recorded: the decode worker continues its answer from this
    /// outcome, so it must not be lost with this router.
    pub async fn record_call_outcome(&self, ordinal: u32, outcome: &Outcome) {
        let not_executed = matches!(outcome, Outcome::Error(error) if *error == TOOL_NOT_REACHED);
        let (name, outcome) = (
            self.0.name.clone(),
            (!not_executed).then(|| encode(outcome)),
        );
        self.0
            .work
            .report_and_wait(Command::CompleteCall {
                name,
                ordinal,
                outcome,
            })
            .await;
        self.0
            .work
            .history()
            .tool_call_recorded(&self.0.name, ordinal);
    }

    /// Records the final response and waits for the decision. Returns the response on record, which is an earlier one if
    /// there was one already, or `None` if this router cannot tell.
    pub async fn complete(&self, answer: FinalResponse) -> Option<FinalResponse> {
        let (name, generation) = self.key();
        let command = Command::Complete {
            name,
            generation,
            response: answer.clone(),
        };
        let recorded = match self.0.work.request_record(command).await {
            Decision::Proceed => Some(answer),
            Decision::Completed(earlier) => Some(earlier),
            _ => None,
        };
        if recorded.is_some() {
            self.0.work.history().answer_recorded(&self.0.name);
        }
        self.0.completed.set(recorded.is_some());
        recorded
    }

    /// Records the final response without waiting, for cases in which the client is answered at once.
    pub fn complete_in_background(&self, answer: FinalResponse) {
        let (name, generation) = self.key();
        self.0.completed.set(true);
        self.0.work.report(Command::Complete {
            name,
            generation,
            response: answer,
        });
    }
}
