use super::*;

fn host() -> WorkerId {
    WorkerId("prefill-1".into())
}

fn round(requests: &[&str]) -> Option<ReleaseRound> {
    let requests = requests.iter().map(|id| (*id).to_owned()).collect();
    Some(ReleaseRound {
        worker: host(),
        requests,
    })
}

/// Guards against endless calls to hosts that are only slow.
#[test]
fn a_host_that_answers_the_first_call_is_called_once() {
    let start = Instant::now();
    let mut late_arrivals = LateArrivals::default();
    late_arrivals.note_abandoned(&host(), "a".into(), start);
    late_arrivals.note_abandoned(&host(), "b".into(), start);
    assert_eq!(late_arrivals.next_round(start), round(&["b"]));
    assert_eq!(late_arrivals.next_round(start), None, "one call at a time");
    late_arrivals.note_answered(&host(), start);
    assert_eq!(late_arrivals.next_call_at(), None);
}

/// Guards against KV state that a late prefill leaves for good, also if the prefill runs while the first release
/// arrives.
#[test]
fn requests_of_an_unresponsive_host_are_released_twice_once_it_answers() {
    let start = Instant::now();
    let mut late_arrivals = LateArrivals::default();
    late_arrivals.note_abandoned(&host(), "a".into(), start);
    late_arrivals.next_round(start);
    late_arrivals.note_unanswered(&host(), start + LATE_CALL_TIMEOUT);
    late_arrivals.note_abandoned(&host(), "b".into(), start + LATE_CALL_TIMEOUT);
    let mut now = late_arrivals.next_call_at().unwrap();
    assert_eq!(late_arrivals.next_round(now), round(&["b"]));
    late_arrivals.note_answered(&host(), now);
    assert_eq!(late_arrivals.next_round(now), round(&["b", "a"]));
    late_arrivals.note_answered(&host(), now);
    assert_eq!(late_arrivals.next_round(now), None);
    now = late_arrivals.next_call_at().unwrap();
    assert_eq!(late_arrivals.next_round(now), round(&["b", "a"]));
    late_arrivals.note_answered(&host(), now);
    assert_eq!(late_arrivals.next_call_at(), None);
}

/// Guards against a missing second round for a host that stops responding again after it had recovered.
#[test]
fn a_host_that_stops_responding_again_starts_over() {
    let start = Instant::now();
    let mut late_arrivals = LateArrivals::default();
    late_arrivals.note_abandoned(&host(), "a".into(), start);
    late_arrivals.next_round(start);
    late_arrivals.note_unanswered(&host(), start);
    late_arrivals.next_round(late_arrivals.next_call_at().unwrap());
    late_arrivals.note_answered(&host(), start);
    late_arrivals.next_round(late_arrivals.next_call_at().unwrap());
    late_arrivals.note_unanswered(&host(), start);
    late_arrivals.next_round(late_arrivals.next_call_at().unwrap());
    late_arrivals.note_answered(&host(), start);
    assert_eq!(
        late_arrivals.next_round(late_arrivals.next_call_at().unwrap()),
        round(&["a"])
    );
    assert!(
        !late_arrivals.hosts.is_empty(),
        "the second round is still to come"
    );
}

/// Guards against unbounded memory for a host that never recovers.
#[test]
fn requests_are_bounded_and_expire() {
    let start = Instant::now();
    let mut late_arrivals = LateArrivals::default();
    for number in 0..2 * MAX_REQUESTS_PER_HOST {
        late_arrivals.note_abandoned(&host(), number.to_string(), start);
    }
    assert_eq!(
        late_arrivals.hosts[&host()].requests.len(),
        MAX_REQUESTS_PER_HOST
    );
    assert_eq!(late_arrivals.next_round(start + REQUEST_TTL), None);
    assert!(late_arrivals.hosts.is_empty());
}

#[test]
fn a_host_that_is_gone_is_not_called() {
    let start = Instant::now();
    let mut late_arrivals = LateArrivals::default();
    late_arrivals.note_abandoned(&host(), "a".into(), start);
    late_arrivals.next_round(start);
    late_arrivals.note_gone(&host());
    assert_eq!(late_arrivals.next_call_at(), None);
}
