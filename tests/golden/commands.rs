//! One example of every proposal to the log, and a sequence of proposals that fills every table of the state.

use super::{Example, lease_name, site, who};
use whinhaven::fleet::sites::epoch as sites;
use whinhaven::fleet::sites::plan::Missing;
use whinhaven::fleet::state::{Bounds, Command, FleetState, Origin, Proposal, StateChange};
use whinhaven::fleet::{Index, MemberInstance, Token, lease, policy_epoch, work};

pub fn examples() -> Vec<Example<Proposal>> {
    let mut examples = vec![("bounds", Command::Bounds(bounds()))];
    examples.extend(lease_examples());
    examples.extend(takeover_examples());
    examples.extend(sites_examples());
    examples.extend(policy_examples());
    let proposal = |(name, command)| (name, proposal(who("c1", 11), 21, 19, command));
    examples.into_iter().map(proposal).collect()
}

fn proposal(who: MemberInstance, seq: u64, settled: u64, command: Command) -> Proposal {
    Proposal {
        origin: Origin {
            proposer: who,
            sequence: seq,
        },
        settled_below: settled,
        command,
    }
}

fn bounds() -> Bounds {
    Bounds {
        max_members: 101,
        max_leases: 102,
        max_waiters: 103,
        max_lease_duration_ms: 60_104,
    }
}

fn lease_examples() -> Vec<Example<Command>> {
    vec![
        ("lease-acquire", acquire("discovery-refresh", 5_001)),
        ("lease-renew", renew("discovery-refresh", 31)),
        ("lease-release", release("discovery-refresh")),
        ("lease-expire", expire("life/c3", 32, 33)),
    ]
}

fn acquire(name: &str, granted_for_ms: u64) -> Command {
    Command::Lease(lease::Command::Acquire {
        name: lease_name(name),
        duration_ms: granted_for_ms,
    })
}

fn renew(name: &str, token: u64) -> Command {
    Command::Lease(lease::Command::Renew {
        name: lease_name(name),
        token: Token(token),
    })
}

fn release(name: &str) -> Command {
    Command::Lease(lease::Command::Release {
        name: lease_name(name),
    })
}

fn expire(name: &str, token: u64, renewals: u64) -> Command {
    Command::Lease(lease::Command::Expire {
        name: lease_name(name),
        token: Token(token),
        renewals,
    })
}

fn takeover_examples() -> Vec<Example<Command>> {
    vec![
        ("takeover-claim", claim("order-7", true, false)),
        ("takeover-claim-resumes", claim("order-7", false, true)),
        ("takeover-send", send("request-1", Some(("order-7", 41)))),
        ("takeover-send-unnamed", send("request-2", None)),
        ("takeover-began", began("order-7", 42)),
        ("takeover-call", call("order-7", 43, 44)),
        (
            "takeover-call-ended",
            call_ended("order-7", 45, Some(vec![1, 2, 254])),
        ),
        ("takeover-call-not-made", call_ended("order-7", 46, None)),
        (
            "takeover-answer-failed",
            answer("order-7", 47, work::FinalResponse::Failed),
        ),
        (
            "takeover-answer-cancelled",
            answer("order-7", 48, work::FinalResponse::Cancelled),
        ),
        ("takeover-answer-done", answer("order-7", 49, done())),
        ("takeover-let-go", let_go("order-7", 50)),
        ("takeover-over", over(&["request-1", "request-2"])),
        ("takeover-adopt", adopt(who("c3", 13))),
        ("takeover-forget", forget("order-7", 51)),
    ]
}

fn work_bounds() -> work::Capacity {
    work::Capacity {
        records: 1_001,
        bytes: 1_000_002,
    }
}

fn claim(name: &str, once: bool, resumes: bool) -> Command {
    Command::Takeover(work::Command::Claim {
        name: name.into(),
        at_most_once: once,
        resume: resumes,
        capacity: work_bounds(),
    })
}

fn send(id: &str, name: Option<(&str, u64)>) -> Command {
    Command::Takeover(work::Command::StartSend {
        id: id.into(),
        worker: "writer-1".into(),
        name: name.map(|(name, generation)| (name.into(), generation)),
        read_only: name.is_none(),
        max_attempts: 6,
        capacity: work_bounds(),
    })
}

fn began(name: &str, generation: u64) -> Command {
    Command::Takeover(work::Command::ResponseStarted {
        name: name.into(),
        generation,
    })
}

fn call(name: &str, generation: u64, ordinal: u32) -> Command {
    Command::Takeover(work::Command::StartCall {
        name: name.into(),
        generation,
        ordinal,
        arguments: 0x0123_4567_89ab_cdef_0011_2233_4455_6677,
        capacity: work_bounds(),
    })
}

fn call_ended(name: &str, ordinal: u32, outcome: Option<Vec<u8>>) -> Command {
    Command::Takeover(work::Command::CompleteCall {
        name: name.into(),
        ordinal,
        outcome,
    })
}

fn answer(name: &str, generation: u64, answer: work::FinalResponse) -> Command {
    Command::Takeover(work::Command::Complete {
        name: name.into(),
        generation,
        response: answer,
    })
}

fn done() -> work::FinalResponse {
    work::FinalResponse::Completed {
        text: Some("the answer".into()),
        last_line: vec![123, 125],
    }
}

fn let_go(name: &str, generation: u64) -> Command {
    Command::Takeover(work::Command::Release {
        name: name.into(),
        generation,
        not_executed: true,
    })
}

