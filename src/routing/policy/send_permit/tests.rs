use super::*;
use rstest::rstest;

const SEND_BY: Micros = 100;

/// Guards against writing an attempt whose conditions have changed while its connection was being
/// established.
#[rstest]
#[case::in_time(SEND_BY - 1, true, false, Ok(()))]
#[case::late(SEND_BY, true, false, Err(SendDenial::MayHaveRun))]
#[case::draining(0, false, false, Err(SendDenial::NotInService))]
#[case::disconnected(0, true, true, Err(SendDenial::ClientDisconnected))]
fn check_before_the_write_denies_outdated_sends(
    #[case] now: Micros,
    #[case] is_in_service: bool,
    #[case] is_client_disconnected: bool,
    #[case] expected: Result<(), SendDenial>,
) {
    let permit = SendPermit {
        send_by: Some(SEND_BY),
        connect_by: None,
        is_prefill: false,
    };
    assert_eq!(
        permit
            .check_write(WriteState {
                now,
                is_in_service,
                is_client_disconnected
            })
            .map(drop),
        expected
    );
}
