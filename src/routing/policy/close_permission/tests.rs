use super::*;
use rstest::rstest;

const UNREAD: ConnectionState = ConnectionState::Resting { has_unread: true };
const RESTING: ConnectionState = ConnectionState::Resting { has_unread: false };

#[rstest]
#[case(CloseCause::Ending, RESTING, None)]
#[case(CloseCause::Ending, UNREAD, Some(CloseRefusal::Unread))]
#[case(
    CloseCause::Ending,
    ConnectionState::Arriving,
    Some(CloseRefusal::Arriving)
)]
#[case(
    CloseCause::Ending,
    ConnectionState::InHand,
    Some(CloseRefusal::InHand)
)]
#[case(CloseCause::TimeOver, RESTING, None)]
#[case(CloseCause::TimeOver, UNREAD, Some(CloseRefusal::Unread))]
#[case(CloseCause::TimeOver, ConnectionState::Arriving, None)]
#[case(
    CloseCause::TimeOver,
    ConnectionState::InHand,
    Some(CloseRefusal::InHand)
)]
#[case(CloseCause::ClientGone, ConnectionState::InHand, None)]
#[case(CloseCause::ClientGone, UNREAD, None)]
fn a_connection_is_closed_only_where_no_request_is_lost(
    #[case] cause: CloseCause,
    #[case] state: ConnectionState,
    #[case] refusal: Option<CloseRefusal>,
) {
    assert_eq!(permit_close(cause, state).err(), refusal);
}
