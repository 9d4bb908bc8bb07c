//! One simulated fleet of hollow members: what each role sends, takes and writes, and how long changes and deaths take
//! to be known.

use super::hollow::{Counts, Frame, HollowMember, Note, seeds};
use super::layout::{Layout, REGIONS, Role, way};
use crate::sim::network::{Link, Network, Traffic};
use crate::sim::views;
use crate::sim::world::World;
use std::collections::BTreeSet;
use std::sync::Arc;
use whinhaven::fleet::membership::Status;
use whinhaven::fleet::node::{Config, Event};
use whinhaven::fleet::{Index, LeaseName, MemberName};
use whinhaven::routing::types::Micros;

const SECOND: Micros = 1_000_000;
/// How closely the moment of a change or a death is looked at.
const STEP: Micros = 20_000;
/// How long a fleet may take to settle, a change to be applied, or a death to be seen by all.
const MOST_WAIT: Micros = 180 * SECOND;
/// Within a zone; the ways between zones are added.
const WITHIN_ZONE: Micros = 250;

/// What happens to the fleet while it is measured.
#[derive(Clone, Copy, Debug, PartialEq, Eq, clap::ValueEnum)]
pub enum Phase {
    /// Nothing.
    Steady,
    /// Members are replaced one by one, all of them within ten minutes' pace.
    Roll,
    /// A zone's members have just been lost.
    ZoneLost,
    /// Two regions have just lost each other.
    RegionsApart,
}

impl Phase {
    /// All phases.
    pub const ALL: [Phase; 4] = [
        Phase::Steady,
        Phase::Roll,
        Phase::ZoneLost,
        Phase::RegionsApart,
    ];

    /// As tables have it.
    pub fn name(self) -> &'static str {
        match self {
            Phase::Steady => "steady",
            Phase::Roll => "roll",
            Phase::ZoneLost => "zone lost",
            Phase::RegionsApart => "regions apart",
        }
    }
}

/// What members of one role do in a second, on average.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Rates {
    /// Bytes sent as datagrams.
    pub datagram_bytes: f64,
    /// Bytes sent over connections.
    pub stream_bytes: f64,
    /// Bytes taken.
    pub taken_bytes: f64,
    /// Messages sent.
    pub messages: f64,
    /// Messages taken.
    pub taken_messages: f64,
    /// Entries written to the log.
    pub entries: f64,
}

impl Rates {
    /// Bytes sent and taken.
    pub fn bytes(&self) -> f64 {
        self.datagram_bytes + self.stream_bytes + self.taken_bytes
    }
}

/// What one phase showed.
#[derive(Clone, Debug)]
pub struct PhaseFigures {
    /// Which.
    pub phase: Phase,
    /// Of a conductor.
    pub conductor: Rates,
    /// Of a relay; nothing where there is none.
    pub relay: Rates,
    /// Of the voter that sent and took most.
    pub voter: Rates,
    /// Rights to act that were lost by members that nothing had happened to.
    pub rights_lost: usize,
}

/// What one fleet showed.
#[derive(Clone, Debug)]
pub struct FleetFigures {
    /// Its size.
    pub members: usize,
    /// Until all saw all and each had its right to act, in seconds.
    pub settled_s: f64,
    /// From a lease's being wanted to its grant's being applied at the last member, in seconds.
    pub change_s: f64,
    /// From a member's death until another one holds it dead, in seconds.
    pub death_first_s: f64,
    /// The same until the last one does.
    pub death_all_s: f64,
    /// Processor time of a member in a second, in microseconds: its machines and encoding, on this machine.
    pub cpu_us: f64,
    /// Resident memory of a member, in bytes.
    pub memory: f64,
    /// By phase.
    pub phases: Vec<PhaseFigures>,
}

