//! Carries out what a member decides: sockets, keys, disk, and the history.
//!
//! [`start`] opens all that a member needs and drives its [`Node`](super::node::Node) on the program's one thread;
//! writes to the store go through one blocking thread, one after the other. [`Fleet`] is what the rest of the program
//! asks. Datagrams and connections share the peer address: the view goes by datagrams, all else by connections.

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

/// The kind of a frame that carries a message between members.
const MESSAGE_FRAME: u8 = 1;
/// The kind of a frame that carries a request of an administrator or its reply.
const ADMIN_FRAME: u8 = 2;
/// Messages that have come and wait for the member.
const INBOX_CAPACITY: usize = 256;
/// The program's own requests to the member that wait.
const LOCAL_REQUEST_CAPACITY: usize = 64;

/// What the rest of the program knows of its fleet.
#[derive(Clone)]
pub struct Fleet(Rc<Shared>);

struct Shared {
    clock: Clock,
    when_cut_off: WhenCutOff,
    who: RefCell<MemberInstance>,
    life: LeaseName,
    rights: RefCell<LeaseView>,
    asks: mpsc::Sender<LocalRequest>,
    counters: Rc<FleetCounters>,
    stopped: Cell<bool>,
    listeners: RefCell<Vec<EventListener>>,
}

/// A part of the program that is told what happens in the fleet.
pub type EventListener = Box<dyn FnMut(&FleetEvent)>;

impl Fleet {
    /// The token to act under, if this conductor may act under a lease at this very moment: the clock is read anew.
    pub fn lease_token(&self, lease: &LeaseName) -> Option<Token> {
        let Shared {
            clock, who, rights, ..
        } = &*self.0;
        rights
            .borrow()
            .valid_token(&who.borrow(), lease, clock.now())
    }

    /// Whether new requests may be taken at this very moment.
    pub fn may_serve(&self) -> bool {
        self.0.when_cut_off == WhenCutOff::Serve || self.lease_token(&self.0.life).is_some()
    }

    /// Whether this conductor's life lease stands at this very moment: the clock is read anew.
    pub fn session_valid(&self) -> bool {
        self.lease_token(&self.0.life).is_some()
    }

    /// This conductor in its present life.
    pub fn instance(&self) -> MemberInstance {
        self.0.who.borrow().clone()
    }

    /// Holds a lease from here on whenever it can be had.
    pub async fn acquire_lease(&self, lease: LeaseName) {
        let _ = self.0.asks.send(LocalRequest::AcquireLease(lease)).await;
    }

    /// Has a part of the program told what happens from here on. It must not call back into the fleet at once.
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

    /// Puts a command into the log, again and again until it is there, and gives the log's answer.
    ///
    /// # Errors
    /// There is no answer: too many wait, none came in time, or this life is over.
    pub async fn propose(&self, command: Command) -> Result<ProposalResult, ProposalError> {
        let (answer, answered) = oneshot::channel();
        self.0
            .asks
            .send(LocalRequest::Propose(command, answer))
            .await
            .map_err(|_| ProposalError::TimedOut)?;
        answered.await.unwrap_or(Err(ProposalError::TimedOut))
    }

    /// Does something under a lease if this conductor may, and tells the history.
    pub fn act_under_lease(&self, lease: &LeaseName, act: impl FnOnce(Token)) {
        let at = history::unix_us();
        let Some(token) = self.lease_token(lease) else {
            return;
        };
        act(token);
        self.0.counters.lease_acts.up();
        History(self.instance()).lease_acted(at, lease, token);
    }

    /// A planned stop: gives all leases up and leaves the view. Resolves when the others know, or it can't be waited
    /// for any longer.
    pub async fn leave(&self, patience: Duration) {
        let (done, left) = oneshot::channel();
        if self.0.asks.send(LocalRequest::Leave(done)).await.is_ok() {
            let _ = tokio::time::timeout(patience, left).await;
        }
        self.stopped("left");
    }

    fn stopped(&self, cause: &str) {
        if !self.0.stopped.replace(true) {
            History(self.instance()).stopped(cause);
        }
    }

    /// Counters.
    pub fn counters(&self) -> &FleetCounters {
        &self.0.counters
    }
}

/// Opens the store and the peer address, and lets the member run on the present thread's tasks.
///
/// # Errors
/// Names the field at fault: the key file, the peer address or the store.
pub async fn start(config: &FleetConfig, clock: Clock, seed: u64) -> Result<Fleet, ConfigError> {
    let wrong = |field: &str, what: String| ConfigError(format!("{field}: {what}"));
    let key_file = config.key_file.display();
    let (keys, warning) = Keys::read(&config.key_file)
        .map_err(|e| wrong("fleet.key_file", format!("{key_file}: {e}")))?;
    if let Some(warning) = warning {
        log::warn!("fleet: {key_file}: {warning}");
    }
    let unreachable = |e: io::Error| wrong("fleet.peer", format!("{}: {e}", config.peer));
    let listener = TcpListener::bind(config.peer).await.map_err(unreachable)?;
    let socket = UdpSocket::bind(config.peer).await.map_err(unreachable)?;
    let path = config.store.path.clone();
    let settings = store_settings(config);
    let found = disk::Disk::open(&path, settings, history::unix_us())
        .map_err(|e| wrong("store.path", format!("{}: {e}", path.display())))?;
    let life =
        session_lease(&config.name).ok_or_else(|| wrong("fleet.name", "too long".to_owned()))?;
    let who = MemberInstance {
        name: config.name.clone(),
        incarnation: found.disk.incarnation(),
    };
    let limits = frame_limits(config);
    let counters = Rc::new(FleetCounters::default());
    let (inbox, came) = mpsc::channel(INBOX_CAPACITY);
    let (asks, asked) = mpsc::channel(LOCAL_REQUEST_CAPACITY);
    let fleet = Fleet(Rc::new(Shared {
        clock,
        when_cut_off: config.when_cut_off,
        who: RefCell::new(who.clone()),
        life,
        rights: RefCell::default(),
        asks,
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
        me: RefCell::new(who),
        keys,
        limits,
        refusals: RefCell::default(),
        counters,
        clock,
        inbox,
        most_proven: config.most_members,
        proven: RefCell::default(),
        unproven: RefCell::default(),
    });
    tokio::task::spawn_local(reception.clone().accept(listener));
    let driver = Driver {
        config: config.clone(),
        fleet: fleet.clone(),
        reception,
        socket,
        came,
        asked,
        seed,
    };
    tokio::task::spawn_local(driver.run(found));
    Ok(fleet)
}

/// The limits of frames, by the fleet's configuration.
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
    let most_record = config.settings.raft.max_payload_bytes.max(64 * 1024) + 64 * 1024;
    storage::StoreConfig {
        max_bytes: config.store.most_bytes,
        max_record_bytes: u32::try_from(most_record).unwrap_or(u32::MAX),
    }
}

/// Bytes that never come twice.
fn draw() -> io::Result<[u8; 16]> {
    let mut bytes = [0; 16];
    std::fs::File::open("/dev/urandom")?.read_exact(&mut bytes)?;
    Ok(bytes)
}

/// FrameLimits a wait.
async fn within<T>(patience: Duration, wait: impl Future<Output = io::Result<T>>) -> io::Result<T> {
    tokio::time::timeout(patience, wait)
        .await
        .unwrap_or_else(|_| Err(io::ErrorKind::TimedOut.into()))
}
