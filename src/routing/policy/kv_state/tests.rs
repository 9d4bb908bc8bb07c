use super::*;
use rstest::rstest;

const LIMIT: Micros = 500;
const MARGIN: Micros = 100;

fn hold_from(now: Micros) -> KvStateHold {
    let mut hold = KvStateHold::default();
    hold.hold(WorkerId("prefill-worker".into()), now);
    hold
}

/// Guards against a longer hold after a send whose outcome does not prove that it arrived.
#[rstest]
#[case::error(AttemptOutcome::Error, 300)]
#[case::rejected(AttemptOutcome::Rejected, 300)]
#[case::timed_out(AttemptOutcome::TimedOut, 0)]
#[case::connection_lost(AttemptOutcome::ConnectionLost, 0)]
#[case::cancelled(AttemptOutcome::Cancelled, 0)]
#[case::connect_failed(AttemptOutcome::ConnectFailed, 0)]
#[case::not_sent(AttemptOutcome::NotSent, 0)]
fn only_an_answer_restarts_the_hold_limit(
    #[case] outcome: AttemptOutcome,
    #[case] restarted_at: Micros,
) {
    let mut hold = hold_from(0);
    hold.send_ended(outcome, 300);
    assert!(hold.is_held());
    assert_eq!(hold.release_by(LIMIT), restarted_at + LIMIT);
}

/// Guards against a send in flight that stops the hold limit, and against more than one release per send.
#[test]
fn release_is_due_once_during_a_send() {
    let mut hold = hold_from(0);
    assert!(!hold.is_release_due_during_send(LIMIT - MARGIN - 1, LIMIT, MARGIN));
    assert!(hold.is_release_due_during_send(LIMIT - MARGIN, LIMIT, MARGIN));
    hold.set_released_during_send();
    assert!(!hold.is_release_due_during_send(LIMIT, LIMIT, MARGIN));
}

/// Guards against KV state that outlives its release, because the send had arrived and timed out afterwards.
#[test]
fn send_that_may_have_arrived_restarts_the_hold_limit_after_a_release() {
    let mut hold = hold_from(0);
    hold.set_released_during_send();
    hold.send_ended(AttemptOutcome::TimedOut, 900);
    assert_eq!(hold.release_by(LIMIT), 900 + LIMIT);
    assert!(hold.is_release_due_during_send(900 + LIMIT - MARGIN, LIMIT, MARGIN));
}

/// Guards against a send to a decode worker for KV state that is known to be released.
#[test]
fn send_that_never_arrived_ends_the_hold_after_a_release() {
    let mut hold = hold_from(0);
    hold.set_released_during_send();
    hold.send_ended(AttemptOutcome::ConnectFailed, 900);
    assert!(!hold.is_held());
}

#[test]
fn connection_gets_half_of_the_remaining_hold_time() {
    assert_eq!(KvStateHold::default().connect_by(100, LIMIT), None);
    assert_eq!(hold_from(0).connect_by(100, LIMIT), Some(300));
    assert_eq!(hold_from(0).connect_by(600, LIMIT), Some(600));
}
