use super::*;
use crate::fleet::renewal;
use crate::fleet::state::{Command, Proposal};
use crate::fleet::{Incarnation, SiteName};
use std::collections::BTreeSet;
use std::net::Ipv4Addr;
use std::net::SocketAddr;

const SECOND: Micros = 1_000_000;

fn member(name: &str) -> MemberName {
    MemberName::try_from(name).expect("a name")
}

/// A member whose group is itself alone, or which waits for a voter that never comes.
struct SingleMember {
    node: Node,
    now: Micros,
}

impl SingleMember {
    fn new(voter: &str) -> SingleMember {
        let site = SiteName::try_from("here").expect("a name");
        let address = SocketAddr::from((Ipv4Addr::LOCALHOST, 7001));
        let me = membership::LocalMember {
            name: member("c1"),
            site,
            address,
            incarnation: Incarnation(1),
        };
        let (voters, restored) = (
            BTreeSet::from([member(voter)]),
            raft::RestoredState::default(),
        );
        let start = NodeStart {
            local: me,
            store: 1,
            voters,
            restored,
            seed: 1,
            relays: Vec::new(),
        };
        let mut settings = Config::default();
        settings.lease.renewal = lease::RenewalPath::Leader;
        let mut alone = SingleMember {
            node: Node::new(start, settings, 0),
            now: 0,
        };
        alone.run_for(3 * SECOND);
        alone
    }

    fn event(&mut self, event: Event) -> Vec<Action> {
        let mut out = Vec::new();
        self.node.handle(self.now, event, &mut out);
        out
    }

    /// Lets time pass; all that was done.
    fn run_for(&mut self, time: Micros) -> Vec<Action> {
        let end = self.now + time;
        let mut done = Vec::new();
        while let Some(at) = self.node.timeout().filter(|at| *at <= end) {
            self.now = self.now.max(at);
            done.extend(self.event(Event::Tick));
        }
        self.now = end;
        done
    }

    fn life(&self) -> LeaseName {
        lease::session_lease(&member("c1")).expect("a short name")
    }

    /// Hands a renewal in as another member's; the renewals that are answered to it.
    fn renew(&mut self, renewal: LeaseRenewal, relayed: bool) -> Vec<LeaseRenewal> {
        let message = Message::Renewal(renewal::Message::Renew {
            renewals: vec![renewal.clone()],
            relayed,
        });
        let mut done = self.event(Event::Message {
            from: member("c2"),
            message,
        });
        done.extend(self.run_for(SECOND));
        done.iter()
            .flat_map(|action| renewed(action, "c2"))
            .collect()
    }
}

fn renewed(action: &Action, by: &str) -> Vec<LeaseRenewal> {
    match action {
        Action::Send {
            to,
            message: Message::Renewal(renewal::Message::Renewed(renewals)),
            ..
        } if *to == member(by) => renewals.clone(),
        _ => Vec::new(),
    }
}

fn sends_renewals(actions: &[Action]) -> bool {
    actions.iter().any(|action| {
        matches!(
            action,
            Action::Send {
                message: Message::Renewal(_),
                ..
            }
        )
    })
}

#[test]
fn single_member_renews_locally_without_log_entries() {
    let mut alone = SingleMember::new("c1");
    let (life, commit) = (alone.life(), alone.node.raft().commit_index());
    assert!(alone.node.lease_token(&life, alone.now).is_some());
    alone.run_for(60 * SECOND);
    assert!(alone.node.lease_token(&life, alone.now).is_some());
    assert_eq!(alone.node.raft().commit_index(), commit);
}

#[test]
fn leader_answers_only_renewals_of_current_grants() {
    let mut alone = SingleMember::new("c1");
    let name = alone.life();
    let token = alone
        .node
        .state()
        .leases()
        .grant(&name)
        .expect("its life lease")
        .token;
    let good = LeaseRenewal {
        holder: member("c1"),
        name,
        token,
        sequence: 77,
    };
    assert_eq!(alone.renew(good.clone(), true), vec![good.clone()]);
    let wrong_token = LeaseRenewal {
        token: Token(token.0 + 1),
        ..good.clone()
    };
    assert_eq!(alone.renew(wrong_token, true), vec![]);
    let wrong_holder = LeaseRenewal {
        holder: member("c3"),
        ..good.clone()
    };
    assert_eq!(alone.renew(wrong_holder, true), vec![]);
    let unknown = LeaseName::try_from("nothing").expect("a name");
    assert_eq!(
        alone.renew(
            LeaseRenewal {
                name: unknown,
                ..good
            },
            true
        ),
        vec![]
    );
}

/// Where nobody leads, what a relay gathers is dropped, and what another relay has sent on is not sent on again.
#[test]
fn member_without_leader_relays_no_renewals() {
    let mut waits = SingleMember::new("c2");
    let name = waits.life();
    let renewal = LeaseRenewal {
        holder: member("c3"),
        name,
        token: Token(1),
        sequence: 1,
    };
    for relayed in [false, true] {
        let message = Message::Renewal(renewal::Message::Renew {
            renewals: vec![renewal.clone()],
            relayed,
        });
        let mut done = waits.event(Event::Message {
            from: member("c3"),
            message,
        });
        done.extend(waits.run_for(SECOND));
        assert!(!sends_renewals(&done), "relayed {relayed}");
    }
}

/// An end that another member asks for is not taken: only the leader knows what it has renewed.
#[test]
fn leader_ignores_lease_expiry_proposed_by_another_member() {
    let mut alone = SingleMember::new("c1");
    let name = alone.life();
    let grant = alone
        .node
        .state()
        .leases()
        .grant(&name)
        .expect("its life lease")
        .clone();
    let command = lease::Command::Expire {
        name,
        token: grant.token,
        renewals: grant.renewals,
    };
    let who = MemberInstance {
        name: member("c2"),
        incarnation: Incarnation(1),
    };
    let origin = crate::fleet::state::Origin {
        proposer: who,
        sequence: 1,
    };
    let proposal = Proposal {
        origin,
        settled_below: 1,
        command: Command::Lease(command),
    };
    let body = raft::MessageBody::Propose(raft::ProposalPayload::Data(proposal.encode()));
    let (term, commit) = (alone.node.raft().term(), alone.node.raft().commit_index());
    let message = raft::Message {
        from_store: 2,
        to_store: 0,
        bootstrapped: true,
        term,
        body,
    };
    alone.event(Event::Message {
        from: member("c2"),
        message: Message::Raft(message),
    });
    assert_eq!(alone.node.raft().commit_index(), commit);
    assert!(alone.node.state().leases().grant(&alone.life()).is_some());
}
