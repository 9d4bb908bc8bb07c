//! Runs this router's part in the fleet's assessment of its sites: passes observations to [`Member`], and its results
//! to the Raft group, to the history, and as weights to the dispatcher's list of hosts. New requests are not refused
//! here yet.
//!
//! Model hosts are probed by small requests, one host of each site in turn. Any answer counts, whatever its status. A
//! connection alone does not count, since an intermediary may have accepted it.

use super::history::History;
use super::{Fleet, FleetEvent};
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

/// Request that probes a host.
const PROBE_REQUEST: &[u8] = b"HEAD / HTTP/1.1\r\nhost: whinhaven\r\nconnection: close\r\n\r\n";

/// Sources of information about the model hosts.
pub struct ModelHosts {
    /// The hosts' zones and addresses, from discovery.
    pub directory: Rc<Directory>,
    /// The dispatcher, which receives the hosts' weights.
    pub dispatcher: DispatcherHandle,
    /// All kinds of workers, with their roles.
    pub kinds: Vec<WorkerKind>,
}

/// This router's part in the fleet's assessment of its sites.
pub struct Sites {
    fleet: Fleet,
    clock: Clock,
    hosts: ModelHosts,
    /// The list of hosts as discovery reported it, without the weights of a plan.
    list: RefCell<BTreeMap<WorkerId, Endpoint>>,
    names: Vec<String>,
    own_site: usize,
    /// Number of routers that the configuration gives each site.
    configured_routers: Vec<u32>,
    plans: RefCell<Plans>,
    member: RefCell<Member>,
    /// Routers by name: their site, and whether they count as alive (alive or suspect).
    routers_by_name: RefCell<BTreeMap<MemberName, (usize, bool)>>,
    /// Highest number of hosts of each site that the list has had at once.
    max_hosts: RefCell<Vec<u32>>,
    /// Counts probes, so that they go through the hosts in turn.
    probe_count: Cell<usize>,
    probe_interval: Duration,
    timer_changed: Notify,
}

impl Sites {
    /// Computes the plans for all losses of sites, on a blocking thread.
    ///
    /// # Errors
    /// There is a loss for which no plan exists.
    pub async fn build_plans(tables: describe::Fleet) -> Result<Plans, PlanError> {
        match tokio::task::spawn_blocking(move || Plans::new(tables)).await {
            Ok(plans) => plans,
            Err(error) => std::panic::resume_unwind(error.into_panic()),
        }
    }

    /// Starts to follow the fleet's events. `own_site` is the index of this router's site. `seed` gives the jitter of
    /// proposals, so that the routers do not all propose at once.
    pub fn start(
        fleet: Fleet,
        clock: Clock,
        hosts: ModelHosts,
        plans: Plans,
        own_site: usize,
        seed: u64,
    ) -> Rc<Self> {
        let tables = &plans.fleet().tables;
        let sites = Rc::new(Sites {
            clock,
            hosts,
            list: RefCell::default(),
            names: tables.site.iter().map(|s| s.name.clone()).collect(),
            own_site,
            configured_routers: tables.site.iter().map(|s| s.routers).collect(),
            member: RefCell::new(Member::new(&plans, own_site, seed)),
            routers_by_name: RefCell::new([(fleet.instance().name, (own_site, true))].into()),
            max_hosts: RefCell::new(vec![0; tables.site.len()]),
            probe_count: Cell::new(0),
            probe_interval: Duration::from_millis(tables.watch.reached_ms.max(1)),
            timer_changed: Notify::new(),
            plans: RefCell::new(plans),
            fleet: fleet.clone(),
        });
        let listener = Rc::downgrade(&sites);
        fleet.add_listener(Box::new(move |event| {
            if let Some(sites) = listener.upgrade() {
                sites.on_fleet_event(event);
            }
        }));
        tokio::task::spawn_local(sites.clone().run_timers());
        tokio::task::spawn_local(sites.clone().probe_periodically());
        sites
    }

    /// Records an update of discovery's list of hosts, and sets the weights in `entries` by the current allocation.
    pub fn apply_weights(self: &Rc<Self>, kind: EndpointUpdate, entries: &mut [Endpoint]) {
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
        self.report_listed_hosts();
        self.set_weights(entries);
    }

