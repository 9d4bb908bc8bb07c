//! What the fleet makes of its sites, carried out: what this conductor sees goes to
//! [`Member`], and what that says goes to the group, to the history, and as weights
//! into the list of hosts that the dispatcher has. New requests are not refused here yet.
//!
//! Hosts are tried by small requests of their own, one host of each site in turn: any answer counts, whatever it says,
//! since a connection alone may be taken by something in between.

use super::history::History;
use super::{Fleet, Told};
use crate::dispatch::{Clock, DispatcherEvent, DispatcherHandle};
use crate::fleet::MemberName;
use crate::fleet::membership;
use crate::fleet::sites::describe;
use crate::fleet::sites::epoch::{self, SiteTable};
use crate::fleet::sites::member::{Action, Event, Member};
use crate::fleet::sites::plan::{PlanError, Plans};
use crate::fleet::sites::watch;
use crate::fleet::state::{Command, StateChange};
use crate::net::discovery::Directory;
use crate::net::stream::RetryingStream;
use crate::routing::types::{Endpoint, EndpointUpdate, Role, Status, WorkerId, WorkerKind};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::time::MissedTickBehavior;

/// What a host is asked to see whether it is there.
const TRY: &[u8] = b"HEAD / HTTP/1.1\r\nhost: whinhaven\r\nconnection: close\r\n\r\n";

/// What the conductor has of its hosts.
pub struct Seen {
    /// Where they are.
    pub directory: Rc<Directory>,
    /// Who chooses among them.
    pub dispatcher: DispatcherHandle,
    /// What they do, by their kinds.
    pub kinds: Vec<WorkerKind>,
}

/// The fleet's sites, as the rest of the program sees them.
pub struct Sites {
    fleet: Fleet,
    clock: Clock,
    hosts: Seen,
    /// The list as it came, without weights of a plan.
    list: RefCell<BTreeMap<WorkerId, Endpoint>>,
    names: Vec<String>,
    own: usize,
    /// The conductors that the file gives each site.
    of: Vec<u32>,
    plans: RefCell<Plans>,
    member: RefCell<Member>,
    /// Members by name: their site, and whether they are alive or suspect.
    conductors: RefCell<BTreeMap<MemberName, (usize, bool)>>,
    /// Most hosts that the list has had of each site at once.
    had: RefCell<Vec<u32>>,
    /// Counts tries, so that they go round.
    tries: Cell<usize>,
    every: Duration,
    woken: Notify,
}

impl Sites {
    /// Makes all plans, on a thread of its own.
    ///
    /// # Errors
    /// A loss for which there is no plan.
    pub async fn plan(tables: describe::Fleet) -> Result<Plans, PlanError> {
        match tokio::task::spawn_blocking(move || Plans::new(tables)).await {
            Ok(plans) => plans,
            Err(failed) => std::panic::resume_unwind(failed.into_panic()),
        }
    }

    /// Begins to listen to the fleet. `own` is the conductor's site, `seed` spreads what all say at once.
    pub fn start(
        fleet: Fleet,
        clock: Clock,
        hosts: Seen,
        plans: Plans,
        own: usize,
        seed: u64,
    ) -> Rc<Self> {
        let tables = &plans.fleet().tables;
        let sites = Rc::new(Sites {
            clock,
            hosts,
            list: RefCell::default(),
            names: tables.site.iter().map(|s| s.name.clone()).collect(),
            own,
            of: tables.site.iter().map(|s| s.routers).collect(),
            member: RefCell::new(Member::new(&plans, own, seed)),
            conductors: RefCell::new([(fleet.who().name, (own, true))].into()),
            had: RefCell::new(vec![0; tables.site.len()]),
            tries: Cell::new(0),
            every: Duration::from_millis(tables.watch.reached_ms.max(1)),
            woken: Notify::new(),
            plans: RefCell::new(plans),
            fleet: fleet.clone(),
        });
        let listener = Rc::downgrade(&sites);
        fleet.listen(Box::new(move |told| {
            if let Some(sites) = listener.upgrade() {
                sites.told(told);
            }
        }));
        tokio::task::spawn_local(sites.clone().keep_time());
        tokio::task::spawn_local(sites.clone().keep_trying());
        sites
    }

    /// Looks at a list that has come, and writes into it what the orders change.
    pub fn weigh(self: &Rc<Self>, kind: EndpointUpdate, entries: &mut [Endpoint]) {
        {
            let mut list = self.list.borrow_mut();
            if matches!(kind, EndpointUpdate::Full | EndpointUpdate::Restored) {
                list.clear();
            }
            for entry in entries.iter() {
                list.insert(entry.worker.clone(), entry.clone());
            }
            list.retain(|_, entry| entry.status != Status::Gone);
        }
        self.listed();
        self.weigh_by_orders(entries);
    }

    fn weigh_by_orders(&self, entries: &mut [Endpoint]) {
        let role = |kind: &str| -> Option<Role> {
            self.hosts
                .kinds
                .iter()
                .find(|k| k.name == *kind)
                .map(|k| k.role)
        };
        let site = |zone: &str| self.names.iter().position(|name| name == zone);
        self.member
            .borrow()
            .allocation()
            .apply_weights(entries, role, site);
    }

