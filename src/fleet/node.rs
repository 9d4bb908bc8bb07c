//! One member of a fleet: membership, Raft log, replicated state and leases composed to one state machine without I/O.
//!
//! The driver passes in events with the time of the member's own monotonic clock, and carries out the actions in order:
//! an [`Action::Persist`] is durable before any later action is started. [`Node::timeout`] returns when to call with
//! [`Event::Tick`]. Whether the member may act under a lease is decided by [`lease::LeaseView`], which the driver updates
//! from [`Action::LeaseChanged`], with the clock read just before the act.

mod config;
mod leadership;
mod log;
mod renewals;
mod status;
mod types;

pub use config::{Config, Limits};
pub use status::{LeaseStatus, MemberStatus, NodeStatus};
pub use types::{Action, Event, NodeStart, ProposalError};

use crate::fleet::lease::{self, ExpiryTracker, Holder};
use crate::fleet::membership::{self, Membership};
use crate::fleet::message::Message;
use crate::fleet::raft::{self, Raft};
use crate::fleet::renewal::{LeaderConfirmation, LeaseRenewal, RenewalBatch};
use crate::fleet::state::{Bounds, FleetState};
use crate::fleet::work::RetentionTracker;
use crate::fleet::{LeaseName, MemberInstance, MemberName, Token};
use crate::routing::types::Micros;
use leadership::RETENTION_CHECK_INTERVAL;
use std::collections::{BTreeMap, VecDeque};
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// The state machine of one member: see the module.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Node {
    me: membership::LocalMember,
    instance: MemberInstance,
    bounds: Bounds,
    limits: Limits,
    membership: Membership,
    raft: Raft,
    state: FleetState,
    holder: Holder,
    lease_expiry: ExpiryTracker,
    leading: bool,
    /// Proposals of callers without a result, by the sequence number of the proposal.
    pending_proposals: BTreeMap<u64, PendingProposal>,
    /// As leader: sequence numbers of the proposals that end a lease, by the lease.
    expiry_proposals: BTreeMap<LeaseName, u64>,
    session_valid: bool,
    incarnation_end_reported: bool,
    leaving: bool,
    retention: RetentionTracker,
    /// When the leader looks next for records that may be removed.
    next_retention_check: Micros,
    /// As leader: the proposal of settings under way, and when it is aborted.
    settings_deadline: Option<(u64, Micros)>,
    relays: Vec<MemberName>,
    /// Renewals to be sent, each with the number of unanswered ones before it.
    outgoing_renewals: Vec<(LeaseRenewal, u32)>,
    /// As leader: renewals that wait for confirmation by the voters.
    confirmation: LeaderConfirmation,
    /// As relay: renewals of other members.
    relayed_renewals: RenewalBatch,
}

/// A proposal of a caller that has no result yet.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct PendingProposal {
    request_id: u64,
    deadline: Micros,
}

impl Node {
    /// A member at the start of its incarnation. It acquires its session lease at once, and joins at [`Event::Join`].
    pub fn new(start: NodeStart, settings: Config, now: Micros) -> Node {
        let NodeStart {
            local: me,
            store,
            voters,
            restored,
            seed,
            relays,
        } = start;
        let who = MemberInstance {
            name: me.name.clone(),
            incarnation: me.incarnation,
        };
        let draw = |part: u64| xxh3_64_with_seed(&part.to_le_bytes(), seed);
        let voter = raft::VoterId {
            name: me.name.clone(),
            store,
        };
        let most_wants = settings.node.max_wanted_leases;
        Node {
            membership: Membership::new(me.clone(), settings.membership, draw(1)),
            raft: Raft::new(voter, &voters, settings.raft, draw(2), restored, now)
                .with_relays(relays.clone()),
            state: FleetState::new(),
            holder: Holder::new(who.clone(), settings.lease.clone(), most_wants, draw(3)),
            lease_expiry: ExpiryTracker::new(settings.lease),
            me,
            instance: who,
            bounds: settings.bounds,
            limits: settings.node,
            leading: false,
            pending_proposals: BTreeMap::new(),
            expiry_proposals: BTreeMap::new(),
            session_valid: false,
            incarnation_end_reported: false,
            leaving: false,
            retention: RetentionTracker::default(),
            next_retention_check: now.saturating_add(RETENTION_CHECK_INTERVAL),
            settings_deadline: None,
            relays,
            outgoing_renewals: Vec::new(),
            confirmation: LeaderConfirmation::default(),
            relayed_renewals: RenewalBatch::default(),
        }
    }

