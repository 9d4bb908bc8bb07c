use super::*;
use rstest::rstest;

const SECOND: Micros = 1_000_000;
const HOUR: Micros = 3_600 * SECOND;
/// The monotonic clock is unrelated to the wall clock.
const NOW: Micros = 500 * SECOND;
const WALL: Micros = 1_800_000_000 * SECOND;

fn host() -> WorkerId {
    WorkerId("prefill-1".into())
}

fn reading(wall: Micros, now: Micros) -> ClockReading {
    ClockReading { wall, now }
}

/// Guards against a host in slow start that is treated as warm, or stays in slow start for an hour, because the wall
/// clock was stepped.
#[rstest]
#[case::correct_clock(WALL + 4 * SECOND, 4 * SECOND)]
#[case::stepped_forward(WALL + HOUR + 4 * SECOND, 0)]
#[case::stepped_back(WALL - HOUR + 4 * SECOND, 0)]
fn a_new_start_is_not_older_than_the_last_message_allows(
    #[case] wall: Micros,
    #[case] expected_age: Micros,
) {
    let mut starts = HostStarts::default();
    starts.note_message(NOW - 2 * SECOND);
    assert_eq!(
        starts.local_start(&host(), WALL, reading(wall, NOW), true),
        NOW - expected_age
    );
}

/// Guards against a start time that moves with the wall clock, so that the host seems to have restarted.
#[test]
fn a_converted_start_stays_fixed() {
    let mut starts = HostStarts::default();
    let first = starts.local_start(&host(), WALL, reading(WALL + SECOND, NOW), false);
    let again = starts.local_start(&host(), WALL, reading(WALL + HOUR, NOW + 9 * SECOND), true);
    assert_eq!(first, again);
    let restarted = starts.local_start(
        &host(),
        WALL + 8 * SECOND,
        reading(WALL + 9 * SECOND, NOW + 9 * SECOND),
        true,
    );
    assert_eq!(restarted, NOW + 8 * SECOND);
}

#[test]
fn an_old_start_in_a_full_list_is_accepted() {
    let mut starts = HostStarts::default();
    assert_eq!(
        starts.local_start(&host(), WALL, reading(WALL + 100 * SECOND, NOW), false),
        NOW - 100 * SECOND
    );
    starts.note_message(NOW);
    let other = WorkerId("decode-1".into());
    assert_eq!(
        starts.local_start(&other, WALL, reading(WALL + 200 * SECOND, NOW), false),
        NOW - 200 * SECOND
    );
}

/// Guards against hosts in slow start that are treated as warm by a process that starts with its clock ahead.
#[rstest]
#[case::correct(0, 4 * SECOND)]
#[case::ahead(HOUR as i64, 4 * SECOND)]
#[case::behind(-(HOUR as i64), 4 * SECOND)]
fn starts_are_read_by_discoverys_clock_if_this_machines_differs(
    #[case] ahead: i64,
    #[case] expected_age: Micros,
) {
    let own_clock = |wall: Micros| wall.wrapping_add_signed(ahead);
    let mut starts = HostStarts::default();
    // Converted before discovery has answered.
    starts.local_start(&host(), WALL, reading(own_clock(WALL + SECOND), NOW), false);
    let has_changed = starts.note_discovery_date(
        WALL + 2 * SECOND,
        reading(own_clock(WALL + 2 * SECOND), NOW + SECOND),
    );
    assert_eq!(has_changed, ahead != 0);
    let now = NOW + 3 * SECOND;
    assert_eq!(
        starts.local_start(
            &host(),
            WALL,
            reading(own_clock(WALL + 4 * SECOND), now),
            false
        ),
        now - expected_age
    );
    assert!(
        !starts.note_discovery_date(
            WALL + 4 * SECOND,
            reading(own_clock(WALL + 4 * SECOND), now)
        ),
        "reported only once"
    );
}
