//! Encoding of a log file: a file header, then frames, each with the changes of one call.
//!
//! Integers are little-endian. Frames begin at multiples of 32, so that a frame header lies in one sector.
//!
//! ```text
//! file header  64: magic 8 | store id 8 | generation 8 | length when the file got its name 8 | zeros 28 | CRC 4
//! frame header 32: magic 8 | its own offset 8 | body length 4 | zero sectors 4 | CRC of the body 4 | CRC 4
//!                  body, padded with zeros to a multiple of 32 (the body's CRC covers the padding)
//! ```
//!
//! A frame header's CRC also covers the store's id and the generation, so that no record can be mistaken for a frame.

use super::contents::{Change, tag};

/// Length of the file header.
pub const FILE_HEADER_BYTES: u64 = 64;
/// Length of a frame header, and the alignment of frames.
pub const FRAME_HEADER_BYTES: u64 = 32;
/// Unit that a disk writes whole or not at all.
const SECTOR_BYTES: usize = 512;
/// Length of a length field in a frame's body.
const LENGTH_BYTES: u64 = 4;
/// Length of a tag and an index in a frame's body.
const TAG_AND_INDEX_BYTES: u64 = 9;
const FILE_MAGIC: &[u8; 8] = b"whinlog1";
const FRAME_MAGIC: &[u8; 8] = b"frame:\r\n";

fn u32_at(bytes: &[u8], offset: usize) -> u32 {
    u32::from_le_bytes(bytes[offset..offset + 4].try_into().expect("4 bytes"))
}

fn u64_at(bytes: &[u8], offset: usize) -> u64 {
    u64::from_le_bytes(bytes[offset..offset + 8].try_into().expect("8 bytes"))
}

/// Identifies the log file that a frame belongs to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LogFileId {
    /// The store's random id.
    pub store_id: u64,
    /// Number of the file; each rewriting of the log has the next one.
    pub generation: u64,
}

impl LogFileId {
    fn checksum(self, frame_header: &[u8]) -> u32 {
        let mut crc = crc32fast::Hasher::new();
        crc.update(&self.store_id.to_le_bytes());
        crc.update(&self.generation.to_le_bytes());
        crc.update(frame_header);
        crc.finalize()
    }
}

/// What a file header says.
pub struct FileHeader {
    pub file_id: LogFileId,
    /// Length of the file when it got its name; that much was synced before.
    pub synced_length: u64,
}

impl FileHeader {
    /// Encodes the header.
    pub fn encode(&self) -> Vec<u8> {
        let mut header = Vec::with_capacity(FILE_HEADER_BYTES as usize);
        header.extend_from_slice(FILE_MAGIC);
        header.extend_from_slice(&self.file_id.store_id.to_le_bytes());
        header.extend_from_slice(&self.file_id.generation.to_le_bytes());
        header.extend_from_slice(&self.synced_length.to_le_bytes());
        header.resize(FILE_HEADER_BYTES as usize - 4, 0);
        let crc = crc32fast::hash(&header);
        header.extend_from_slice(&crc.to_le_bytes());
        header
    }

    /// Decodes the header.
    ///
    /// # Errors
    /// What is invalid in it.
    pub fn decode(bytes: &[u8; FILE_HEADER_BYTES as usize]) -> Result<FileHeader, &'static str> {
        let crc_offset = FILE_HEADER_BYTES as usize - 4;
        if u32_at(bytes, crc_offset) != crc32fast::hash(&bytes[..crc_offset]) {
            return Err("wrong checksum of the file's head");
        }
        if &bytes[..8] != FILE_MAGIC {
            return Err("not a log, or of another version");
        }
        Ok(FileHeader {
            file_id: LogFileId {
                store_id: u64_at(bytes, 8),
                generation: u64_at(bytes, 16),
            },
            synced_length: u64_at(bytes, 24),
        })
    }
}

/// What a frame header says.
pub struct FrameHeader {
    /// Length of the body without its padding.
    pub body_length: u32,
    /// How many of the sectors that the frame touches after its first one are all zeros.
    pub zero_sectors: u32,
    /// Checksum of the body and its padding.
    pub body_checksum: u32,
}

impl FrameHeader {
    /// Decodes the header of a frame at `offset`; `None` if there is no valid header for this file and offset.
    pub fn decode(file_id: LogFileId, offset: u64, bytes: &[u8]) -> Option<Self> {
        let is_valid = &bytes[..8] == FRAME_MAGIC
            && u64_at(bytes, 8) == offset
            && u32_at(bytes, 28) == file_id.checksum(&bytes[..28]);
        is_valid.then(|| FrameHeader {
            body_length: u32_at(bytes, 16),
            zero_sectors: u32_at(bytes, 20),
            body_checksum: u32_at(bytes, 24),
        })
    }

