//! Policy epochs: a change of policy that takes hold everywhere or nowhere.
//!
//! [`Table`] is made by the log alone, so every member decides the same. One proposal is looked at at a time: every
//! live_members member votes; when all have voted yes it is *closing*, and each member begins no request any more and says
//! so; when all live_members members have said so, the entry that brings the last word is the switch. A member whose life the
//! log has ended is waited for no longer: it had stopped acting before. So none begins a request under the old epoch
//! after any other has begun one under the new.

use super::MemberInstance;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeSet, VecDeque};
use xxhash_rust::xxh3::xxh3_64;

/// The longest content: it has to fit into an entry of the log.
pub const MAX_CONTENT_BYTES: usize = 64 * 1024;
/// The longest text that says why, or what differs.
pub const MAX_TEXT_BYTES: usize = 2 * 1024;
/// Proposals that are remembered.
const MAX_FINISHED_PROPOSALS: usize = 32;

/// What a member may ask of the table.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Command {
    /// Put this content in force. Over no epoch at all it is in force at once.
    Propose {
        /// Drawn by whoever asks, to know the proposal again.
        nonce: u64,
        /// The content.
        content: String,
        /// The epoch over which it was made.
        base: u64,
        /// Only ask all members whether they could.
        only_check: bool,
        /// When it was made, in microseconds since 1970 by the proposer's clock. For people to read.
        at_us: u64,
        /// What differs from the epoch in force, for people to read.
        difference: String,
    },
    /// This member can go over, or says why it can't.
    Vote {
        /// Which proposal.
        proposal: u64,
        /// Why not; `None`: it can.
        refusal: Option<String>,
    },
    /// This member begins nothing any more until the proposal is decided.
    Closed {
        /// Which proposal.
        proposal: u64,
    },
    /// This member has gone over.
    Switched {
        /// To which epoch.
        epoch: u64,
    },
    /// Nowhere, whatever was said so far.
    Abort {
        /// Which proposal.
        proposal: u64,
        /// Why.
        cause: String,
    },
}

/// What became of a command.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Reply {
    /// The proposal is looked at under this number.
    Accepted(u64),
    /// Noted.
    Done,
    /// It changed nothing.
    Refused(Refusal),
}

/// Why a command changed nothing.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize, thiserror::Error)]
pub enum Refusal {
    /// Only members that may act have a say.
    #[error("the asked conductor may not act")]
    NoSession,
    /// One proposal at a time.
    #[error("proposal {proposal} of {by} is under way")]
    Busy {
        /// Its number.
        proposal: u64,
        /// Whose it is.
        by: MemberInstance,
    },
    /// It was made over another epoch.
    #[error("it was made over epoch {base}, and epoch {epoch} is in force")]
    StaleBase {
        /// The proposal's.
        base: u64,
        /// The one in force.
        epoch: u64,
    },
    /// It is empty, or a text is too long.
    #[error("empty, or longer than {MAX_CONTENT_BYTES} bytes")]
    Size,
    /// It is in force as it is.
    #[error("nothing differs from epoch {0}")]
    Unchanged(u64),
    /// No such proposal is under way.
    #[error("it is not under way")]
    NotInProgress,
}

/// What all members hear of.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Notice {
    /// Vote on this.
    Staged {
        /// Its number.
        proposal: u64,
        /// The content.
        content: String,
    },
    /// All have voted yes: begin nothing any more, and say so.
    Closing {
        /// Its number.
        proposal: u64,
    },
    /// It is over and changed nothing: refused, given up, or only checked.
    Rejected {
        /// Its number.
        proposal: u64,
        /// Why.
        why: String,
    },
    /// From here on this is in force.
    InForce {
        /// The epoch.
        epoch: u64,
        /// Its content.
        content: String,
    },
}

/// The proposal that is looked at.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct OpenProposal {
    /// Its number.
    pub proposal: u64,
    /// Drawn by whoever asked.
    pub nonce: u64,
    /// Who proposed.
    pub by: MemberInstance,
    /// When, in microseconds since 1970 by the proposer's clock.
    pub at_us: u64,
    /// The content.
    pub content: String,
    /// What differs.
    pub difference: String,
    /// Whether it is only checked.
    pub only_check: bool,
    /// Whether all have voted yes.
    pub closing: bool,
    /// Who has voted yes.
    pub votes: BTreeSet<MemberInstance>,
    /// Who begins nothing any more.
    pub closed: BTreeSet<MemberInstance>,
}

