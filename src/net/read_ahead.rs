//! Bytes of a client that were read from its socket before hyper asked for them.

use crate::memory::Reservation;
use std::collections::VecDeque;
use tokio::io::ReadBuf;
use tokio::time::Instant;

/// Maximum number of bytes buffered behind the request in progress, as far as the memory budget of bodies allows.
const MAX_READ_AHEAD_BYTES: usize = 64 * 1024;

/// Bytes read from the socket before hyper asked for them.
#[derive(Default)]
pub(super) struct ReadAhead {
    bytes: VecDeque<u8>,
    /// Length and time of each read that contributed to `bytes`.
    pieces: VecDeque<(usize, Instant)>,
    /// The buffer limit was exceeded: input behind the request in progress is no longer parsed as requests.
    overflowed: bool,
}

impl ReadAhead {
    /// Number of bytes in the buffer.
    pub fn len(&self) -> usize {
        self.bytes.len()
    }

    /// Whether the limit was exceeded; the buffer stays empty from then on.
    pub fn has_overflowed(&self) -> bool {
        self.overflowed
    }

    /// Appends a read, charged to `read_ahead_budget`.
    pub fn push(&mut self, bytes: &[u8], read_ahead_budget: &mut Reservation) {
        self.overflowed = self.overflowed
            || self.bytes.len() + bytes.len() > MAX_READ_AHEAD_BYTES
            || read_ahead_budget.grow(bytes.len()).is_err();
        if self.overflowed {
            self.bytes = VecDeque::new();
            self.pieces = VecDeque::new();
            read_ahead_budget.shrink_to(0);
        } else {
            self.bytes.extend(bytes);
            self.pieces.push_back((bytes.len(), Instant::now()));
        }
    }

    /// Copies as much as fits of the first buffered read, and returns when that was received; `None` if the buffer is
    /// empty.
    pub fn read_into(&mut self, buf: &mut ReadBuf<'_>) -> Option<Instant> {
        let (length, arrived) = self.pieces.front_mut()?;
        let (first, _) = self.bytes.as_slices();
        let part = first.len().min(buf.remaining()).min(*length);
        buf.put_slice(&first[..part]);
        self.bytes.drain(..part);
        *length -= part;
        let arrived = *arrived;
        if self.pieces.front().is_some_and(|(length, _)| *length == 0) {
            self.pieces.pop_front();
        }
        Some(arrived)
    }
}
