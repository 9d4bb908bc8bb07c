//! The replicated state, and how a proposal is applied to it.

use super::bounds::Bounds;
use super::origin::Origin;
use super::proposal::{Command, Proposal, ProposalRejection, ProposalResult, StateChange};
use crate::fleet::{
    Incarnation, Index, LeaseName, MemberInstance, MemberName, lease, policy_epoch, sites, work,
};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// Maximum number of decided proposals that are remembered of a member beyond those it has settled.
const MAX_DECIDED_PER_MEMBER: usize = 1024;

/// Which of a member's proposals were decided. Stored by position (postcard).
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
struct ProposalHistory {
    incarnation: Incarnation,
    /// All sequence numbers below this one are settled.
    settled_below: u64,
    /// Decided sequence numbers from `settled_below` on.
    decided: BTreeSet<u64>,
    /// Index of the member's last proposal.
    last: Index,
}

impl ProposalHistory {
    fn new(incarnation: Incarnation, index: Index) -> Self {
        ProposalHistory {
            incarnation,
            settled_below: 0,
            decided: BTreeSet::new(),
            last: index,
        }
    }

    fn record(&mut self, index: Index, sequence: u64, settled_below: u64) {
        self.last = index;
        self.decided.insert(sequence);
        self.settled_below = self.settled_below.max(settled_below.min(sequence));
        while self.decided.len() > MAX_DECIDED_PER_MEMBER {
            let first = self.decided.pop_first().unwrap_or(0);
            self.settled_below = self.settled_below.max(first + 1);
        }
        self.decided = self.decided.split_off(&self.settled_below);
    }
}

/// The replicated state. Snapshots store it by position (postcard): the fields keep their order.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct FleetState {
    bounds: Bounds,
    histories: BTreeMap<MemberName, ProposalHistory>,
    /// The highest incarnation that was forgotten to make room. Of members without a history, incarnations up to this
    /// one are rejected.
    forgotten: Incarnation,
    leases: lease::Table,
    work: work::Table,
    policy: policy_epoch::Table,
    applied: Index,
    sites: sites::epoch::SiteTable,
}

impl FleetState {
    /// The state before the first entry.
    pub fn new() -> Self {
        FleetState::default()
    }

    /// Index of the last entry applied.
    pub fn applied(&self) -> Index {
        self.applied
    }

    /// The limits in force.
    pub fn bounds(&self) -> &Bounds {
        &self.bounds
    }

    /// The leases.
    pub fn leases(&self) -> &lease::Table {
        &self.leases
    }

    /// The records of work.
    pub fn work(&self) -> &work::Table {
        &self.work
    }

    /// The policy's epoch and proposals.
    pub fn policy(&self) -> &policy_epoch::Table {
        &self.policy
    }

    /// The agreed state of the sites.
    pub fn sites(&self) -> &sites::epoch::SiteTable {
        &self.sites
    }

    /// The members that hold their session leases.
    pub fn live_members(&self) -> BTreeSet<MemberInstance> {
        let session_holder = |(name, grant): (&LeaseName, &lease::Grant)| {
            let session = lease::session_lease(&grant.holder.name)?;
            (session == *name).then(|| grant.holder.clone())
        };
        self.leases.grants().filter_map(session_holder).collect()
    }

    /// Whether this proposal has been decided, or would be rejected as settled or stale.
    pub fn is_decided(&self, origin: &Origin) -> bool {
        let incarnation = origin.proposer.incarnation;
        match self.histories.get(&origin.proposer.name) {
            Some(history) if history.incarnation == incarnation => {
                origin.sequence < history.settled_below
                    || history.decided.contains(&origin.sequence)
            }
            Some(history) => history.incarnation > incarnation,
            None => incarnation <= self.forgotten,
        }
    }

    /// Applies the entry at `index`, and appends what changed. An entry at or below the last one applied changes
    /// nothing.
    pub fn apply(&mut self, index: Index, proposal: Proposal, out: &mut Vec<StateChange>) {
        if index <= self.applied {
            return;
        }
        self.applied = index;
        let Proposal {
            origin,
            settled_below,
            command,
        } = proposal;
        let result = match self.admit(index, &origin, settled_below) {
            Ok(()) => self.execute(index, &origin, command, out),
            Err(rejection) => ProposalResult::Rejected(rejection),
        };
        out.push(StateChange::ProposalDecided { origin, result });
    }

    /// Skips an entry that is no proposal: Raft's own, or one of a later version of the program.
    pub fn skip(&mut self, index: Index) {
        self.applied = self.applied.max(index);
    }

    /// Encodes the whole state for a snapshot.
    pub fn encode(&self) -> Vec<u8> {
        postcard::to_stdvec(self).unwrap_or_default()
    }

    /// Decodes a snapshot; `None` if it is not one.
    pub fn decode(data: &[u8]) -> Option<FleetState> {
        postcard::from_bytes(data).ok()
    }