fn over(ids: &[&str]) -> Command {
    let ids = ids.iter().map(|id| (*id).to_owned()).collect();
    Command::Takeover(work::Command::CompleteSends { ids })
}

fn adopt(dead: MemberInstance) -> Command {
    Command::Takeover(work::Command::TakeOver { ended: dead })
}

fn forget(name: &str, changed: u64) -> Command {
    Command::Takeover(work::Command::Forget {
        name: name.into(),
        last_changed: Index(changed),
    })
}

fn sites_examples() -> Vec<Example<Command>> {
    vec![
        ("sites-plans", plans()),
        ("sites-say-nothing", say("east", Missing::Nothing)),
        ("sites-say-entries", say("east", Missing::Routers)),
        ("sites-say-half-hosts", say("east", Missing::HalfHosts)),
        ("sites-say-hosts", say("east", Missing::Hosts)),
        ("sites-say-all", say("east", Missing::All)),
        ("sites-settle", settle(61)),
        ("sites-step", step(62)),
        ("sites-hold", hold(63)),
        ("sites-back", back(64)),
    ]
}

const PLANS: u64 = 0xfeed_0000_0000_0001;

fn plans() -> Command {
    Command::Sites(sites::Command::InstallPlans {
        plans: PLANS,
        sites: vec![
            (site("north"), vec![100_000, 500_000, 1_000_000]),
            (site("south"), vec![200_000, 1_000_000]),
            (site("east"), vec![300_000, 1_000_000]),
        ],
    })
}

fn say(by: &str, missing: Missing) -> Command {
    Command::Sites(sites::Command::ReportMissing {
        observer: site(by),
        site: site("north"),
        missing,
        plans: PLANS,
    })
}

fn settle(epoch: u64) -> Command {
    Command::Sites(sites::Command::Settle { epoch })
}

fn step(epoch: u64) -> Command {
    let site = site("north");
    Command::Sites(sites::Command::TryStep { epoch, site })
}

fn hold(epoch: u64) -> Command {
    let site = site("north");
    Command::Sites(sites::Command::HoldStep { epoch, site })
}

fn back(epoch: u64) -> Command {
    let site = site("north");
    Command::Sites(sites::Command::StepBack { epoch, site })
}

fn policy_examples() -> Vec<Example<Command>> {
    vec![
        ("policy-propose", propose(0xabcd_0001, "first", 71, true)),
        ("policy-vote-yes", vote(72, None)),
        ("policy-vote-no", vote(73, Some("too old"))),
        ("policy-closed", closed(74)),
        ("policy-over", gone_over(75)),
        ("policy-abort", abort(76)),
    ]
}

fn propose(mark: u64, content: &str, base: u64, only_check: bool) -> Command {
    Command::Policy(policy_epoch::Command::Propose {
        mark,
        content: content.into(),
        base,
        only_check,
        at_us: 1_700_000_000_000_077,
        difference: "a difference".into(),
    })
}

fn vote(proposal: u64, refusal: Option<&str>) -> Command {
    Command::Policy(policy_epoch::Command::Vote {
        proposal,
        refusal: refusal.map(str::to_owned),
    })
}

fn closed(proposal: u64) -> Command {
    Command::Policy(policy_epoch::Command::Closed { proposal })
}

fn gone_over(epoch: u64) -> Command {
    Command::Policy(policy_epoch::Command::Over { epoch })
}

fn abort(proposal: u64) -> Command {
    Command::Policy(policy_epoch::Command::Abort {
        proposal,
        cause: "took too long".into(),
    })
}

/// Commands of members, in the log's order, that leave something in every table.
fn history() -> Vec<(MemberInstance, Command)> {
    let (c1, c2, c3) = (|| who("c1", 11), || who("c2", 12), || who("c3", 13));
    vec![
        (c1(), Command::Bounds(bounds())),
        (c1(), acquire("life/c1", 5_001)),
        (c2(), acquire("life/c2", 5_002)),
        (c3(), acquire("life/c3", 5_003)),
        (c1(), acquire("discovery-refresh", 5_004)),
        (c2(), acquire("discovery-refresh", 5_005)),
        (c1(), renew("discovery-refresh", 5)),
        (c1(), claim("order-7", true, false)),
        (c1(), send("request-1", Some(("order-7", 1)))),
        (c1(), began("order-7", 1)),
        (c1(), call("order-7", 1, 1)),
        (c1(), call_ended("order-7", 1, Some(vec![1, 2, 254]))),
        (c1(), call("order-7", 1, 2)),
        (c2(), claim("order-8", false, false)),
        (c2(), answer("order-8", 1, done())),
        (c3(), claim("order-9", true, false)),
        (c3(), send("request-3", Some(("order-9", 1)))),
        (c3(), call("order-9", 1, 3)),
        (c1(), expire("life/c3", 4, 0)),
        (c1(), propose(101, "first", 0, false)),
        (c1(), gone_over(1)),
        (c1(), propose(102, "checked", 1, true)),
        (c2(), vote(2, Some("too old"))),
        (c2(), propose(103, "second", 1, false)),
        (c1(), vote(3, None)),
        (c1(), plans()),
        (c2(), say("south", Missing::Hosts)),
        (c1(), say("east", Missing::Hosts)),
    ]
}

/// The state after [`history`], and what came of each entry.
pub fn state() -> (FleetState, Vec<StateChange>) {
    let mut state = FleetState::new();
    let mut effects = Vec::new();
    for (index, (who, command)) in (1..).zip(history()) {
        let proposal = proposal(who, index, index.saturating_sub(3), command);
        state.apply(Index(index), proposal, &mut effects);
    }
    (state, effects)
}
