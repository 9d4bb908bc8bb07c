use super::*;
use rstest::rstest;

const UNREAD: ConnectionState = ConnectionState::Idle {
    has_unread_bytes: true,
};
const RESTING: ConnectionState = ConnectionState::Idle {
    has_unread_bytes: false,
};

#[rstest]
#[case(CloseCause::ShuttingDown, RESTING, None)]
#[case(CloseCause::ShuttingDown, UNREAD, Some(CloseDenial::UnreadBytes))]
#[case(
    CloseCause::ShuttingDown,
    ConnectionState::ReceivingRequest,
    Some(CloseDenial::ReceivingRequest)
)]
#[case(
    CloseCause::ShuttingDown,
    ConnectionState::AwaitingResponse,
    Some(CloseDenial::AwaitingResponse)
)]
#[case(CloseCause::TimedOut, RESTING, None)]
#[case(CloseCause::TimedOut, UNREAD, Some(CloseDenial::UnreadBytes))]
#[case(CloseCause::TimedOut, ConnectionState::ReceivingRequest, None)]
#[case(
    CloseCause::TimedOut,
    ConnectionState::AwaitingResponse,
    Some(CloseDenial::AwaitingResponse)
)]
#[case(
    CloseCause::ClientDisconnected,
    ConnectionState::AwaitingResponse,
    None
)]
#[case(CloseCause::ClientDisconnected, UNREAD, None)]
fn connection_is_closed_only_if_no_request_is_lost(
    #[case] cause: CloseCause,
    #[case] state: ConnectionState,
    #[case] refusal: Option<CloseDenial>,
) {
    assert_eq!(permit_close(cause, state).err(), refusal);
}