    fn execute(
        &mut self,
        index: Index,
        origin: &Origin,
        command: Command,
        out: &mut Vec<StateChange>,
    ) -> ProposalResult {
        match command {
            Command::Bounds(bounds) => self.set_bounds(bounds, out),
            Command::Lease(command) => self.apply_lease(index, origin, command, out),
            Command::Takeover(command) => self.apply_work(index, origin, command, out),
            Command::Sites(command) => self.apply_sites(command, out),
            Command::Policy(command) => self.apply_policy(origin, command, out),
        }
    }

    fn set_bounds(&mut self, bounds: Bounds, out: &mut Vec<StateChange>) -> ProposalResult {
        if !bounds.is_valid() {
            return ProposalResult::Rejected(ProposalRejection::InvalidBounds);
        }
        if bounds != self.bounds {
            self.bounds = bounds.clone();
            out.push(StateChange::Bounds(bounds));
        }
        ProposalResult::Done
    }

    fn apply_lease(
        &mut self,
        index: Index,
        origin: &Origin,
        command: lease::Command,
        out: &mut Vec<StateChange>,
    ) -> ProposalResult {
        let mut changes = Vec::new();
        let outcome = self
            .leases
            .apply(index, origin, command, &self.bounds, &mut changes);
        let has_changed = !changes.is_empty();
        for change in changes {
            self.on_lease_change(index, change, out);
        }
        if has_changed && self.policy.open().is_some() {
            let mut notices = Vec::new();
            self.policy.settle(&self.live_members(), &mut notices);
            out.extend(notices.into_iter().map(StateChange::Policy));
        }
        ProposalResult::Lease(outcome)
    }

    /// Reports a change of a lease. At the end of a session, the member's work is handled in the same entry.
    fn on_lease_change(
        &mut self,
        index: Index,
        change: lease::LeaseChange,
        out: &mut Vec<StateChange>,
    ) {
        let member = change.holder.clone();
        let session = lease::session_lease(&member.name);
        let is_session = session.is_some_and(|session| session == change.name);
        out.push(StateChange::Lease(change));
        if is_session && self.leases.is_session_ended(&member) {
            let mut notices = Vec::new();
            self.work.on_incarnation_ended(index, &member, &mut notices);
            out.extend(notices.into_iter().map(StateChange::Takeover));
        }
    }

    fn apply_work(
        &mut self,
        index: Index,
        origin: &Origin,
        command: work::Command,
        out: &mut Vec<StateChange>,
    ) -> ProposalResult {
        let member = &origin.proposer;
        let is_live = self
            .leases
            .session(&member.name)
            .is_some_and(|grant| grant.holder == *member);
        let mut notices = Vec::new();
        let reply = self
            .work
            .apply(index, member, is_live, command, &mut notices);
        out.extend(notices.into_iter().map(StateChange::Takeover));
        ProposalResult::Takeover(reply)
    }

    fn apply_sites(
        &mut self,
        command: sites::epoch::Command,
        out: &mut Vec<StateChange>,
    ) -> ProposalResult {
        let mut effects = Vec::new();
        self.sites.apply(command, &mut effects);
        out.extend(effects.into_iter().map(StateChange::Sites));
        ProposalResult::Done
    }

    fn apply_policy(
        &mut self,
        origin: &Origin,
        command: policy_epoch::Command,
        out: &mut Vec<StateChange>,
    ) -> ProposalResult {
        let live_members = self.live_members();
        let mut notices = Vec::new();
        let reply = self
            .policy
            .apply(&origin.proposer, &live_members, command, &mut notices);
        out.extend(notices.into_iter().map(StateChange::Policy));
        ProposalResult::Policy(reply)
    }

    /// Records a proposal as decided. Rejects it if it was decided before, or if it is of an older incarnation.
    fn admit(
        &mut self,
        index: Index,
        origin: &Origin,
        settled_below: u64,
    ) -> Result<(), ProposalRejection> {
        let MemberInstance { name, incarnation } = &origin.proposer;
        if self.is_decided(origin) {
            let is_current = self
                .histories
                .get(name)
                .is_some_and(|history| history.incarnation == *incarnation);
            return Err(if is_current {
                ProposalRejection::Duplicate
            } else {
                ProposalRejection::StaleIncarnation
            });
        }
        let is_full = self.histories.len() >= self.bounds.max_members as usize;
        if is_full && !self.histories.contains_key(name) {
            self.forget_oldest()?;
        }
        let new_history = || ProposalHistory::new(*incarnation, index);
        let history = self
            .histories
            .entry(name.clone())
            .or_insert_with(new_history);
        if history.incarnation != *incarnation {
            *history = new_history();
        }
        history.record(index, origin.sequence, settled_below);
        Ok(())
    }

    /// Forgets the member that was silent for longest among those without a session.
    fn forget_oldest(&mut self) -> Result<(), ProposalRejection> {
        let oldest = self
            .histories
            .iter()
            .filter(|(name, _)| self.leases.session(name).is_none())
            .min_by_key(|(_, history)| history.last)
            .map(|(name, _)| name.clone());
        let name = oldest.ok_or(ProposalRejection::TooManyMembers)?;
        if let Some(history) = self.histories.remove(&name) {
            self.forgotten = self.forgotten.max(history.incarnation);
        }
        Ok(())
    }
}
