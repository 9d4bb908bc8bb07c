//! Lease renewals that bypass the log: to the leader, directly or through a relay.

use super::{Action, Node};
use crate::fleet::message::Message;
use crate::fleet::renewal::{self, LeaseRenewal};
use crate::fleet::{MemberName, lease, membership, raft};
use crate::routing::types::Micros;
use std::collections::VecDeque;

impl Node {
    pub(super) fn on_renewal_message(
        &mut self,
        now: Micros,
        from: MemberName,
        message: renewal::Message,
        raft_events: &mut VecDeque<raft::Event>,
        out: &mut Vec<Action>,
    ) {
        match message {
            renewal::Message::Renew { renewals, relayed } => {
                self.on_renewal_requests(now, from, renewals, relayed);
            }
            renewal::Message::Renewed(renewals) => {
                self.on_renewal_answers(now, renewals, raft_events, out);
            }
            renewal::Message::ConfirmLeader { term, round } => {
                if self.raft.confirms_leader(&from, term) {
                    let store = self.raft.id().store;
                    self.send_renewal(
                        from,
                        renewal::Message::LeaderConfirmed { term, round, store },
                        out,
                    );
                }
            }
            renewal::Message::LeaderConfirmed { term, round, store } => {
                if self.leading && term == self.raft.term() {
                    self.confirmation
                        .on_confirmed(raft::VoterId { name: from, store }, round);
                }
            }
        }
    }

    /// Renewals have arrived: the leader counts their leases anew, any other member relays them, once.
    pub(super) fn on_renewal_requests(
        &mut self,
        now: Micros,
        from: MemberName,
        renewals: Vec<LeaseRenewal>,
        relayed: bool,
    ) {
        if !self.leading {
            if !relayed && renewals.len() <= renewal::MAX_RENEWALS {
                self.relayed_renewals.add(now, renewals);
            }
            return;
        }
        if !self.raft.is_established_leader() {
            return;
        }
        for renewal in renewals {
            // If the end of the lease is proposed already, the log decides.
            if self.is_current_grant(&renewal) && !self.expiry_proposals.contains_key(&renewal.name)
            {
                self.lease_expiry
                    .on_change(now, &renewal.name, self.state.leases());
                self.confirmation.add(from.clone(), renewal);
            }
        }
    }

    pub(super) fn is_current_grant(&self, renewal: &LeaseRenewal) -> bool {
        self.state
            .leases()
            .grant(&renewal.name)
            .is_some_and(|grant| {
                grant.is_accepted
                    && grant.token == renewal.token
                    && grant.holder.name == renewal.holder
            })
    }

    /// Answers have arrived: the local member's are applied, the others are forwarded to their holders.
    pub(super) fn on_renewal_answers(
        &mut self,
        now: Micros,
        renewals: Vec<LeaseRenewal>,
        raft_events: &mut VecDeque<raft::Event>,
        out: &mut Vec<Action>,
    ) {
        for renewal in renewals {
            if renewal.holder == self.instance.name {
                self.handle_lease_event(now, lease::Event::Renewed(renewal), raft_events, out);
            } else {
                let holder = renewal.holder.clone();
                self.send_renewal(holder, renewal::Message::Renewed(vec![renewal]), out);
            }
        }
    }

    /// Sends the local renewals, the relayed ones, and as leader the answers that are confirmed.
    pub(super) fn send_due_renewals(&mut self, now: Micros, out: &mut Vec<Action>) {
        for (renewal, unanswered) in std::mem::take(&mut self.outgoing_renewals) {
            match self.renewal_target(unanswered) {
                Some(to) if to == self.instance.name => {
                    self.on_renewal_requests(now, to, vec![renewal], true);
                }
                Some(to) => {
                    let message = renewal::Message::Renew {
                        renewals: vec![renewal],
                        relayed: false,
                    };
                    self.send_renewal(to, message, out);
                }
                None => {}
            }
        }
        // Without a leader they are dropped: their holders try again.
        if let Some(message) = self.relayed_renewals.take_due(now)
            && let Some(leader) = self.raft.leader().cloned()
        {
            self.send_renewal(leader, message, out);
        }
        if self.leading {
            self.answer_confirmed(now, out);
        }
    }

    /// As leader, answers the renewals that a majority of the voters has confirmed.
    pub(super) fn answer_confirmed(&mut self, now: Micros, out: &mut Vec<Action>) {
        let Some(voters) = self.raft.voter_config().cloned() else {
            return;
        };
        let mut outgoing = Vec::new();
        self.confirmation.advance(
            now,
            self.raft.id(),
            self.raft.term(),
            &voters,
            &mut outgoing,
        );
        let mut raft_events = VecDeque::new();
        for renewal::Outgoing { to, message } in outgoing {
            match message {
                renewal::Message::Renewed(renewals) if to == self.instance.name => {
                    self.on_renewal_answers(now, renewals, &mut raft_events, out);
                }
                message => self.send_renewal(to, message, out),
            }
        }
        self.run_raft(now, raft_events, out);
    }

    /// The member that the next renewal is sent to: live relays and then the leader, the next one after each missing answer.
    pub(super) fn renewal_target(&self, unanswered: u32) -> Option<MemberName> {
        if self.leading {
            return Some(self.instance.name.clone());
        }
        let is_alive = |name: &&MemberName| {
            self.membership
                .member(name)
                .is_some_and(|peer| peer.status == membership::Status::Alive)
        };
        let candidates: Vec<&MemberName> = self
            .relays
            .iter()
            .filter(is_alive)
            .chain(self.raft.leader())
            .collect();
        candidates
            .get(unanswered as usize % candidates.len().max(1))
            .map(|name| (*name).clone())
    }

    pub(super) fn send_renewal(
        &self,
        to: MemberName,
        message: renewal::Message,
        out: &mut Vec<Action>,
    ) {
        let address = self.membership.member(&to).map(|peer| peer.address);
        out.push(Action::Send {
            to,
            address,
            message: Message::Renewal(message),
            reliable: true,
        });
    }
}
