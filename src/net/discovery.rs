//! Discovery: fetches the list of model hosts and watches it for changes. While discovery is unavailable, the last list
//! stays in use.

mod messages;
#[cfg(test)]
mod tests;

use self::messages::MessageDecoder;
use super::LocalBoxFuture;
use super::host_starts::{ClockReading, HostStarts};
use super::stream::RetryingStream;
use crate::counters::Counters;
use crate::dispatch::{DispatcherEvent, DispatcherHandle};
use crate::routing::types::{Endpoint, EndpointUpdate, Micros, Role, Status, WorkerId, WorkerKind};
use bytes::Bytes;
use http_body_util::{BodyExt, Empty};
use hyper::HeaderMap;
use hyper::body::Incoming;
use hyper::header::DATE;
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use serde::Deserialize;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::{Duration, UNIX_EPOCH};
use tokio::io::{AsyncRead, AsyncWrite};
use tokio::net::TcpStream;
use tokio::sync::{Notify, watch};
use tokio::time::Instant;
use tower::{Service, ServiceExt};

/// Set by the protocol: the limit within which a change has to be applied. It counts from when discovery had the change
/// and was reachable, even if calls to it were lost. For a change missed by a watch that went silent, it counts from
/// when the watch went silent.
const UPDATE_DEADLINE: Duration = Duration::from_secs(6);
/// Set by the protocol: interval of the empty lines that a watch sends while nothing changes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(2);
/// A watch that sends nothing for this long, not even an empty line, is considered broken: one line is overdue by half
/// an interval. Waiting for a second one would leave no time for a lost call after it.
const WATCH_IDLE_TIMEOUT: Duration = KEEPALIVE_INTERVAL
    .saturating_mul(3)
    .checked_div(2)
    .expect("the divisor is a non-zero constant");
/// Time-out of a call to a discovery agent on this machine, which answers at once or is down: retrying is better than
/// waiting.
const LOCAL_CALL_TIMEOUT: Duration = Duration::from_secs(1);
/// Time-out of a call to a discovery service that all routers share and that queues calls. A call abandoned early is
/// wasted, and the next one queues behind it. But a lost call is never answered, and after its time-out the routing
/// module's wait before the next call (at most a third of the update deadline) and that call's answer still have to fit
/// into the update deadline.
const SHARED_CALL_TIMEOUT: Duration = UPDATE_DEADLINE
    .checked_div(2)
    .expect("the divisor is a non-zero constant");
/// Delay before a retry after a failure. The agent is on this machine, so retries are cheap.
const RETRY_DELAY: Duration = Duration::from_millis(200);
/// So many bytes of a line that is still incomplete show that the watch is not silent, as a line does.
const MIN_PROGRESS_BYTES: usize = 1024;
/// Maximum length of a message; enough for thousands of hosts.
const MAX_MESSAGE_BYTES: usize = 4 * 1024 * 1024;

// The update deadline covers a watch that goes silent, two lost calls after it, and the call that succeeds.
const _: () = assert!(
    WATCH_IDLE_TIMEOUT.as_millis()
        + 2 * (RETRY_DELAY.as_millis() + LOCAL_CALL_TIMEOUT.as_millis())
        + RETRY_DELAY.as_millis()
        < UPDATE_DEADLINE.as_millis()
);

/// A message of discovery as encoded in JSON: the full list, or changes to it.
#[derive(Clone, Debug, Deserialize)]
pub struct ListMessage {
    seq: u64,
    #[serde(default, rename = "whole")]
    is_full: bool,
    #[serde(default)]
    hosts: Vec<HostEntry>,
}

#[derive(Clone, Debug, Deserialize)]
struct HostEntry {
    host: String,
    /// The address; if it is missing, the known one stays valid.
    dial: Option<SocketAddr>,
    /// Zone in which the host runs; empty if missing.
    #[serde(default)]
    site: String,
    #[serde(default, rename = "class")]
    kind: String,
    #[serde(default, rename = "block")]
    cell: u64,
    health: Health,
    /// Weight of the host, that is, its capacity relative to other hosts; 1 if missing.
    #[serde(default = "default_weight")]
    share: f64,
    /// Start time of the host's process as Unix time in milliseconds; 0 if unknown.
    #[serde(default)]
    born_ms: f64,
}

