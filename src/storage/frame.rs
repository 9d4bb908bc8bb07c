//! The form of a log file: a head, then frames, each the work of one call.
//!
//! Integers are little-endian. Frames begin at multiples of 32, so that a frame's head lies in one sector.
//!
//! ```text
//! head   64: magic 8 | store id 8 | generation 8 | length at the renaming 8 | zeros 28 | CRC 4
//! frame  32: magic 8 | its own offset 8 | bytes of the body 4 | empty sectors 4 | CRC of the body 4 | CRC 4
//!            body, filled with zeros to a multiple of 32 (the CRC is over them too)
//! ```
//!
//! A frame head's CRC covers the store's id and the generation too, so that no record can look like a frame.

use super::StoreError;
use super::disk::Disk;
use std::collections::VecDeque;

/// Bytes of a file's head.
pub const HEAD: u64 = 64;
/// Bytes of a frame's head, and what frames begin at multiples of.
pub const FRAME: u64 = 32;
/// What a disk writes whole or not at all.
const SECTOR: usize = 512;
const FILE_MAGIC: &[u8; 8] = b"whinlog1";
const FRAME_MAGIC: &[u8; 8] = b"frame:\r\n";

fn u32_at(bytes: &[u8], at: usize) -> u32 {
    u32::from_le_bytes(bytes[at..at + 4].try_into().expect("4 bytes"))
}

fn u64_at(bytes: &[u8], at: usize) -> u64 {
    u64::from_le_bytes(bytes[at..at + 8].try_into().expect("8 bytes"))
}

/// Which file a frame belongs to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Salt {
    /// The store's id.
    pub store_id: u64,
    /// Which of the store's files.
    pub generation: u64,
}

impl Salt {
    fn crc(self, head: &[u8]) -> u32 {
        let mut crc = crc32fast::Hasher::new();
        for part in [
            &self.store_id.to_le_bytes(),
            &self.generation.to_le_bytes(),
            head,
        ] {
            crc.update(part);
        }
        crc.finalize()
    }
}

/// One change that a frame carries.
#[derive(Clone, Copy, Debug)]
pub enum Op<'a> {
    /// The hard state from here on.
    HardState(&'a [u8]),
    /// Drops all records from `first` on, then adds these.
    Append { first: u64, records: &'a [Vec<u8>] },
    /// Stands for all records up to `index`.
    Snapshot { index: u64, data: &'a [u8] },
}

/// What the frames of a file come to.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Live {
    pub hard_state: Option<Vec<u8>>,
    pub snapshot: Option<(u64, Vec<u8>)>,
    pub records: VecDeque<Vec<u8>>,
}

impl Live {
    /// The index of the first record that is or would be there.
    pub fn first(&self) -> u64 {
        self.snapshot.as_ref().map_or(1, |(index, _)| index + 1)
    }

    /// Takes a snapshot in, and drops what it stands for.
    pub fn take_snapshot(&mut self, index: u64, data: Vec<u8>) {
        let drop = (index + 1)
            .saturating_sub(self.first())
            .min(self.records.len() as u64);
        self.records.drain(..drop as usize);
        self.snapshot = Some((index, data));
    }

    /// Takes in a change that was found to fit.
    pub fn take(&mut self, op: &Op) {
        match op {
            Op::HardState(state) => self.hard_state = Some(state.to_vec()),
            Op::Append { first, records } => {
                self.records.truncate((first - self.first()) as usize);
                self.records.extend(records.iter().cloned());
            }
            Op::Snapshot { index, data } => self.take_snapshot(*index, data.to_vec()),
        }
    }

    /// Takes in a body whose CRC is right. `None`: the body makes no sense.
    pub fn apply(&mut self, body: &[u8]) -> Option<()> {
        let mut rest = body;
        while let Some(tag) = take(&mut rest, 1) {
            match tag[0] {
                b'h' => self.hard_state = Some(take_bytes(&mut rest)?.to_vec()),
                b'a' => {
                    let first = u64_at(take(&mut rest, 8)?, 0);
                    let keep = first.checked_sub(self.first())?;
                    if keep > self.records.len() as u64 {
                        return None;
                    }
                    self.records.truncate(keep as usize);
                    for _ in 0..u32_at(take(&mut rest, 4)?, 0) {
                        self.records.push_back(take_bytes(&mut rest)?.to_vec());
                    }
                }
                b's' => {
                    let index = u64_at(take(&mut rest, 8)?, 0);
                    index.checked_add(1).filter(|next| *next >= self.first())?;
                    self.take_snapshot(index, take_bytes(&mut rest)?.to_vec());
                }
                _ => return None,
            }
        }
        Some(())
    }
}

fn take<'a>(rest: &mut &'a [u8], bytes: usize) -> Option<&'a [u8]> {
    let (taken, left) = rest.split_at_checked(bytes)?;
    *rest = left;
    Some(taken)
}

