use super::*;
use rstest::rstest;

const SECOND: Micros = 1_000_000;
const HOUR: Micros = 3_600 * SECOND;
/// The monotonic clock has nothing to do with the wall's.
const NOW: Micros = 500 * SECOND;
const WALL: Micros = 1_800_000_000 * SECOND;

fn host() -> WorkerId {
    WorkerId("reader".into())
}

fn reading(wall: Micros, now: Micros) -> ClockReading {
    ClockReading { wall, now }
}

/// Guards against a host in slow start that is taken for a warm one, or stays in slow start for an hour, since the wall
/// clock was stepped.
#[rstest]
#[case::in_step(WALL + 4 * SECOND, 4 * SECOND)]
#[case::stepped_forward(WALL + HOUR + 4 * SECOND, 0)]
#[case::stepped_back(WALL - HOUR + 4 * SECOND, 0)]
fn a_start_that_is_news_is_never_older_than_its_news(#[case] wall: Micros, #[case] age: Micros) {
    let mut starts = HostStarts::default();
    starts.told(NOW - 2 * SECOND);
    assert_eq!(
        starts.judge(&host(), WALL, reading(wall, NOW), true),
        NOW - age
    );
}

/// Guards against a start that moves with the wall clock: the host would seem to have started anew.
#[test]
fn a_start_once_judged_stays() {
    let mut starts = HostStarts::default();
    let first = starts.judge(&host(), WALL, reading(WALL + SECOND, NOW), false);
    let again = starts.judge(&host(), WALL, reading(WALL + HOUR, NOW + 9 * SECOND), true);
    assert_eq!(first, again);
    let reborn = starts.judge(
        &host(),
        WALL + 8 * SECOND,
        reading(WALL + 9 * SECOND, NOW + 9 * SECOND),
        true,
    );
    assert_eq!(reborn, NOW + 8 * SECOND);
}

#[test]
fn in_a_first_list_an_old_start_is_believed() {
    let mut starts = HostStarts::default();
    assert_eq!(
        starts.judge(&host(), WALL, reading(WALL + 100 * SECOND, NOW), false),
        NOW - 100 * SECOND
    );
    starts.told(NOW);
    let other = WorkerId("writer".into());
    assert_eq!(
        starts.judge(&other, WALL, reading(WALL + 200 * SECOND, NOW), false),
        NOW - 200 * SECOND
    );
}

/// Guards against hosts in slow start that are taken for warm ones by a process that starts with its clock ahead.
#[rstest]
#[case::right(0, 4 * SECOND)]
#[case::ahead(HOUR as i64, 4 * SECOND)]
#[case::behind(-(HOUR as i64), 4 * SECOND)]
fn discoverys_clock_counts_where_this_machines_differs(#[case] ahead: i64, #[case] age: Micros) {
    let own = |wall: Micros| wall.wrapping_add_signed(ahead);
    let mut starts = HostStarts::default();
    // Read before discovery could be asked.
    starts.judge(&host(), WALL, reading(own(WALL + SECOND), NOW), false);
    let differs = starts.note_discovery_date(
        WALL + 2 * SECOND,
        reading(own(WALL + 2 * SECOND), NOW + SECOND),
    );
    assert_eq!(differs, ahead != 0);
    let now = NOW + 3 * SECOND;
    assert_eq!(
        starts.judge(&host(), WALL, reading(own(WALL + 4 * SECOND), now), false),
        now - age
    );
    assert!(
        !starts.note_discovery_date(WALL + 4 * SECOND, reading(own(WALL + 4 * SECOND), now)),
        "told once"
    );
}
