//! Errors of the store.

use std::io;
use std::path::PathBuf;

/// Why the store can't be opened, or has not accepted a write.
#[derive(Debug, thiserror::Error)]
pub enum StoreError {
    /// Another store, in this process or another, holds the directory's lock.
    #[error("{}: in use by another process", .0.display())]
    InUse(PathBuf),
    /// Acknowledged data can't be read any more. Nothing was changed; a voter comes back with an emptied directory as
    /// another voter.
    #[error("{file}: corrupt at offset {offset}: {reason}")]
    Corrupt {
        /// The file's name in the store's directory.
        file: String,
        /// Offset of the first invalid frame, in bytes.
        offset: u64,
        /// What is invalid there.
        reason: &'static str,
    },
    /// A file with acknowledged data is gone.
    #[error("{file}: missing")]
    MissingFile {
        /// The file's name in the store's directory.
        file: String,
    },
    /// The write would exceed [`StoreConfig::max_bytes`](super::StoreConfig::max_bytes); nothing was changed. A snapshot
    /// frees space.
    #[error("full: {needed} bytes needed, {left} left")]
    Full {
        /// Bytes that the write needs.
        needed: u64,
        /// Bytes by which the log may still grow.
        left: u64,
    },
    /// A record or hard state is larger than [`StoreConfig::max_record_bytes`](super::StoreConfig::max_record_bytes);
    /// nothing was changed.
    #[error("{bytes} bytes in one record, at most {max}")]
    RecordTooLarge {
        /// Size of the record, in bytes.
        bytes: usize,
        /// Largest size allowed, in bytes.
        max: u32,
    },
    /// An index that does not continue the log (`first` to `next`); nothing was changed.
    #[error("index {index} does not join the log, which has {first} up to {next}")]
    IndexGap {
        /// The requested index.
        index: u64,
        /// The index of the first record.
        first: u64,
        /// The index of the next record.
        next: u64,
    },
    /// An earlier write failed such that the content of the disk is unknown. No write is accepted until the store is
    /// opened again.
    #[error("an earlier write failed; the store has to be opened anew")]
    ReopenRequired,
    /// A file operation failed. The write is not acknowledged; what was acknowledged before is intact.
    #[error("{file}: {error}")]
    Io {
        /// The file's name in the store's directory.
        file: String,
        /// The operating system's error.
        error: io::Error,
    },
}

impl StoreError {
    /// Adds a file's name to the result of a file operation.
    pub(super) fn with_file<T>(file: &str, result: io::Result<T>) -> Result<T, StoreError> {
        result.map_err(|error| StoreError::Io {
            file: file.into(),
            error,
        })
    }

    /// Whether opening the same directory later may succeed without repair: an I/O error, or a lock still held by
    /// a write that has not returned.
    pub fn is_transient(&self) -> bool {
        match self {
            StoreError::InUse(_) | StoreError::ReopenRequired | StoreError::Io { .. } => true,
            StoreError::Corrupt { .. }
            | StoreError::MissingFile { .. }
            | StoreError::Full { .. }
            | StoreError::RecordTooLarge { .. }
            | StoreError::IndexGap { .. } => false,
        }
    }

    /// Whether space ran out: the store's own limit, or the disk's.
    pub fn is_out_of_space(&self) -> bool {
        use io::ErrorKind::{FileTooLarge, QuotaExceeded, StorageFull};
        match self {
            StoreError::Full { .. } => true,
            StoreError::Io { error, .. } => {
                matches!(error.kind(), StorageFull | QuotaExceeded | FileTooLarge)
            }
            _ => false,
        }
    }
}
