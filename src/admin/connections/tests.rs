use super::*;
use crate::admin::server::REQUEST_TIMEOUT;

/// Opens one connection more than allowed.
fn crowd(connections: &Rc<Connections>) -> Vec<ConnectionSlot> {
    (0..=MAX_CONNECTIONS).map(|_| connections.enter()).collect()
}

/// Else callers without a complete request could hold all connections until they time out, or one could be
/// displaced before its request has been read.
#[tokio::test(start_paused = true)]
async fn oldest_incomplete_connection_is_displaced_after_its_minimum_age() {
    let connections = Rc::<Connections>::default();
    let mut slots = crowd(&connections);
    // Its request is complete: it stays.
    slots[0].connection.is_answering.set(true);
    let begun = Instant::now();
    let oldest = slots.remove(1);
    let displaced = async {
        let displaced =
            tokio::time::timeout(REQUEST_TIMEOUT, oldest.connection.displaced.notified());
        displaced.await.expect("displaced before its time is over");
        assert_eq!(begun.elapsed(), MIN_CONNECTION_AGE);
        drop(oldest);
    };
    tokio::join!(connections.make_room(), displaced);
    assert_eq!(begun.elapsed(), MIN_CONNECTION_AGE);
    assert_eq!(connections.open.borrow().len(), MAX_CONNECTIONS);
}

#[tokio::test(start_paused = true)]
async fn no_connection_is_displaced_while_there_is_room() {
    let connections = Rc::<Connections>::default();
    let mut slots = crowd(&connections);
    let begun = Instant::now();
    tokio::join!(connections.make_room(), async { drop(slots.pop()) });
    connections.make_room().await;
    assert_eq!(begun.elapsed(), Duration::ZERO);
    for slot in &slots {
        let displaced =
            tokio::time::timeout(REQUEST_TIMEOUT, slot.connection.displaced.notified()).await;
        assert!(displaced.is_err());
    }
}

#[tokio::test(start_paused = true)]
async fn where_all_are_being_answered_one_that_ends_makes_room() {
    let connections = Rc::<Connections>::default();
    let mut slots = crowd(&connections);
    slots
        .iter()
        .for_each(|slot| slot.connection.is_answering.set(true));
    let end_one = async {
        tokio::time::sleep(10 * MIN_CONNECTION_AGE).await;
        drop(slots.remove(5));
    };
    tokio::join!(connections.make_room(), end_one);
    assert_eq!(connections.open.borrow().len(), MAX_CONNECTIONS);
}
