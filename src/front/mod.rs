//! The two protocol front ends: the platform's HTTP protocol, and JSON-RPC 2.0 with tool calls that are relayed in the
//! middle of a response stream.

pub mod jsonrpc;
pub mod ledger;
pub mod platform;
pub mod record;
pub mod run_table;
pub mod shared;
