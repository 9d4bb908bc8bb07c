//! A conductor's side of work in hand: what may go out now, what has to wait, and what is given up.
//!
//! The front and the client side ask before they act; this machine puts the question to the group
//! ([`super`]), waits where waiting helps (a request whose owner may be dying, a call whose outcome is on its
//! way), and gives one [`Verdict`] for each question, by a given time at the latest. What comes after that time
//! frees what nobody will act on any more. Without a valid life lease no verdict lets anything out.

use super::{
    CallState, ClientRequestRecord, Command, FinalResponse, RecordChange, Rejection, Reply,
};
use crate::fleet::MemberInstance;
use crate::routing::types::Micros;
use std::collections::BTreeMap;

/// Names a question; the asker's own, never used twice.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct OperationId(pub u64);

/// What happens to the machine.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Event {
    /// Time has passed.
    Tick,
    /// Something wants to act. Answered by one [`Action::Verdict`], by `until` at the latest.
    Ask {
        /// Names the question.
        ticket: OperationId,
        /// What is to be written down first.
        command: Command,
        /// When the answer is of no use any more.
        until: Micros,
    },
    /// Something has happened that the group has to know, and nobody waits for it: it is told until it is written.
    Tell {
        /// Names the message.
        ticket: OperationId,
        /// What is to be written down.
        command: Command,
    },
    /// The group has answered.
    Reply {
        /// The question's name.
        ticket: OperationId,
        /// The answer; `None`: it is not known whether the command was or will be written down.
        reply: Option<Reply>,
    },
    /// Something was written down, by whomever.
    Notice(RecordChange),
    /// A snapshot took the place of notices: whatever is waited for may have happened.
    Restored,
    /// Whether the life lease can be counted on.
    MayAct(bool),
}

/// What is to be done.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Action {
    /// Put this to the group; answered by [`Event::Reply`] with the ticket.
    Propose {
        /// The question's name.
        ticket: OperationId,
        /// The command.
        command: Command,
    },
    /// The answer to a question.
    Verdict {
        /// The question's name.
        ticket: OperationId,
        /// The answer.
        verdict: Decision,
    },
    /// Another conductor has taken over this request, asked by its client: end it here.
    Moved {
        /// The request's name.
        name: String,
    },
}

/// Whether something may go out.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Decision {
    /// The request is in hand here now; what is in the record came before.
    Claimed(Box<ClientRequestRecord>),
    /// The request has this final answer already.
    Ended(FinalResponse),
    /// Another life has the request, and has not let go of it in time.
    InHand(MemberInstance),
    /// It is written down and may go out now.
    Go,
    /// The call was made before: its outcome, or that it is unknown for good.
    Known(CallState),
    /// It must not go out.
    Refused(Rejection),
    /// The group has not answered in time; it must not go out.
    Late,
    /// This conductor may not act.
    Cut,
}

/// What a question waits for.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Wait {
    /// The group's answer.
    Reply,
    /// Whoever has the request lets go of it, or its life ends.
    Open(MemberInstance),
    /// The outcome of a call that is out.
    Outcome,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct PendingOperation {
    command: Command,
    until: Option<Micros>,
    wait: Wait,
    /// What it would wait for has happened while its answer was on the way: answers and notices may pass each other.
    stirred: bool,
}

impl PendingOperation {
    /// Asks anew: what has changed is on record, and another waiter may have been first.
    fn stir(&mut self, ticket: OperationId, out: &mut Vec<Action>) {
        if self.wait == Wait::Reply {
            self.stirred = true;
        } else {
            self.wait = Wait::Reply;
            out.push(Action::Propose {
                ticket,
                command: self.command.clone(),
            });
        }
    }
}

/// The machine.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct WorkRecorder {
    me: MemberInstance,
    may_act: bool,
    most: usize,
    open: BTreeMap<OperationId, PendingOperation>,
    /// Questions given up whose answer may still come.
    late: BTreeMap<OperationId, Command>,
    next_own: u64,
}

/// Tickets of the machine's own have this bit; askers' have not.
const OWN: u64 = 1 << 63;

impl WorkRecorder {
    /// A machine for one life of a member, with at most `most` questions open and as many given up.
    pub fn new(me: MemberInstance, most: usize) -> Self {
        WorkRecorder {
            me,
            may_act: false,
            most,
            open: BTreeMap::new(),
            late: BTreeMap::new(),
            next_own: OWN,
        }
    }

    /// Questions that have no verdict yet.
    pub fn waiting(&self) -> usize {
        self.open.len()
    }

    /// When to call [`Hands::handle`] with [`Event::Tick`].
    pub fn timeout(&self) -> Option<Micros> {
        self.open.values().filter_map(|q| q.until).min()
    }

    /// Takes one event in and appends what is to be done.
    pub fn handle(&mut self, now: Micros, event: Event, out: &mut Vec<Action>) {
        // First of all: what waited past its time must not be let out by what comes late.
        self.give_up(now, out);
        match event {
            Event::Tick => {}
            Event::Ask {
                ticket,
                command,
                until,
            } => {
                let verdict = if !self.may_act {
                    Some(Decision::Cut)
                } else if now >= until {
                    Some(Decision::Late)
                } else if self.open.len() >= self.most {
                    Some(Decision::Refused(Rejection::Full))
                } else {
                    None
                };
                if let Some(verdict) = verdict {
                    return out.push(Action::Verdict { ticket, verdict });
                }
                self.put(ticket, command, Some(until), out);
            }
            Event::Tell { ticket, command } => self.put(ticket, command, None, out),
            Event::Reply { ticket, reply } => self.reply(ticket, reply, out),
            Event::Notice(notice) => self.notice(notice, out),
            Event::Restored => {
                for (ticket, question) in &mut self.open {
                    question.stir(*ticket, out);
                }
            }
            Event::MayAct(may) => {
                self.may_act = may;
                if !may {
                    let asked: Vec<OperationId> = self
                        .open
                        .iter()
                        .filter(|(_, q)| q.until.is_some())
                        .map(|(t, _)| *t)
                        .collect();
                    asked
                        .into_iter()
                        .for_each(|t| self.end(t, Decision::Cut, out));
                }
            }
        }
    }

