use super::*;

fn host() -> WorkerId {
    WorkerId("reader".into())
}

fn round(requests: &[&str]) -> Option<Round> {
    let requests = requests.iter().map(|r| (*r).to_owned()).collect();
    Some(Round {
        worker: host(),
        requests,
    })
}

/// Guards against calls without end to hosts that are only slow.
#[test]
fn a_host_that_answers_at_once_is_asked_once() {
    let start = Instant::now();
    let mut late = LateArrivals::default();
    late.abandoned(&host(), "a".into(), start);
    late.abandoned(&host(), "b".into(), start);
    assert_eq!(late.next(start), round(&["b"]));
    assert_eq!(late.next(start), None, "one call at a time");
    late.answered(&host(), start);
    assert_eq!(late.due(), None);
}

/// Guards against a state that a late read leaves for good, and one that is read while it is released.
#[test]
fn what_a_silent_host_may_have_got_is_released_twice_once_it_answers() {
    let start = Instant::now();
    let mut late = LateArrivals::default();
    late.abandoned(&host(), "a".into(), start);
    late.next(start);
    late.unanswered(&host(), start + LATE_CALL_TIMEOUT);
    late.abandoned(&host(), "b".into(), start + LATE_CALL_TIMEOUT);
    let mut now = late.due().unwrap();
    assert_eq!(late.next(now), round(&["b"]));
    late.answered(&host(), now);
    assert_eq!(late.next(now), round(&["b", "a"]));
    late.answered(&host(), now);
    assert_eq!(late.next(now), None);
    now = late.due().unwrap();
    assert_eq!(late.next(now), round(&["b", "a"]));
    late.answered(&host(), now);
    assert_eq!(late.due(), None);
}

/// Guards against a host that falls silent again before its second round.
#[test]
fn a_host_that_falls_silent_again_begins_anew() {
    let start = Instant::now();
    let mut late = LateArrivals::default();
    late.abandoned(&host(), "a".into(), start);
    late.next(start);
    late.unanswered(&host(), start);
    late.next(late.due().unwrap());
    late.answered(&host(), start);
    late.next(late.due().unwrap());
    late.unanswered(&host(), start);
    late.next(late.due().unwrap());
    late.answered(&host(), start);
    assert_eq!(late.next(late.due().unwrap()), round(&["a"]));
    assert!(!late.hosts.is_empty(), "it has the second round ahead");
}

/// Guards against memory that grows with a host that never comes back.
#[test]
fn requests_are_bounded_and_forgotten() {
    let start = Instant::now();
    let mut late = LateArrivals::default();
    for number in 0..2 * MOST_REQUESTS {
        late.abandoned(&host(), number.to_string(), start);
    }
    assert_eq!(late.hosts[&host()].requests.len(), MOST_REQUESTS);
    assert_eq!(late.next(start + REMEMBER), None);
    assert!(late.hosts.is_empty());
}

#[test]
fn a_host_that_is_gone_is_not_asked() {
    let start = Instant::now();
    let mut late = LateArrivals::default();
    late.abandoned(&host(), "a".into(), start);
    late.next(start);
    late.gone(&host());
    assert_eq!(late.due(), None);
}