fn default_weight() -> f64 {
    1.0
}

#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(rename_all = "lowercase")]
enum Health {
    Ready,
    Draining,
    Gone,
}

/// The full list of model hosts, or changes to it.
#[derive(Clone, Debug, Default)]
pub struct Listing {
    /// Discovery's version of the list.
    pub seq: u64,
    /// Whether this is the full list, so that hosts without an entry are gone.
    pub is_full: bool,
    /// The hosts with their addresses; a host without an address keeps the known one.
    pub entries: Vec<(Endpoint, Option<SocketAddr>)>,
}

impl From<ListMessage> for Listing {
    fn from(message: ListMessage) -> Self {
        let entry = |host: HostEntry| {
            let status = match host.health {
                Health::Ready => Status::Ready,
                Health::Draining => Status::Draining,
                Health::Gone => Status::Gone,
            };
            let started = (host.born_ms > 0.0).then_some((host.born_ms * 1000.0) as u64);
            let worker = WorkerId(host.host.into());
            let entry = Endpoint {
                worker,
                zone: host.site,
                kind: host.kind,
                cell: host.cell,
                status,
                weight: host.share,
                started,
            };
            (entry, host.dial)
        };
        let entries = message.hosts.into_iter().map(entry).collect();
        Listing {
            seq: message.seq,
            is_full: message.is_full,
            entries,
        }
    }
}

struct HostState {
    zone: String,
    address: Option<SocketAddr>,
    status: Status,
    kind: String,
    /// Start time of the host's process, in microseconds since the Unix epoch. A new one means that it has restarted.
    started: Option<u64>,
}

/// The current list of model hosts, from which senders get addresses and states.
#[derive(Default)]
pub struct Directory {
    hosts: RefCell<HashMap<WorkerId, HostState>>,
    seq: Cell<u64>,
}

impl Directory {
    /// Applies a listing. Returns the hosts whose idle connections are to be closed: those that have restarted or have
    /// a new address, and those that are gone.
    pub fn apply(&self, listing: &Listing) -> Vec<WorkerId> {
        let mut hosts = self.hosts.borrow_mut();
        self.seq.set(listing.seq);
        if listing.is_full {
            hosts
                .values_mut()
                .for_each(|host| host.status = Status::Gone);
        }
        let mut stale = Vec::new();
        for (entry, address) in &listing.entries {
            let old = hosts.get(&entry.worker);
            let address = address.or_else(|| old.and_then(|host| host.address));
            if old.is_some_and(|host| host.started != entry.started || host.address != address) {
                stale.push(entry.worker.clone());
            }
            let host = HostState {
                zone: entry.zone.clone(),
                address,
                status: entry.status,
                kind: entry.kind.clone(),
                started: entry.started,
            };
            hosts.insert(entry.worker.clone(), host);
        }
        // Replaced machines get new ids. Entries of hosts that are gone are removed, so that the table does not grow
        // without bound.
        hosts.retain(|worker, host| {
            if host.status == Status::Gone {
                stale.push(worker.clone());
            }
            host.status != Status::Gone
        });
        stale
    }

    /// The address of a host; `None` if it is not listed or was listed without an address.
    pub fn address(&self, worker: &WorkerId) -> Option<SocketAddr> {
        self.hosts.borrow().get(worker)?.address
    }

    /// The number of listed hosts, including draining ones.
    pub fn count(&self) -> usize {
        self.hosts.borrow().len()
    }

    /// Whether a host is ready for new requests.
    pub fn is_ready(&self, worker: &WorkerId) -> bool {
        self.hosts
            .borrow()
            .get(worker)
            .is_some_and(|host| host.status == Status::Ready)
    }

