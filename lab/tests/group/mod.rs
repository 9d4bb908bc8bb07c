//! Input must hold of the raft, whoever drives it: the simulation and the model checker share this.

use std::collections::BTreeMap;
use whinhaven::fleet::raft::{LogEntry, Raft, Role, VoterId};
use whinhaven::fleet::{Index, MemberName, Term};

pub fn name(i: usize) -> MemberName {
    MemberName::try_from(format!("c{}", i + 1)).unwrap()
}

/// Input was broken.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Violation {
    /// Two leaders in a term.
    ElectionSafety(Term, VoterId, VoterId),
    /// A leader without an entry that was applied in an earlier term.
    LeaderCompleteness(VoterId, Term, Index),
    /// Two members applied different entries at an index.
    StateMachineSafety(Index),
    /// Two logs part at this index, before an entry that both have.
    LogMatching(Index),
}

impl From<Violation> for String {
    fn from(violation: Violation) -> String {
        format!("{violation:?}")
    }
}

/// Input was seen of a whole run: who led which term, and what was applied at each index.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Ledger {
    pub leaders: BTreeMap<Term, VoterId>,
    /// The entry's term and a digest of all up to it, and the lowest term in which a member was that applied it.
    pub applied: BTreeMap<Index, (Term, u64, Term)>,
}

impl Ledger {
    /// Election safety and leader completeness, for a member that may have just been elected.
    pub fn leads(&mut self, raft: &Raft) -> Result<(), Violation> {
        if raft.role() != Role::Leader {
            return Ok(());
        }
        let term = raft.term();
        match self.leaders.get(&term) {
            Some(other) if other != raft.id() => {
                return Err(Violation::ElectionSafety(
                    term,
                    other.clone(),
                    raft.id().clone(),
                ));
            }
            Some(_) => return Ok(()),
            None => self.leaders.insert(term, raft.id().clone()),
        };
        for (index, (entry_term, _, in_term)) in &self.applied {
            let base = raft.snapshot().map_or(Index(0), |s| s.index);
            let has = *index <= base || term_at(raft, *index) == Some(*entry_term);
            if *in_term < term && !has {
                return Err(Violation::LeaderCompleteness(
                    raft.id().clone(),
                    term,
                    *index,
                ));
            }
        }
        Ok(())
    }

    /// State-machine safety: nobody applies something else at the same index.
    pub fn applies(
        &mut self,
        index: Index,
        term: Term,
        digest: u64,
        in_term: Term,
    ) -> Result<(), Violation> {
        let first = self.applied.entry(index).or_insert((term, digest, in_term));
        first.2 = first.2.min(in_term);
        if (first.0, first.1) != (term, digest) {
            return Err(Violation::StateMachineSafety(index));
        }
        Ok(())
    }
}

fn term_at(raft: &Raft, index: Index) -> Option<Term> {
    raft.entries()
        .iter()
        .find(|e| e.index == index)
        .map(|e| e.term)
}

/// Log matching: logs with an entry of the same index and term are the same up to it.
pub fn logs_match(a: &[LogEntry], b: &[LogEntry]) -> Result<(), Violation> {
    let other = |e: &LogEntry| {
        let at = e.index.0.checked_sub(b.first()?.index.0)?;
        b.get(at as usize)
    };
    let mut same = false;
    for entry in a.iter().rev() {
        let Some(other) = other(entry) else { continue };
        same |= entry.term == other.term;
        if same && entry != other {
            return Err(Violation::LogMatching(entry.index));
        }
    }
    Ok(())
}
