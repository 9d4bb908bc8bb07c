//! What members say to each other.

use crate::fleet::{membership, raft, renewal};
use serde::{Deserialize, Serialize};

/// One message between members. Variants are only ever added at the end: members of two versions run side by side.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Message {
    /// Of the view.
    Membership(membership::Message),
    /// Of the group; proposals travel in it to the leader.
    Raft(raft::Message),
    /// About renewals of leases.
    Renewal(renewal::Message),
}

impl Message {
    /// The message as bytes.
    pub fn encode(&self) -> Vec<u8> {
        postcard::to_stdvec(self).unwrap_or_default()
    }

    /// Reads a message; `None` if it is not one, or if anything follows it.
    pub fn decode(bytes: &[u8]) -> Option<Message> {
        match postcard::take_from_bytes(bytes) {
            Ok((message, [])) => Some(message),
            _ => None,
        }
    }
}
