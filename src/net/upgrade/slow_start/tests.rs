use super::*;
use ProcessPhase::{Serving, Starting, Stopping};

/// A stop finishes what was taken, also where all that could take it is in slow start.
#[test]
fn a_process_alone_keeps_the_right_while_it_stops() {
    let mut right = SlowStartPermission::new(false);
    assert_eq!(right.update(Starting, None), Some(true));
    assert_eq!(right.update(Serving, None), None);
    assert_eq!(right.update(Stopping, None), None);
}

#[test]
fn a_process_that_stops_gives_the_right_up_when_a_successor_appears() {
    let (mut older, mut newer) = (
        SlowStartPermission::new(false),
        SlowStartPermission::new(true),
    );
    assert_eq!(older.update(Stopping, None), Some(true));
    assert_eq!(older.update(Stopping, Some(Starting)), Some(false));
    assert_eq!(newer.update(Starting, Some(Stopping)), Some(true));
}

#[test]
fn the_newer_process_gets_the_right_when_the_older_one_stops() {
    let (mut older, mut newer) = (
        SlowStartPermission::new(false),
        SlowStartPermission::new(true),
    );
    assert_eq!(older.update(Serving, None), Some(true));
    assert_eq!(newer.update(Starting, Some(Serving)), Some(false));
    assert_eq!(older.update(Serving, Some(Serving)), None);
    assert_eq!(newer.update(Serving, Some(Serving)), None);
    assert_eq!(older.update(Stopping, Some(Serving)), Some(false));
    assert_eq!(newer.update(Serving, Some(Stopping)), Some(true));
    assert_eq!(newer.update(Serving, None), None);
}

#[test]
fn the_newer_process_gets_the_right_when_the_older_one_is_gone() {
    let mut newer = SlowStartPermission::new(true);
    assert_eq!(newer.update(Starting, Some(Serving)), Some(false));
    assert_eq!(newer.update(Serving, None), Some(true));
}
