//! Discovery: the list of model hosts and the watch of its changes. While discovery is silent the list stands.

mod messages;
#[cfg(test)]
mod tests;

use self::messages::Messages;
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

/// The protocol's: a change counts as told this long after discovery had it and could be reached, however the calls
/// to it went, and what a watch that fell silent missed this long after it did.
const TOLD: Duration = Duration::from_secs(6);
/// The protocol's: while nothing changes an empty line comes this often.
const BEAT: Duration = Duration::from_secs(2);
/// A watch that says nothing for this long, not even an empty line, is dead: one line is missing, and late by half of
/// its time. Waiting for a second one would leave no time for a try that is lost, too.
const SILENCE: Duration = BEAT
    .saturating_mul(3)
    .checked_div(2)
    .expect("not by nothing");
/// The agent is on this machine and answers at once, or is down: asked again rather than waited for.
const ANSWER: Duration = Duration::from_secs(1);
/// Where it is one service for all conductors, calls wait their turn there: one given up early was in vain, and the
/// next one waits behind it. But one that was lost is never answered, and from then on the module's wait for the next
/// one (at most a third of what counts as told) and that one's answer have to fit as well.
const TURN: Duration = TOLD.checked_div(2).expect("not by nothing");
/// Before the next try after a failure: the agent is on this machine, and asking it costs nothing.
const PAUSE: Duration = Duration::from_millis(200);
/// The longest message that is read: thousands of hosts.
const MOST_BYTES: usize = 4 * 1024 * 1024;

// A watch that falls silent, two tries after it that are lost, and the one that brings what was missed.
const _: () = assert!(
    SILENCE.as_millis() + 2 * (PAUSE.as_millis() + ANSWER.as_millis()) + PAUSE.as_millis()
        < TOLD.as_millis()
);

/// A message of discovery: the whole list or its changes.
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
    dial: Option<SocketAddr>,
    #[serde(default)]
    site: String,
    #[serde(default, rename = "class")]
    kind: String,
    #[serde(default, rename = "block")]
    cell: u64,
    health: Health,
    #[serde(default = "one")]
    share: f64,
    #[serde(default)]
    born_ms: f64,
}

fn one() -> f64 {
    1.0
}

#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(rename_all = "lowercase")]
enum Health {
    Ready,
    Draining,
    Gone,
}

/// A list or its changes, in the words of the domain.
#[derive(Clone, Debug, Default)]
pub struct Listing {
    /// The version.
    pub seq: u64,
    /// Whether all others are gone.
    pub is_full: bool,
    /// The entries, with the addresses they are reached at.
    pub entries: Vec<(Endpoint, Option<SocketAddr>)>,
}

impl From<ListMessage> for Listing {
    fn from(message: ListMessage) -> Self {
        let entry = |h: HostEntry| {
            let status = match h.health {
                Health::Ready => Status::Ready,
                Health::Draining => Status::Draining,
                Health::Gone => Status::Gone,
            };
            let started = (h.born_ms > 0.0).then_some((h.born_ms * 1000.0) as u64);
            let worker = WorkerId(h.host.into());
            let entry = Endpoint {
                worker,
                zone: h.site,
                kind: h.kind,
                cell: h.cell,
                status,
                weight: h.share,
                started,
            };
            (entry, h.dial)
        };
        let entries = message.hosts.into_iter().map(entry).collect();
        Listing {
            seq: message.seq,
            is_full: message.is_full,
            entries,
        }
    }
}

struct Host {
    zone: String,
    address: Option<SocketAddr>,
    status: Status,
    kind: String,
    started: Option<u64>,
}

/// What the list says now, for whoever is about to send.
#[derive(Default)]
pub struct Directory {
    hosts: RefCell<HashMap<WorkerId, Host>>,
    seq: Cell<u64>,
}

impl Directory {
    /// Takes a listing in; gives back the hosts whose connections are of an earlier life, or that are gone.
    pub fn apply(&self, listing: &Listing) -> Vec<WorkerId> {
        let mut hosts = self.hosts.borrow_mut();
        self.seq.set(listing.seq);
        if listing.is_full {
            hosts.values_mut().for_each(|h| h.status = Status::Gone);
        }
        let mut reborn = Vec::new();
        for (entry, address) in &listing.entries {
            let old = hosts.get(&entry.worker);
            let address = address.or_else(|| old.and_then(|h| h.address));
            if old.is_some_and(|h| h.started != entry.started || h.address != address) {
                reborn.push(entry.worker.clone());
            }
            let host = Host {
                zone: entry.zone.clone(),
                address,
                status: entry.status,
                kind: entry.kind.clone(),
                started: entry.started,
            };
            hosts.insert(entry.worker.clone(), host);
        }
        // Machines are replaced under new ids for as long as this runs: what is gone is forgotten here, and its
        // idle connections with it.
        hosts.retain(|worker, host| {
            if host.status == Status::Gone {
                reborn.push(worker.clone());
            }
            host.status != Status::Gone
        });
        reborn
    }

