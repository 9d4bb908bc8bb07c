//! Log files as a whole: their names, and the encoding of a new one.

use super::contents::{Change, LogContents};
use super::error::StoreError;
use super::frame::{FILE_HEADER_BYTES, FileHeader, LogFileId, encode_frame, encoded_frame_length};

/// Digits of the generation in a log file's name.
const GENERATION_DIGITS: usize = 20;

/// Name of the log file of a generation.
pub fn log_file_name(generation: u64) -> String {
    format!("log-{generation:0GENERATION_DIGITS$}")
}

/// Generation of the log file of this name; `None`: it is no log file.
pub fn parse_generation(name: &str) -> Option<u64> {
    let digits = name
        .strip_prefix("log-")
        .filter(|digits| digits.len() == GENERATION_DIGITS)?;
    digits.parse().ok()
}

/// Encodes a whole log file.
///
/// # Errors
/// [`StoreError::Full`]: it would be longer than `capacity`.
pub fn encode_file(
    file_id: LogFileId,
    contents: &LogContents,
    capacity: u64,
) -> Result<Vec<u8>, StoreError> {
    let records: Vec<Vec<u8>> = contents.records.iter().cloned().collect();
    let changes = changes_of(contents, &records);
    let frame_length = if changes.is_empty() {
        0
    } else {
        encoded_frame_length(&changes)
    };
    let needed = FILE_HEADER_BYTES + frame_length;
    let full = || StoreError::Full {
        needed,
        left: capacity,
    };
    if needed > capacity {
        return Err(full());
    }
    let header = FileHeader {
        file_id,
        synced_length: needed,
    };
    let mut bytes = header.encode();
    if !changes.is_empty() {
        let frame = encode_frame(file_id, FILE_HEADER_BYTES, &changes);
        bytes.extend(frame.ok_or_else(full)?);
    }
    Ok(bytes)
}

/// The changes that lead from an empty log to these contents, whose records are `records`.
fn changes_of<'a>(contents: &'a LogContents, records: &'a [Vec<u8>]) -> Vec<Change<'a>> {
    let mut changes = Vec::new();
    if let Some((index, data)) = &contents.snapshot {
        changes.push(Change::Snapshot {
            index: *index,
            data,
        });
    }
    if let Some(state) = &contents.hard_state {
        changes.push(Change::HardState(state));
    }
    if !records.is_empty() {
        changes.push(Change::Append {
            first: contents.first_index(),
            records,
        });
    }
    changes
}
