//! Fencing of operations at the resource that a lease protects.

use crate::fleet::{LeaseName, Token};
use std::collections::BTreeMap;

/// Keeps the highest token seen of each lease, and rejects operations under lower ones.
///
/// This covers what no clock can: an operation that was checked in time and sent after a pause of the process.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct FencingGuard {
    highest: BTreeMap<LeaseName, Token>,
}

impl FencingGuard {
    /// Whether an operation under this token may proceed. At most `max_leases` names are kept; operations under
    /// further ones are rejected.
    pub fn admit(&mut self, name: &LeaseName, token: Token, max_leases: usize) -> bool {
        let is_allowed = match self.highest.get(name) {
            Some(highest) => *highest <= token,
            None => self.highest.len() < max_leases,
        };
        if is_allowed {
            self.highest.insert(name.clone(), token);
        }
        is_allowed
    }
}
