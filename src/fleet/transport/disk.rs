//! The member's store: what the group writes, in the form that it is kept in.

use crate::fleet::raft::{HardState, RestoredState, StorageWrite};
use crate::fleet::{Incarnation, Index, raft};
use crate::storage::{self, Store, StoreError};
use serde::{Deserialize, Serialize};
use std::path::Path;

/// What is set as the store's hard state.
#[derive(Serialize, Deserialize)]
struct Kept {
    incarnation: Incarnation,
    hard: HardState,
}

/// A change in the form that the store takes.
enum Form {
    Hard(Vec<u8>),
    Append(u64, Vec<Vec<u8>>),
}

/// Why the store can't go on.
#[derive(Debug, thiserror::Error)]
pub enum DiskError {
    /// The store's own word.
    #[error(transparent)]
    Store(#[from] StoreError),
    /// A record is whole but not one of this program's.
    #[error("{0} is of another program or version")]
    Foreign(&'static str),
    /// A write takes so long that the disk counts as failed.
    #[error("no answer of the disk in {0} s")]
    Stalled(u32),
    /// The thread that writes is gone.
    #[error("the writing thread ended")]
    Gone,
}

impl DiskError {
    /// Whether the folder may be well again later.
    pub fn is_transient(&self) -> bool {
        match self {
            DiskError::Store(error) => error.is_transient(),
            DiskError::Stalled(_) | DiskError::Gone => true,
            DiskError::Foreign(_) => false,
        }
    }
}

/// A store that is open, and what has to be written with each hard state.
#[derive(Debug)]
pub struct Disk {
    store: Store,
    incarnation: Incarnation,
    hard: HardState,
    /// The place after the last record.
    next: u64,
}

/// What a start finds.
pub struct OpenedStore {
    /// The store.
    pub disk: Disk,
    /// The number that it drew when it was formatted.
    pub store_id: u64,
    /// Whether this opening formatted it.
    pub fresh: bool,
    /// What the group had written.
    pub restored: RestoredState,
    /// What a crash had left half-written.
    pub torn: Option<storage::TornTail>,
}

impl Disk {
    /// Opens the store for a new life, and makes that life durable: the one after the last, at `now` (microseconds
    /// since 1970) or later. Blocks.
    pub fn open(
        path: &Path,
        settings: storage::StoreConfig,
        now: u64,
    ) -> Result<OpenedStore, DiskError> {
        let (store, found) = Store::open(path, settings)?;
        let kept = match &found.hard_state {
            Some(bytes) => read::<Kept>(bytes, "the hard state")?,
            None => Kept {
                incarnation: Incarnation(0),
                hard: HardState::default(),
            },
        };
        let snapshot = found
            .snapshot
            .as_ref()
            .map(|(_, data)| read(data, "the snapshot"))
            .transpose()?;
        let entries: Result<Vec<raft::LogEntry>, _> =
            found.records.iter().map(|r| read(r, "a record")).collect();
        let entries = entries?;
        let follows =
            |(i, e): (usize, &raft::LogEntry)| e.index == Index(found.first_index + i as u64);
        if !entries.iter().enumerate().all(follows) {
            return Err(DiskError::Foreign("a record's place"));
        }
        let incarnation = Incarnation(now.max(kept.incarnation.0 + 1));
        let next = found.first_index + entries.len() as u64;
        let mut disk = Disk {
            store,
            incarnation,
            hard: kept.hard.clone(),
            next,
        };
        disk.write(&[])?;
        let restored = RestoredState {
            hard_state: kept.hard,
            snapshot,
            entries,
        };
        Ok(OpenedStore {
            disk,
            store_id: found.store_id,
            fresh: found.newly_formatted,
            restored,
            torn: found.torn_tail,
        })
    }

    /// The life that was made durable.
    pub fn incarnation(&self) -> Incarnation {
        self.incarnation
    }

    /// Writes these in order; all is durable when it returns. Blocks. With none, the hard state is written again.
    pub fn write(&mut self, writes: &[StorageWrite]) -> Result<(), DiskError> {
        let mut forms = Vec::new();
        if writes.is_empty() {
            forms.push(Form::Hard(self.hard_bytes()));
        }
        for write in writes {
            match write {
                StorageWrite::HardState(hard) => {
                    self.hard = hard.clone();
                    forms.push(Form::Hard(self.hard_bytes()));
                }
                // Nothing to drop there: before a snapshot that is ahead of the log.
                StorageWrite::Entries { first, entries }
                    if entries.is_empty() && first.0 >= self.next => {}
                StorageWrite::Entries { first, entries } => {
                    self.next = first.0 + entries.len() as u64;
                    forms.push(Form::Append(first.0, entries.iter().map(bytes).collect()));
                }
                StorageWrite::Snapshot(snapshot) => {
                    self.flush(&mut forms)?;
                    self.store
                        .install_snapshot(snapshot.index.0, &bytes(snapshot))?;
                    self.next = self.next.max(snapshot.index.0 + 1);
                }
            }
        }
        self.flush(&mut forms)
    }

    /// One wait for the disk for all of these.
    fn flush(&mut self, forms: &mut Vec<Form>) -> Result<(), DiskError> {
        let forms = std::mem::take(forms);
        let writes = forms.iter().map(|form| match form {
            Form::Hard(state) => storage::WriteOperation::HardState(state),
            Form::Append(first, records) => storage::WriteOperation::Append {
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

    fn hard_bytes(&self) -> Vec<u8> {
        bytes(&Kept {
            incarnation: self.incarnation,
            hard: self.hard.clone(),
        })
    }
}

fn bytes<T: Serialize>(value: &T) -> Vec<u8> {
    // Nothing here can fail to be written: no sequences of unknown length.
    postcard::to_stdvec(value).unwrap_or_default()
}

fn read<'a, T: Deserialize<'a>>(bytes: &'a [u8], what: &'static str) -> Result<T, DiskError> {
    match postcard::take_from_bytes(bytes) {
        Ok((value, [])) => Ok(value),
        _ => Err(DiskError::Foreign(what)),
    }
}
