//! Work in hand: records, and how another conductor takes them over.
//!
//! A [`Table`] is applied by every member from the group's log, in the log's order, so all come to the same decisions
//! and no two can both act. It holds two kinds of record:
//!
//! - a [`Named`] request: one that its client may ask for again under a lasting name. Who has it, how far it has come,
//!   each of its tool calls with its outcome, its final answer;
//! - a [`Sent`] request: one that went to model hosts, under the id that they know it by. A state may be held there for
//!   it until its conductor says that nothing is.
//!
//! What may not be repeated is proposed here and *committed before* it goes out (a tool call, a send of an unsafe
//! class); an owner that died with a record of something gone out, and none of how it ended, can't tell whether it
//! ran, so nobody runs it again. Every write of an owner carries the record's generation, which rises each time the
//! record changes hands: late writes of an owner that was only stopped are refused.
//!
//! When a life of a member ends (its life lease has run out, see [`super::lease`]), [`Table::life_ended`] settles its
//! named requests by effect and stage, at once and alike everywhere. What it left at model hosts is adopted by one
//! member, [`Command::Adopt`], which releases it; should the adopter die, what is left is adopted again.

pub mod recorder;

use super::{Index, MemberInstance};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// The longest name of a request or id of a send, in bytes.
pub const MAX_KEY_BYTES: usize = 64;
/// What a record takes beside its texts, in bytes.
const RECORD_OVERHEAD_BYTES: u64 = 192;
/// Most ids in one [`Command::Over`].
pub const MAX_IDS_PER_COMMAND: usize = 256;

/// Bounds under which a proposer asks for room. They travel with the command, so that all members decide alike
/// whatever their files say.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Bounds {
    /// Most records of both kinds.
    pub records: u64,
    /// Most bytes of all records.
    pub bytes: u64,
}

/// What a member asks the group to write down.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Command {
    /// Takes a named request in hand: a new one, one that nobody has, or (if its client asks for the rest of an
    /// answer that has begun) one that another member has.
    Claim {
        /// The request's lasting name.
        name: String,
        /// Whether its class must not run twice.
        once: bool,
        /// Whether the client asks for the rest of an answer.
        resumes: bool,
        /// Room.
        bounds: Bounds,
    },
    /// A request is about to go to a model host.
    Send {
        /// The id that model hosts know it by.
        id: String,
        /// The host, for the log of whoever adopts it.
        worker: String,
        /// The named request and the generation of its claim, if it has a name.
        name: Option<(String, u64)>,
        /// Whether the host only reads: then nothing has run.
        reads: bool,
        /// Most sends of one request.
        most_attempts: u32,
        /// Room.
        bounds: Bounds,
    },
    /// Its answer has begun.
    Began {
        /// The request's name.
        name: String,
        /// The generation of the claim.
        generation: u64,
    },
    /// A tool call is about to go out.
    Call {
        /// The request's name.
        name: String,
        /// The generation of the claim.
        generation: u64,
        /// The call's place in the answer.
        ordinal: u32,
        /// A digest of its method and arguments.
        arguments: u128,
        /// Room.
        bounds: Bounds,
    },
    /// A tool call has ended. Taken from the life that made the call, also when the request has changed hands.
    CallEnded {
        /// The request's name.
        name: String,
        /// The call's place in the answer.
        ordinal: u32,
        /// Its outcome; `None`: it never reached the tool, and may be tried again.
        outcome: Option<Vec<u8>>,
    },
    /// The final answer.
    Answer {
        /// The request's name.
        name: String,
        /// The generation of the claim.
        generation: u64,
        /// The answer.
        answer: FinalResponse,
    },
    /// The owner ends without a final answer: its client left, or the stream broke. Whoever is asked may go on.
    LetGo {
        /// The request's name.
        name: String,
        /// The generation of the claim.
        generation: u64,
        /// Whether it is known that nothing has run: its client was told that trying again is harmless.
        harmless: bool,
    },
    /// Nothing is held any more for these sends.
    Over {
        /// Their ids, at most [`MOST_OVER`].
        ids: Vec<String>,
    },
    /// Takes over what an ended life left at model hosts.
    Adopt {
        /// The ended life.
        dead: MemberInstance,
    },
    /// Forgets a record that has not changed since.
    Forget {
        /// The request's name.
        name: String,
        /// When it last changed.
        changed: Index,
    },
}