    fn put(
        &mut self,
        ticket: OperationId,
        command: Command,
        until: Option<Micros>,
        out: &mut Vec<Action>,
    ) {
        out.push(Action::Propose {
            ticket,
            command: command.clone(),
        });
        self.open.insert(
            ticket,
            PendingOperation {
                command,
                until,
                wait: Wait::Reply,
                stirred: false,
            },
        );
    }

    /// Gives a verdict; if the group's answer may still come, what it then grants is given back.
    fn end(&mut self, ticket: OperationId, verdict: Decision, out: &mut Vec<Action>) {
        let Some(question) = self.open.remove(&ticket) else {
            return;
        };
        if question.wait == Wait::Reply && matches!(verdict, Decision::Late | Decision::Cut) {
            if self.late.len() >= self.most {
                self.late.pop_first();
            }
            self.late.insert(ticket, question.command);
        }
        out.push(Action::Verdict { ticket, verdict });
    }

    fn give_up(&mut self, now: Micros, out: &mut Vec<Action>) {
        let over: Vec<OperationId> = self
            .open
            .iter()
            .filter(|(_, q)| q.until.is_some_and(|u| u <= now))
            .map(|(t, _)| *t)
            .collect();
        for ticket in over {
            let verdict = match self.open.get(&ticket).map(|q| &q.wait) {
                Some(Wait::Open(owner)) => Decision::InHand(owner.clone()),
                Some(Wait::Outcome) => Decision::Known(CallState::Out),
                _ => Decision::Late,
            };
            self.end(ticket, verdict, out);
        }
    }

    fn reply(&mut self, ticket: OperationId, reply: Option<Reply>, out: &mut Vec<Action>) {
        if let Some(command) = self.late.remove(&ticket) {
            return self.came_late(command, reply, out);
        }
        let Some(question) = self.open.get_mut(&ticket) else {
            return;
        };
        if question.wait != Wait::Reply {
            return;
        }
        if question.until.is_none() {
            // Told, not asked: over when it is written down, or of no use any more.
            if reply.is_some() {
                self.open.remove(&ticket);
            } else {
                out.push(Action::Propose {
                    ticket,
                    command: question.command.clone(),
                });
            }
            return;
        }
        let verdict = match reply {
            Some(Reply::Claimed(record)) => Decision::Claimed(record),
            Some(Reply::Ended(answer)) => Decision::Ended(answer),
            Some(Reply::Done | Reply::Go | Reply::Adopted(_)) => Decision::Go,
            Some(Reply::Known(CallState::Out)) => {
                return Self::wait(question, ticket, Wait::Outcome, out);
            }
            Some(Reply::Known(stage)) => Decision::Known(stage),
            Some(Reply::Refused(Rejection::InHand(owner))) => {
                return Self::wait(question, ticket, Wait::Open(owner), out);
            }
            Some(Reply::Refused(refusal)) => Decision::Refused(refusal),
            None => Decision::Late,
        };
        self.end(ticket, verdict, out);
    }

    fn wait(
        question: &mut PendingOperation,
        ticket: OperationId,
        wait: Wait,
        out: &mut Vec<Action>,
    ) {
        if std::mem::take(&mut question.stirred) {
            out.push(Action::Propose {
                ticket,
                command: question.command.clone(),
            });
        } else {
            question.wait = wait;
        }
    }

    /// The group has granted what nobody waits for any more.
    fn came_late(&mut self, command: Command, reply: Option<Reply>, out: &mut Vec<Action>) {
        let back = match (command, reply) {
            (Command::Claim { name, .. }, Some(Reply::Claimed(record))) => Command::LetGo {
                name,
                generation: record.generation,
                harmless: false,
            },
            // It was let out and never went: whoever asks for it next may make it.
            (Command::Call { name, ordinal, .. }, Some(Reply::Go)) => Command::CallEnded {
                name,
                ordinal,
                outcome: None,
            },
            _ => return,
        };
        self.next_own += 1;
        self.put(OperationId(self.next_own), back, None, out);
    }

    fn notice(&mut self, notice: RecordChange, out: &mut Vec<Action>) {
        for (ticket, question) in &mut self.open {
            let concerned = match (&question.command, &notice) {
                (
                    Command::Claim { name, .. },
                    RecordChange::Open { name: n }
                    | RecordChange::Ended { name: n }
                    | RecordChange::Moved { name: n, .. },
                ) => name == n,
                (
                    Command::Call { name, ordinal, .. },
                    RecordChange::CallEnded {
                        name: n,
                        ordinal: o,
                    },
                ) => name == n && ordinal == o,
                _ => false,
            };
            if concerned {
                question.stir(*ticket, out);
            }
        }
        if let RecordChange::Moved { name, from, .. } = notice
            && from == self.me
        {
            out.push(Action::Moved { name });
        }
    }
}

#[cfg(test)]
mod tests;
