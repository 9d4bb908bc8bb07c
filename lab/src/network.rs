//! The network between processes, with faults: a relay with one listening address for each pair and direction.
//!
//! A link `a` to `b` is a UDP socket and a TCP listener on one address; what comes there goes on to `b`. Each
//! direction of each pair has [`Faults`] of its own: datagrams and bytes from `a` to `b` follow those of `a` to `b`
//! whoever opened the connection, so that a link can be cut one way. What the faults do is drawn from one seed.
//!
//! A cut is silent: datagrams are lost, bytes wait (as TCP would send them again) and go on after it heals. A
//! connection to a process that does not run comes up at the relay and is then reset; without the relay it would have
//! been refused. What was written to a connection that its opener gave up before it could come up goes nowhere.

use crate::history::History;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde_json::json;
use std::collections::{BTreeMap, VecDeque};
use std::hash::{DefaultHasher, Hash, Hasher};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream, UdpSocket};
use tokio::runtime::Runtime;
use tokio::sync::{mpsc, watch};
use tokio::task::JoinHandle;
use tokio::time::Instant;

/// The largest datagram.
const MOST_DATAGRAM: usize = 65_535;
/// Pieces of a connection that are under way at once.
const PIECES: usize = 64;
/// Datagrams that a held link keeps; those beyond are lost.
const MOST_HELD: usize = 4096;
/// Bytes that are read of a connection that is not up yet.
const MOST_EARLY: usize = 1024 * 1024;
/// Datagrams that are kept to be sent again.
const MOST_EARLIER: usize = 64;
/// What the loss of a segment costs a TCP connection: the least time before it is sent again.
const SENT_AGAIN: Duration = Duration::from_millis(200);

/// What one direction of a link does to what it carries.
#[derive(Clone, Debug, PartialEq)]
pub struct Faults {
    /// Nothing gets through.
    pub cut: bool,
    /// Nothing gets through yet; all comes at once when this ends.
    pub held: bool,
    /// Part of the datagrams that are lost; that part of a connection's pieces comes 200 ms late.
    pub loss: f64,
    /// Part of the datagrams that come twice.
    pub duplicate: f64,
    /// Part of the datagrams that later ones overtake.
    pub reorder: f64,
    /// Part of the datagrams in which one bit is flipped.
    pub garble: f64,
    /// Part of the datagrams beside which a copy with flipped bits is sent.
    pub forge: f64,
    /// Part of the datagrams beside which an earlier one is sent again.
    pub replay: f64,
    /// How long everything is under way.
    pub delay: Duration,
    /// Up to how much longer, drawn for each datagram or piece.
    pub jitter: Duration,
    /// Bytes a second of a connection; 0 for no limit.
    pub drip: u64,
}

impl Default for Faults {
    fn default() -> Self {
        Faults {
            cut: false,
            held: false,
            loss: 0.0,
            duplicate: 0.0,
            reorder: 0.0,
            garble: 0.0,
            forge: 0.0,
            replay: 0.0,
            delay: Duration::ZERO,
            jitter: Duration::ZERO,
            drip: 0,
        }
    }
}

/// Bytes and datagrams that a direction has carried.
#[derive(Debug, Default)]
pub struct Carried {
    /// Datagrams that came to the relay.
    pub datagrams: AtomicU64,
    /// Their bytes.
    pub datagram_bytes: AtomicU64,
    /// Datagrams that were lost here.
    pub lost: AtomicU64,
    /// Connections that came up.
    pub connections: AtomicU64,
    /// Bytes of connections.
    pub connection_bytes: AtomicU64,
}

/// One direction between two names.
struct Direction {
    faults: watch::Sender<Faults>,
    random: Mutex<ChaCha8Rng>,
    carried: Carried,
}

impl Direction {
    fn draw(&self) -> f64 {
        self.random
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .random()
    }

    /// Flips one bit.
    fn flip(&self, datagram: &mut [u8]) {
        let bit = (self.draw() * (datagram.len() * 8) as f64) as usize;
        if let Some(byte) = datagram.get_mut(bit / 8) {
            *byte ^= 1 << (bit % 8);
        }
    }

    /// How long something is under way now.
    fn way(&self, faults: &Faults) -> Duration {
        if faults.jitter.is_zero() {
            faults.delay
        } else {
            faults.delay + faults.jitter.mul_f64(self.draw())
        }
    }
}

