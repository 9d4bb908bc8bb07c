//! The member table: size, expiry and random samples.

use super::Membership;
use super::probe::ProbeTarget;
use super::types::Member;
use crate::fleet::MemberName;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// A random source that can be cloned, compared and hashed: the hash of a counter.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct Random {
    seed: u64,
    draws: u64,
}

impl Random {
    pub fn new(seed: u64) -> Random {
        Random { seed, draws: 0 }
    }

    /// A number below `bound`; 0 if `bound` is 0.
    pub fn below(&mut self, bound: u64) -> u64 {
        self.draws += 1;
        let hash = xxh3_64_with_seed(&self.draws.to_le_bytes(), self.seed);
        ((u128::from(hash) * u128::from(bound)) >> 64) as u64
    }
}

impl Membership {
    /// Whether a member is known as alive or suspected.
    pub(super) fn is_active(&self, name: &MemberName) -> bool {
        self.members
            .get(name)
            .is_some_and(|member| member.status.is_active())
    }

    /// Number of alive and suspected members, the local one included.
    pub(super) fn active_count(&self) -> usize {
        self.members
            .values()
            .filter(|member| member.status.is_active())
            .count()
    }

    /// Up to `count` random other members that satisfy `condition`.
    pub(super) fn sample(
        &mut self,
        count: usize,
        condition: impl Fn(&Member) -> bool,
    ) -> Vec<ProbeTarget> {
        let mut candidates: Vec<_> = self
            .members
            .values()
            .filter(|member| member.name != self.local_name && condition(member))
            .map(|member| ProbeTarget {
                name: member.name.clone(),
                address: member.address,
            })
            .collect();
        let count = count.min(candidates.len());
        for index in 0..count {
            let remaining = (candidates.len() - index) as u64;
            let other = index + self.random.below(remaining) as usize;
            candidates.swap(index, other);
        }
        candidates.truncate(count);
        candidates
    }

    /// Makes room for one more member, if need be by removing the one that has been dead or left for longest.
    pub(super) fn make_room(&mut self) -> bool {
        if self.members.len() < self.config.max_members {
            return true;
        }
        let oldest = self
            .members
            .values()
            .filter(|member| !member.status.is_active())
            .min_by_key(|member| member.since)
            .map(|member| member.name.clone());
        let Some(oldest) = oldest else {
            return false;
        };
        self.remove_member(&oldest);
        true
    }

    /// Removes members that have been dead or left for long enough.
    pub(super) fn reap(&mut self) {
        let reap_after = self.config.reap_after();
        let expired: Vec<_> = self
            .members
            .values()
            .filter(|member| !member.status.is_active())
            .filter(|member| self.now.saturating_sub(member.since) > reap_after)
            .map(|member| member.name.clone())
            .collect();
        for name in expired {
            self.remove_member(&name);
        }
    }

    fn remove_member(&mut self, name: &MemberName) {
        self.members.remove(name);
        self.suspicions.remove(name);
        self.unverified.remove(name);
        self.broadcasts.remove(name);
    }
}
