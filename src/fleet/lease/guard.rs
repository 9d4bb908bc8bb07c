//! The side that is acted on under leases.

use crate::fleet::{LeaseName, Token};
use std::collections::BTreeMap;

/// What is acted on under leases keeps the highest token that it has seen, and refuses lower ones. This closes what no
/// clock can: an act that was checked in time and was sent after a pause.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Guard {
    highest: BTreeMap<LeaseName, Token>,
}

impl Guard {
    /// Whether an act under this token may go ahead. At most `most` names are kept; acts under further ones may not.
    pub fn admit(&mut self, name: &LeaseName, token: Token, most: usize) -> bool {
        let lower = self
            .highest
            .get(name)
            .is_some_and(|highest| *highest > token);
        let full = !self.highest.contains_key(name) && self.highest.len() >= most;
        if lower || full {
            return false;
        }
        self.highest.insert(name.clone(), token);
        true
    }
}
