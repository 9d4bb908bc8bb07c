//! Policy epochs, checked exhaustively: the very [`Table`] that runs, over a log that commits what members say in every
//! order, with members that hear of it late, die, are cut off past their lives, and come back as new lives.
//!
//! That the log is one log is the group's own model's business, and that a life ends in the log only after its member
//! has stopped is the leases'. Members are modelled here as the gate of the program: it begins requests under the epoch
//! that it has heard of, votes, closes, and goes over.

use stateright::{Checker, HasDiscoveries, Model, Property};
use std::collections::BTreeSet;
use whinhaven::fleet::policy_epoch::{Command, Notice, Table};
use whinhaven::fleet::{Incarnation, MemberInstance, MemberName};
use whinhaven_lab::explore::explore;

const MEMBERS: usize = 3;

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Member {
    life: u64,
    /// Its life lease holds, by its own clock.
    acts: bool,
    epoch: u64,
    /// The proposal under way as it has heard, and whether it is closing.
    staged: Option<(u64, bool)>,
    /// What it has not yet heard of what the log has done.
    inbox: Vec<Notice>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct World {
    table: Table,
    /// The lives that stand in the log.
    living: BTreeSet<MemberInstance>,
    members: Vec<Member>,
    /// On their way to the log, in no order.
    said: Vec<(MemberInstance, Command)>,
    /// The highest epoch under which any request was begun, and whether one began under a lower one after.
    begun: u64,
    fell: bool,
    proposed: u8,
    ends: u8,
    aborts: u8,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Doing {
    Propose(usize),
    /// The log takes what was said.
    Commit(usize),
    /// What was said is lost.
    Lose(usize),
    Hear(usize),
    /// The member begins a request.
    Begin(usize),
    /// The member's life runs out by its own clock: it stops by itself, or has died.
    Stop(usize),
    /// Then the group ends the life.
    End(usize),
    /// It comes back as a new life, with what the log has made so far.
    Return(usize),
    /// The leader ends what takes too long.
    Abort,
}

/// A fault put into the members, for the checker to catch.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Flaw {
    None,
    /// A member goes on beginning requests while it is closing.
    BeginsClosing,
    /// A member says that it begins nothing before it has heard of the closing.
    ClosesEarly,
    /// The group ends a life while its member still acts.
    EndsTheActing,
    /// A member goes over when it has voted.
    GoesOverOnVote,
}

struct Case {
    proposals: u8,
    ends: u8,
    aborts: u8,
    flaw: Flaw,
}

fn who(member: usize, life: u64) -> MemberInstance {
    let name = MemberName::try_from(["c1", "c2", "c3"][member]).unwrap();
    MemberInstance {
        name,
        incarnation: Incarnation(life),
    }
}

impl World {
    fn say(&mut self, m: usize, command: Command) {
        let said = (who(m, self.members[m].life), command);
        if !self.said.contains(&said) {
            self.said.push(said);
            // In no order: one form for all.
            self.said.sort_by_key(|said| format!("{said:?}"));
        }
    }

    fn deliver(&mut self, notices: Vec<Notice>) {
        for member in &mut self.members {
            member.inbox.extend(notices.iter().cloned());
        }
    }

    fn apply(&mut self, who: &MemberInstance, command: Command) {
        let mut notices = Vec::new();
        self.table.apply(who, &self.living, command, &mut notices);
        self.deliver(notices);
    }
}

impl Case {
    fn hear(&self, world: &mut World, m: usize) {
        let notice = world.members[m].inbox.remove(0);
        let member = &mut world.members[m];
        match notice {
            Notice::Staged { proposal, .. } => {
                member.staged = Some((proposal, false));
                if member.acts {
                    world.say(
                        m,
                        Command::Vote {
                            proposal,
                            refusal: None,
                        },
                    );
                    if self.flaw == Flaw::ClosesEarly {
                        world.say(m, Command::Closed { proposal });
                    }
                    if self.flaw == Flaw::GoesOverOnVote {
                        world.members[m].epoch += 1;
                    }
                }
            }
            Notice::Closing { proposal } => {
                member.staged = Some((proposal, true));
                if member.acts {
                    world.say(m, Command::Closed { proposal });
                }
            }
            Notice::Rejected { .. } => member.staged = None,
            Notice::InForce { epoch, .. } => {
                member.staged = None;
                member.epoch = epoch;
            }
        }
    }
}

impl Model for Case {
    type State = World;
    type Action = Doing;

    fn init_states(&self) -> Vec<World> {
        let living: BTreeSet<MemberInstance> = (0..MEMBERS).map(|m| who(m, 1)).collect();
        let mut table = Table::default();
        table.apply(&who(0, 1), &living, propose(0, 0), &mut Vec::new());
        let member = Member {
            life: 1,
            acts: true,
            epoch: 1,
            staged: None,
            inbox: Vec::new(),
        };
        vec![World {
            table,
            living,
            members: vec![member; MEMBERS],
            said: Vec::new(),
            begun: 1,
            fell: false,
            proposed: 0,
            ends: 0,
            aborts: 0,
        }]
    }

    fn actions(&self, world: &World, actions: &mut Vec<Doing>) {
        let idle = world.table.open().is_none() && world.said.is_empty();
        for (m, member) in world.members.iter().enumerate() {
            // At most two at once: the second is told which is under way.
            if world.proposed < self.proposals
                && member.acts
                && m < 2
                && (idle || world.proposed == 1)
            {
                actions.push(Doing::Propose(m));
            }
            if !member.inbox.is_empty() {
                actions.push(Doing::Hear(m));
            }
            let open =
                self.flaw == Flaw::BeginsClosing || !matches!(member.staged, Some((_, true)));
            if member.acts && open && member.epoch != world.begun {
                actions.push(Doing::Begin(m));
            }
            let stands = world.living.contains(&who(m, member.life));
            if member.acts && world.ends < self.ends {
                actions.push(Doing::Stop(m));
                if self.flaw == Flaw::EndsTheActing && stands {
                    actions.push(Doing::End(m));
                }
            }
            if !member.acts && stands {
                actions.push(Doing::End(m));
            }
            if !member.acts && !stands {
                actions.push(Doing::Return(m));
            }
        }
        for at in 0..world.said.len() {
            actions.push(Doing::Commit(at));
            if matches!(world.said[at].1, Command::Propose { .. }) {
                actions.push(Doing::Lose(at));
            }
        }
        if world.table.open().is_some() && world.aborts < self.aborts {
            actions.push(Doing::Abort);
        }
    }

    fn next_state(&self, last: &World, action: Doing) -> Option<World> {
        let mut world = last.clone();
        match action {
            Doing::Propose(m) => {
                world.proposed += 1;
                let base = world.members[m].epoch;
                let mark = u64::from(world.proposed);
                world.say(m, propose(mark, base));
            }
            Doing::Commit(at) => {
                let (who, command) = world.said.remove(at);
                world.apply(&who, command);
            }
            Doing::Lose(at) => _ = world.said.remove(at),
            Doing::Hear(m) => self.hear(&mut world, m),
            Doing::Begin(m) => {
                let epoch = world.members[m].epoch;
                world.fell |= epoch < world.begun;
                world.begun = world.begun.max(epoch);
            }
            Doing::Stop(m) => {
                world.ends += 1;
                world.members[m].acts = false;
            }
            Doing::End(m) => {
                world.ends += u8::from(world.members[m].acts);
                let life = who(m, world.members[m].life);
                world.living.remove(&life);
                let mut notices = Vec::new();
                let living = world.living.clone();
                world.table.settle(&living, &mut notices);
                world.deliver(notices);
            }
            Doing::Return(m) => {
                // A new life acts when it has applied its own grant, and all that came before it.
                let life = world.members[m].life + 1;
                let staged = world.table.open().map(|open| (open.proposal, open.closing));
                let epoch = world.table.epoch();
                world.members[m] = Member {
                    life,
                    acts: true,
                    epoch,
                    staged,
                    inbox: Vec::new(),
                };
                world.living.insert(who(m, life));
                match staged {
                    Some((proposal, true)) => world.say(m, Command::Closed { proposal }),
                    Some((proposal, false)) => world.say(
                        m,
                        Command::Vote {
                            proposal,
                            refusal: None,
                        },
                    ),
                    None => {}
                }
            }
            Doing::Abort => {
                world.aborts += 1;
                let proposal = world.table.open()?.proposal;
                world.apply(
                    &who(0, 1),
                    Command::Abort {
                        proposal,
                        cause: "time".into(),
                    },
                );
            }
        }
        Some(world)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always(
                "none begins under the old after one under the new",
                |_, w: &World| !w.fell,
            ),
            Property::always(
                "who acts holds no epoch that the log does not have",
                |_, w: &World| w.members.iter().all(|m| m.epoch <= w.table.epoch()),
            ),
            Property::always("a switch is everywhere", |_, w: &World| {
                // Whoever acts and has heard all holds the epoch in force.
                let heard = |m: &&Member| m.acts && m.inbox.is_empty();
                w.members
                    .iter()
                    .filter(heard)
                    .all(|m| m.epoch == w.table.epoch())
            }),
            Property::sometimes("a request begins under the second epoch", |_, w: &World| {
                w.begun == 2
            }),
            Property::sometimes("a proposal is in force nowhere", |_, w: &World| {
                w.table.epoch() == 1 && w.table.finished().count() == 2
            }),
        ]
    }
}

