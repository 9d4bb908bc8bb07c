use super::*;
use rstest::rstest;

const LIMIT: Micros = 500;
const MARGIN: Micros = 100;

fn held_since(now: Micros) -> KvStateHold {
    let mut held = KvStateHold::default();
    held.hold(WorkerId("reader".into()), now);
    held
}

/// Guards against an end that proves nothing giving a state more time.
#[rstest]
#[case::error(AttemptOutcome::Error, 300)]
#[case::turned_away(AttemptOutcome::Rejected, 300)]
#[case::no_answer(AttemptOutcome::TimedOut, 0)]
#[case::connection_lost(AttemptOutcome::ConnectionLost, 0)]
#[case::dropped(AttemptOutcome::Cancelled, 0)]
#[case::no_connection(AttemptOutcome::ConnectFailed, 0)]
#[case::not_sent(AttemptOutcome::NotSent, 0)]
fn only_an_answer_restarts_the_hold_limit(#[case] outcome: AttemptOutcome, #[case] since: Micros) {
    let mut held = held_since(0);
    held.send_ended(outcome, 300);
    assert!(held.is_held());
    assert_eq!(held.release_by(LIMIT), since + LIMIT);
}

/// Guards against a send that is out stopping the clock, and against a release for each look at it.
#[test]
fn release_is_due_once_behind_a_send_in_flight() {
    let mut held = held_since(0);
    assert!(!held.is_due_behind_send(LIMIT - MARGIN - 1, LIMIT, MARGIN));
    assert!(held.is_due_behind_send(LIMIT - MARGIN, LIMIT, MARGIN));
    held.set_released_behind_send();
    assert!(!held.is_due_behind_send(LIMIT, LIMIT, MARGIN));
}

/// Guards against a state that outlives its release since the send had arrived and was given up afterwards.
#[test]
fn send_that_may_have_arrived_restarts_the_hold_limit_after_a_release() {
    let mut held = held_since(0);
    held.set_released_behind_send();
    held.send_ended(AttemptOutcome::TimedOut, 900);
    assert_eq!(held.release_by(LIMIT), 900 + LIMIT);
    assert!(held.is_due_behind_send(900 + LIMIT - MARGIN, LIMIT, MARGIN));
}

/// Guards against a send to a writer for a state that is known to be gone.
#[test]
fn send_that_never_left_ends_the_hold_after_a_release() {
    let mut held = held_since(0);
    held.set_released_behind_send();
    held.send_ended(AttemptOutcome::ConnectFailed, 900);
    assert!(!held.is_held());
}

#[test]
fn connection_gets_half_of_the_remaining_hold_time() {
    assert_eq!(KvStateHold::default().connect_by(100, LIMIT), None);
    assert_eq!(held_since(0).connect_by(100, LIMIT), Some(300));
    assert_eq!(held_since(0).connect_by(600, LIMIT), Some(600));
}
