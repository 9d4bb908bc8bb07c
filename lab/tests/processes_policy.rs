//! Changes of policy, with real conductors under load: refused by one, with one killed or cut off, with the proposer or
//! the leader killed at each step. Promise 5, by the checker.

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::process::{Command, Output};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use whinhaven_lab::checker::{Limits, check};
use whinhaven_lab::clients::Load;
use whinhaven_lab::fleet::{Fleet, FleetSettings, SETTINGS};
use whinhaven_lab::history::{Record, STUCK};
use whinhaven_lab::process::program;

/// Everything faster than in service, so that a round takes seconds.
const QUICK: &str = "[fleet.view]\nperiod_ms = 200\nprobe_timeout_ms = 70\nreconnect_ms = 500\n\
    [fleet.group]\nelection_us = 500000\nheartbeat_us = 60000\n\
    [fleet.lease]\ngranted_for_ms = 1500\nmargin_ms = 100\noffer_ms = 400\n\
    [takeover]\n[policy]\n";

/// What a change is struck at.
const STEPS: [&str; 3] = ["policy.proposed", "policy.closing", "policy.epoch"];

fn start(seed: u64) -> Fleet {
    let settings = FleetSettings {
        voters: 3,
        seed,
        more: QUICK.to_owned(),
        ..FleetSettings::default()
    };
    let fleet = Fleet::start(settings).unwrap();
    settled(&fleet);
    fleet
}

/// Waits until all see each other and hold the same epoch.
fn settled(fleet: &Fleet) {
    let names = fleet.names();
    fleet
        .wait_for_views(&names.iter().map(String::as_str).collect::<Vec<_>>())
        .unwrap();
    let agreed = fleet.history.wait_until(STUCK, |records| {
        let last = |name: &String| {
            let of = |event: &str| records.iter().rposition(|r| r.is(name, event));
            let (began, gained) = (of("fleet.start")?, of("life.gained")?);
            let epoch = &records[of("policy.epoch").filter(|at| *at > began && gained > began)?];
            Some((epoch.number("epoch")?, epoch.text("digest").to_owned()))
        };
        let held: Option<Vec<_>> = names.iter().map(last).collect();
        held.filter(|held| held.windows(2).all(|two| two[0] == two[1]))
            .map(|_| ())
    });
    if agreed.is_none() {
        let of_note = |r: &&Record| {
            ["fleet", "life", "fault", "policy"]
                .iter()
                .any(|part| r.event.starts_with(part))
                && r.event != "policy.begin"
        };
        let records = fleet.history.records();
        let last: Vec<String> = records
            .iter()
            .filter(of_note)
            .map(|r| format!("{} {} {:?}", r.source, r.event, r.fields))
            .collect();
        panic!(
            "no agreement: {}",
            last[last.len().saturating_sub(60)..].join("\n")
        );
    }
}

/// Proposes the lab's settings with a change, by way of a conductor: whether it is in force, and what was said.
fn propose(fleet: &Fleet, by: &str, part: &str, changed: &str) -> (bool, String) {
    let new = fleet.folder().join("new.toml");
    assert!(SETTINGS.contains(part));
    std::fs::write(&new, SETTINGS.replace(part, changed)).unwrap();
    let mut command = Command::new(program());
    let done = command
        .args(["policy", "propose"])
        .arg(&new)
        .arg(fleet.file(by))
        .output()
        .unwrap();
    let Output {
        status,
        stdout,
        stderr,
    } = done;
    (
        status.success(),
        String::from_utf8_lossy(&[stdout, stderr].concat()).into_owned(),
    )
}

fn worth(fleet: &Fleet, by: &str, worth: u64) -> (bool, String) {
    propose(fleet, by, "value = 2.0", &format!("value = {worth}.5"))
}

fn begun(record: &Record, epoch: u64) -> bool {
    record.event == "policy.begin" && record.number("epoch") == Some(epoch)
}

fn end(fleet: Fleet, load: Load) {
    let counts = load.stop();
    assert_eq!(counts.wrong.load(Ordering::Relaxed), 0, "{counts:?}");
    let report = check(&fleet.history.records(), &Limits::default());
    if !report.is_kept() || report.verdict(5).checked == 0 {
        let kept =
            std::env::temp_dir().join(format!("whinhaven-broken-{}.jsonl", std::process::id()));
        fleet.history.save(&kept).unwrap();
        panic!("{report}history: {}", kept.display());
    }
    println!("{counts:?}\n{report}");
}