fn propose(mark: u64, base: u64) -> Command {
    let content = format!("content {mark}");
    Command::Propose {
        nonce: mark,
        content,
        base,
        only_check: false,
        at_us: 0,
        difference: String::new(),
    }
}

fn check(case: Case, until: HasDiscoveries) -> impl Checker<Case> {
    let name = format!(
        "{} proposals, {} ends, {:?}",
        case.proposals, case.ends, case.flaw
    );
    explore(&name, case, until)
}

#[test]
fn one_proposal_with_a_life_that_ends_and_returns_in_every_order() {
    check(
        Case {
            proposals: 1,
            ends: 1,
            aborts: 1,
            flaw: Flaw::None,
        },
        HasDiscoveries::All,
    )
    .assert_properties();
}

/// With a new life that goes, too.
#[test]
fn one_proposal_with_two_lives_that_end_in_every_order() {
    check(
        Case {
            proposals: 1,
            ends: 2,
            aborts: 1,
            flaw: Flaw::None,
        },
        HasDiscoveries::All,
    )
    .assert_properties();
}

/// A quarter of a minute: by hand.
#[test]
#[ignore = "a quarter of a minute"]
fn two_proposals_in_every_order() {
    check(
        Case {
            proposals: 2,
            ends: 1,
            aborts: 1,
            flaw: Flaw::None,
        },
        HasDiscoveries::All,
    )
    .assert_properties();
}

#[rstest::rstest]
#[case::begins_while_closing(
    Flaw::BeginsClosing,
    "none begins under the old after one under the new"
)]
#[case::closes_early(Flaw::ClosesEarly, "none begins under the old after one under the new")]
#[case::ends_the_acting(
    Flaw::EndsTheActing,
    "none begins under the old after one under the new"
)]
#[case::goes_over_on_vote(
    Flaw::GoesOverOnVote,
    "who acts holds no epoch that the log does not have"
)]
fn a_member_with_a_flaw_is_caught(#[case] flaw: Flaw, #[case] property: &'static str) {
    let checker = check(
        Case {
            proposals: 1,
            ends: 1,
            aborts: 0,
            flaw,
        },
        HasDiscoveries::AnyFailures,
    );
    assert!(
        checker.discovery(property).is_some(),
        "{flaw:?} was not caught"
    );
}
