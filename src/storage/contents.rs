//! What the frames of a log file add up to: hard state, snapshot and the records after it.

use std::collections::VecDeque;

/// One change in a frame.
#[derive(Clone, Copy, Debug)]
pub enum Change<'a> {
    /// Replaces the hard state.
    HardState(&'a [u8]),
    /// Drops all records from `first` on, then appends `records`.
    Append { first: u64, records: &'a [Vec<u8>] },
    /// Replaces all records up to `index`.
    Snapshot { index: u64, data: &'a [u8] },
}

/// Tags of the changes in a frame's body.
pub mod tag {
    /// [`Change::HardState`](super::Change::HardState).
    pub const HARD_STATE: u8 = b'h';
    /// [`Change::Append`](super::Change::Append).
    pub const APPEND: u8 = b'a';
    /// [`Change::Snapshot`](super::Change::Snapshot).
    pub const SNAPSHOT: u8 = b's';
}

/// The state after a sequence of changes.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct LogContents {
    pub hard_state: Option<Vec<u8>>,
    /// Last index that the snapshot covers, and its data.
    pub snapshot: Option<(u64, Vec<u8>)>,
    pub records: VecDeque<Vec<u8>>,
}

impl LogContents {
    /// Index of the first record that is there or would be appended next to the snapshot.
    pub fn first_index(&self) -> u64 {
        self.snapshot.as_ref().map_or(1, |(index, _)| index + 1)
    }

    /// Sets the snapshot and drops the records that it covers.
    pub fn install_snapshot(&mut self, index: u64, data: Vec<u8>) {
        let covered = (index + 1).saturating_sub(self.first_index());
        let dropped = covered.min(self.records.len() as u64);
        self.records.drain(..dropped as usize);
        self.snapshot = Some((index, data));
    }

    /// Applies a change whose indexes were checked.
    pub fn apply(&mut self, change: &Change) {
        match change {
            Change::HardState(state) => self.hard_state = Some(state.to_vec()),
            Change::Append { first, records } => {
                self.records.truncate((first - self.first_index()) as usize);
                self.records.extend(records.iter().cloned());
            }
            Change::Snapshot { index, data } => self.install_snapshot(*index, data.to_vec()),
        }
    }

    /// Applies a frame's body whose checksum is valid. `None`: the body is malformed.
    pub fn apply_frame_body(&mut self, body: &[u8]) -> Option<()> {
        let mut rest = body;
        while let Some(tag) = take(&mut rest, 1) {
            match tag[0] {
                tag::HARD_STATE => self.hard_state = Some(take_sized(&mut rest)?.to_vec()),
                tag::APPEND => self.apply_encoded_append(&mut rest)?,
                tag::SNAPSHOT => {
                    let index = take_u64(&mut rest)?;
                    index
                        .checked_add(1)
                        .filter(|next| *next >= self.first_index())?;
                    self.install_snapshot(index, take_sized(&mut rest)?.to_vec());
                }
                _ => return None,
            }
        }
        Some(())
    }

    fn apply_encoded_append(&mut self, rest: &mut &[u8]) -> Option<()> {
        let first = take_u64(rest)?;
        let kept = first.checked_sub(self.first_index())?;
        if kept > self.records.len() as u64 {
            return None;
        }
        self.records.truncate(kept as usize);
        for _ in 0..take_u32(rest)? {
            self.records.push_back(take_sized(rest)?.to_vec());
        }
        Some(())
    }
}

/// Splits off the next `length` bytes.
fn take<'a>(rest: &mut &'a [u8], length: usize) -> Option<&'a [u8]> {
    let (taken, left) = rest.split_at_checked(length)?;
    *rest = left;
    Some(taken)
}

fn take_u32(rest: &mut &[u8]) -> Option<u32> {
    let bytes = take(rest, 4)?;
    Some(u32::from_le_bytes(bytes.try_into().ok()?))
}

fn take_u64(rest: &mut &[u8]) -> Option<u64> {
    let bytes = take(rest, 8)?;
    Some(u64::from_le_bytes(bytes.try_into().ok()?))
}

/// Splits off bytes that are preceded by their length.
fn take_sized<'a>(rest: &mut &'a [u8]) -> Option<&'a [u8]> {
    let length = take_u32(rest)?;
    take(rest, length as usize)
}
