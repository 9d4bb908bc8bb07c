use super::*;
use rstest::rstest;

const REASON: ReleaseReason = ReleaseReason::AttemptEnded;

/// Guards against relying on a release in progress after a later attempt has ended, which may have left KV
/// state.
#[rstest]
#[case::no_attempt_ended(None, Err(ReleaseInProgress))]
#[case::unanswered_attempt(Some(AttemptOutcome::TimedOut), Ok(ReleasePermit { reason: REASON }))]
#[case::prefill(Some(AttemptOutcome::Prefilled), Ok(ReleasePermit { reason: REASON }))]
#[case::attempt_that_never_arrived(Some(AttemptOutcome::ConnectFailed), Err(ReleaseInProgress))]
fn second_release_starts_only_after_an_attempt_that_may_have_arrived(
    #[case] ended_attempt: Option<AttemptOutcome>,
    #[case] expected: Result<ReleasePermit, ReleaseInProgress>,
) {
    let mut history = ReleaseHistory::default();
    assert!(history.permit(REASON, false).is_ok());
    if let Some(outcome) = ended_attempt {
        history.attempt_ended(outcome);
    }
    assert_eq!(history.permit(REASON, true), expected);
}

#[test]
fn release_may_start_when_none_is_in_progress() {
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
#[case(CallState::ToolCall { may_have_run: false, is_wanted: true }, None)]
#[case(CallState::ToolCall { may_have_run: false, is_wanted: false }, Some(CallDenial::StreamEnded))]
#[case(CallState::ToolCall { may_have_run: true, is_wanted: true }, Some(CallDenial::MayHaveRun))]
#[case(CallState::ToolCall { may_have_run: true, is_wanted: false }, Some(CallDenial::MayHaveRun))]
fn call_is_denied_once_it_is_no_longer_needed_or_may_have_run(
    #[case] state: CallState,
    #[case] denial: Option<CallDenial>,
) {
    assert_eq!(permit_call(state).err(), denial);
}
