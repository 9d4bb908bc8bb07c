//! Serving: wiring, signals, reload.

mod graceful_shutdown;

use crate::reload::Reload;
use crate::signals::Signals;
use graceful_shutdown::GracefulShutdown;
use std::cell::{Cell, RefCell};
use std::hash::{BuildHasher, RandomState};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::{Notify, watch};
use tokio::time::MissedTickBehavior;
use whinhaven::admin::metrics::Metrics;
use whinhaven::admin::server::{ADMIN_SOCKETS, AdminServer};
use whinhaven::config::{Config, ConfigError};
use whinhaven::counters::Counters;
use whinhaven::dispatch::{Clock, Dispatcher, DispatcherHandle, Outbound};
use whinhaven::fleet::LeaseName;
use whinhaven::fleet::transport::policy::Gate;
use whinhaven::fleet::transport::sites::{Seen, Sites};
use whinhaven::fleet::transport::work::{Recording, Work};
use whinhaven::fleet::transport::{self, Fleet};
use whinhaven::front::jsonrpc::Front;
use whinhaven::front::shared::Shared;
use whinhaven::live_settings::LiveSettings;
use whinhaven::net::client::{HostClient, PendingReleases};
use whinhaven::net::connections::Connections;
use whinhaven::net::discovery::{AdjustEndpoints, Directory, DiscoveryWatcher};
use whinhaven::net::drain::{self, DrainSwitch};
use whinhaven::net::pool::Pool;
use whinhaven::net::server::{Edge, Listener, OVER, Stage};
use whinhaven::net::upgrade::lock_file::Phase;
use whinhaven::net::upgrade::share::{Shares, Split};
use whinhaven::net::upgrade::slow_start::SlowStartRight;
use whinhaven::net::upgrade::{self, Place, Sharing};
use whinhaven::routing::types::{EndpointUpdate, Role, WorkerId};
use whinhaven::shutdown::{ACCEPT_FOR, ADMIT_FOR, Shutdown};
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// How often idle connections are looked at.
const RETIRE: Duration = Duration::from_millis(500);
/// The list of the configuration is the first that is taken; the next is of discovery.
const LISTS_OF_ITS_OWN: u64 = 1;
/// Descriptors for everything that is neither a client nor a model host.
const SPARE_SOCKETS: usize = 24;

/// Reads a file.
///
/// # Errors
/// Names the file.
pub fn read_file(file: &Path) -> Result<String, ConfigError> {
    std::fs::read_to_string(file).map_err(|e| ConfigError(format!("{}: {e}", file.display())))
}

/// Where the configuration is read, at start and at each SIGHUP.
pub struct ConfigSource {
    file: PathBuf,
    platform: bool,
}

impl ConfigSource {
    /// An operator's file.
    pub fn operator_file(file: PathBuf) -> Self {
        ConfigSource {
            file,
            platform: false,
        }
    }

    /// The platform's, which NODE_CONFIG names.
    ///
    /// # Errors
    /// NODE_CONFIG is not set.
    pub fn platform_file() -> Result<Self, ConfigError> {
        let file = std::env::var("NODE_CONFIG")
            .map_err(|_| ConfigError("NODE_CONFIG is not set".into()))?;
        Ok(ConfigSource {
            file: file.into(),
            platform: true,
        })
    }

    /// Reads it.
    ///
    /// # Errors
    /// Names the field at fault.
    pub fn load(&self) -> Result<Config, ConfigError> {
        let text = read_file(&self.file)?;
        if self.platform {
            Config::from_json(&text, |name| {
                std::env::var(name).ok().filter(|v| !v.is_empty())
            })
        } else {
            let mut config = Config::from_toml(&text)?;
            if let (Some(fleet), Some(folder)) = (&mut config.fleet, self.file.parent()) {
                fleet.begin_paths_at(folder);
            }
            Ok(config)
        }
    }
}

/// A number that no other start of any process draws.
fn random() -> u64 {
    RandomState::new().hash_one(std::process::id())
}

/// Serves until told to stop.
///
/// # Errors
/// Why it could not begin.
pub fn serve(source: ConfigSource) -> Result<(), ConfigError> {
    // Before anything else: until it is taken over, SIGHUP ends the process.
    let signals = Signals::take_over().map_err(|e| ConfigError(format!("signals: {e}")))?;
    let config = source.load()?;
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    let runtime = runtime.map_err(|e| ConfigError(format!("runtime: {e}")))?;
    let local = tokio::task::LocalSet::new();
    runtime.block_on(local.run_until(run(config, source, signals)))
}

