//! Promise 1 in simulation: once faults stop all views agree, whatever the faults were.

use rstest::rstest;
use whinhaven::fleet::view::Status;
use whinhaven_lab::sim::views::{Broken, Fleet, Plan, promise};

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

/// One member that lies in all it sends: the others doubt, ask, and hold nobody dead who lives.
#[rstest]
#[case::slanders(Broken::Slanders)]
#[case::raves(Broken::Raves)]
fn a_liar_harms_nobody(#[case] broken: Broken) {
    for seed in 0..seeds(4) {
        let mut plan = Plan::new(6, seed);
        plan.link.loss = 0.1;
        plan.broken = vec![(5, broken)];
        let mut fleet = Fleet::new(plan);
        (0..6).for_each(|node| fleet.start(node));
        fleet.run_periods(200);
        for (at, by, change) in fleet.world.take_notes().into_iter().filter(|(_, by, _)| *by != 5) {
            assert!(change.to <= Status::Suspect, "seed {seed}: {by} at {at}: {change:?}");
            assert!(change.incarnation.0 == 1, "seed {seed}: {by} at {at}: {change:?}");
        }
        let member = fleet.world.machine(0).expect("it runs");
        assert_eq!(member.view.peers().count(), 6, "seed {seed}");
    }
}

/// Each member's own probes cost the same in a fleet of any size.
#[rstest]
fn probes_cost_the_same_at_any_size() {
    let probes = |members| {
        let mut fleet = Fleet::settled(Plan::new(members, 1), 200).expect("settles");
        let count = |fleet: &Fleet| fleet.world.machine(1).expect("it runs").view.counts().probes;
        let before = count(&fleet);
        fleet.run_periods(40);
        count(&fleet) - before
    };
    assert_eq!((probes(5), probes(40)), (40, 40));
}
