//! Policy epochs: a change of policy takes effect at all members or at none.
//!
//! [`Table`] is computed from the log alone, so all members decide the same. At most one proposal is open. First every
//! live member votes on it. When all have voted yes, the proposal is *closing*: each member stops admitting requests
//! and confirms that in the log. The log entry with the last confirmation is the switch to the new epoch. A member
//! whose session the log has ended is not waited for, since it stopped acting before that. So no member admits a
//! request under the old epoch after another has admitted one under the new epoch.

use super::MemberInstance;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeSet, VecDeque};
use xxhash_rust::xxh3::xxh3_64;

/// Maximum length of a policy's text in bytes. It has to fit into a log entry.
pub const MAX_CONTENT_BYTES: usize = 64 * 1024;
/// Maximum length in bytes of a reason or of a list of differences; longer texts are truncated.
pub const MAX_TEXT_BYTES: usize = 2 * 1024;
/// Number of finished proposals that the table keeps.
const MAX_FINISHED_PROPOSALS: usize = 32;

/// A command to the table. Encoded by postcard and stored in the log: the order of variants and fields is fixed.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Command {
    /// Propose this content as the next epoch. Before the first epoch it is in force at once.
    Propose {
        /// Number chosen by the proposer, unique to the proposal. A command with the nonce of an earlier proposal is a
        /// repetition of it.
        nonce: u64,
        /// The policy, in canonical form.
        content: String,
        /// The epoch in force when the proposal was made; it is refused if another one is in force.
        base: u64,
        /// Only let all members vote, and change nothing.
        only_check: bool,
        /// Time of the proposal in microseconds since 1970 by the proposer's clock, for people only.
        at_us: u64,
        /// Differences from the epoch in force, for people only.
        difference: String,
    },
    /// This member's vote: whether it can apply the proposed content.
    Vote {
        /// Number of the proposal that is voted on.
        proposal: u64,
        /// Why the member can't apply it; `None`: it can.
        refusal: Option<String>,
    },
    /// This member admits no requests until the proposal is decided.
    Closed {
        /// Number of the proposal for which this member has stopped admitting requests.
        proposal: u64,
    },
    /// This member has switched to an epoch.
    Switched {
        /// Number of the epoch; the command is refused if another epoch is in force.
        epoch: u64,
    },
    /// Reject the proposal, whatever the votes and confirmations so far.
    Abort {
        /// Number of the open proposal to reject.
        proposal: u64,
        /// Why the proposal is aborted, as text for people; cut off at [`MAX_TEXT_BYTES`].
        cause: String,
    },
}

/// The result of a command. Encoded by postcard: the order of variants is fixed.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Reply {
    /// The proposal is accepted for a vote under this number, or was accepted before.
    Accepted(u64),
    /// The command is applied and has no other result.
    Done,
    /// The command is refused and has changed nothing.
    Refused(Refusal),
}

/// Why a command is refused. Encoded by postcard: the order of variants and fields is fixed.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize, thiserror::Error)]
pub enum Refusal {
    /// The member that sent the command has no valid session lease.
    #[error(
        "the router that handled the command has no valid session lease; try again through another router"
    )]
    NoSession,
    /// Another proposal is open; only one can be at a time.
    #[error("proposal {proposal} of {by} is in progress; wait until it is decided, or abort it")]
    Busy {
        /// Number of the open proposal.
        proposal: u64,
        /// Member that made the open proposal.
        by: MemberInstance,
    },
    /// The proposal was made for another epoch than the one in force.
    #[error("the proposal was made for epoch {base}, but epoch {epoch} is in force; propose again")]
    StaleBase {
        /// The epoch that the proposal names.
        base: u64,
        /// Number of the epoch in force, for which the proposal can be made again.
        epoch: u64,
    },
    /// The content is empty or longer than [`MAX_CONTENT_BYTES`].
    #[error("the policy is empty, or longer than {MAX_CONTENT_BYTES} bytes")]
    Size,
    /// The content is that of the epoch in force, whose number is given.
    #[error("the policy does not differ from epoch {0}")]
    Unchanged(u64),
    /// The named proposal is not open, or not in the stage that the command needs.
    #[error("the proposal is not in progress")]
    NotInProgress,
}

/// A change of the table that all members act on.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Notice {
    /// A proposal was staged: vote on it.
    Staged {
        /// Number of the proposal, which the vote has to name.
        proposal: u64,
        /// The proposed policy, in canonical form.
        content: String,
    },
    /// All live members have voted yes: stop admitting requests, and confirm that.
    Closing {
        /// Number of the proposal, which the confirmation has to name.
        proposal: u64,
    },
    /// The proposal ended without effect: refused, aborted, or only checked.
    Rejected {
        /// Number of the proposal that has ended.
        proposal: u64,
        /// Why the proposal ended without effect, as text for people.
        why: String,
    },
    /// A new epoch is in force.
    InForce {
        /// Number of the new epoch, one more than that of the epoch before it.
        epoch: u64,
        /// The policy of the new epoch, in canonical form.
        content: String,
    },
}

