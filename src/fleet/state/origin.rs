//! The identity of a proposal.

use crate::fleet::MemberInstance;
use serde::{Deserialize, Serialize};

/// Identity of a proposal: repeats of a proposal carry the same. Stored by position (postcard).
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Origin {
    /// The proposing member and its incarnation.
    pub proposer: MemberInstance,
    /// Sequence number, from 1 in each incarnation.
    pub sequence: u64,
}
