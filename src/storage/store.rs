//! The store itself: opening, writing, and rewriting the log without its obsolete data.

use super::contents::{Change, LogContents};
use super::disk::{Directory, Disk};
use super::error::StoreError;
use super::frame::{self, LogFileId};
use super::log_file::{encode_file, log_file_name, parse_generation};
use super::scan::{ScannedFile, scan_file};
use super::sync_hint::{
    SYNC_HINT_BYTES, SyncHint, SyncHintWriter, create_sync_hint, read_sync_hint,
};
use super::{RecoveredState, StoreConfig, TornTail, WriteOperation};
use std::path::Path;

/// A new log file until it is complete.
const TEMPORARY_FILE: &str = "log.tmp";
/// Part of the log's capacity that only hard states may use.
const HARD_STATE_RESERVE_DIVISOR: u64 = 16;
/// A rewriting has to free this part of the log's capacity, so that not every call rewrites the log.
const MIN_REWRITE_GAIN_DIVISOR: u64 = 32;

/// An open store. Its memory: 4 bytes a record; all contents only while it is opened or rewritten.
#[derive(Debug)]
pub struct Store<D = Directory> {
    disk: D,
    config: StoreConfig,
    file_id: LogFileId,
    /// Length of the log file, all of it durable.
    log_length: u64,
    /// Index of the first record.
    pub(super) first_index: u64,
    /// Length of each record.
    record_lengths: Vec<u32>,
    hard_state_length: u64,
    snapshot_length: u64,
    hint_writer: SyncHintWriter,
    needs_reopen: bool,
}

impl Store {
    /// Opens the store in a directory, which is created and formatted if it holds none.
    ///
    /// # Errors
    /// The directory is in use, or what it holds can't be read.
    pub fn open(path: &Path, config: StoreConfig) -> Result<(Store, RecoveredState), StoreError> {
        match Directory::open(path) {
            Ok(Some(disk)) => Store::open_on(disk, config),
            Ok(None) => Err(StoreError::InUse(path.into())),
            Err(error) => Err(StoreError::Io {
                file: path.display().to_string(),
                error,
            }),
        }
    }
}

impl<D: Disk> Store<D> {
    /// Opens the store on a disk that no other store holds.
    ///
    /// # Errors
    /// What the disk holds can't be read.
    pub fn open_on(mut disk: D, config: StoreConfig) -> Result<(Self, RecoveredState), StoreError> {
        let names = StoreError::with_file(".", disk.file_names())?;
        let hint = read_sync_hint(&mut disk, &names);
        let hinted_generation = hint.map_or(0, |hint| hint.file_id.generation);
        let newest = names.iter().filter_map(|name| parse_generation(name)).max();
        let Some(generation) = newest.filter(|newest| *newest >= hinted_generation) else {
            if hinted_generation > 0 {
                return Err(StoreError::MissingFile {
                    file: log_file_name(hinted_generation),
                });
            }
            return Self::format(disk, config, &names);
        };
        let synced_length = hint
            .filter(|hint| hint.file_id.generation == generation)
            .map_or(0, |hint| hint.length);
        Self::recover(disk, config, &names, generation, synced_length)
    }

    /// Opens an existing log file.
    fn recover(
        mut disk: D,
        config: StoreConfig,
        names: &[String],
        generation: u64,
        synced_length: u64,
    ) -> Result<(Self, RecoveredState), StoreError> {
        let name = log_file_name(generation);
        let scanned = scan_file(&mut disk, &name, generation, synced_length)?;
        let torn_tail = torn_tail(&name, &scanned);
        if torn_tail.is_some() {
            let cut = disk.truncate(&name, scanned.valid_length);
            StoreError::with_file(&name, cut)?;
        }
        rewrite_range(&mut disk, &name, synced_length, scanned.valid_length)?;
        // The file's name may not be durable either.
        StoreError::with_file(&name, disk.sync(&name))?;
        StoreError::with_file(".", disk.sync_directory())?;
        remove_obsolete_files(&mut disk, names, &name)?;
        let mut store = Self::new(disk, config, scanned.file_id);
        store.adopt(&scanned.contents, scanned.valid_length);
        store.start_sync_hints(names)?;
        let recovered = recovered_state(scanned.file_id, scanned.contents, false, torn_tail);
        Ok((store, recovered))
    }

