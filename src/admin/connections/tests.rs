use super::*;
use crate::admin::server::REQUEST_TIMEOUT;

/// Opens one connection more than [`MAX_CONNECTIONS`].
fn open_excess_connections(connections: &Rc<Connections>) -> Vec<ConnectionSlot> {
    (0..=MAX_CONNECTIONS).map(|_| connections.enter()).collect()
}

/// Guards against callers that occupy all connections without completing a request until they time out, and against
/// displacing a connection before its request has been read.
#[tokio::test(start_paused = true)]
async fn oldest_incomplete_connection_is_displaced_after_its_minimum_age() {
    let connections = Rc::<Connections>::default();
    let mut slots = open_excess_connections(&connections);
    // The request of the oldest connection is complete, so the second oldest is displaced.
    slots[0].connection.is_answering.set(true);
    let started = Instant::now();
    let oldest = slots.remove(1);
    let displaced = async {
        let displaced =
            tokio::time::timeout(REQUEST_TIMEOUT, oldest.connection.displaced.notified());
        displaced
            .await
            .expect("the connection is displaced before its request times out");
        assert_eq!(started.elapsed(), MIN_CONNECTION_AGE);
        drop(oldest);
    };
    tokio::join!(connections.make_room(), displaced);
    assert_eq!(started.elapsed(), MIN_CONNECTION_AGE);
    assert_eq!(connections.open.borrow().len(), MAX_CONNECTIONS);
}

#[tokio::test(start_paused = true)]
async fn no_connection_is_displaced_below_the_limit() {
    let connections = Rc::<Connections>::default();
    let mut slots = open_excess_connections(&connections);
    let started = Instant::now();
    tokio::join!(connections.make_room(), async { drop(slots.pop()) });
    connections.make_room().await;
    assert_eq!(started.elapsed(), Duration::ZERO);
    for slot in &slots {
        let displaced =
            tokio::time::timeout(REQUEST_TIMEOUT, slot.connection.displaced.notified()).await;
        assert!(displaced.is_err());
    }
}

#[tokio::test(start_paused = true)]
async fn while_all_connections_are_being_answered_one_that_ends_makes_room() {
    let connections = Rc::<Connections>::default();
    let mut slots = open_excess_connections(&connections);
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
