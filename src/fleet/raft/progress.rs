//! Replication progress of a voter, as in etcd's Raft: probing, replicating, or receiving a snapshot.

use super::SnapshotOffset;
use crate::fleet::Index;
use crate::routing::types::Micros;

/// Replication progress of a voter, as the leader knows it.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct Progress {
    /// The log matches the leader's up to this index.
    pub(super) matched: Index,
    /// The first index to send next.
    pub(super) next: Index,
    /// Whether the last matching index is still searched for: only one message is in flight then.
    pub(super) is_probing: bool,
    /// Whether a probe or a snapshot chunk is in flight.
    pub(super) is_awaiting_response: bool,
    /// Whether it has responded since the last heartbeat.
    pub(super) has_responded: bool,
    pub(super) heard_at: Micros,
    /// The snapshot that it is being sent, and the byte that it needs next.
    pub(super) snapshot: Option<SnapshotOffset>,
}

impl Progress {
    pub(super) fn new(next: Index, now: Micros) -> Progress {
        Progress {
            matched: Index(0),
            next,
            is_probing: true,
            is_awaiting_response: false,
            has_responded: false,
            heard_at: now,
            snapshot: None,
        }
    }

    /// Restarts probing from the last known match.
    pub(super) fn start_probing(&mut self) {
        self.next = Index(self.matched.0 + 1);
        self.is_probing = true;
        self.is_awaiting_response = false;
    }

    /// Whether a response to something that was sent is missing.
    pub(super) fn has_unacknowledged(&self) -> bool {
        self.matched.0 + 1 < self.next.0 || self.is_probing || self.snapshot.is_some()
    }

    /// Whether no further entries may be sent until it responds.
    pub(super) fn is_paused(&self, max_in_flight: u64) -> bool {
        if self.is_probing {
            return self.is_awaiting_response;
        }
        let in_flight = self.next.0 - 1 - self.matched.0;
        in_flight >= max_in_flight.max(1)
    }

    pub(super) fn on_matched(&mut self, index: Index) {
        self.has_responded = true;
        self.matched = self.matched.max(index);
        self.next = self.next.max(Index(index.0 + 1));
        self.is_probing = false;
        self.is_awaiting_response = false;
        self.snapshot = None;
    }

    pub(super) fn on_snapshot_offset(&mut self, received: SnapshotOffset) {
        if let Some(sent) = self.snapshot
            && sent.index == received.index
            && sent.offset != received.offset
        {
            self.has_responded = true;
            self.is_awaiting_response = false;
            self.snapshot = Some(received);
        }
    }
}