/// The open proposal. Encoded by postcard: the order of fields is fixed.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct OpenProposal {
    /// Number of the proposal, counted from 1 over all proposals of the fleet.
    pub proposal: u64,
    /// Number chosen by the proposer, unique to the proposal.
    pub nonce: u64,
    /// Member that made the proposal; the proposal is rejected when its session ends.
    pub by: MemberInstance,
    /// Time of the proposal in microseconds since 1970 by the proposer's clock.
    pub at_us: u64,
    /// The proposed policy, in canonical form.
    pub content: String,
    /// Differences from the epoch in force, for people.
    pub difference: String,
    /// Whether the members only vote and nothing changes.
    pub only_check: bool,
    /// Whether all live members have voted yes, so that they stop admitting requests.
    pub closing: bool,
    /// Members that have voted yes.
    pub votes: BTreeSet<MemberInstance>,
    /// Members that have confirmed that they admit no requests.
    pub closed: BTreeSet<MemberInstance>,
}

/// A finished proposal. Encoded by postcard: the order of fields is fixed.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct FinishedProposal {
    /// Number of the proposal, counted from 1 over all proposals of the fleet.
    pub proposal: u64,
    /// Number chosen by the proposer, unique to the proposal.
    pub nonce: u64,
    /// Member that made the proposal.
    pub by: MemberInstance,
    /// Time of the proposal in microseconds since 1970 by the proposer's clock.
    pub at_us: u64,
    /// [`digest`] of the proposed content.
    pub digest: u64,
    /// Differences from the epoch that was in force, for people.
    pub difference: String,
    /// Whether the proposal took effect, was only checked, or was rejected.
    pub outcome: Outcome,
}

/// How a proposal ended. Encoded by postcard: the order of variants is fixed.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Outcome {
    /// It is or was in force as the epoch with this number.
    InForce(u64),
    /// All live members voted yes, and the proposal was to be checked only.
    Checked,
    /// It ended without effect, for this reason.
    Rejected(String),
}

/// The replicated state of policies, computed from the log alone. Encoded by postcard in snapshots: the order of fields
/// is fixed.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Table {
    epoch: u64,
    content: String,
    /// Members that have confirmed the switch to the epoch in force.
    switched_members: BTreeSet<MemberInstance>,
    last_proposal: u64,
    open: Option<OpenProposal>,
    finished: VecDeque<FinishedProposal>,
}

/// Hash of a policy's text, by which people and logs identify it.
pub fn digest(content: &str) -> u64 {
    xxh3_64(content.as_bytes())
}

impl Table {
    /// Number of the epoch in force; 0 before the first.
    pub fn epoch(&self) -> u64 {
        self.epoch
    }

    /// The policy in force; empty before the first epoch.
    pub fn content(&self) -> &str {
        &self.content
    }

    /// Members that have confirmed the switch to the epoch in force.
    pub fn switched_members(&self) -> &BTreeSet<MemberInstance> {
        &self.switched_members
    }

    /// The open proposal, if there is one.
    pub fn open(&self) -> Option<&OpenProposal> {
        self.open.as_ref()
    }

    /// The latest finished proposals, oldest first.
    pub fn finished(&self) -> impl DoubleEndedIterator<Item = &FinishedProposal> {
        self.finished.iter()
    }

    /// Live members whose vote, or whose confirmation while closing, is missing. Empty if no proposal is open.
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

    /// Applies a command of `member`. `live_members` are the members whose session leases are valid.
    pub fn apply(
        &mut self,
        member: &MemberInstance,
        live_members: &BTreeSet<MemberInstance>,
        command: Command,
        out: &mut Vec<Notice>,
    ) -> Reply {
        let result = match command {
            // The leader aborts overdue proposals, whether or not its own session lease is valid.
            Command::Abort { proposal, cause } => {
                match self.open.take_if(|o| o.proposal == proposal) {
                    Some(open) => {
                        self.reject(open, truncated(cause), out);
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
                    difference: truncated(difference),
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
                        self.reject(open, truncated(why), out);
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
                self.switched_members
                    .retain(|instance| live_members.contains(instance));
                self.switched_members.insert(member.clone());
                Ok(Reply::Done)
            }
            Command::Switched { .. } => Err(Refusal::NotInProgress),
        };
        self.settle(live_members, out);
        result.unwrap_or_else(Reply::Refused)
    }

    fn propose(
        &mut self,
        base: u64,
        mut open: OpenProposal,
        out: &mut Vec<Notice>,
    ) -> Result<Reply, Refusal> {
        if let Some(open_proposal) = &self.open {
            // The same command was proposed again, possibly through another member.
            if open_proposal.nonce == open.nonce {
                return Ok(Reply::Accepted(open_proposal.proposal));
            }
            return Err(Refusal::Busy {
                proposal: open_proposal.proposal,
                by: open_proposal.by.clone(),
            });
        }
        if let Some(finished) = self.finished.iter().find(|p| p.nonce == open.nonce) {
            return Ok(Reply::Accepted(finished.proposal));
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
        // No member admits requests before the first epoch, so there is no need for votes and confirmations.
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

    /// Advances the open proposal as far as the votes and confirmations of the live members allow. Has to be called
    /// also when a session has ended.
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
        if let Some(finished) = self.finished.back_mut() {
            finished.digest = digest;
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

/// Cuts a text to [`MAX_TEXT_BYTES`], at a character boundary.
fn truncated(mut text: String) -> String {
    let mut at = text.len().min(MAX_TEXT_BYTES);
    while !text.is_char_boundary(at) {
        at -= 1;
    }
    text.truncate(at);
    text
}

#[cfg(test)]
mod tests;