    fn set_weights(&self, entries: &mut [Endpoint]) {
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

    /// Applies a new allocation: sends all hosts with their new weights to the dispatcher.
    fn apply_allocation(&self) {
        let mut entries: Vec<Endpoint> = self.list.borrow().values().cloned().collect();
        self.set_weights(&mut entries);
        self.hosts
            .dispatcher
            .send(DispatcherEvent::EndpointsUpdated {
                update: EndpointUpdate::Incremental,
                endpoints: entries,
            });
    }

    /// Reports the number of ready and known hosts of each site.
    fn report_listed_hosts(self: &Rc<Self>) {
        for (site, name) in self.names.iter().enumerate() {
            let hosts = self.hosts.directory.hosts_in_zone(name);
            let ready = hosts.iter().filter(|(_, ready)| *ready).count() as u32;
            let total = {
                let mut max_hosts = self.max_hosts.borrow_mut();
                max_hosts[site] = max_hosts[site].max(hosts.len() as u32);
                max_hosts[site]
            };
            self.handle(Event::Observed(watch::Event::Listed { site, ready, total }));
        }
    }

    fn history(&self) -> History {
        History(self.fleet.instance())
    }

    fn on_fleet_event(self: &Rc<Self>, event: &FleetEvent) {
        match event {
            FleetEvent::IncarnationStarted(_) => self.handle(Event::Pacing(false)),
            FleetEvent::MembershipChanged(change) => self.on_membership_change(change),
            FleetEvent::LeaderChanged(leader) => {
                let me = self.fleet.instance().name;
                self.handle(Event::Observed(watch::Event::Leader {
                    known: leader.is_some(),
                }));
                self.handle(Event::Pacing(*leader == Some(&me)));
            }
            FleetEvent::StateChanged(_, StateChange::Sites(effect)) => match effect {
                epoch::Effect::SiteChanged {
                    epoch,
                    site,
                    from,
                    to,
                } => {
                    self.history()
                        .site_standing_changed(*epoch, site.as_str(), *from, *to);
                }
                epoch::Effect::Settled { epoch } => self.history().site_settled(*epoch),
                epoch::Effect::Refused(command) => {
                    log::debug!("sites: the agreed table rejected a command: {command:?}");
                }
            },
            FleetEvent::SitesChanged(table) => self.on_agreed_table(table),
            FleetEvent::SnapshotRestored(state) => self.on_agreed_table(state.sites()),
            FleetEvent::SessionValid(_) | FleetEvent::StateChanged(..) => {}
        }
    }

    fn on_agreed_table(self: &Rc<Self>, table: &SiteTable) {
        self.handle(Event::Table(Box::new(table.clone())));
    }

    /// Reports the number of live routers of a site after a router's membership status changed.
    fn on_membership_change(self: &Rc<Self>, change: &membership::StatusChange) {
        let Some(site) = self
            .names
            .iter()
            .position(|name| name == change.site.as_str())
        else {
            return;
        };
        let is_alive = matches!(
            change.to,
            membership::Status::Alive | membership::Status::Suspect
        );
        let alive = {
            let mut routers_by_name = self.routers_by_name.borrow_mut();
            routers_by_name.insert(change.member.clone(), (site, is_alive));
            routers_by_name
                .values()
                .filter(|(at, alive)| *at == site && *alive)
                .count() as u32
        };
        let total = self.configured_routers[site].max(alive);
        self.handle(Event::Observed(watch::Event::Routers {
            site,
            alive,
            total,
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
                    // A lost proposal is repeated by the `Member` if it still applies.
                    tokio::task::spawn_local(async move {
                        let _ = fleet.propose(Command::Sites(command)).await;
                    });
                }
                Action::Probe { site } => self.probe_host(site),
                Action::Changed(change) => self
                    .history()
                    .site_status_changed(&self.names[change.site], &change),
                Action::Allocation(_) => self.apply_allocation(),
                Action::NoPlan(why) => self.history().note(&format!("sites: {why}")),
            }
        }
        self.timer_changed.notify_one();
    }

    async fn run_timers(self: Rc<Self>) {
        loop {
            let next_timer = self.member.borrow().timeout(self.clock.now());
            let timer_changed = self.timer_changed.notified();
            tokio::select! {
                () = self.clock.sleep_until(next_timer) => self.handle(Event::Tick),
                () = timer_changed => {}
            }
        }
    }

    /// Probes one host of each other site periodically: the failure of a site without traffic would not be noticed.
    async fn probe_periodically(self: Rc<Self>) {
        let mut interval = tokio::time::interval(self.probe_interval);
        interval.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            interval.tick().await;
            (0..self.names.len())
                .filter(|site| *site != self.own_site)
                .for_each(|site| self.probe_host(site));
        }
    }

    fn probe_host(self: &Rc<Self>, site: usize) {
        let hosts = self.hosts.directory.hosts_in_zone(&self.names[site]);
        let addresses: Vec<SocketAddr> = hosts
            .into_iter()
            .filter_map(|(address, _)| address)
            .collect();
        let probe_number = self.probe_count.get();
        self.probe_count.set(probe_number.wrapping_add(1));
        let Some(address) = addresses
            .get(probe_number % addresses.len().max(1))
            .copied()
        else {
            return;
        };
        let (sites, timeout) = (self.clone(), self.probe_interval);
        tokio::task::spawn_local(async move {
            let result = tokio::time::timeout(timeout, probe(address)).await;
            let reached = result.is_ok_and(|probed| probed.is_ok());
            sites.handle(Event::Observed(watch::Event::Host { site, reached }));
        });
    }
}

/// Connects to `address`, sends a probe, and succeeds once the first byte of an answer arrives.
async fn probe(address: SocketAddr) -> std::io::Result<()> {
    let mut stream = RetryingStream(TcpStream::connect(address).await?);
    stream.write_all(PROBE_REQUEST).await?;
    stream.read_u8().await.map(|_| ())
}