/// The duty of one conductor for all: asks discovery for its whole list once a period, while it holds the lease.
async fn refresh(fleet: Fleet, period: Duration, fetch: impl Fn()) {
    let lease = LeaseName::try_from("discovery-refresh").expect("a name");
    fleet.want(lease.clone()).await;
    let mut periods = tokio::time::interval(period);
    periods.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        periods.tick().await;
        fleet.act(&lease, |_| fetch());
    }
}

/// Logs the counters.
fn report(counters: &Counters, fleet: Option<&Fleet>) {
    log::info!("counters: {counters}");
    if let Some(fleet) = fleet {
        log::info!("fleet counters: {}", fleet.counters());
    }
}

/// Binds the admin endpoint.
async fn listen_for_operators(address: SocketAddr) -> Result<TcpListener, ConfigError> {
    TcpListener::bind(address)
        .await
        .map_err(|e| ConfigError(format!("ops {address}: {e}")))
}

async fn run(
    mut config: Config,
    source: ConfigSource,
    signals: Signals,
) -> Result<(), ConfigError> {
    // A member of a fleet is known to the others by its peer address, which two processes can't share.
    let place = match config.fleet {
        None => Place::take(&std::env::temp_dir(), config.listen).await?,
        Some(_) => Place::Exclusive,
    };
    let admin_listener = match config.ops {
        Some(ops) => Some(listen_for_operators(ops).await?),
        None => None,
    };
    let counters = Rc::new(Counters::default());
    let clock = Clock::start();
    let shutdown = Shutdown::new(signals.stop_request.clone(), clock);
    let (dispatcher, queue) = DispatcherHandle::channel(clock);
    let live = LiveSettings::new(dispatcher.clone());
    let settings = config.settings.clone();
    // Every request in hand may hold a socket of either side; clients that say nothing hold some more of theirs.
    let spare = SPARE_SOCKETS
        + admin_listener.as_ref().map_or(0, |_| ADMIN_SOCKETS)
        + config.tools.as_ref().map_or(0, |t| t.max_calls_at_once)
        + config
            .fleet
            .as_ref()
            .map_or(0, whinhaven::fleet::config::FleetConfig::sockets);
    let shares = Shares::new(config.limits.sockets, spare);
    let Split {
        hosts: to_hosts,
        clients: to_clients,
    } = Split::of(shares.whole(), spare);
    if to_hosts < 64 {
        return Err(ConfigError(format!(
            "limits.sockets: {} are too few",
            config.limits.sockets
        )));
    }
    let (first_share, beside) = place.first_share(shares).await?;
    let not_bound = |e: std::io::Error| ConfigError(format!("listen {}: {e}", config.listen));
    let listener = if beside {
        None
    } else {
        Some(place.listen_alone(config.listen).map_err(not_bound)?)
    };
    // What conductors draw by chance has to differ between them, also where no file states a seed.
    let own_seed = xxh3_64_with_seed(config.name.as_bytes(), config.seed);
    let connect_timeout = Duration::from_micros(settings.connect_timeout.max(10_000));
    let pool = Pool::new(
        Split::of(first_share, spare).hosts,
        connect_timeout,
        config.idle_close / 3,
        counters.clone(),
    );
    let directory = Rc::new(Directory::default());
    let (resubscribe, fetch_list) = (Rc::new(Notify::new()), Rc::new(Notify::new()));
    let pending_releases = Rc::<PendingReleases>::default();
    let hosts = HostClient {
        directory: directory.clone(),
        pool: pool.clone(),
        dispatcher: dispatcher.clone(),
        counters: counters.clone(),
        resubscribe: resubscribe.clone(),
        pending_releases: pending_releases.clone(),
        late_arrivals: Rc::default(),
    };
    // Before the fleet begins: it would wait for this member meanwhile.
    let own = config
        .fleet
        .as_ref()
        .and_then(|f| config.sites.as_ref()?.site_index(f.site.as_str()));
    let plans = match (own, config.sites.clone()) {
        (Some(own), Some(tables)) => {
            let plans = Sites::plan(tables)
                .await
                .map_err(|e| ConfigError(format!("sites: {e}")))?;
            log::info!("sites: plans {:016x}", plans.fingerprint());
            Some((own, plans))
        }
        _ => None,
    };
    let fleet = match &config.fleet {
        Some(settings) => Some(transport::start(settings, clock, config.seed).await?),
        None => None,
    };
    let sites = match (&fleet, plans) {
        (Some(fleet), Some((own, plans))) => {
            let seen = Seen {
                directory: directory.clone(),
                dispatcher: dispatcher.clone(),
                kinds: settings.kinds.clone(),
            };
            Some(Sites::start(
                fleet.clone(),
                clock,
                seen,
                plans,
                own,
                own_seed,
            ))
        }
        _ => None,
    };
    let mut outbound: Rc<dyn Outbound> = Rc::new(hosts);
    let gate = match (&fleet, config.fleet.as_ref().and_then(|f| f.policy.clone())) {
        (Some(fleet), Some(policy)) => {
            let own = config.settings_table.clone();
            let gate = Gate::start(fleet.clone(), dispatcher.clone(), live.clone(), policy, own);
            Some(gate.map_err(|e| ConfigError(format!("settings: {e}")))?)
        }
        _ => None,
    };
    let work = match (
        &fleet,
        config
            .fleet
            .as_ref()
            .and_then(|f| Some((f, f.takeover.clone()?))),
    ) {
        (Some(fleet), Some((settings, takeover))) => {
            let work = Work::start(fleet.clone(), clock, takeover);
            tokio::task::spawn_local(work.clone().adopt(settings.most_members, outbound.clone()));
            Some(work)
        }
        _ => None,
    };
    if let Some(work) = &work {
        let (directory, kinds) = (directory.clone(), settings.kinds.clone());
        let reads = Box::new(move |worker: &WorkerId| {
            directory.role(worker, &kinds) == Some(Role::Prefill)
        });
        outbound = Recording::start(outbound, work.clone(), dispatcher.clone(), reads);
    }
    let driver = Dispatcher::new(
        settings.clone(),
        own_seed,
        clock,
        outbound,
        counters.clone(),
    );
    let watcher = DiscoveryWatcher {
        directory: directory.clone(),
        dispatcher: dispatcher.clone(),
        close_idle: Box::new({
            let pool = pool.clone();
            move |worker| pool.close_idle(worker)
        }),
        subscribe_request: settings
            .endpoints_require_subscription
            .then_some(resubscribe),
        fetch_list: fetch_list.clone(),
        counters: counters.clone(),
        adjust_endpoints: sites.clone().map(|sites| {
            Box::new(move |kind, entries: &mut [_]| sites.weigh(kind, entries)) as AdjustEndpoints
        }),
        host_starts: RefCell::default(),
    };
    let refresh_list = {
        let discovery = config.discovery.is_some();
        move || {
            if discovery {
                fetch_list.notify_one();
            }
        }
    };
    watcher.apply(std::mem::take(&mut config.known), EndpointUpdate::Restored);
    tokio::task::spawn_local(driver.run(queue));
    let (discovery, address_told) = watch::channel(config.discovery);
    tokio::task::spawn_local(watcher.run(address_told));
    let drain = Rc::new(DrainSwitch::default());
    let stopping = Rc::new(Cell::new(false));
    let (listening, other_serves) = (Rc::new(Cell::new(false)), Rc::new(Cell::new(false)));
    let able = {
        let (directory, kinds) = (directory.clone(), settings.kinds.clone());
        Rc::new(move || directory.covers_both_stages(&kinds))
    };
    let holds = {
        let (able, listening, gate) = (able.clone(), listening.clone(), gate.clone());
        Rc::new(move || {
            listening.get() && able() && gate.as_ref().is_none_or(|gate| gate.is_ready())
        })
    };
    let can_serve = {
        let (holds, stopping) = (holds.clone(), stopping.clone());
        move || holds() && !stopping.get()
    };
    let ready = {
        let (stopping, other_serves, drain) =
            (stopping.clone(), other_serves.clone(), drain.clone());
        // Clients ask at the address. It is served on where another process stays there.
        move || holds() && (!stopping.get() || other_serves.get()) && !drain.is_draining()
    };
    let may_serve: Box<dyn Fn() -> bool> = match fleet.clone() {
        Some(fleet) => Box::new(move || fleet.may_serve()),
        None => Box::new(|| true),
    };
    if let (Some(fleet), Some(settings)) = (&fleet, &config.fleet) {
        let period = Duration::from_millis(settings.refresh_period_ms);
        tokio::task::spawn_local(refresh(fleet.clone(), period, refresh_list));
    }
    let shared = Rc::new(Shared {
        dispatcher,
        classes: RefCell::new(settings.classes.clone()),
        gate: gate.clone(),
        ready: Box::new(ready),
        may_serve,
        shutdown: shutdown.clone(),
        counters: counters.clone(),
        metrics: Rc::new(Metrics::default()),
        body_budget: Cell::new(config.limits.memory_mb * 1024 * 1024 / 3),
        active_ids: RefCell::default(),
    });
    live.on_change({
        let shared = Rc::downgrade(&shared);
        move |settings| {
            if let Some(shared) = shared.upgrade() {
                shared.classes.replace(settings.classes.clone());
            }
        }
    });
    if let Some(listener) = admin_listener {
        log::info!(
            "admin endpoint listens on {}",
            listener
                .local_addr()
                .map_or_else(|e| e.to_string(), |a| a.to_string())
        );
        let (shared, directory, drain) = (shared.clone(), directory.clone(), drain.clone());
        let may_serve = shared.clone();
        let can_serve = Box::new(move || can_serve() && (may_serve.may_serve)());
        let admin_server = Rc::new(AdminServer {
            shared,
            can_serve,
            directory,
            drain,
            avoided_workers: Cell::new(0),
        });
        tokio::task::spawn_local(admin_server.serve(listener));
    }
    // Ids of sends at model hosts: of this start alone, or two conductors, or two lives of one, would share what is held.
    let seed = xxh3_64_with_seed(config.name.as_bytes(), config.seed ^ random());
    let tools = {
        let front = |t| Front::new(shared.clone(), t, connect_timeout, seed, work.clone());
        config.tools.clone().map(front)
    };
    let front = tools.clone();
    let (stage, stages) = watch::channel(Stage::Open);
    tokio::task::spawn_local(drain::follow(drain.subscribe(), stage.clone()));
    let open = Rc::new(Connections::default());
    let bound = to_clients - OVER;
    let sharing = Rc::new(Sharing {
        place,
        shares,
        spare,
        pool: pool.clone(),
        open: open.clone(),
        left_to_other: shared.body_budget.get() / 2,
        shared: shared.clone(),
        phase: Cell::new(Phase::Starting),
        other_serves: other_serves.clone(),
        slow_start: RefCell::new(SlowStartRight::new(beside)),
    });
    tokio::task::spawn_local(sharing.clone().look_after());
    let listener = if let Some(listener) = listener {
        listener
    } else {
        let has_list = || config.discovery.is_none() || counters.lists.get() > LISTS_OF_ITS_OWN;
        tokio::select! {
            () = sharing.wait_to_serve(&*able, has_list) => {}
            () = signals.stop.notified() => return Ok(()),
        }
        upgrade::socket::listen(config.listen, true).map_err(not_bound)?
    };
    let address = listener.local_addr().map_err(not_bound)?;
    listening.set(true);
    sharing.enter(Phase::Serving);
    let accepting = Listener {
        edge: Edge { shared, tools },
        bound,
        waiting: bound,
        stage: stages,
        open: open.clone(),
        other_serves: other_serves.clone(),
    };
    let accepting = tokio::task::spawn_local(accepting.accept(listener));
    log::info!(
        "{} serves on {}, {} sockets for clients and {} for model hosts",
        config.name,
        address,
        to_clients,
        to_hosts
    );

    let mut reload = Reload {
        source,
        held: config,
        discovery,
        live,
        counters: counters.clone(),
    };
    let mut retire = tokio::time::interval(RETIRE);
    loop {
        tokio::select! {
            () = signals.stop.notified() => break,
            () = signals.report.notified() => report(&counters, fleet.as_ref()),
            () = signals.reload.notified() => reload.run(),
            _ = retire.tick() => {
                pool.evict_stale();
                if let Some(front) = &front {
                    front.sweep();
                }
            }
        }
    }
    sharing.enter(Phase::Stopping);
    if other_serves.get() {
        log::info!("stopping: another process serves {address}; this one leaves it");
    } else {
        log::info!(
            "stopping: requests are admitted up to {} ms after the signal, connections accepted up to {} ms",
            ADMIT_FOR.as_millis(),
            ACCEPT_FOR.as_millis()
        );
    }
    stopping.set(true);
    let ending = GracefulShutdown {
        shutdown,
        other_serves,
        connections: open,
        stage,
        accepting,
        pool,
        pending_releases,
        fleet: fleet.clone(),
        work,
        front,
    };
    let ending = ending.run();
    tokio::pin!(ending);
    // What was taken may run on for long: the list has to follow discovery meanwhile.
    loop {
        tokio::select! {
            () = &mut ending => break,
            () = signals.report.notified() => report(&counters, fleet.as_ref()),
            () = signals.reload.notified() => reload.run(),
        }
    }
    if let Some(fleet) = &fleet {
        log::info!("fleet counters: {}", fleet.counters());
    }
    log::info!("stopped; counters: {counters}");
    Ok(())
}
