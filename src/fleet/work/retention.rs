//! Retention of client requests that have no owner.

use super::command::Command;
use super::table::Table;
use crate::fleet::Index;
use crate::routing::types::Micros;
use std::collections::BTreeMap;

/// Decides at the leader, by its own clock, when records are removed. A new leader counts anew, so a record may be kept
/// for longer than the configured time and never for less.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct RetentionTracker {
    unchanged: BTreeMap<String, Unchanged>,
}

/// Since when a record without an owner has not changed.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Unchanged {
    last_changed: Index,
    since: Micros,
}

impl RetentionTracker {
    /// The commands that remove records which have not changed for `retention`, at most `limit` of them.
    pub fn due(
        &mut self,
        now: Micros,
        retention: Micros,
        limit: usize,
        table: &Table,
    ) -> Vec<Command> {
        let has_no_owner = |name: &String| {
            table
                .client_request(name)
                .is_some_and(|record| record.owner.is_none())
        };
        self.unchanged.retain(|name, _| has_no_owner(name));
        let mut due = Vec::new();
        for (name, record) in table.client_requests() {
            if record.owner.is_some() {
                continue;
            }
            let last_changed = record.last_changed;
            let observed = Unchanged {
                last_changed,
                since: now,
            };
            let unchanged = self
                .unchanged
                .entry(name.to_owned())
                .or_insert_with(|| observed.clone());
            if unchanged.last_changed != last_changed {
                *unchanged = observed;
            }
            if now.saturating_sub(unchanged.since) >= retention && due.len() < limit {
                due.push(Command::Forget {
                    name: name.to_owned(),
                    last_changed,
                });
            }
        }
        due
    }

    /// Forgets everything when leadership is lost.
    pub fn clear(&mut self) {
        self.unchanged.clear();
    }
}
