//! The endpoint list: workers and their status.

use super::{Micros, WorkerId};

/// Whether a worker may be sent requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Status {
    /// In service.
    Ready,
    /// Completes its requests; gets no new ones.
    Draining,
    /// No longer listed.
    #[default]
    Gone,
}

/// A worker as the endpoint list has it.
#[derive(Clone, Debug)]
pub struct Endpoint {
    /// The worker.
    pub worker: WorkerId,
    /// Its zone.
    pub zone: String,
    /// Its kind, a name of [`RoutingConfig::kinds`](super::RoutingConfig::kinds).
    pub kind: String,
    /// Its cell: workers with fast links to each other.
    pub cell: u64,
    /// Whether it may be sent requests.
    pub status: Status,
    /// Its capacity relative to others of its role.
    pub weight: f64,
    /// When its process last started; `None`: long ago.
    pub started: Option<Micros>,
}

/// The kind of an update of the endpoint list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointUpdate {
    /// Changed endpoints only.
    Incremental,
    /// The whole list.
    Full,
    /// The whole list as stored by an earlier process of this router; may be stale.
    Restored,
    /// A fetch or the subscription failed; the list stays as it is.
    Failed,
}
