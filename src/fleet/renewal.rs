//! Renewals of leases off the log.
//!
//! A holder asks the leader, straight or through a relay. The leader counts the lease's time anew at once, which is
//! always safe, and answers once a majority of the voters has confirmed, after the request came, that it leads in its
//! term: so whoever leads later was elected after the request was sent, and counts the whole time from then on. Grants
//! and ends stay in the log. Why two holders still never act at once: `docs/design/leases.md`.

use crate::fleet::raft::{VoterConfig, VoterId};
use crate::fleet::{LeaseName, MemberName, Term, Token};
use crate::routing::types::Micros;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// The most renewals in a message, and that wait for a round at the leader or at a relay.
pub const MOST_RENEWALS: usize = 4_096;
/// A confirmation that is missing for this long is asked for again.
const ASK_AGAIN: Micros = 100_000;
/// How long a relay gathers renewals for one message.
pub const GATHER: Micros = 50_000;

/// A holder's request to go on holding a lease.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Renewal {
    /// Who holds it.
    pub holder: MemberName,
    /// Which.
    pub name: LeaseName,
    /// Under which grant.
    pub token: Token,
    /// The holder's number of this request.
    pub number: u64,
}

/// What members say to each other about renewals.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Message {
    /// To the leader, or to a relay on the way there.
    Renew {
        /// What is asked for.
        renewals: Vec<Renewal>,
        /// Whether a relay sends it on.
        relayed: bool,
    },
    /// The answer, on the way back to the holders.
    Renewed(Vec<Renewal>),
    /// The leader asks a voter whether it still follows.
    Confirm {
        /// The leader's term.
        term: Term,
        /// The leader's number of this question.
        round: u64,
    },
    /// It does.
    Confirmed {
        /// As asked.
        term: Term,
        /// As asked.
        round: u64,
        /// The voter's store.
        store: u64,
    },
}

/// A message and whom it is for.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Outgoing {
    /// The receiver.
    pub to: MemberName,
    /// What it is sent.
    pub message: Message,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Waiting {
    from: MemberName,
    renewal: Renewal,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Round {
    confirmed: BTreeSet<VoterId>,
    answers: Vec<Waiting>,
    ask_at: Micros,
}

/// The leader's side: renewals that wait until its leadership is confirmed.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Confirmation {
    number: u64,
    round: Option<Round>,
    waiting: Vec<Waiting>,
}

impl Confirmation {
    /// This member began or ceased to lead: nothing that waits is answered.
    pub fn clear(&mut self) {
        self.round = None;
        self.waiting.clear();
    }

    /// Takes a renewal whose lease's time is counted anew. Beyond the bound it is dropped, and asked for again.
    pub fn take(&mut self, from: MemberName, renewal: Renewal) {
        if self.waiting.len() < MOST_RENEWALS {
            self.waiting.push(Waiting { from, renewal });
        }
    }

    /// A voter has confirmed a round.
    pub fn confirmed(&mut self, voter: VoterId, round: u64) {
        if let Some(open) = self.round.as_mut().filter(|_| round == self.number) {
            open.confirmed.insert(voter);
        }
    }

    /// Ends the round that a majority has confirmed, and begins the next one where renewals wait.
    pub fn turn(
        &mut self,
        now: Micros,
        me: &VoterId,
        term: Term,
        voters: &VoterConfig,
        out: &mut Vec<Outgoing>,
    ) {
        loop {
            if self.round.is_none() && !self.waiting.is_empty() {
                self.number += 1;
                let answers = std::mem::take(&mut self.waiting);
                self.round = Some(Round {
                    confirmed: BTreeSet::from([me.clone()]),
                    answers,
                    ask_at: now,
                });
            }
            let Some(round) = &mut self.round else { return };
            if voters.voters.intersection(&round.confirmed).count() < voters.majority() {
                break;
            }
            let answers = std::mem::take(&mut round.answers);
            self.round = None;
            answer(answers, out);
        }
        self.ask(now, me, term, voters, out);
    }

    /// Asks the voters that have not confirmed the open round, now and then.
    fn ask(
        &mut self,
        now: Micros,
        me: &VoterId,
        term: Term,
        voters: &VoterConfig,
        out: &mut Vec<Outgoing>,
    ) {
        let Some(round) = self.round.as_mut().filter(|round| round.ask_at <= now) else {
            return;
        };
        round.ask_at = now.saturating_add(ASK_AGAIN);
        let missing = voters
            .voters
            .iter()
            .filter(|voter| *voter != me && !round.confirmed.contains(voter));
        let message = Message::Confirm {
            term,
            round: self.number,
        };
        out.extend(missing.map(|voter| Outgoing {
            to: voter.name.clone(),
            message: message.clone(),
        }));
    }

    /// When [`Confirmation::turn`] has something to do.
    pub fn timeout(&self) -> Option<Micros> {
        self.round.as_ref().map(|round| round.ask_at)
    }
}

/// Sends answers back the ways that the renewals came.
fn answer(answers: Vec<Waiting>, out: &mut Vec<Outgoing>) {
    let mut ways: BTreeMap<MemberName, Vec<Renewal>> = BTreeMap::new();
    for Waiting { from, renewal } in answers {
        ways.entry(from).or_default().push(renewal);
    }
    out.extend(ways.into_iter().map(|(to, renewals)| Outgoing {
        to,
        message: Message::Renewed(renewals),
    }));
}

/// A relay's side: renewals of others that go to the leader together.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Gathering {
    renewals: Vec<Renewal>,
    due: Option<Micros>,
}

impl Gathering {
    /// Takes renewals on. Beyond the bound they are dropped, and asked for again.
    pub fn take(&mut self, now: Micros, renewals: Vec<Renewal>) {
        let room = MOST_RENEWALS - self.renewals.len();
        self.renewals.extend(renewals.into_iter().take(room));
        self.due.get_or_insert(now.saturating_add(GATHER));
    }

    /// What goes to the leader now.
    pub fn due(&mut self, now: Micros) -> Option<Message> {
        self.due.filter(|due| *due <= now)?;
        self.due = None;
        let renewals = std::mem::take(&mut self.renewals);
        (!renewals.is_empty()).then_some(Message::Renew {
            renewals,
            relayed: true,
        })
    }

    /// When [`Gathering::due`] has something.
    pub fn timeout(&self) -> Option<Micros> {
        self.due
    }
}

#[cfg(test)]
mod tests;
