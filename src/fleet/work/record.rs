//! The records of the table. They are postcard in snapshots: variants and fields count by position.

use super::RECORD_OVERHEAD_BYTES;
use crate::fleet::{Index, MemberInstance};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Earlier versions set the stage back to [`RequestStage::Claimed`] at each read. So in their snapshots a record with as many
/// sends as this may hide one to a worker that writes: it is between two reads at the least.
const MIN_ATTEMPTS_WITH_HIDDEN_SEND: u32 = 3;

/// The one final response of a request.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum FinalResponse {
    /// The request may have run, and nobody knows whether.
    Failed,
    /// Its client cancelled it.
    Cancelled,
    /// It completed.
    Completed {
        /// The text of the response; `None` if it was longer than the configured limit.
        text: Option<String>,
        /// The content of the last line, as the protocol layer encoded it.
        last_line: Vec<u8>,
    },
}

impl FinalResponse {
    fn size_bytes(&self) -> u64 {
        match self {
            FinalResponse::Failed | FinalResponse::Cancelled => 0,
            FinalResponse::Completed { text, last_line } => {
                (text.as_ref().map_or(0, String::len) + last_line.len()) as u64
            }
        }
    }
}

/// The stage of a client request.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum RequestStage {
    /// Claimed. Nothing was sent, or only reads: nothing can have run.
    Claimed,
    /// Sent to a worker that writes; no event has arrived. It stays so when the prompt is read again.
    Sent,
    /// The response has started. The client asks for the rest.
    Responding,
    /// It has its final response.
    Completed(FinalResponse),
}

/// The state of a tool call.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum CallState {
    /// It may have gone out.
    InFlight,
    /// It completed with this outcome.
    Completed(Vec<u8>),
    /// Its caller's incarnation ended without a record of the outcome: it may have run.
    OutcomeUnknown,
}

/// A tool call of a client request.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ToolCall {
    /// The incarnation that made it.
    pub by: MemberInstance,
    /// A digest of its method and arguments.
    pub arguments: u128,
    /// Its state.
    pub stage: CallState,
}

impl ToolCall {
    fn size_bytes(&self) -> u64 {
        let outcome = match &self.stage {
            CallState::Completed(outcome) => outcome.len() as u64,
            CallState::InFlight | CallState::OutcomeUnknown => 0,
        };
        RECORD_OVERHEAD_BYTES + outcome
    }
}

/// A request under a lasting name.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ClientRequestRecord {
    /// The incarnation that owns it, if any.
    pub owner: Option<MemberInstance>,
    /// Rises with each change of owner.
    pub generation: u64,
    /// Whether no other claim may send it again once it may have run.
    pub at_most_once: bool,
    /// Its stage.
    pub stage: RequestStage,
    /// Sends since it was claimed, or since its response last started.
    pub attempts: u32,
    /// Its tool calls by their position in the response.
    pub calls: BTreeMap<u32, ToolCall>,
    /// The entry that last changed it.
    pub last_changed: Index,
}

impl ClientRequestRecord {
    /// What the record counts against [`super::Capacity::bytes`].
    pub(super) fn size_bytes(&self, name: &str) -> u64 {
        let response = match &self.stage {
            RequestStage::Completed(response) => response.size_bytes(),
            _ => 0,
        };
        let calls: u64 = self.calls.values().map(ToolCall::size_bytes).sum();
        RECORD_OVERHEAD_BYTES + name.len() as u64 + response + calls
    }

    /// Whether it may have run, as long as its response has not started.
    fn may_have_run(&self) -> bool {
        match self.stage {
            RequestStage::Sent => true,
            RequestStage::Claimed => self.attempts >= MIN_ATTEMPTS_WITH_HIDDEN_SEND,
            RequestStage::Responding | RequestStage::Completed(_) => false,
        }
    }

    /// The owner has given it up. A request that must not be sent again and may have run has failed for good; any other
    /// one stays open for the member that its client asks next. Returns whether it has failed by this.
    pub(super) fn settle(&mut self) -> bool {
        let has_failed = self.at_most_once && self.may_have_run();
        if has_failed {
            self.stage = RequestStage::Completed(FinalResponse::Failed);
        }
        has_failed
    }

    /// Marks the calls of an ended incarnation that have no outcome, and returns their positions.
    pub(super) fn abandon_calls(&mut self, ended: &MemberInstance) -> Vec<u32> {
        let mut abandoned = Vec::new();
        for (ordinal, call) in &mut self.calls {
            if call.by == *ended && call.stage == CallState::InFlight {
                call.stage = CallState::OutcomeUnknown;
                abandoned.push(*ordinal);
            }
        }
        abandoned
    }
}

/// A request that was sent to upstream workers, which may hold KV state for it.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct UpstreamSendRecord {
    /// The incarnation that has to release it: the sender, or the one that took it over.
    pub owner: MemberInstance,
    /// The worker to which it went last.
    pub worker: String,
    /// Whether it was taken over: its owner only releases it.
    pub taken_over: bool,
}

/// What the record of a send counts against [`super::Capacity::bytes`].
pub(super) fn send_size_bytes(id: &str) -> u64 {
    RECORD_OVERHEAD_BYTES + id.len() as u64
}
