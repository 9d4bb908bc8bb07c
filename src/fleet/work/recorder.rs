//! One member's access to the table: what may go out now, what has to wait, and what is given up.
//!
//! The protocol layer and the upstream client request an operation before they act. This state machine proposes it to the
//! replicated log ([`super`]), waits where waiting helps (for a request whose owner may be about to die, or for the
//! outcome of a call under way), and makes one [`Decision`] for each operation before its deadline. A grant that arrives
//! after the deadline is given back. Without a valid session lease no decision lets anything out.

use super::{
    CallState, ClientRequestRecord, Command, FinalResponse, RecordChange, Rejection, Reply,
};
use crate::fleet::MemberInstance;
use crate::routing::types::Micros;
use std::collections::BTreeMap;

/// Identifies an operation; chosen by the caller and never used twice.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct OperationId(pub u64);

/// Ids of the recorder's own operations have this bit set; those of callers do not.
const OWN_OPERATION_BIT: u64 = 1 << 63;

/// An input of [`WorkRecorder`].
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Event {
    /// Time has passed.
    Tick,
    /// A caller wants to act. Answered by one [`Action::Decided`], by the deadline at the latest.
    Request {
        /// The operation.
        operation: OperationId,
        /// The change to record first.
        command: Command,
        /// When the decision is of no use any more.
        deadline: Micros,
    },
    /// Something has happened that has to be recorded, and no caller waits for it: proposed until it is recorded.
    Report {
        /// The operation.
        operation: OperationId,
        /// The change to record.
        command: Command,
    },
    /// The reply to a proposal.
    Reply {
        /// The operation.
        operation: OperationId,
        /// The reply; `None` if it is not known whether the command was or will be recorded.
        reply: Option<Reply>,
    },
    /// A record has changed, by the command of any member.
    RecordChanged(RecordChange),
    /// A snapshot replaced the table: any change that is waited for may have happened.
    SnapshotRestored,
    /// Whether the session lease is valid.
    LeaseValid(bool),
}

/// An output of [`WorkRecorder`].
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Action {
    /// Propose a command; answered by [`Event::Reply`].
    Propose {
        /// The operation.
        operation: OperationId,
        /// The command.
        command: Command,
    },
    /// The decision on an operation.
    Decided {
        /// The operation.
        operation: OperationId,
        /// The decision.
        decision: Decision,
    },
    /// Another member has claimed this request for its client: end it here.
    RequestMoved {
        /// The request's name.
        name: String,
    },
}

/// Whether an operation may go ahead.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Decision {
    /// The request is owned here now. The record shows what happened before.
    Claimed(Box<ClientRequestRecord>),
    /// The request has completed with this response.
    Completed(FinalResponse),
    /// Another incarnation owns the request, and has not released it in time.
    OwnedBy(MemberInstance),
    /// The change is recorded, and the operation may go ahead.
    Proceed,
    /// The call was made before: its outcome, or that it will never be known.
    KnownCall(CallState),
    /// The operation must not go ahead.
    Rejected(Rejection),
    /// There was no reply in time; the operation must not go ahead.
    TimedOut,
    /// The local member has no valid session lease.
    LeaseLost,
}

/// What an operation waits for.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum WaitingFor {
    /// The reply to its proposal.
    Reply,
    /// The release of the request by its owner, or the end of the owner's incarnation.
    Release(MemberInstance),
    /// The outcome of a call under way.
    CallOutcome,
}

/// An operation without a decision.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct PendingOperation {
    command: Command,
    /// `None` for a report: nobody waits for it.
    deadline: Option<Micros>,
    waiting_for: WaitingFor,
    /// A change that it would wait for has arrived before the reply: replies and changes may overtake each other.
    propose_again: bool,
}

impl PendingOperation {
    /// Proposes the command again after a change that concerns it; another waiter may have been first.
    fn on_change(&mut self, operation: OperationId, out: &mut Vec<Action>) {
        if self.waiting_for == WaitingFor::Reply {
            self.propose_again = true;
        } else {
            self.waiting_for = WaitingFor::Reply;
            out.push(self.proposal(operation));
        }
    }

