//! How many descriptors each of two processes may hold.
//!
//! A process that is alone may hold all of them. When a second one starts, the running process gives up descriptors,
//! down to a half, as its requests end, and publishes in its lock file how many it keeps. The new process takes the
//! remainder, at most a half. Only the new process increases its share while both run, so the sum stays within the
//! limit.

use super::lock_file::ProcessStatus;
use crate::net::server::MAX_REFUSED_CONNECTIONS;

/// Minimum number of client and model-host sockets with which a second process can serve.
const MIN_SERVING_SOCKETS: usize = 4 * MAX_REFUSED_CONNECTIONS;

/// Descriptor limit that the processes share.
#[derive(Clone, Copy, Debug)]
pub struct DescriptorLimit {
    total: usize,
    reserved: usize,
}

impl DescriptorLimit {
    /// Creates the limit; `reserved` is the number of descriptors per process used for neither clients nor model
    /// hosts.
    pub fn new(total: usize, reserved: usize) -> Self {
        DescriptorLimit { total, reserved }
    }

    /// The limit of both processes together.
    pub fn total(&self) -> usize {
        self.total
    }

    /// Number of descriptors with which a process may start while the other one has this status; `None` if they are
    /// too few to serve.
    pub fn initial_share(&self, other: Option<ProcessStatus>) -> Option<usize> {
        let first = self.target_share(other);
        (first >= self.min_share()).then_some(first)
    }

    /// Maximum number of descriptors of a process. One that uses more gets down to it as its requests end.
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

/// Division of one process's sockets between clients and model hosts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SocketSplit {
    /// Maximum number of connections to model hosts.
    pub hosts: usize,
    /// Client connections, including those that are refused because the limit is reached.
    pub clients: usize,
}

impl SocketSplit {
    /// Divides a share. Each request in progress may hold one socket of each kind; clients get more because idle
    /// clients also hold sockets.
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
