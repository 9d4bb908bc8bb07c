use super::*;

fn worker(name: &str) -> WorkerId {
    WorkerId(name.into())
}

fn host_in_one_zone(name: &str) -> (WorkerId, String) {
    (worker(name), "here".into())
}

/// Guards against a release that tries only hosts of a zone that has just been partitioned off, because all recently
/// reached hosts are there.
#[test]
fn zones_alternate_among_hosts_that_are_not_unreachable() {
    let start = Instant::now();
    let mut reachability = Reachability::default();
    for (i, name) in ["a1", "a2", "a3", "b1"].iter().enumerate() {
        reachability.note_connected(
            &worker(name),
            start + Duration::from_millis(900 - 100 * i as u64),
        );
    }
    reachability.mark_unreachable(&worker("c1"), start);
    let candidates =
        ["c1", "a1", "a2", "a3", "b1", "b2", "d1"].map(|name| (worker(name), name[..1].to_owned()));
    let order = reachability.order(candidates.to_vec(), start + Duration::from_secs(1));
    assert_eq!(
        order,
        ["a1", "b1", "d1", "a2", "b2", "a3", "c1"].map(worker)
    );
}

#[test]
fn recently_reached_hosts_come_first_and_unreachable_ones_last() {
    let start = Instant::now();
    let mut reachability = Reachability::default();
    reachability.mark_unreachable(&worker("unreachable-1"), start);
    reachability.note_connected(&worker("old"), start);
    reachability.note_connected(&worker("recent"), start + Duration::from_millis(400));
    reachability.note_connected(&worker("unreachable-2"), start);
    reachability.mark_unreachable(&worker("unreachable-2"), start + Duration::from_millis(300));
    let now = start + Duration::from_millis(500);
    let candidates = [
        "unreachable-1",
        "unreachable-2",
        "unknown-1",
        "old",
        "unknown-2",
        "recent",
    ];
    let order = reachability.order(candidates.map(host_in_one_zone).to_vec(), now);
    assert_eq!(
        order,
        [
            "recent",
            "old",
            "unknown-1",
            "unknown-2",
            "unreachable-1",
            "unreachable-2"
        ]
        .map(worker)
    );
}

#[test]
fn a_host_reached_again_ranks_first_and_old_observations_are_removed() {
    let start = Instant::now();
    let mut reachability = Reachability::default();
    reachability.mark_unreachable(&worker("a"), start);
    reachability.note_connected(&worker("a"), start + Duration::from_secs(1));
    assert_eq!(
        reachability.order(
            vec![host_in_one_zone("b"), host_in_one_zone("a")],
            start + Duration::from_secs(2)
        ),
        [worker("a"), worker("b")]
    );
    reachability.evict_old(start + ENTRY_TTL + Duration::from_secs(2));
    assert!(reachability.is_empty());
    assert_eq!(
        reachability.order(
            vec![host_in_one_zone("b"), host_in_one_zone("a")],
            start + ENTRY_TTL * 2
        ),
        [worker("b"), worker("a")]
    );
}

/// Guards against many simultaneous releases that all go to the host that was reached last.
#[test]
fn simultaneous_calls_spread_over_recently_reached_hosts() {
    let start = Instant::now();
    let mut reachability = Reachability::default();
    reachability.note_connected(&worker("old"), start);
    let now = start + Duration::from_secs(2);
    for name in ["a", "b", "c"] {
        reachability.note_connected(&worker(name), now);
    }
    let candidates = ["a", "b", "c", "old", "unknown"]
        .map(host_in_one_zone)
        .to_vec();
    let first_hosts =
        (0..3).map(|offset| reachability.order_spread(candidates.clone(), now, offset)[0].clone());
    assert_eq!(
        first_hosts.collect::<std::collections::BTreeSet<_>>().len(),
        3
    );
    for offset in 0..3 {
        assert_eq!(
            reachability.order_spread(candidates.clone(), now, offset)[3..],
            ["old", "unknown"].map(worker)
        );
    }
    assert!(
        !reachability.answered_since(&worker("a"), start),
        "opening a connection does not count as a response"
    );
    reachability.note_response(&worker("a"), now);
    assert!(reachability.answered_since(&worker("a"), start));
}