    /// Waits, unless the change has arrived already.
    fn wait_for(&mut self, operation: OperationId, waiting_for: WaitingFor, out: &mut Vec<Action>) {
        if std::mem::take(&mut self.propose_again) {
            out.push(self.proposal(operation));
        } else {
            self.waiting_for = waiting_for;
        }
    }

    fn proposal(&self, operation: OperationId) -> Action {
        Action::Propose {
            operation,
            command: self.command.clone(),
        }
    }

    /// The decision if the deadline passes now.
    fn decision_at_deadline(&self) -> Decision {
        match &self.waiting_for {
            WaitingFor::Release(owner) => Decision::OwnedBy(owner.clone()),
            WaitingFor::CallOutcome => Decision::KnownCall(CallState::InFlight),
            WaitingFor::Reply => Decision::TimedOut,
        }
    }

    /// Whether the change may alter the reply to the command.
    fn is_concerned_by(&self, change: &RecordChange) -> bool {
        match (&self.command, change) {
            (
                Command::Claim { name, .. },
                RecordChange::Released { name: changed }
                | RecordChange::Completed { name: changed }
                | RecordChange::Moved { name: changed, .. },
            ) => name == changed,
            (
                Command::StartCall { name, ordinal, .. },
                RecordChange::CallCompleted {
                    name: changed,
                    ordinal: changed_ordinal,
                },
            ) => name == changed && ordinal == changed_ordinal,
            _ => false,
        }
    }
}

/// The state machine of one incarnation of a member: see the module.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct WorkRecorder {
    local: MemberInstance,
    lease_valid: bool,
    max_pending: usize,
    pending: BTreeMap<OperationId, PendingOperation>,
    /// Operations that were given up and whose reply may still arrive.
    abandoned: BTreeMap<OperationId, Command>,
    last_own_operation: u64,
}

impl WorkRecorder {
    /// A recorder for one incarnation, with at most `max_pending` operations pending and as many abandoned.
    pub fn new(local: MemberInstance, max_pending: usize) -> Self {
        WorkRecorder {
            local,
            lease_valid: false,
            max_pending,
            pending: BTreeMap::new(),
            abandoned: BTreeMap::new(),
            last_own_operation: OWN_OPERATION_BIT,
        }
    }

    /// Number of operations without a decision.
    pub fn pending_count(&self) -> usize {
        self.pending.len()
    }

    /// When [`WorkRecorder::handle`] is to be called with [`Event::Tick`].
    pub fn timeout(&self) -> Option<Micros> {
        let operations = self.pending.values();
        operations.filter_map(|operation| operation.deadline).min()
    }

    /// Handles an event and appends the actions that follow.
    pub fn handle(&mut self, now: Micros, event: Event, out: &mut Vec<Action>) {
        // First of all: an operation past its deadline must not be granted by a late reply.
        self.expire(now, out);
        match event {
            Event::Tick => {}
            Event::Request {
                operation,
                command,
                deadline,
            } => self.on_request(now, operation, command, deadline, out),
            Event::Report { operation, command } => self.propose(operation, command, None, out),
            Event::Reply { operation, reply } => self.on_reply(operation, reply, out),
            Event::RecordChanged(change) => self.on_record_changed(change, out),
            Event::SnapshotRestored => {
                for (operation, pending) in &mut self.pending {
                    pending.on_change(*operation, out);
                }
            }
            Event::LeaseValid(valid) => {
                self.lease_valid = valid;
                if !valid {
                    self.cancel_requests(out);
                }
            }
        }
    }

    fn on_request(
        &mut self,
        now: Micros,
        operation: OperationId,
        command: Command,
        deadline: Micros,
        out: &mut Vec<Action>,
    ) {
        let decision = if !self.lease_valid {
            Decision::LeaseLost
        } else if now >= deadline {
            Decision::TimedOut
        } else if self.pending.len() >= self.max_pending {
            Decision::Rejected(Rejection::CapacityExceeded)
        } else {
            return self.propose(operation, command, Some(deadline), out);
        };
        out.push(Action::Decided {
            operation,
            decision,
        });
    }

    fn propose(
        &mut self,
        operation: OperationId,
        command: Command,
        deadline: Option<Micros>,
        out: &mut Vec<Action>,
    ) {
        let pending = PendingOperation {
            command,
            deadline,
            waiting_for: WaitingFor::Reply,
            propose_again: false,
        };
        out.push(pending.proposal(operation));
        self.pending.insert(operation, pending);
    }

