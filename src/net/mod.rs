//! Network side of the router, built from tower services over hyper. [`server`] serves clients; [`client`], [`pool`]
//! and [`discovery`] talk to model hosts and to the discovery service. The two sides communicate only through an
//! [`crate::exchange`].

mod answer;
pub mod client;
mod client_connection;
pub mod connection_tracker;
pub mod connections;
pub mod discovery;
pub mod drain;
pub mod event_memory;
pub mod events;
pub mod fault;
pub mod host_socket;
pub mod host_starts;
pub mod http1_framing;
pub mod late_arrivals;
pub mod pool;
pub mod reachability;
mod read_ahead;
pub mod release_calls;
pub mod release_fanout;
pub mod server;
pub mod shutdown_stages;
pub mod stream;
mod stream_progress;
mod stream_relay;
pub mod upgrade;

use std::pin::Pin;

/// A boxed future that is not `Send` and runs on the thread that created it.
pub type LocalBoxFuture<T> = Pin<Box<dyn Future<Output = T>>>;
