//! The memory budget: bounds the memory that requests and their answers hold at any time, over the whole process.
//!
//! A [`Reservation`] takes bytes from a [`Budget`] and returns them when it is dropped. A [`Buffer`] holds bytes together
//! with the reservation for its capacity. [`Buffer::freeze`] turns it into [`Bytes`] that carry the reservation along: the
//! memory counts until the last clone is dropped, wherever that is (a queue, an attempt in flight, a socket's writer).

use bytes::Bytes;
use std::sync::Arc;
use std::sync::atomic::{AtomicIsize, Ordering};
use tokio::sync::Notify;

/// A buffer's capacity after its first bytes, unless fewer are expected.
const MIN_CAPACITY_BYTES: usize = 4 * 1024;

/// The budget has too few bytes left.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the memory budget is exhausted")]
pub struct BudgetExhausted;

/// Bytes that may be held in memory. Clones share one budget.
#[derive(Clone, Debug)]
pub struct Budget {
    /// Negative while requests in progress hold more than the budget.
    left: Arc<AtomicIsize>,
    /// Notified when bytes are returned.
    returned: Arc<Notify>,
    /// How far [`Reservation::grow_in_progress`] may exceed the budget.
    overdraft_limit: usize,
    /// How far long events may exceed the budget, so that streams go on while waiting prompts fill it.
    event_overdraft_limit: usize,
}

impl Budget {
    /// Creates a budget of this many bytes.
    pub fn new(bytes: usize) -> Self {
        Budget {
            left: Arc::new(AtomicIsize::new(bytes.cast_signed())),
            returned: Arc::default(),
            overdraft_limit: bytes / 2,
            event_overdraft_limit: bytes / 8,
        }
    }

    /// The number of bytes that are left.
    pub fn left(&self) -> usize {
        self.left.load(Ordering::Relaxed).max(0).cast_unsigned()
    }

    /// Whether more is held than the budget and the limit by which long events may exceed it.
    pub fn is_exceeded_by_events(&self) -> bool {
        self.left.load(Ordering::Relaxed) < -self.event_overdraft_limit.cast_signed()
    }

    /// Resolves when bytes were returned since the last call. For one waiting task at a time.
    pub async fn returned(&self) {
        self.returned.notified().await;
    }

    fn take(&self, bytes: usize) -> Result<(), BudgetExhausted> {
        if bytes > self.left() {
            return Err(BudgetExhausted);
        }
        self.take_unchecked(bytes);
        Ok(())
    }

    fn take_in_progress(&self, bytes: usize) -> Result<(), BudgetExhausted> {
        let lowest = -self.overdraft_limit.cast_signed();
        if self.left.load(Ordering::Relaxed) - bytes.cast_signed() < lowest {
            return Err(BudgetExhausted);
        }
        self.take_unchecked(bytes);
        Ok(())
    }

    fn take_unchecked(&self, bytes: usize) {
        self.left.fetch_sub(bytes.cast_signed(), Ordering::Relaxed);
    }

    fn give_back(&self, bytes: usize) {
        self.left.fetch_add(bytes.cast_signed(), Ordering::Relaxed);
        self.returned.notify_one();
    }
}

/// Bytes reserved from a [`Budget`], which are returned on drop.
#[derive(Debug)]
pub struct Reservation {
    budget: Budget,
    bytes: usize,
}

impl Reservation {
    /// Creates an empty reservation.
    pub fn new(budget: &Budget) -> Self {
        Reservation {
            budget: budget.clone(),
            bytes: 0,
        }
    }

    /// The number of reserved bytes.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Reserves `bytes` more.
    ///
    /// # Errors
    /// The budget has fewer bytes left; nothing was reserved.
    pub fn grow(&mut self, bytes: usize) -> Result<(), BudgetExhausted> {
        self.budget.take(bytes)?;
        self.bytes += bytes;
        Ok(())
    }

    /// Reserves `bytes` more for a request in progress, which may exceed the budget by half of it: what has begun goes on,
    /// and the budget admits nothing new until that much was returned to it.
    ///
    /// # Errors
    /// The budget is exceeded by too much already; nothing was reserved.
    pub fn grow_in_progress(&mut self, bytes: usize) -> Result<(), BudgetExhausted> {
        self.budget.take_in_progress(bytes)?;
        self.bytes += bytes;
        Ok(())
    }

    /// Reserves `bytes` that are in memory already, however few the budget has left.
    pub fn overdraw(&mut self, bytes: usize) {
        self.budget.take_unchecked(bytes);
        self.bytes += bytes;
    }

    /// Returns everything beyond `bytes` to the budget.
    pub fn shrink_to(&mut self, bytes: usize) {
        let excess = self.bytes.saturating_sub(bytes);
        self.budget.give_back(excess);
        self.bytes -= excess;
    }

    /// Moves `bytes` of this reservation, or all of it if it has fewer, into another one, which takes the rest from the
    /// budget.
    ///
    /// # Errors
    /// The budget has too few bytes left for the rest; this reservation is unchanged.
    pub fn split(&mut self, bytes: usize) -> Result<Reservation, BudgetExhausted> {
        self.budget.take(bytes.saturating_sub(self.bytes))?;
        self.bytes = self.bytes.saturating_sub(bytes);
        Ok(Reservation {
            budget: self.budget.clone(),
            bytes,
        })
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.budget.give_back(self.bytes);
    }
}

/// Bytes together with the reservation for the memory that they occupy.
#[derive(Debug)]
pub struct Buffer {
    bytes: Vec<u8>,
    reservation: Reservation,
}

