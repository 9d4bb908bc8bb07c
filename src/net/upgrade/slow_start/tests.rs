use super::*;
use ProcessPhase::{Serving, Starting, Stopping};

/// A stopping process finishes its requests even if all workers that could serve them are in slow start.
#[test]
fn single_process_keeps_the_permission_while_it_stops() {
    let mut permission = SlowStartPermission::new(false);
    assert_eq!(permission.update(Starting, None), Some(true));
    assert_eq!(permission.update(Serving, None), None);
    assert_eq!(permission.update(Stopping, None), None);
}

#[test]
fn stopping_process_loses_the_permission_when_a_successor_appears() {
    let (mut older, mut newer) = (
        SlowStartPermission::new(false),
        SlowStartPermission::new(true),
    );
    assert_eq!(older.update(Stopping, None), Some(true));
    assert_eq!(older.update(Stopping, Some(Starting)), Some(false));
    assert_eq!(newer.update(Starting, Some(Stopping)), Some(true));
}

#[test]
fn newer_process_gets_the_permission_when_the_older_one_stops() {
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
fn newer_process_gets_the_permission_when_the_older_one_is_gone() {
    let mut newer = SlowStartPermission::new(true);
    assert_eq!(newer.update(Starting, Some(Serving)), Some(false));
    assert_eq!(newer.update(Serving, None), Some(true));
}
