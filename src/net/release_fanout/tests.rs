use super::*;
use crate::net::reachability::Reachability;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

/// Time that the platform allows beyond the configured release time, at the end of which the release is ordered.
const SLACK: Duration = Duration::from_millis(300);
/// Time until a call to a running host is written, connection handshake included.
const CALL_TIME: Duration = Duration::from_millis(5);
/// The platform's connect time-out, after which connecting to a silent host fails.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);

/// How a host reacts to a call.
#[derive(Clone, Copy, Debug, PartialEq)]
enum HostBehaviour {
    Responsive,
    /// The process has died: new connections are refused.
    Refusing,
    /// The machine does not respond: connecting times out after `CONNECT_TIMEOUT`.
    Silent,
    /// The call is written to an idle connection that looks open, and is never answered.
    SilentWithIdleConnection,
}

/// Simulates the calls of a release; returns the time until the first one reaches a running host.
fn time_to_running_host(
    hosts: &[(WorkerId, String, HostBehaviour)],
    reachability: &Reachability,
    start: Instant,
) -> Option<Duration> {
    let behaviour = |worker: &WorkerId| {
        hosts
            .iter()
            .find(|(host, ..)| host == worker)
            .map(|(.., behaviour)| *behaviour)
    };
    let listed: Vec<_> = hosts
        .iter()
        .map(|(worker, zone, _)| (worker.clone(), zone.clone()))
        .collect();
    let mut fanout = ReleaseFanout::new(start);
    let mut failure_times: Vec<Instant> = Vec::new();
    let mut now = start;
    while now < start + Duration::from_secs(5) {
        for worker in fanout.next_wave(now, &reachability.order(listed.clone(), now), |_, _| false)
        {
            match behaviour(&worker)? {
                HostBehaviour::Responsive => return Some(now + CALL_TIME - start),
                HostBehaviour::Refusing => failure_times.push(now + Duration::from_millis(1)),
                HostBehaviour::Silent => failure_times.push(now + CONNECT_TIMEOUT),
                HostBehaviour::SilentWithIdleConnection => {}
            }
        }
        failure_times.sort();
        let failed_at = failure_times
            .first()
            .copied()
            .filter(|at| *at <= fanout.next_wave_at());
        now = failed_at.unwrap_or(fanout.next_wave_at());
        if failed_at.is_some() {
            failure_times.remove(0);
            fanout.note_failure(now);
        }
    }
    None
}

/// Hosts in three zones, one of which is partitioned off; a fifth of the others are silent or dead. When a host was
/// last reached is independent of its state.
fn host_lists() -> impl Strategy<Value = Vec<(WorkerId, String, HostBehaviour, Option<u64>)>> {
    let host = (0..10u8, any::<bool>(), prop::option::of(0..5_000u64));
    (proptest::collection::vec(host, 6..100), 0..3usize).prop_map(|(hosts, cut_off_zone)| {
        let host = |(i, (state_draw, has_idle_connection, reached_ago_ms)): (
            usize,
            (u8, bool, Option<u64>),
        )| {
            let behaviour = match state_draw {
                _ if i % 3 == cut_off_zone => {
                    if has_idle_connection {
                        HostBehaviour::SilentWithIdleConnection
                    } else {
                        HostBehaviour::Silent
                    }
                }
                0 => HostBehaviour::SilentWithIdleConnection,
                1 => HostBehaviour::Refusing,
                _ => HostBehaviour::Responsive,
            };
            (
                WorkerId(format!("host-{i}").into()),
                format!("zone-{}", i % 3),
                behaviour,
                reached_ago_ms,
            )
        };
        hosts.into_iter().enumerate().map(host).collect()
    })
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 500, rng_seed: RngSeed::Fixed(29), failure_persistence: None, ..ProptestConfig::default() })]

    /// Guards against KV state that is held past its limit because all hosts that were called in turn were silent.
    #[test]
    fn a_call_reaches_a_running_host_within_the_slack(hosts_with_history in host_lists()) {
        let start = Instant::now() + Duration::from_secs(60);
        let mut reachability = Reachability::default();
        for (worker, _, _, reached_ago_ms) in &hosts_with_history {
            if let Some(ago) = reached_ago_ms {
                reachability.note_connected(worker, start - Duration::from_millis(*ago));
            }
        }
        let hosts: Vec<_> = hosts_with_history
            .into_iter()
            .map(|(worker, zone, behaviour, _)| (worker, zone, behaviour))
            .collect();
        if hosts.iter().any(|(.., behaviour)| *behaviour == HostBehaviour::Responsive) {
            let elapsed = time_to_running_host(&hosts, &reachability, start);
            prop_assert!(elapsed.is_some_and(|duration| duration < SLACK), "{elapsed:?}");
        }
    }
}