type Directions = BTreeMap<(String, String), Arc<Direction>>;

/// The network of a lab. Its links end with it.
pub struct Network {
    runtime: Option<Runtime>,
    seed: u64,
    history: History,
    directions: Mutex<Directions>,
    tasks: Mutex<Vec<JoinHandle<()>>>,
}

/// Two names, or `*` for all.
fn matches(pattern: &str, name: &str) -> bool {
    pattern == "*" || pattern == name
}

impl Network {
    /// A network without links; what its faults do follows from the seed.
    ///
    /// # Errors
    /// The system gives no threads.
    pub fn new(seed: u64, history: History) -> std::io::Result<Network> {
        let mut builder = tokio::runtime::Builder::new_multi_thread();
        let runtime = builder
            .worker_threads(2)
            .thread_name("network")
            .enable_all()
            .build()?;
        Ok(Network {
            runtime: Some(runtime),
            seed,
            history,
            directions: Mutex::default(),
            tasks: Mutex::default(),
        })
    }

    fn directions(&self) -> MutexGuard<'_, Directions> {
        self.directions
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    fn direction(&self, from: &str, to: &str) -> Arc<Direction> {
        let key = (from.to_owned(), to.to_owned());
        let mut hasher = DefaultHasher::new();
        (self.seed, &key).hash(&mut hasher);
        let made = || {
            Arc::new(Direction {
                faults: watch::Sender::new(Faults::default()),
                random: Mutex::new(ChaCha8Rng::seed_from_u64(hasher.finish())),
                carried: Carried::default(),
            })
        };
        self.directions().entry(key).or_insert_with(made).clone()
    }

    /// Opens the link `from` to `to`: what reaches `listen` by UDP or TCP goes on to `dest`. Gives the address, for
    /// callers that left the port to the system.
    ///
    /// # Errors
    /// The address is taken.
    pub fn link(
        &self,
        from: &str,
        to: &str,
        listen: SocketAddr,
        dest: SocketAddr,
    ) -> std::io::Result<SocketAddr> {
        let Some(runtime) = &self.runtime else {
            return Err(std::io::ErrorKind::NotConnected.into());
        };
        let (there, back) = (self.direction(from, to), self.direction(to, from));
        let (tcp, udp) = runtime.block_on(async {
            // With a port of the system's choice the other protocol may have it taken: then another one is tried.
            let mut last = std::io::ErrorKind::AddrInUse.into();
            for _ in 0..16 {
                let tcp = TcpListener::bind(listen).await?;
                match UdpSocket::bind(tcp.local_addr()?).await {
                    Ok(udp) => return Ok((tcp, udp)),
                    Err(error) => last = error,
                }
            }
            Err(last)
        })?;
        let address = tcp.local_addr()?;
        let datagrams = runtime.spawn(datagrams(udp, dest, there.clone()));
        let connections = runtime.spawn(connections(tcp, dest, there, back));
        let mut tasks = self.tasks.lock().unwrap_or_else(PoisonError::into_inner);
        tasks.extend([datagrams, connections]);
        Ok(address)
    }

    /// Changes the faults of all directions from `from` to `to`; either may be `*`. A direction need not be open yet.
    pub fn set(&self, from: &str, to: &str, change: impl Fn(&mut Faults)) {
        if from != "*" && to != "*" {
            self.direction(from, to);
        }
        for ((f, t), direction) in self.directions().iter() {
            if matches(from, f) && matches(to, t) {
                direction.faults.send_modify(&change);
            }
        }
    }

    /// The same both ways.
    pub fn set_both(&self, a: &str, b: &str, change: impl Fn(&mut Faults)) {
        self.set(a, b, &change);
        self.set(b, a, &change);
    }

    /// Cuts everything from `from` to `to`.
    pub fn cut_one_way(&self, from: &str, to: &str) {
        self.set(from, to, |f| f.cut = true);
        self.history.note(
            "lab",
            "fault.cut",
            json!({ "from": from, "to": to, "ways": 1 }),
        );
    }

    /// Cuts everything between `a` and `b`.
    pub fn cut(&self, a: &str, b: &str) {
        self.set_both(a, b, |f| f.cut = true);
        self.history
            .note("lab", "fault.cut", json!({ "from": a, "to": b, "ways": 2 }));
    }