    fn format(
        disk: D,
        config: StoreConfig,
        names: &[String],
    ) -> Result<(Self, RecoveredState), StoreError> {
        let unformatted = LogFileId {
            store_id: 0,
            generation: 0,
        };
        let mut store = Self::new(disk, config, unformatted);
        store.file_id.store_id = StoreError::with_file(".", store.disk.random_u64())?;
        store.write_new_generation(&LogContents::default())?;
        store.start_sync_hints(names)?;
        let recovered = recovered_state(store.file_id, LogContents::default(), true, None);
        Ok((store, recovered))
    }

    fn new(disk: D, config: StoreConfig, file_id: LogFileId) -> Self {
        Store {
            disk,
            config,
            file_id,
            log_length: 0,
            first_index: 1,
            record_lengths: Vec::new(),
            hard_state_length: 0,
            snapshot_length: 0,
            hint_writer: SyncHintWriter::default(),
            needs_reopen: false,
        }
    }

    /// Drops all records from `first` on, then appends `records`; with none it only drops. `first` is at most the next
    /// index and above the snapshot's.
    ///
    /// # Errors
    /// As [`Store::write`].
    pub fn append(&mut self, first: u64, records: &[Vec<u8>]) -> Result<(), StoreError> {
        self.write(&[WriteOperation::Append { first, records }])
    }

    /// Sets the hard state.
    ///
    /// # Errors
    /// As [`Store::write`].
    pub fn set_hard_state(&mut self, state: &[u8]) -> Result<(), StoreError> {
        self.write(&[WriteOperation::HardState(state)])
    }

    /// Makes several changes with one wait for the disk: after a crash all of them are there or none.
    ///
    /// # Errors
    /// The changes are not acknowledged. Where nothing was changed, [`StoreError`] says so.
    pub fn write(&mut self, operations: &[WriteOperation]) -> Result<(), StoreError> {
        self.check(operations)?;
        let changes: Vec<Change> = operations.iter().map(to_change).collect();
        let needed = frame::encoded_frame_length(&changes);
        let capacity = self.capacity_for(operations);
        let left = capacity.saturating_sub(self.log_length);
        if needed > left {
            return self.write_with_rewriting(operations, &changes, capacity, needed);
        }
        let frame = frame::encode_frame(self.file_id, self.log_length, &changes)
            .ok_or(StoreError::Full { needed, left })?;
        self.append_frame(&frame)?;
        self.log_length += needed;
        self.account_for(operations);
        self.write_sync_hint();
        Ok(())
    }

    /// Writes a frame behind the last one and makes it durable.
    fn append_frame(&mut self, frame: &[u8]) -> Result<(), StoreError> {
        let name = log_file_name(self.file_id.generation);
        if let Err(error) = self.disk.write(&name, self.log_length, frame) {
            // A partial frame would be in the way of the next one.
            self.needs_reopen = self.disk.truncate(&name, self.log_length).is_err();
            return Err(StoreError::Io { file: name, error });
        }
        if let Err(error) = self.disk.sync(&name) {
            // The system may have dropped the pages; a second sync that succeeds would prove nothing.
            self.needs_reopen = true;
            return Err(StoreError::Io { file: name, error });
        }
        Ok(())
    }

    /// Makes changes for which the log file has no space, by writing a new one without obsolete data.
    fn write_with_rewriting(
        &mut self,
        operations: &[WriteOperation],
        changes: &[Change],
        capacity: u64,
        needed: u64,
    ) -> Result<(), StoreError> {
        let length_after = self.compacted_length_after(operations);
        let gain = self.log_length.saturating_sub(length_after);
        if length_after > capacity || gain < self.log_capacity() / MIN_REWRITE_GAIN_DIVISOR {
            return Err(StoreError::Full {
                needed,
                left: capacity.saturating_sub(self.log_length),
            });
        }
        let mut contents = self.read_contents()?;
        for change in changes {
            contents.apply(change);
        }
        self.write_new_generation(&contents)
    }

    /// Sets the snapshot that covers all records up to `index`, and drops those. `index` may be beyond the last record.
    /// Records after `index` are kept; to drop them as well, [`Store::append`] nothing at `index + 1` first.
    ///
    /// # Errors
    /// As [`Store::write`].
    pub fn install_snapshot(&mut self, index: u64, data: &[u8]) -> Result<(), StoreError> {
        if self.needs_reopen {
            return Err(StoreError::ReopenRequired);
        }
        if index == u64::MAX || index + 1 < self.first_index {
            return Err(self.index_gap(index, self.next_index()));
        }
        let mut contents = self.read_contents()?;
        contents.install_snapshot(index, data.to_vec());
        self.write_new_generation(&contents)
    }