    /// Handles an event and appends the actions that follow, in order. The function is one arm an event.
    pub fn handle(&mut self, now: Micros, event: Event, out: &mut Vec<Action>) {
        // The clock goes first: after a pause, leases that have expired are given up before anything else.
        let mut raft_events = VecDeque::new();
        self.handle_lease_event(now, lease::Event::Tick, &mut raft_events, out);
        self.report_session(now, out);
        match event {
            Event::Tick => {
                self.handle_membership_event(now, membership::Event::Tick, out);
                raft_events.push_back(raft::Event::Tick);
                self.expire_leases(now, &mut raft_events);
                self.remove_old_records(now, &mut raft_events);
                self.abort_overdue_settings(now, &mut raft_events);
                self.expire_proposals(now, out);
            }
            Event::Join { seeds } => {
                self.handle_membership_event(now, membership::Event::Join { seeds }, out);
            }
            Event::Message {
                from,
                message: Message::Membership(message),
            } => {
                self.handle_membership_event(
                    now,
                    membership::Event::Message { from, message },
                    out,
                );
            }
            Event::Message {
                from,
                message: Message::Renewal(message),
            } => {
                self.handle_membership_event(
                    now,
                    membership::Event::ContactedElsewhere(from.clone()),
                    out,
                );
                self.on_renewal_message(now, from, message, &mut raft_events, out);
            }
            Event::Message {
                message: Message::Raft(message),
                ..
            } if log::is_lease_expiry(&message) => {}
            Event::Message {
                from,
                message: Message::Raft(message),
            } => {
                self.handle_membership_event(
                    now,
                    membership::Event::ContactedElsewhere(from.clone()),
                    out,
                );
                raft_events.push_back(raft::Event::Message { from, message });
            }
            Event::AcquireLease(name) => {
                self.handle_lease_event(now, lease::Event::Acquire(name), &mut raft_events, out);
            }
            Event::ReleaseLease(name) => {
                self.handle_lease_event(now, lease::Event::Release(name), &mut raft_events, out);
            }
            Event::Propose {
                request_id,
                command,
            } => {
                self.on_propose(now, request_id, command, &mut raft_events, out);
            }
            Event::ChangeVoters(names) => raft_events.push_back(raft::Event::ChangeVoters(names)),
            Event::Leave => {
                self.leaving = true;
                self.handle_lease_event(now, lease::Event::Shutdown, &mut raft_events, out);
                self.handle_membership_event(now, membership::Event::Leave, out);
                raft_events.push_back(raft::Event::TransferLeadership);
            }
        }
        self.run_raft(now, raft_events, out);
        self.send_due_renewals(now, out);
        self.track_settings_proposal(now);
        self.report_session(now, out);
    }

    /// When [`Node::handle`] is to be called with [`Event::Tick`] at the latest.
    pub fn timeout(&self) -> Option<Micros> {
        let proposal_deadline = self
            .pending_proposals
            .first_key_value()
            .map(|(_, pending)| pending.deadline);
        let parts = [
            self.membership.timeout(),
            self.raft.timeout(),
            self.holder.timeout(),
            self.lease_expiry.timeout().filter(|_| self.leading),
            Some(self.next_retention_check)
                .filter(|_| self.leading && !self.state.work().is_empty()),
            self.settings_deadline.map(|(_, at)| at),
            proposal_deadline,
            self.confirmation.timeout(),
            self.relayed_renewals.timeout(),
        ];
        parts.into_iter().flatten().min()
    }

    /// The local member in its incarnation.
    pub fn instance(&self) -> &MemberInstance {
        &self.instance
    }

    /// The membership table.
    pub fn membership(&self) -> &Membership {
        &self.membership
    }

    /// The local replica of the log.
    pub fn raft(&self) -> &Raft {
        &self.raft
    }

    /// The replicated state, as far as it is applied here.
    pub fn state(&self) -> &FleetState {
        &self.state
    }

    /// The token to act under at `now`. It may run ahead of the disk; the driver uses [`lease::LeaseView`].
    pub fn lease_token(&self, name: &LeaseName, now: Micros) -> Option<Token> {
        self.holder.valid_token(name, now)
    }

    /// Whether a planned stop is complete as far as it can be seen here: the log has ended this incarnation, and another
    /// member leads. Callers wait for it for a limited time.
    pub fn left(&self) -> bool {
        self.leaving && !self.leading && self.state.leases().is_session_ended(&self.instance)
    }

    fn handle_membership_event(
        &mut self,
        now: Micros,
        event: membership::Event,
        out: &mut Vec<Action>,
    ) {
        let mut actions = Vec::new();
        self.membership.handle(now, event, &mut actions);
        out.extend(actions.into_iter().map(|action| match action {
            membership::Action::Send {
                to,
                address,
                message,
                reliable,
            } => Action::Send {
                to,
                address: Some(address),
                message: Message::Membership(message),
                reliable,
            },
            membership::Action::StatusChanged(change) => Action::MembershipChanged(change),
        }));
    }

    fn handle_lease_event(
        &mut self,
        now: Micros,
        event: lease::Event,
        raft_events: &mut VecDeque<raft::Event>,
        out: &mut Vec<Action>,
    ) {
        let mut actions = Vec::new();
        self.holder
            .handle(now, event, self.state.leases(), &mut actions);
        self.apply_lease_actions(actions, raft_events, out);
    }

    fn apply_lease_actions(
        &mut self,
        actions: Vec<lease::Action>,
        raft_events: &mut VecDeque<raft::Event>,
        out: &mut Vec<Action>,
    ) {
        for action in actions {
            match action {
                lease::Action::Propose(proposal) => {
                    raft_events.push_back(raft::Event::Propose {
                        payload: proposal.encode(),
                    });
                }
                lease::Action::Renew {
                    renewal,
                    unanswered,
                } => self.outgoing_renewals.push((renewal, unanswered)),
                lease::Action::StatusChanged(change) => out.push(Action::LeaseChanged(change)),
            }
        }
    }

    /// Reports when the session lease becomes valid or invalid, and once when the incarnation has ended.
    fn report_session(&mut self, now: Micros, out: &mut Vec<Action>) {
        let valid = self.holder.session_token(now).is_some();
        if valid != self.session_valid {
            self.session_valid = valid;
            out.push(Action::SessionValid(valid));
        }
        if self.holder.is_session_ended() && !self.incarnation_end_reported {
            self.incarnation_end_reported = true;
            out.push(Action::IncarnationEnded);
        }
    }
}

#[cfg(test)]
mod tests;
