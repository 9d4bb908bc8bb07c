//! The table of records: a state machine applied by every member in log order.

use super::claim::{CallStart, ClaimRequest};
use super::command::{Capacity, Command, RecordChange, Rejection, Reply};
use super::record::{ClientRequestRecord, FinalResponse, RequestStage, UpstreamSendRecord};
use super::upstream::SendStart;
use crate::fleet::{Index, MemberInstance};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// All records, as the replicated log makes them.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Table {
    pub(super) client_requests: BTreeMap<String, ClientRequestRecord>,
    pub(super) upstream_sends: BTreeMap<String, UpstreamSendRecord>,
    /// Ended incarnations with sends that nobody has taken over, and how many.
    pub(super) orphans: BTreeMap<MemberInstance, u64>,
    pub(super) bytes: u64,
}

/// The member that proposed a command, and the log entry that holds it.
#[derive(Clone, Copy)]
pub(super) struct Proposer<'a> {
    pub member: &'a MemberInstance,
    pub entry: Index,
}

/// The owner's access to a client request: its name and the generation of the claim.
#[derive(Clone, Copy)]
pub(super) struct ClaimRef<'a> {
    pub name: &'a str,
    pub generation: u64,
}

impl Table {
    /// The record of a client request.
    pub fn client_request(&self, name: &str) -> Option<&ClientRequestRecord> {
        self.client_requests.get(name)
    }

    /// All client requests by name.
    pub fn client_requests(&self) -> impl Iterator<Item = (&str, &ClientRequestRecord)> {
        let requests = self.client_requests.iter();
        requests.map(|(name, record)| (name.as_str(), record))
    }

    /// The record of an upstream send.
    pub fn upstream_send(&self, id: &str) -> Option<&UpstreamSendRecord> {
        self.upstream_sends.get(id)
    }

    /// Ended incarnations whose upstream sends nobody has taken over yet.
    pub fn orphaned_incarnations(&self) -> impl Iterator<Item = &MemberInstance> {
        self.orphans.keys()
    }

    /// Number of records of both kinds.
    pub fn len(&self) -> usize {
        self.client_requests.len() + self.upstream_sends.len()
    }

    /// Whether there are no records.
    pub fn is_empty(&self) -> bool {
        self.client_requests.is_empty() && self.upstream_sends.is_empty()
    }

    /// What all records count, in bytes.
    pub fn bytes(&self) -> u64 {
        self.bytes
    }

    /// Applies the command of `member` in the log entry `entry`. `alive` says whether its session lease is valid there.
    /// The function is one arm a command.
    pub fn apply(
        &mut self,
        entry: Index,
        member: &MemberInstance,
        alive: bool,
        command: Command,
        out: &mut Vec<RecordChange>,
    ) -> Reply {
        if !alive {
            return Reply::Rejected(Rejection::IncarnationEnded);
        }
        let proposer = Proposer { member, entry };
        let result = match command {
            Command::Claim {
                name,
                at_most_once,
                resume,
                capacity,
            } => {
                let request = ClaimRequest {
                    name,
                    at_most_once,
                    resume,
                    capacity,
                };
                self.claim(proposer, request, out)
            }
            Command::StartSend {
                id,
                worker,
                name,
                read_only,
                max_attempts,
                capacity,
            } => {
                let send = SendStart {
                    id,
                    worker,
                    request: name,
                    read_only,
                    max_attempts,
                    capacity,
                };
                self.start_send(proposer, send)
            }
            Command::ResponseStarted { name, generation } => {
                self.start_response(proposer, &name, generation)
            }
            Command::StartCall {
                name,
                generation,
                ordinal,
                arguments,
                capacity,
            } => {
                let call = CallStart {
                    name,
                    generation,
                    ordinal,
                    arguments,
                    capacity,
                };
                self.start_call(proposer, call)
            }
            Command::CompleteCall {
                name,
                ordinal,
                outcome,
            } => self.complete_call(proposer, name, ordinal, outcome, out),
            Command::Complete {
                name,
                generation,
                response,
            } => self.complete(proposer, name, generation, response, out),
            Command::Release {
                name,
                generation,
                not_executed,
            } => self.release(proposer, name, generation, not_executed, out),
            Command::CompleteSends { ids } => self.complete_sends(proposer, ids),
            Command::TakeOver { ended } => self.take_over(proposer, ended, out),
            Command::Forget { name, last_changed } => self.forget(&name, last_changed),
        };
        result.unwrap_or_else(Reply::Rejected)
    }