/// A request's one final answer.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum FinalResponse {
    /// It may have run, and nobody knows whether.
    Failed,
    /// Its client took it back.
    Cancelled,
    /// It came to its end: the text in full (`None` if it was over its bound) and the last line's content.
    Done {
        /// The answer's text.
        text: Option<String>,
        /// What the last line says, as the front wrote it.
        last: Vec<u8>,
    },
}

impl FinalResponse {
    fn bytes(&self) -> u64 {
        match self {
            FinalResponse::Failed | FinalResponse::Cancelled => 0,
            FinalResponse::Done { text, last } => {
                (text.as_ref().map_or(0, String::len) + last.len()) as u64
            }
        }
    }
}

/// How far a named request has come.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum RequestStage {
    /// Taken; nothing is out, or only reads are: nothing can have run.
    Taken,
    /// Sent to a host that writes; no event has come.
    Sent,
    /// Its answer has begun. The client comes for the rest.
    Began,
    /// It has its final answer.
    Ended(FinalResponse),
}

/// How far a tool call has come.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum CallState {
    /// It may be out.
    Out,
    /// Its outcome.
    Ended(Vec<u8>),
    /// Its conductor's life ended without a record of the outcome: it may have run.
    Unknown,
}

/// A tool call of a named request.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ToolCall {
    /// The life that made it.
    pub by: MemberInstance,
    /// A digest of its method and arguments.
    pub arguments: u128,
    /// How far it has come.
    pub stage: CallState,
}

/// A request under a lasting name.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ClientRequestRecord {
    /// The life that has it, if any.
    pub owner: Option<MemberInstance>,
    /// Rises each time it changes hands.
    pub generation: u64,
    /// Whether its class must not run twice.
    pub once: bool,
    /// How far it has come.
    pub stage: RequestStage,
    /// Sends since it was taken, or since its answer last began.
    pub attempts: u32,
    /// Its tool calls, by their place in the answer.
    pub calls: BTreeMap<u32, ToolCall>,
    /// The entry that last changed it.
    pub changed: Index,
}

impl ClientRequestRecord {
    fn bytes(&self, name: &str) -> u64 {
        let outcome = |c: &ToolCall| match &c.stage {
            CallState::Ended(outcome) => outcome.len() as u64,
            CallState::Out | CallState::Unknown => 0,
        };
        let answer = if let RequestStage::Ended(answer) = &self.stage {
            answer.bytes()
        } else {
            0
        };
        RECORD_OVERHEAD_BYTES
            + name.len() as u64
            + answer
            + self
                .calls
                .values()
                .map(|c| RECORD_OVERHEAD_BYTES + outcome(c))
                .sum::<u64>()
    }
}

/// A request that went to model hosts and may hold something there.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct UpstreamSendRecord {
    /// The life that has to release it: the sender, or who adopted it.
    pub owner: MemberInstance,
    /// The host it went to last.
    pub worker: String,
    /// Whether it was adopted: its owner releases it and does nothing else with it.
    pub adopted: bool,
}

/// What the group answers.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Reply {
    /// Written down.
    Done,
    /// The request is the asker's now, as this record says; what is in it came before.
    Claimed(Box<ClientRequestRecord>),
    /// The request has ended, with this answer.
    Ended(FinalResponse),
    /// The tool call may go out now.
    Go,
    /// The tool call is on record already, and must not go out again.
    Known(CallState),
    /// Adopted: ids to be released, and the hosts they went to last.
    Adopted(Vec<(String, String)>),
    /// Not written down.
    Refused(Rejection),
}

