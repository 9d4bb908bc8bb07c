//! The conductor on sockets: tower services over hyper. [`server`] faces clients; [`client`], [`pool`] and
//! [`discovery`] face model hosts and discovery. The two sides meet in an exchange only.

mod answer;
pub mod client;
mod client_connection;
pub mod connections;
pub mod discovery;
pub mod drain;
pub mod events;
pub mod fault;
pub mod framing;
pub mod host_starts;
pub mod late_arrivals;
pub mod pool;
pub mod reachability;
pub mod release_calls;
pub mod release_fanout;
pub mod server;
pub mod shutdown_stages;
pub mod stream;
pub mod upgrade;

use std::pin::Pin;

/// A future that stays on its thread.
pub type LocalBoxFuture<T> = Pin<Box<dyn Future<Output = T>>>;