fn take_bytes<'a>(rest: &mut &'a [u8]) -> Option<&'a [u8]> {
    let length = u32_at(take(rest, 4)?, 0);
    take(rest, length as usize)
}

/// A file's head.
pub fn file_head(salt: Salt, length: u64) -> Vec<u8> {
    let mut head = Vec::with_capacity(HEAD as usize);
    head.extend_from_slice(FILE_MAGIC);
    for number in [salt.store_id, salt.generation, length] {
        head.extend_from_slice(&number.to_le_bytes());
    }
    head.resize(HEAD as usize - 4, 0);
    let crc = crc32fast::hash(&head);
    head.extend_from_slice(&crc.to_le_bytes());
    head
}

/// Bytes of a frame with these changes.
pub fn frame_bytes(ops: &[Op]) -> u64 {
    let body: u64 = ops
        .iter()
        .map(|op| match op {
            Op::HardState(state) => 5 + state.len() as u64,
            Op::Append { records, .. } => {
                13 + records.iter().map(|r| 4 + r.len() as u64).sum::<u64>()
            }
            Op::Snapshot { data, .. } => 13 + data.len() as u64,
        })
        .sum();
    FRAME + body.next_multiple_of(FRAME)
}

/// A frame with these changes, for this place in its file. `None`: longer than the form can say.
pub fn frame(salt: Salt, offset: u64, ops: &[Op]) -> Option<Vec<u8>> {
    let most = u32::MAX as u64 - 2 * FRAME;
    let bytes = frame_bytes(ops);
    if bytes > most {
        return None;
    }
    let mut frame = Vec::with_capacity(bytes as usize);
    frame.resize(FRAME as usize, 0);
    fn put(frame: &mut Vec<u8>, bytes: &[u8]) {
        frame.extend_from_slice(&(bytes.len() as u32).to_le_bytes());
        frame.extend_from_slice(bytes);
    }
    for op in ops {
        match op {
            Op::HardState(state) => {
                frame.push(b'h');
                put(&mut frame, state);
            }
            Op::Append { first, records } => {
                frame.push(b'a');
                frame.extend_from_slice(&first.to_le_bytes());
                frame.extend_from_slice(&(records.len() as u32).to_le_bytes());
                records.iter().for_each(|record| put(&mut frame, record));
            }
            Op::Snapshot { index, data } => {
                frame.push(b's');
                frame.extend_from_slice(&index.to_le_bytes());
                put(&mut frame, data);
            }
        }
    }
    let body = (frame.len() - FRAME as usize) as u32;
    frame.resize(bytes as usize, 0);
    let empty = empty_sectors(offset, &frame);
    let body_crc = crc32fast::hash(&frame[FRAME as usize..]);
    frame[..8].copy_from_slice(FRAME_MAGIC);
    frame[8..16].copy_from_slice(&offset.to_le_bytes());
    for (at, number) in [(16, body), (20, empty), (24, body_crc)] {
        frame[at..at + 4].copy_from_slice(&number.to_le_bytes());
    }
    let crc = salt.crc(&frame[..28]);
    frame[28..32].copy_from_slice(&crc.to_le_bytes());
    Some(frame)
}

/// How many of the sectors that the frame touches after its first one hold zeros only.
fn empty_sectors(offset: u64, frame: &[u8]) -> u32 {
    let rest = SECTOR - offset as usize % SECTOR;
    let later = frame.get(rest..).unwrap_or_default();
    later
        .chunks(SECTOR)
        .filter(|sector| sector.iter().all(|byte| *byte == 0))
        .count() as u32
}

/// What a frame's head says, if it is one for this place.
struct FrameHead {
    body: u32,
    empty: u32,
    crc: u32,
}

impl FrameHead {
    fn read(salt: Salt, offset: u64, head: &[u8]) -> Option<Self> {
        let right = &head[..8] == FRAME_MAGIC
            && u64_at(head, 8) == offset
            && u32_at(head, 28) == salt.crc(&head[..28]);
        right.then(|| FrameHead {
            body: u32_at(head, 16),
            empty: u32_at(head, 20),
            crc: u32_at(head, 24),
        })
    }

    fn whole(&self) -> u64 {
        FRAME + u64::from(self.body).next_multiple_of(FRAME)
    }
}

