use super::*;
use rstest::rstest;

const LIMIT: Micros = 500_000;
const LATE: Micros = LIMIT + HELD_UP + 1;

fn after_a_read(effect: Idempotency) -> Monitor {
    let mut monitor = Monitor::new(effect);
    monitor.sent(true).unwrap();
    monitor.ended(0, AttemptOutcome::Prefilled, 0);
    monitor
}

#[test]
fn a_second_copy_is_seen() {
    let mut monitor = Monitor::new(Idempotency::Idempotent);
    monitor.sent(true).unwrap();
    assert_eq!(monitor.sent(true), Err(Violation::SecondCopy));
}

#[rstest]
#[case::unknown(
    AttemptOutcome::TimedOut,
    Err(Violation::UnsafeRepeat),
    Err(Violation::UnsafeRefusal)
)]
#[case::says_that_it_read(
    AttemptOutcome::Prefilled,
    Err(Violation::UnsafeRepeat),
    Err(Violation::UnsafeRefusal)
)]
#[case::never_ran(AttemptOutcome::Rejected, Ok(()), Ok(()))]
fn what_may_have_run_is_neither_sent_again_nor_refused(
    #[case] outcome: AttemptOutcome,
    #[case] repeat: Result<(), Violation>,
    #[case] refusal: Result<(), Violation>,
) {
    let mut monitor = after_a_read(Idempotency::NonIdempotent);
    monitor.sent(false).unwrap();
    monitor.ended(1, outcome, 0);
    assert_eq!(monitor.check_refusal(), refusal);
    assert_eq!(monitor.sent(false), repeat);
    assert!(
        Monitor::new(Idempotency::NonIdempotent)
            .check_refusal()
            .is_ok()
    );
}

/// Guards against a monitor that shares the module's mistake: a send that is out says nothing of its arrival.
#[test]
fn what_is_held_behind_a_send_that_is_out_is_seen_once() {
    let mut monitor = after_a_read(Idempotency::Idempotent);
    monitor.sent(false).unwrap();
    assert_eq!(monitor.check_held(LATE - 1, LIMIT), Ok(()));
    assert_eq!(monitor.check_held(LATE, LIMIT), Err(Violation::HeldTooLong));
    assert_eq!(monitor.check_held(2 * LATE, LIMIT), Ok(()));
}

#[rstest]
#[case::answered(AttemptOutcome::Error, true)]
#[case::unanswered(AttemptOutcome::TimedOut, false)]
fn the_time_begins_anew_with_an_answer_alone(#[case] outcome: AttemptOutcome, #[case] anew: bool) {
    let mut monitor = after_a_read(Idempotency::Idempotent);
    monitor.sent(false).unwrap();
    monitor.ended(1, outcome, LIMIT);
    assert_eq!(monitor.check_held(LATE, LIMIT).is_ok(), anew);
}

#[test]
fn a_send_given_up_behind_a_release_may_leave_what_it_had_kept() {
    let mut monitor = after_a_read(Idempotency::Idempotent);
    monitor.sent(false).unwrap();
    monitor.released();
    assert_eq!(monitor.check_held(10 * LATE, LIMIT), Ok(()));
    monitor.ended(1, AttemptOutcome::TimedOut, 10 * LATE);
    assert_eq!(
        monitor.check_held(11 * LATE, LIMIT),
        Err(Violation::HeldTooLong)
    );
}
