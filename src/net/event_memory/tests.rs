use super::*;
use crate::net::connection_tracker::ConnectionTracker;
use futures_util::FutureExt;

const EVENT_BYTES: usize = 1_000;

/// The memory of one long event, and as many streams as a test needs.
fn memory_for_one_event() -> (Budget, Rc<EventMemory>) {
    let budget = Budget::new(EVENT_BYTES + EVENT_BYTES / 2);
    let memory = EventMemory::new(budget.clone(), Rc::default(), Rc::default());
    (budget, memory)
}

struct Stream {
    buffer: Buffer,
    long_event: Option<LongEvent>,
}

impl Stream {
    fn new(budget: &Budget) -> Self {
        Stream {
            buffer: Buffer::new(budget),
            long_event: None,
        }
    }

    async fn reserve(mut self, memory: &Rc<EventMemory>) -> Self {
        let long_event = memory.reserve(&mut self.buffer, EVENT_BYTES).await;
        self.long_event = Some(long_event);
        self
    }

    /// Reads its event until its memory is needed for others.
    async fn until_revoked(self) {
        self.long_event.as_ref().unwrap().revoked().await;
    }
}

/// Guards against a spoilt event that keeps the memory which others wait for, and against one that is ended too early.
#[tokio::test(start_paused = true)]
async fn an_event_that_stays_incomplete_is_ended_when_another_stream_waits() {
    let (budget, memory) = memory_for_one_event();
    let spoilt = Stream::new(&budget).reserve(&memory).await;
    let begun = Instant::now();
    let spoilt = spoilt.until_revoked();
    let sound = Stream::new(&budget).reserve(&memory);
    let (sound, ()) = tokio::join!(sound, spoilt);
    assert_eq!(begun.elapsed(), MAX_EVENT_DURATION);
    assert_eq!(sound.buffer.reserved_bytes(), EVENT_BYTES);
    assert_eq!(memory.counters.events_revoked.get(), 1);
}

/// Guards against sound events that are ended though the one before them completes in time.
#[tokio::test(start_paused = true)]
async fn a_stream_waits_until_the_event_before_it_is_complete() {
    let (budget, memory) = memory_for_one_event();
    let first = Stream::new(&budget).reserve(&memory).await;
    let complete = async {
        tokio::time::sleep(MAX_EVENT_DURATION / 2).await;
        drop(first);
    };
    let begun = Instant::now();
    let (second, ()) = tokio::join!(Stream::new(&budget).reserve(&memory), complete);
    assert_eq!(begun.elapsed(), MAX_EVENT_DURATION / 2);
    assert_eq!(memory.counters.events_revoked.get(), 0);
    drop(second);
    assert_eq!(budget.left(), EVENT_BYTES + EVENT_BYTES / 2);
}

/// Guards against new requests that take the memory which a stream waits for, and against memory that is lost when the
/// stream ends while it waits.
#[tokio::test(start_paused = true)]
async fn a_waiting_stream_goes_before_new_requests() {
    let (budget, memory) = memory_for_one_event();
    let first = Stream::new(&budget).reserve(&memory).await;
    {
        let waiting = Stream::new(&budget).reserve(&memory);
        tokio::pin!(waiting);
        assert!(waiting.as_mut().now_or_never().is_none());
        assert!(Buffer::with_reservation(1, &budget).is_err());
    }
    assert!(Buffer::with_reservation(1, &budget).is_ok());
    drop(first);
    assert_eq!(budget.left(), EVENT_BYTES + EVENT_BYTES / 2);
}

/// Guards against the stream that waits longest being passed by others.
#[tokio::test(start_paused = true)]
async fn streams_get_memory_in_order() {
    let (budget, memory) = memory_for_one_event();
    let first = Stream::new(&budget).reserve(&memory).await;
    let second = Stream::new(&budget).reserve(&memory);
    let third = Stream::new(&budget).reserve(&memory);
    tokio::pin!(second, third);
    assert!(second.as_mut().now_or_never().is_none());
    assert!(third.as_mut().now_or_never().is_none());
    drop(first);
    assert!(third.as_mut().now_or_never().is_none());
    assert!(second.as_mut().now_or_never().is_some());
    assert!(third.as_mut().now_or_never().is_some());
}

/// Guards against a client that does not read its response and keeps the memory which a stream waits for.
#[tokio::test(start_paused = true)]
async fn a_client_that_does_not_read_is_disconnected_when_a_stream_waits() {
    let (budget, memory) = memory_for_one_event();
    let stalled = ConnectionTracker::new();
    let _entry = memory.connections.register(stalled.clone());
    stalled.note_write_blocked();
    let mut unread = Buffer::new(&budget);
    unread.overdraw_to(EVENT_BYTES);
    let begun = Instant::now();
    let disconnected = async {
        while !stalled.is_aborted() {
            stalled.changed().await;
        }
        drop(unread);
    };
    let waiting = Stream::new(&budget).reserve(&memory);
    tokio::join!(waiting, disconnected);
    assert_eq!(begun.elapsed(), MAX_CLIENT_STALL);
    assert_eq!(memory.counters.stalled_clients_closed.get(), 1);
}

/// Guards against sound streams that wait, and break in the end, because prompts fill the budget.
#[tokio::test(start_paused = true)]
async fn a_stream_goes_on_while_prompts_fill_the_budget() {
    let budget = Budget::new(8 * EVENT_BYTES);
    let memory = EventMemory::new(budget.clone(), Rc::default(), Rc::default());
    let prompts = Buffer::with_reservation(8 * EVENT_BYTES, &budget).unwrap();
    let first = Stream::new(&budget).reserve(&memory).now_or_never();
    assert!(first.is_some());
    assert!(Buffer::with_reservation(1, &budget).is_err());
    let second = Stream::new(&budget).reserve(&memory);
    assert!(second.now_or_never().is_none());
    drop(prompts);
}