/// The main job, and a conductor's no: everywhere, then nowhere, under load and with no request refused for it.
#[test]
fn everywhere_or_with_one_no_nowhere() {
    let fleet = start(1);
    let load = Load::start(&fleet.client(), 6, 40.0, 1);
    fleet.wait_for(0, |r| begun(r, 1)).unwrap();
    let (done, said) = worth(&fleet, "c2", 3);
    assert!(
        done && said.contains("epoch 2 in force at 3 of 3"),
        "{said}"
    );
    assert!(said.contains("classes[1].value: 2.0 -> 3.5"), "{said}");
    for name in fleet.names() {
        fleet
            .wait_for(0, |r| r.source == name && begun(r, 2))
            .unwrap();
    }
    let (done, said) = propose(
        &fleet,
        "c1",
        "cold_from = 0.3",
        "cold_from = 0.3\nnewer = 1",
    );
    assert!(
        !done && said.contains("refuses: rules.newer: this router knows no such field"),
        "{said}"
    );
    let refused = fleet.history.count(|r| r.event == "client.refused");
    assert_eq!(refused, 0, "requests refused");
    end(fleet, load);
}

/// With one killed and, after its return, one cut off: in force once its life has run out; both come back to it.
#[test]
fn those_that_are_down_or_cut_off_come_back_to_the_epoch_in_force() {
    let fleet = start(2);
    let load = Load::start(&fleet.client(), 6, 40.0, 2);
    fleet.wait_for(0, |r| begun(r, 1)).unwrap();
    fleet.conductor("c3").kill();
    let (done, said) = worth(&fleet, "c1", 3);
    assert!(
        done && said.contains("epoch 2 in force at 2 of 2"),
        "{said}"
    );
    fleet.restart("c3", false).unwrap();
    settled(&fleet);
    fleet
        .wait_for(0, |r| r.source == "c3" && begun(r, 2))
        .unwrap();
    fleet.isolate("c2");
    let (done, said) = worth(&fleet, "c1", 4);
    assert!(
        done && said.contains("epoch 3 in force at 2 of 2"),
        "{said}"
    );
    fleet.network.heal();
    settled(&fleet);
    fleet
        .wait_for(0, |r| r.source == "c2" && begun(r, 3))
        .unwrap();
    end(fleet, load);
}

/// The proposer, the leader or another is killed or stopped at each step, by seed. `WHINHAVEN_ROUNDS` for more,
/// `WHINHAVEN_SEED` for others.
#[test]
fn rounds_by_seed() {
    let number = |name: &str, or: u64| {
        std::env::var(name)
            .ok()
            .and_then(|n| n.parse().ok())
            .unwrap_or(or)
    };
    let (rounds, seed) = (number("WHINHAVEN_ROUNDS", 6), number("WHINHAVEN_SEED", 1));
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let fleet = start(seed);
    let load = Load::start(&fleet.client(), 6, 30.0, seed);
    let (mut in_force, mut hits) = (0, 0);
    for round in 0..rounds {
        let step = STEPS[(round % 3) as usize];
        let names = fleet.names();
        let leader = fleet.leader().unwrap();
        let victim = if random.random() {
            leader
        } else {
            names[random.random_range(0..3usize)].clone()
        };
        let by = names[random.random_range(0..3usize)].clone();
        let (from, kills) = (fleet.history.len(), random.random_bool(0.6));
        let conductor = fleet.conductor(&victim);
        let (kill, stop) = (conductor.killer(), conductor.stopper());
        let struck = victim.clone();
        // A step that this round does not come to must not be struck in a later one.
        let armed = Arc::new(AtomicBool::new(true));
        let trigger = armed.clone();
        let fault = move |_: &Record| match (trigger.swap(false, Ordering::Relaxed), kills) {
            (true, true) => kill(),
            (true, false) => stop(),
            (false, _) => {}
        };
        fleet
            .history
            .once(move |r| r.order > from as u64 && r.is(&struck, step), fault);
        let (done, said) = worth(&fleet, &by, 10 + round);
        hits += u64::from(!armed.swap(false, Ordering::Relaxed));
        in_force += u64::from(done);
        assert!(
            done || said.contains("nowhere: "),
            "seed {seed} round {round} {step} at {victim}: {said}"
        );
        if kills {
            fleet.restart(&victim, false).unwrap();
        } else {
            conductor.cont();
        }
        settled(&fleet);
    }
    println!("seed {seed}, {rounds} rounds: {in_force} in force, {hits} struck");
    assert!(hits > 0, "no fault came to its step");
    end(fleet, load);
}