    /// Index of the next record.
    pub fn next_index(&self) -> u64 {
        self.first_index + self.record_lengths.len() as u64
    }

    /// Length of the log file, in bytes.
    pub fn log_length(&self) -> u64 {
        self.log_length
    }

    /// Whether a write failed such that the store has to be opened again.
    pub fn needs_reopen(&self) -> bool {
        self.needs_reopen
    }

    fn index_gap(&self, index: u64, next: u64) -> StoreError {
        StoreError::IndexGap {
            index,
            first: self.first_index,
            next,
        }
    }

    /// Whether the operations are acceptable one after the other.
    fn check(&self, operations: &[WriteOperation]) -> Result<(), StoreError> {
        if self.needs_reopen {
            return Err(StoreError::ReopenRequired);
        }
        let mut next = self.next_index();
        for operation in operations {
            match *operation {
                WriteOperation::HardState(state) => self.check_length(state.len())?,
                WriteOperation::Append { first, records } => {
                    if first < self.first_index || first > next {
                        return Err(self.index_gap(first, next));
                    }
                    for record in records {
                        self.check_length(record.len())?;
                    }
                    next = first + records.len() as u64;
                }
            }
        }
        Ok(())
    }

    fn check_length(&self, bytes: usize) -> Result<(), StoreError> {
        let max = self.config.max_record_bytes;
        if bytes as u64 > u64::from(max) {
            return Err(StoreError::RecordTooLarge { bytes, max });
        }
        Ok(())
    }

    /// Bytes that the log file may have.
    fn log_capacity(&self) -> u64 {
        self.config.max_bytes.saturating_sub(SYNC_HINT_BYTES) / 2
    }

    /// Bytes that the log file may have after these operations: only hard states may use the reserve.
    fn capacity_for(&self, operations: &[WriteOperation]) -> u64 {
        let capacity = self.log_capacity();
        let appends_records = operations.iter().any(|operation| {
            matches!(operation, WriteOperation::Append { records, .. } if !records.is_empty())
        });
        if appends_records {
            capacity - capacity / HARD_STATE_RESERVE_DIVISOR
        } else {
            capacity
        }
    }

    /// Length of a log file without obsolete data after these operations.
    fn compacted_length_after(&self, operations: &[WriteOperation]) -> u64 {
        let mut hard_state = self.hard_state_length;
        let mut records = self.record_lengths.clone();
        for operation in operations {
            match *operation {
                WriteOperation::HardState(state) => hard_state = state.len() as u64,
                WriteOperation::Append {
                    first,
                    records: appended,
                } => {
                    records.truncate((first - self.first_index) as usize);
                    records.extend(appended.iter().map(|record| record.len() as u32));
                }
            }
        }
        let records = records.into_iter().map(u64::from);
        frame::compacted_file_length(self.snapshot_length, hard_state, records)
    }

    /// Counts operations that were acknowledged.
    fn account_for(&mut self, operations: &[WriteOperation]) {
        for operation in operations {
            match *operation {
                WriteOperation::HardState(state) => self.hard_state_length = state.len() as u64,
                WriteOperation::Append { first, records } => {
                    self.record_lengths
                        .truncate((first - self.first_index) as usize);
                    self.record_lengths
                        .extend(records.iter().map(|record| record.len() as u32));
                }
            }
        }
    }

    /// Reads the contents back from the file with their checksums, so that nothing that has decayed is written again.
    fn read_contents(&mut self) -> Result<LogContents, StoreError> {
        let generation = self.file_id.generation;
        let name = log_file_name(generation);
        let scanned = scan_file(&mut self.disk, &name, generation, self.log_length);
        self.needs_reopen |= matches!(scanned, Err(StoreError::Corrupt { .. }));
        Ok(scanned?.contents)
    }

