//! How a member stands to its leases, and the rights that follow from it.

use super::life;
use crate::fleet::{LeaseName, MemberInstance, Token};
use crate::routing::types::Micros;
use serde::Serialize;
use std::collections::BTreeMap;

/// How a member stands to a lease that it wants or wanted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Standing {
    /// Neither held nor waited for.
    Out,
    /// Asked for.
    Waiting,
    /// May act.
    Acting,
}

/// Why a member's standing changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Cause {
    /// The operator's file or the program wants it.
    Wanted,
    /// The log granted it.
    Granted,
    /// The log renewed it; it may act for longer.
    Renewed,
    /// Its time ran out by this member's clock without a renewal.
    RanOut,
    /// The log ended it.
    Ended,
    /// The life lease does not allow it any more.
    Life,
    /// Given up.
    Released,
}

/// A member's own standing to a lease changed.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize)]
pub struct LeaseChange {
    /// Which lease.
    pub name: LeaseName,
    /// Under which grant, if it holds or held one.
    pub token: Option<Token>,
    /// This member.
    pub holder: MemberInstance,
    /// How it stood.
    pub from: Standing,
    /// How it stands.
    pub to: Standing,
    /// Why.
    pub cause: Cause,
    /// Until when this lease by itself is good, by the member's own clock (the life lease may end sooner); 0 if it is
    /// not.
    pub until: Micros,
}

/// The rights of a member as its driver has carried them out so far: what the parts that act ask.
///
/// A holder's own answers may run ahead of what is on the disk; these follow [`Action::Changed`] in the order of the
/// actions, and need nothing but the clock. After a pause of any length the first question has the right answer.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Rights {
    good: BTreeMap<LeaseName, (Token, Micros)>,
}

impl Rights {
    /// Carries a change out.
    pub fn change(&mut self, change: &LeaseChange) {
        match change.token {
            Some(token) if change.until > 0 => {
                self.good.insert(change.name.clone(), (token, change.until))
            }
            _ => self.good.remove(&change.name),
        };
    }

    /// The token to act under, if `who` may act under this lease at `now`: its own clock, read just before the act.
    pub fn may_act(&self, who: &MemberInstance, name: &LeaseName, now: Micros) -> Option<Token> {
        let good = |name: &LeaseName| {
            self.good
                .get(name)
                .filter(|(_, until)| now < *until)
                .map(|(token, _)| *token)
        };
        good(&life(&who.name)?)?;
        good(name)
    }
}
