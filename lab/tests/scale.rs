//! The short form of `whinhaven-lab scale`: what a simulated fleet's members send, take and write, by counts. Times and
//! memory are the tool's to report and nobody's to judge.

use std::collections::BTreeSet;
use whinhaven_lab::scale::layout::{Layout, Role};
use whinhaven_lab::scale::simulated::{Phase, PhaseFigures, SimulatedFleet};
use whinhaven_lab::scale::{Renewals, settings_for};

const SECOND: u64 = 1_000_000;
const SECONDS: u64 = 10;
/// Relays of the fleets that have some.
const RELAYS: usize = 4;

fn settled(members: usize, renewals: Renewals) -> SimulatedFleet {
    let relays = if renewals == Renewals::Leader {
        RELAYS
    } else {
        0
    };
    let layout = Layout { members, relays };
    let mut fleet = SimulatedFleet::start(layout, settings_for(layout, renewals), 1);
    fleet.settle().expect("it settles");
    fleet.rest(10 * SECOND);
    fleet
}

/// A quiet fleet of so many members, counted for some seconds.
fn steady(members: usize, renewals: Renewals) -> PhaseFigures {
    settled(members, renewals).measure(Phase::Steady, SECONDS)
}

/// The baseline: each member renews its life lease three times in its time, by an entry of the log or two.
#[test]
fn renewals_by_the_log_grow_it_with_the_fleet() {
    let (small, large) = (steady(10, Renewals::Log), steady(20, Renewals::Log));
    for (members, figures) in [(10.0, &small), (20.0, &large)] {
        let each = figures.voter.entries / members;
        assert!(
            (0.5..1.5).contains(&each),
            "{each} entries a second for each of {members} members"
        );
    }
    assert!(
        large.conductor.bytes() > 1.5 * small.conductor.bytes(),
        "{small:?} {large:?}"
    );
}

#[test]
fn renewals_at_the_leader_leave_the_log_and_the_conductors_alone() {
    let (small, large) = (steady(30, Renewals::Leader), steady(90, Renewals::Leader));
    assert_eq!((small.voter.entries, large.voter.entries), (0.0, 0.0));
    let (before, after) = (small.conductor.bytes(), large.conductor.bytes());
    assert!(
        before > 0.0 && after < 1.2 * before,
        "a conductor's {before} bytes a second, {after} of 90"
    );
    assert!(after < 7_000.0, "{after} bytes a second");
    let messages = |figures: &PhaseFigures| figures.voter.messages + figures.voter.taken_messages;
    let (before, after) = (messages(&small), messages(&large));
    assert!(
        after < 1.3 * before,
        "a voter's {before} messages a second, {after} of 90"
    );
}

/// The view's part does not grow with the fleet: a member probes one other in each period.
#[test]
fn what_a_member_sends_for_its_view_does_not_grow_with_the_fleet() {
    let (small, large) = (steady(30, Renewals::Leader), steady(90, Renewals::Leader));
    let (small, large) = (
        small.conductor.datagram_bytes,
        large.conductor.datagram_bytes,
    );
    assert!(
        small > 0.0 && large < 1.3 * small,
        "{small} bytes a second of 30 members, {large} of 90"
    );
}

/// A relay that dies, and one that stands still for ten seconds and runs on, cost no other member its right.
#[test]
fn members_of_a_lost_relay_renew_through_another() {
    let mut fleet = settled(40, Renewals::Leader);
    let layout = Layout {
        members: 40,
        relays: RELAYS,
    };
    let relays: Vec<usize> = (0..40)
        .filter(|node| layout.role(*node) == Role::Relay)
        .collect();
    let struck = BTreeSet::from([relays[0], relays[2]]);
    fleet.crash(relays[0]);
    fleet.pause(relays[2]);
    fleet.run_for(10 * SECOND);
    fleet.resume(relays[2]);
    fleet.run_for(10 * SECOND);
    assert_eq!(fleet.rights_lost(&struck), 0);
}

/// Regions without a voter lose each other: all renew on, by their own ways to the voters.
#[test]
fn regions_apart_cost_nobody_the_right_to_act() {
    let mut fleet = settled(60, Renewals::Leader);
    let figures = fleet.measure(Phase::RegionsApart, 20);
    assert_eq!(figures.rights_lost, 0);
}