    /// A host's address.
    pub fn address(&self, worker: &WorkerId) -> Option<SocketAddr> {
        self.hosts.borrow().get(worker)?.address
    }

    /// How many hosts the list has, those that drain included.
    pub fn count(&self) -> usize {
        self.hosts.borrow().len()
    }

    /// Whether a host may be sent new work at this moment.
    pub fn is_ready(&self, worker: &WorkerId) -> bool {
        self.hosts
            .borrow()
            .get(worker)
            .is_some_and(|h| h.status == Status::Ready)
    }

    /// What a host does, if the list has it.
    pub fn role(&self, worker: &WorkerId, kinds: &[WorkerKind]) -> Option<Role> {
        let hosts = self.hosts.borrow();
        let kind = &hosts.get(worker)?.kind;
        Some(
            kinds
                .iter()
                .find(|k| k.name == *kind)
                .map_or(Role::Mixed, |k| k.role),
        )
    }

    /// All hosts in service, and after them those that drain, each with its zone: any of them takes a release.
    pub fn release_targets(&self) -> Vec<(WorkerId, String)> {
        let hosts = self.hosts.borrow();
        let mut running: Vec<(&WorkerId, &Host)> = hosts.iter().collect();
        running.sort_by_key(|(_, h)| h.status != Status::Ready);
        running
            .into_iter()
            .map(|(w, h)| (w.clone(), h.zone.clone()))
            .collect()
    }

    /// The addresses of a zone's hosts, by their names, and whether each is in service.
    pub fn hosts_in_zone(&self, zone: &str) -> Vec<(Option<SocketAddr>, bool)> {
        let hosts = self.hosts.borrow();
        let mut here: Vec<(&WorkerId, &Host)> =
            hosts.iter().filter(|(_, h)| h.zone == zone).collect();
        here.sort_by(|(a, _), (b, _)| a.0.cmp(&b.0));
        here.into_iter()
            .map(|(_, h)| (h.address, h.status == Status::Ready))
            .collect()
    }

    /// Whether hosts in service can do both stages between them.
    pub fn covers_both_stages(&self, kinds: &[WorkerKind]) -> bool {
        let hosts = self.hosts.borrow();
        let role = |h: &Host| {
            kinds
                .iter()
                .find(|k| k.name == h.kind)
                .map_or(Role::Mixed, |k| k.role)
        };
        let has = |wanted| {
            hosts
                .values()
                .any(|h| h.status == Status::Ready && role(h) == wanted)
        };
        has(Role::Mixed) || has(Role::Prefill) && has(Role::Decode)
    }
}

/// Bytes to and from discovery.
trait Stream: AsyncRead + AsyncWrite + Unpin {}
impl<S: AsyncRead + AsyncWrite + Unpin> Stream for S {}

/// Opens a connection to discovery.
type Dial = Rc<dyn Fn(SocketAddr) -> LocalBoxFuture<std::io::Result<Box<dyn Stream>>>>;
type Error = Box<dyn std::error::Error>;

/// A call to discovery, given by its path and query.
#[derive(Clone)]
struct Discovery {
    address: SocketAddr,
    dial: Dial,
}