fn never_answered(_: &WorkerId, _: Instant) -> bool {
    false
}

fn worker_ids(count: usize) -> Vec<WorkerId> {
    (0..count).map(|i| WorkerId(i.to_string().into())).collect()
}

/// Guards against normal releases that are sent to every host of a large installation.
#[test]
fn first_wave_is_one_host_and_later_waves_are_delayed_and_grow() {
    let (start, hosts) = (Instant::now(), worker_ids(40));
    let mut fanout = ReleaseFanout::new(start);
    let mut widths = Vec::new();
    for _ in 0..6 {
        let now = fanout.next_wave_at();
        widths.push(fanout.next_wave(now, &hosts, never_answered).len());
        assert!(
            fanout.next_wave(now, &hosts, never_answered).is_empty(),
            "no further host before the delay has passed"
        );
        assert_eq!(fanout.next_wave_at(), now + HEDGE_DELAY);
    }
    assert_eq!(widths, [1, 2, 4, 8, 8, 8]);
}

/// Guards against a busy loop over hosts that all refuse connections, and against rounds that stop.
#[test]
fn rounds_over_refusing_hosts_slow_down_and_do_not_stop() {
    let (start, hosts) = (Instant::now(), worker_ids(3));
    let mut fanout = ReleaseFanout::new(start);
    let (mut first_host_calls, mut calls) = (Vec::new(), 0);
    while fanout.next_wave_at() < start + Duration::from_secs(10) {
        let now = fanout.next_wave_at();
        let next_wave = fanout.next_wave(now, &hosts, never_answered);
        calls += next_wave.len();
        next_wave.iter().for_each(|_| fanout.note_failure(now));
        first_host_calls.extend(next_wave.contains(&hosts[0]).then_some(now));
    }
    assert!(
        first_host_calls
            .last()
            .is_some_and(|at| *at > start + Duration::from_secs(9))
    );
    assert!((60..200).contains(&calls), "{calls}");
}

/// Guards against a full delay after a wave of which every call has failed.
#[test]
fn next_wave_is_brought_forward_when_all_calls_have_failed() {
    let (start, hosts) = (Instant::now(), worker_ids(9));
    let mut fanout = ReleaseFanout::new(start);
    fanout.next_wave(start, &hosts, never_answered);
    fanout.note_failure(start);
    assert_eq!(fanout.next_wave_at(), start + DELAY_AFTER_FAILURE);
    assert_eq!(
        fanout
            .next_wave(fanout.next_wave_at(), &hosts, never_answered)
            .len(),
        2
    );
    let next_wave_at = fanout.next_wave_at();
    fanout.note_failure(start);
    assert_eq!(
        fanout.next_wave_at(),
        next_wave_at,
        "one of two calls is still open"
    );
}

/// Guards against a flood of calls when many releases are in progress and hosts respond, and against a wave to silent
/// hosts while another host is known to run.
#[test]
fn a_host_that_answered_since_the_last_wave_is_the_only_one_called() {
    let (start, hosts) = (Instant::now(), worker_ids(40));
    let mut fanout = ReleaseFanout::new(start);
    fanout.next_wave(start, &hosts, never_answered);
    let second = fanout.next_wave_at();
    assert_eq!(
        fanout.next_wave(second, &hosts, |host, since| since == start
            && *host == hosts[30]),
        [hosts[30].clone()]
    );
    let third = fanout.next_wave_at();
    assert_eq!(
        fanout
            .next_wave(third, &hosts, |host, since| since < second
                && *host == hosts[31])
            .len(),
        2,
        "an answer before the last wave does not count"
    );
}

/// Guards against a flood of calls by a process that has stalled and takes its own delay for silence of the hosts.
#[test]
fn a_late_wave_is_deferred_once() {
    let (start, hosts) = (Instant::now(), worker_ids(40));
    let mut fanout = ReleaseFanout::new(start);
    fanout.next_wave(start, &hosts, never_answered);
    let late_now = fanout.next_wave_at() + Duration::from_millis(100);
    assert!(
        fanout
            .next_wave(late_now, &hosts, never_answered)
            .is_empty()
    );
    let second_late_now = fanout.next_wave_at() + Duration::from_millis(100);
    assert_eq!(
        fanout
            .next_wave(second_late_now, &hosts, never_answered)
            .len(),
        2,
        "the wave is deferred only once"
    );
}
