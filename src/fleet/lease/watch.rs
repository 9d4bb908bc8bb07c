//! The leader's side of leases: it asks the log to end what has run out.

use super::{Command, Grant, Settings, Table};
use crate::fleet::{LeaseName, Token};
use crate::routing::types::Micros;
use std::collections::{BTreeMap, BTreeSet};

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Count {
    token: Token,
    renewals: u64,
    due: Micros,
}

/// What the leader watches: how long ago it saw each grant or renewal applied.
///
/// Ending too late is always safe, so a new leader counts the whole time anew, and whoever restarts does too. An
/// `Expire` that arrives late is void by its count of renewals, so a leader that was voted out does no harm.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Watch {
    settings: Settings,
    leading: bool,
    counts: BTreeMap<LeaseName, Count>,
    due: BTreeSet<(Micros, LeaseName)>,
}

impl Watch {
    /// Watches nothing until it leads.
    pub fn new(settings: Settings) -> Self {
        Watch {
            settings,
            leading: false,
            counts: BTreeMap::new(),
            due: BTreeSet::new(),
        }
    }

    /// This member leads or stopped leading, or the table was replaced: everything is counted anew.
    pub fn lead(&mut self, now: Micros, leading: bool, table: &Table) {
        self.leading = leading;
        self.counts.clear();
        self.due.clear();
        if leading {
            for (name, grant) in table.grants() {
                self.count(now, name, grant);
            }
        }
    }

    /// The table's entry of this name changed just now.
    pub fn changed(&mut self, now: Micros, name: &LeaseName, table: &Table) {
        if let Some(count) = self.counts.remove(name) {
            self.due.remove(&(count.due, name.clone()));
        }
        if let (true, Some(grant)) = (self.leading, table.grant(name)) {
            self.count(now, name, grant);
        }
    }

    /// Appends what has run out; again after a while for as long as the table says that it is held.
    pub fn expire(&mut self, now: Micros, out: &mut Vec<Command>) {
        let again = now.saturating_add(self.settings.retry.most_ms.max(1).saturating_mul(1000));
        while let Some((_, name)) = self.due.first().filter(|(due, _)| *due <= now).cloned() {
            self.due.pop_first();
            let Some(count) = self.counts.get_mut(&name) else {
                continue;
            };
            count.due = again;
            let (token, renewals) = (count.token, count.renewals);
            self.due.insert((again, name.clone()));
            out.push(Command::Expire {
                name,
                token,
                renewals,
            });
        }
    }

    /// When [`Watch::expire`] has something next.
    pub fn timeout(&self) -> Option<Micros> {
        self.due.first().map(|(due, _)| *due)
    }

    fn count(&mut self, now: Micros, name: &LeaseName, grant: &Grant) {
        let wait = if grant.taken {
            self.settings.wait(grant.granted_for_ms)
        } else {
            self.settings.offer_ms.saturating_mul(1000)
        };
        let due = now.saturating_add(wait);
        self.due.insert((due, name.clone()));
        self.counts.insert(
            name.clone(),
            Count {
                token: grant.token,
                renewals: grant.renewals,
                due,
            },
        );
    }
}