    /// Writes a new log file with these contents, and replaces the old one by it.
    fn write_new_generation(&mut self, contents: &LogContents) -> Result<(), StoreError> {
        let file_id = LogFileId {
            generation: self.file_id.generation + 1,
            ..self.file_id
        };
        let bytes = encode_file(file_id, contents, self.log_capacity())?;
        self.write_temporary_file(&bytes)?;
        let old_name = log_file_name(self.file_id.generation);
        let new_name = log_file_name(file_id.generation);
        let renamed = self
            .disk
            .rename(TEMPORARY_FILE, &new_name)
            .and_then(|()| self.disk.sync_directory());
        if let Err(error) = renamed {
            self.needs_reopen = true;
            return Err(StoreError::Io {
                file: new_name,
                error,
            });
        }
        // Only now that the new name is durable. If the old file stays, the next opening removes it.
        let _ = self.disk.remove(&old_name);
        self.file_id = file_id;
        self.adopt(contents, bytes.len() as u64);
        self.write_sync_hint();
        Ok(())
    }

    fn write_temporary_file(&mut self, bytes: &[u8]) -> Result<(), StoreError> {
        let written = self
            .disk
            .create(TEMPORARY_FILE)
            .and_then(|()| self.disk.write(TEMPORARY_FILE, 0, bytes))
            .and_then(|()| self.disk.sync(TEMPORARY_FILE));
        if written.is_err() {
            // If it stays, the next opening removes it.
            let _ = self.disk.remove(TEMPORARY_FILE);
        }
        StoreError::with_file(TEMPORARY_FILE, written)
    }

    /// Counts what a log file of this length holds.
    fn adopt(&mut self, contents: &LogContents, log_length: u64) {
        let lengths = contents.records.iter().map(|record| record.len() as u32);
        self.log_length = log_length;
        self.first_index = contents.first_index();
        self.record_lengths = lengths.collect();
        self.hard_state_length = contents
            .hard_state
            .as_ref()
            .map_or(0, |state| state.len() as u64);
        self.snapshot_length = contents
            .snapshot
            .as_ref()
            .map_or(0, |(_, data)| data.len() as u64);
    }

    fn start_sync_hints(&mut self, names: &[String]) -> Result<(), StoreError> {
        create_sync_hint(&mut self.disk, names)?;
        self.write_sync_hint();
        Ok(())
    }

    fn write_sync_hint(&mut self) {
        let hint = SyncHint {
            file_id: self.file_id,
            length: self.log_length,
        };
        self.hint_writer.write(&mut self.disk, hint);
    }
}

fn to_change<'a>(operation: &WriteOperation<'a>) -> Change<'a> {
    match *operation {
        WriteOperation::HardState(state) => Change::HardState(state),
        WriteOperation::Append { first, records } => Change::Append { first, records },
    }
}

fn torn_tail(name: &str, scanned: &ScannedFile) -> Option<TornTail> {
    (scanned.file_length > scanned.valid_length).then(|| TornTail {
        file: name.to_owned(),
        offset: scanned.valid_length,
        bytes: scanned.file_length - scanned.valid_length,
    })
}

fn recovered_state(
    file_id: LogFileId,
    contents: LogContents,
    newly_formatted: bool,
    torn_tail: Option<TornTail>,
) -> RecoveredState {
    RecoveredState {
        store_id: file_id.store_id,
        newly_formatted,
        first_index: contents.first_index(),
        hard_state: contents.hard_state,
        snapshot: contents.snapshot,
        records: contents.records.into(),
        torn_tail,
    }
}

/// Removes log files other than `current`, and a new one that was never completed.
fn remove_obsolete_files(
    disk: &mut impl Disk,
    names: &[String],
    current: &str,
) -> Result<(), StoreError> {
    for name in names.iter().filter(|name| *name != current) {
        if name == TEMPORARY_FILE || parse_generation(name).is_some() {
            StoreError::with_file(name, disk.remove(name))?;
        }
    }
    Ok(())
}

/// Writes a range of a file again. It may have been written and not made durable before a kill. And where a sync of it had
/// failed, the system returns what was written and takes it for durable, so that another sync alone would prove nothing.
fn rewrite_range(disk: &mut impl Disk, name: &str, from: u64, to: u64) -> Result<(), StoreError> {
    let mut bytes = vec![0; to.saturating_sub(from) as usize];
    if bytes.is_empty() {
        return Ok(());
    }
    StoreError::with_file(name, disk.read(name, from, &mut bytes))?;
    StoreError::with_file(name, disk.write(name, from, &bytes))
}