/// A proposal that is over.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct FinishedProposal {
    /// Its number.
    pub proposal: u64,
    /// Drawn by whoever asked.
    pub nonce: u64,
    /// Who proposed.
    pub by: MemberInstance,
    /// When, in microseconds since 1970 by the proposer's clock.
    pub at_us: u64,
    /// Of its content.
    pub digest: u64,
    /// What differed.
    pub difference: String,
    /// What came of it.
    pub outcome: Outcome,
}

/// What came of a proposal.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Outcome {
    /// It is or was in force under this number.
    InForce(u64),
    /// All members could; nothing else was asked.
    Checked,
    /// It is in force nowhere, and why.
    Rejected(String),
}

/// What the log has made of policies.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Table {
    epoch: u64,
    content: String,
    /// Members that have said that they have gone over.
    switched_members: BTreeSet<MemberInstance>,
    last_proposal: u64,
    open: Option<OpenProposal>,
    finished: VecDeque<FinishedProposal>,
}

/// The number by which contents are told apart.
pub fn digest(content: &str) -> u64 {
    xxh3_64(content.as_bytes())
}

impl Table {
    /// The epoch in force; 0 before the first.
    pub fn epoch(&self) -> u64 {
        self.epoch
    }

    /// The content in force; empty before the first epoch.
    pub fn content(&self) -> &str {
        &self.content
    }

    /// Who has said that it has gone over to the epoch in force.
    pub fn switched_members(&self) -> &BTreeSet<MemberInstance> {
        &self.switched_members
    }

    /// The proposal that is looked at.
    pub fn open(&self) -> Option<&OpenProposal> {
        self.open.as_ref()
    }

    /// Proposals that are over, the latest last.
    pub fn finished(&self) -> impl DoubleEndedIterator<Item = &FinishedProposal> {
        self.finished.iter()
    }

    /// Living members whose word is waited for.
    pub fn awaited_members(&self, live_members: &BTreeSet<MemberInstance>) -> Vec<MemberInstance> {
        let Some(open) = &self.open else {
            return Vec::new();
        };
        live_members
            .difference(if open.closing {
                &open.closed
            } else {
                &open.votes
            })
            .cloned()
            .collect()
    }

    /// Applies a command of `who`; `live_members` are the members whose life leases are in force.
    pub fn apply(
        &mut self,
        member: &MemberInstance,
        live_members: &BTreeSet<MemberInstance>,
        command: Command,
        out: &mut Vec<Notice>,
    ) -> Reply {
        let done = match command {
            // The leader ends what takes too long, whether or not it may act.
            Command::Abort { proposal, cause } => {
                match self.open.take_if(|o| o.proposal == proposal) {
                    Some(open) => {
                        self.reject(open, cut(cause), out);
                        Ok(Reply::Done)
                    }
                    None => Err(Refusal::NotInProgress),
                }
            }
            _ if !live_members.contains(member) => Err(Refusal::NoSession),
            Command::Propose {
                nonce,
                content,
                base,
                only_check,
                at_us,
                difference,
            } => {
                let open = OpenProposal {
                    proposal: 0,
                    nonce,
                    by: member.clone(),
                    at_us,
                    content,
                    difference: cut(difference),
                    only_check,
                    closing: false,
                    votes: BTreeSet::new(),
                    closed: BTreeSet::new(),
                };
                self.propose(base, open, out)
            }
            Command::Vote { proposal, refusal } => {
                match self.open.take_if(|o| o.proposal == proposal) {
                    Some(open) if refusal.is_some() && !open.closing => {
                        let why =
                            format!("{} refuses: {}", member.name, refusal.unwrap_or_default());
                        self.reject(open, cut(why), out);
                        Ok(Reply::Done)
                    }
                    Some(mut open) => {
                        open.votes.insert(member.clone());
                        self.open = Some(open);
                        Ok(Reply::Done)
                    }
                    None => Err(Refusal::NotInProgress),
                }
            }
            Command::Closed { proposal } => {
                match self
                    .open
                    .as_mut()
                    .filter(|o| o.proposal == proposal && o.closing)
                {
                    Some(open) => {
                        open.closed.insert(member.clone());
                        Ok(Reply::Done)
                    }
                    None => Err(Refusal::NotInProgress),
                }
            }
            Command::Switched { epoch } if epoch == self.epoch => {
                self.switched_members.retain(|w| live_members.contains(w));
                self.switched_members.insert(member.clone());
                Ok(Reply::Done)
            }
            Command::Switched { .. } => Err(Refusal::NotInProgress),
        };
        self.settle(live_members, out);
        done.unwrap_or_else(Reply::Refused)
    }