/// Why something was not written down.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Rejection {
    /// The asker's life has ended.
    LifeEnded,
    /// Another life has the request.
    InHand(MemberInstance),
    /// The request has changed hands, or is not known any more.
    Superseded,
    /// No room; nothing that is recorded is dropped to make some.
    Full,
    /// The call was made before with other arguments.
    OtherArguments,
    /// All sends of the request have been made.
    Spent,
    /// Its answer has begun and it must not run twice: its client may ask for the rest only.
    Begun,
    /// A name that is empty or too long, or too many ids.
    Malformed,
    /// Nothing to adopt, or somebody else has.
    Nothing,
}

/// What all members hear of what was written down.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum RecordChange {
    /// A request has changed hands while its owner lives: that one ends its client's connection.
    Moved {
        /// The request's name.
        name: String,
        /// Who had it.
        from: MemberInstance,
        /// Who has it.
        to: MemberInstance,
    },
    /// A tool call's outcome is there, or known to be unknown.
    CallEnded {
        /// The request's name.
        name: String,
        /// The call's place in the answer.
        ordinal: u32,
    },
    /// Nobody has the request any more.
    Open {
        /// The request's name.
        name: String,
    },
    /// The request has its final answer.
    Ended {
        /// The request's name.
        name: String,
    },
    /// An ended life has left things at model hosts, and nobody has adopted them yet.
    Orphaned {
        /// The ended life.
        dead: MemberInstance,
        /// How many.
        sends: u64,
    },
    /// They were adopted.
    Adopted {
        /// The ended life.
        dead: MemberInstance,
        /// Who releases them.
        adopter: MemberInstance,
    },
}

/// All records, as the group's log makes them.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Table {
    named: BTreeMap<String, ClientRequestRecord>,
    sent: BTreeMap<String, UpstreamSendRecord>,
    orphans: BTreeMap<MemberInstance, u64>,
    bytes: u64,
}

impl Table {
    /// The record of a named request.
    pub fn named(&self, name: &str) -> Option<&ClientRequestRecord> {
        self.named.get(name)
    }

    /// All named requests.
    pub fn all_named(&self) -> impl Iterator<Item = (&str, &ClientRequestRecord)> {
        self.named.iter().map(|(name, r)| (name.as_str(), r))
    }

    /// The record of a send.
    pub fn sent(&self, id: &str) -> Option<&UpstreamSendRecord> {
        self.sent.get(id)
    }

    /// Ended lives whose things nobody has adopted yet.
    pub fn orphaned(&self) -> impl Iterator<Item = &MemberInstance> {
        self.orphans.keys()
    }

    /// Records of both kinds.
    pub fn len(&self) -> usize {
        self.named.len() + self.sent.len()
    }

    /// Whether there are none.
    pub fn is_empty(&self) -> bool {
        self.named.is_empty() && self.sent.is_empty()
    }

    /// Bytes that all records take.
    pub fn bytes(&self) -> u64 {
        self.bytes
    }

