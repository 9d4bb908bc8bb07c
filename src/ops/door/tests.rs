use super::*;

/// Takes one place more than there are.
fn crowd(connections: &Rc<Connections>) -> Vec<Seat> {
    (0..=MOST_CONNECTIONS)
        .map(|_| connections.enter())
        .collect()
}

/// Guards against callers without a whole call that hold all places until their time is over, and against one
/// that is displaced before its call has been looked at.
#[tokio::test(start_paused = true)]
async fn the_oldest_connection_without_a_whole_call_makes_room_once_it_has_settled() {
    let connections = Rc::<Connections>::default();
    let mut seats = crowd(&connections);
    // Its call has come whole: it keeps its place.
    seats[0].connection.answering.set(true);
    let begun = Instant::now();
    let oldest = seats.remove(1);
    let displaced = async {
        let displaced = tokio::time::timeout(CALL_WITHIN, oldest.connection.displaced.notified());
        displaced.await.expect("displaced before its time is over");
        assert_eq!(begun.elapsed(), SETTLED);
        drop(oldest);
    };
    tokio::join!(connections.make_room(), displaced);
    assert_eq!(begun.elapsed(), SETTLED);
    assert_eq!(connections.open.borrow().len(), MOST_CONNECTIONS);
}

#[tokio::test(start_paused = true)]
async fn nobody_is_displaced_while_there_is_room_or_where_a_place_is_given_back() {
    let connections = Rc::<Connections>::default();
    let mut seats = crowd(&connections);
    let begun = Instant::now();
    tokio::join!(connections.make_room(), async { drop(seats.pop()) });
    connections.make_room().await;
    assert_eq!(begun.elapsed(), Duration::ZERO);
    for seat in &seats {
        let displaced =
            tokio::time::timeout(CALL_WITHIN, seat.connection.displaced.notified()).await;
        assert!(displaced.is_err());
    }
}

#[tokio::test(start_paused = true)]
async fn where_all_are_being_answered_one_that_ends_makes_room() {
    let connections = Rc::<Connections>::default();
    let mut seats = crowd(&connections);
    seats
        .iter()
        .for_each(|seat| seat.connection.answering.set(true));
    let end_one = async {
        tokio::time::sleep(10 * SETTLED).await;
        drop(seats.remove(5));
    };
    tokio::join!(connections.make_room(), end_one);
    assert_eq!(connections.open.borrow().len(), MOST_CONNECTIONS);
}
