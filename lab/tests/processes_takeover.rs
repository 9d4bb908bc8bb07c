//! Work in hand, with real conductors: killed or stopped at each step of a request's life, and its client comes again at
//! another one. Promise 4, by the checker; the tool side keeps no keys.

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::sync::{Arc, Mutex};
use whinhaven_lab::checker::{Limits, check};
use whinhaven_lab::clients::{Ask, Final, Tried};
use whinhaven_lab::fleet::{Fleet, FleetSettings};
use whinhaven_lab::steps::{Hits, Step, strike};

/// Everything faster than in service, so that a round takes seconds.
const QUICK: &str = "[fleet.view]\nperiod_ms = 200\nprobe_timeout_ms = 70\nreconnect_ms = 500\n\
    [fleet.group]\nelection_us = 500000\nheartbeat_us = 60000\n\
    [fleet.lease]\ngranted_for_ms = 1500\nmargin_ms = 100\noffer_ms = 400\n\
    [takeover]\n";

fn start(conductors: usize, seed: u64) -> Fleet {
    let settings =
        FleetSettings { conductors, voters: 3, seed, more: QUICK.to_owned(), ..FleetSettings::default() };
    let fleet = Fleet::start(settings).unwrap();
    settled(&fleet);
    fleet
}

fn settled(fleet: &Fleet) {
    let names = fleet.names();
    let names: Vec<&str> = names.iter().map(String::as_str).collect();
    fleet.wait_for_views(&names).unwrap();
}

fn end(fleet: Fleet) {
    let records = fleet.history.records();
    let report = check(&records, &Limits::default());
    if !report.is_kept() || report.verdict(4).checked == 0 {
        let kept = std::env::temp_dir().join(format!("whinhaven-broken-{}.jsonl", std::process::id()));
        fleet.history.save(&kept).unwrap();
        panic!("{report}history: {}", kept.display());
    }
}

/// The main job: killed with a tool call out, its client goes on elsewhere, and the tool has run once.
#[test]
fn a_conductor_dies_with_a_tool_call_out_and_the_answer_goes_on_elsewhere() {
    let fleet = start(3, 1);
    let kill = fleet.conductor("c1").killer();
    strike(&fleet.history, Step::ToolRan, "order-1", kill);
    let ask = Ask::send("order-1", 12, 2);
    let ended = fleet.client().ask(&ask, 0);
    assert!(matches!(ended.answer, Some(Final::Text(_))) && ended.tries > 1, "{ended:?}");
    assert_eq!(fleet.tool.runs().get("order-1/0"), Some(&1));
    // The same final answer wherever it asks.
    for at in [1, 2] {
        let again = fleet.client().ask_again(&ask, at);
        assert_eq!(Some(again), ended.answer.clone().map(Tried::Final));
    }
    end(fleet);
}

/// One conductor after the other dies at each step of a request's life.
#[test]
fn a_death_at_each_step_leaves_one_answer_and_no_second_run() {
    let fleet = start(3, 2);
    let client = fleet.client();
    let mut hits = Hits::default();
    for (i, step) in Step::ALL.into_iter().enumerate() {
        let (name, victim) = (format!("order-{step:?}"), format!("c{}", i % 3 + 1));
        strike(&fleet.history, step, &name, fleet.conductor(&victim).killer());
        let ended = client.ask(&Ask::send(&name, 6, 1), i);
        assert!(ended.answer.is_some(), "{step:?}: {ended:?}");
        if fleet.conductor(&victim).id().is_none() {
            hits.hit(step);
            fleet.restart(&victim, false).unwrap();
            settled(&fleet);
        }
    }
    assert_eq!(hits.missed(), [], "{hits}");
    assert!(fleet.tool.runs().values().all(|n| *n == 1), "{:?}", fleet.tool.runs());
    end(fleet);
}

/// Guards against zombies: stopped with a call out, it runs on when another has its work.
#[test]
fn a_conductor_that_was_only_stopped_adds_nothing_when_it_runs_on() {
    let fleet = start(3, 3);
    let stop = fleet.conductor("c1").stopper();
    strike(&fleet.history, Step::ToolRan, "order-1", stop);
    let ended = fleet.client().ask(&Ask::send("order-1", 12, 2), 0);
    assert!(ended.answer.is_some(), "{ended:?}");
    fleet.wait_for(0, |r| r.event == "life.ended" && r.text("peer") == "c1").unwrap();
    fleet.conductor("c1").cont();
    settled(&fleet);
    end(fleet);
}

/// Rounds by seed: which conductor, which step, killed or stopped. `WHINHAVEN_ROUNDS` for more, `WHINHAVEN_SEED` for
/// others.
#[test]
fn rounds_by_seed() {
    let number = |name: &str, or: u64| std::env::var(name).ok().and_then(|n| n.parse().ok()).unwrap_or(or);
    let (rounds, seed) = (number("WHINHAVEN_ROUNDS", 8), number("WHINHAVEN_SEED", 1));
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let fleet = start(5, seed);
    let client = fleet.client();
    let mut hits = Hits::default();
    for round in 0..rounds {
        let step = Step::ALL[random.random_range(0..Step::ALL.len())];
        let (first, kills) = (random.random_range(0..5usize), random.random_bool(0.7));
        let (name, victim) = (format!("order-{round}"), format!("c{}", first + 1));
        let conductor = fleet.conductor(&victim);
        // A step may come when the client has its answer already, and would then strike the round after.
        let armed = Arc::new(Mutex::new(true));
        let (still, kill, stop) = (armed.clone(), conductor.killer(), conductor.stopper());
        strike(&fleet.history, step, &name, move || {
            let armed = still.lock().unwrap();
            if *armed && kills {
                kill();
            } else if *armed {
                stop();
            }
        });
        let calls = random.random_range(0..3);
        let ended = client.ask(&Ask::send(&name, 8, calls), first);
        *armed.lock().unwrap() = false;
        assert!(ended.answer.is_some(), "seed {seed} round {round}: {step:?} at {victim}: {ended:?}");
        if fleet.history.count(|r| step.is(r, &name)) > 0 {
            hits.hit(step);
        }
        if kills {
            fleet.restart(&victim, false).unwrap();
        } else {
            conductor.cont();
        }
        settled(&fleet);
    }
    println!("seed {seed}, {rounds} rounds: {hits}");
    end(fleet);
}
