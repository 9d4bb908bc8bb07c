//! The tool-call front's side of the fleet's records: a claim to a named request, and what is written under it.

use super::ledger::{NEVER_RAN, NO_ROOM, Outcome, REUSED, ToolError, UNKNOWN};
use crate::fleet::transport::work::TakeoverClient;
use crate::fleet::work::recorder::Decision;
use crate::fleet::work::{CallState, ClientRequestRecord, Command, FinalResponse, Rejection};
use crate::routing::types::Micros;
use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

/// A named request that this conductor has in hand, by the fleet's log. Dropped before its final answer is on record,
/// it is let go of: whichever conductor its client asks may go on.
#[derive(Clone)]
pub struct Claim(Rc<Held>);

struct Held {
    work: Rc<TakeoverClient>,
    name: String,
    generation: u64,
    ended: Cell<bool>,
    harmless: Cell<bool>,
}

impl Drop for Held {
    fn drop(&mut self) {
        if !self.ended.get() {
            let (name, generation) = (self.name.clone(), self.generation);
            self.work.report(Command::Release {
                name,
                generation,
                not_executed: self.harmless.get(),
            });
        }
    }
}

/// What came of asking for a request.
pub enum Claimed {
    /// It is in hand here.
    Mine(Claim),
    /// It has its final answer.
    Ended(FinalResponse),
    /// Another conductor has it, and was not seen to die in the time that there was.
    InHand,
    /// It has begun, and must not be begun anew.
    Begun,
    /// Nothing was done; trying again is harmless.
    NotNow,
}

/// An outcome as it is recorded.
#[derive(Serialize, Deserialize)]
enum Recorded {
    Result(Box<RawValue>),
    ToolSaid(Box<RawValue>),
    Own(i32),
}

fn encode(outcome: &Outcome) -> Vec<u8> {
    let recorded = match outcome {
        Outcome::Result(raw) => Recorded::Result(raw.as_ref().to_owned()),
        Outcome::ToolSaid(raw) => Recorded::ToolSaid(raw.as_ref().to_owned()),
        Outcome::Error(error) => Recorded::Own(error.code),
    };
    serde_json::to_vec(&recorded).unwrap_or_default()
}

fn decode(bytes: &[u8]) -> Outcome {
    match serde_json::from_slice(bytes) {
        Ok(Recorded::Result(raw)) => Outcome::Result(raw.into()),
        Ok(Recorded::ToolSaid(raw)) => Outcome::ToolSaid(raw.into()),
        Ok(Recorded::Own(code)) => Outcome::Error(ToolError::by_code(code)),
        Err(_) => Outcome::Error(UNKNOWN),
    }
}

impl Claim {
    /// Asks the fleet for a request, until `deadline` at the latest.
    pub async fn ask(
        work: &Rc<TakeoverClient>,
        name: &str,
        once: bool,
        resumes: bool,
        deadline: Micros,
    ) -> Claimed {
        let bounds = work.capacity();
        let command = Command::Claim {
            name: name.into(),
            at_most_once: once,
            resume: resumes,
            capacity: bounds,
        };
        match work.request_claim(command, deadline).await {
            Decision::Claimed(record) => Claimed::Mine(Claim::new(work, name, &record)),
            Decision::Completed(answer) => Claimed::Ended(answer),
            Decision::OwnedBy(_) => Claimed::InHand,
            Decision::Rejected(Rejection::AlreadyStarted) => Claimed::Begun,
            _ => Claimed::NotNow,
        }
    }

    fn new(work: &Rc<TakeoverClient>, name: &str, record: &ClientRequestRecord) -> Self {
        let (work, name, generation) = (work.clone(), name.to_owned(), record.generation);
        work.history().request_claimed(&name, generation);
        Claim(Rc::new(Held {
            work,
            name,
            generation,
            ended: Cell::new(false),
            harmless: Cell::new(false),
        }))
    }

    /// The request's name and the claim's generation, for what is sent under it.
    pub fn key(&self) -> (String, u64) {
        (self.0.name.clone(), self.0.generation)
    }

    /// Its client was told that trying again is harmless.
    pub fn refused(&self) {
        self.0.harmless.set(true);
    }

    /// The longest text that is kept with an answer, in bytes.
    pub fn most_text(&self) -> usize {
        self.0.work.settings().most_text_bytes
    }

    /// Its answer has begun.
    pub fn began(&self) {
        let (name, generation) = self.key();
        self.0
            .work
            .report(Command::ResponseStarted { name, generation });
    }

    /// Asks to make a tool call. `None`: it may go out now, and by this conductor alone. Else its outcome.
    pub async fn call(&self, ordinal: u32, arguments: u128, patience: Duration) -> Option<Outcome> {
        let (name, generation) = self.key();
        let bounds = self.0.work.capacity();
        let command = Command::StartCall {
            name,
            generation,
            ordinal,
            arguments,
            capacity: bounds,
        };
        // Another conductor may be at it: its outcome is worth the wait that a call may take.
        let error = match self.0.work.request_with_extra_wait(command, patience).await {
            Decision::Proceed => {
                self.0
                    .work
                    .history()
                    .tool_call_started(&self.0.name, ordinal);
                return None;
            }
            Decision::KnownCall(CallState::Completed(outcome)) => return Some(decode(&outcome)),
            Decision::KnownCall(CallState::OutcomeUnknown | CallState::InFlight) => UNKNOWN,
            Decision::Rejected(Rejection::ArgumentsDiffer) => REUSED,
            Decision::Rejected(Rejection::CapacityExceeded) => NO_ROOM,
            _ => NEVER_RAN,
        };
        Some(Outcome::Error(error))
    }

    /// Writes the outcome of a call down, and waits for it: what the writer makes of it must not be lost with it.
    pub async fn call_ended(&self, ordinal: u32, outcome: &Outcome) {
        let never = matches!(outcome, Outcome::Error(error) if *error == NEVER_RAN);
        let (name, outcome) = (self.0.name.clone(), (!never).then(|| encode(outcome)));
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

    /// Writes the final answer down. The answer that stands: this one, an earlier one, or none if this conductor can't
    /// say.
    pub async fn end(&self, answer: FinalResponse) -> Option<FinalResponse> {
        let (name, generation) = self.key();
        let command = Command::Complete {
            name,
            generation,
            response: answer.clone(),
        };
        let stands = match self.0.work.request_record(command).await {
            Decision::Proceed => Some(answer),
            Decision::Completed(earlier) => Some(earlier),
            _ => None,
        };
        if stands.is_some() {
            self.0.work.history().answer_recorded(&self.0.name);
        }
        self.0.ended.set(stands.is_some());
        stands
    }

    /// The same, where its client is told at once.
    pub fn ends(&self, answer: FinalResponse) {
        let (name, generation) = self.key();
        self.0.ended.set(true);
        self.0.work.report(Command::Complete {
            name,
            generation,
            response: answer,
        });
    }
}
