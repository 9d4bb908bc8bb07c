//! Duties of the leader: expiry of leases, retention of records, deadlines of settings proposals.

use super::Node;
use crate::fleet::state::Command;
use crate::fleet::{lease, policy_epoch, raft};
use crate::routing::types::Micros;
use std::collections::VecDeque;

/// How often the leader looks for records of requests that may be removed, in microseconds.
pub(super) const RETENTION_CHECK_INTERVAL: Micros = 1_000_000;
/// Most records removed at each check.
const MAX_FORGOTTEN_PER_CHECK: usize = 64;

impl Node {
    /// As leader, proposes to end leases that have expired by the local clock.
    pub(super) fn expire_leases(&mut self, now: Micros, raft_events: &mut VecDeque<raft::Event>) {
        let mut commands = Vec::new();
        if self.leading {
            self.lease_expiry.take_expired(now, &mut commands);
        }
        for command in commands {
            let lease::Command::Expire { name, .. } = &command else {
                continue;
            };
            let name = name.clone();
            let sequence = self.propose(now, Command::Lease(command), raft_events);
            if let Some(previous) = self.expiry_proposals.insert(name, sequence) {
                self.holder.abandon(previous);
            }
        }
    }

    /// As leader, proposes to remove records of requests that have not changed for the retention time.
    pub(super) fn remove_old_records(
        &mut self,
        now: Micros,
        raft_events: &mut VecDeque<raft::Event>,
    ) {
        if !self.leading {
            return self.retention.clear();
        }
        if now < self.next_retention_check {
            return;
        }
        self.next_retention_check = now.saturating_add(RETENTION_CHECK_INTERVAL);
        let retention = self.limits.work_retention();
        for command in
            self.retention
                .due(now, retention, MAX_FORGOTTEN_PER_CHECK, self.state.work())
        {
            self.propose(now, Command::Takeover(command), raft_events);
        }
    }

    /// As leader, sets the deadline of a proposal of settings under way; a new leader counts anew.
    pub(super) fn track_settings_proposal(&mut self, now: Micros) {
        let open = self
            .state
            .policy()
            .open()
            .filter(|_| self.leading)
            .map(|open| open.proposal);
        if open != self.settings_deadline.map(|(proposal, _)| proposal) {
            let deadline = self.limits.settings_deadline(now);
            self.settings_deadline = open.map(|proposal| (proposal, deadline));
        }
    }

    /// As leader, aborts a proposal of settings whose deadline has passed.
    pub(super) fn abort_overdue_settings(
        &mut self,
        now: Micros,
        raft_events: &mut VecDeque<raft::Event>,
    ) {
        let Some((proposal, _)) = self.settings_deadline.filter(|(_, at)| *at <= now) else {
            return;
        };
        let missing = self
            .state
            .policy()
            .awaited_members(&self.state.live_members());
        let names: Vec<&str> = missing.iter().map(|member| member.name.as_str()).collect();
        let cause = format!("not decided in time: no word of {}", names.join(", "));
        // Proposals are sent again by themselves; this one is repeated only if it was lost altogether.
        self.settings_deadline = Some((proposal, self.limits.proposal_deadline(now)));
        self.propose(
            now,
            Command::Policy(policy_epoch::Command::Abort { proposal, cause }),
            raft_events,
        );
    }
}
