//! Sends to upstream workers, and their takeover when the sender's incarnation has ended.

use super::command::{Capacity, RecordChange, Rejection, Reply};
use super::record::{RequestStage, UpstreamSendRecord, send_size_bytes};
use super::table::{ClaimRef, Proposer, Table};
use super::{MAX_IDS_PER_COMMAND, MAX_KEY_BYTES, MAX_WORKER_BYTES};
use crate::fleet::MemberInstance;

/// The fields of [`super::Command::StartSend`].
pub(super) struct SendStart {
    pub id: String,
    pub worker: String,
    /// The client request and the generation of its claim.
    pub request: Option<(String, u64)>,
    pub read_only: bool,
    pub max_attempts: u32,
    pub capacity: Capacity,
}

impl Table {
    pub(super) fn start_send(
        &mut self,
        proposer: Proposer<'_>,
        send: SendStart,
    ) -> Result<Reply, Rejection> {
        let valid_id = !send.id.is_empty() && send.id.len() <= MAX_KEY_BYTES;
        if !valid_id || send.worker.len() > MAX_WORKER_BYTES {
            return Err(Rejection::Invalid);
        }
        let known = self.upstream_sends.get(&send.id);
        if known.is_some_and(|record| record.owner != *proposer.member || record.taken_over) {
            // Two requests under one id would share KV state; a send that was taken over is only released.
            return Err(Rejection::Superseded);
        }
        let is_new = known.is_none();
        let size = send_size_bytes(&send.id);
        if is_new {
            self.check_capacity(1, size, send.capacity)?;
        }
        let reply = self.count_attempt(proposer, &send)?;
        if let Reply::Completed(_) = reply {
            return Ok(reply);
        }
        if is_new {
            self.bytes += size;
        }
        let record = UpstreamSendRecord {
            owner: proposer.member.clone(),
            worker: send.worker,
            taken_over: false,
        };
        self.upstream_sends.insert(send.id, record);
        Ok(Reply::Recorded)
    }

    /// Counts the send in its client request, if it belongs to one.
    fn count_attempt(
        &mut self,
        proposer: Proposer<'_>,
        send: &SendStart,
    ) -> Result<Reply, Rejection> {
        let Some((name, generation)) = &send.request else {
            return Ok(Reply::Recorded);
        };
        let claim = ClaimRef {
            name,
            generation: *generation,
        };
        self.update_owned(proposer, claim, |record| {
            if record.attempts >= send.max_attempts {
                return Err(Rejection::AttemptsExhausted);
            }
            record.attempts += 1;
            record.last_changed = proposer.entry;
            // A read takes nothing back: what was sent before it may have run, and entries may arrive late.
            if record.stage == RequestStage::Claimed && !send.read_only {
                record.stage = RequestStage::Sent;
            }
            Ok(Reply::Recorded)
        })
    }

    pub(super) fn complete_sends(
        &mut self,
        proposer: Proposer<'_>,
        ids: Vec<String>,
    ) -> Result<Reply, Rejection> {
        if ids.len() > MAX_IDS_PER_COMMAND {
            return Err(Rejection::Invalid);
        }
        for id in ids {
            let owner = self.upstream_sends.get(&id).map(|record| &record.owner);
            if owner == Some(proposer.member) {
                self.upstream_sends.remove(&id);
                self.bytes -= send_size_bytes(&id);
            }
        }
        Ok(Reply::Recorded)
    }

    /// Registers the sends of an ended incarnation for takeover.
    pub(super) fn orphan_sends(&mut self, ended: &MemberInstance, out: &mut Vec<RecordChange>) {
        let sends = self
            .upstream_sends
            .values()
            .filter(|record| record.owner == *ended)
            .count() as u64;
        if sends > 0 {
            self.orphans.insert(ended.clone(), sends);
            let ended = ended.clone();
            out.push(RecordChange::Orphaned { ended, sends });
        }
    }

    pub(super) fn take_over(
        &mut self,
        proposer: Proposer<'_>,
        ended: MemberInstance,
        out: &mut Vec<RecordChange>,
    ) -> Result<Reply, Rejection> {
        self.orphans
            .remove(&ended)
            .ok_or(Rejection::NothingToTakeOver)?;
        let mut sends = Vec::new();
        for (id, record) in &mut self.upstream_sends {
            if record.owner == ended {
                record.owner = proposer.member.clone();
                record.taken_over = true;
                sends.push((id.clone(), record.worker.clone()));
            }
        }
        out.push(RecordChange::TakenOver {
            ended,
            new_owner: proposer.member.clone(),
        });
        Ok(Reply::TakenOver(sends))
    }
}
