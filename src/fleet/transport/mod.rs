//! Runs a member of the fleet: peer sockets, sealed frames, writes to the store, and the history in the log.
//!
//! [`start`] opens the store and the peer sockets and runs the member's [`Node`](super::node::Node) on the current
//! thread; writes to the store run one after the other on a blocking thread. [`Fleet`] is the handle for the rest of
//! the program. Datagrams and connections use the same peer address: membership messages go as datagrams unless they
//! are too long or need reliable delivery, all other messages go over connections.

pub mod admin;
pub mod disk;
mod drive;
pub mod history;
mod links;
pub mod policy;
mod reception;
mod refusals;
pub mod seal;
pub mod sites;
pub mod work;

use crate::config::ConfigError;
use crate::counters::FleetCounters;
use crate::dispatch::Clock;
use crate::fleet::config::{FleetConfig, WhenCutOff};
use crate::fleet::lease::{LeaseView, session_lease};
use crate::fleet::node::ProposalError;
use crate::fleet::state::{Command, ProposalResult};
use crate::fleet::{LeaseName, MemberInstance, Token};
use crate::storage;
pub use drive::FleetEvent;
use drive::{Driver, LocalRequest};
use history::History;
use reception::Reception;
use seal::{FrameLimits, Keys, Opener};
use std::cell::{Cell, RefCell};
use std::io::{self, Read};
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, UdpSocket};
use tokio::sync::{mpsc, oneshot};

/// Frame kind of a message between members.
const MESSAGE_FRAME: u8 = 1;
/// Frame kind of an operator's request and of the reply to it.
const ADMIN_FRAME: u8 = 2;
/// Received messages that may wait for the driver.
const INBOX_CAPACITY: usize = 256;
/// Requests of this process that may wait for the driver.
const LOCAL_REQUEST_CAPACITY: usize = 64;

/// Handle to the member that this process runs. Clones share one member.
#[derive(Clone)]
pub struct Fleet(Rc<Shared>);

struct Shared {
    clock: Clock,
    when_cut_off: WhenCutOff,
    instance: RefCell<MemberInstance>,
    session_lease: LeaseName,
    leases: RefCell<LeaseView>,
    requests: mpsc::Sender<LocalRequest>,
    counters: Rc<FleetCounters>,
    stopped: Cell<bool>,
    listeners: RefCell<Vec<EventListener>>,
}

/// Callback that receives every [`FleetEvent`], in order.
pub type EventListener = Box<dyn FnMut(&FleetEvent)>;

impl Fleet {
    /// The fencing token of `lease` if this router holds the lease now, by a fresh reading of the clock; otherwise
    /// `None`.
    pub fn lease_token(&self, lease: &LeaseName) -> Option<Token> {
        let Shared {
            clock,
            instance,
            leases,
            ..
        } = &*self.0;
        leases
            .borrow()
            .valid_token(&instance.borrow(), lease, clock.now())
    }

    /// Whether this router may take new requests now: its session lease is valid, or `when_cut_off` is set to serve
    /// without one.
    pub fn may_serve(&self) -> bool {
        self.0.when_cut_off == WhenCutOff::Serve
            || self.lease_token(&self.0.session_lease).is_some()
    }

    /// Whether this router's session lease is valid now, by a fresh reading of the clock.
    pub fn session_valid(&self) -> bool {
        self.lease_token(&self.0.session_lease).is_some()
    }

    /// This router's name and current incarnation.
    pub fn instance(&self) -> MemberInstance {
        self.0.instance.borrow().clone()
    }

    /// Requests a lease and keeps requesting it whenever it is not held, across incarnations.
    pub async fn acquire_lease(&self, lease: LeaseName) {
        let _ = self
            .0
            .requests
            .send(LocalRequest::AcquireLease(lease))
            .await;
    }

    /// Registers a callback for all later events. The callback must not call [`Fleet::add_listener`] itself, because
    /// the list of listeners is borrowed while it runs.
    pub fn add_listener(&self, listener: EventListener) {
        self.0.listeners.borrow_mut().push(listener);
    }

    fn notify_listeners(&self, event: &FleetEvent) {
        self.0
            .listeners
            .borrow_mut()
            .iter_mut()
            .for_each(|listener| listener(event));
    }

    /// Proposes a command to the log, repeats it until it is committed, and returns the result of applying it.
    ///
    /// # Errors
    /// The result is unknown: too many proposals are pending, the proposal timed out, or this incarnation has ended.
    pub async fn propose(&self, command: Command) -> Result<ProposalResult, ProposalError> {
        let (result_sender, result_receiver) = oneshot::channel();
        self.0
            .requests
            .send(LocalRequest::Propose(command, result_sender))
            .await
            .map_err(|_| ProposalError::TimedOut)?;
        result_receiver
            .await
            .unwrap_or(Err(ProposalError::TimedOut))
    }

    /// Runs `act` with the fencing token if this router holds the lease, and writes that to the history. The time in
    /// the history is read before the lease is checked.
    pub fn act_under_lease(&self, lease: &LeaseName, act: impl FnOnce(Token)) {
        let at = history::unix_us();
        let Some(token) = self.lease_token(lease) else {
            return;
        };
        act(token);
        self.0.counters.lease_acts.up();
        History(self.instance()).lease_acted(at, lease, token);
    }

