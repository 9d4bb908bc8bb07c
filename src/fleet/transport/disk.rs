//! The member's store: encodes the writes of the Raft group and passes them to the log store.

use crate::fleet::raft::{HardState, RestoredState, StorageWrite};
use crate::fleet::{Incarnation, Index, raft};
use crate::storage::{self, Store, StoreError};
use serde::{Deserialize, Serialize};
use std::path::Path;

/// The hard state as stored: the Raft hard state with this member's incarnation. Encoded by postcard, so the order of
/// the fields is fixed.
#[derive(Serialize, Deserialize)]
struct StoredHardState {
    incarnation: Incarnation,
    hard: HardState,
}

/// An encoded write that is not passed to the store yet.
enum PendingWrite {
    HardState(Vec<u8>),
    Append(u64, Vec<Vec<u8>>),
}

/// Why the store can't be used.
#[derive(Debug, thiserror::Error)]
pub enum DiskError {
    /// An error of the underlying store.
    #[error(transparent)]
    Store(#[from] StoreError),
    /// The named part of the store is intact but can't be decoded: another program or version wrote it.
    #[error("{0} in the store was written by another program or version")]
    Unrecognized(&'static str),
    /// A write did not complete within this many seconds.
    #[error("the disk did not complete a write within {0} s")]
    Stalled(u32),
    /// The thread that used the store panicked or was cancelled.
    #[error("the thread that writes to the store ended")]
    WriterThreadEnded,
}

impl DiskError {
    /// Whether opening the store again may succeed later without any change by an operator.
    pub fn is_transient(&self) -> bool {
        match self {
            DiskError::Store(error) => error.is_transient(),
            DiskError::Stalled(_) | DiskError::WriterThreadEnded => true,
            DiskError::Unrecognized(_) => false,
        }
    }
}

/// An open store, with the state that is written along with each hard state.
#[derive(Debug)]
pub struct Disk {
    store: Store,
    incarnation: Incarnation,
    hard: HardState,
    /// Index after the last record.
    next_index: u64,
}

/// An opened store and its contents.
pub struct OpenedStore {
    /// The open store, ready for writes.
    pub disk: Disk,
    /// Random number that the store got when it was formatted.
    pub store_id: u64,
    /// Whether the store did not exist before and was formatted by this call.
    pub newly_formatted: bool,
    /// The Raft group's state as last written.
    pub restored: RestoredState,
    /// The incomplete end of the log that a crash left and that was cut off, if any.
    pub torn_tail: Option<storage::TornTail>,
}

impl Disk {
    /// Opens the store and makes a new incarnation durable: the higher of `now` (microseconds since 1970) and the last
    /// incarnation plus one. Blocks.
    pub fn open(
        path: &Path,
        settings: storage::StoreConfig,
        now: u64,
    ) -> Result<OpenedStore, DiskError> {
        let (store, opened) = Store::open(path, settings)?;
        let stored = match &opened.hard_state {
            Some(bytes) => decode::<StoredHardState>(bytes, "the hard state")?,
            None => StoredHardState {
                incarnation: Incarnation(0),
                hard: HardState::default(),
            },
        };
        let snapshot = opened
            .snapshot
            .as_ref()
            .map(|(_, data)| decode(data, "the snapshot"))
            .transpose()?;
        let entries: Result<Vec<raft::LogEntry>, _> = opened
            .records
            .iter()
            .map(|r| decode(r, "a record"))
            .collect();
        let entries = entries?;
        let is_consecutive =
            |(i, e): (usize, &raft::LogEntry)| e.index == Index(opened.first_index + i as u64);
        if !entries.iter().enumerate().all(is_consecutive) {
            return Err(DiskError::Unrecognized("a record's index"));
        }
        let incarnation = Incarnation(now.max(stored.incarnation.0 + 1));
        let next_index = opened.first_index + entries.len() as u64;
        let mut disk = Disk {
            store,
            incarnation,
            hard: stored.hard.clone(),
            next_index,
        };
        disk.write(&[])?;
        let restored = RestoredState {
            hard_state: stored.hard,
            snapshot,
            entries,
        };
        Ok(OpenedStore {
            disk,
            store_id: opened.store_id,
            newly_formatted: opened.newly_formatted,
            restored,
            torn_tail: opened.torn_tail,
        })
    }

    /// The incarnation that [`Disk::open`] made durable.
    pub fn incarnation(&self) -> Incarnation {
        self.incarnation
    }

    /// Performs the writes in order; all are durable when this returns. Without any, the hard state is written again.
    /// Blocks.
    pub fn write(&mut self, writes: &[StorageWrite]) -> Result<(), DiskError> {
        let mut pending = Vec::new();
        if writes.is_empty() {
            pending.push(PendingWrite::HardState(self.encode_hard_state()));
        }
        for write in writes {
            match write {
                StorageWrite::HardState(hard) => {
                    self.hard = hard.clone();
                    pending.push(PendingWrite::HardState(self.encode_hard_state()));
                }
                // No entries to truncate from `first` on. Occurs before a snapshot that is ahead of the log.
                StorageWrite::Entries { first, entries }
                    if entries.is_empty() && first.0 >= self.next_index => {}
                StorageWrite::Entries { first, entries } => {
                    self.next_index = first.0 + entries.len() as u64;
                    pending.push(PendingWrite::Append(
                        first.0,
                        entries.iter().map(encode).collect(),
                    ));
                }
                StorageWrite::Snapshot(snapshot) => {
                    self.flush(&mut pending)?;
                    self.store
                        .install_snapshot(snapshot.index.0, &encode(snapshot))?;
                    self.next_index = self.next_index.max(snapshot.index.0 + 1);
                }
            }
        }
        self.flush(&mut pending)
    }

    /// Passes all pending writes to the store at once, so that they cost one wait for the disk.
    fn flush(&mut self, pending: &mut Vec<PendingWrite>) -> Result<(), DiskError> {
        let pending = std::mem::take(pending);
        let writes = pending.iter().map(|operation| match operation {
            PendingWrite::HardState(state) => storage::WriteOperation::HardState(state),
            PendingWrite::Append(first, records) => storage::WriteOperation::Append {
                first: *first,
                records,
            },
        });
        let writes: Vec<storage::WriteOperation> = writes.collect();
        if !writes.is_empty() {
            self.store.write(&writes)?;
        }
        Ok(())
    }

    fn encode_hard_state(&self) -> Vec<u8> {
        encode(&StoredHardState {
            incarnation: self.incarnation,
            hard: self.hard.clone(),
        })
    }
}

fn encode<T: Serialize>(value: &T) -> Vec<u8> {
    // Encoding can't fail: postcard fails only for sequences of unknown length, and these types have none.
    postcard::to_stdvec(value).unwrap_or_default()
}

fn decode<'a, T: Deserialize<'a>>(bytes: &'a [u8], what: &'static str) -> Result<T, DiskError> {
    match postcard::take_from_bytes(bytes) {
        Ok((value, [])) => Ok(value),
        _ => Err(DiskError::Unrecognized(what)),
    }
}