    /// Ends all faults of all links.
    pub fn heal(&self) {
        self.set("*", "*", |f| *f = Faults::default());
        self.history.note("lab", "fault.heal", json!({}));
    }

    /// What the direction `from` to `to` has carried: datagrams, their bytes, lost ones, connections, their bytes.
    pub fn carried(&self, from: &str, to: &str) -> [u64; 5] {
        let mut sum = [0; 5];
        for ((f, t), direction) in self.directions().iter() {
            if matches(from, f) && matches(to, t) {
                let c = &direction.carried;
                let all = [
                    &c.datagrams,
                    &c.datagram_bytes,
                    &c.lost,
                    &c.connections,
                    &c.connection_bytes,
                ];
                sum.iter_mut()
                    .zip(all)
                    .for_each(|(s, n)| *s += n.load(Ordering::Relaxed));
            }
        }
        sum
    }
}

impl Drop for Network {
    fn drop(&mut self) {
        if let Some(runtime) = self.runtime.take() {
            runtime.shutdown_background();
        }
    }
}

/// Carries datagrams until the task ends.
async fn datagrams(udp: UdpSocket, dest: SocketAddr, direction: Arc<Direction>) {
    let Ok(out) = UdpSocket::bind((dest.ip(), 0)).await else {
        return;
    };
    let (udp, out) = (Arc::new(udp), Arc::new(out));
    let mut faults = direction.faults.subscribe();
    let mut held: Vec<Vec<u8>> = Vec::new();
    let mut earlier: VecDeque<Vec<u8>> = VecDeque::new();
    let mut buffer = vec![0; MOST_DATAGRAM];
    let up = |n: &AtomicU64, by: u64| n.fetch_add(by, Ordering::Relaxed);
    loop {
        let length = tokio::select! {
            changed = faults.changed() => {
                if changed.is_err() {
                    return;
                }
                let now = faults.borrow_and_update().clone();
                if !now.held {
                    for datagram in held.drain(..).filter(|_| !now.cut) {
                        let _ = out.send_to(&datagram, dest).await;
                    }
                }
                continue;
            }
            came = udp.recv_from(&mut buffer) => match came {
                Ok((length, _)) => length,
                Err(_) => continue,
            },
        };
        let now = direction.faults.borrow().clone();
        let carried = &direction.carried;
        up(&carried.datagrams, 1);
        up(&carried.datagram_bytes, length as u64);
        if now.cut || direction.draw() < now.loss || held.len() >= MOST_HELD {
            up(&carried.lost, 1);
            continue;
        }
        let mut datagram = buffer[..length].to_vec();
        if now.garble > 0.0 && direction.draw() < now.garble {
            direction.flip(&mut datagram);
        }
        if now.forge > 0.0 && direction.draw() < now.forge {
            let mut forged = datagram.clone();
            direction.flip(&mut forged);
            let _ = out.send_to(&forged, dest).await;
        }
        if now.replay > 0.0 {
            if direction.draw() < now.replay && !earlier.is_empty() {
                let which = (direction.draw() * earlier.len() as f64) as usize;
                let _ = out
                    .send_to(&earlier[which.min(earlier.len() - 1)], dest)
                    .await;
            }
            earlier.push_back(datagram.clone());
            if earlier.len() > MOST_EARLIER {
                earlier.pop_front();
            }
        }
        if now.held {
            held.push(datagram);
            continue;
        }
        let copies = 1 + u32::from(now.duplicate > 0.0 && direction.draw() < now.duplicate);
        for copy in 0..copies {
            let mut way = direction.way(&now);
            if copy > 0 || now.reorder > 0.0 && direction.draw() < now.reorder {
                // Long enough for what comes within the next moments to overtake it.
                way +=
                    Duration::from_millis(5) + Duration::from_millis(45).mul_f64(direction.draw());
            }
            if way.is_zero() {
                let _ = out.send_to(&datagram, dest).await;
                continue;
            }
            let (out, datagram) = (out.clone(), datagram.clone());
            tokio::spawn(async move {
                tokio::time::sleep(way).await;
                let _ = out.send_to(&datagram, dest).await;
            });
        }
    }
}

