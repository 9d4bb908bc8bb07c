//! Starts and runs the router: wiring of its parts, signals, reload.

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
use whinhaven::fleet::transport::policy::PolicyGate;
use whinhaven::fleet::transport::sites::{ModelHosts, Sites};
use whinhaven::fleet::transport::work::{RecordingOutbound, TakeoverClient};
use whinhaven::fleet::transport::{self, Fleet};
use whinhaven::front::jsonrpc::Front;
use whinhaven::front::run_table::RunTable;
use whinhaven::front::shared::Shared;
use whinhaven::live_settings::LiveSettings;
use whinhaven::memory::Budget;
use whinhaven::net::client::{HostClient, PendingReleases};
use whinhaven::net::connections::Connections;
use whinhaven::net::discovery::{AdjustEndpoints, Directory, DiscoveryWatcher};
use whinhaven::net::drain::{self, DrainSwitch};
use whinhaven::net::event_memory::EventMemory;
use whinhaven::net::pool::Pool;
use whinhaven::net::server::{ClientService, Listener, MAX_REFUSED_CONNECTIONS, Stage};
use whinhaven::net::upgrade::lock_file::ProcessPhase;
use whinhaven::net::upgrade::share::{DescriptorLimit, SocketSplit};
use whinhaven::net::upgrade::slow_start::SlowStartPermission;
use whinhaven::net::upgrade::{self, AddressOwnership, LimitSharing};
use whinhaven::routing::types::{EndpointUpdate, Role, WorkerId};
use whinhaven::shutdown::{ACCEPT_PERIOD, ADMISSION_PERIOD, Shutdown};
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Interval at which idle connections to model hosts are closed and the tool-call front end removes expired records.
const POOL_CLEANUP_INTERVAL: Duration = Duration::from_millis(500);
/// Number of worker lists that come from the configuration; further ones come from discovery.
const CONFIGURED_LISTS: u64 = 1;
/// Number of descriptors kept for uses other than clients, model hosts, tool calls, the admin endpoint and the fleet.
const RESERVED_SOCKETS: usize = 24;

/// Reads a file into a string.
///
/// # Errors
/// The file cannot be read; the error names it.
pub fn read_file(file: &Path) -> Result<String, ConfigError> {
    std::fs::read_to_string(file).map_err(|e| ConfigError(format!("{}: {e}", file.display())))
}

/// The file from which the configuration is read, at start and at each SIGHUP.
pub struct ConfigSource {
    file: PathBuf,
    platform: bool,
}

impl ConfigSource {
    /// The TOML file that an operator passes on the command line.
    pub fn operator_file(file: PathBuf) -> Self {
        ConfigSource {
            file,
            platform: false,
        }
    }

    /// The platform's JSON file, whose path is in the environment variable NODE_CONFIG.
    ///
    /// # Errors
    /// NODE_CONFIG is not set.
    pub fn platform_file() -> Result<Self, ConfigError> {
        let file = std::env::var("NODE_CONFIG").map_err(|_| {
            ConfigError(
                "NODE_CONFIG is not set; set it to the path of the configuration file".into(),
            )
        })?;
        Ok(ConfigSource {
            file: file.into(),
            platform: true,
        })
    }

    /// Reads and validates the configuration.
    ///
    /// # Errors
    /// The error names the field that is invalid.
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

/// Returns a seed that differs between starts and between processes.
fn random_seed() -> u64 {
    RandomState::new().hash_one(std::process::id())
}

/// Runs the router until a signal stops it.
///
/// # Errors
/// The reason why the router could not start.
pub fn serve(source: ConfigSource) -> Result<(), ConfigError> {
    // First, because SIGHUP ends the process until signal handling is installed.
    let signals = Signals::install()
        .map_err(|e| ConfigError(format!("cannot set up signal handling: {e}")))?;
    let config = source.load()?;
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    let runtime =
        runtime.map_err(|e| ConfigError(format!("cannot start the tokio runtime: {e}")))?;
    let local = tokio::task::LocalSet::new();
    runtime.block_on(local.run_until(run(config, source, signals)))
}

/// Requests the complete list from discovery once per period while this router holds the lease. Only one router of
/// the fleet does so.
async fn refresh_list_under_lease(fleet: Fleet, period: Duration, fetch: impl Fn()) {
    let lease =
        LeaseName::try_from("discovery-refresh").expect("discovery-refresh is a valid lease name");
    fleet.acquire_lease(lease.clone()).await;
    let mut periods = tokio::time::interval(period);
    periods.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        periods.tick().await;
        fleet.act_under_lease(&lease, |_| fetch());
    }
}

