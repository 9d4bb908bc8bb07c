use super::*;
use crate::net::reachability::Reachability;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

/// What the platform allows beyond the settings' time: the module orders a release before those have passed.
const SLACK: Duration = Duration::from_millis(300);
/// A call that is written to a host that runs, its connection's handshake included.
const REACHES: Duration = Duration::from_millis(5);
/// A connection to a host that is silent fails after the platform's time-out.
const CONNECT: Duration = Duration::from_millis(250);

/// How a host meets a call.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Host {
    Runs,
    /// New connections are refused: its process has died.
    Refuses,
    /// New connections never come up.
    Silent,
    /// A kept connection looks alive, and nothing comes of what is written to it.
    SilentKept,
}

/// When the first call reaches a host that runs, in a simulation of the calls' ends.
fn reached(
    hosts: &[(WorkerId, String, Host)],
    reach: &Reachability,
    start: Instant,
) -> Option<Duration> {
    let kind = |w: &WorkerId| hosts.iter().find(|(h, ..)| h == w).map(|(.., kind)| *kind);
    let listed: Vec<_> = hosts
        .iter()
        .map(|(w, zone, _)| (w.clone(), zone.clone()))
        .collect();
    let mut fanout = ReleaseFanout::new(start);
    let mut failing: Vec<Instant> = Vec::new();
    let mut now = start;
    while now < start + Duration::from_secs(5) {
        for worker in fanout.wave(now, &reach.order(listed.clone(), now), |_, _| false) {
            match kind(&worker)? {
                Host::Runs => return Some(now + REACHES - start),
                Host::Refuses => failing.push(now + Duration::from_millis(1)),
                Host::Silent => failing.push(now + CONNECT),
                Host::SilentKept => {}
            }
        }
        failing.sort();
        let failed = failing.first().copied().filter(|at| *at <= fanout.due());
        now = failed.unwrap_or(fanout.due());
        if failed.is_some() {
            failing.remove(0);
            fanout.failed(now);
        }
    }
    None
}

/// Three zones of hosts, of which one is cut off and a fifth of the others are silent or dead; what was heard of each
/// before says nothing of it.
fn fleets() -> impl Strategy<Value = Vec<(WorkerId, String, Host, Option<u64>)>> {
    let host = (0..10u8, any::<bool>(), prop::option::of(0..5_000u64));
    (proptest::collection::vec(host, 6..100), 0..3usize).prop_map(|(all, cut)| {
        let host = |(i, (draw, kept, heard)): (usize, (u8, bool, Option<u64>))| {
            let kind = match draw {
                _ if i % 3 == cut => {
                    if kept {
                        Host::SilentKept
                    } else {
                        Host::Silent
                    }
                }
                0 => Host::SilentKept,
                1 => Host::Refuses,
                _ => Host::Runs,
            };
            (
                WorkerId(format!("host-{i}").into()),
                format!("zone-{}", i % 3),
                kind,
                heard,
            )
        };
        all.into_iter().enumerate().map(host).collect()
    })
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 500, rng_seed: RngSeed::Fixed(29), failure_persistence: None, ..ProptestConfig::default() })]

    /// Guards against a state held past its time since the hosts that were asked one after the other were all silent.
    #[test]
    fn a_call_reaches_a_host_that_runs_within_the_slack(fleet in fleets()) {
        let start = Instant::now() + Duration::from_secs(60);
        let mut reach = Reachability::default();
        for (worker, _, _, heard) in &fleet {
            if let Some(ago) = heard {
                reach.reached(worker, start - Duration::from_millis(*ago));
            }
        }
        let hosts: Vec<_> = fleet.into_iter().map(|(w, zone, kind, _)| (w, zone, kind)).collect();
        if hosts.iter().any(|(.., kind)| *kind == Host::Runs) {
            let after = reached(&hosts, &reach, start);
            prop_assert!(after.is_some_and(|t| t < SLACK), "{after:?}");
        }
    }
}

