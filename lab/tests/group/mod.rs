//! What must hold of the group, whoever drives it: the simulation and the model checker share this.

use std::collections::BTreeMap;
use whinhaven::fleet::raft::{Entry, Group, Role, VoterId};
use whinhaven::fleet::{Index, MemberName, Term};

pub fn name(i: usize) -> MemberName {
    MemberName::try_from(format!("c{}", i + 1)).unwrap()
}

/// What was broken.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Wrong {
    /// Two leaders in a term.
    Election(Term, VoterId, VoterId),
    /// A leader without an entry that was applied in an earlier term.
    Completeness(VoterId, Term, Index),
    /// Two members applied different entries at an index.
    StateMachine(Index),
    /// Two logs part at this index, before an entry that both have.
    Logs(Index),
}

impl From<Wrong> for String {
    fn from(wrong: Wrong) -> String {
        format!("{wrong:?}")
    }
}

/// What was seen of a whole run: who led which term, and what was applied at each index.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Ledger {
    pub leaders: BTreeMap<Term, VoterId>,
    /// The entry's term and a digest of all up to it, and the lowest term in which a member was that applied it.
    pub applied: BTreeMap<Index, (Term, u64, Term)>,
}

impl Ledger {
    /// Election safety and leader completeness, for a member that may have just been elected.
    pub fn leads(&mut self, group: &Group) -> Result<(), Wrong> {
        if group.role() != Role::Leader {
            return Ok(());
        }
        let term = group.term();
        match self.leaders.get(&term) {
            Some(other) if other != group.me() => {
                return Err(Wrong::Election(term, other.clone(), group.me().clone()));
            }
            Some(_) => return Ok(()),
            None => self.leaders.insert(term, group.me().clone()),
        };
        for (index, (entry_term, _, in_term)) in &self.applied {
            let base = group.snapshot().map_or(Index(0), |s| s.index);
            let has = *index <= base || term_at(group, *index) == Some(*entry_term);
            if *in_term < term && !has {
                return Err(Wrong::Completeness(group.me().clone(), term, *index));
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
    ) -> Result<(), Wrong> {
        let first = self.applied.entry(index).or_insert((term, digest, in_term));
        first.2 = first.2.min(in_term);
        if (first.0, first.1) != (term, digest) {
            return Err(Wrong::StateMachine(index));
        }
        Ok(())
    }
}

fn term_at(group: &Group, index: Index) -> Option<Term> {
    group
        .entries()
        .iter()
        .find(|e| e.index == index)
        .map(|e| e.term)
}

/// Log matching: logs with an entry of the same index and term are the same up to it.
pub fn logs_match(a: &[Entry], b: &[Entry]) -> Result<(), Wrong> {
    let other = |e: &Entry| {
        let at = e.index.0.checked_sub(b.first()?.index.0)?;
        b.get(at as usize)
    };
    let mut same = false;
    for entry in a.iter().rev() {
        let Some(other) = other(entry) else { continue };
        same |= entry.term == other.term;
        if same && entry != other {
            return Err(Wrong::Logs(entry.index));
        }
    }
    Ok(())
}
