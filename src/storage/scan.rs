//! Reading a whole log file, and telling a torn tail from corruption.
//!
//! Every invalid frame is either torn (the last frame, never acknowledged) or corrupt. It is torn only if all of this
//! holds: it begins where nothing is known to have been acknowledged; the file ends within it, or one of its sectors was
//! not written (more sectors hold zeros than its header says); and no valid frame follows it.

use super::contents::LogContents;
use super::disk::Disk;
use super::error::StoreError;
use super::frame::{
    FILE_HEADER_BYTES, FRAME_HEADER_BYTES, FileHeader, FrameHeader, LogFileId, count_zero_sectors,
};

/// How much is read at once in the search for a frame behind an invalid one.
const SEARCH_CHUNK_BYTES: usize = 64 << 10;

/// What a log file holds.
pub struct ScannedFile {
    pub file_id: LogFileId,
    pub contents: LogContents,
    /// Offset of the end of the valid frames.
    pub valid_length: u64,
    /// Length of the file: longer than `valid_length` if its tail is torn.
    pub file_length: u64,
}

/// Reads a whole log file. At least `synced_length` bytes of it are known to have been acknowledged.
///
/// # Errors
/// [`StoreError::Corrupt`] at the first frame that is invalid and not torn; [`StoreError::Io`].
pub fn scan_file(
    disk: &mut impl Disk,
    name: &str,
    generation: u64,
    synced_length: u64,
) -> Result<ScannedFile, StoreError> {
    let length = StoreError::with_file(name, disk.length(name))?;
    let mut scanner = Scanner {
        disk,
        name,
        length,
        file_id: LogFileId {
            store_id: 0,
            generation,
        },
        synced_length,
    };
    scanner.read_file_header()?;
    scanner.read_frames()
}

/// One pass over a file.
struct Scanner<'a, D> {
    disk: &'a mut D,
    name: &'a str,
    /// Length of the file.
    length: u64,
    file_id: LogFileId,
    /// Bytes that are known to have been acknowledged.
    synced_length: u64,
}

impl<D: Disk> Scanner<'_, D> {
    fn corrupt(&self, offset: u64, reason: &'static str) -> StoreError {
        StoreError::Corrupt {
            file: self.name.into(),
            offset,
            reason,
        }
    }

    fn read(&mut self, offset: u64, bytes: &mut [u8]) -> Result<(), StoreError> {
        StoreError::with_file(self.name, self.disk.read(self.name, offset, bytes))
    }

    fn read_file_header(&mut self) -> Result<(), StoreError> {
        if self.length < FILE_HEADER_BYTES {
            return Err(self.corrupt(0, "shorter than its head"));
        }
        let mut bytes = [0; FILE_HEADER_BYTES as usize];
        self.read(0, &mut bytes)?;
        let header = FileHeader::decode(&bytes).map_err(|reason| self.corrupt(0, reason))?;
        if header.file_id.generation != self.file_id.generation {
            return Err(self.corrupt(16, "another file's name"));
        }
        self.file_id = header.file_id;
        self.synced_length = self.synced_length.max(header.synced_length);
        Ok(())
    }

    fn read_frames(&mut self) -> Result<ScannedFile, StoreError> {
        let mut contents = LogContents::default();
        let mut offset = FILE_HEADER_BYTES;
        while offset < self.length {
            let Some(frame_length) = self.read_frame(offset, &mut contents)? else {
                break;
            };
            offset += frame_length;
        }
        if offset < self.synced_length {
            return Err(self.corrupt(self.length, "shorter than was acknowledged"));
        }
        Ok(ScannedFile {
            file_id: self.file_id,
            contents,
            valid_length: offset,
            file_length: self.length,
        })
    }

    /// Applies the frame at `offset` and returns its length. `None`: the frame is torn.
    fn read_frame(
        &mut self,
        offset: u64,
        contents: &mut LogContents,
    ) -> Result<Option<u64>, StoreError> {
        let left = self.length - offset;
        if left < FRAME_HEADER_BYTES {
            return self.torn_or(offset, true, "ends within a frame that was acknowledged");
        }
        let mut header_bytes = [0; FRAME_HEADER_BYTES as usize];
        self.read(offset, &mut header_bytes)?;
        let Some(header) = FrameHeader::decode(self.file_id, offset, &header_bytes) else {
            let is_unwritten = header_bytes == [0; FRAME_HEADER_BYTES as usize];
            return self.torn_or(offset, is_unwritten, "wrong checksum of a frame's head");
        };
        if header.frame_length() > left {
            return self.torn_or(offset, true, "ends within a frame that was acknowledged");
        }
        let mut frame = vec![0; header.frame_length() as usize];
        self.read(offset, &mut frame)?;
        let padded_body = &frame[FRAME_HEADER_BYTES as usize..];
        if header.body_checksum != crc32fast::hash(padded_body) {
            let is_unwritten = count_zero_sectors(offset, &frame) > header.zero_sectors;
            return self.torn_or(offset, is_unwritten, "wrong checksum of a frame");
        }
        let body = &padded_body[..header.body_length as usize];
        contents
            .apply_frame_body(body)
            .ok_or_else(|| self.corrupt(offset, "a frame that makes no sense"))?;
        Ok(Some(header.frame_length()))
    }

    /// Judges an invalid frame: `Ok(None)` if it is torn, else it is corrupt. `is_unwritten`: the file ends within it, or
    /// a sector of it was not written.
    fn torn_or(
        &mut self,
        offset: u64,
        is_unwritten: bool,
        reason: &'static str,
    ) -> Result<Option<u64>, StoreError> {
        if is_unwritten && self.may_be_unacknowledged(offset)? {
            Ok(None)
        } else {
            Err(self.corrupt(offset, reason))
        }
    }

    /// Whether the frame at `offset` can be one that was never acknowledged: it is behind all that is known to be, and
    /// no valid frame follows it, since a frame is begun only after the one before it was made durable.
    fn may_be_unacknowledged(&mut self, offset: u64) -> Result<bool, StoreError> {
        if offset < self.synced_length {
            return Ok(false);
        }
        let mut next = offset + FRAME_HEADER_BYTES;
        let mut chunk = vec![0; SEARCH_CHUNK_BYTES];
        while next + FRAME_HEADER_BYTES <= self.length {
            let available = (self.length - next).min(chunk.len() as u64);
            let aligned = available / FRAME_HEADER_BYTES * FRAME_HEADER_BYTES;
            let chunk = &mut chunk[..aligned as usize];
            self.read(next, chunk)?;
            let offsets = (next..).step_by(FRAME_HEADER_BYTES as usize);
            let mut headers = chunk.chunks(FRAME_HEADER_BYTES as usize).zip(offsets);
            if headers.any(|(bytes, at)| FrameHeader::decode(self.file_id, at, bytes).is_some()) {
                return Ok(false);
            }
            next += aligned;
        }
        Ok(true)
    }
}
