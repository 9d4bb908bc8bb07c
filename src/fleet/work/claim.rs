//! Claims of client requests, and their tool calls.

use super::command::{Capacity, RecordChange, Rejection, Reply};
use super::record::{CallState, ClientRequestRecord, RequestStage, ToolCall};
use super::table::{ClaimRef, Proposer, Table};
use super::{MAX_KEY_BYTES, RECORD_OVERHEAD_BYTES};
use std::collections::BTreeMap;

/// The fields of [`super::Command::Claim`].
pub(super) struct ClaimRequest {
    pub name: String,
    pub at_most_once: bool,
    pub resume: bool,
    pub capacity: Capacity,
}

/// The fields of [`super::Command::StartCall`].
pub(super) struct CallStart {
    pub name: String,
    pub generation: u64,
    pub ordinal: u32,
    pub arguments: u128,
    pub capacity: Capacity,
}

impl Table {
    pub(super) fn claim(
        &mut self,
        proposer: Proposer<'_>,
        request: ClaimRequest,
        out: &mut Vec<RecordChange>,
    ) -> Result<Reply, Rejection> {
        if request.name.is_empty() || request.name.len() > MAX_KEY_BYTES {
            return Err(Rejection::Invalid);
        }
        let Some(record) = self.client_requests.get_mut(&request.name) else {
            return self.claim_new(proposer, request);
        };
        let is_own = record.owner.as_ref() == Some(proposer.member);
        if is_own {
            // The owner claims anew: what it did before is over, whether or not it came to reporting that.
            record.last_changed = proposer.entry;
        }
        if is_own || record.owner.is_none() {
            // The member that claimed it first may have had a version or settings by which it could be repeated.
            record.at_most_once |= request.at_most_once;
            if record.settle() {
                record.last_changed = proposer.entry;
            }
        }
        if let RequestStage::Completed(response) = &record.stage {
            let response = response.clone();
            if record.owner.take().is_some() {
                // Settled just now: other members may wait for the outcome.
                out.push(RecordChange::Completed { name: request.name });
            }
            return Ok(Reply::Completed(response));
        }
        let responding = record.stage == RequestStage::Responding;
        let other_owner = record.owner.as_ref().filter(|o| *o != proposer.member);
        if let Some(owner) = other_owner {
            // A resume moves a response that has started. One that has not has no rest: a second try beside it could
            // run twice what must not.
            if !request.resume || !responding {
                return Err(Rejection::OwnedBy(owner.clone()));
            }
            out.push(RecordChange::Moved {
                name: request.name,
                from: owner.clone(),
                to: proposer.member.clone(),
            });
        } else if record.at_most_once && !request.resume && responding {
            return Err(Rejection::AlreadyStarted);
        }
        record.owner = Some(proposer.member.clone());
        record.generation += 1;
        record.last_changed = proposer.entry;
        Ok(Reply::Claimed(Box::new(record.clone())))
    }

    fn claim_new(
        &mut self,
        proposer: Proposer<'_>,
        request: ClaimRequest,
    ) -> Result<Reply, Rejection> {
        let record = ClientRequestRecord {
            owner: Some(proposer.member.clone()),
            generation: 1,
            at_most_once: request.at_most_once,
            stage: RequestStage::Claimed,
            attempts: 0,
            calls: BTreeMap::new(),
            last_changed: proposer.entry,
        };
        let size = record.size_bytes(&request.name);
        self.check_capacity(1, size, request.capacity)?;
        self.bytes += size;
        self.client_requests.insert(request.name, record.clone());
        Ok(Reply::Claimed(Box::new(record)))
    }

    pub(super) fn start_call(
        &mut self,
        proposer: Proposer<'_>,
        call: CallStart,
    ) -> Result<Reply, Rejection> {
        let has_capacity = self.check_capacity(0, RECORD_OVERHEAD_BYTES, call.capacity);
        let claim = ClaimRef {
            name: &call.name,
            generation: call.generation,
        };
        self.update_owned(proposer, claim, |record| {
            if let Some(known) = record.calls.get(&call.ordinal) {
                if known.arguments != call.arguments {
                    return Err(Rejection::ArgumentsDiffer);
                }
                return Ok(Reply::KnownCall(known.stage.clone()));
            }
            has_capacity?;
            let started = ToolCall {
                by: proposer.member.clone(),
                arguments: call.arguments,
                stage: CallState::InFlight,
            };
            record.calls.insert(call.ordinal, started);
            record.last_changed = proposer.entry;
            Ok(Reply::Proceed)
        })
    }

    /// Capacity was checked when the call started; an outcome is always accepted, or the call would be lost.
    pub(super) fn complete_call(
        &mut self,
        proposer: Proposer<'_>,
        name: String,
        ordinal: u32,
        outcome: Option<Vec<u8>>,
        out: &mut Vec<RecordChange>,
    ) -> Result<Reply, Rejection> {
        let record = self
            .client_requests
            .get_mut(&name)
            .ok_or(Rejection::Superseded)?;
        let size_before = record.size_bytes(&name);
        let call = record
            .calls
            .get_mut(&ordinal)
            .filter(|call| call.by == *proposer.member && call.stage == CallState::InFlight)
            .ok_or(Rejection::Superseded)?;
        if let Some(outcome) = outcome {
            call.stage = CallState::Completed(outcome);
        } else {
            record.calls.remove(&ordinal);
        }
        record.last_changed = proposer.entry;
        self.bytes = self.bytes - size_before + record.size_bytes(&name);
        out.push(RecordChange::CallCompleted { name, ordinal });
        Ok(Reply::Recorded)
    }
}