    fn encode(&self, file_id: LogFileId, offset: u64) -> [u8; FRAME_HEADER_BYTES as usize] {
        let mut header = [0; FRAME_HEADER_BYTES as usize];
        header[..8].copy_from_slice(FRAME_MAGIC);
        header[8..16].copy_from_slice(&offset.to_le_bytes());
        header[16..20].copy_from_slice(&self.body_length.to_le_bytes());
        header[20..24].copy_from_slice(&self.zero_sectors.to_le_bytes());
        header[24..28].copy_from_slice(&self.body_checksum.to_le_bytes());
        let crc = file_id.checksum(&header[..28]);
        header[28..].copy_from_slice(&crc.to_le_bytes());
        header
    }

    /// Length of the whole frame: header, body and padding.
    pub fn frame_length(&self) -> u64 {
        FRAME_HEADER_BYTES + u64::from(self.body_length).next_multiple_of(FRAME_HEADER_BYTES)
    }
}

/// Length of a frame with these changes.
pub fn encoded_frame_length(changes: &[Change]) -> u64 {
    let body: u64 = changes.iter().map(encoded_change_length).sum();
    FRAME_HEADER_BYTES + body.next_multiple_of(FRAME_HEADER_BYTES)
}

fn encoded_change_length(change: &Change) -> u64 {
    let sized = |bytes: &[u8]| LENGTH_BYTES + bytes.len() as u64;
    match change {
        Change::HardState(state) => 1 + sized(state),
        Change::Append { records, .. } => {
            let records: u64 = records.iter().map(|record| sized(record)).sum();
            TAG_AND_INDEX_BYTES + LENGTH_BYTES + records
        }
        Change::Snapshot { data, .. } => TAG_AND_INDEX_BYTES + sized(data),
    }
}

/// Length of a file that holds only a snapshot, a hard state and these records, given their lengths.
pub fn compacted_file_length(
    snapshot: u64,
    hard_state: u64,
    records: impl Iterator<Item = u64>,
) -> u64 {
    let snapshot = TAG_AND_INDEX_BYTES + LENGTH_BYTES + snapshot;
    let hard_state = 1 + LENGTH_BYTES + hard_state;
    let records: u64 = records.map(|record| LENGTH_BYTES + record).sum();
    let body = snapshot + hard_state + TAG_AND_INDEX_BYTES + LENGTH_BYTES + records;
    FILE_HEADER_BYTES + FRAME_HEADER_BYTES + body.next_multiple_of(FRAME_HEADER_BYTES)
}

/// Encodes a frame with these changes for this offset of its file. `None`: it is too long for the length field.
pub fn encode_frame(file_id: LogFileId, offset: u64, changes: &[Change]) -> Option<Vec<u8>> {
    let max_length = u64::from(u32::MAX) - 2 * FRAME_HEADER_BYTES;
    let length = encoded_frame_length(changes);
    if length > max_length {
        return None;
    }
    let mut frame = Vec::with_capacity(length as usize);
    frame.resize(FRAME_HEADER_BYTES as usize, 0);
    for change in changes {
        encode_change(&mut frame, change);
    }
    let body_length = (frame.len() - FRAME_HEADER_BYTES as usize) as u32;
    frame.resize(length as usize, 0);
    let header = FrameHeader {
        body_length,
        zero_sectors: count_zero_sectors(offset, &frame),
        body_checksum: crc32fast::hash(&frame[FRAME_HEADER_BYTES as usize..]),
    };
    frame[..FRAME_HEADER_BYTES as usize].copy_from_slice(&header.encode(file_id, offset));
    Some(frame)
}

fn encode_change(frame: &mut Vec<u8>, change: &Change) {
    match change {
        Change::HardState(state) => {
            frame.push(tag::HARD_STATE);
            put_sized(frame, state);
        }
        Change::Append { first, records } => {
            frame.push(tag::APPEND);
            frame.extend_from_slice(&first.to_le_bytes());
            frame.extend_from_slice(&(records.len() as u32).to_le_bytes());
            for record in *records {
                put_sized(frame, record);
            }
        }
        Change::Snapshot { index, data } => {
            frame.push(tag::SNAPSHOT);
            frame.extend_from_slice(&index.to_le_bytes());
            put_sized(frame, data);
        }
    }
}

/// Appends bytes, preceded by their length.
fn put_sized(frame: &mut Vec<u8>, bytes: &[u8]) {
    frame.extend_from_slice(&(bytes.len() as u32).to_le_bytes());
    frame.extend_from_slice(bytes);
}

/// How many of the sectors that the frame touches after its first one hold only zeros.
pub fn count_zero_sectors(offset: u64, frame: &[u8]) -> u32 {
    let first_sector_end = SECTOR_BYTES - offset as usize % SECTOR_BYTES;
    let later_sectors = frame.get(first_sector_end..).unwrap_or_default();
    later_sectors
        .chunks(SECTOR_BYTES)
        .filter(|sector| sector.iter().all(|byte| *byte == 0))
        .count() as u32
}