    /// Leaves the fleet for a planned stop: releases all leases and announces the departure. Returns when the other
    /// members know of it, or after `timeout`.
    pub async fn leave(&self, timeout: Duration) {
        let (done_sender, done_receiver) = oneshot::channel();
        if self
            .0
            .requests
            .send(LocalRequest::Leave(done_sender))
            .await
            .is_ok()
        {
            let _ = tokio::time::timeout(timeout, done_receiver).await;
        }
        self.stopped("left");
    }

    fn stopped(&self, cause: &str) {
        if !self.0.stopped.replace(true) {
            History(self.instance()).stopped(cause);
        }
    }

    /// The counters of this process's fleet traffic and events, over all incarnations.
    pub fn counters(&self) -> &FleetCounters {
        &self.0.counters
    }
}

/// Opens the store and the peer sockets, and spawns the tasks that run the member on the current thread.
///
/// # Errors
/// Names the configuration field at fault: the key file, the peer address or the store.
pub async fn start(config: &FleetConfig, clock: Clock, seed: u64) -> Result<Fleet, ConfigError> {
    let config_error = |field: &str, what: String| ConfigError(format!("{field}: {what}"));
    let key_file = config.key_file.display();
    let (keys, warning) = Keys::read(&config.key_file)
        .map_err(|e| config_error("fleet.key_file", format!("{key_file}: {e}")))?;
    if let Some(warning) = warning {
        log::warn!("fleet: {key_file}: {warning}");
    }
    let bind_error = |e: io::Error| {
        let peer = config.peer;
        config_error(
            "fleet.peer",
            format!(
                "can't listen on {peer}: {e}; set an address of this machine that no other process uses"
            ),
        )
    };
    let listener = TcpListener::bind(config.peer).await.map_err(bind_error)?;
    let socket = UdpSocket::bind(config.peer).await.map_err(bind_error)?;
    let path = config.store.path.clone();
    let settings = store_settings(config);
    let opened_store = disk::Disk::open(&path, settings, history::unix_us())
        .map_err(|e| config_error("store.path", format!("{}: {e}", path.display())))?;
    let session_lease = session_lease(&config.name).ok_or_else(|| {
        config_error(
            "fleet.name",
            format!(
                "{} is too long for the name of a session lease; choose a shorter name",
                config.name
            ),
        )
    })?;
    let instance = MemberInstance {
        name: config.name.clone(),
        incarnation: opened_store.disk.incarnation(),
    };
    let limits = frame_limits(config);
    let counters = Rc::new(FleetCounters::default());
    let (inbox, incoming) = mpsc::channel(INBOX_CAPACITY);
    let (requests, local_requests) = mpsc::channel(LOCAL_REQUEST_CAPACITY);
    let fleet = Fleet(Rc::new(Shared {
        clock,
        when_cut_off: config.when_cut_off,
        instance: RefCell::new(instance.clone()),
        session_lease,
        leases: RefCell::default(),
        requests,
        counters: counters.clone(),
        stopped: Cell::new(false),
        listeners: RefCell::default(),
    }));
    let reception = Rc::new(Reception {
        opener: RefCell::new(Opener::new(
            config.name.clone(),
            keys.clone(),
            limits.clone(),
        )),
        me: RefCell::new(instance),
        keys,
        limits,
        refusals: RefCell::default(),
        counters,
        clock,
        inbox,
        max_authenticated: config.most_members,
        authenticated: RefCell::default(),
        unauthenticated: RefCell::default(),
    });
    tokio::task::spawn_local(reception.clone().accept(listener));
    let driver = Driver {
        config: config.clone(),
        fleet: fleet.clone(),
        reception,
        socket,
        incoming,
        local_requests,
        seed,
    };
    tokio::task::spawn_local(driver.run(opened_store));
    Ok(fleet)
}

/// The frame limits that follow from the fleet's configuration.
fn frame_limits(config: &FleetConfig) -> FrameLimits {
    FrameLimits {
        max_datagram_bytes: config.settings.membership.max_datagram_bytes,
        max_stream_payload_bytes: config.most_frame_bytes(),
        max_senders: 2 * config.most_members,
        frames_per_second: config.most_frames_per_s,
        burst: config.most_frames_per_s.saturating_mul(2),
    }
}

fn store_settings(config: &FleetConfig) -> storage::StoreConfig {
    let max_record_bytes = config.settings.raft.max_payload_bytes.max(64 * 1024) + 64 * 1024;
    storage::StoreConfig {
        max_bytes: config.store.most_bytes,
        max_record_bytes: u32::try_from(max_record_bytes).unwrap_or(u32::MAX),
    }
}

/// Reads 16 bytes from the system's random number generator, so that no two calls return the same bytes.
fn random_bytes() -> io::Result<[u8; 16]> {
    let mut bytes = [0; 16];
    std::fs::File::open("/dev/urandom")?.read_exact(&mut bytes)?;
    Ok(bytes)
}

/// Awaits `operation` for at most `timeout`, then fails with [`io::ErrorKind::TimedOut`].
async fn with_timeout<T>(
    timeout: Duration,
    operation: impl Future<Output = io::Result<T>>,
) -> io::Result<T> {
    tokio::time::timeout(timeout, operation)
        .await
        .unwrap_or_else(|_| Err(io::ErrorKind::TimedOut.into()))
}