/// A simulated fleet that can't be measured.
#[derive(Debug, thiserror::Error)]
pub enum SimulationError {
    /// It did not come to the state to be measured.
    #[error("{members} members: {what} not within {} simulated seconds", MOST_WAIT / SECOND)]
    Late {
        /// Size of the fleet.
        members: usize,
        /// What was waited for.
        what: &'static str,
    },
    /// The system tells nothing of this process.
    #[error("/proc/self: {0}")]
    Process(#[from] std::io::Error),
}

/// A fleet in simulation.
pub struct SimulatedFleet {
    layout: Layout,
    world: World<HollowMember>,
    names: Arc<Vec<MemberName>>,
    settings: Config,
    /// The life that each node is in.
    lives: Vec<u64>,
}

impl SimulatedFleet {
    /// Starts all members, over the first seconds.
    pub fn start(layout: Layout, settings: Config, seed: u64) -> SimulatedFleet {
        let link = Link {
            delay: (WITHIN_ZONE, WITHIN_ZONE * 2),
            ..Link::default()
        };
        let zones: Vec<usize> = (0..layout.members).map(|node| layout.zone(node)).collect();
        let distance = move |from: usize, to: usize| way(zones[from], zones[to]);
        let network = Network::<Frame>::new(layout.members, link, seed).with_ways(distance);
        let names: Arc<Vec<MemberName>> = Arc::new((0..layout.members).map(views::name).collect());
        let world = World::new(network, layout.members);
        let lives = vec![0; layout.members];
        let mut fleet = SimulatedFleet {
            layout,
            world,
            names,
            settings,
            lives,
        };
        for node in 0..layout.members {
            fleet.restart(node);
            let spread = fleet.world.now() + 3 * SECOND / layout.members as Micros;
            fleet.world.run(spread);
        }
        fleet
    }

    /// Starts a node in its next life.
    fn restart(&mut self, node: usize) {
        self.lives[node] += 1;
        let (life, now) = (self.lives[node], self.world.now());
        let (settings, names) = (self.settings.clone(), self.names.clone());
        self.world.start(
            node,
            HollowMember::new(&self.layout, node, life, settings, names, now),
        );
        let seeds = seeds(&self.layout, &self.names);
        self.world.with(node, |member, now, out| {
            member.event(now, Event::Join { seeds }, out);
        });
    }

    /// Ends a member without a word.
    pub fn crash(&mut self, node: usize) {
        self.world.crash(node);
    }

    /// Stops a member, as SIGSTOP does; what comes for it waits.
    pub fn pause(&mut self, node: usize) {
        self.world.pause(node);
    }

    /// Lets a stopped member run on.
    pub fn resume(&mut self, node: usize) {
        self.world.resume(node);
    }

    /// How many others than these have lost their right to act since the last call.
    pub fn rights_lost(&mut self, struck: &BTreeSet<usize>) -> usize {
        let lost = |note: &(Micros, usize, Note)| {
            note.2 == Note::MayAct(false) && !struck.contains(&note.1)
        };
        self.world
            .take_notes()
            .iter()
            .filter(|note| lost(note))
            .count()
    }

    /// Lets time pass.
    pub fn run_for(&mut self, time: Micros) {
        self.world.run(self.world.now() + time);
    }

    /// Lets time pass until something is so; how long that took, in seconds.
    fn until(
        &mut self,
        what: &'static str,
        step: Micros,
        is_so: impl Fn(&World<HollowMember>) -> bool,
    ) -> Result<f64, SimulationError> {
        let from = self.world.now();
        while !is_so(&self.world) {
            if self.world.now() - from > MOST_WAIT {
                return Err(SimulationError::Late {
                    members: self.layout.members,
                    what,
                });
            }
            self.run_for(step);
        }
        Ok((self.world.now() - from) as f64 / SECOND as f64)
    }

    /// Waits until all members see all others and each may act.
    pub fn settle(&mut self) -> Result<f64, SimulationError> {
        let all = self.layout.members;
        let begun = self.world.now();
        self.until("the right to act of each", SECOND / 5, |world| {
            members(world).all(|(_, member)| {
                member
                    .node
                    .lease_token(&life_of(member), world.now())
                    .is_some()
                    && member
                        .node
                        .membership()
                        .members()
                        .filter(|p| p.status == Status::Alive)
                        .count()
                        == all
            })
        })?;
        let took = (self.world.now() - begun) as f64 / SECOND as f64;
        self.world.take_notes();
        Ok(took)
    }

    /// Lets the news of the past go round.
    pub fn rest(&mut self, time: Micros) {
        self.run_for(time);
        self.world.take_notes();
    }