    /// The role of a host by its kind; [`Role::Mixed`] for a kind not in `kinds`, `None` if the host is not listed.
    pub fn role(&self, worker: &WorkerId, kinds: &[WorkerKind]) -> Option<Role> {
        let hosts = self.hosts.borrow();
        let kind = &hosts.get(worker)?.kind;
        Some(
            kinds
                .iter()
                .find(|worker_kind| worker_kind.name == *kind)
                .map_or(Role::Mixed, |worker_kind| worker_kind.role),
        )
    }

    /// The hosts that accept releases, each with its zone: ready hosts first, then draining ones.
    pub fn release_targets(&self) -> Vec<(WorkerId, String)> {
        let hosts = self.hosts.borrow();
        let mut targets: Vec<(&WorkerId, &HostState)> = hosts.iter().collect();
        targets.sort_by_key(|(_, host)| host.status != Status::Ready);
        targets
            .into_iter()
            .map(|(worker, host)| (worker.clone(), host.zone.clone()))
            .collect()
    }

    /// The hosts of a zone in the order of their names: the address of each, and whether it is ready.
    pub fn hosts_in_zone(&self, zone: &str) -> Vec<(Option<SocketAddr>, bool)> {
        let hosts = self.hosts.borrow();
        let mut in_zone: Vec<(&WorkerId, &HostState)> =
            hosts.iter().filter(|(_, host)| host.zone == zone).collect();
        in_zone.sort_by(|(a, _), (b, _)| a.0.cmp(&b.0));
        in_zone
            .into_iter()
            .map(|(_, host)| (host.address, host.status == Status::Ready))
            .collect()
    }

    /// Whether the ready hosts together cover prefill and decode.
    pub fn covers_both_stages(&self, kinds: &[WorkerKind]) -> bool {
        let hosts = self.hosts.borrow();
        let role = |host: &HostState| {
            kinds
                .iter()
                .find(|worker_kind| worker_kind.name == host.kind)
                .map_or(Role::Mixed, |worker_kind| worker_kind.role)
        };
        let is_ready_for = |wanted| {
            hosts
                .values()
                .any(|host| host.status == Status::Ready && role(host) == wanted)
        };
        is_ready_for(Role::Mixed) || is_ready_for(Role::Prefill) && is_ready_for(Role::Decode)
    }
}

/// A connection to discovery; tests replace the TCP stream.
trait ByteStream: AsyncRead + AsyncWrite + Unpin {}
impl<S: AsyncRead + AsyncWrite + Unpin> ByteStream for S {}

/// Opens a connection to discovery at an address.
type Dial = Rc<dyn Fn(SocketAddr) -> LocalBoxFuture<std::io::Result<Box<dyn ByteStream>>>>;
type Error = Box<dyn std::error::Error>;

/// The HTTP client for discovery: a tower service from a path with query to the response.
#[derive(Clone)]
struct DiscoveryClient {
    address: SocketAddr,
    dial: Dial,
}

impl Service<String> for DiscoveryClient {
    type Response = Response<Incoming>;
    type Error = Error;
    type Future = LocalBoxFuture<Result<Self::Response, Self::Error>>;

    fn poll_ready(&mut self, _: &mut Context<'_>) -> Poll<Result<(), Self::Error>> {
        Poll::Ready(Ok(()))
    }

    fn call(&mut self, target: String) -> Self::Future {
        let stream = (self.dial)(self.address);
        Box::pin(async move {
            let stream = TokioIo::new(stream.await?);
            let (mut sender, connection) = hyper::client::conn::http1::handshake(stream).await?;
            tokio::task::spawn_local(connection);
            let request = Request::get(target)
                .header("host", "discovery")
                .body(Empty::<Bytes>::new())?;
            let response = sender.send_request(request).await?;
            if response.status() != 200 {
                return Err(format!("discovery answered {}", response.status()).into());
            }
            Ok(response)
        })
    }
}

