//! The file `synced`: a hint of how much of which log file was acknowledged.
//!
//! It is written after each acknowledged write and not synced, so that it costs no second wait for the disk. After a kill
//! it is exact; after a loss of power it may be older, and never claims too much. Two slots are written in turn, so that
//! one of them is valid at any time.

use super::disk::Disk;
use super::error::StoreError;
use super::frame::LogFileId;

/// The file's name.
pub const SYNC_HINT_FILE: &str = "synced";
/// The file's length.
pub const SYNC_HINT_BYTES: u64 = 1024;
/// Length of an encoded hint: three numbers and a checksum.
const ENCODED_BYTES: usize = 28;
const CHECKSUM_OFFSET: usize = 24;

/// How much of a log file was acknowledged.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SyncHint {
    pub file_id: LogFileId,
    pub length: u64,
}

impl SyncHint {
    fn encode(self) -> Vec<u8> {
        let mut bytes = Vec::with_capacity(ENCODED_BYTES);
        bytes.extend_from_slice(&self.file_id.store_id.to_le_bytes());
        bytes.extend_from_slice(&self.file_id.generation.to_le_bytes());
        bytes.extend_from_slice(&self.length.to_le_bytes());
        bytes.extend_from_slice(&crc32fast::hash(&bytes).to_le_bytes());
        bytes
    }

    fn decode(bytes: &[u8; ENCODED_BYTES]) -> Option<SyncHint> {
        let number = |offset: usize| {
            u64::from_le_bytes(bytes[offset..offset + 8].try_into().expect("8 bytes"))
        };
        let checksum = crc32fast::hash(&bytes[..CHECKSUM_OFFSET]).to_le_bytes();
        let generation = number(8);
        let is_valid = bytes[CHECKSUM_OFFSET..] == checksum && generation > 0;
        is_valid.then(|| SyncHint {
            file_id: LogFileId {
                store_id: number(0),
                generation,
            },
            length: number(16),
        })
    }
}

/// Writes hints into the two slots in turn.
#[derive(Debug, Default)]
pub struct SyncHintWriter {
    next_slot: u64,
}

impl SyncHintWriter {
    /// Writes a hint. A failure is ignored: the hint is never needed for correctness.
    pub fn write(&mut self, disk: &mut impl Disk, hint: SyncHint) {
        let offset = self.next_slot * SYNC_HINT_BYTES / 2;
        let _ = disk.write(SYNC_HINT_FILE, offset, &hint.encode());
        self.next_slot ^= 1;
    }
}

/// Creates the file with its space allocated, unless it is among the `existing` ones.
pub fn create_sync_hint(disk: &mut impl Disk, existing: &[String]) -> Result<(), StoreError> {
    if existing.iter().any(|name| name == SYNC_HINT_FILE) {
        return Ok(());
    }
    let created = disk
        .create(SYNC_HINT_FILE)
        .and_then(|()| disk.write(SYNC_HINT_FILE, 0, &[0; SYNC_HINT_BYTES as usize]))
        .and_then(|()| disk.sync(SYNC_HINT_FILE))
        .and_then(|()| disk.sync_directory());
    StoreError::with_file(SYNC_HINT_FILE, created)
}

/// Reads the furthest valid hint, if the file is among the `existing` ones and has any.
pub fn read_sync_hint(disk: &mut impl Disk, existing: &[String]) -> Option<SyncHint> {
    existing.iter().find(|name| *name == SYNC_HINT_FILE)?;
    let hints = [0, SYNC_HINT_BYTES / 2].into_iter().filter_map(|offset| {
        let mut bytes = [0; ENCODED_BYTES];
        disk.read(SYNC_HINT_FILE, offset, &mut bytes).ok()?;
        SyncHint::decode(&bytes)
    });
    hints.max_by_key(|hint| (hint.file_id.generation, hint.length))
}