    /// How long a change takes to be applied at the last member.
    pub fn measure_change(&mut self) -> Result<f64, SimulationError> {
        let proposer = self.layout.members - 1;
        let lease = LeaseName::try_from("scale/change").expect("a plain name");
        let begun = self.world.now();
        let wanted = lease.clone();
        self.world.with(proposer, |member, now, out| {
            member.event(now, Event::AcquireLease(wanted), out);
        });
        let granted = |world: &World<HollowMember>| -> Option<Index> {
            let state = world.machine(proposer)?.node.state();
            state
                .leases()
                .grant(&lease)
                .map(|grant| Index(grant.token.0))
        };
        self.until("a grant at its holder", STEP, |world| {
            granted(world).is_some()
        })?;
        self.until("a grant at all", STEP, |world| {
            let index = granted(world).unwrap_or_default();
            members(world).all(|(_, member)| member.node.state().applied() >= index)
        })?;
        Ok((self.world.now() - begun) as f64 / SECOND as f64)
    }

    /// How long a death takes to be seen by the first and by the last.
    pub fn measure_death(&mut self) -> Result<(f64, f64), SimulationError> {
        let victim = self.layout.members - 2;
        self.world.take_notes();
        self.world.crash(victim);
        let died = self.world.now();
        let name = self.names[victim].clone();
        let dead = |member: &HollowMember| {
            member
                .node
                .membership()
                .member(&name)
                .is_some_and(|peer| peer.status == Status::Dead)
        };
        self.until("a death at all", STEP, |world| {
            members(world).all(|(_, member)| dead(member))
        })?;
        let seen = |note: &(Micros, usize, Note)| note.2 == Note::Sees(victim, Status::Dead);
        let times: Vec<Micros> = self
            .world
            .take_notes()
            .iter()
            .filter(|n| seen(n))
            .map(|n| n.0 - died)
            .collect();
        let seconds =
            |time: Option<&Micros>| time.map_or(f64::NAN, |time| *time as f64 / SECOND as f64);
        let figures = (seconds(times.iter().min()), seconds(times.iter().max()));
        self.restart(victim);
        Ok(figures)
    }

    /// Counts what the roles do in a phase of so many seconds. The fleet is left as the phase left it.
    pub fn measure(&mut self, phase: Phase, seconds: u64) -> PhaseFigures {
        self.world.take_notes();
        let mut struck = BTreeSet::new();
        match phase {
            Phase::Steady | Phase::Roll => {}
            Phase::ZoneLost => {
                let zone = |node: &usize| self.layout.zone(*node) == 1;
                struck.extend((self.layout.voters()..self.layout.members).filter(zone));
                struck.iter().for_each(|node| self.world.crash(*node));
            }
            Phase::RegionsApart => struck.extend(self.part_regions()),
        }
        let before = self.counts();
        for second in 0..seconds {
            if phase == Phase::Roll {
                struck.extend(self.replace_some(second));
            }
            self.run_for(SECOND);
        }
        let after = self.counts();
        let rights_lost = self.rights_lost(&struck);
        let role = |role: Role| self.rates(&before, &after, seconds, role);
        let most = |all: Vec<Rates>| {
            all.into_iter()
                .max_by(|a, b| a.bytes().total_cmp(&b.bytes()))
        };
        PhaseFigures {
            phase,
            conductor: mean(&role(Role::Conductor)),
            relay: mean(&role(Role::Relay)),
            voter: most(role(Role::Voter)).unwrap_or_default(),
            rights_lost,
        }
    }

    /// Cuts two neighbouring regions off each other, and says which of their members may have lost their right by it.
    fn part_regions(&mut self) -> Vec<usize> {
        let layout = self.layout;
        let region = |wanted: usize| -> Vec<usize> {
            (0..layout.members)
                .filter(|node| layout.region(*node) == wanted)
                .collect()
        };
        let (one, other) = (region(REGIONS - 2), region(REGIONS - 1));
        for (a, b) in one.iter().flat_map(|a| other.iter().map(move |b| (*a, *b))) {
            self.world.network.cut(a, b);
            self.world.network.cut(b, a);
        }
        [one, other].concat()
    }

    /// Replaces conductors at a pace that replaces all of them in ten minutes.
    fn replace_some(&mut self, second: u64) -> Vec<usize> {
        const ROLL_S: usize = 600;
        let first = self.layout.voters() + self.layout.relays;
        let conductors = self.layout.members - first;
        let reached = |second: usize| first + second * conductors / ROLL_S % conductors.max(1);
        let nodes: Vec<usize> = (reached(second as usize)..reached(second as usize + 1)).collect();
        nodes.iter().for_each(|node| self.restart(*node));
        nodes
    }

