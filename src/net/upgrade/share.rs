//! How many descriptors each of two processes may hold.
//!
//! A process that is alone may hold all of them. The running one gives way down to a half as far as what it has in
//! hand allows, and says in its seat what it keeps; the new one takes what that leaves, a half at the most. As only
//! the new one takes more while both are there, the sum stays within the limit.

use super::lock_file::ProcessStatus;
use crate::net::server::MAX_REFUSED_CONNECTIONS;

/// The fewest sockets beside the reserved ones with which a second process can serve: some of each side.
const MIN_SERVING_SOCKETS: usize = 4 * MAX_REFUSED_CONNECTIONS;

/// The limit that the processes share.
#[derive(Clone, Copy, Debug)]
pub struct DescriptorLimit {
    total: usize,
    reserved: usize,
}

impl DescriptorLimit {
    /// Of a limit, with the descriptors of each process that are neither a client's nor a model host's.
    pub fn new(total: usize, reserved: usize) -> Self {
        DescriptorLimit { total, reserved }
    }

    /// The whole limit.
    pub fn total(&self) -> usize {
        self.total
    }

    /// What a process may begin with beside the other one; `None` while that is too little to serve.
    pub fn initial_share(&self, other: Option<ProcessStatus>) -> Option<usize> {
        let first = self.target_share(other);
        (first >= self.min_share()).then_some(first)
    }

    /// What a process is to hold at the most. One that has more in hand comes down to it as that ends.
    pub fn target_share(&self, other: Option<ProcessStatus>) -> usize {
        let Some(status) = other else {
            return self.total;
        };
        let left = self.total.saturating_sub(status.sockets);
        left.min(self.total / 2)
    }

    fn min_share(&self) -> usize {
        self.reserved + MIN_SERVING_SOCKETS
    }
}

/// How the descriptors of one process are split.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SocketSplit {
    /// Connections to model hosts.
    pub hosts: usize,
    /// Connections of clients, those that are refused for want of room included.
    pub clients: usize,
}

impl SocketSplit {
    /// Every request in hand may hold a socket of either side; clients that say nothing hold some more of theirs.
    pub fn of_share(share: usize, reserved: usize) -> Self {
        let sockets = share.saturating_sub(reserved).max(MIN_SERVING_SOCKETS);
        let hosts = sockets * 9 / 20;
        SocketSplit {
            hosts,
            clients: sockets - hosts,
        }
    }
}

#[cfg(test)]
mod tests;
