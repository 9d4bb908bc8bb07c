//! When the routers' modules call discovery again after failures, where it has to be asked for the list.

use rstest::rstest;
use whinhaven::Policy;
use whinhaven::routing::types::*;

const MS: Micros = 1_000;
const SECOND: Micros = 1_000_000;
/// A change counts as told then, however the calls went.
const TOLD: Micros = 6 * SECOND;
/// Until a lost call or a silent watch is noticed.
const NOTICED: Micros = 3 * SECOND;
/// What the call has to come up and be answered in.
const ANSWERED: Micros = 500 * MS;
const ROUND: Micros = 10 * SECOND;

struct Module {
    policy: Policy,
    timers: Vec<Micros>,
}

impl Module {
    fn new(routers: u32, seed: u64) -> Self {
        let settings = RoutingConfig {
            routers,
            endpoints_require_subscription: true,
            kv_state_hold_limit: 500 * MS,
            batch_interval: 2 * MS,
            connect_timeout: 250 * MS,
            ..RoutingConfig::default()
        };
        Module {
            policy: Policy::new(settings, seed),
            timers: Vec::new(),
        }
    }

    /// Plays one round that begins with such news; when its calls are made, from then on.
    fn calls(&mut self, begun: Micros, kind: EndpointUpdate) -> Vec<Micros> {
        let (mut calls, mut now) = (Vec::new(), begun);
        let mut event = Event::EndpointsUpdated {
            update: kind,
            endpoints: Vec::new(),
        };
        loop {
            let mut out = Vec::new();
            self.policy.handle(now, event, &mut out);
            for action in out {
                match action {
                    Action::Subscribe => calls.push(now - begun),
                    Action::Timer { at, .. } => self.timers.push(at),
                    _ => {}
                }
            }
            self.timers.sort_unstable();
            if self.timers.first().is_none_or(|at| *at > begun + ROUND) {
                return calls;
            }
            now = now.max(self.timers.remove(0));
            event = Event::Timer(TimerId(1));
        }
    }
}

/// Guards against changes that are told late because the next call is put off for ever longer (that went to 96 s with
/// 300 routers), and against calls in step all the same: all modules fail at the same moment, time and again.
#[rstest]
fn after_each_failure_the_next_call_is_in_time_and_not_in_step(
    #[values(3, 30, 300)] routers: u32,
    #[values(EndpointUpdate::Restored, EndpointUpdate::Failed)] first: EndpointUpdate,
) {
    let mut modules: Vec<Module> = (0..routers)
        .map(|i| Module::new(routers, u64::from(i)))
        .collect();
    let mut at_once = 0;
    for round in 0..10 {
        let begun = 100 * SECOND + round * ROUND;
        let kind = if round == 0 {
            first
        } else {
            EndpointUpdate::Failed
        };
        let mut calls: Vec<Micros> = Vec::new();
        for module in &mut modules {
            let own = module.calls(begun, kind);
            assert_eq!(own.len(), 1, "one call for each failure");
            calls.extend(own);
        }
        calls.sort_unstable();
        let late = calls
            .iter()
            .filter(|at| NOTICED + **at + ANSWERED > TOLD)
            .count();
        assert_eq!(
            late,
            0,
            "round {round}: the last of {routers} calls after {} us",
            calls[calls.len() - 1]
        );
        // Calls within a tenth of a second, of all that there are.
        let in_step = |at: &Micros| {
            calls
                .iter()
                .filter(|c| (*at..at + 100 * MS).contains(c))
                .count()
        };
        let most = calls.iter().map(in_step).max().unwrap_or(0);
        if routers > 3 {
            assert!(
                most * 3 <= calls.len(),
                "round {round}: {most} of {routers} calls in step"
            );
        }
        at_once += usize::from(calls.last().map(|last| last - calls[0]) < Some(20 * MS));
    }
    assert!(at_once <= 3, "all calls at once in {at_once} rounds of 10");
}
