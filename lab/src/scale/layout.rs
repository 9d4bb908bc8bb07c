//! Where simulated members are: zones in regions, and how long messages take between them.

use whinhaven::fleet::SiteName;
use whinhaven::routing::types::Micros;

/// Zones of the fleet to design for.
pub const ZONES: usize = 24;
/// Its regions, with as many zones each.
pub const REGIONS: usize = 8;
/// Voters of the group, each in a region of its own.
pub const VOTERS: usize = 5;
/// The way between two zones of one region. Assumed.
const WITHIN_REGION: Micros = 1_000;
/// The way to the next region, and what each further one adds. Assumed.
const NEXT_REGION: Micros = 15_000;

/// The role of a simulated member.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Role {
    /// Keeps the log.
    Voter,
    /// Stands between voters and conductors.
    Relay,
    /// Routes requests, and learns what the log says.
    Conductor,
}

/// How many members of each role there are. Nodes are numbered in the order voters, relays, conductors.
#[derive(Clone, Copy, Debug)]
pub struct Layout {
    /// All of them.
    pub members: usize,
    /// Those that are relays.
    pub relays: usize,
}

impl Layout {
    /// Voters of this fleet: five, or as many as there are.
    pub fn voters(&self) -> usize {
        VOTERS.min(self.members)
    }

    /// The role of a node.
    pub fn role(&self, node: usize) -> Role {
        match node {
            n if n < self.voters() => Role::Voter,
            n if n < self.voters() + self.relays => Role::Relay,
            _ => Role::Conductor,
        }
    }

    /// The relays that a node uses, the nearest first: two of its zone and the next one.
    pub fn relays_of(&self, node: usize) -> Vec<usize> {
        const RELAYS_OF_A_CONDUCTOR: usize = 2;
        if self.role(node) != Role::Conductor || self.relays == 0 {
            return Vec::new();
        }
        let first = self.zone(node) % self.relays;
        let count = RELAYS_OF_A_CONDUCTOR.min(self.relays);
        (0..count)
            .map(|further| self.voters() + (first + further) % self.relays)
            .collect()
    }

    /// The zone of a node. Voters are spread over regions, relays and conductors over zones.
    pub fn zone(&self, node: usize) -> usize {
        let zones_of_region = ZONES / REGIONS;
        match self.role(node) {
            Role::Voter => node * zones_of_region % ZONES,
            Role::Relay => (node - self.voters()) % ZONES,
            Role::Conductor => (node - self.voters() - self.relays) % ZONES,
        }
    }

    /// The region of a node.
    pub fn region(&self, node: usize) -> usize {
        self.zone(node) / (ZONES / REGIONS)
    }

    /// The name of a node's site.
    pub fn site(&self, node: usize) -> SiteName {
        SiteName::try_from(format!("zone{:02}", self.zone(node))).expect("a plain name")
    }
}

/// What the way between two zones adds to that within one.
pub fn way(from_zone: usize, to_zone: usize) -> Micros {
    let region = |zone: usize| zone / (ZONES / REGIONS);
    let apart = region(from_zone).abs_diff(region(to_zone));
    let hops = apart.min(REGIONS - apart) as Micros;
    match (from_zone == to_zone, hops) {
        (true, _) => 0,
        (_, 0) => WITHIN_REGION,
        (_, hops) => NEXT_REGION * hops,
    }
}
