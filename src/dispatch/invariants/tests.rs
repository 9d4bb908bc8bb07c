use super::{InvariantMonitor, InvariantViolation, STALL_ALLOWANCE};
use crate::routing::types::{AttemptOutcome, Idempotency, Micros};
use rstest::rstest;

const LIMIT: Micros = 500_000;
const LATE: Micros = LIMIT + STALL_ALLOWANCE + 1;

fn after_prefill(idempotency: Idempotency) -> InvariantMonitor {
    let mut monitor = InvariantMonitor::new(idempotency);
    monitor.sent(true).unwrap();
    monitor.attempt_completed(0, AttemptOutcome::Prefilled, 0);
    monitor
}

#[test]
fn concurrent_attempt_is_a_violation() {
    let mut monitor = InvariantMonitor::new(Idempotency::Idempotent);
    monitor.sent(true).unwrap();
    assert_eq!(
        monitor.sent(true),
        Err(InvariantViolation::ConcurrentAttempt)
    );
}

#[rstest]
#[case::unknown_outcome(
    AttemptOutcome::TimedOut,
    Err(InvariantViolation::RetryAfterPossibleRun),
    Err(InvariantViolation::RejectionAfterPossibleRun)
)]
#[case::prefill_reported_by_a_decode_worker(
    AttemptOutcome::Prefilled,
    Err(InvariantViolation::RetryAfterPossibleRun),
    Err(InvariantViolation::RejectionAfterPossibleRun)
)]
#[case::did_not_run(AttemptOutcome::Rejected, Ok(()), Ok(()))]
fn request_that_may_have_run_is_neither_retried_nor_rejected(
    #[case] outcome: AttemptOutcome,
    #[case] on_retry: Result<(), InvariantViolation>,
    #[case] on_rejection: Result<(), InvariantViolation>,
) {
    let mut monitor = after_prefill(Idempotency::NonIdempotent);
    monitor.sent(false).unwrap();
    monitor.attempt_completed(1, outcome, 0);
    assert_eq!(monitor.check_rejection(), on_rejection);
    assert_eq!(monitor.sent(false), on_retry);
    assert!(
        InvariantMonitor::new(Idempotency::NonIdempotent)
            .check_rejection()
            .is_ok()
    );
}

/// Guards against a monitor that takes a send in flight as proof of its arrival and so misses the same error in the
/// policy.
#[test]
fn kv_state_held_during_an_unanswered_send_is_reported_once() {
    let mut monitor = after_prefill(Idempotency::Idempotent);
    monitor.sent(false).unwrap();
    assert_eq!(monitor.check_held(LATE - 1, LIMIT), Ok(()));
    assert_eq!(
        monitor.check_held(LATE, LIMIT),
        Err(InvariantViolation::KvStateHeldTooLong)
    );
    assert_eq!(monitor.check_held(2 * LATE, LIMIT), Ok(()));
}

#[rstest]
#[case::answered(AttemptOutcome::Error, true)]
#[case::unanswered(AttemptOutcome::TimedOut, false)]
fn only_an_answer_restarts_the_hold_limit(#[case] outcome: AttemptOutcome, #[case] restarts: bool) {
    let mut monitor = after_prefill(Idempotency::Idempotent);
    monitor.sent(false).unwrap();
    monitor.attempt_completed(1, outcome, LIMIT);
    assert_eq!(monitor.check_held(LATE, LIMIT).is_ok(), restarts);
}

#[test]
fn send_that_times_out_after_a_release_may_leave_kv_state() {
    let mut monitor = after_prefill(Idempotency::Idempotent);
    monitor.sent(false).unwrap();
    monitor.released();
    assert_eq!(monitor.check_held(10 * LATE, LIMIT), Ok(()));
    monitor.attempt_completed(1, AttemptOutcome::TimedOut, 10 * LATE);
    assert_eq!(
        monitor.check_held(11 * LATE, LIMIT),
        Err(InvariantViolation::KvStateHeldTooLong)
    );
}
