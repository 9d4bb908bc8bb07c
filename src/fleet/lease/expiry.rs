//! The leader's side of leases: it proposes to end those that were not renewed in time.

use super::config::{Config, MICROS_PER_MILLI};
use super::table::{Command, Grant, Table};
use crate::fleet::{LeaseName, Token};
use crate::routing::types::Micros;
use std::collections::{BTreeMap, BTreeSet};

/// The grant or renewal that a deadline was set for.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct TrackedGrant {
    token: Token,
    renewals: u64,
    deadline: Micros,
}

/// Tracks how long ago the leader saw each grant or renewal applied.
///
/// To end a lease too late is always safe, so a new leader starts all deadlines anew, and so does a restarted one. An
/// `Expire` that arrives late has no effect because it names the count of renewals, so a deposed leader does no harm.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct ExpiryTracker {
    config: Config,
    is_leading: bool,
    tracked: BTreeMap<LeaseName, TrackedGrant>,
    deadlines: BTreeSet<(Micros, LeaseName)>,
}

impl ExpiryTracker {
    /// A tracker that is idle until this member leads.
    pub fn new(config: Config) -> Self {
        ExpiryTracker {
            config,
            is_leading: false,
            tracked: BTreeMap::new(),
            deadlines: BTreeSet::new(),
        }
    }

    /// This member began or ceased to lead, or the table was replaced: all deadlines start anew.
    pub fn set_leading(&mut self, now: Micros, is_leading: bool, table: &Table) {
        self.is_leading = is_leading;
        self.tracked.clear();
        self.deadlines.clear();
        if is_leading {
            for (name, grant) in table.grants() {
                self.track(now, name, grant);
            }
        }
    }

    /// The table's record of this lease changed, or was renewed, just now.
    pub fn on_change(&mut self, now: Micros, name: &LeaseName, table: &Table) {
        if let Some(tracked) = self.tracked.remove(name) {
            self.deadlines.remove(&(tracked.deadline, name.clone()));
        }
        if self.is_leading
            && let Some(grant) = table.grant(name)
        {
            self.track(now, name, grant);
        }
    }

    /// Appends a command for each lease that has expired; repeated after a while until the table shows its end.
    pub fn take_expired(&mut self, now: Micros, out: &mut Vec<Command>) {
        let retry_interval = self
            .config
            .retry
            .max_delay_ms
            .max(1)
            .saturating_mul(MICROS_PER_MILLI);
        let retry_at = now.saturating_add(retry_interval);
        while let Some((deadline, name)) = self.deadlines.first().cloned()
            && deadline <= now
        {
            self.deadlines.pop_first();
            let Some(tracked) = self.tracked.get_mut(&name) else {
                continue;
            };
            tracked.deadline = retry_at;
            self.deadlines.insert((retry_at, name.clone()));
            out.push(Command::Expire {
                name,
                token: tracked.token,
                renewals: tracked.renewals,
            });
        }
    }

    /// When [`ExpiryTracker::take_expired`] has to be called next.
    pub fn timeout(&self) -> Option<Micros> {
        self.deadlines.first().map(|(deadline, _)| *deadline)
    }

    fn track(&mut self, now: Micros, name: &LeaseName, grant: &Grant) {
        let wait = if grant.is_accepted {
            self.config.expiry_duration(grant.duration_ms)
        } else {
            self.config.offer_ms.saturating_mul(MICROS_PER_MILLI)
        };
        let deadline = now.saturating_add(wait);
        self.deadlines.insert((deadline, name.clone()));
        let tracked = TrackedGrant {
            token: grant.token,
            renewals: grant.renewals,
            deadline,
        };
        self.tracked.insert(name.clone(), tracked);
    }
}
