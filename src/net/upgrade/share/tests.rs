use super::super::lock_file::Phase;
use super::*;
use proptest::prelude::*;

const WHOLE: usize = 1024;
const SPARE: usize = 24;

fn claim(sockets: usize) -> Option<Claim> {
    Some(Claim {
        phase: Phase::Serving,
        sockets,
    })
}

#[test]
fn a_process_alone_has_all_and_beside_another_one_at_most_a_half() {
    let shares = Shares::new(WHOLE, SPARE);
    assert_eq!(
        [None, claim(0), claim(512), claim(700)].map(|c| shares.target(c)),
        [1024, 512, 512, 324]
    );
}

#[test]
fn a_start_waits_until_the_other_process_leaves_enough_to_serve() {
    let shares = Shares::new(WHOLE, SPARE);
    let least = SPARE + LEAST;
    let firsts = [
        claim(WHOLE),
        claim(WHOLE - least + 1),
        claim(WHOLE - least),
        claim(512),
        None,
    ];
    assert_eq!(
        firsts.map(|c| shares.first(c)),
        [None, None, Some(least), Some(512), Some(WHOLE)]
    );
}

#[test]
fn a_split_is_of_both_sides_and_of_no_more_than_the_share() {
    for share in [SPARE + LEAST, 512, WHOLE] {
        let split = Split::of(share, SPARE);
        assert_eq!(SPARE + split.hosts + split.clients, share);
        assert!(split.clients > OVER && split.hosts > 0, "{split:?}");
    }
}

proptest! {
    /// A running process that gives way as its work ends and a new one that looks at it, in any order.
    #[test]
    fn two_processes_stay_within_the_limit(looks in prop::collection::vec((any::<bool>(), 0usize..=WHOLE), 1..50)) {
        let shares = Shares::new(WHOLE, SPARE);
        let (mut running, mut new, mut in_hand) = (WHOLE, 0, WHOLE);
        for (is_running, left) in looks {
            if is_running {
                // Over its bound it takes nothing in, so what it has in hand only becomes less.
                in_hand = in_hand.min(left).min(running);
                running = shares.target(claim(new)).max(in_hand);
            } else {
                new = shares.first(claim(running)).unwrap_or(0);
            }
            prop_assert!(running + new <= WHOLE, "{} and {}", running, new);
        }
    }
}
