//! Memory for long events of model hosts' streams, and what is given up when there is none.
//!
//! An event is passed on when it is complete, so its bytes are kept until then. Short ones are counted and kept. A stream
//! whose event becomes longer has to hold the memory for all of it before it reads on, so that an event that has begun can
//! always be completed. Events may exceed the budget by a part of it. While there is no memory the stream waits, its model
//! host is slowed down by TCP, and new requests are rejected. Streams wait in order. The first one ends what has made no
//! progress for long: an event whose model host does not complete it, or else a response that its client does not read.

use super::connections::Connections;
use crate::counters::Counters;
use crate::memory::{Budget, Buffer};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::{Notify, Semaphore, oneshot};
use tokio::time::Instant;

/// An event that has taken this long is ended when another stream waits for memory. A sound model host sends the longest
/// event within a fraction of it; a stream that waits has to get its memory well before it counts as broken.
const MAX_EVENT_DURATION: Duration = Duration::from_secs(1);
/// A client that has read nothing for this long is disconnected when a stream waits for memory.
const MAX_CLIENT_STALL: Duration = Duration::from_secs(2);

/// Gives memory to the long events of all streams.
pub struct EventMemory {
    budget: Budget,
    /// The incomplete long events; the oldest one has the lowest key.
    events: RefCell<BTreeMap<u64, IncompleteEvent>>,
    next_key: Cell<u64>,
    /// Held by the stream that is next to get memory.
    turn: Semaphore,
    connections: Rc<Connections>,
    counters: Rc<Counters>,
}

struct IncompleteEvent {
    since: Instant,
    revoked: Rc<Notify>,
    /// Resolves when the event's [`LongEvent`] was dropped.
    ended: oneshot::Receiver<()>,
}

/// The right of one event to be long. Dropped when the event is complete or its stream has ended.
pub struct LongEvent {
    memory: Rc<EventMemory>,
    key: u64,
    revoked: Rc<Notify>,
    _ended: oneshot::Sender<()>,
}

impl LongEvent {
    /// Resolves when the event's memory is needed for others. The stream must then be ended.
    pub async fn revoked(&self) {
        self.revoked.notified().await;
    }
}

impl Drop for LongEvent {
    fn drop(&mut self) {
        self.memory.events.borrow_mut().remove(&self.key);
    }
}

impl EventMemory {
    /// Takes the memory of events from `budget`, and disconnects clients in `connections` that do not read if there is none.
    pub fn new(budget: Budget, connections: Rc<Connections>, counters: Rc<Counters>) -> Rc<Self> {
        Rc::new(EventMemory {
            budget,
            events: RefCell::default(),
            next_key: Cell::new(0),
            turn: Semaphore::new(1),
            connections,
            counters,
        })
    }

    /// The budget that the memory is taken from.
    pub fn budget(&self) -> &Budget {
        &self.budget
    }

    /// Waits until `buffer` has reserved `bytes`, for an event that becomes long. Cancel safe.
    pub async fn reserve(self: &Rc<Self>, buffer: &mut Buffer, bytes: usize) -> LongEvent {
        let turn = self.turn.acquire().await;
        // Taken before it is there: what is returned to the budget belongs to this stream, not to new requests.
        let reservation = PendingReservation::new(buffer, bytes);
        while self.budget.is_exceeded_by_events() {
            self.reclaim_or_wait().await;
        }
        reservation.complete();
        drop(turn);
        self.register()
    }

    fn register(self: &Rc<Self>) -> LongEvent {
        let key = self.next_key.get();
        self.next_key.set(key + 1);
        let revoked = Rc::<Notify>::default();
        let (ended_sender, ended) = oneshot::channel();
        let event = IncompleteEvent {
            since: Instant::now(),
            revoked: revoked.clone(),
            ended,
        };
        self.events.borrow_mut().insert(key, event);
        LongEvent {
            memory: self.clone(),
            key,
            revoked,
            _ended: ended_sender,
        }
    }

    /// Ends the oldest event or response that has made no progress for too long. If there is none, waits until memory is
    /// returned to the budget or one has become too old.
    async fn reclaim_or_wait(&self) {
        let now = Instant::now();
        let oldest_event = self.oldest_event();
        if let Some((key, _)) = oldest_event.filter(|(_, since)| *since + MAX_EVENT_DURATION <= now)
        {
            return self.revoke(key).await;
        }
        let event_due = oldest_event.map(|(_, since)| since + MAX_EVENT_DURATION);
        let stalled_before = now.checked_sub(MAX_CLIENT_STALL);
        if stalled_before.is_some_and(|limit| self.connections.abort_stalled(limit)) {
            self.counters.stalled_clients_closed.up();
            log::warn!("closing a client that does not read its response: memory is short");
        }
        let client_due = self.connections.longest_stalled_since();
        let client_due = client_due.map(|since| since + MAX_CLIENT_STALL);
        let due = event_due.into_iter().chain(client_due).min();
        tokio::select! {
            () = self.budget.returned() => {}
            // A client that stalls only after this is found by the next check.
            () = tokio::time::sleep_until(due.unwrap_or(now + MAX_CLIENT_STALL)) => {}
        }
    }

    fn oldest_event(&self) -> Option<(u64, Instant)> {
        let events = self.events.borrow();
        let (key, event) = events.first_key_value()?;
        Some((*key, event.since))
    }

    /// Ends an event's stream, and waits until its memory is returned.
    async fn revoke(&self, key: u64) {
        let Some(event) = self.events.borrow_mut().remove(&key) else {
            return;
        };
        self.counters.events_revoked.up();
        event.revoked.notify_one();
        // An error: the event was dropped, which is what this waits for.
        let _ = event.ended.await;
    }
}

/// Bytes that a buffer has reserved beyond the budget; they are given back unless the budget came to have them.
struct PendingReservation<'a> {
    buffer: &'a mut Buffer,
    bytes_before: usize,
    is_complete: bool,
}

impl<'a> PendingReservation<'a> {
    fn new(buffer: &'a mut Buffer, bytes: usize) -> Self {
        let bytes_before = buffer.reserved_bytes();
        buffer.overdraw_to(bytes);
        PendingReservation {
            buffer,
            bytes_before,
            is_complete: false,
        }
    }

    fn complete(mut self) {
        self.is_complete = true;
    }
}

impl Drop for PendingReservation<'_> {
    fn drop(&mut self) {
        if !self.is_complete {
            self.buffer.shrink_reservation_to(self.bytes_before);
        }
    }
}

#[cfg(test)]
mod tests;
