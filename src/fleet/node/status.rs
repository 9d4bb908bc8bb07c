//! The status of a member, for `whinhaven fleet status`. The serde names are the JSON that operators read.

use super::Node;
use crate::fleet::{
    Incarnation, Index, LeaseName, MemberInstance, MemberName, SiteName, Term, Token,
};
use crate::fleet::{lease, membership};
use crate::routing::types::Micros;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// The status of a member.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct NodeStatus {
    /// The local member.
    #[serde(rename = "me")]
    pub local: MemberInstance,
    /// Its site.
    pub site: SiteName,
    /// The state of its session lease: `acting`, `waiting` or `ended`.
    #[serde(rename = "life")]
    pub session: String,
    /// The token of its session lease, if it holds one.
    #[serde(rename = "life_token")]
    pub session_token: Option<Token>,
    /// The known leader.
    pub leader: Option<MemberName>,
    /// The Raft term.
    pub term: Term,
    /// The commit index.
    pub commit: Index,
    /// The last entry applied.
    pub applied: Index,
    /// All known members.
    pub members: Vec<MemberStatus>,
    /// All leases in the applied state.
    pub leases: Vec<LeaseStatus>,
    /// The revision of the settings; 0 before the first.
    pub epoch: u64,
}

/// A member in the membership table.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberStatus {
    /// Its name.
    pub name: MemberName,
    /// Its site.
    pub site: SiteName,
    /// Its incarnation.
    pub incarnation: Incarnation,
    /// Its address.
    pub address: SocketAddr,
    /// `alive`, `suspect`, `dead` or `left`.
    pub status: String,
}

/// A lease in the applied state.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseStatus {
    /// Its name.
    pub name: LeaseName,
    /// The holder.
    pub holder: MemberInstance,
    /// The fencing token.
    pub token: Token,
    /// How often it was renewed.
    pub renewals: u64,
    /// False until the holder has accepted it.
    pub taken: bool,
    /// How many wait for it.
    pub waiters: usize,
}

impl Node {
    /// The status at `now`.
    pub fn status(&self, now: Micros) -> NodeStatus {
        let session_token = self.holder.session_token(now);
        let session = match (self.holder.is_session_ended(), session_token) {
            (true, _) => "ended",
            (false, Some(_)) => "acting",
            (false, None) => "waiting",
        };
        let member = |member: &membership::Member| MemberStatus {
            name: member.name.clone(),
            site: member.site.clone(),
            incarnation: member.incarnation,
            address: member.address,
            status: member.status.as_str().to_owned(),
        };
        let table = self.state.leases();
        let lease = |(name, grant): (&LeaseName, &lease::Grant)| LeaseStatus {
            name: name.clone(),
            holder: grant.holder.clone(),
            token: grant.token,
            renewals: grant.renewals,
            taken: grant.is_accepted,
            waiters: table.waiters(name).count(),
        };
        NodeStatus {
            local: self.instance.clone(),
            site: self.me.site.clone(),
            session: session.to_owned(),
            session_token,
            leader: self.raft.leader().cloned(),
            term: self.raft.term(),
            commit: self.raft.commit_index(),
            applied: self.state.applied(),
            members: self.membership.members().map(member).collect(),
            leases: table.grants().map(lease).collect(),
            epoch: self.state.policy().epoch(),
        }
    }
}
