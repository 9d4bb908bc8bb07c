//! The replicated log: proposals, applied entries, snapshots and changes of leader.

use super::{Action, Node, PendingProposal, ProposalError};
use crate::fleet::lease;
use crate::fleet::message::Message;
use crate::fleet::raft;
use crate::fleet::state::{Command, FleetState, Proposal, ProposalResult, StateChange};
use crate::fleet::{MemberName, Term};
use crate::routing::types::Micros;
use std::collections::VecDeque;

impl Node {
    /// Proposes a command for a caller, unless too many wait already.
    pub(super) fn on_propose(
        &mut self,
        now: Micros,
        request_id: u64,
        command: Command,
        raft_events: &mut VecDeque<raft::Event>,
        out: &mut Vec<Action>,
    ) {
        let queue_full = self.pending_proposals.len() >= self.limits.max_pending_proposals;
        if queue_full || self.leaving {
            out.push(Action::ProposalCompleted {
                request_id,
                result: Err(ProposalError::QueueFull),
            });
            return;
        }
        let deadline = self.limits.proposal_deadline(now);
        let sequence = self.propose(now, command, raft_events);
        let pending = PendingProposal {
            request_id,
            deadline,
        };
        self.pending_proposals.insert(sequence, pending);
    }

    /// Proposes a command in the local member's name and returns its sequence number.
    pub(super) fn propose(
        &mut self,
        now: Micros,
        command: Command,
        raft_events: &mut VecDeque<raft::Event>,
    ) -> u64 {
        let mut actions = Vec::new();
        let sequence = self.holder.propose(now, command, &mut actions);
        self.apply_lease_actions(actions, raft_events, &mut Vec::new());
        sequence
    }

    /// Passes the events to Raft and carries out its actions, until no event is left. Compacts the log once at most.
    pub(super) fn run_raft(
        &mut self,
        now: Micros,
        mut raft_events: VecDeque<raft::Event>,
        out: &mut Vec<Action>,
    ) {
        let mut compacted = false;
        while let Some(event) = raft_events.pop_front() {
            let mut actions = Vec::new();
            self.raft.handle(now, event, &mut actions);
            for action in actions {
                match action {
                    raft::Action::Persist(write) => out.push(Action::Persist(write)),
                    raft::Action::Send { to, message } => {
                        let address = self.membership.member(&to).map(|peer| peer.address);
                        out.push(Action::Send {
                            to,
                            address,
                            message: Message::Raft(message),
                            reliable: true,
                        });
                    }
                    raft::Action::Apply(entry) => self.apply(now, entry, &mut raft_events, out),
                    raft::Action::Restore(snapshot) => {
                        self.restore(now, snapshot, &mut raft_events, out);
                    }
                    raft::Action::LeaderChanged(leader, term) => {
                        self.on_leader_changed(now, leader, term, &mut raft_events, out);
                    }
                    raft::Action::Rejected(refusal) => out.push(Action::Rejected(refusal)),
                }
            }
            if raft_events.is_empty() && !compacted && self.raft.should_compact() {
                compacted = true;
                let (index, data) = (self.state.applied(), self.state.encode());
                raft_events.push_back(raft::Event::Compact { index, data });
            }
        }
    }

    /// Applies a committed entry and reports its effects.
    pub(super) fn apply(
        &mut self,
        now: Micros,
        entry: raft::LogEntry,
        raft_events: &mut VecDeque<raft::Event>,
        out: &mut Vec<Action>,
    ) {
        let proposal = match &entry.payload {
            raft::EntryPayload::Data(payload) => Proposal::decode(payload),
            _ => None,
        };
        let mut effects = Vec::new();
        match proposal {
            Some(proposal) => self.state.apply(entry.index, proposal, &mut effects),
            None => self.state.skip(entry.index),
        }
        for effect in effects {
            out.push(Action::Effect {
                index: entry.index,
                effect: effect.clone(),
            });
            match effect {
                StateChange::Lease(change) => {
                    self.lease_expiry
                        .on_change(now, &change.name, self.state.leases());
                    self.handle_lease_event(
                        now,
                        lease::Event::LeaseChanged(change.name),
                        raft_events,
                        out,
                    );
                }
                StateChange::ProposalDecided {
                    origin,
                    result: answer,
                } if origin.proposer == self.instance => {
                    if let Some(pending) = self.pending_proposals.remove(&origin.sequence) {
                        out.push(Action::ProposalCompleted {
                            request_id: pending.request_id,
                            result: Ok(answer.clone()),
                        });
                    }
                    self.expiry_proposals
                        .retain(|_, sequence| *sequence != origin.sequence);
                    self.handle_lease_event(
                        now,
                        lease::Event::ProposalDecided(origin.sequence, answer),
                        raft_events,
                        out,
                    );
                }
                StateChange::ProposalDecided { .. }
                | StateChange::Bounds(_)
                | StateChange::Takeover(_)
                | StateChange::Policy(_)
                | StateChange::Sites(_) => {}
            }
        }
    }

