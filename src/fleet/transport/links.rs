//! Connections to other members, one each: opened when there is something to send, and again when they break.
//!
//! What waits for a member is bounded in bytes; over the bound the oldest is dropped and counted. The machines send
//! again what matters.

use super::seal::{Bounds, Keys, Session, StreamSealer, length_prefix};
use super::{MESSAGE, within};
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

/// A connection has this long to come about, and the acceptor to say its first word.
const CONNECT: Duration = Duration::from_secs(1);
/// A receiver that takes nothing for this long is cut off, and tried anew.
const STALLED: Duration = Duration::from_secs(3);
/// A connection with nothing to carry is closed after this.
const IDLE: Duration = Duration::from_secs(30);
/// The wait after the first failure; doubled with each one that follows, up to the longest.
const FIRST_WAIT: Duration = Duration::from_millis(50);
const LONGEST_WAIT: Duration = Duration::from_secs(1);
/// Frames that go out with one write at the most, by their bytes.
const TOGETHER: usize = 64 * 1024;

/// How links are made.
#[derive(Clone, Debug)]
pub struct Terms {
    /// This member, in this life.
    pub me: MemberInstance,
    /// The shared keys.
    pub keys: Keys,
    /// Of frames.
    pub bounds: Bounds,
    /// Bytes that may wait for one member.
    pub most_queue_bytes: usize,
    /// Members that there may be links to.
    pub most_links: usize,
    /// For the spread of waits.
    pub seed: u64,
}

/// All links of one life. Dropped, they close.
pub struct Links {
    terms: Rc<Terms>,
    counters: Rc<FleetCounters>,
    links: BTreeMap<MemberName, (Rc<Link>, JoinHandle<()>)>,
}

struct Link {
    to: MemberName,
    address: Cell<SocketAddr>,
    queue: RefCell<VecDeque<Vec<u8>>>,
    bytes: Cell<usize>,
    wake: Notify,
}

impl Links {
    /// None yet.
    pub fn new(terms: Terms, counters: Rc<FleetCounters>) -> Self {
        Links {
            terms: Rc::new(terms),
            counters,
            links: BTreeMap::new(),
        }
    }

    /// Puts a message into the queue to a member.
    pub fn send(&mut self, to: &MemberName, address: SocketAddr, payload: Vec<u8>) {
        let most = self.terms.most_queue_bytes;
        if payload.len() > most
            || (!self.links.contains_key(to) && self.links.len() >= self.terms.most_links)
        {
            self.counters.queue_drops.up();
            return;
        }
        let (link, _) = self.links.entry(to.clone()).or_insert_with(|| {
            let (queue, bytes) = (RefCell::default(), Cell::new(0));
            let address = Cell::new(address);
            let link = Rc::new(Link {
                to: to.clone(),
                address,
                queue,
                bytes,
                wake: Notify::new(),
            });
            let task = run(link.clone(), self.terms.clone(), self.counters.clone());
            (link, tokio::task::spawn_local(task))
        });
        link.address.set(address);
        let mut queue = link.queue.borrow_mut();
        let mut bytes = link.bytes.get() + payload.len();
        while bytes > most {
            let Some(oldest) = queue.pop_front() else {
                break;
            };
            bytes -= oldest.len();
            self.counters.queue_drops.up();
        }
        queue.push_back(payload);
        link.bytes.set(bytes);
        link.wake.notify_one();
    }

    /// The members that there are links to.
    pub fn names(&self) -> impl Iterator<Item = &MemberName> {
        self.links.keys()
    }

    /// A member has gone for good.
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
    fn next(&self) -> Option<Vec<u8>> {
        let next = self.queue.borrow_mut().pop_front()?;
        self.bytes.set(self.bytes.get() - next.len());
        Some(next)
    }

    fn is_empty(&self) -> bool {
        self.queue.borrow().is_empty()
    }
}

async fn run(link: Rc<Link>, terms: Rc<Terms>, counters: Rc<FleetCounters>) {
    let mut failures = 0u32;
    let mut draws = 0u64;
    loop {
        while link.is_empty() {
            link.wake.notified().await;
        }
        let failed = match connect(&link).await {
            Ok((stream, session)) => {
                counters.links_opened.up();
                failures = 0;
                let sealer = StreamSealer::new(
                    terms.me.clone(),
                    link.to.clone(),
                    terms.keys.clone(),
                    &terms.bounds,
                    session,
                );
                carry(&link, stream, sealer, &counters).await
            }
            Err(error) => Err(error),
        };
        let Err(error) = failed else { continue };
        log::debug!(
            "fleet: connection to {} at {}: {error}",
            link.to,
            link.address.get()
        );
        counters.links_lost.up();
        let wait = FIRST_WAIT
            .saturating_mul(1 << failures.min(8))
            .min(LONGEST_WAIT);
        failures += 1;
        draws += 1;
        // From half of it to all of it, so that a fleet does not come back in step.
        let spread = xxh3_64_with_seed(&draws.to_le_bytes(), terms.seed) % 500;
        tokio::time::sleep(wait * (500 + spread as u32) / 1000).await;
    }
}

async fn connect(link: &Link) -> io::Result<(RetryingStream, Session)> {
    let stream = within(CONNECT, TcpStream::connect(link.address.get())).await?;
    stream.set_nodelay(true)?;
    let mut stream = RetryingStream(stream);
    let mut session = [0; 16];
    within(CONNECT, stream.read_exact(&mut session)).await?;
    Ok((stream, Session(session)))
}

/// Carries what comes until there is nothing for long. The receiver says nothing: whatever can be read is its end.
async fn carry(
    link: &Link,
    stream: RetryingStream,
    mut sealer: StreamSealer,
    counters: &FleetCounters,
) -> io::Result<()> {
    let (mut from, mut to) = tokio::io::split(stream);
    let mut scrap = [0];
    loop {
        let (mut bytes, mut frames) = (Vec::new(), 0);
        while bytes.len() < TOGETHER {
            let Some(payload) = link.next() else { break };
            match sealer.seal(MESSAGE, &payload) {
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
                written = within(STALLED, to.write_all(&bytes)) => written?,
                _ = from.read(&mut scrap) => return Err(io::ErrorKind::ConnectionReset.into()),
            }
            counters.frames_out.add(frames);
            counters.bytes_out.add(bytes.len());
            continue;
        }
        tokio::select! {
            () = link.wake.notified() => {}
            _ = from.read(&mut scrap) => return Err(io::ErrorKind::ConnectionReset.into()),
            () = tokio::time::sleep(IDLE) => return Ok(()),
        }
    }
}