impl Buffer {
    /// Creates an empty buffer, which takes its memory from `budget` as it grows.
    pub fn new(budget: &Budget) -> Self {
        Buffer {
            bytes: Vec::new(),
            reservation: Reservation::new(budget),
        }
    }

    /// Creates an empty buffer that has reserved its first `bytes`, without allocating them.
    ///
    /// # Errors
    /// The budget has fewer bytes left.
    pub fn with_reservation(bytes: usize, budget: &Budget) -> Result<Self, BudgetExhausted> {
        let mut buffer = Buffer::new(budget);
        buffer.reservation.grow(bytes)?;
        Ok(buffer)
    }

    /// Counts bytes that exist already, even if the budget has fewer left (see [`Reservation::overdraw`]).
    pub fn overdrawn(mut bytes: Vec<u8>, budget: &Budget) -> Self {
        bytes.shrink_to_fit();
        let mut reservation = Reservation::new(budget);
        reservation.overdraw(bytes.len());
        Buffer { bytes, reservation }
    }

    /// Appends `data`. The capacity doubles as the buffer fills while the budget has room for that, but never exceeds
    /// `expected_len` unless the buffer is longer.
    ///
    /// # Errors
    /// The budget has too few bytes left for the larger capacity; nothing was appended.
    pub fn extend(&mut self, data: &[u8], expected_len: usize) -> Result<(), BudgetExhausted> {
        self.extend_by(data, expected_len, Reservation::grow)
    }

    /// Like [`extend`](Self::extend), by [`Reservation::grow_in_progress`].
    ///
    /// # Errors
    /// The budget is exceeded by too much already; nothing was appended.
    pub fn extend_in_progress(
        &mut self,
        data: &[u8],
        expected_len: usize,
    ) -> Result<(), BudgetExhausted> {
        self.extend_by(data, expected_len, Reservation::grow_in_progress)
    }

    /// Like [`extend`](Self::extend), by [`Reservation::overdraw`].
    pub fn extend_overdrawn(&mut self, data: &[u8], expected_len: usize) {
        let overdraw = |reservation: &mut Reservation, bytes| {
            reservation.overdraw(bytes);
            Ok(())
        };
        // Overdrawing does not fail.
        let _ = self.extend_by(data, expected_len, overdraw);
    }

    /// The number of bytes that are reserved, which is at least the capacity.
    pub fn reserved_bytes(&self) -> usize {
        self.reservation.bytes()
    }

    /// Reserves `bytes` altogether, even if the budget has fewer left (see [`Reservation::overdraw`]).
    pub fn overdraw_to(&mut self, bytes: usize) {
        let missing = bytes.saturating_sub(self.reservation.bytes());
        self.reservation.overdraw(missing);
    }

    /// Returns what is reserved beyond `bytes` and beyond the capacity.
    pub fn shrink_reservation_to(&mut self, bytes: usize) {
        self.reservation.shrink_to(bytes.max(self.bytes.capacity()));
    }

    /// Takes the first `length` bytes out. The rest is moved to a buffer of its own.
    ///
    /// # Panics
    /// The buffer is shorter than that.
    pub fn split_to(&mut self, length: usize) -> Buffer {
        let mut rest = Buffer::new(&self.reservation.budget);
        rest.extend_overdrawn(&self.bytes[length..], usize::MAX);
        let mut first = std::mem::replace(self, rest);
        first.bytes.truncate(length);
        first
    }

    fn extend_by(
        &mut self,
        data: &[u8],
        expected_len: usize,
        grow: fn(&mut Reservation, usize) -> Result<(), BudgetExhausted>,
    ) -> Result<(), BudgetExhausted> {
        let needed = self.bytes.len() + data.len();
        let capacity = self.bytes.capacity();
        if needed > capacity {
            let doubled = (2 * capacity).max(MIN_CAPACITY_BYTES);
            let mut reserve = |new_capacity: usize| {
                let missing = new_capacity.saturating_sub(self.reservation.bytes());
                grow(&mut self.reservation, missing).map(|()| new_capacity)
            };
            let new_capacity =
                reserve(doubled.min(expected_len).max(needed)).or_else(|_| reserve(needed))?;
            self.bytes.reserve_exact(new_capacity - self.bytes.len());
        }
        self.bytes.extend_from_slice(data);
        Ok(())
    }

    /// The number of bytes in the buffer.
    pub fn len(&self) -> usize {
        self.bytes.len()
    }

    /// Whether the buffer has no bytes.
    pub fn is_empty(&self) -> bool {
        self.bytes.is_empty()
    }

    /// Takes the bytes and their reservation apart.
    pub fn into_parts(self) -> (Vec<u8>, Reservation) {
        (self.bytes, self.reservation)
    }

    /// Returns unused capacity, and shares the bytes. Their memory counts against the budget until the last clone is dropped.
    pub fn freeze(mut self) -> Bytes {
        if self.bytes.is_empty() {
            return Bytes::new();
        }
        self.bytes.shrink_to_fit();
        self.reservation.shrink_to(self.bytes.len());
        Bytes::from_owner(self)
    }
}

impl AsRef<[u8]> for Buffer {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

impl From<(Vec<u8>, Reservation)> for Buffer {
    /// Joins bytes with the reservation for their memory.
    fn from((bytes, reservation): (Vec<u8>, Reservation)) -> Self {
        Buffer { bytes, reservation }
    }
}

#[cfg(test)]
mod tests;
