//! One example of every message between members, with different values in all fields of one message.

use super::log::{entries, voters};
use super::{Example, lease_name, member, site};
use std::collections::BTreeSet;
use whinhaven::fleet::message::Message;
use whinhaven::fleet::{Incarnation, Index, Term, Token, membership, raft, renewal};

pub fn examples() -> Vec<Example<Message>> {
    let mut examples = view_examples();
    examples.extend(group_examples());
    examples.extend(renewal_examples());
    examples
}

fn view_examples() -> Vec<Example<Message>> {
    vec![
        (
            "view-ping",
            view(membership::MessageKind::Ping { probe: 401 }),
        ),
        ("view-ping-request", view(ping_request())),
        (
            "view-ack",
            view(membership::MessageKind::Ack { probe: 403 }),
        ),
        (
            "view-nack",
            view(membership::MessageKind::Nack { probe: 404 }),
        ),
        ("view-sync", view(sync())),
        ("view-leave", view(membership::MessageKind::Leave)),
    ]
}

fn view(kind: membership::MessageKind) -> Message {
    Message::Membership(membership::Message {
        sender: membership::MemberRecord {
            site: site("north"),
            address: "127.0.0.1:7101".parse().unwrap(),
            incarnation: Incarnation(1_700_000_000_000_001),
            refutation: 3,
        },
        kind,
        updates: vec![suspect()],
    })
}

fn ping_request() -> membership::MessageKind {
    membership::MessageKind::IndirectPing {
        probe: 402,
        target: member("c4"),
        address: "[::1]:7104".parse().unwrap(),
    }
}

fn sync() -> membership::MessageKind {
    membership::MessageKind::PushPull {
        table: vec![alive(), suspect(), dead(), left()],
        reply_wanted: true,
    }
}

fn alive() -> membership::MemberUpdate {
    membership::MemberUpdate {
        member: member("c5"),
        incarnation: Incarnation(21),
        refutation: 31,
        kind: membership::UpdateKind::Alive {
            site: site("south"),
            address: "[2001:db8::5]:7105".parse().unwrap(),
        },
    }
}

fn suspect() -> membership::MemberUpdate {
    membership::MemberUpdate {
        member: member("c2"),
        incarnation: Incarnation(22),
        refutation: 32,
        kind: membership::UpdateKind::Suspect { by: member("c3") },
    }
}

fn dead() -> membership::MemberUpdate {
    membership::MemberUpdate {
        member: member("c6"),
        incarnation: Incarnation(23),
        refutation: 33,
        kind: membership::UpdateKind::Dead,
    }
}

fn left() -> membership::MemberUpdate {
    membership::MemberUpdate {
        member: member("c7"),
        incarnation: Incarnation(24),
        refutation: 34,
        kind: membership::UpdateKind::Left,
    }
}

fn group_examples() -> Vec<Example<Message>> {
    let examples = [
        ("group-ask", ask()),
        (
            "group-pledge",
            raft::MessageBody::BootstrapVoteResponse { granted: true },
        ),
        ("group-vote", vote()),
        ("group-vote-forced", vote_forced()),
        ("group-voted", voted()),
        ("group-voted-granted", voted_granted()),
        ("group-append", append()),
        ("group-install", raft::MessageBody::InstallSnapshot(part())),
        (
            "group-appended-stale",
            appended(raft::AppendOutcome::StaleTerm),
        ),
        ("group-appended-matched", appended(matched())),
        ("group-appended-conflict", appended(conflict())),
        ("group-appended-taking", appended(taking())),
        ("group-pull", pull()),
        ("group-pulled", pulled()),
        ("group-pulled-part", raft::MessageBody::PullSnapshot(part())),
        ("group-propose-data", propose_data()),
        ("group-propose-voters", propose_voters()),
        ("group-stand", raft::MessageBody::TimeoutNow),
    ];
    examples.map(|(name, body)| (name, group(body))).to_vec()
}

fn group(body: raft::MessageBody) -> Message {
    Message::Raft(raft::Message {
        from_store: 901,
        to_store: 902,
        bootstrapped: true,
        term: Term(77),
        body,
    })
}

