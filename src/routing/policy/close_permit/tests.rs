use super::*;
use rstest::rstest;

const UNREAD: ConnectionState = ConnectionState::Resting { has_unread: true };
const RESTING: ConnectionState = ConnectionState::Resting { has_unread: false };

#[rstest]
#[case(CloseCause::Ending, RESTING, None)]
#[case(CloseCause::Ending, UNREAD, Some(CloseDenial::Unread))]
#[case(
    CloseCause::Ending,
    ConnectionState::Arriving,
    Some(CloseDenial::Arriving)
)]
#[case(CloseCause::Ending, ConnectionState::InHand, Some(CloseDenial::InHand))]
#[case(CloseCause::TimeOver, RESTING, None)]
#[case(CloseCause::TimeOver, UNREAD, Some(CloseDenial::Unread))]
#[case(CloseCause::TimeOver, ConnectionState::Arriving, None)]
#[case(
    CloseCause::TimeOver,
    ConnectionState::InHand,
    Some(CloseDenial::InHand)
)]
#[case(CloseCause::ClientGone, ConnectionState::InHand, None)]
#[case(CloseCause::ClientGone, UNREAD, None)]
fn connection_is_closed_only_if_no_request_is_lost(
    #[case] cause: CloseCause,
    #[case] state: ConnectionState,
    #[case] refusal: Option<CloseDenial>,
) {
    assert_eq!(permit_close(cause, state).err(), refusal);
}
