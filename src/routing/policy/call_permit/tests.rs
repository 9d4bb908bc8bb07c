use super::*;
use rstest::rstest;

const REASON: ReleaseReason = ReleaseReason::AttemptEnded;

/// Guards against a release that is counted on though an attempt has ended behind it, which may have left something.
#[rstest]
#[case::nothing_has_ended(None, Err(ReleaseInProgress))]
#[case::an_unanswered_attempt(Some(AttemptOutcome::TimedOut), Ok(ReleasePermit { reason: REASON }))]
#[case::a_read(Some(AttemptOutcome::Prefilled), Ok(ReleasePermit { reason: REASON }))]
#[case::what_never_arrived(Some(AttemptOutcome::ConnectFailed), Err(ReleaseInProgress))]
fn second_release_begins_only_after_an_attempt_that_may_have_arrived(
    #[case] ended: Option<AttemptOutcome>,
    #[case] expected: Result<ReleasePermit, ReleaseInProgress>,
) {
    let mut history = ReleaseHistory::default();
    assert!(history.permit(REASON, false).is_ok());
    if let Some(outcome) = ended {
        history.attempt_ended(outcome);
    }
    assert_eq!(history.permit(REASON, true), expected);
}

#[test]
fn completed_release_does_not_cover_the_next() {
    let mut history = ReleaseHistory::default();
    assert!(history.permit(REASON, false).is_ok());
    assert!(history.permit(REASON, false).is_ok());
}

#[rstest]
#[case(CallState::Release { is_active: true }, None)]
#[case(CallState::Release { is_active: false }, Some(CallDenial::ReleaseEnded))]
#[case(CallState::LateRelease, None)]
#[case(CallState::ToolResult { is_streaming: true }, None)]
#[case(CallState::ToolResult { is_streaming: false }, Some(CallDenial::StreamEnded))]
#[case(CallState::ToolCall { may_have_run: false }, None)]
#[case(CallState::ToolCall { may_have_run: true }, Some(CallDenial::MayHaveRun))]
fn call_is_permitted_only_while_its_purpose_is_current(
    #[case] state: CallState,
    #[case] refusal: Option<CallDenial>,
) {
    assert_eq!(permit_call(state).err(), refusal);
}