/// What a file was found to hold.
pub struct Read {
    pub salt: Salt,
    pub live: Live,
    /// Where the good frames end.
    pub end: u64,
    /// How long the file is: longer than `end` if its tail is torn.
    pub length: u64,
}

/// Reads a whole log file. `synced` is how much of it is known to have been acknowledged, besides what the file itself
/// tells.
///
/// Every frame that is not right is either torn, the last one and never acknowledged, or corrupt. Torn it is only if all
/// of this holds: it begins where nothing is known to have been acknowledged; the file ends within it, or a sector of
/// it was not written (holds zeros, more such than the frame says); and no frame follows it.
pub fn read_file(
    disk: &mut impl Disk,
    name: &str,
    generation: u64,
    synced: u64,
) -> Result<Read, StoreError> {
    let failed = |error| StoreError::Io {
        file: name.into(),
        error,
    };
    let corrupt = |offset, reason| StoreError::Corrupt {
        file: name.into(),
        offset,
        reason,
    };
    let length = disk.length(name).map_err(failed)?;
    let mut head = [0; HEAD as usize];
    if length < HEAD {
        return Err(corrupt(0, "shorter than its head"));
    }
    disk.read(name, 0, &mut head).map_err(failed)?;
    if u32_at(&head, HEAD as usize - 4) != crc32fast::hash(&head[..HEAD as usize - 4]) {
        return Err(corrupt(0, "wrong checksum of the file's head"));
    }
    if &head[..8] != FILE_MAGIC {
        return Err(corrupt(0, "not a log, or of another version"));
    }
    let salt = Salt {
        store_id: u64_at(&head, 8),
        generation: u64_at(&head, 16),
    };
    if salt.generation != generation {
        return Err(corrupt(16, "another file's name"));
    }
    let synced = synced.max(u64_at(&head, 24));
    let mut live = Live::default();
    let mut at = HEAD;
    while at < length {
        if length - at < FRAME {
            if frame_is_torn(disk, name, salt, at, length, synced)? {
                break;
            }
            return Err(corrupt(at, "ends within a frame that was acknowledged"));
        }
        let mut head = [0; FRAME as usize];
        disk.read(name, at, &mut head).map_err(failed)?;
        let Some(frame) = FrameHead::read(salt, at, &head) else {
            if head == [0; FRAME as usize] && frame_is_torn(disk, name, salt, at, length, synced)? {
                break;
            }
            return Err(corrupt(at, "wrong checksum of a frame's head"));
        };
        if frame.whole() > length - at {
            if frame_is_torn(disk, name, salt, at, length, synced)? {
                break;
            }
            return Err(corrupt(at, "ends within a frame that was acknowledged"));
        }
        let mut whole = vec![0; frame.whole() as usize];
        disk.read(name, at, &mut whole).map_err(failed)?;
        if frame.crc != crc32fast::hash(&whole[FRAME as usize..]) {
            let unwritten = empty_sectors(at, &whole) > frame.empty;
            if unwritten && frame_is_torn(disk, name, salt, at, length, synced)? {
                break;
            }
            return Err(corrupt(at, "wrong checksum of a frame"));
        }
        let body = &whole[FRAME as usize..][..frame.body as usize];
        live.apply(body)
            .ok_or_else(|| corrupt(at, "a frame that makes no sense"))?;
        at += frame.whole();
    }
    if at < synced {
        return Err(corrupt(length, "shorter than was acknowledged"));
    }
    Ok(Read {
        salt,
        live,
        end: at,
        length,
    })
}

/// Whether a frame that wasn't written whole can be one that was never acknowledged.
fn frame_is_torn(
    disk: &mut impl Disk,
    name: &str,
    salt: Salt,
    at: u64,
    length: u64,
    synced: u64,
) -> Result<bool, StoreError> {
    if at < synced {
        return Ok(false);
    }
    let mut later = at + FRAME;
    let mut chunk = vec![0; 64 << 10];
    while later + FRAME <= length {
        let bytes = (length - later).min(chunk.len() as u64) / FRAME * FRAME;
        let chunk = &mut chunk[..bytes as usize];
        disk.read(name, later, chunk)
            .map_err(|error| StoreError::Io {
                file: name.into(),
                error,
            })?;
        let mut places = chunk
            .chunks(FRAME as usize)
            .zip((later..).step_by(FRAME as usize));
        // A frame is begun only after the one before it was made durable.
        if places.any(|(head, at)| FrameHead::read(salt, at, head).is_some()) {
            return Ok(false);
        }
        later += bytes;
    }
    Ok(true)
}