    /// An incarnation has ended, by the log entry `entry`. Its client requests are settled, the outcomes of its calls
    /// under way will never be known, and its upstream sends wait to be taken over.
    pub fn on_incarnation_ended(
        &mut self,
        entry: Index,
        ended: &MemberInstance,
        out: &mut Vec<RecordChange>,
    ) {
        for (name, record) in &mut self.client_requests {
            let abandoned = record.abandon_calls(ended);
            let was_owner = record.owner.as_ref() == Some(ended);
            if was_owner || !abandoned.is_empty() {
                record.last_changed = entry;
            }
            out.extend(abandoned.into_iter().map(|ordinal| {
                let name = name.clone();
                RecordChange::CallCompleted { name, ordinal }
            }));
            if was_owner {
                record.owner = None;
                record.settle();
                let name = name.clone();
                out.push(match record.stage {
                    RequestStage::Completed(_) => RecordChange::Completed { name },
                    _ => RecordChange::Released { name },
                });
            }
        }
        self.orphan_sends(ended, out);
    }

    /// Rejects new records beyond the limits.
    pub(super) fn check_capacity(
        &self,
        new_records: u64,
        new_bytes: u64,
        capacity: Capacity,
    ) -> Result<(), Rejection> {
        let records = self.len() as u64 + new_records;
        let bytes = self.bytes + new_bytes;
        if records <= capacity.records && bytes <= capacity.bytes {
            Ok(())
        } else {
            Err(Rejection::CapacityExceeded)
        }
    }

    /// Changes a record on behalf of its owner, and counts its bytes anew. A completed request stays as it is: the reply
    /// is its response.
    pub(super) fn update_owned(
        &mut self,
        proposer: Proposer<'_>,
        claim: ClaimRef<'_>,
        update: impl FnOnce(&mut ClientRequestRecord) -> Result<Reply, Rejection>,
    ) -> Result<Reply, Rejection> {
        let record = self
            .client_requests
            .get_mut(claim.name)
            .ok_or(Rejection::Superseded)?;
        if let RequestStage::Completed(response) = &record.stage {
            return Ok(Reply::Completed(response.clone()));
        }
        let is_owner = record.owner.as_ref() == Some(proposer.member);
        if !is_owner || record.generation != claim.generation {
            return Err(Rejection::Superseded);
        }
        let size_before = record.size_bytes(claim.name);
        let reply = update(record);
        self.bytes = self.bytes - size_before + record.size_bytes(claim.name);
        reply
    }

    fn start_response(
        &mut self,
        proposer: Proposer<'_>,
        name: &str,
        generation: u64,
    ) -> Result<Reply, Rejection> {
        self.update_owned(proposer, ClaimRef { name, generation }, |record| {
            record.stage = RequestStage::Responding;
            record.attempts = 0;
            record.last_changed = proposer.entry;
            Ok(Reply::Recorded)
        })
    }

    fn complete(
        &mut self,
        proposer: Proposer<'_>,
        name: String,
        generation: u64,
        response: FinalResponse,
        out: &mut Vec<RecordChange>,
    ) -> Result<Reply, Rejection> {
        let claim = ClaimRef {
            name: &name,
            generation,
        };
        let reply = self.update_owned(proposer, claim, |record| {
            record.stage = RequestStage::Completed(response);
            record.owner = None;
            record.last_changed = proposer.entry;
            Ok(Reply::Recorded)
        })?;
        out.push(RecordChange::Completed { name });
        Ok(reply)
    }

    fn release(
        &mut self,
        proposer: Proposer<'_>,
        name: String,
        generation: u64,
        not_executed: bool,
        out: &mut Vec<RecordChange>,
    ) -> Result<Reply, Rejection> {
        let claim = ClaimRef {
            name: &name,
            generation,
        };
        let reply = self.update_owned(proposer, claim, |record| {
            record.owner = None;
            record.last_changed = proposer.entry;
            if not_executed && record.stage != RequestStage::Responding {
                record.stage = RequestStage::Claimed;
                record.attempts = 0;
            }
            record.settle();
            Ok(Reply::Recorded)
        })?;
        out.push(RecordChange::Released { name });
        Ok(reply)
    }

    /// Not while the request has an owner. A call's outcome that arrives changes the record.
    fn forget(&mut self, name: &str, last_changed: Index) -> Result<Reply, Rejection> {
        let record = self
            .client_requests
            .get(name)
            .filter(|record| record.last_changed == last_changed && record.owner.is_none())
            .ok_or(Rejection::Superseded)?;
        self.bytes -= record.size_bytes(name);
        self.client_requests.remove(name);
        Ok(Reply::Recorded)
    }
}
