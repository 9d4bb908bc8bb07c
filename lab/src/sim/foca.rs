//! A fleet of `foca` members over the same simulated network, to compare with.

use super::bed::Bed;
use super::network::{Link, Network, Sent, Traffic};
use super::views::{FRAME, address, name};
use super::world::{Machine, Outbox, World};
use foca::{
    AccumulatingRuntime, Config, Foca, Identity, NoCustomBroadcast, OwnedNotification,
    PostcardCodec, Timer,
};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::num::{NonZeroU32, NonZeroUsize};
use std::time::Duration;
use whinhaven::fleet::membership::{self, Status};
use whinhaven::routing::types::Micros;

/// Who a member is: the same facts as in a view's record.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Id {
    node: usize,
    name: String,
    site: String,
    address: SocketAddr,
    life: u64,
    renewed: u32,
}

impl Identity for Id {
    type Addr = usize;

    fn renew(&self) -> Option<Id> {
        Some(Id {
            renewed: self.renewed + 1,
            ..self.clone()
        })
    }

    fn addr(&self) -> usize {
        self.node
    }

    fn win_addr_conflict(&self, other: &Id) -> bool {
        (self.life, self.renewed) > (other.life, other.renewed)
    }
}

/// One member.
pub struct Member {
    foca: Foca<Id, PostcardCodec, ChaCha8Rng, NoCustomBroadcast>,
    timers: BTreeMap<(Micros, u64), Timer<Id>>,
    count: u64,
    up: BTreeSet<usize>,
}

type Out = Outbox<Vec<u8>, (usize, Status)>;

impl Member {
    fn call(
        &mut self,
        now: Micros,
        out: &mut Out,
        call: impl FnOnce(
            &mut Foca<Id, PostcardCodec, ChaCha8Rng, NoCustomBroadcast>,
            &mut AccumulatingRuntime<Id>,
        ) -> Result<(), foca::Error>,
    ) {
        let mut runtime = AccumulatingRuntime::new();
        // An error is a message that it does not take (from one held down, say): nothing to do.
        let _ = call(&mut self.foca, &mut runtime);
        while let Some((to, data)) = runtime.to_send() {
            let bytes = data.len() + FRAME;
            out.sent.push(Sent {
                to: to.node,
                message: data.to_vec(),
                reliable: false,
                bytes,
            });
        }
        while let Some((after, timer)) = runtime.to_schedule() {
            self.count += 1;
            self.timers
                .insert((now + after.as_micros() as Micros, self.count), timer);
        }
        while let Some(notification) = runtime.to_notify() {
            match notification {
                OwnedNotification::MemberUp(id) => {
                    self.up.insert(id.node);
                    out.notes.push((id.node, Status::Alive));
                }
                OwnedNotification::MemberDown(id) => {
                    self.up.remove(&id.node);
                    out.notes.push((id.node, Status::Dead));
                }
                _ => {}
            }
        }
    }
}

impl Machine for Member {
    type Message = Vec<u8>;
    type Note = (usize, Status);

    fn tick(&mut self, now: Micros, out: &mut Out) {
        while let Some(entry) = self
            .timers
            .first_entry()
            .filter(|entry| entry.key().0 <= now)
        {
            let timer = entry.remove();
            self.call(now, out, |foca, runtime| foca.handle_timer(timer, runtime));
        }
    }

    fn receive(&mut self, now: Micros, _: usize, message: Vec<u8>, out: &mut Out) {
        self.call(now, out, |foca, runtime| {
            foca.handle_data(&message, runtime)
        });
    }

    fn timeout(&self) -> Option<Micros> {
        self.timers.keys().next().map(|(at, _)| *at)
    }
}

/// A fleet of them.
pub struct FocaFleet {
    world: World<Member>,
    config: Config,
    lives: Vec<u64>,
    seed: u64,
}

impl FocaFleet {
    /// Its LAN settings for that size, with the period, the waits and the pings to the dead of `settings`.
    pub fn new(
        members: usize,
        settings: &membership::Config,
        link: Link,
        seed: u64,
        gossip: bool,
    ) -> FocaFleet {
        let mut config =
            Config::new_lan(NonZeroU32::new(members as u32).unwrap_or(NonZeroU32::MIN));
        let period = Duration::from_millis(settings.period_ms);
        config.suspect_to_down_after = config
            .suspect_to_down_after
            .mul_f64(period.as_secs_f64() / config.probe_period.as_secs_f64());
        config.probe_period = period;
        config.probe_rtt = Duration::from_millis(settings.probe_timeout_ms);
        config.num_indirect_probes =
            NonZeroUsize::new(settings.indirect_probes).unwrap_or(NonZeroUsize::MIN);
        config.max_packet_size =
            NonZeroUsize::new(settings.max_datagram_bytes).unwrap_or(NonZeroUsize::MIN);
        if let Some(announce) = config.periodic_announce_to_down_members.as_mut() {
            announce.frequency = Duration::from_millis(settings.reconnect_ms);
            announce.num_members = NonZeroUsize::MIN;
        }
        if !gossip {
            config.periodic_gossip = None;
        }
        let world = World::new(Network::new(members, link, seed), members);
        FocaFleet {
            world,
            config,
            lives: vec![0; members],
            seed,
        }
    }

    fn id(&self, node: usize) -> Id {
        let site = ["milano", "bergamo", "novara"][node % 3].to_owned();
        let name = name(node).as_str().to_owned();
        Id {
            node,
            name,
            site,
            address: address(node),
            life: self.lives[node],
            renewed: 0,
        }
    }
}

impl Bed for FocaFleet {
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
        self.lives[node] += 1;
        let rng =
            ChaCha8Rng::seed_from_u64(self.seed ^ ((node as u64) << 20) ^ (self.lives[node] << 50));
        let foca = Foca::new(self.id(node), self.config.clone(), rng, PostcardCodec);
        let member = Member {
            foca,
            timers: BTreeMap::new(),
            count: 0,
            up: BTreeSet::new(),
        };
        self.world.start(node, member);
        let seeds: Vec<Id> = (0..3.min(self.nodes()))
            .filter(|seed| *seed != node)
            .map(|s| self.id(s))
            .collect();
        for seed in seeds {
            self.world.with(node, |member, now, out| {
                member.call(now, out, |foca, runtime| foca.announce(seed, runtime));
            });
        }
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
        self.world
            .machine(by)
            .is_some_and(|member| member.up.contains(&of))
    }

    fn heard(&mut self) -> Vec<(Micros, usize, usize, Status)> {
        self.world
            .take_notes()
            .into_iter()
            .map(|(at, by, (of, status))| (at, by, of, status))
            .collect()
    }
}
