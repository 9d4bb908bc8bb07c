//! Conductors that share nothing, as real processes with faults between them: what holds, and what does not.

use std::sync::mpsc;
use whinhaven_lab::checker::{Limits, check};
use whinhaven_lab::clients::{Ask, Final};
use whinhaven_lab::fleet::{Fleet, FleetSettings};
use whinhaven_lab::history::STUCK;
use whinhaven_lab::steps::{Hits, Step, strike};

#[test]
fn a_request_with_tool_calls_is_answered_whole_through_all_relays() {
    let fleet = Fleet::start(FleetSettings {
        discovery: true,
        ..FleetSettings::default()
    })
    .unwrap();
    let client = fleet.client();
    for (i, ask) in [Ask::send("order-1", 12, 2), Ask::explain("order-2", 5)]
        .iter()
        .enumerate()
    {
        assert_eq!(
            client.ask(ask, i).answer,
            Some(Final::Text(ask.plan.answer()))
        );
    }
    let (status, text) = client.platform(2, &Ask::explain("order-3", 4));
    assert_eq!(
        (status, text),
        (200, Some(Ask::explain("order-3", 4).plan.answer()))
    );
    assert_eq!(
        fleet.tool.runs().values().copied().collect::<Vec<_>>(),
        [1, 1]
    );
    assert!(fleet.states.held().is_empty());
    let report = check(&fleet.history.records(), &Limits::default());
    assert!(
        report.is_kept() && report.verdict(4).checked == 2,
        "{report}"
    );
}

/// The hole that takeover is to close: conductors that share nothing run a tool twice when one dies with the call out.
#[test]
fn the_checker_sees_the_double_run_after_a_conductor_s_death() {
    let fleet = Fleet::start(FleetSettings::default()).unwrap();
    let kill = fleet.conductor("c1").killer();
    fleet.history.once(
        |r| r.event == "tool.ran" && r.text("call") == "order-1/0",
        move |_| kill(),
    );
    let ended = fleet.client().ask(&Ask::send("order-1", 12, 1), 0);
    assert!(
        matches!(ended.answer, Some(Final::Text(_))) && ended.tries == 2,
        "{ended:?}"
    );
    let report = check(&fleet.history.records(), &Limits::default());
    let what: Vec<&str> = report
        .verdict(4)
        .violations
        .iter()
        .map(|v| v.what.as_str())
        .collect();
    assert_eq!(what, ["tool call order-1/0 ran 2 times"], "{report}");
}

#[test]
fn processes_stop_run_on_come_back_and_leave_nothing_behind() {
    let fleet = Fleet::start(FleetSettings {
        conductors: 1,
        ..FleetSettings::default()
    })
    .unwrap();
    let c1 = fleet.conductor("c1");
    c1.stop();
    let client = fleet.client();
    let (told, tells) = mpsc::channel();
    std::thread::scope(|scope| {
        scope.spawn(|| {
            told.send(client.ask(&Ask::send("order-1", 3, 0), 0))
                .unwrap();
        });
        let sent = |r: &whinhaven_lab::history::Record| r.event == "client.sent";
        fleet.wait_for(0, sent).unwrap();
        assert!(tells.try_recv().is_err());
        c1.cont();
        assert!(matches!(
            tells.recv_timeout(STUCK).unwrap().answer,
            Some(Final::Text(_))
        ));
    });
    assert!(
        c1.terminate()
            .unwrap()
            .is_some_and(|status| status.success())
    );
    assert_eq!(c1.id(), None);
    fleet.restart("c1", true).unwrap();
    assert!(client.ask(&Ask::send("order-2", 3, 0), 0).answer.is_some());
    let folder = fleet.folder().to_owned();
    let pid = c1.id().unwrap();
    drop(fleet);
    assert!(!folder.exists() && !std::path::Path::new(&format!("/proc/{pid}")).exists());
}

/// A conductor dies at each step of a request's life, and the client goes on at another. Every step is hit; without a
/// takeover tools run twice where the call was out.
#[test]
fn a_death_at_each_step_hits_that_step() {
    let fleet = Fleet::start(FleetSettings::default()).unwrap();
    let client = fleet.client();
    let mut hits = Hits::default();
    for step in Step::ALL {
        let name = format!("order-{step:?}");
        let kill = fleet.conductor("c1").killer();
        strike(&fleet.history, step, &name, kill);
        client.ask(&Ask::send(&name, 6, 1), 0);
        if fleet.conductor("c1").id().is_none() {
            hits.hit(step);
            fleet.restart("c1", false).unwrap();
        }
    }
    assert_eq!(hits.missed(), [], "{hits}");
    let runs = fleet.tool.runs();
    let twice = |step: &Step| {
        runs.get(&format!("order-{step:?}/0"))
            .is_some_and(|n| *n > 1)
    };
    // Once a call is out the client may be told of it or not when the conductor dies; before that it can't run twice.
    assert!(
        twice(&Step::ToolRan) && !Step::ALL[..7].iter().any(twice),
        "{runs:?}"
    );
}
