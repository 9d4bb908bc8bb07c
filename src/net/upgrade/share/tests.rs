use super::super::lock_file::ProcessPhase;
use super::*;
use proptest::prelude::*;

const TOTAL: usize = 1024;
const RESERVED: usize = 24;

fn status(sockets: usize) -> Option<ProcessStatus> {
    Some(ProcessStatus {
        phase: ProcessPhase::Serving,
        sockets,
    })
}

#[test]
fn a_process_alone_has_all_and_beside_another_one_at_most_a_half() {
    let limit = DescriptorLimit::new(TOTAL, RESERVED);
    assert_eq!(
        [None, status(0), status(512), status(700)].map(|c| limit.target_share(c)),
        [1024, 512, 512, 324]
    );
}

#[test]
fn a_start_waits_until_the_other_process_leaves_enough_to_serve() {
    let limit = DescriptorLimit::new(TOTAL, RESERVED);
    let least = RESERVED + MIN_SERVING_SOCKETS;
    let firsts = [
        status(TOTAL),
        status(TOTAL - least + 1),
        status(TOTAL - least),
        status(512),
        None,
    ];
    assert_eq!(
        firsts.map(|c| limit.initial_share(c)),
        [None, None, Some(least), Some(512), Some(TOTAL)]
    );
}

#[test]
fn a_split_is_of_both_sides_and_of_no_more_than_the_share() {
    for share in [RESERVED + MIN_SERVING_SOCKETS, 512, TOTAL] {
        let split = SocketSplit::of_share(share, RESERVED);
        assert_eq!(RESERVED + split.hosts + split.clients, share);
        assert!(
            split.clients > MAX_REFUSED_CONNECTIONS && split.hosts > 0,
            "{split:?}"
        );
    }
}

proptest! {
    /// A running process that gives way as its work ends and a new one that looks at it, in any order.
    #[test]
    fn two_processes_stay_within_the_limit(looks in prop::collection::vec((any::<bool>(), 0usize..=TOTAL), 1..50)) {
        let limit = DescriptorLimit::new(TOTAL, RESERVED);
        let (mut running, mut new, mut in_hand) = (TOTAL, 0, TOTAL);
        for (is_running, left) in looks {
            if is_running {
                // Over its bound it takes nothing in, so what it has in hand only becomes less.
                in_hand = in_hand.min(left).min(running);
                running = limit.target_share(status(new)).max(in_hand);
            } else {
                new = limit.initial_share(status(running)).unwrap_or(0);
            }
            prop_assert!(running + new <= TOTAL, "{} and {}", running, new);
        }
    }
}
