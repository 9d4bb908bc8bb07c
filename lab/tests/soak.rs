//! The short form of `whinhaven-lab soak`: real conductors under random faults, judged by what happened and what never
//! did. Times are the tool's to judge, on a machine of its own.

use whinhaven_lab::soak::{SoakArgs, play};

const CONDUCTORS: usize = 10;
const SECONDS: u64 = 12;

#[test]
fn ten_conductors_keep_the_invariants_under_random_faults() {
    let seeds = [1, 2];
    let args = SoakArgs {
        seed: seeds[0],
        rounds: seeds.len() as u64,
        conductors: CONDUCTORS,
        seconds: SECONDS,
        without_times: true,
        // ECONNABORTED and EADDRNOTAVAIL, interrupted and short reads and writes, now and then.
        system_calls: Some(
            "accept4:103:7,connect:99:9,recv:4:11,writev:short:5,epoll_wait:4:13".to_owned(),
        ),
    };
    for seed in seeds {
        let round = play(&args, seed).expect("the fleet starts and comes back");
        assert!(round.outcome.is_kept(), "{round}");
        assert!(
            round.outcome.served > 100 && round.outcome.releases_behind_sends > 0,
            "too little happened: {round}"
        );
    }
}
