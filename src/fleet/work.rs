//! Requests in flight: their records, and their takeover by another member.
//!
//! A [`Table`] is applied by every member from the replicated log, in log order, so that all make the same decisions and
//! no two members act on the same request. It holds two kinds of record:
//!
//! - [`ClientRequestRecord`]: a request that its client may repeat under a lasting name. Its owner, its stage, its tool
//!   calls with their outcomes, its final response;
//! - [`UpstreamSendRecord`]: a request that was sent to upstream workers under the id by which they know it. They may
//!   hold KV state for it until its owner reports that nothing is held.
//!
//! What must not be repeated (a tool call, a send of a non-idempotent request) is proposed here and **committed before**
//! it goes out. If an owner dies with a record of something that went out and none of its outcome, nobody can tell
//! whether it ran, so nobody runs it again. Each write of an owner carries the record's generation, which rises with each
//! change of owner: late writes of an owner that was only stopped are rejected.
//!
//! When an incarnation ends (its session lease has expired, see [`super::lease`]), [`Table::on_incarnation_ended`]
//! settles its client requests, at once and alike everywhere. Its upstream sends are taken over by one member
//! ([`Command::TakeOver`]), which releases them; if that one dies, the rest is taken over again.

mod claim;
mod command;
mod record;
pub mod recorder;
mod retention;
mod table;
mod upstream;

pub use command::{Capacity, Command, RecordChange, Rejection, Reply};
pub use record::{
    CallState, ClientRequestRecord, FinalResponse, RequestStage, ToolCall, UpstreamSendRecord,
};
pub use retention::RetentionTracker;
pub use table::Table;

/// Longest name of a request, and longest id of a send, in bytes.
pub const MAX_KEY_BYTES: usize = 64;
/// Most ids in one [`Command::CompleteSends`].
pub const MAX_IDS_PER_COMMAND: usize = 256;
/// Longest name of an upstream worker, in bytes.
const MAX_WORKER_BYTES: usize = 4 * MAX_KEY_BYTES;
/// What a record counts besides its texts, in bytes.
const RECORD_OVERHEAD_BYTES: u64 = 192;

#[cfg(test)]
mod tests;