    /// New orders: the module is told of all hosts anew.
    fn obey(&self) {
        let mut entries: Vec<Endpoint> = self.list.borrow().values().cloned().collect();
        self.weigh_by_orders(&mut entries);
        self.hosts
            .dispatcher
            .send(DispatcherEvent::EndpointsUpdated {
                update: EndpointUpdate::Incremental,
                endpoints: entries,
            });
    }

    /// Looks at which hosts discovery's list has now.
    fn listed(self: &Rc<Self>) {
        for (site, name) in self.names.iter().enumerate() {
            let hosts = self.hosts.directory.hosts_in_zone(name);
            let ready = hosts.iter().filter(|(_, ready)| *ready).count() as u32;
            let of = {
                let mut had = self.had.borrow_mut();
                had[site] = had[site].max(hosts.len() as u32);
                had[site]
            };
            self.handle(Event::Observed(watch::Event::Listed {
                site,
                ready,
                total: of,
            }));
        }
    }

    fn history(&self) -> History {
        History(self.fleet.who())
    }

    fn told(self: &Rc<Self>, told: &Told) {
        match told {
            Told::Life(_) => self.handle(Event::Pacing(false)),
            Told::View(change) => self.seen(change),
            Told::Leading(leader) => {
                let me = self.fleet.who().name;
                self.handle(Event::Observed(watch::Event::Leader {
                    known: leader.is_some(),
                }));
                self.handle(Event::Pacing(*leader == Some(&me)));
            }
            Told::Effect(_, StateChange::Sites(effect)) => match effect {
                epoch::Effect::SiteChanged {
                    epoch,
                    site,
                    from,
                    to,
                } => {
                    self.history().site_epoch(*epoch, site.as_str(), *from, *to);
                }
                epoch::Effect::Settled { epoch } => self.history().site_settled(*epoch),
                epoch::Effect::Refused(command) => log::debug!("sites: refused: {command:?}"),
            },
            Told::Sites(table) => self.agreed(table),
            Told::Restored(state) => self.agreed(state.sites()),
            Told::MayAct(_) | Told::Effect(..) => {}
        }
    }

    fn agreed(self: &Rc<Self>, table: &SiteTable) {
        self.handle(Event::Table(Box::new(table.clone())));
    }

    /// A belief about a member changed.
    fn seen(self: &Rc<Self>, change: &membership::StatusChange) {
        let Some(site) = self
            .names
            .iter()
            .position(|name| name == change.site.as_str())
        else {
            return;
        };
        let alive = matches!(
            change.to,
            membership::Status::Alive | membership::Status::Suspect
        );
        let alive = {
            let mut conductors = self.conductors.borrow_mut();
            conductors.insert(change.member.clone(), (site, alive));
            conductors
                .values()
                .filter(|(at, alive)| *at == site && *alive)
                .count() as u32
        };
        let of = self.of[site].max(alive);
        self.handle(Event::Observed(watch::Event::Routers {
            site,
            alive,
            total: of,
        }));
    }

    fn handle(self: &Rc<Self>, event: Event) {
        let mut actions = Vec::new();
        let now = self.clock.now();
        self.member
            .borrow_mut()
            .handle(&mut self.plans.borrow_mut(), now, event, &mut actions);
        for action in actions {
            match action {
                Action::Propose(command) => {
                    let fleet = self.fleet.clone();
                    // What is lost is said again by the member, when it still holds.
                    tokio::task::spawn_local(async move {
                        let _ = fleet.propose(Command::Sites(command)).await;
                    });
                }
                Action::Probe { site } => self.try_host(site),
                Action::Changed(change) => self.history().site(&self.names[change.site], &change),
                Action::Allocation(_) => self.obey(),
                Action::NoPlan(why) => self.history().note(&format!("sites: {why}")),
            }
        }
        self.woken.notify_one();
    }

    async fn keep_time(self: Rc<Self>) {
        loop {
            let next = self.member.borrow().timeout(self.clock.now());
            let woken = self.woken.notified();
            tokio::select! {
                () = self.clock.sleep_until(next) => self.handle(Event::Tick),
                () = woken => {}
            }
        }
    }

    /// Tries one host of each other site again and again: what nothing is sent to would not be missed.
    async fn keep_trying(self: Rc<Self>) {
        let mut periods = tokio::time::interval(self.every);
        periods.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            periods.tick().await;
            (0..self.names.len())
                .filter(|site| *site != self.own)
                .for_each(|site| self.try_host(site));
        }
    }

    fn try_host(self: &Rc<Self>, site: usize) {
        let hosts = self.hosts.directory.hosts_in_zone(&self.names[site]);
        let addresses: Vec<SocketAddr> = hosts
            .into_iter()
            .filter_map(|(address, _)| address)
            .collect();
        let turn = self.tries.get();
        self.tries.set(turn.wrapping_add(1));
        let Some(address) = addresses.get(turn % addresses.len().max(1)).copied() else {
            return;
        };
        let (sites, patience) = (self.clone(), self.every);
        tokio::task::spawn_local(async move {
            let tried = tokio::time::timeout(patience, answers(address)).await;
            let reached = tried.is_ok_and(|answered| answered.is_ok());
            sites.handle(Event::Observed(watch::Event::Host { site, reached }));
        });
    }
}

/// Whether anything answers there.
async fn answers(address: SocketAddr) -> std::io::Result<()> {
    let mut stream = RetryingStream(TcpStream::connect(address).await?);
    stream.write_all(TRY).await?;
    stream.read_u8().await.map(|_| ())
}
