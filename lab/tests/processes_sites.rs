//! The loss of a site, with real conductors: the survivors agree on it, and on each step of its return.

use std::fmt::Write as _;
use whinhaven_lab::clients::{Ask, Final};
use whinhaven_lab::fleet::{Fleet, FleetSettings};
use whinhaven_lab::history::Record;

/// Everything faster than in service, so that a story takes seconds.
const QUICK: &str = "[fleet.view]\nperiod_ms = 200\nprobe_timeout_ms = 70\nreconnect_ms = 500\n\
    [fleet.group]\nelection_us = 500000\nheartbeat_us = 60000\n\
    [fleet.lease]\ngranted_for_ms = 1500\nmargin_ms = 100\noffer_ms = 400\n\
    [takeover]\n\
    [sites.watch]\nfailures = 3\nreached_ms = 300\nlost_after_ms = 600\nhold_down_ms = 900\n\
    [sites.ramp]\nsteps = 3\nstep_ms = 400\nagree_ms = 400\n";

/// Three sites alike, a reader and a writer each, with links between all.
fn tables() -> String {
    let mut text = QUICK.to_owned();
    for site in ["s1", "s2", "s3"] {
        let _ = writeln!(
            text,
            "[[sites.site]]\nname = {site:?}\nconductors = 2\n\
             [[sites.hosts]]\nsite = {site:?}\nkind = \"prompt\"\ncount = 1\nslots = 8\nmemory_tokens = 200000\n\
             tokens_per_s = 18000\ncold_from = 0.5\ncold_s = 1\n\
             [[sites.hosts]]\nsite = {site:?}\nkind = \"answer\"\ncount = 1\nslots = 80\nmemory_tokens = 150000\n\
             token_ms = 50\ncold_from = 0.5\ncold_s = 1\n\
             [[sites.demand]]\nclass = \"explain\"\nsite = {site:?}\nper_s = 4\n\
             [[sites.demand]]\nclass = \"send\"\nsite = {site:?}\nper_s = 2"
        );
    }
    for (a, b) in [("s1", "s2"), ("s2", "s3"), ("s1", "s3")] {
        let _ = writeln!(
            text,
            "[[sites.links]]\nbetween = [{a:?}, {b:?}]\ntokens_per_s = 90000\ndelay_ms = 1.0"
        );
    }
    for class in ["explain", "send"] {
        let _ = writeln!(
            text,
            "[[sites.classes]]\nname = {class:?}\nprompt_tokens = 2000\nkept = 0.5\nkept_moved = 0.3\n\
             answer_tokens = 100"
        );
    }
    text
}

/// The epoch from which on `member` knows that the site stands like this.
fn agreed(fleet: &Fleet, after: usize, member: &str, to: &str) -> u64 {
    let wanted =
        |r: &Record| r.is(member, "site.epoch") && r.text("site") == "s3" && r.text("to") == to;
    fleet
        .wait_for(after, wanted)
        .unwrap()
        .number("epoch")
        .unwrap()
}

/// A site is killed whole: all survivors step by the same numbers, work goes on, and the site comes back by steps.
#[test]
fn survivors_agree_on_a_lost_site_and_on_each_step_of_its_return() {
    let settings = FleetSettings {
        conductors: 6,
        sites: 3,
        voters: 3,
        readers: 3,
        writers: 3,
        more: tables(),
        ..FleetSettings::default()
    };
    let fleet = Fleet::start(settings).unwrap();
    let names = fleet.names();
    fleet
        .wait_for_views(&names.iter().map(String::as_str).collect::<Vec<_>>())
        .unwrap();
    for name in &names {
        fleet.wait_for(0, |r| r.is(name, "site.settled")).unwrap();
    }
    assert_eq!(
        fleet.history.count(|r| r.event == "site.epoch"),
        0,
        "nothing is lost yet"
    );

    let before = fleet.history.len();
    let gone = fleet.site_names("s3");
    gone.iter().for_each(|name| fleet.kill(name).unwrap());
    let survivors: Vec<&String> = names.iter().filter(|n| !gone.contains(n)).collect();
    let epochs: Vec<u64> = survivors
        .iter()
        .map(|name| agreed(&fleet, before, name, "lost"))
        .collect();
    assert!(epochs.iter().all(|e| *e == epochs[0]), "{epochs:?}");
    let ended = fleet.client().ask(&Ask::send("order-1", 6, 1), 0);
    assert!(matches!(ended.answer, Some(Final::Text(_))), "{ended:?}");

    let back = fleet.history.len();
    for name in &gone {
        match fleet.hosts.get(name) {
            Some(host) => host.restart().unwrap(),
            None => drop(fleet.restart(name, false).unwrap()),
        }
    }
    let epochs: Vec<u64> = survivors
        .iter()
        .map(|name| agreed(&fleet, back, name, "sound"))
        .collect();
    assert!(epochs.iter().all(|e| *e == epochs[0]), "{epochs:?}");
    for name in survivors {
        let steps: Vec<u64> = fleet
            .history
            .since(back)
            .iter()
            .filter(|r| r.is(name, "site.epoch") && r.text("to") == "returning")
            .filter_map(|r| r.number("step"))
            .collect();
        assert!(steps.len() > 1 && steps.is_sorted(), "{name}: {steps:?}");
    }
    let runs = fleet.tool.runs();
    assert!(
        runs.get("order-1/0") == Some(&1) && runs.values().all(|n| *n == 1),
        "{runs:?}"
    );
}