    /// Applies a command of a member at a place in the log; `alive` says whether its life lease is in force there.
    pub fn apply(
        &mut self,
        at: Index,
        who: &MemberInstance,
        alive: bool,
        command: Command,
        out: &mut Vec<RecordChange>,
    ) -> Reply {
        if !alive {
            return Reply::Refused(Rejection::LifeEnded);
        }
        let result = match command {
            Command::Claim {
                name,
                once,
                resumes,
                bounds,
            } => self.claim(at, who, name, once, resumes, bounds, out),
            Command::Send {
                id,
                worker,
                name,
                reads,
                most_attempts,
                bounds,
            } => self.send(at, who, id, worker, name, reads, most_attempts, bounds),
            Command::Began { name, generation } => self.change(&name, who, generation, |r| {
                (r.stage, r.attempts, r.changed) = (RequestStage::Began, 0, at);
                Ok(Reply::Done)
            }),
            Command::Call {
                name,
                generation,
                ordinal,
                arguments,
                bounds,
            } => self.call(at, who, &name, generation, ordinal, arguments, bounds),
            Command::CallEnded {
                name,
                ordinal,
                outcome,
            } => self.call_ended(at, who, name, ordinal, outcome, out),
            Command::Answer {
                name,
                generation,
                answer,
            } => {
                let reply = self.change(&name, who, generation, |r| {
                    (r.stage, r.owner, r.changed) = (RequestStage::Ended(answer), None, at);
                    Ok(Reply::Done)
                });
                if reply.is_ok() {
                    out.push(RecordChange::Ended { name });
                }
                reply
            }
            Command::LetGo {
                name,
                generation,
                harmless,
            } => {
                let reply = self.change(&name, who, generation, |r| {
                    (r.owner, r.changed) = (None, at);
                    if harmless && r.stage == RequestStage::Sent {
                        (r.stage, r.attempts) = (RequestStage::Taken, 0);
                    }
                    // What must not run twice and may have run has had its chance: see `life_ended`.
                    r.settle();
                    Ok(Reply::Done)
                });
                if reply.is_ok() {
                    out.push(RecordChange::Open { name });
                }
                reply
            }
            Command::Over { ids } if ids.len() > MAX_IDS_PER_COMMAND => Err(Rejection::Malformed),
            Command::Over { ids } => {
                for id in ids {
                    if self.sent.get(&id).is_some_and(|s| s.owner == *who) {
                        self.sent.remove(&id);
                        self.bytes -= RECORD_OVERHEAD_BYTES + id.len() as u64;
                    }
                }
                Ok(Reply::Done)
            }
            Command::Adopt { dead } => self.adopt(who, dead, out),
            Command::Forget { name, changed } => {
                match self.named.get(&name) {
                    // Not while somebody has it, and not while a call's outcome may still come.
                    Some(r) if r.changed == changed && r.owner.is_none() => {
                        self.bytes -= r.bytes(&name);
                        self.named.remove(&name);
                        Ok(Reply::Done)
                    }
                    _ => Err(Rejection::Superseded),
                }
            }
        };
        result.unwrap_or_else(Reply::Refused)
    }

    /// A life has ended, by the log: its named requests are settled by effect and stage, its calls without an outcome
    /// are unknown for good, and what it left at model hosts waits to be adopted.
    pub fn life_ended(&mut self, at: Index, dead: &MemberInstance, out: &mut Vec<RecordChange>) {
        for (name, r) in &mut self.named {
            let mut changed = false;
            for (ordinal, call) in r.calls.iter_mut().filter(|(_, c)| c.by == *dead) {
                if call.stage == CallState::Out {
                    (call.stage, changed) = (CallState::Unknown, true);
                    out.push(RecordChange::CallEnded {
                        name: name.clone(),
                        ordinal: *ordinal,
                    });
                }
            }
            if r.owner.as_ref() == Some(dead) {
                (r.owner, changed) = (None, true);
                r.settle();
                let name = name.clone();
                out.push(if matches!(r.stage, RequestStage::Ended(_)) {
                    RecordChange::Ended { name }
                } else {
                    RecordChange::Open { name }
                });
            }
            if changed {
                r.changed = at;
            }
        }
        let sends = self.sent.values().filter(|s| s.owner == *dead).count() as u64;
        if sends > 0 {
            self.orphans.insert(dead.clone(), sends);
            out.push(RecordChange::Orphaned {
                dead: dead.clone(),
                sends,
            });
        }
    }

    fn room(&self, records: u64, bytes: u64, bounds: Bounds) -> Result<(), Rejection> {
        let fits =
            self.len() as u64 + records <= bounds.records && self.bytes + bytes <= bounds.bytes;
        if fits { Ok(()) } else { Err(Rejection::Full) }
    }

    /// Changes a record on behalf of its owner, and counts its bytes anew.
    fn change(
        &mut self,
        name: &str,
        who: &MemberInstance,
        generation: u64,
        change: impl FnOnce(&mut ClientRequestRecord) -> Result<Reply, Rejection>,
    ) -> Result<Reply, Rejection> {
        let record = self.named.get_mut(name).ok_or(Rejection::Superseded)?;
        if let RequestStage::Ended(answer) = &record.stage {
            return Ok(Reply::Ended(answer.clone()));
        }
        if record.owner.as_ref() != Some(who) || record.generation != generation {
            return Err(Rejection::Superseded);
        }
        let before = record.bytes(name);
        let reply = change(record);
        self.bytes = self.bytes - before + record.bytes(name);
        reply
    }

