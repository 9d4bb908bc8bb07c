//! The requests that a holder sends: which one a lease needs next, and when.

use super::lease::HeldGrant;
use super::{Action, Holder};
use crate::fleet::lease::config::{Config, MICROS_PER_MILLI};
use crate::fleet::lease::table::{Command, Table};
use crate::fleet::renewal::LeaseRenewal;
use crate::fleet::{LeaseName, state};
use crate::routing::types::Micros;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// How often a renewal that the leader does not answer is sent in a renewal interval.
const LEADER_TRIES_PER_INTERVAL: Micros = 3;
/// The delay after rejections stops doubling after this many.
const MAX_BACKOFF_DOUBLINGS: u32 = 10;

/// The request that a lease needs next.
struct NextRequest {
    due: Micros,
    command: Command,
}

impl Holder {
    /// Sends the request that a lease needs next, if it is due, and notes when the following one is.
    pub(super) fn request_if_due(&mut self, now: Micros, name: &LeaseName, table: &Table) {
        let mut next = self.next_request(name, table);
        if let Some(request) = next.take_if(|request| request.due <= now) {
            self.send_request(now, name, request.command);
            next = self.next_request(name, table);
        }
        if let Some(lease) = self.leases.get_mut(name) {
            lease.next_request_at = next.map(|request| request.due);
        }
    }

    fn send_request(&mut self, now: Micros, name: &LeaseName, command: Command) {
        let Some(lease) = self.leases.get_mut(name) else {
            return;
        };
        if let Some(sequence) = lease.pending_request.take() {
            self.outbox.settle(sequence);
        }
        if matches!(command, Command::Release { .. }) {
            lease.released = lease.token();
        }
        let sequence = match command {
            Command::Renew { name, token } if lease.renews_at_leader(self.config.renewal) => {
                let sequence = self.outbox.reserve_sequence();
                self.renewals.push(Action::Renew {
                    renewal: LeaseRenewal {
                        holder: self.member.name.clone(),
                        name,
                        token,
                        sequence,
                    },
                    unanswered: lease.unanswered_renewals,
                });
                lease.unanswered_renewals = lease.unanswered_renewals.saturating_add(1);
                sequence
            }
            command => self.outbox.add(now, state::Command::Lease(command)),
        };
        lease.record_sent(sequence, now);
    }

    /// The request between what is wanted and what the table shows, and when it is due: a renewal interval after the
    /// request that the lease is based on, or after one without an answer. A release is repeated by the outbox.
    fn next_request(&self, name: &LeaseName, table: &Table) -> Option<NextRequest> {
        let lease = self.leases.get(name)?;
        if !self.may_request(name, table) {
            return None;
        }
        let is_waiting = table
            .waiters(name)
            .any(|waiter| waiter.member == self.member);
        let renewal_interval = self.config.renewal_interval();
        let answer_timeout = if lease.renews_at_leader(self.config.renewal) {
            renewal_interval / LEADER_TRIES_PER_INTERVAL
        } else {
            renewal_interval
        };
        let retry_at = lease
            .pending_sent_at()
            .map(|sent_at| sent_at.saturating_add(answer_timeout));
        let name = name.clone();
        match lease.held {
            Some(HeldGrant { token, based_on })
                if lease.is_wanted && lease.released != Some(token) =>
            {
                let renew_at = based_on.map_or(0, |at| at.saturating_add(renewal_interval));
                Some(NextRequest {
                    due: retry_at.unwrap_or(renew_at).max(lease.backoff_until),
                    command: Command::Renew { name, token },
                })
            }
            None if lease.is_wanted && is_waiting => None,
            None if lease.is_wanted => Some(NextRequest {
                due: retry_at.unwrap_or(0).max(lease.backoff_until),
                command: Command::Acquire {
                    name,
                    duration_ms: self.config.duration_ms,
                },
            }),
            held => {
                let has_nothing_to_release = held.is_none() && !is_waiting;
                let is_needed = lease.pending_request.is_none() && !has_nothing_to_release;
                is_needed.then_some(NextRequest {
                    due: lease.backoff_until,
                    command: Command::Release { name },
                })
            }
        }
    }

    /// Whether requests for this lease make sense: the session lease until the session has ended, others while the
    /// log shows this member's session.
    fn may_request(&self, name: &LeaseName, table: &Table) -> bool {
        if self.is_session_ended {
            return false;
        }
        let is_session = self.session.as_ref() == Some(name);
        let has_session = table
            .session(&self.member.name)
            .is_some_and(|grant| grant.is_accepted && grant.holder == self.member);
        is_session || (has_session && !self.is_shutting_down)
    }
}

/// Delay before the next request after `rejections` in a row: doubled each time, drawn from the upper half.
pub(super) fn backoff(config: &Config, seed: u64, sequence: u64, rejections: u32) -> Micros {
    let doublings = rejections.min(MAX_BACKOFF_DOUBLINGS);
    let max_delay = config
        .retry
        .max_delay_ms
        .saturating_mul(MICROS_PER_MILLI)
        .max(2);
    let delay = config
        .retry
        .initial_delay_ms
        .saturating_mul(MICROS_PER_MILLI << doublings)
        .clamp(2, max_delay);
    let key = [sequence.to_le_bytes(), u64::from(rejections).to_le_bytes()].concat();
    delay / 2 + xxh3_64_with_seed(&key, seed) % (delay / 2)
}
