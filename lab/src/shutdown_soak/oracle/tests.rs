//! The oracle on records made by hand.

use super::*;
use rstest::rstest;
use std::io::ErrorKind;

const MS: u64 = 1;

/// A request whose last byte came, and that ended, so many milliseconds after SIGTERM.
fn request(last_byte: u64, ending: Ending, ended: u64, origin: Instant) -> RequestRecord {
    let at = |ms: u64| origin + Duration::from_millis(ms);
    RequestRecord {
        mark: "1-0".to_owned(),
        is_unsafe: true,
        connect_begun: Some(at(last_byte.saturating_sub(MS))),
        first_byte: at(last_byte.saturating_sub(MS)),
        last_byte: at(last_byte),
        ending,
        ended: at(ended),
    }
}

fn evidence(origin: Instant, decode_workers_reached: usize) -> Evidence {
    let forward = Forward {
        mark: "1-0".to_owned(),
        at: origin,
        is_decode: true,
    };
    Evidence {
        terminated: origin,
        killed: origin + Duration::from_millis(3_700),
        forwards: vec![forward; decode_workers_reached],
        has_crowd: false,
        is_started_late: false,
        failed_exit: None,
    }
}

#[rstest]
#[case::late_and_cut(701, Ending::BrokeOff, 3_701, 1, Some(Rule::LateAndCut))]
#[case::late_unanswered(701, Ending::NoAnswer, 3_701, 0, Some(Rule::LateAndUnanswered))]
#[case::in_time_and_cut(699, Ending::NoAnswer, 3_701, 1, None)]
#[case::late_and_rejected(1_500, Ending::Answered { status: 503 }, 1_501, 0, None)]
#[case::late_and_served(1_500, Ending::Answered { status: 200 }, 3_000, 1, None)]
#[case::rejected_after_run(100, Ending::Answered { status: 503 }, 300, 1, Some(Rule::RejectedAfterRun))]
#[case::run_twice(100, Ending::Answered { status: 200 }, 300, 2, Some(Rule::RunTwice))]
#[case::broken_off(100, Ending::BrokeOff, 300, 1, Some(Rule::BrokenOff))]
#[case::closed_when_forwarded(500, Ending::NoAnswer, 510, 1, Some(Rule::ForwardedWithoutAnswer))]
#[case::closed_when_taken(500, Ending::NoAnswer, 800, 0, Some(Rule::TakenWithoutAnswer))]
#[case::crossed(500, Ending::NoAnswer, 510, 0, None)]
#[case::refused(
    200,
    Ending::NotConnected(ErrorKind::ConnectionRefused),
    201,
    0,
    Some(Rule::ConnectionRefused)
)]
#[case::refused_late(402, Ending::NotConnected(ErrorKind::ConnectionRefused), 403, 0, None)]
fn each_rule_is_held_against_what_clients_and_hosts_saw(
    #[case] last_byte: u64,
    #[case] ending: Ending,
    #[case] ended: u64,
    #[case] decode_workers_reached: usize,
    #[case] expected: Option<Rule>,
) {
    let origin = Instant::now();
    let record = request(last_byte, ending, ended, origin);
    let evidence = evidence(origin, decode_workers_reached);
    assert_eq!(broken_rule(&record, &evidence), expected);
    assert_eq!(judge(&[record], &evidence).is_kept(), expected.is_none());
}
