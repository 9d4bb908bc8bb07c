use super::*;

fn w(name: &str) -> WorkerId {
    WorkerId(name.into())
}

fn here(name: &str) -> (WorkerId, String) {
    (w(name), "here".into())
}

/// Guards against a release that asks only hosts of a zone that has just been cut off, since all that was heard
/// lately came from there.
#[test]
fn zones_take_turns_among_hosts_that_have_not_failed() {
    let start = Instant::now();
    let mut reach = Reachability::default();
    for (i, name) in ["a1", "a2", "a3", "b1"].iter().enumerate() {
        reach.reached(
            &w(name),
            start + Duration::from_millis(900 - 100 * i as u64),
        );
    }
    reach.unreached(&w("c1"), start);
    let given = ["c1", "a1", "a2", "a3", "b1", "b2", "d1"].map(|n| (w(n), n[..1].to_owned()));
    let order = reach.order(given.to_vec(), start + Duration::from_secs(1));
    assert_eq!(order, ["a1", "b1", "d1", "a2", "b2", "a3", "c1"].map(w));
}

#[test]
fn hosts_just_heard_from_go_first_and_silent_ones_last() {
    let start = Instant::now();
    let mut reach = Reachability::default();
    reach.unreached(&w("cut-1"), start);
    reach.reached(&w("old"), start);
    reach.reached(&w("holder"), start + Duration::from_millis(400));
    reach.reached(&w("cut-2"), start);
    reach.unreached(&w("cut-2"), start + Duration::from_millis(300));
    let now = start + Duration::from_millis(500);
    let given = ["cut-1", "cut-2", "unknown-1", "old", "unknown-2", "holder"];
    let order = reach.order(given.map(here).to_vec(), now);
    assert_eq!(
        order,
        ["holder", "old", "unknown-1", "unknown-2", "cut-1", "cut-2"].map(w)
    );
}

#[test]
fn a_host_that_comes_up_again_is_trusted_again_and_old_news_is_forgotten() {
    let start = Instant::now();
    let mut reach = Reachability::default();
    reach.unreached(&w("a"), start);
    reach.reached(&w("a"), start + Duration::from_secs(1));
    assert_eq!(
        reach.order(vec![here("b"), here("a")], start + Duration::from_secs(2)),
        [w("a"), w("b")]
    );
    reach.forget_old(start + REMEMBER + Duration::from_secs(2));
    assert!(reach.is_empty());
    assert_eq!(
        reach.order(vec![here("b"), here("a")], start + REMEMBER * 2),
        [w("b"), w("a")]
    );
}

/// Guards against many releases of one moment that all ask the one host that answered last.
#[test]
fn calls_of_one_moment_spread_over_the_hosts_just_reached() {
    let start = Instant::now();
    let mut reach = Reachability::default();
    reach.reached(&w("old"), start);
    let now = start + Duration::from_secs(2);
    for name in ["a", "b", "c"] {
        reach.reached(&w(name), now);
    }
    let given = ["a", "b", "c", "old", "unknown"].map(here).to_vec();
    let firsts = (0..3).map(|spread| reach.order_spread(given.clone(), now, spread)[0].clone());
    assert_eq!(firsts.collect::<std::collections::BTreeSet<_>>().len(), 3);
    for spread in 0..3 {
        assert_eq!(
            reach.order_spread(given.clone(), now, spread)[3..],
            ["old", "unknown"].map(w)
        );
    }
    assert!(
        !reach.answered_since(&w("a"), start),
        "a connection that came up is no answer"
    );
    reach.heard(&w("a"), now);
    assert!(reach.answered_since(&w("a"), start));
}
