//! The endpoint list: workers and their status.

use super::{Micros, WorkerId};

/// Whether a worker accepts new requests, as listed by discovery.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Status {
    /// In service: may be sent new requests.
    Ready,
    /// Completes the requests that it has and gets no new ones.
    Draining,
    /// No longer part of the endpoint list.
    #[default]
    Gone,
}

/// A worker's entry in the endpoint list.
#[derive(Clone, Debug)]
pub struct Endpoint {
    /// Name by which discovery, actions and events refer to the worker.
    pub worker: WorkerId,
    /// Zone in which the worker runs.
    pub zone: String,
    /// Name of the worker's kind; refers to [`RoutingConfig::kinds`](super::RoutingConfig::kinds).
    pub kind: String,
    /// Cell of the worker: a group of workers with fast links to each other.
    pub cell: u64,
    /// Whether the worker accepts new requests.
    pub status: Status,
    /// Capacity relative to other workers of the same role.
    pub weight: f64,
    /// Time of the latest start of the worker's process; `None` if it started long ago.
    pub started: Option<Micros>,
}

/// Kind of an update of the endpoint list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointUpdate {
    /// Contains only the endpoints that changed.
    Incremental,
    /// Contains the complete list; endpoints that are not in it are gone.
    Full,
    /// Contains the complete list as stored by an earlier process of this router; may be stale.
    Restored,
    /// A fetch or the subscription failed; the current list stays valid.
    Failed,
}
