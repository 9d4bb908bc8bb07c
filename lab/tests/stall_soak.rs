//! The short form of `whinhaven-lab stall-soak`.

use rstest::rstest;
use whinhaven_lab::stall_soak::play;

/// Guards against clients left waiting by hosts and clients that trickle, stall, comment, read slowly, leave and come back.
#[rstest]
fn hosts_and_clients_that_stall_leave_nobody_waiting(#[values(1, 2, 3, 4)] seed: u64) {
    let round = play(seed).expect("the router starts");
    assert!(round.is_kept(), "{round}: {:#?}", round.broken);
    assert!(
        round.requests > 50 && round.broken_off > 0,
        "too little happened: {round}"
    );
}
