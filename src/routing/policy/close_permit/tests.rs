use super::*;
use rstest::rstest;

const IDLE_WITH_UNREAD_BYTES: ConnectionState = ConnectionState::Idle {
    has_unread_bytes: true,
};
const IDLE: ConnectionState = ConnectionState::Idle {
    has_unread_bytes: false,
};

#[rstest]
#[case(CloseCause::ShuttingDown, IDLE, None)]
#[case(
    CloseCause::ShuttingDown,
    IDLE_WITH_UNREAD_BYTES,
    Some(CloseDenial::UnreadBytes)
)]
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
#[case(CloseCause::TimedOut, IDLE, None)]
#[case(
    CloseCause::TimedOut,
    IDLE_WITH_UNREAD_BYTES,
    Some(CloseDenial::UnreadBytes)
)]
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
#[case(CloseCause::ClientDisconnected, IDLE_WITH_UNREAD_BYTES, None)]
#[case(CloseCause::ResponseUnread, ConnectionState::AwaitingResponse, None)]
fn connection_with_a_live_client_is_closed_only_if_no_request_is_lost(
    #[case] cause: CloseCause,
    #[case] state: ConnectionState,
    #[case] denial: Option<CloseDenial>,
) {
    assert_eq!(permit_close(cause, state).err(), denial);
}
