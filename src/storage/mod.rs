//! Durable storage: a log of records with checksums, a snapshot that replaces its beginning, and a hard state.
//!
//! Each call is durable when it returns `Ok`: it then survives a kill and a loss of power at any moment. What a crash left
//! half-written is cut off at the next opening and reported ([`TornTail`]). An acknowledged record that can't be read any
//! more is reported by file and offset ([`StoreError::Corrupt`]), never skipped or read as something else. Calls block;
//! the caller gives them a thread. Rationale and measurements: `docs/design/store.md`.
//!
//! Files in the directory: `log-N` (all data; encoding in `frame.rs`), `synced` (how much of it was acknowledged, a
//! hint; `sync_hint.rs`), `lock`. A snapshot, or a log with too much obsolete data, is written as a whole new `log-N+1`
//! that replaces the old file by renaming.

mod contents;
pub mod disk;
mod error;
mod frame;
mod log_file;
mod scan;
mod store;
mod sync_hint;
#[cfg(test)]
mod tests;

pub use error::StoreError;
pub use store::Store;

use serde::{Deserialize, Serialize};

/// Limits of a store.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct StoreConfig {
    /// Size of all files together, in bytes. The log may use half of it, since its next file is written beside it; a
    /// sixteenth of that half is reserved for hard states.
    #[serde(rename = "most_bytes")]
    pub max_bytes: u64,
    /// Size of one record, or of the hard state, in bytes.
    #[serde(rename = "most_record_bytes")]
    pub max_record_bytes: u32,
}

impl Default for StoreConfig {
    fn default() -> Self {
        StoreConfig {
            max_bytes: 64 << 20,
            max_record_bytes: 1 << 20,
        }
    }
}

/// What the store held when it was opened.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RecoveredState {
    /// Random number drawn when the directory was formatted: an emptied disk comes back with another one.
    pub store_id: u64,
    /// Whether this opening formatted the directory.
    pub newly_formatted: bool,
    /// The last hard state set.
    pub hard_state: Option<Vec<u8>>,
    /// Last index that the snapshot covers, and its data.
    pub snapshot: Option<(u64, Vec<u8>)>,
    /// Index of the first of `records`: the snapshot's plus 1, or 1.
    pub first_index: u64,
    /// All records after the snapshot.
    pub records: Vec<Vec<u8>>,
    /// What a crash had left half-written, and was cut off.
    pub torn_tail: Option<TornTail>,
}

/// The end of a log that was being written when the process or the machine stopped. It was never acknowledged.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{file}: {bytes} bytes at {offset} were half-written, cut off")]
pub struct TornTail {
    /// The file's name in the store's directory.
    pub file: String,
    /// Where the tail began; the file has this length now.
    pub offset: u64,
    /// Length of the tail.
    pub bytes: u64,
}

/// One of the changes that [`Store::write`] makes atomically.
#[derive(Clone, Copy, Debug)]
pub enum WriteOperation<'a> {
    /// As [`Store::set_hard_state`].
    HardState(&'a [u8]),
    /// As [`Store::append`].
    Append {
        /// Index of the first of the records.
        first: u64,
        /// Records to append.
        records: &'a [Vec<u8>],
    },
}