    fn counts(&self) -> Vec<(u64, Counts)> {
        let of = |node| {
            self.world
                .machine(node)
                .map_or(Counts::default(), |member| member.counts)
        };
        (0..self.layout.members)
            .map(|node| (self.lives[node], of(node)))
            .collect()
    }

    /// Rates of the members of a role that lived through all of the time.
    fn rates(
        &self,
        before: &[(u64, Counts)],
        after: &[(u64, Counts)],
        seconds: u64,
        role: Role,
    ) -> Vec<Rates> {
        let through = |node: &usize| {
            self.layout.role(*node) == role
                && before[*node].0 == after[*node].0
                && self.world.machine(*node).is_some()
        };
        let nodes = (0..self.layout.members).filter(through);
        nodes
            .map(|node| Rates::between(&before[node].1, &after[node].1, seconds))
            .collect()
    }
}

impl Rates {
    fn between(before: &Counts, after: &Counts, seconds: u64) -> Rates {
        let rate = |before: u64, after: u64| (after - before) as f64 / seconds as f64;
        let bytes = |of: fn(&Counts) -> Traffic| rate(of(before).bytes, of(after).bytes);
        let messages = |of: fn(&Counts) -> Traffic| rate(of(before).messages, of(after).messages);
        Rates {
            datagram_bytes: bytes(|c| c.datagrams),
            stream_bytes: bytes(|c| c.streams),
            taken_bytes: bytes(|c| c.taken),
            messages: messages(|c| c.datagrams) + messages(|c| c.streams),
            taken_messages: messages(|c| c.taken),
            entries: rate(before.entries, after.entries),
        }
    }
}

fn mean(all: &[Rates]) -> Rates {
    let count = all.len().max(1) as f64;
    let of = |value: fn(&Rates) -> f64| all.iter().map(value).sum::<f64>() / count;
    Rates {
        datagram_bytes: of(|r| r.datagram_bytes),
        stream_bytes: of(|r| r.stream_bytes),
        taken_bytes: of(|r| r.taken_bytes),
        messages: of(|r| r.messages),
        taken_messages: of(|r| r.taken_messages),
        entries: of(|r| r.entries),
    }
}

fn members(world: &World<HollowMember>) -> impl Iterator<Item = (usize, &HollowMember)> {
    (0..world.nodes()).filter_map(|node| Some((node, world.machine(node)?)))
}

fn life_of(member: &HollowMember) -> LeaseName {
    whinhaven::fleet::lease::session_lease(&member.node.instance().name).expect("a short name")
}

/// How long the news of all members' joins go round: they came within seconds, and each rides on few messages.
fn news_of_joins(members: usize) -> Micros {
    10 * SECOND + members as Micros * SECOND / 10
}

/// Measures one fleet from its start to the last phase.
///
/// # Errors
/// It does not settle, or this process can't be looked at.
pub fn measure_fleet(
    layout: Layout,
    settings: Config,
    seed: u64,
    seconds: u64,
) -> Result<FleetFigures, SimulationError> {
    let memory = super::process::resident_bytes()?;
    let mut fleet = SimulatedFleet::start(layout, settings, seed);
    let settled_s = fleet.settle()?;
    fleet.rest(news_of_joins(layout.members));
    let members = layout.members as f64;
    let memory = super::process::resident_bytes()?.saturating_sub(memory) as f64 / members;
    let cpu = super::process::processor_time()?;
    let steady = fleet.measure(Phase::Steady, seconds);
    let cpu = super::process::processor_time()?.saturating_sub(cpu);
    let cpu_us = cpu.as_micros() as f64 / members / seconds as f64;
    let change_s = fleet.measure_change()?;
    let (death_first_s, death_all_s) = fleet.measure_death()?;
    fleet.settle()?;
    fleet.rest(10 * SECOND);
    let mut phases = vec![steady, fleet.measure(Phase::Roll, seconds)];
    fleet.settle()?;
    phases.push(fleet.measure(Phase::RegionsApart, seconds));
    fleet.world.network.heal_all();
    fleet.settle()?;
    phases.push(fleet.measure(Phase::ZoneLost, seconds));
    let members = layout.members;
    Ok(FleetFigures {
        members,
        settled_s,
        change_s,
        death_first_s,
        death_all_s,
        cpu_us,
        memory,
        phases,
    })
}