    #[allow(clippy::too_many_arguments)]
    fn claim(
        &mut self,
        at: Index,
        who: &MemberInstance,
        name: String,
        once: bool,
        resumes: bool,
        bounds: Bounds,
        out: &mut Vec<RecordChange>,
    ) -> Result<Reply, Rejection> {
        if name.is_empty() || name.len() > MAX_KEY_BYTES {
            return Err(Rejection::Malformed);
        }
        let Some(record) = self.named.get_mut(&name) else {
            let owner = Some(who.clone());
            let (generation, stage, calls) = (1, RequestStage::Taken, BTreeMap::new());
            let record = ClientRequestRecord {
                owner,
                generation,
                once,
                stage,
                attempts: 0,
                calls,
                changed: at,
            };
            let bytes = record.bytes(&name);
            self.room(1, bytes, bounds)?;
            self.bytes += bytes;
            self.named.insert(name, record.clone());
            return Ok(Reply::Claimed(Box::new(record)));
        };
        if record.owner.as_ref() == Some(who) {
            // Its front asks anew: what it did before is over, whether or not it came to saying so.
            record.settle();
            record.changed = at;
        }
        if let RequestStage::Ended(answer) = &record.stage {
            if record.owner.take().is_some() {
                // Settled just now: others may wait for what comes of it.
                out.push(RecordChange::Ended { name });
            }
            return Ok(Reply::Ended(answer.clone()));
        }
        if let Some(owner) = record.owner.as_ref().filter(|o| *o != who) {
            // Asking for the rest moves an answer that has begun. What hasn't begun has no rest: a second try beside
            // it could run twice what must not.
            if !resumes || record.stage != RequestStage::Began {
                return Err(Rejection::InHand(owner.clone()));
            }
            out.push(RecordChange::Moved {
                name,
                from: owner.clone(),
                to: who.clone(),
            });
        } else if record.once && !resumes && record.stage == RequestStage::Began {
            return Err(Rejection::Begun);
        }
        record.owner = Some(who.clone());
        record.generation += 1;
        record.changed = at;
        Ok(Reply::Claimed(Box::new(record.clone())))
    }

    #[allow(clippy::too_many_arguments)]
    fn send(
        &mut self,
        at: Index,
        who: &MemberInstance,
        id: String,
        worker: String,
        name: Option<(String, u64)>,
        reads: bool,
        most_attempts: u32,
        bounds: Bounds,
    ) -> Result<Reply, Rejection> {
        if id.is_empty() || id.len() > MAX_KEY_BYTES || worker.len() > 4 * MAX_KEY_BYTES {
            return Err(Rejection::Malformed);
        }
        let known = self.sent.get(&id);
        if known.is_some_and(|s| s.owner != *who || s.adopted) {
            // Two requests under one id would share what is held; what was adopted is only released.
            return Err(Rejection::Superseded);
        }
        let fresh = known.is_none();
        if fresh {
            self.room(1, RECORD_OVERHEAD_BYTES + id.len() as u64, bounds)?;
        }
        if let Some((name, generation)) = name {
            let reply = self.change(&name, who, generation, |r| {
                if r.attempts >= most_attempts {
                    return Err(Rejection::Spent);
                }
                (r.attempts, r.changed) = (r.attempts + 1, at);
                if r.stage != RequestStage::Began {
                    r.stage = if reads {
                        RequestStage::Taken
                    } else {
                        RequestStage::Sent
                    };
                }
                Ok(Reply::Done)
            })?;
            if let Reply::Ended(_) = reply {
                return Ok(reply);
            }
        }
        if fresh {
            self.bytes += RECORD_OVERHEAD_BYTES + id.len() as u64;
        }
        self.sent.insert(
            id,
            UpstreamSendRecord {
                owner: who.clone(),
                worker,
                adopted: false,
            },
        );
        Ok(Reply::Done)
    }

