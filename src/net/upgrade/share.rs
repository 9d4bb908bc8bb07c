//! How many descriptors each of two processes may hold.
//!
//! A process that is alone may hold all of them. The running one gives way down to a half as far as what it has in
//! hand allows, and says in its seat what it keeps; the new one takes what that leaves, a half at the most. As only
//! the new one takes more while both are there, the sum stays within the limit.

use super::lock_file::Claim;
use crate::net::server::OVER;

/// The fewest sockets beside the spare ones with which a second process can serve: some of each side.
const LEAST: usize = 4 * OVER;

/// The limit that the processes share.
#[derive(Clone, Copy, Debug)]
pub struct Shares {
    whole: usize,
    spare: usize,
}

impl Shares {
    /// Of a limit, with the descriptors of each process that are neither a client's nor a model host's.
    pub fn new(whole: usize, spare: usize) -> Self {
        Shares { whole, spare }
    }

    /// The whole limit.
    pub fn whole(&self) -> usize {
        self.whole
    }

    /// What a process may begin with beside the other one; `None` while that is too little to serve.
    pub fn first(&self, other: Option<Claim>) -> Option<usize> {
        let first = self.target(other);
        (first >= self.least()).then_some(first)
    }

    /// What a process is to hold at the most. One that has more in hand comes down to it as that ends.
    pub fn target(&self, other: Option<Claim>) -> usize {
        let Some(claim) = other else {
            return self.whole;
        };
        let left = self.whole.saturating_sub(claim.sockets);
        left.min(self.whole / 2)
    }

    fn least(&self) -> usize {
        self.spare + LEAST
    }
}

/// How the descriptors of one process are split.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Split {
    /// Connections to model hosts.
    pub hosts: usize,
    /// Connections of clients, those that are refused for want of room included.
    pub clients: usize,
}

impl Split {
    /// Every request in hand may hold a socket of either side; clients that say nothing hold some more of theirs.
    pub fn of(share: usize, spare: usize) -> Self {
        let sockets = share.saturating_sub(spare).max(LEAST);
        let hosts = sockets * 9 / 20;
        Split {
            hosts,
            clients: sockets - hosts,
        }
    }
}

#[cfg(test)]
mod tests;