    fn propose(
        &mut self,
        base: u64,
        mut open: OpenProposal,
        out: &mut Vec<Notice>,
    ) -> Result<Reply, Refusal> {
        if let Some(under_way) = &self.open {
            // Asked once more, by way of another member: it is the same.
            if under_way.nonce == open.nonce {
                return Ok(Reply::Accepted(under_way.proposal));
            }
            return Err(Refusal::Busy {
                proposal: under_way.proposal,
                by: under_way.by.clone(),
            });
        }
        if let Some(past) = self.finished.iter().find(|p| p.nonce == open.nonce) {
            return Ok(Reply::Accepted(past.proposal));
        }
        if base != self.epoch {
            return Err(Refusal::StaleBase {
                base,
                epoch: self.epoch,
            });
        }
        if open.content.is_empty() || open.content.len() > MAX_CONTENT_BYTES {
            return Err(Refusal::Size);
        }
        if open.content == self.content {
            return Err(Refusal::Unchanged(self.epoch));
        }
        self.last_proposal += 1;
        open.proposal = self.last_proposal;
        // Nobody begins anything before the first epoch: there is nothing to wait for.
        if self.epoch == 0 {
            self.switch(open, out);
        } else {
            out.push(Notice::Staged {
                proposal: self.last_proposal,
                content: open.content.clone(),
            });
            self.open = Some(open);
        }
        Ok(Reply::Accepted(self.last_proposal))
    }

    /// Goes on as far as the live_members members' words allow; also to be called when a life has ended.
    pub fn settle(&mut self, live_members: &BTreeSet<MemberInstance>, out: &mut Vec<Notice>) {
        let Some(mut open) = self.open.take() else {
            return;
        };
        if !live_members.contains(&open.by) {
            let why = format!("{}, who proposed it, is gone", open.by.name);
            return self.reject(open, why, out);
        }
        if !open.closing && live_members.is_subset(&open.votes) {
            if open.only_check {
                let why = "only checked: all could".to_owned();
                out.push(Notice::Rejected {
                    proposal: open.proposal,
                    why,
                });
                return self.remember(open, Outcome::Checked);
            }
            open.closing = true;
            out.push(Notice::Closing {
                proposal: open.proposal,
            });
        }
        if open.closing && live_members.is_subset(&open.closed) {
            return self.switch(open, out);
        }
        self.open = Some(open);
    }

    fn switch(&mut self, mut open: OpenProposal, out: &mut Vec<Notice>) {
        self.epoch += 1;
        self.content = std::mem::take(&mut open.content);
        self.switched_members.clear();
        out.push(Notice::InForce {
            epoch: self.epoch,
            content: self.content.clone(),
        });
        let (epoch, digest) = (self.epoch, digest(&self.content));
        self.remember(open, Outcome::InForce(epoch));
        if let Some(past) = self.finished.back_mut() {
            past.digest = digest;
        }
    }

    fn reject(&mut self, open: OpenProposal, why: String, out: &mut Vec<Notice>) {
        out.push(Notice::Rejected {
            proposal: open.proposal,
            why: why.clone(),
        });
        self.remember(open, Outcome::Rejected(why));
    }

    fn remember(&mut self, open: OpenProposal, outcome: Outcome) {
        let OpenProposal {
            proposal,
            nonce,
            by,
            at_us,
            content,
            difference,
            ..
        } = open;
        let digest = digest(&content);
        self.finished.push_back(FinishedProposal {
            proposal,
            nonce,
            by,
            at_us,
            digest,
            difference,
            outcome,
        });
        while self.finished.len() > MAX_FINISHED_PROPOSALS {
            self.finished.pop_front();
        }
    }
}

/// A text within its bound.
fn cut(mut text: String) -> String {
    let mut at = text.len().min(MAX_TEXT_BYTES);
    while !text.is_char_boundary(at) {
        at -= 1;
    }
    text.truncate(at);
    text
}

#[cfg(test)]
mod tests;
