//! A member's status of its leases, and the view of it that the rest of the program asks.

use super::session::session_lease;
use crate::fleet::{LeaseName, MemberInstance, Token};
use crate::routing::types::Micros;
use serde::Serialize;
use std::collections::BTreeMap;

/// Status of a lease at a member that wants or wanted it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize)]
pub enum LeaseStatus {
    /// Neither held nor requested.
    #[serde(rename = "out")]
    NotHeld,
    /// Requested, but not valid at present.
    #[serde(rename = "waiting")]
    Waiting,
    /// Held and valid: the member may act under it.
    #[serde(rename = "acting")]
    Held,
}

/// Why the status of a lease changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum StatusChangeCause {
    /// The configuration or the program wants it.
    Wanted,
    /// The log granted it.
    Granted,
    /// It was renewed and is valid for longer.
    Renewed,
    /// It was not renewed in time, by this member's clock.
    #[serde(rename = "ran_out")]
    TimedOut,
    /// The log ended it.
    Ended,
    /// The session lease is not valid any more.
    #[serde(rename = "life")]
    SessionLost,
    /// The member released it.
    Released,
}

/// A change of the status of one of a member's own leases.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize)]
pub struct LeaseStatusChange {
    /// The lease.
    pub name: LeaseName,
    /// Token of the grant that it holds or held, if any.
    pub token: Option<Token>,
    /// This member.
    pub holder: MemberInstance,
    /// Status before.
    pub from: LeaseStatus,
    /// Status after.
    pub to: LeaseStatus,
    /// Why.
    pub cause: StatusChangeCause,
    /// Until when this lease by itself is valid, by the member's clock (the session lease may end sooner); 0 if it is
    /// not.
    pub until: Micros,
}

/// A member's valid leases, as far as its driver has carried out the changes.
///
/// [`super::Holder`] may run ahead of what is on disk. This view follows [`super::Action::StatusChanged`] in the order
/// of the actions, and needs nothing but the clock: after a pause of any length, the first answer is already right.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct LeaseView {
    /// Token of each lease, and until when it is valid.
    valid: BTreeMap<LeaseName, (Token, Micros)>,
}

impl LeaseView {
    /// Carries a change out.
    pub fn apply(&mut self, change: &LeaseStatusChange) {
        match change.token {
            Some(token) if change.until > 0 => {
                let valid = (token, change.until);
                self.valid.insert(change.name.clone(), valid);
            }
            _ => {
                self.valid.remove(&change.name);
            }
        }
    }

    /// The token to act under, if this lease and the session lease of `member` are valid at `now`: the member's own
    /// clock, read just before the operation.
    pub fn valid_token(
        &self,
        member: &MemberInstance,
        name: &LeaseName,
        now: Micros,
    ) -> Option<Token> {
        self.unexpired_token(&session_lease(&member.name)?, now)?;
        self.unexpired_token(name, now)
    }

    fn unexpired_token(&self, name: &LeaseName, now: Micros) -> Option<Token> {
        let (token, until) = self.valid.get(name)?;
        (now < *until).then_some(*token)
    }
}