    /// Decides an operation. If the reply to its proposal may still arrive, a grant in it will be given back.
    fn decide(&mut self, operation: OperationId, decision: Decision, out: &mut Vec<Action>) {
        let Some(pending) = self.pending.remove(&operation) else {
            return;
        };
        let given_up = matches!(decision, Decision::TimedOut | Decision::LeaseLost);
        if given_up && pending.waiting_for == WaitingFor::Reply {
            if self.abandoned.len() >= self.max_pending {
                self.abandoned.pop_first();
            }
            self.abandoned.insert(operation, pending.command);
        }
        out.push(Action::Decided {
            operation,
            decision,
        });
    }

    /// Decides the operations whose deadline has passed.
    fn expire(&mut self, now: Micros, out: &mut Vec<Action>) {
        let expired: Vec<_> = self
            .pending
            .iter()
            .filter(|(_, pending)| pending.deadline.is_some_and(|deadline| deadline <= now))
            .map(|(operation, pending)| (*operation, pending.decision_at_deadline()))
            .collect();
        for (operation, decision) in expired {
            self.decide(operation, decision, out);
        }
    }

    /// Without a lease nothing may go out; reports stay pending.
    fn cancel_requests(&mut self, out: &mut Vec<Action>) {
        let requests: Vec<_> = self
            .pending
            .iter()
            .filter(|(_, pending)| pending.deadline.is_some())
            .map(|(operation, _)| *operation)
            .collect();
        for operation in requests {
            self.decide(operation, Decision::LeaseLost, out);
        }
    }

    fn on_reply(&mut self, operation: OperationId, reply: Option<Reply>, out: &mut Vec<Action>) {
        if let Some(command) = self.abandoned.remove(&operation) {
            return self.on_late_reply(command, reply, out);
        }
        let Some(pending) = self.pending.get_mut(&operation) else {
            return;
        };
        if pending.waiting_for != WaitingFor::Reply {
            return;
        }
        if pending.deadline.is_none() {
            // A report is done when it is recorded, or rejected as of no use any more.
            if reply.is_some() {
                self.pending.remove(&operation);
            } else {
                out.push(pending.proposal(operation));
            }
            return;
        }
        let decision = match reply {
            Some(Reply::Claimed(record)) => Decision::Claimed(record),
            Some(Reply::Completed(response)) => Decision::Completed(response),
            Some(Reply::Recorded | Reply::Proceed | Reply::TakenOver(_)) => Decision::Proceed,
            Some(Reply::KnownCall(CallState::InFlight)) => {
                return pending.wait_for(operation, WaitingFor::CallOutcome, out);
            }
            Some(Reply::KnownCall(state)) => Decision::KnownCall(state),
            Some(Reply::Rejected(Rejection::OwnedBy(owner))) => {
                return pending.wait_for(operation, WaitingFor::Release(owner), out);
            }
            Some(Reply::Rejected(rejection)) => Decision::Rejected(rejection),
            None => Decision::TimedOut,
        };
        self.decide(operation, decision, out);
    }

    /// Gives back what was granted after the operation was given up.
    fn on_late_reply(&mut self, command: Command, reply: Option<Reply>, out: &mut Vec<Action>) {
        let undo = match (command, reply) {
            (Command::Claim { name, .. }, Some(Reply::Claimed(record))) => Command::Release {
                name,
                generation: record.generation,
                not_executed: false,
            },
            // The call was granted and never went out: the next member that asks may make it.
            (Command::StartCall { name, ordinal, .. }, Some(Reply::Proceed)) => {
                Command::CompleteCall {
                    name,
                    ordinal,
                    outcome: None,
                }
            }
            _ => return,
        };
        self.last_own_operation += 1;
        let operation = OperationId(self.last_own_operation);
        self.propose(operation, undo, None, out);
    }

    fn on_record_changed(&mut self, change: RecordChange, out: &mut Vec<Action>) {
        for (operation, pending) in &mut self.pending {
            if pending.is_concerned_by(&change) {
                pending.on_change(*operation, out);
            }
        }
        if let RecordChange::Moved { name, from, .. } = change
            && from == self.local
        {
            out.push(Action::RequestMoved { name });
        }
    }
}

#[cfg(test)]
mod tests;
