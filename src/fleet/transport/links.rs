//! Outgoing connections, one per member: opened when there is a message to send, and reopened when they break.
//!
//! The queue of messages to a member is limited in bytes; above the limit the oldest messages are dropped and counted.
//! The state machines of the fleet repeat messages that matter.

use super::seal::{ConnectionNonce, FrameLimits, Keys, StreamSealer, length_prefix};
use super::{MESSAGE_FRAME, with_timeout};
use crate::counters::FleetCounters;
use crate::fleet::{MemberInstance, MemberName};
use crate::net::stream::RetryingStream;
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, VecDeque};
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::task::JoinHandle;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Time limit for connecting, and again for the acceptor to send its nonce.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Time limit of a write. A connection whose receiver stalls for longer is closed and reopened.
const WRITE_TIMEOUT: Duration = Duration::from_secs(3);
/// Time without a message after which a connection is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);
/// Delay before reconnecting after the first failure; doubles with each further failure, up to the maximum.
const FIRST_RECONNECT_DELAY: Duration = Duration::from_millis(50);
const MAX_RECONNECT_DELAY: Duration = Duration::from_secs(1);
/// Frames are collected into one write until it has this many bytes.
const WRITE_BATCH_BYTES: usize = 64 * 1024;

/// Settings of all links of one incarnation.
#[derive(Clone, Debug)]
pub struct LinkSettings {
    /// This member, with its current incarnation.
    pub me: MemberInstance,
    /// Keys that seal the frames.
    pub keys: Keys,
    /// Limits of the frames' sizes.
    pub limits: FrameLimits,
    /// Maximum size of the queue to one member, in bytes of payload.
    pub max_queue_bytes: usize,
    /// Maximum number of links, one per member; messages that need a further link are dropped.
    pub max_links: usize,
    /// Seed of the jitter in reconnect delays.
    pub seed: u64,
}

/// All links of one incarnation. Dropping it closes the connections.
pub struct Links {
    settings: Rc<LinkSettings>,
    counters: Rc<FleetCounters>,
    links: BTreeMap<MemberName, (Rc<Link>, JoinHandle<()>)>,
}

struct Link {
    to: MemberName,
    address: Cell<SocketAddr>,
    queue: RefCell<VecDeque<Vec<u8>>>,
    queued_bytes: Cell<usize>,
    wake: Notify,
}

impl Links {
    /// Creates an empty set; connections are opened by [`Links::send`].
    pub fn new(settings: LinkSettings, counters: Rc<FleetCounters>) -> Self {
        Links {
            settings: Rc::new(settings),
            counters,
            links: BTreeMap::new(),
        }
    }

    /// Queues an encoded message to a member. `address` replaces the address used for the next connection. The message
    /// is dropped and counted if it alone exceeds the queue's limit, or if it needs a new link and there is no room for
    /// one.
    pub fn send(&mut self, to: &MemberName, address: SocketAddr, payload: Vec<u8>) {
        let max_bytes = self.settings.max_queue_bytes;
        if payload.len() > max_bytes
            || (!self.links.contains_key(to) && self.links.len() >= self.settings.max_links)
        {
            self.counters.queue_drops.up();
            return;
        }
        let (link, _) = self.links.entry(to.clone()).or_insert_with(|| {
            let (queue, queued_bytes) = (RefCell::default(), Cell::new(0));
            let address = Cell::new(address);
            let link = Rc::new(Link {
                to: to.clone(),
                address,
                queue,
                queued_bytes,
                wake: Notify::new(),
            });
            let task = run(link.clone(), self.settings.clone(), self.counters.clone());
            (link, tokio::task::spawn_local(task))
        });
        link.address.set(address);
        let mut queue = link.queue.borrow_mut();
        let mut bytes = link.queued_bytes.get() + payload.len();
        while bytes > max_bytes {
            let Some(oldest) = queue.pop_front() else {
                break;
            };
            bytes -= oldest.len();
            self.counters.queue_drops.up();
        }
        queue.push_back(payload);
        link.queued_bytes.set(bytes);
        link.wake.notify_one();
    }

    /// Members that have a link.
    pub fn names(&self) -> impl Iterator<Item = &MemberName> {
        self.links.keys()
    }