impl Service<String> for Discovery {
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

/// How the calls to discovery went of late.
#[derive(Default)]
struct Calls {
    /// Failures since a watch last held.
    failures: u32,
    /// The list held is the configuration's or this agent's. Versions of another one say nothing of it, so that one
    /// is asked for its whole list before its changes.
    needs_full_list: bool,
    /// The address is new.
    moved: bool,
}

impl Calls {
    fn moved() -> Self {
        Calls {
            failures: 0,
            needs_full_list: true,
            moved: true,
        }
    }
}

/// Changes the entries of a list or of its changes.
pub type AdjustEndpoints = Box<dyn Fn(EndpointUpdate, &mut [Endpoint])>;

/// Follows discovery for as long as the conductor runs.
pub struct DiscoveryWatcher {
    /// What it keeps.
    pub directory: Rc<Directory>,
    /// Whom it tells.
    pub dispatcher: DispatcherHandle,
    /// Called for hosts whose idle connections are of no more use.
    pub close_idle: Box<dyn Fn(&WorkerId)>,
    /// Where discovery has to be asked for its list: the module's word that it is time for it.
    pub subscribe_request: Option<Rc<Notify>>,
    /// Asks for the whole list.
    pub fetch_list: Rc<Notify>,
    /// Counters.
    pub counters: Rc<Counters>,
    /// Changes what the dispatcher is told of a list, once the directory has it.
    pub adjust_endpoints: Option<AdjustEndpoints>,
    /// When hosts started.
    pub host_starts: RefCell<HostStarts>,
}

impl DiscoveryWatcher {
    /// Takes a listing in and tells the dispatcher.
    pub fn apply(&self, listing: Listing, kind: EndpointUpdate) {
        for (entry, _) in &listing.entries {
            let level = if kind == EndpointUpdate::Incremental {
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
        self.judge_starts(&mut entries, kind);
        if let Some(weigh) = &self.adjust_endpoints {
            weigh(kind, &mut entries);
        }
        self.dispatcher.send(DispatcherEvent::EndpointsUpdated {
            update: kind,
            endpoints: entries,
        });
    }

    /// Turns the starts of hosts, told as Unix time, into moments of the dispatcher's clock.
    fn judge_starts(&self, entries: &mut [Endpoint], kind: EndpointUpdate) {
        let reading = ClockReading::at(self.dispatcher.clock.now());
        let mut starts = self.host_starts.borrow_mut();
        for Endpoint {
            worker, started, ..
        } in entries
        {
            *started = started.map(|born| {
                starts.judge(worker, born, reading, kind == EndpointUpdate::Incremental)
            });
        }
        starts.told(reading.now);
    }

    /// Watches until the task ends; what breaks is begun again, from the version held. Where the address changes,
    /// the watch moves at once.
    pub async fn run(self, address: watch::Receiver<Option<SocketAddr>>) {
        let dial = |address| -> LocalBoxFuture<std::io::Result<Box<dyn Stream>>> {
            Box::pin(async move {
                Ok(Box::new(RetryingStream(TcpStream::connect(address).await?)) as Box<dyn Stream>)
            })
        };
        self.run_with(Rc::new(dial), address).await;
    }

    async fn run_with(self, dial: Dial, mut address: watch::Receiver<Option<SocketAddr>>) {
        let mut calls = Calls::default();
        loop {
            let Some(at) = *address.borrow_and_update() else {
                if address.changed().await.is_err() {
                    return;
                }
                continue;
            };
            // Where it has to be asked, the module says when: it knows how many ask besides. A new address tells of
            // all that this one missed, and can't wait.
            if let Some(ask) = self.subscribe_request.as_ref().filter(|_| !calls.moved) {
                tokio::select! {
                    _ = address.changed() => {
                        calls = Calls::moved();
                        continue;
                    }
                    () = ask.notified() => {}
                }
            }
            calls.moved = false;
            let discovery = Discovery {
                address: at,
                dial: dial.clone(),
            };
            let ended = tokio::select! {
                biased;
                changed = address.changed() => {
                    if changed.is_err() {
                        return;
                    }
                    calls = Calls::moved();
                    continue;
                }
                ended = self.watching(discovery, &mut calls) => ended,
            };
            self.counters.watches_lost.up();
            if let Err(error) = ended {
                // Once for each outage: it may last long.
                let level = if calls.failures == 0 {
                    log::Level::Warn
                } else {
                    log::Level::Debug
                };
                log::log!(level, "discovery: {error}; the list stands");
                calls.failures += 1;
            } else {
                calls.failures = 0;
            }
            self.dispatcher.send(DispatcherEvent::EndpointsUpdated {
                update: EndpointUpdate::Failed,
                endpoints: Vec::new(),
            });
            if self.subscribe_request.is_none() {
                tokio::select! {
                    _ = address.changed() => calls = Calls::moved(),
                    () = tokio::time::sleep(PAUSE) => {}
                }
            }
        }
    }

    /// How long a call may take.
    fn patience(&self) -> Duration {
        if self.subscribe_request.is_some() {
            TURN
        } else {
            ANSWER
        }
    }

    async fn watching(&self, mut discovery: Discovery, calls: &mut Calls) -> Result<(), Error> {
        if calls.needs_full_list {
            self.news(self.fetch(&mut discovery).await?)?;
            calls.needs_full_list = false;
        }
        let target = format!("/v1/servers?watch=1&after={}", self.directory.seq.get());
        log::debug!("discovery: GET {target}");
        let response = discovery.ready().await?.call(target);
        let response = tokio::time::timeout(self.patience(), response).await??;
        self.note_date(response.headers());
        tokio::select! {
            ended = self.watch(response.into_body(), calls) => ended,
            never = self.refresh(discovery) => match never {},
        }
    }

    /// Where the whole list is asked for, it comes beside the watch. One that fails leaves the watch as it is: that
    /// one tells by itself when it has broken.
    async fn refresh(&self, mut discovery: Discovery) -> std::convert::Infallible {
        loop {
            self.fetch_list.notified().await;
            let held = self.directory.seq.get();
            let fetched = self.fetch(&mut discovery).await;
            // Guards against a change undone: the watch may have told it while an older list was on its way here.
            let now = self.directory.seq.get();
            let taken = fetched.and_then(|list| {
                if list.seq < now && now != held {
                    Err(format!("version {} came after {now}", list.seq).into())
                } else {
                    self.news(list)
                }
            });
            if let Err(error) = taken {
                log::warn!("discovery: the whole list beside the watch: {error}; the list stands");
            }
        }
    }

    async fn watch(&self, mut body: Incoming, calls: &mut Calls) -> Result<(), Error> {
        let (begun, mut messages) = (Instant::now(), Messages::default());
        loop {
            let Ok(frame) = tokio::time::timeout(SILENCE, body.frame()).await else {
                return Err("the watch has fallen silent".into());
            };
            let Some(frame) = frame else { return Ok(()) };
            let Ok(data) = frame?.into_data() else {
                continue;
            };
            if begun.elapsed() > SILENCE {
                calls.failures = 0;
            }
            messages.push(&data);
            while let Some(message) = messages.next() {
                let taken = message
                    .map_err(Error::from)
                    .and_then(|message| self.news(message.into()));
                if let Err(error) = taken {
                    log::warn!(
                        "discovery: a message that can't be taken: {error}; the list stands"
                    );
                }
            }
            if messages.held() > MOST_BYTES {
                return Err("a message without end".into());
            }
        }
    }

    /// Takes in what discovery says.
    ///
    /// Versions are not compared here: what comes on one connection comes in its order, and an agent that has
    /// started again may count anew.
    fn news(&self, listing: Listing) -> Result<(), Error> {
        // An agent that has just started may know nobody yet: no reason to think that all have gone.
        if listing.is_full && listing.entries.is_empty() {
            return Err("the whole list is empty".into());
        }
        let kind = if listing.is_full {
            EndpointUpdate::Full
        } else {
            EndpointUpdate::Incremental
        };
        self.apply(listing, kind);
        Ok(())
    }

    /// Compares this machine's wall clock with discovery's, by which starts of hosts are told.
    fn note_date(&self, headers: &HeaderMap) {
        let date = headers.get(DATE).and_then(|value| value.to_str().ok());
        let Some(date) = date.and_then(|text| httpdate::parse_http_date(text).ok()) else {
            return;
        };
        let since = date.duration_since(UNIX_EPOCH).unwrap_or_default();
        let reading = ClockReading::at(self.dispatcher.clock.now());
        let ahead = (i128::from(reading.wall) - since.as_micros() as i128) / 1_000_000;
        log::debug!("discovery: answered at {since:?}, {ahead} s behind this machine's clock");
        if self
            .host_starts
            .borrow_mut()
            .note_discovery_date(since.as_micros() as Micros, reading)
        {
            log::warn!("discovery: this machine's clock is {ahead} s ahead of discovery's");
            // Those that were read by it are told again.
            self.fetch_list.notify_one();
        }
    }

    /// Asks once for the whole list.
    async fn fetch(&self, discovery: &mut Discovery) -> Result<Listing, Error> {
        let fetched = async {
            let response = discovery.ready().await?.call("/v1/servers".into()).await?;
            self.note_date(response.headers());
            let body = http_body_util::Limited::new(response.into_body(), MOST_BYTES)
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
        tokio::time::timeout(self.patience(), fetched).await?
    }
}