/// The state of the calls to discovery.
#[derive(Default)]
struct WatchState {
    /// Consecutive failures since a watch last lasted longer than its idle time-out.
    failures: u32,
    /// Whether the full list has to be fetched before the watch is opened. Versions of different agents are unrelated,
    /// so an agent at a new address cannot be asked for changes since the version held.
    needs_full_list: bool,
    /// Whether the address has changed since the last call.
    address_changed: bool,
}

impl WatchState {
    fn after_address_change() -> Self {
        WatchState {
            failures: 0,
            needs_full_list: true,
            address_changed: true,
        }
    }
}

/// Adjusts endpoints before they are passed to the dispatcher.
pub type AdjustEndpoints = Box<dyn Fn(EndpointUpdate, &mut [Endpoint])>;

/// Keeps the directory and the dispatcher up to date with discovery, for as long as the router runs.
pub struct DiscoveryWatcher {
    /// Directory of model hosts that each listing updates.
    pub directory: Rc<Directory>,
    /// Receives the updates of endpoints.
    pub dispatcher: DispatcherHandle,
    /// Called for each host whose idle connections are to be closed.
    pub close_idle: Box<dyn Fn(&WorkerId)>,
    /// If set, a watch is opened only when this is notified: the routing module then spaces the calls of all routers to
    /// a shared discovery service. If `None`, a lost watch is reopened after a short delay.
    pub subscribe_request: Option<Rc<Notify>>,
    /// Notified when the full list is to be fetched while a watch is open.
    pub fetch_list: Rc<Notify>,
    /// Counters of the process, for example of lost watches.
    pub counters: Rc<Counters>,
    /// Adjusts the endpoints of each listing for the dispatcher; the directory gets them unadjusted.
    pub adjust_endpoints: Option<AdjustEndpoints>,
    /// Converts start times of hosts to the dispatcher's clock.
    pub host_starts: RefCell<HostStarts>,
}

impl DiscoveryWatcher {
    /// Applies a listing to the directory and passes it on to the dispatcher.
    pub fn apply(&self, listing: Listing, update: EndpointUpdate) {
        for (entry, _) in &listing.entries {
            let level = if update == EndpointUpdate::Incremental {
                log::Level::Info
            } else {
                log::Level::Debug
            };
            let Endpoint {
                worker,
                zone,
                kind,
                cell,
                status,
                ..
            } = entry;
            log::log!(
                level,
                "discovery: {} ({kind}, {zone}, cell {cell}) is {status:?}",
                worker.0
            );
        }
        for worker in self.directory.apply(&listing) {
            (self.close_idle)(&worker);
        }
        let mut entries: Vec<Endpoint> = listing
            .entries
            .into_iter()
            .map(|(entry, _)| entry)
            .collect();
        self.convert_starts(&mut entries, update);
        if let Some(adjust) = &self.adjust_endpoints {
            adjust(update, &mut entries);
        }
        self.dispatcher.send(DispatcherEvent::EndpointsUpdated {
            update,
            endpoints: entries,
        });
    }

    /// Converts the start times of hosts from Unix time to the dispatcher's clock.
    fn convert_starts(&self, entries: &mut [Endpoint], update: EndpointUpdate) {
        let reading = ClockReading::at(self.dispatcher.clock.now());
        let mut starts = self.host_starts.borrow_mut();
        for Endpoint {
            worker, started, ..
        } in entries
        {
            *started = started.map(|listed_start| {
                starts.local_start(
                    worker,
                    listed_start,
                    reading,
                    update == EndpointUpdate::Incremental,
                )
            });
        }
        starts.note_message(reading.now);
    }

    /// Watches discovery until the sender of `address` is dropped. A lost watch is reopened from the version held. When
    /// the address changes, the current call is abandoned and the new address is called at once.
    pub async fn run(self, address: watch::Receiver<Option<SocketAddr>>) {
        let dial = |address| -> LocalBoxFuture<std::io::Result<Box<dyn ByteStream>>> {
            Box::pin(async move {
                Ok(Box::new(RetryingStream(TcpStream::connect(address).await?))
                    as Box<dyn ByteStream>)
            })
        };
        self.run_with(Rc::new(dial), address).await;
    }