    #[allow(clippy::too_many_arguments)]
    fn call(
        &mut self,
        at: Index,
        who: &MemberInstance,
        name: &str,
        generation: u64,
        ordinal: u32,
        arguments: u128,
        bounds: Bounds,
    ) -> Result<Reply, Rejection> {
        let room = self.room(0, RECORD_OVERHEAD_BYTES, bounds);
        self.change(name, who, generation, |r| {
            if let Some(call) = r.calls.get(&ordinal) {
                if call.arguments != arguments {
                    return Err(Rejection::OtherArguments);
                }
                return Ok(Reply::Known(call.stage.clone()));
            }
            room?;
            r.calls.insert(
                ordinal,
                ToolCall {
                    by: who.clone(),
                    arguments,
                    stage: CallState::Out,
                },
            );
            r.changed = at;
            Ok(Reply::Go)
        })
    }

    fn call_ended(
        &mut self,
        at: Index,
        who: &MemberInstance,
        name: String,
        ordinal: u32,
        outcome: Option<Vec<u8>>,
        out: &mut Vec<RecordChange>,
    ) -> Result<Reply, Rejection> {
        let record = self.named.get_mut(&name).ok_or(Rejection::Superseded)?;
        let before = record.bytes(&name);
        let call = record
            .calls
            .get_mut(&ordinal)
            .ok_or(Rejection::Superseded)?;
        if call.by != *who || call.stage != CallState::Out {
            return Err(Rejection::Superseded);
        }
        // Room was asked for when the call was let out; an outcome is always taken, or the call would be lost.
        match outcome {
            Some(outcome) => call.stage = CallState::Ended(outcome),
            None => _ = record.calls.remove(&ordinal),
        }
        record.changed = at;
        self.bytes = self.bytes - before + record.bytes(&name);
        out.push(RecordChange::CallEnded { name, ordinal });
        Ok(Reply::Done)
    }

    fn adopt(
        &mut self,
        who: &MemberInstance,
        dead: MemberInstance,
        out: &mut Vec<RecordChange>,
    ) -> Result<Reply, Rejection> {
        self.orphans.remove(&dead).ok_or(Rejection::Nothing)?;
        let mut adopted = Vec::new();
        for (id, sent) in self.sent.iter_mut().filter(|(_, s)| s.owner == dead) {
            (sent.owner, sent.adopted) = (who.clone(), true);
            adopted.push((id.clone(), sent.worker.clone()));
        }
        out.push(RecordChange::Adopted {
            dead,
            adopter: who.clone(),
        });
        Ok(Reply::Adopted(adopted))
    }
}

impl ClientRequestRecord {
    /// Nobody has it any more: what must not run twice and may have run is failed for good. All else stays open for
    /// whoever its client asks next.
    fn settle(&mut self) {
        if self.once && self.stage == RequestStage::Sent {
            self.stage = RequestStage::Ended(FinalResponse::Failed);
        }
    }
}

/// When records are forgotten: the leader's part, by its own clock. A new leader counts anew, so a record may be
/// remembered for longer than the time set and never for less.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct RetentionTracker {
    seen: BTreeMap<String, (Index, u64)>,
}

impl RetentionTracker {
    /// What may be forgotten at `now`, at most `most` at once; `remember` in microseconds.
    pub fn due(&mut self, now: u64, remember: u64, most: usize, table: &Table) -> Vec<Command> {
        let at_rest = |name: &String| table.named(name).is_some_and(|r| r.owner.is_none());
        self.seen.retain(|name, _| at_rest(name));
        let mut due = Vec::new();
        for (name, record) in table.all_named().filter(|(_, r)| r.owner.is_none()) {
            let seen = self
                .seen
                .entry(name.to_owned())
                .or_insert((record.changed, now));
            if seen.0 != record.changed {
                *seen = (record.changed, now);
            }
            if now.saturating_sub(seen.1) >= remember && due.len() < most {
                due.push(Command::Forget {
                    name: name.to_owned(),
                    changed: record.changed,
                });
            }
        }
        due
    }

    /// Leadership is gone: what was seen counts no more.
    pub fn clear(&mut self) {
        self.seen.clear();
    }
}

#[cfg(test)]
mod tests;
