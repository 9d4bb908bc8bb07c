//! A member's pending proposals, each retried under its own sequence number until it is decided.

use super::origin::Origin;
use super::proposal::{Command, Proposal};
use super::retry::Retry;
use crate::fleet::MemberInstance;
use crate::routing::types::Micros;
use std::collections::BTreeMap;
use xxhash_rust::xxh3::xxh3_64_with_seed;

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct PendingProposal {
    command: Command,
    attempts: u32,
    due: Micros,
}

/// The pending proposals of one incarnation of a member.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Outbox {
    proposer: MemberInstance,
    retry: Retry,
    seed: u64,
    /// Number of random values drawn so far.
    draws: u64,
    next_sequence: u64,
    pending: BTreeMap<u64, PendingProposal>,
}

impl Outbox {
    /// An empty outbox.
    pub fn new(proposer: MemberInstance, retry: Retry, seed: u64) -> Self {
        Outbox {
            proposer,
            retry,
            seed,
            draws: 0,
            next_sequence: 1,
            pending: BTreeMap::new(),
        }
    }

    /// Adds a command and returns its sequence number; [`Outbox::take_due`] sends it at once.
    pub fn add(&mut self, now: Micros, command: Command) -> u64 {
        let sequence = self.reserve_sequence();
        let proposal = PendingProposal {
            command,
            attempts: 0,
            due: now,
        };
        self.pending.insert(sequence, proposal);
        sequence
    }

    /// A sequence number for a request that doesn't go through the log.
    pub fn reserve_sequence(&mut self) -> u64 {
        let sequence = self.next_sequence;
        self.next_sequence += 1;
        sequence
    }

    /// Removes a proposal that was decided, or whose result nobody needs any more. False if it was not pending.
    pub fn settle(&mut self, sequence: u64) -> bool {
        self.pending.remove(&sequence).is_some()
    }

    /// Sequence numbers of the pending proposals.
    pub fn pending(&self) -> impl Iterator<Item = u64> + '_ {
        self.pending.keys().copied()
    }

    /// The identity of one of this member's proposals.
    pub fn origin(&self, sequence: u64) -> Origin {
        Origin {
            proposer: self.proposer.clone(),
            sequence,
        }
    }

    /// Appends the proposals that have to be sent now, for the first time or again.
    pub fn take_due(&mut self, now: Micros, out: &mut Vec<Proposal>) {
        let first_pending = self.pending.keys().next().copied();
        let settled_below = first_pending.unwrap_or(self.next_sequence);
        for (&sequence, proposal) in &mut self.pending {
            if proposal.due > now {
                continue;
            }
            let delay = self.retry.delay(proposal.attempts);
            self.draws += 1;
            let random = xxh3_64_with_seed(&self.draws.to_le_bytes(), self.seed);
            proposal.due = now + delay / 2 + random % (delay / 2);
            proposal.attempts += 1;
            out.push(Proposal {
                origin: Origin {
                    proposer: self.proposer.clone(),
                    sequence,
                },
                settled_below,
                command: proposal.command.clone(),
            });
        }
    }

    /// Makes all proposals due now, as first attempts: there is a new leader to send them to.
    pub fn retry_now(&mut self, now: Micros) {
        for proposal in self.pending.values_mut() {
            proposal.attempts = 0;
            proposal.due = now;
        }
    }

    /// When [`Outbox::take_due`] has something to send next.
    pub fn timeout(&self) -> Option<Micros> {
        self.pending.values().map(|proposal| proposal.due).min()
    }
}
