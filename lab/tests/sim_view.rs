//! Promise 1 in simulation: once faults stop all views agree, whatever the faults were.

use rstest::rstest;
use whinhaven_lab::sim::views::{Broken, Plan, promise};

/// Seeds from an environment variable by hand (`VIEW_SEEDS=1000`), a few in the usual run.
fn seeds(usual: u64) -> u64 {
    std::env::var("VIEW_SEEDS").ok().and_then(|seeds| seeds.parse().ok()).unwrap_or(usual)
}

#[rstest]
#[case::three(3, 12)]
#[case::five(5, 12)]
#[case::ten(10, 8)]
fn all_views_agree_once_faults_stop(#[case] members: usize, #[case] usual: u64) {
    let mut took = Vec::new();
    for seed in 0..seeds(usual) {
        match promise(Plan::new(members, seed), 25) {
            Ok(after) => took.push(after),
            Err(wrong) => panic!("{members} members, seed {seed}: {wrong}"),
        }
    }
    took.sort();
    println!("{members} members: agreed after median {} us, worst {:?}", took[took.len() / 2], took.last());
}

#[rstest]
#[case::never_refutes(Broken::Deaf, true)]
#[case::never_pings_the_dead(Broken::No, false)]
fn a_broken_build_is_caught(#[case] broken: Broken, #[case] reconnects: bool) {
    let caught = (0..12).filter(|seed| {
        let mut plan = Plan::new(5, *seed);
        plan.broken = (0..5).map(|node| (node, broken)).collect();
        if !reconnects {
            plan.settings.reconnect_ms = 0;
        }
        promise(plan, 25).is_err()
    });
    assert!(caught.count() > 0);
}
