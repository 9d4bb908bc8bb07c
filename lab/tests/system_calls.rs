//! Conductors whose system calls fail: real processes with the fault shim, under load.

use rstest::rstest;
use std::io::{Read, Write};
use std::net::TcpStream;
use whinhaven_lab::clients::Ask;
use whinhaven_lab::fleet::{Fleet, FleetSettings};
use whinhaven_lab::history::{Record, STUCK};
use whinhaven_lab::process::{WallClock, fault_shim};
use whinhaven_lab::soak::environment;

const REQUESTS: usize = 60;
const HOUR: i64 = 3_600;
/// Clients that come after SIGTERM: more than are accepted in the 0.7 s for which the listener stays, where every second accept
/// fails and is followed by 20 ms.
const AT_THE_END: usize = 80;

fn fleet(environment: Vec<(&'static str, std::ffi::OsString)>) -> Fleet {
    Fleet::start(FleetSettings {
        conductors: 1,
        environment,
        ..FleetSettings::default()
    })
    .unwrap()
}

/// Asks one after the other, each on a new connection; how many got a whole answer.
fn ask(fleet: &Fleet, prefix: &str) -> usize {
    let client = fleet.client();
    let served = (0..REQUESTS).filter(|number| {
        let class = if number % 2 == 0 { "send" } else { "explain" };
        let ask = Ask {
            class: class.to_owned(),
            ..Ask::send(&format!("{prefix}-{number}"), 5, 0)
        };
        let (status, text) = client.platform(0, &ask);
        status == 200 && text.is_some_and(|text| ask.plan.accepts(&text))
    });
    served.count()
}

/// Ends the conductor in order; a counter that it prints then.
fn end(fleet: &Fleet) -> impl Fn(&str) -> u64 {
    let status = fleet.conductor("c1").terminate().unwrap();
    let records = fleet.history.records();
    let said: Vec<&str> = records
        .iter()
        .rev()
        .take(12)
        .map(|record| record.text("line"))
        .collect();
    assert!(
        status.is_some_and(|status| status.success()),
        "no orderly end: {status:?}, {said:#?}"
    );
    let is_last = |record: &&Record| record.text("line").contains("stopped; counters:");
    let line = records
        .iter()
        .rev()
        .find(is_last)
        .expect("the counters")
        .text("line")
        .to_owned();
    move |name| {
        let found = line
            .split(' ')
            .find_map(|part| part.strip_prefix(name)?.strip_prefix('='));
        found
            .and_then(|number| number.parse().ok())
            .unwrap_or_else(|| panic!("no counter {name}"))
    }
}

/// The rule watched: a request is never lost nor refused for an accept that fails for a moment, also at the end.
#[rstest]
#[case::aborted(libc::ECONNABORTED, true)]
#[case::protocol(libc::EPROTO, true)]
#[case::interrupted(libc::EINTR, true)]
#[case::host_unreachable(libc::EHOSTUNREACH, true)]
#[case::network_unreachable(libc::ENETUNREACH, true)]
#[case::descriptors_of_the_system(libc::ENFILE, false)]
#[case::descriptors_of_the_process(libc::EMFILE, false)]
#[case::buffers(libc::ENOBUFS, false)]
#[case::memory(libc::ENOMEM, false)]
fn clients_are_served_though_accepts_fail(#[case] number: i32, #[case] is_of_one: bool) {
    let fleet = fleet(environment(&format!("accept4:{number}:2")));
    assert_eq!(ask(&fleet, "a"), REQUESTS);
    let counter = end(&fleet);
    let (of_one, local) = (counter("accepts_of_one_failed"), counter("accepts_failed"));
    // The runtime itself repeats what was interrupted.
    assert!(
        number == libc::EINTR || (of_one > 0) == is_of_one && (local > 0) != is_of_one,
        "{of_one} {local}"
    );
}

/// The rule watched: a request written to a connection that this machine has taken is answered, also at the end.
#[rstest]
#[case::aborted(libc::ECONNABORTED)]
#[case::descriptors_of_the_system(libc::ENFILE)]
#[case::buffers(libc::ENOBUFS)]
fn what_waits_at_the_end_is_answered_though_accepts_fail(#[case] number: i32) {
    let fleet = fleet(environment(&format!("accept4:{number}:2")));
    let records = fleet.history.records();
    let served = records
        .iter()
        .find_map(|r| r.text("line").split_once(" serves on "))
        .expect("an address");
    let address = served.1.split(',').next().unwrap().to_owned();
    let before = fleet.history.len();
    fleet.conductor("c1").begin_to_terminate();
    fleet
        .wait_for(before, |record| record.text("line").contains("stopping:"))
        .unwrap();
    // More than it accepts before its listener goes, where each failed accept is followed by a pause.
    let asked: Vec<TcpStream> = (0..AT_THE_END).map(|_| ask_for_health(&address)).collect();
    for mut client in asked {
        let mut answer = String::new();
        client.read_to_string(&mut answer).expect("no reset");
        assert!(answer.starts_with("HTTP/1.1 "), "{answer:?}");
    }
    let counter = end(&fleet);
    assert!(counter("accepts_failed") + counter("accepts_of_one_failed") > 0);
}

/// Writes a request on a new connection.
fn ask_for_health(address: &str) -> TcpStream {
    let mut client = TcpStream::connect(address).unwrap();
    client.set_read_timeout(Some(STUCK)).unwrap();
    client
        .write_all(b"GET /healthz HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n")
        .unwrap();
    client
}

/// The rule watched: what this machine is short of for a moment is no failure of a host, and costs no request.
#[rstest]
#[case::no_port(libc::EADDRNOTAVAIL)]
#[case::network_unreachable(libc::ENETUNREACH)]
#[case::buffers(libc::ENOBUFS)]
#[case::descriptors_of_the_system(libc::ENFILE)]
#[case::interrupted(libc::EINTR)]
fn requests_are_served_though_connects_fail_here(#[case] number: i32) {
    let fleet = fleet(environment(&format!("connect:{number}:2")));
    assert_eq!(ask(&fleet, "a"), REQUESTS);
    let counter = end(&fleet);
    assert!(counter("connects_repeated") > 0);
    assert_eq!(
        (
            counter("ended_no_connection"),
            counter("connects_failed_locally")
        ),
        (0, 0)
    );
}

/// The rule watched: a host that can't be reached costs a try, not a request.
#[rstest]
#[case::timed_out(libc::ETIMEDOUT)]
#[case::unreachable(libc::EHOSTUNREACH)]
#[case::refused(libc::ECONNREFUSED)]
fn requests_are_served_though_some_connects_to_hosts_fail(#[case] number: i32) {
    let fleet = fleet(environment(&format!("connect:{number}:3")));
    assert_eq!(ask(&fleet, "a"), REQUESTS);
    assert!(end(&fleet)("ended_no_connection") > 0);
}

/// The rule watched: calls that are interrupted, or that move a part of the bytes, change nothing.
#[rstest]
#[case::short_reads("recv:short:2".to_owned())]
#[case::short_writes("writev:short:2".to_owned())]
#[case::interrupted_reads(format!("recv:{}:3", libc::EINTR))]
#[case::interrupted_writes(format!("writev:{}:3", libc::EINTR))]
#[case::interrupted_waits(format!("epoll_wait:{}:3", libc::EINTR))]
fn requests_are_served_whole_though_calls_are_cut_short(#[case] faults: String) {
    let fleet = fleet(environment(&faults));
    assert_eq!(ask(&fleet, "a"), REQUESTS);
    let counter = end(&fleet);
    let broken = [
        "ended_lost",
        "ended_no_connection",
        "streams_broken",
        "clients_left",
        "bad_requests",
    ];
    assert_eq!(broken.map(&counter), [0; 5]);
}

/// The rule watched: what discovery tells is taken in at once, however its bytes come.
#[rstest]
#[case::short("recv:short:2".to_owned())]
#[case::interrupted(format!("recv:{}:3", libc::EINTR))]
fn lists_are_followed_though_reads_are_cut_short(#[case] faults: String) {
    let (conductors, environment) = (1, environment(&faults));
    let of = FleetSettings {
        conductors,
        environment,
        discovery: true,
        ..FleetSettings::default()
    };
    let fleet = Fleet::start(of).unwrap();
    let changes = [("draining", "is Draining"), ("ready", "is Ready")].repeat(8);
    let begun = fleet.history.len();
    for (health, told) in &changes {
        let before = fleet.history.len();
        fleet.discovery.set_health("writer-1", health);
        let is_told =
            |r: &Record| r.text("line").contains(told) || r.text("message").contains(told);
        fleet.wait_for(before, is_told).unwrap();
    }
    // What is left unread until more comes is read at the next empty line.
    let beats = fleet
        .history
        .since(begun)
        .iter()
        .filter(|r| r.event == "list.beat")
        .count();
    assert!(beats < changes.len() / 4, "{beats} empty lines");
    assert_eq!(end(&fleet)("watches_lost"), 0);
}

/// The rule watched: a connection that breaks, however it shows, breaks no rule; most requests are served. A stream takes
/// some ten writes, one of which may fail towards its client; the rate has no common factor with that, so that all of them do.
#[rstest]
#[case::timed_out("recv", libc::ETIMEDOUT, 15)]
#[case::unreachable("recv", libc::EHOSTUNREACH, 15)]
#[case::reset("recv", libc::ECONNRESET, 15)]
#[case::pipe("writev", libc::EPIPE, 37)]
#[case::timed_out_in_a_write("writev", libc::ETIMEDOUT, 37)]
#[case::no_buffers("writev", libc::ENOBUFS, 37)]
fn rules_are_kept_though_connections_break(
    #[case] call: &str,
    #[case] number: i32,
    #[case] every: u32,
) {
    let fleet = fleet(environment(&format!("{call}:{number}:{every}")));
    assert!(ask(&fleet, "a") > REQUESTS / 2);
    let counter = end(&fleet);
    assert_eq!((counter("violations"), counter("panics")), (0, 0));
    let struck = [
        "ended_lost",
        "ended_dropped",
        "streams_broken",
        "clients_left",
        "ended_no_connection",
    ];
    assert!(
        struck.map(&counter).iter().sum::<u64>() > 0,
        "a fault struck"
    );
}

/// A conductor whose wall clock can be stepped.
fn fleet_with_clock(settings: FleetSettings) -> (Fleet, WallClock) {
    let clock = WallClock::new().unwrap();
    let environment = vec![("LD_PRELOAD", fault_shim().into()), clock.variable()];
    (
        Fleet::start(FleetSettings {
            conductors: 1,
            environment,
            ..settings
        })
        .unwrap(),
        clock,
    )
}

/// The rule watched: deadlines, waits and graces are spans of the monotonic clock.
#[rstest]
fn a_step_of_the_wall_clock_changes_nothing(#[values(HOUR, -HOUR)] step: i64) {
    let (fleet, clock) = fleet_with_clock(FleetSettings::default());
    assert_eq!(ask(&fleet, "before"), REQUESTS);
    clock.step(step).unwrap();
    assert_eq!(ask(&fleet, "after"), REQUESTS);
    // A host that starts anew now, by a clock that was not stepped.
    let restarted = fleet.hosts.keys().next().unwrap();
    fleet.hosts[restarted].restart().unwrap();
    assert_eq!(ask(&fleet, "restarted"), REQUESTS);
    fleet.conductor("c1").begin_to_terminate();
    let counter = end(&fleet);
    assert_eq!(
        (
            counter("violations"),
            counter("panics"),
            counter("answered_refused")
        ),
        (0, 0, 0)
    );
    assert!(fleet.wait_for_release().is_ok());
}

/// The rule watched: what was taken is answered after SIGTERM, whatever the wall clock does meanwhile.
#[rstest]
fn a_step_of_the_wall_clock_after_sigterm_cuts_no_answer_off(#[values(HOUR, -HOUR)] step: i64) {
    let (fleet, clock) = fleet_with_clock(FleetSettings::default());
    let client = fleet.client();
    let slow = Ask {
        class: "send".to_owned(),
        ..Ask::send("slow", 40, 0)
    };
    std::thread::scope(|scope| {
        let before = fleet.history.len();
        let asked = scope.spawn(|| client.platform(0, &slow));
        fleet
            .wait_for(before, |record| record.event == "run.first")
            .unwrap();
        fleet.conductor("c1").begin_to_terminate();
        fleet
            .wait_for(before, |record| record.text("line").contains("stopping:"))
            .unwrap();
        clock.step(step).unwrap();
        let (status, text) = asked.join().unwrap();
        assert!(status == 200 && text.is_some_and(|text| slow.plan.accepts(&text)));
    });
    let counter = end(&fleet);
    assert_eq!((counter("violations"), counter("panics")), (0, 0));
}

/// The rule watched: nothing new goes to a host that drains, whatever the wall clock does meanwhile.
#[rstest]
fn a_step_of_the_wall_clock_sends_nothing_to_a_draining_host(#[values(HOUR, -HOUR)] step: i64) {
    let settings = FleetSettings {
        discovery: true,
        ..FleetSettings::default()
    };
    let (fleet, clock) = fleet_with_clock(settings);
    assert_eq!(ask(&fleet, "before"), REQUESTS);
    let drained = fleet.history.len();
    fleet.discovery.set_health("writer-1", "draining");
    let is_told = |r: &Record| r.source == "c1" && r.text("line").contains("is Draining");
    fleet.wait_for(drained, is_told).unwrap();
    clock.step(step).unwrap();
    let stepped = fleet.history.len();
    assert_eq!(ask(&fleet, "after"), REQUESTS);
    let records = fleet.history.since(stepped);
    let begins = |r: &&Record| r.event == "run.begun" && r.source == "host/writer-1";
    assert_eq!(records.iter().filter(begins).count(), 0);
    assert!(records.iter().any(|r| r.event == "run.begun"));
    assert_eq!(end(&fleet)("violations"), 0);
}

/// The rule watched: a process that starts with its clock an hour off serves, and tells the operators.
#[rstest]
fn a_process_that_starts_with_its_wall_clock_off_serves(#[values(HOUR, -HOUR)] step: i64) {
    let settings = FleetSettings {
        discovery: true,
        ..FleetSettings::default()
    };
    let (fleet, clock) = fleet_with_clock(settings);
    clock.step(step).unwrap();
    let before = fleet.history.len();
    fleet.conductor("c1").terminate().unwrap();
    fleet.conductor("c1").start().unwrap();
    fleet
        .wait_for(before, |record| {
            record.text("line").contains("ahead of discovery's")
        })
        .unwrap();
    assert_eq!(ask(&fleet, "a"), REQUESTS);
    assert_eq!(end(&fleet)("violations"), 0);
}
