//! Convergence of membership in simulation: once faults stop, all members agree, whatever the faults were.

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rstest::rstest;
use whinhaven::fleet::membership::{
    Action, Config, Event, LocalMember, MemberRecord, MemberUpdate, Membership, Message,
    MessageKind, Status, UpdateKind,
};
use whinhaven::fleet::{Incarnation, SiteName};
use whinhaven_lab::sim::views::{Fleet, Misbehaviour, Plan, address, converges_after_faults, name};

/// Number of seeds: from the environment (`VIEW_SEEDS=1000`), else `default`.
fn seed_count(default: u64) -> u64 {
    std::env::var("VIEW_SEEDS")
        .ok()
        .and_then(|seeds| seeds.parse().ok())
        .unwrap_or(default)
}

#[rstest]
#[case::three(3, 12)]
#[case::five(5, 12)]
#[case::ten(10, 8)]
fn members_converge_after_faults_stop(#[case] members: usize, #[case] default_seeds: u64) {
    let mut took = Vec::new();
    for seed in 0..seed_count(default_seeds) {
        match converges_after_faults(Plan::new(members, seed), 25) {
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
#[case::never_refutes(Misbehaviour::IgnoresUpdatesAboutItself, true)]
#[case::never_pings_the_dead(Misbehaviour::None, false)]
fn faulty_implementation_fails_convergence(
    #[case] misbehaviour: Misbehaviour,
    #[case] reconnects: bool,
) {
    let caught = (0..12).filter(|seed| {
        let mut plan = Plan::new(5, *seed);
        plan.misbehaving = (0..5).map(|node| (node, misbehaviour)).collect();
        if !reconnects {
            plan.config.reconnect_ms = 0;
        }
        converges_after_faults(plan, 25).is_err()
    });
    assert!(caught.count() > 0);
}

/// One member sends false updates in every message: no other member declares a live one dead.
#[rstest]
#[case::reports_all_dead(Misbehaviour::ReportsAllDead)]
#[case::sends_invalid_updates(Misbehaviour::SendsInvalidUpdates)]
fn false_updates_do_not_remove_live_members(#[case] misbehaviour: Misbehaviour) {
    for seed in 0..seed_count(4) {
        let mut plan = Plan::new(6, seed);
        plan.link.loss = 0.1;
        plan.misbehaving = vec![(5, misbehaviour)];
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
        assert_eq!(member.membership.members().count(), 6, "seed {seed}");
    }
}

/// The number of probes a member sends does not depend on the size of the fleet.
#[rstest]
fn probe_rate_is_independent_of_fleet_size() {
    let probes = |members| {
        let mut fleet = Fleet::settled(Plan::new(members, 1), 200).expect("settles");
        let count = |fleet: &Fleet| {
            fleet
                .world
                .machine(1)
                .expect("it runs")
                .membership
                .counters()
                .probes
        };
        let before = count(&fleet);
        fleet.run_periods(40);
        count(&fleet) - before
    };
    assert_eq!((probes(5), probes(40)), (40, 40));
}

/// Arbitrary messages at arbitrary times: no panic, and table and datagrams stay within their bounds.
#[test]
fn arbitrary_messages_keep_bounds() {
    for seed in 0..seed_count(30) {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let config = Config {
            max_members: 16,
            max_datagram_bytes: 512,
            ..Config::default()
        };
        let site = SiteName::try_from("s".repeat(64)).expect("a name");
        let local = LocalMember {
            name: name(0),
            site: site.clone(),
            address: address(0),
            incarnation: Incarnation(5),
        };
        let mut membership = Membership::new(local, config, seed);
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
            membership.handle(now, event, &mut actions);
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
            assert!(membership.members().count() <= 16, "seed {seed}");
            assert_eq!(
                (
                    membership.local_member().status,
                    membership.local_member().incarnation
                ),
                (Status::Alive, Incarnation(5))
            );
        }
    }
}

/// A member that was stopped declares nobody dead by what it missed, and returns in the same incarnation.
#[test]
fn stopped_member_returns_in_same_incarnation() {
    let mut fleet = Fleet::settled(Plan::new(5, 3), 40).expect("settles");
    // It is stopped while it suspects a live member.
    (0..5).for_each(|other| fleet.world.network.cut(3, other));
    let status = |fleet: &Fleet, by: usize, of: usize| {
        let member = fleet.world.machine(by).expect("it runs");
        member
            .membership
            .member(&name(of))
            .map(|member| member.status)
    };
    while status(&fleet, 4, 3) == Some(Status::Alive) {
        fleet.run_periods(1);
    }
    fleet.world.pause(4);
    fleet.world.network.heal_all();
    fleet.run_periods(80);
    assert!((0..4).all(|by| status(&fleet, by, 4) == Some(Status::Dead)));
    fleet.world.take_notes();
    fleet.world.resume(4);
    fleet
        .run_until_converged(20)
        .expect("it is alive again in its life");
    fleet.run_periods(40);
    let notes = fleet.world.take_notes();
    let gone: Vec<_> = notes
        .iter()
        .filter(|(_, _, change)| change.to > Status::Suspect)
        .collect();
    assert!(gone.is_empty(), "{gone:?}");
}

/// With one direction of a link cut, indirect pings succeed: nobody is suspected.
#[test]
fn indirect_pings_bridge_one_way_partition() {
    let mut fleet = Fleet::settled(Plan::new(5, 4), 40).expect("settles");
    fleet.world.network.cut(0, 1);
    fleet.run_periods(400);
    let notes = fleet.world.take_notes();
    assert!(notes.is_empty(), "{:?}", notes.first());
}

/// A join, a leave and a crash are known to all within a few times log2 n periods beyond the suspicion timeout.
#[rstest]
#[case(8)]
#[case(64)]
fn updates_spread_in_logarithmic_time(#[case] members: usize) {
    let mut fleet = Fleet::settled(Plan::new(members, 5), 200).expect("settles");
    let rounds = 2 * u64::from(members.ilog2());
    let shortest = Config::default().suspicion_timeouts(members).shortest;
    let suspicion = shortest.div_ceil(fleet.period());
    fleet.leave(members - 1);
    fleet
        .run_until_converged(rounds)
        .expect("the leave is known");
    fleet.start(members - 1);
    fleet
        .run_until_converged(rounds)
        .expect("the new life is known");
    fleet.world.crash(members - 1);
    fleet
        .run_until_converged(2 * suspicion + rounds)
        .expect("the crash is known");
}