/// No host has answered.
fn nobody(_: &WorkerId, _: Instant) -> bool {
    false
}

fn names(n: usize) -> Vec<WorkerId> {
    (0..n).map(|i| WorkerId(i.to_string().into())).collect()
}

/// Guards against a release that every host of a large fleet hears of on an ordinary day.
#[test]
fn the_first_wave_is_one_host_and_the_next_ones_come_after_a_pause_and_grow() {
    let (start, hosts) = (Instant::now(), names(40));
    let mut fanout = ReleaseFanout::new(start);
    let mut widths = Vec::new();
    for _ in 0..6 {
        let now = fanout.due();
        widths.push(fanout.wave(now, &hosts, nobody).len());
        assert!(
            fanout.wave(now, &hosts, nobody).is_empty(),
            "nobody further before the pause is over"
        );
        assert_eq!(fanout.due(), now + HEDGE_DELAY);
    }
    assert_eq!(widths, [1, 2, 4, 8, 8, 8]);
}

/// Guards against a busy loop over hosts that all refuse, and against a round that never comes again.
#[test]
fn rounds_over_hosts_that_all_refuse_come_more_seldom_and_do_not_end() {
    let (start, hosts) = (Instant::now(), names(3));
    let mut fanout = ReleaseFanout::new(start);
    let (mut asked, mut calls) = (Vec::new(), 0);
    while fanout.due() < start + Duration::from_secs(10) {
        let now = fanout.due();
        let wave = fanout.wave(now, &hosts, nobody);
        calls += wave.len();
        wave.iter().for_each(|_| fanout.failed(now));
        asked.extend(wave.contains(&hosts[0]).then_some(now));
    }
    assert!(
        asked
            .last()
            .is_some_and(|at| *at > start + Duration::from_secs(9))
    );
    assert!((60..200).contains(&calls), "{calls}");
}

/// Guards against a wave that waits though nobody of it can answer any more.
#[test]
fn a_wave_that_has_failed_whole_is_followed_at_once() {
    let (start, hosts) = (Instant::now(), names(9));
    let mut fanout = ReleaseFanout::new(start);
    fanout.wave(start, &hosts, nobody);
    fanout.failed(start);
    assert_eq!(fanout.due(), start + AFTER_FAILURE);
    assert_eq!(fanout.wave(fanout.due(), &hosts, nobody).len(), 2);
    let due = fanout.due();
    fanout.failed(start);
    assert_eq!(fanout.due(), due, "one of two is still open");
}

/// Guards against a storm of calls where many releases are under way and hosts answer, and against a wave of hosts that
/// are silent where one is known to run.
#[test]
fn a_host_that_has_answered_since_the_last_wave_is_asked_alone() {
    let (start, hosts) = (Instant::now(), names(40));
    let mut fanout = ReleaseFanout::new(start);
    fanout.wave(start, &hosts, nobody);
    let second = fanout.due();
    assert_eq!(
        fanout.wave(second, &hosts, |h, since| since == start && *h == hosts[30]),
        [hosts[30].clone()]
    );
    let third = fanout.due();
    assert_eq!(
        fanout
            .wave(third, &hosts, |h, since| since < second && *h == hosts[31])
            .len(),
        2,
        "not since"
    );
}

/// The same for a process that comes late to its own waves.
#[test]
fn a_wave_that_comes_late_is_put_off_once() {
    let (start, hosts) = (Instant::now(), names(40));
    let mut fanout = ReleaseFanout::new(start);
    fanout.wave(start, &hosts, nobody);
    let late = fanout.due() + Duration::from_millis(100);
    assert!(fanout.wave(late, &hosts, nobody).is_empty());
    let later = fanout.due() + Duration::from_millis(100);
    assert_eq!(
        fanout.wave(later, &hosts, nobody).len(),
        2,
        "put off once only"
    );
}
