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
fn single_process_gets_the_whole_limit_and_a_second_one_at_most_half() {
    let limit = DescriptorLimit::new(TOTAL, RESERVED);
    assert_eq!(
        [None, status(0), status(512), status(700)].map(|c| limit.target_share(c)),
        [1024, 512, 512, 324]
    );
}

#[test]
fn start_requires_the_minimum_share() {
    let limit = DescriptorLimit::new(TOTAL, RESERVED);
    let minimum = RESERVED + MIN_SERVING_SOCKETS;
    let shares = [
        status(TOTAL),
        status(TOTAL - minimum + 1),
        status(TOTAL - minimum),
        status(512),
        None,
    ];
    assert_eq!(
        shares.map(|c| limit.initial_share(c)),
        [None, None, Some(minimum), Some(512), Some(TOTAL)]
    );
}

#[test]
fn split_gives_sockets_to_both_sides_within_the_share() {
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
    /// A running process that gives up descriptors as its requests end, and a new process that reads its status, in
    /// any order.
    #[test]
    fn two_processes_stay_within_the_limit(updates in prop::collection::vec((any::<bool>(), 0usize..=TOTAL), 1..50)) {
        let limit = DescriptorLimit::new(TOTAL, RESERVED);
        let (mut running, mut new, mut in_use) = (TOTAL, 0, TOTAL);
        for (is_running, still_in_use) in updates {
            if is_running {
                // Above its limit the process accepts nothing, so its number of descriptors in use only decreases.
                in_use = in_use.min(still_in_use).min(running);
                running = limit.target_share(status(new)).max(in_use);
            } else {
                new = limit.initial_share(status(running)).unwrap_or(0);
            }
            prop_assert!(running + new <= TOTAL, "{} and {}", running, new);
        }
    }
}