    /// Closes the link to a member and drops its queue.
    pub fn forget(&mut self, name: &MemberName) {
        if let Some((_, task)) = self.links.remove(name) {
            task.abort();
        }
    }
}

impl Drop for Links {
    fn drop(&mut self) {
        self.links.values().for_each(|(_, task)| task.abort());
    }
}

impl Link {
    fn pop(&self) -> Option<Vec<u8>> {
        let payload = self.queue.borrow_mut().pop_front()?;
        self.queued_bytes
            .set(self.queued_bytes.get() - payload.len());
        Some(payload)
    }

    fn is_empty(&self) -> bool {
        self.queue.borrow().is_empty()
    }
}

async fn run(link: Rc<Link>, settings: Rc<LinkSettings>, counters: Rc<FleetCounters>) {
    let mut failures = 0u32;
    let mut jitter_draws = 0u64;
    loop {
        while link.is_empty() {
            link.wake.notified().await;
        }
        let outcome = match connect(&link).await {
            Ok((stream, nonce)) => {
                counters.links_opened.up();
                failures = 0;
                let sealer = StreamSealer::new(
                    settings.me.clone(),
                    link.to.clone(),
                    settings.keys.clone(),
                    &settings.limits,
                    nonce,
                );
                send_queued(&link, stream, sealer, &counters).await
            }
            Err(error) => Err(error),
        };
        let Err(error) = outcome else { continue };
        log::debug!(
            "fleet: connection to {} at {} failed: {error}; reconnecting",
            link.to,
            link.address.get()
        );
        counters.links_lost.up();
        let delay = FIRST_RECONNECT_DELAY
            .saturating_mul(1 << failures.min(8))
            .min(MAX_RECONNECT_DELAY);
        failures += 1;
        jitter_draws += 1;
        // Jitter: between half the delay and the whole delay, so that the members do not all reconnect at once.
        let jitter = xxh3_64_with_seed(&jitter_draws.to_le_bytes(), settings.seed) % 500;
        tokio::time::sleep(delay * (500 + jitter as u32) / 1000).await;
    }
}

async fn connect(link: &Link) -> io::Result<(RetryingStream, ConnectionNonce)> {
    let stream = with_timeout(CONNECT_TIMEOUT, TcpStream::connect(link.address.get())).await?;
    stream.set_nodelay(true)?;
    let mut stream = RetryingStream(stream);
    let mut nonce = [0; 16];
    with_timeout(CONNECT_TIMEOUT, stream.read_exact(&mut nonce)).await?;
    Ok((stream, ConnectionNonce(nonce)))
}

/// Sends queued messages until the link has been idle for [`IDLE_TIMEOUT`]. The receiver sends nothing after its nonce,
/// so a read that returns means that the connection is closed or broken.
async fn send_queued(
    link: &Link,
    stream: RetryingStream,
    mut sealer: StreamSealer,
    counters: &FleetCounters,
) -> io::Result<()> {
    let (mut reader, mut writer) = tokio::io::split(stream);
    let mut read_buffer = [0];
    loop {
        let (mut bytes, mut frames) = (Vec::new(), 0);
        while bytes.len() < WRITE_BATCH_BYTES {
            let Some(payload) = link.pop() else { break };
            match sealer.seal(MESSAGE_FRAME, &payload) {
                Ok(frame) => {
                    bytes.extend_from_slice(&length_prefix(&frame));
                    bytes.extend_from_slice(&frame);
                    frames += 1;
                }
                Err(_) => counters.queue_drops.up(),
            }
        }
        if !bytes.is_empty() {
            tokio::select! {
                written = with_timeout(WRITE_TIMEOUT, writer.write_all(&bytes)) => written?,
                _ = reader.read(&mut read_buffer) => return Err(io::ErrorKind::ConnectionReset.into()),
            }
            counters.frames_out.add(frames);
            counters.bytes_out.add(bytes.len());
            continue;
        }
        tokio::select! {
            () = link.wake.notified() => {}
            _ = reader.read(&mut read_buffer) => return Err(io::ErrorKind::ConnectionReset.into()),
            () = tokio::time::sleep(IDLE_TIMEOUT) => return Ok(()),
        }
    }
}