fn names() -> BTreeSet<whinhaven::fleet::MemberName> {
    BTreeSet::from([member("c1"), member("c2"), member("c3")])
}

fn ask() -> raft::MessageBody {
    raft::MessageBody::BootstrapVoteRequest {
        initial_voters: names(),
    }
}

fn vote() -> raft::MessageBody {
    raft::MessageBody::VoteRequest {
        pre_vote: true,
        last_index: Index(501),
        last_term: Term(71),
        leadership_transfer: false,
    }
}

fn vote_forced() -> raft::MessageBody {
    raft::MessageBody::VoteRequest {
        pre_vote: false,
        last_index: Index(502),
        last_term: Term(72),
        leadership_transfer: true,
    }
}

fn voted() -> raft::MessageBody {
    raft::MessageBody::VoteResponse {
        pre_vote: true,
        vote_term: Term(78),
        granted: false,
    }
}

fn voted_granted() -> raft::MessageBody {
    raft::MessageBody::VoteResponse {
        pre_vote: false,
        vote_term: Term(79),
        granted: true,
    }
}

fn append() -> raft::MessageBody {
    raft::MessageBody::AppendEntries {
        prev_index: Index(503),
        prev_term: Term(73),
        entries: entries(),
        commit: Index(499),
    }
}

fn part() -> raft::SnapshotChunk {
    raft::SnapshotChunk {
        index: Index(504),
        term: Term(74),
        config: voters(),
        total: 4096,
        offset: 1024,
        data: vec![1, 2, 3, 250],
    }
}

fn appended(outcome: raft::AppendOutcome) -> raft::MessageBody {
    raft::MessageBody::AppendResponse(outcome)
}

fn matched() -> raft::AppendOutcome {
    raft::AppendOutcome::Matched(Index(505))
}

fn conflict() -> raft::AppendOutcome {
    raft::AppendOutcome::Conflict {
        prev_index: Index(506),
        term: Some(Term(75)),
        first_index: Index(480),
    }
}

fn taking() -> raft::AppendOutcome {
    raft::AppendOutcome::InstallingSnapshot {
        index: Index(507),
        offset: 2048,
    }
}

fn pull() -> raft::MessageBody {
    raft::MessageBody::PullRequest {
        next: Index(508),
        snapshot: Some(raft::SnapshotOffset {
            index: Index(509),
            offset: 3072,
        }),
    }
}

fn pulled() -> raft::MessageBody {
    raft::MessageBody::PullResponse {
        entries: entries(),
        commit: Index(510),
        leader: Some(member("c2")),
    }
}

fn propose_data() -> raft::MessageBody {
    raft::MessageBody::Propose(raft::ProposalPayload::Data(vec![9, 8, 7]))
}

fn propose_voters() -> raft::MessageBody {
    raft::MessageBody::Propose(raft::ProposalPayload::TargetVoters(names()))
}

fn renewal_examples() -> Vec<Example<Message>> {
    let examples = [
        ("renewal-renew", renew()),
        (
            "renewal-renewed",
            renewal::Message::Renewed(vec![renewal()]),
        ),
        ("renewal-confirm", confirm()),
        ("renewal-confirmed", confirmed()),
    ];
    let message = |(name, message)| (name, Message::Renewal(message));
    examples.map(message).to_vec()
}

fn renewal() -> renewal::LeaseRenewal {
    renewal::LeaseRenewal {
        holder: member("c3"),
        name: lease_name("discovery-refresh"),
        token: Token(601),
        sequence: 602,
    }
}

fn renew() -> renewal::Message {
    renewal::Message::Renew {
        renewals: vec![renewal()],
        relayed: true,
    }
}

fn confirm() -> renewal::Message {
    renewal::Message::ConfirmLeader {
        term: Term(81),
        round: 603,
    }
}

fn confirmed() -> renewal::Message {
    renewal::Message::LeaderConfirmed {
        term: Term(82),
        round: 604,
        store: 905,
    }
}
