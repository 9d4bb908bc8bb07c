//! Promise 1 in simulation: once faults stop all views agree, whatever the faults were.

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rstest::rstest;
use whinhaven::fleet::membership::{
    Action, Config, Event, LocalMember, MemberRecord, MemberUpdate, Membership, Message,
    MessageKind, Status, UpdateKind,
};
use whinhaven::fleet::{Incarnation, SiteName};
use whinhaven_lab::sim::views::{Broken, Fleet, Plan, address, name, promise};

/// Seeds from an environment variable by hand (`VIEW_SEEDS=1000`), a few in the usual run.
fn seeds(usual: u64) -> u64 {
    std::env::var("VIEW_SEEDS")
        .ok()
        .and_then(|seeds| seeds.parse().ok())
        .unwrap_or(usual)
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
    println!(
        "{members} members: agreed after median {} us, worst {:?}",
        took[took.len() / 2],
        took.last()
    );
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
        for (at, by, change) in fleet
            .world
            .take_notes()
            .into_iter()
            .filter(|(_, by, _)| *by != 5)
        {
            assert!(
                change.to <= Status::Suspect,
                "seed {seed}: {by} at {at}: {change:?}"
            );
            assert!(
                change.incarnation.0 == 1,
                "seed {seed}: {by} at {at}: {change:?}"
            );
        }
        let member = fleet.world.machine(0).expect("it runs");
        assert_eq!(member.view.members().count(), 6, "seed {seed}");
    }
}

/// Each member's own probes cost the same in a fleet of any size.
#[rstest]
fn probes_cost_the_same_at_any_size() {
    let probes = |members| {
        let mut fleet = Fleet::settled(Plan::new(members, 1), 200).expect("settles");
        let count = |fleet: &Fleet| {
            fleet
                .world
                .machine(1)
                .expect("it runs")
                .view
                .counters()
                .probes
        };
        let before = count(&fleet);
        fleet.run_periods(40);
        count(&fleet) - before
    };
    assert_eq!((probes(5), probes(40)), (40, 40));
}

/// Whatever comes, at whatever time: no panic, no table above its bound, no datagram above its.
#[test]
fn any_message_is_borne() {
    for seed in 0..seeds(30) {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let settings = Config {
            max_members: 16,
            max_datagram_bytes: 512,
            ..Config::default()
        };
        let site = SiteName::try_from("s".repeat(64)).expect("a name");
        let me = LocalMember {
            name: name(0),
            site: site.clone(),
            address: address(0),
            incarnation: Incarnation(5),
        };
        let mut view = Membership::new(me, settings, seed);
        let mut now: u64 = 0;
        for _ in 0..2000 {
            let mut number = || [0, 5, 1030, u64::MAX, u64::MAX, u64::MAX][rng.random_range(0..6)];
            let (incarnation, refutation) = (Incarnation(number()), number() as u32);
            let probe = number() as u32;
            let mut node = || name(rng.random_range(0..40));
            let (from, target, by) = (node(), node(), node());
            let sender = MemberRecord {
                site: site.clone(),
                address: address(1),
                incarnation,
                refutation,
            };
            let alive = UpdateKind::Alive {
                site: site.clone(),
                address: address(2),
            };
            let claim = [
                alive,
                UpdateKind::Suspect { by },
                UpdateKind::Dead,
                UpdateKind::Left,
            ][rng.random_range(0..4)]
            .clone();
            let news = vec![
                MemberUpdate {
                    member: target.clone(),
                    incarnation,
                    refutation,
                    kind: claim
                };
                3
            ];
            let kind = match rng.random_range(0..6) {
                0 => MessageKind::Ping { probe },
                1 => MessageKind::IndirectPing {
                    probe,
                    target,
                    address: address(3),
                },
                2 => MessageKind::Ack { probe },
                3 => MessageKind::Nack { probe },
                4 => MessageKind::PushPull {
                    table: news.clone(),
                    reply_wanted: true,
                },
                _ => MessageKind::Leave,
            };
            let message = Message {
                sender,
                kind,
                updates: news,
            };
            let event = match rng.random_range(0..20) {
                0 => Event::ContactedElsewhere(from),
                1 => Event::Join {
                    seeds: vec![(from, address(4))],
                },
                2..8 => Event::Tick,
                _ => Event::Message { from, message },
            };
            now += [0, 1_000, 400_000, 1 << 40][rng.random_range(0..4)];
            let mut actions = Vec::new();
            view.handle(now, event, &mut actions);
            for action in actions {
                if let Action::Send {
                    message,
                    reliable: false,
                    ..
                } = action
                {
                    let bytes = postcard::to_allocvec(&message).expect("encodes").len();
                    assert!(bytes <= 512, "seed {seed}: {bytes} bytes");
                }
            }
            assert!(view.members().count() <= 16, "seed {seed}");
            assert_eq!(
                (view.local_member().status, view.local_member().incarnation),
                (Status::Alive, Incarnation(5))
            );
        }
    }
}

/// A member that stood still judges nobody by what it missed, and comes back in the same life.
#[test]
fn a_stopped_member_comes_back_without_a_restart() {
    let mut fleet = Fleet::settled(Plan::new(5, 3), 40).expect("settles");
    // It is stopped just as it suspects one that lives.
    (0..5).for_each(|other| fleet.world.network.cut(3, other));
    let held = |fleet: &Fleet, by: usize, of: usize| {
        let member = fleet.world.machine(by).expect("it runs");
        member.view.member(&name(of)).map(|peer| peer.status)
    };
    while held(&fleet, 4, 3) == Some(Status::Alive) {
        fleet.run_periods(1);
    }
    fleet.world.pause(4);
    fleet.world.network.heal_all();
    fleet.run_periods(80);
    assert!((0..4).all(|by| held(&fleet, by, 4) == Some(Status::Dead)));
    fleet.world.take_notes();
    fleet.world.resume(4);
    fleet
        .until_agreed(20)
        .expect("it is alive again in its life");
    fleet.run_periods(40);
    let notes = fleet.world.take_notes();
    let ended: Vec<_> = notes
        .iter()
        .filter(|(_, _, change)| change.to > Status::Suspect)
        .collect();
    assert!(ended.is_empty(), "{ended:?}");
}

/// Where one direction of a link is cut, helpers answer for both ends: nobody is even suspected.
#[test]
fn a_one_way_cut_is_bridged() {
    let mut fleet = Fleet::settled(Plan::new(5, 4), 40).expect("settles");
    fleet.world.network.cut(0, 1);
    fleet.run_periods(400);
    let notes = fleet.world.take_notes();
    assert!(notes.is_empty(), "{:?}", notes.first());
}

/// A join, a leave and a crash reach all within a few times log2 n periods beyond the suspicion, at any size.
#[rstest]
#[case(8)]
#[case(64)]
fn changes_reach_all_in_logarithmic_time(#[case] members: usize) {
    let mut fleet = Fleet::settled(Plan::new(members, 5), 200).expect("settles");
    let rounds = 2 * u64::from(members.ilog2());
    let shortest = Config::default().suspicion_timeouts(members).shortest;
    let suspicion = shortest.div_ceil(fleet.period());
    fleet.leave(members - 1);
    fleet.until_agreed(rounds).expect("the leave is known");
    fleet.start(members - 1);
    fleet.until_agreed(rounds).expect("the new life is known");
    fleet.world.crash(members - 1);
    fleet
        .until_agreed(2 * suspicion + rounds)
        .expect("the crash is known");
}