    /// Replaces the state by a snapshot. Pending proposals that it covers complete without their results.
    pub(super) fn restore(
        &mut self,
        now: Micros,
        snapshot: raft::Snapshot,
        raft_events: &mut VecDeque<raft::Event>,
        out: &mut Vec<Action>,
    ) {
        let Some(state) = FleetState::decode(&snapshot.data) else {
            return;
        };
        self.state = state;
        self.state.skip(snapshot.index);
        out.push(Action::SnapshotRestored {
            index: snapshot.index,
        });
        self.lease_expiry
            .set_leading(now, self.leading, self.state.leases());
        for origin in self.holder.pending_proposals() {
            if self.state.is_decided(&origin) {
                if let Some(pending) = self.pending_proposals.remove(&origin.sequence) {
                    out.push(Action::ProposalCompleted {
                        request_id: pending.request_id,
                        result: Err(ProposalError::ReplyLost),
                    });
                }
                self.handle_lease_event(
                    now,
                    lease::Event::ProposalDecided(origin.sequence, ProposalResult::Done),
                    raft_events,
                    out,
                );
            }
        }
        self.handle_lease_event(now, lease::Event::TableReplaced, raft_events, out);
    }

    /// Starts or ends the duties of the leader, and sends proposals again to a new one.
    pub(super) fn on_leader_changed(
        &mut self,
        now: Micros,
        leader: Option<MemberName>,
        term: Term,
        raft_events: &mut VecDeque<raft::Event>,
        out: &mut Vec<Action>,
    ) {
        let leading = leader.as_ref() == Some(&self.instance.name);
        if leading != self.leading {
            self.leading = leading;
            self.confirmation.reset();
            self.lease_expiry
                .set_leading(now, leading, self.state.leases());
            for (_, sequence) in std::mem::take(&mut self.expiry_proposals) {
                self.holder.abandon(sequence);
            }
        }
        if leading && self.bounds != *self.state.bounds() {
            self.propose(now, Command::Bounds(self.bounds.clone()), raft_events);
        }
        if leader.is_some() {
            let mut actions = Vec::new();
            self.holder.retry_now(now, &mut actions);
            self.apply_lease_actions(actions, raft_events, out);
        }
        out.push(Action::LeaderChanged { leader, term });
    }

    /// Gives up proposals whose deadline has passed.
    pub(super) fn expire_proposals(&mut self, now: Micros, out: &mut Vec<Action>) {
        while let Some(entry) = self
            .pending_proposals
            .first_entry()
            .filter(|entry| entry.get().deadline <= now)
        {
            let (sequence, pending) = entry.remove_entry();
            self.holder.abandon(sequence);
            out.push(Action::ProposalCompleted {
                request_id: pending.request_id,
                result: Err(ProposalError::TimedOut),
            });
        }
    }
}

/// Whether the message proposes to end a lease. Such proposals are dropped: only the leader itself may make them, as it
/// alone knows which renewals it has answered.
pub(super) fn is_lease_expiry(message: &raft::Message) -> bool {
    let raft::MessageBody::Propose(raft::ProposalPayload::Data(payload)) = &message.body else {
        return false;
    };
    let command = Proposal::decode(payload).map(|proposal| proposal.command);
    matches!(command, Some(Command::Lease(lease::Command::Expire { .. })))
}