/// Logs the counters of the router and of the fleet.
fn log_counters(counters: &Counters, fleet: Option<&Fleet>) {
    log::info!("counters: {counters}");
    if let Some(fleet) = fleet {
        log::info!("fleet counters: {}", fleet.counters());
    }
}

async fn bind_admin_listener(address: SocketAddr) -> Result<TcpListener, ConfigError> {
    TcpListener::bind(address)
        .await
        .map_err(|e| ConfigError(format!("ops: cannot listen on {address}: {e}")))
}

async fn run(
    mut config: Config,
    source: ConfigSource,
    signals: Signals,
) -> Result<(), ConfigError> {
    // Other members know a fleet member by its peer address, which two processes cannot share.
    let ownership = match config.fleet {
        None => AddressOwnership::acquire(&std::env::temp_dir(), config.listen).await?,
        Some(_) => AddressOwnership::Exclusive,
    };
    let admin_listener = match config.ops {
        Some(ops) => Some(bind_admin_listener(ops).await?),
        None => None,
    };
    let counters = Rc::new(Counters::default());
    let clock = Clock::start();
    let shutdown = Shutdown::new(signals.stop_request.clone(), clock);
    let (dispatcher, queue) = DispatcherHandle::channel(clock);
    let live_settings = LiveSettings::new(dispatcher.clone());
    let settings = config.settings.clone();
    // Descriptors used for neither clients nor model hosts.
    let reserved = RESERVED_SOCKETS
        + admin_listener.as_ref().map_or(0, |_| ADMIN_SOCKETS)
        + config.tools.as_ref().map_or(0, |t| t.max_calls_at_once)
        + config
            .fleet
            .as_ref()
            .map_or(0, whinhaven::fleet::config::FleetConfig::sockets);
    let limit = DescriptorLimit::new(config.limits.sockets, reserved);
    let SocketSplit {
        hosts: host_sockets,
        clients: client_sockets,
    } = SocketSplit::of_share(limit.total(), reserved);
    if host_sockets < 64 {
        return Err(ConfigError(format!(
            "limits.sockets: {} is too low: it leaves {host_sockets} sockets for model hosts, and 64 are needed",
            config.limits.sockets
        )));
    }
    let (initial_share, other_exists) = ownership.initial_share(limit).await?;
    let listen_error = |e: std::io::Error| {
        ConfigError(format!(
            "listen {}: cannot open the listener: {e}",
            config.listen
        ))
    };
    let listener = if other_exists {
        None
    } else {
        Some(
            ownership
                .listen_alone(config.listen)
                .map_err(listen_error)?,
        )
    };
    // Random choices must differ between routers even if the file states no seed.
    let own_seed = xxh3_64_with_seed(config.name.as_bytes(), config.seed);
    let connect_timeout = Duration::from_micros(settings.connect_timeout.max(10_000));
    let pool = Pool::new(
        SocketSplit::of_share(initial_share, reserved).hosts,
        connect_timeout,
        config.idle_close / 3,
        counters.clone(),
    );
    let directory = Rc::new(Directory::default());
    let (resubscribe, fetch_list) = (Rc::new(Notify::new()), Rc::new(Notify::new()));
    let pending_releases = Rc::<PendingReleases>::default();
    let body_budget = Budget::new(config.limits.memory_mb * 1024 * 1024 / 3);
    let connections = Rc::new(Connections::default());
    let hosts = HostClient {
        directory: directory.clone(),
        pool: pool.clone(),
        dispatcher: dispatcher.clone(),
        counters: counters.clone(),
        resubscribe: resubscribe.clone(),
        pending_releases: pending_releases.clone(),
        late_arrivals: Rc::default(),
        event_memory: EventMemory::new(body_budget.clone(), connections.clone(), counters.clone()),
    };
    // Computed before the fleet starts: otherwise the other members would wait for this one meanwhile.
    let own_site = config
        .fleet
        .as_ref()
        .and_then(|f| config.sites.as_ref()?.site_index(f.site.as_str()));
    let site_plans = match (own_site, config.sites.clone()) {
        (Some(own_site), Some(tables)) => {
            let site_plans = Sites::build_plans(tables)
                .await
                .map_err(|e| ConfigError(format!("sites: {e}")))?;
            log::info!(
                "sites: fingerprint of the plans: {:016x}",
                site_plans.fingerprint()
            );
            Some((own_site, site_plans))
        }
        _ => None,
    };
    let fleet = match &config.fleet {
        Some(settings) => Some(transport::start(settings, clock, config.seed).await?),
        None => None,
    };
    let sites = match (&fleet, site_plans) {
        (Some(fleet), Some((own_site, site_plans))) => {
            let seen = ModelHosts {
                directory: directory.clone(),
                dispatcher: dispatcher.clone(),
                kinds: settings.kinds.clone(),
            };
            Some(Sites::start(
                fleet.clone(),
                clock,
                seen,
                site_plans,
                own_site,
                own_seed,
            ))
        }
        _ => None,
    };
    let mut outbound: Rc<dyn Outbound> = Rc::new(hosts);
    let gate = match (&fleet, config.fleet.as_ref().and_then(|f| f.policy.clone())) {
        (Some(fleet), Some(policy)) => {
            let own_settings = config.settings_table.clone();
            let gate = PolicyGate::start(
                fleet.clone(),
                dispatcher.clone(),
                live_settings.clone(),
                policy,
                own_settings,
            );
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
            let work = TakeoverClient::start(fleet.clone(), clock, takeover);
            tokio::task::spawn_local(
                work.clone()
                    .adopt_orphans(settings.most_members, outbound.clone()),
            );
            Some(work)
        }
        _ => None,
    };
    if let Some(work) = &work {
        let (directory, kinds) = (directory.clone(), settings.kinds.clone());
        let is_prefill_worker = Box::new(move |worker: &WorkerId| {
            directory.role(worker, &kinds) == Some(Role::Prefill)
        });
        outbound = RecordingOutbound::start(
            outbound,
            work.clone(),
            dispatcher.clone(),
            is_prefill_worker,
        );
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
            Box::new(move |kind, entries: &mut [_]| sites.apply_weights(kind, entries))
                as AdjustEndpoints
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
    let (discovery, discovery_addresses) = watch::channel(config.discovery);
    tokio::task::spawn_local(watcher.run(discovery_addresses));
    let drain = Rc::new(DrainSwitch::default());
    let stopping = Rc::new(Cell::new(false));
    let (listening, other_process_serves) = (Rc::new(Cell::new(false)), Rc::new(Cell::new(false)));
    let has_workers = {
        let (directory, kinds) = (directory.clone(), settings.kinds.clone());
        Rc::new(move || directory.covers_both_stages(&kinds))
    };
    let is_able_to_serve = {
        let (has_workers, listening, gate) = (has_workers.clone(), listening.clone(), gate.clone());
        Rc::new(move || {
            listening.get() && has_workers() && gate.as_ref().is_none_or(|gate| gate.is_ready())
        })
    };
    let can_serve = {
        let (is_able_to_serve, stopping) = (is_able_to_serve.clone(), stopping.clone());
        move || is_able_to_serve() && !stopping.get()
    };
    let ready = {
        let (stopping, other_process_serves, drain) = (
            stopping.clone(),
            other_process_serves.clone(),
            drain.clone(),
        );
        // Clients check readiness at the address. If another process serves it, the address stays ready although this
        // process stops.
        move || {
            is_able_to_serve()
                && (!stopping.get() || other_process_serves.get())
                && !drain.is_draining()
        }
    };
    let may_serve: Box<dyn Fn() -> bool> = match fleet.clone() {
        Some(fleet) => Box::new(move || fleet.may_serve()),
        None => Box::new(|| true),
    };
    if let (Some(fleet), Some(settings)) = (&fleet, &config.fleet) {
        let period = Duration::from_millis(settings.refresh_period_ms);
        tokio::task::spawn_local(refresh_list_under_lease(
            fleet.clone(),
            period,
            refresh_list,
        ));
    }
    let runs = RunTable::new(&body_budget);
    let shared = Rc::new(Shared {
        dispatcher,
        classes: RefCell::new(settings.classes.clone()),
        gate: gate.clone(),
        ready: Box::new(ready),
        may_serve,
        shutdown: shutdown.clone(),
        counters: counters.clone(),
        metrics: Rc::new(Metrics::default()),
        runs: runs.clone(),
        body_budget,
    });
    live_settings.on_change({
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
    // Seed for the ids of sends to model hosts. It differs per start: two routers, or two incarnations of one, that
    // use the same ids would share KV state.
    let seed = xxh3_64_with_seed(config.name.as_bytes(), config.seed ^ random_seed());
    let tools = {
        let create_front = |tools_config| {
            Front::new(
                shared.clone(),
                tools_config,
                connect_timeout,
                seed,
                work.clone(),
            )
        };
        config.tools.clone().map(create_front)
    };
    let tool_front = tools.clone();
    let (stage, stage_receiver) = watch::channel(Stage::Open);
    tokio::task::spawn_local(drain::apply_to_connections(
        drain.subscribe(),
        stage.clone(),
    ));
    let max_connections = client_sockets - MAX_REFUSED_CONNECTIONS;
    let sharing = Rc::new(LimitSharing {
        ownership,
        limit,
        reserved,
        pool: pool.clone(),
        connections: connections.clone(),
        body_bytes_for_other: shared.body_budget.left() / 2,
        shared: shared.clone(),
        phase: Cell::new(ProcessPhase::Starting),
        other_process_serves: other_process_serves.clone(),
        slow_start: RefCell::new(SlowStartPermission::new(other_exists)),
    });
    tokio::task::spawn_local(sharing.clone().run());
    let listener = if let Some(listener) = listener {
        listener
    } else {
        let has_list = || config.discovery.is_none() || counters.lists.get() > CONFIGURED_LISTS;
        tokio::select! {
            () = sharing.wait_until_able_to_serve(&*has_workers, has_list) => {}
            () = signals.stop.notified() => return Ok(()),
        }
        upgrade::socket::listen(config.listen, true).map_err(listen_error)?
    };
    let address = listener.local_addr().map_err(listen_error)?;
    listening.set(true);
    sharing.enter_phase(ProcessPhase::Serving);
    let listener_config = Listener {
        service: ClientService { shared, tools },
        max_connections,
        max_waiting_requests: max_connections,
        stage: stage_receiver,
        connections: connections.clone(),
        other_process_serves: other_process_serves.clone(),
    };
    let accept_task = tokio::task::spawn_local(listener_config.accept(listener));
    log::info!(
        "{} serves on {}, {} sockets for clients and {} for model hosts",
        config.name,
        address,
        client_sockets,
        host_sockets
    );

    let mut reload = Reload {
        source,
        current: config,
        discovery,
        live_settings,
        counters: counters.clone(),
    };
    let mut pool_cleanup = tokio::time::interval(POOL_CLEANUP_INTERVAL);
    loop {
        tokio::select! {
            () = signals.stop.notified() => break,
            () = signals.report_counters.notified() => log_counters(&counters, fleet.as_ref()),
            () = signals.reload.notified() => reload.run(),
            _ = pool_cleanup.tick() => {
                pool.evict_stale();
                runs.expire(clock.now());
                if let Some(front) = &tool_front {
                    front.sweep();
                }
            }
        }
    }
    sharing.enter_phase(ProcessPhase::Stopping);
    if other_process_serves.get() {
        log::info!("stopping: another process serves {address}; this one closes its listener");
    } else {
        log::info!(
            "stopping: requests are admitted up to {} ms after the signal, connections accepted up to {} ms",
            ADMISSION_PERIOD.as_millis(),
            ACCEPT_PERIOD.as_millis()
        );
    }
    stopping.set(true);
    let graceful_shutdown = GracefulShutdown {
        shutdown,
        other_process_serves,
        connections,
        stage,
        accept_task,
        pool,
        pending_releases,
        fleet: fleet.clone(),
        request_records: work,
        tool_front,
    };
    let graceful_shutdown = graceful_shutdown.run();
    tokio::pin!(graceful_shutdown);
    // Requests in progress may run for long, so reloads continue and the worker list follows discovery meanwhile.
    loop {
        tokio::select! {
            () = &mut graceful_shutdown => break,
            () = signals.report_counters.notified() => log_counters(&counters, fleet.as_ref()),
            () = signals.reload.notified() => reload.run(),
        }
    }
    if let Some(fleet) = &fleet {
        log::info!("fleet counters: {}", fleet.counters());
    }
    log::info!("stopped; counters: {counters}");
    Ok(())
}
