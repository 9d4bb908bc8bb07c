//! The short form of `whinhaven-lab shutdown-soak`: a stopping router under load, killed as early as it may be.

use rstest::rstest;
use whinhaven_lab::shutdown_soak::play;

/// Guards against requests that are forwarded late in a shutdown and cut by SIGKILL.
#[rstest]
#[case::starting_and_told_to_reload(1)]
#[case::signals_in_series(2)]
#[case::drain_and_hold_up(3)]
#[case::fleet_without_records(4)]
#[case::crowd_and_hold_up(5)]
#[case::fleet_with_records(14)]
#[case::successor_and_hold_up(17)]
fn a_stopping_router_keeps_the_rules_up_to_the_kill(#[case] seed: u64) {
    let round = play(seed).expect("the routers start");
    assert!(round.verdict.is_kept(), "{round}");
    assert!(
        round.verdict.late > 0 && round.verdict.rejected > 0,
        "too little happened: {round}"
    );
}
