//! The loss and the return of a site in memory, by seed: the promise of the site plan.

use rstest::rstest;
use whinhaven::fleet::sites::epoch::{Effect, SiteState};
use whinhaven_lab::sim_sites::{Day, Rule, run};

/// No host falls over, neither a survivor's nor a cold one; nothing is refused out of order; the return comes once and
/// by every step. Without a plan the same day brings hosts down: the day is hard enough to tell.
#[rstest]
fn a_site_is_lost_and_comes_back(#[values(1, 2, 3)] seed: u64) {
    let day = Day::small(seed);
    let plan = run(&day, Rule::Plan).unwrap();
    assert_eq!(plan.fell, [0; 3]);
    assert_eq!(plan.out_of_order, 0);
    let words: Vec<_> = plan.standings().into_iter().map(|(_, what)| what).collect();
    assert_eq!(words, ["lost", "returning", "sound"]);
    let steps = plan.agreed.iter().filter_map(|(_, effect)| match effect {
        Effect::SiteChanged {
            to: SiteState::Returning { step, held, .. },
            ..
        } => Some((*step, *held)),
        _ => None,
    });
    let mut last = (0, 0);
    for (step, held) in steps {
        assert!(
            held >= last.1 && step <= last.0 + 1,
            "{last:?} to {:?}",
            (step, held)
        );
        last = (step, held);
    }
    let near = run(&day, Rule::Near).unwrap();
    assert!(near.fell.iter().sum::<u32>() > 0);
    assert!(plan.part(5, day.end - 10) > near.part(5, day.end - 10));
}

/// A site that is lost again while it returns is lost at once, and held down for twice as long.
#[test]
fn a_site_that_is_lost_again_while_it_returns_waits_longer() {
    let day = Day {
        flaps: vec![50],
        end: 140,
        ..Day::small(4)
    };
    let plan = run(&day, Rule::Plan).unwrap();
    assert_eq!(plan.fell, [0; 3]);
    let all = plan.standings();
    let words: Vec<_> = all.iter().map(|(_, what)| *what).collect();
    assert_eq!(words, ["lost", "returning", "lost", "returning", "sound"]);
    let (first, second) = (all[1].0 - day.back_at as f64, all[3].0 - 55.0);
    assert!(
        second - first > 4.0,
        "{first} and {second} s after it was back"
    );
}
