//! What an experiment needs of a fleet, whichever way its members keep their views.

use super::network::{Link, Traffic};
use super::views::Fleet;
use whinhaven::fleet::membership::Status;
use whinhaven::routing::types::Micros;

/// A fleet on the test bed.
pub trait Bed {
    /// How many nodes.
    fn nodes(&self) -> usize;
    /// The time.
    fn now(&self) -> Micros;
    /// Lets time pass.
    fn run(&mut self, until: Micros);
    /// Starts a member in its next life.
    fn start(&mut self, node: usize);
    /// Ends a member without a word.
    fn crash(&mut self, node: usize);
    /// Whether it runs.
    fn runs(&self, node: usize) -> bool;
    /// Cuts one direction.
    fn cut(&mut self, from: usize, to: usize);
    /// Heals all cuts.
    fn heal(&mut self);
    /// Changes all links.
    fn set_link(&mut self, link: Link);
    /// What a node has sent.
    fn sent(&self, node: usize) -> Traffic;
    /// Whether `by` holds `of` alive or suspected.
    fn holds(&self, by: usize, of: usize) -> bool;
    /// Changes of belief since the last call: when, whose, of whom, to what.
    fn heard(&mut self) -> Vec<(Micros, usize, usize, Status)>;

    /// Whether that pair is as it is to be: those that run hold those that run, and nobody else.
    fn right(&self, by: usize, of: usize) -> bool {
        by == of || !self.runs(by) || self.holds(by, of) == self.runs(of)
    }

    /// A pair that is not as it is to be.
    fn wrong(&self) -> Option<(usize, usize)> {
        let pairs = (0..self.nodes()).flat_map(|by| (0..self.nodes()).map(move |of| (by, of)));
        pairs.into_iter().find(|(by, of)| !self.right(*by, *of))
    }

    /// Lets time pass until all agree; says how long it took, none if that was not within `most`.
    fn until_agreed(&mut self, step: Micros, most: Micros) -> Option<Micros> {
        let from = self.now();
        while let Some((by, of)) = self.wrong() {
            // As long as that pair is wrong the others need no look.
            while !self.right(by, of) {
                if self.now() >= from + most {
                    return None;
                }
                self.run(self.now() + step);
            }
        }
        Some(self.now() - from)
    }
}

impl Bed for Fleet {
    fn nodes(&self) -> usize {
        self.world.nodes()
    }

    fn now(&self) -> Micros {
        self.world.now()
    }

    fn run(&mut self, until: Micros) {
        self.world.run(until);
    }

    fn start(&mut self, node: usize) {
        Fleet::start(self, node);
    }

    fn crash(&mut self, node: usize) {
        self.world.crash(node);
    }

    fn runs(&self, node: usize) -> bool {
        self.world.machine(node).is_some()
    }

    fn cut(&mut self, from: usize, to: usize) {
        self.world.network.cut(from, to);
    }

    fn heal(&mut self) {
        self.world.network.heal_all();
    }

    fn set_link(&mut self, link: Link) {
        self.world.network.set_link(link);
    }

    fn sent(&self, node: usize) -> Traffic {
        self.world.network.sent(node)
    }

    fn holds(&self, by: usize, of: usize) -> bool {
        let peer = self
            .world
            .machine(by)
            .and_then(|member| member.membership.member(&self.names[of]));
        peer.is_some_and(|peer| peer.status <= Status::Suspect)
    }

    fn heard(&mut self) -> Vec<(Micros, usize, usize, Status)> {
        let notes = self.world.take_notes();
        let node = |change: &whinhaven::fleet::membership::StatusChange| {
            self.names.binary_search(&change.member).ok()
        };
        notes
            .into_iter()
            .filter_map(|(at, by, change)| Some((at, by, node(&change)?, change.to)))
            .collect()
    }
}