    async fn run_with(self, dial: Dial, mut address: watch::Receiver<Option<SocketAddr>>) {
        let mut state = WatchState::default();
        loop {
            let Some(current_address) = *address.borrow_and_update() else {
                if address.changed().await.is_err() {
                    return;
                }
                continue;
            };
            // With a shared discovery service, the routing module decides when to call, since it knows how many routers
            // do. A new address is called at once, because changes may have been missed.
            if let Some(request) = self
                .subscribe_request
                .as_ref()
                .filter(|_| !state.address_changed)
            {
                tokio::select! {
                    _ = address.changed() => {
                        state = WatchState::after_address_change();
                        continue;
                    }
                    () = request.notified() => {}
                }
            }
            state.address_changed = false;
            let discovery = DiscoveryClient {
                address: current_address,
                dial: dial.clone(),
            };
            let result = tokio::select! {
                biased;
                changed = address.changed() => {
                    if changed.is_err() {
                        return;
                    }
                    state = WatchState::after_address_change();
                    continue;
                }
                result = self.fetch_and_watch(discovery, &mut state) => result,
            };
            self.counters.watches_lost.up();
            if let Err(error) = result {
                // A warning only for the first failure, since an outage may last long.
                let level = if state.failures == 0 {
                    log::Level::Warn
                } else {
                    log::Level::Debug
                };
                log::log!(
                    level,
                    "discovery: {error}; keeping the current list and retrying"
                );
                state.failures += 1;
            } else {
                state.failures = 0;
            }
            self.dispatcher.send(DispatcherEvent::EndpointsUpdated {
                update: EndpointUpdate::Failed,
                endpoints: Vec::new(),
            });
            if self.subscribe_request.is_none() {
                tokio::select! {
                    _ = address.changed() => state = WatchState::after_address_change(),
                    () = tokio::time::sleep(RETRY_DELAY) => {}
                }
            }
        }
    }

    /// The time-out of a call to discovery.
    fn call_timeout(&self) -> Duration {
        if self.subscribe_request.is_some() {
            SHARED_CALL_TIMEOUT
        } else {
            LOCAL_CALL_TIMEOUT
        }
    }

    /// Fetches the full list if it is needed, then watches for changes until the watch ends.
    async fn fetch_and_watch(
        &self,
        mut discovery: DiscoveryClient,
        state: &mut WatchState,
    ) -> Result<(), Error> {
        if state.needs_full_list {
            self.apply_listing(self.fetch_full_list(&mut discovery).await?)?;
            state.needs_full_list = false;
        }
        let target = format!("/v1/servers?watch=1&after={}", self.directory.seq.get());
        log::debug!("discovery: GET {target}");
        let response = discovery.ready().await?.call(target);
        let response = tokio::time::timeout(self.call_timeout(), response).await??;
        self.note_date(response.headers());
        tokio::select! {
            result = self.read_watch(response.into_body(), state) => result,
            never = self.serve_list_requests(discovery) => match never {},
        }
    }

    /// Fetches the full list, on a connection of its own, whenever it is requested during a watch. A failed fetch
    /// leaves the watch open, since a broken watch is detected separately.
    async fn serve_list_requests(
        &self,
        mut discovery: DiscoveryClient,
    ) -> std::convert::Infallible {
        loop {
            self.fetch_list.notified().await;
            let version_before = self.directory.seq.get();
            let fetched = self.fetch_full_list(&mut discovery).await;
            // A list older than what the watch delivered during the fetch would undo changes.
            let version = self.directory.seq.get();
            let applied = fetched.and_then(|list| {
                if list.seq < version && version != version_before {
                    Err(format!(
                        "version {} is older than version {version} of the watch",
                        list.seq
                    )
                    .into())
                } else {
                    self.apply_listing(list)
                }
            });
            if let Err(error) = applied {
                log::warn!(
                    "discovery: fetching the full list during the watch: {error}; keeping the current list"
                );
            }
        }
    }

