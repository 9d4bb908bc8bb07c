//! What clients speak: the platform's protocol, and JSON-RPC with tool calls relayed mid-stream.

pub mod jsonrpc;
pub mod ledger;
pub mod platform;
pub mod shared;