/// Carries connections until the task ends.
async fn connections(
    tcp: TcpListener,
    dest: SocketAddr,
    there: Arc<Direction>,
    back: Arc<Direction>,
) {
    loop {
        let Ok((client, _)) = tcp.accept().await else {
            continue;
        };
        let (there, back) = (there.clone(), back.clone());
        tokio::spawn(async move {
            let _ = client.set_nodelay(true);
            // While either way is cut no handshake comes to its end.
            let mut early = Vec::new();
            let up = async {
                open(&there).await;
                open(&back).await;
            };
            tokio::select! {
                biased;
                () = up => {}
                // It never came up, so that nothing of it arrives.
                () = given_up(&client, &mut early) => return,
            }
            // Dropped with its bytes unread it is reset.
            let Ok(server) = TcpStream::connect(dest).await else {
                return;
            };
            let _ = server.set_nodelay(true);
            there.carried.connections.fetch_add(1, Ordering::Relaxed);
            let ((from_client, to_client), (from_server, to_server)) =
                (client.into_split(), server.into_split());
            // When one way breaks, all of the connection does; when one way merely ends, the other runs on.
            tokio::select! {
                Err(()) = carry(early, from_client, to_server, there) => {}
                Err(()) = carry(Vec::new(), from_server, to_client, back) => {}
                else => {}
            }
        });
    }
}

/// Waits until a direction is neither cut nor held.
async fn open(direction: &Direction) {
    let _ = direction
        .faults
        .subscribe()
        .wait_for(|f| !f.cut && !f.held)
        .await;
}

/// Keeps what is written to a connection that is not up yet, and returns when its opener closes it.
async fn given_up(client: &TcpStream, early: &mut Vec<u8>) {
    while early.len() < MOST_EARLY && client.readable().await.is_ok() {
        match client.try_read_buf(early) {
            Ok(0) => return,
            Ok(_) => {}
            Err(error) if error.kind() == std::io::ErrorKind::WouldBlock => {}
            Err(_) => return,
        }
    }
    std::future::pending::<()>().await;
}

/// What a way of a connection carries.
enum Piece {
    Bytes(Vec<u8>),
    /// The sender ended its way.
    End,
    /// The connection broke at the sender.
    Broken,
}

/// Carries one way of a connection to its end, `early` before the rest; an error where it broke. That news too takes its way behind the bytes,
/// and waits where the way is cut.
async fn carry(
    early: Vec<u8>,
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    direction: Arc<Direction>,
) -> Result<(), ()> {
    let (pieces, mut arriving) = mpsc::channel::<(Instant, Piece)>(PIECES);
    let reading = async {
        let mut buffer = vec![0; 16 * 1024];
        if !early.is_empty()
            && pieces
                .send((Instant::now(), Piece::Bytes(early)))
                .await
                .is_err()
        {
            return Ok(());
        }
        loop {
            let piece = match from.read(&mut buffer).await {
                Ok(0) => Piece::End,
                Ok(length) => Piece::Bytes(buffer[..length].to_vec()),
                Err(_) => Piece::Broken,
            };
            let faults = direction.faults.borrow().clone();
            let mut way = direction.way(&faults);
            if faults.loss > 0.0 && direction.draw() < faults.loss {
                way += SENT_AGAIN;
            }
            let last = !matches!(piece, Piece::Bytes(_));
            if pieces.send((Instant::now() + way, piece)).await.is_err() || last {
                return Ok(());
            }
        }
    };
    let writing = async {
        while let Some((at, piece)) = arriving.recv().await {
            tokio::time::sleep_until(at).await;
            open(&direction).await;
            let bytes = match piece {
                Piece::Bytes(bytes) => bytes,
                Piece::End => break,
                Piece::Broken => return Err(()),
            };
            let mut rest = bytes.as_slice();
            while !rest.is_empty() {
                let drip = direction.faults.borrow().drip;
                let now = if drip == 0 {
                    rest.len()
                } else {
                    rest.len().min((drip / 50).max(1) as usize)
                };
                let (part, after) = rest.split_at(now);
                rest = after;
                // Where the receiver is gone, its own way back tells so, by that way's faults.
                if to.write_all(part).await.is_err() {
                    return Ok(());
                }
                direction
                    .carried
                    .connection_bytes
                    .fetch_add(now as u64, Ordering::Relaxed);
                if drip > 0 {
                    tokio::time::sleep(Duration::from_secs_f64(now as f64 / drip as f64)).await;
                    open(&direction).await;
                }
            }
        }
        let _ = to.shutdown().await;
        Ok(())
    };
    tokio::try_join!(reading, writing).map(|_| ())
}