    async fn read_watch(&self, mut body: Incoming, state: &mut WatchState) -> Result<(), Error> {
        let (started_at, mut decoder) = (Instant::now(), MessageDecoder::default());
        let (mut last_progress, mut bytes_since) = (started_at, 0);
        loop {
            let deadline = last_progress + WATCH_IDLE_TIMEOUT;
            let Ok(frame) = tokio::time::timeout_at(deadline, body.frame()).await else {
                return Err(format!(
                    "the watch sent nothing for {} ms",
                    WATCH_IDLE_TIMEOUT.as_millis()
                )
                .into());
            };
            let Some(frame) = frame else { return Ok(()) };
            let Ok(data) = frame?.into_data() else {
                continue;
            };
            if started_at.elapsed() > WATCH_IDLE_TIMEOUT {
                state.failures = 0;
            }
            bytes_since += data.len();
            if data.contains(&b'\n') || bytes_since >= MIN_PROGRESS_BYTES {
                (last_progress, bytes_since) = (Instant::now(), 0);
            }
            decoder.push(&data);
            while let Some(message) = decoder.next() {
                let applied = message
                    .map_err(Error::from)
                    .and_then(|message| self.apply_listing(message.into()));
                if let Err(error) = applied {
                    log::warn!(
                        "discovery: invalid message ignored: {error}; keeping the current list"
                    );
                }
            }
            if decoder.buffered_len() > MAX_MESSAGE_BYTES {
                return Err(format!("a message exceeds {MAX_MESSAGE_BYTES} bytes").into());
            }
        }
    }

    /// Applies a listing received from discovery.
    ///
    /// Versions are not compared: messages of one connection are in order, and a restarted agent may start its
    /// numbering again.
    ///
    /// # Errors
    /// A full list is empty.
    fn apply_listing(&self, listing: Listing) -> Result<(), Error> {
        // An agent that has just started may not know any host yet; that does not mean that all are gone.
        if listing.is_full && listing.entries.is_empty() {
            return Err("the full list is empty".into());
        }
        let update = if listing.is_full {
            EndpointUpdate::Full
        } else {
            EndpointUpdate::Incremental
        };
        self.apply(listing, update);
        Ok(())
    }

    /// Compares this machine's wall clock with the `Date` of a response, since start times of hosts are given by
    /// discovery's clock.
    fn note_date(&self, headers: &HeaderMap) {
        let date = headers.get(DATE).and_then(|value| value.to_str().ok());
        let Some(date) = date.and_then(|text| httpdate::parse_http_date(text).ok()) else {
            return;
        };
        let since_epoch = date.duration_since(UNIX_EPOCH).unwrap_or_default();
        let reading = ClockReading::at(self.dispatcher.clock.now());
        let seconds_ahead =
            (i128::from(reading.wall) - since_epoch.as_micros() as i128) / 1_000_000;
        log::debug!(
            "discovery: date of the response is {since_epoch:?}, {seconds_ahead} s behind this machine's clock"
        );
        if self
            .host_starts
            .borrow_mut()
            .note_discovery_date(since_epoch.as_micros() as Micros, reading)
        {
            log::warn!(
                "discovery: this machine's clock is {seconds_ahead} s ahead of discovery's, which is now used for the \
                 start times of hosts"
            );
            // Start times that were converted by this machine's clock are converted again.
            self.fetch_list.notify_one();
        }
    }

    /// Fetches the full list once.
    async fn fetch_full_list(&self, discovery: &mut DiscoveryClient) -> Result<Listing, Error> {
        let fetched = async {
            let response = discovery.ready().await?.call("/v1/servers".into()).await?;
            self.note_date(response.headers());
            let body = http_body_util::Limited::new(response.into_body(), MAX_MESSAGE_BYTES)
                .collect()
                .await;
            let message = serde_json::from_slice::<ListMessage>(
                &body.map_err(|e| e.to_string())?.to_bytes(),
            )?;
            Ok(Listing {
                is_full: true,
                ..message.into()
            })
        };
        tokio::time::timeout(self.call_timeout(), fetched).await?
    }
}
