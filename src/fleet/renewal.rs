//! Renewal of leases by messages to the leader instead of log entries.
//!
//! A holder sends a renewal to the leader, directly or through a relay. The leader restarts the lease's expiry at once,
//! which is always safe. It answers once a majority of the voters has confirmed, after the renewal came, that it still
//! leads in its term (as for Raft's ReadIndex). So any later leader was elected after the renewal was sent, and waits
//! for the whole expiry duration from its election on. Grants and ends stay in the log. Why two members never hold a
//! valid lease at once is shown in `docs/design/leases.md`.

use crate::fleet::raft::{VoterConfig, VoterId};
use crate::fleet::{LeaseName, MemberName, Term, Token};
use crate::routing::types::Micros;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// Maximum number of renewals in a message, and of those that wait at the leader or at a relay.
pub const MAX_RENEWALS: usize = 4_096;
/// How long a relay collects renewals for one message.
pub const BATCH_DELAY: Micros = 50_000;
/// A confirmation that is missing for this long is requested again.
const RETRY_INTERVAL: Micros = 100_000;

/// A holder's request to renew a lease. Sent by position (postcard).
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct LeaseRenewal {
    /// The holder.
    pub holder: MemberName,
    /// The lease.
    pub name: LeaseName,
    /// Token of the grant.
    pub token: Token,
    /// The holder's sequence number of this request.
    pub sequence: u64,
}

/// Messages about renewals. Sent by position (postcard).
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Message {
    /// To the leader, or to a relay.
    Renew {
        /// The renewals.
        renewals: Vec<LeaseRenewal>,
        /// Whether a relay forwards it.
        relayed: bool,
    },
    /// The leader's answer, sent back the way of the request.
    Renewed(Vec<LeaseRenewal>),
    /// The leader asks a voter to confirm that it still follows.
    ConfirmLeader {
        /// The leader's term.
        term: Term,
        /// The leader's number of this round of confirmations.
        round: u64,
    },
    /// The voter follows the sender of the request in this term.
    LeaderConfirmed {
        /// As in the request.
        term: Term,
        /// As in the request.
        round: u64,
        /// The voter's store.
        store: u64,
    },
}

/// A message and its receiver.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Outgoing {
    /// The receiver.
    pub to: MemberName,
    /// The message.
    pub message: Message,
}

/// A renewal that waits for a confirmation of the leader.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct PendingRenewal {
    /// The holder, or the relay that the renewal came by.
    from: MemberName,
    renewal: LeaseRenewal,
}

/// One round of confirmations, for all renewals that came before it began.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct ConfirmationRound {
    confirmed_by: BTreeSet<VoterId>,
    renewals: Vec<PendingRenewal>,
    /// When the missing confirmations are requested, or requested again.
    request_at: Micros,
}

/// The leader's side: renewals that wait until a majority has confirmed its leadership.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct LeaderConfirmation {
    round_number: u64,
    round: Option<ConfirmationRound>,
    /// Renewals for the next round.
    waiting: Vec<PendingRenewal>,
}

impl LeaderConfirmation {
    /// Drops all waiting renewals: this member began or ceased to lead.
    pub fn reset(&mut self) {
        self.round = None;
        self.waiting.clear();
    }

    /// Adds a renewal whose lease's expiry was restarted. Beyond [`MAX_RENEWALS`] it is dropped; the holder retries.
    pub fn add(&mut self, from: MemberName, renewal: LeaseRenewal) {
        if self.waiting.len() < MAX_RENEWALS {
            self.waiting.push(PendingRenewal { from, renewal });
        }
    }

    /// Records a voter's confirmation of a round.
    pub fn on_confirmed(&mut self, voter: VoterId, round_number: u64) {
        if round_number != self.round_number {
            return;
        }
        if let Some(round) = &mut self.round {
            round.confirmed_by.insert(voter);
        }
    }

    /// Answers the renewals of a round that a majority has confirmed, and starts the next round if renewals wait.
    pub fn advance(
        &mut self,
        now: Micros,
        leader: &VoterId,
        term: Term,
        config: &VoterConfig,
        out: &mut Vec<Outgoing>,
    ) {
        loop {
            if self.round.is_none() && !self.waiting.is_empty() {
                self.start_round(now, leader);
            }
            let Some(round) = &mut self.round else { return };
            let confirmations = config.voters.intersection(&round.confirmed_by).count();
            if confirmations < config.majority() {
                break;
            }
            let renewals = std::mem::take(&mut round.renewals);
            self.round = None;
            send_answers(renewals, out);
        }
        self.request_confirmations(now, leader, term, config, out);
    }

    /// When [`LeaderConfirmation::advance`] has to be called next.
    pub fn timeout(&self) -> Option<Micros> {
        self.round.as_ref().map(|round| round.request_at)
    }

    fn start_round(&mut self, now: Micros, leader: &VoterId) {
        self.round_number += 1;
        self.round = Some(ConfirmationRound {
            confirmed_by: BTreeSet::from([leader.clone()]),
            renewals: std::mem::take(&mut self.waiting),
            request_at: now,
        });
    }

    /// Asks the voters whose confirmation is missing, if that is due.
    fn request_confirmations(
        &mut self,
        now: Micros,
        leader: &VoterId,
        term: Term,
        config: &VoterConfig,
        out: &mut Vec<Outgoing>,
    ) {
        let round = self.round.as_mut();
        let Some(round) = round.filter(|round| round.request_at <= now) else {
            return;
        };
        round.request_at = now.saturating_add(RETRY_INTERVAL);
        for voter in config.voters.difference(&round.confirmed_by) {
            if voter == leader {
                continue;
            }
            out.push(Outgoing {
                to: voter.name.clone(),
                message: Message::ConfirmLeader {
                    term,
                    round: self.round_number,
                },
            });
        }
    }
}

/// Sends the renewals back the way they came, in one message for each member.
fn send_answers(renewals: Vec<PendingRenewal>, out: &mut Vec<Outgoing>) {
    let mut by_receiver: BTreeMap<MemberName, Vec<LeaseRenewal>> = BTreeMap::new();
    for PendingRenewal { from, renewal } in renewals {
        by_receiver.entry(from).or_default().push(renewal);
    }
    out.extend(by_receiver.into_iter().map(|(to, renewals)| Outgoing {
        to,
        message: Message::Renewed(renewals),
    }));
}

/// A relay's side: renewals of other members that are forwarded to the leader together.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct RenewalBatch {
    renewals: Vec<LeaseRenewal>,
    due: Option<Micros>,
}

impl RenewalBatch {
    /// Adds renewals. Beyond [`MAX_RENEWALS`] they are dropped; the holders retry.
    pub fn add(&mut self, now: Micros, renewals: Vec<LeaseRenewal>) {
        let room = MAX_RENEWALS - self.renewals.len();
        self.renewals.extend(renewals.into_iter().take(room));
        self.due.get_or_insert(now.saturating_add(BATCH_DELAY));
    }

    /// The message to the leader, if it is due.
    pub fn take_due(&mut self, now: Micros) -> Option<Message> {
        self.due.filter(|due| *due <= now)?;
        self.due = None;
        let renewals = std::mem::take(&mut self.renewals);
        if renewals.is_empty() {
            return None;
        }
        Some(Message::Renew {
            renewals,
            relayed: true,
        })
    }

    /// When [`RenewalBatch::take_due`] has to be called next.
    pub fn timeout(&self) -> Option<Micros> {
        self.due
    }
}

#[cfg(test)]
mod tests;
