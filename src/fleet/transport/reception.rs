//! Connections from other members and from administrators: accepted, proven, and read in order.

use super::admin::{self, Asked, Reply, Request};
use super::history::History;
use super::refusals::Refusals;
use super::seal::{
    Bounds, Inbound, Keys, Opener, Refused, Session, StreamSealer, frame_length, length_prefix,
};
use super::{ADMIN, MESSAGE, draw, within};
use crate::counters::FleetCounters;
use crate::dispatch::Clock;
use crate::fleet::message::Message;
use crate::fleet::{MemberInstance, MemberName};
use crate::net::fault::accept_retry_delay;
use crate::net::stream::RetryingStream;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::io;
use std::net::IpAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, oneshot};
use tokio::task::AbortHandle;

/// A connection has this long to prove who it is.
const PROVE: Duration = Duration::from_secs(2);
/// A frame has this long to come whole from its first byte on, and its connection as long to go on at all: senders
/// close what is idle sooner.
const SILENCE: Duration = Duration::from_secs(60);
/// Connections that have not proven anything; the oldest goes when there are more.
const MOST_UNPROVEN: usize = 8;
/// How long a sender that is too fast is made to wait.
const TOO_FAST: Duration = Duration::from_millis(10);

/// What comes in.
pub enum Came {
    /// A message whose sender is proven.
    Message(MemberName, Message),
    /// An administrator asks.
    Asked(Request, oneshot::Sender<Reply>),
}

/// What all connections share.
pub struct Reception {
    /// This member, in its present life.
    pub me: RefCell<MemberInstance>,
    /// The shared keys.
    pub keys: Keys,
    /// Of frames.
    pub bounds: Bounds,
    /// Opens frames, datagrams too.
    pub opener: RefCell<Opener>,
    /// What was refused.
    pub refusals: RefCell<Refusals>,
    /// Counters.
    pub counters: Rc<FleetCounters>,
    /// The clock.
    pub clock: Clock,
    /// Where what comes goes.
    pub inbox: mpsc::Sender<Came>,
    /// Proven connections that there may be.
    pub most_proven: usize,
    /// Proven connections, one for each member.
    pub proven: RefCell<BTreeMap<MemberName, (u64, AbortHandle)>>,
    /// Those that have proven nothing yet, the oldest first.
    pub unproven: RefCell<BTreeMap<u64, AbortHandle>>,
}

impl Reception {
    /// Counts and tells a refusal.
    pub fn refused(&self, from: IpAddr, reason: Refused) {
        let log = History(self.me.borrow().clone());
        self.refusals
            .borrow_mut()
            .refused(self.clock.now(), from, reason, &self.counters, &log);
    }

    /// Counts and tells a payload that can't be read.
    pub fn unreadable(&self, from: &MemberName) {
        let log = History(self.me.borrow().clone());
        self.refusals
            .borrow_mut()
            .payload(self.clock.now(), from.as_str(), &self.counters, &log);
    }

    /// Accepts for as long as it is polled.
    pub async fn accept(self: Rc<Self>, listener: TcpListener) {
        let next = Cell::new(0u64);
        loop {
            let (stream, from) = match listener.accept().await {
                Ok(accepted) => accepted,
                Err(error) => {
                    log::warn!("fleet: accept: {error}");
                    if let Some(pause) = accept_retry_delay(&error) {
                        tokio::time::sleep(pause).await;
                    }
                    continue;
                }
            };
            self.counters.peers_accepted.up();
            let number = next.replace(next.get() + 1);
            let mut unproven = self.unproven.borrow_mut();
            while unproven.len() >= MOST_UNPROVEN {
                if let Some((_, oldest)) = unproven.pop_first() {
                    oldest.abort();
                    self.counters.peers_unproven.up();
                }
            }
            let reception = self.clone();
            let task = tokio::task::spawn_local(async move {
                let place = Place(reception.clone(), number, RefCell::default());
                let ended = reception.serve(stream, from.ip(), &place).await;
                if let Err(error) = ended {
                    log::debug!("fleet: connection from {from}: {error}");
                }
            });
            unproven.insert(number, task.abort_handle());
        }
    }

    async fn serve(&self, stream: TcpStream, from: IpAddr, place: &Place) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let mut stream = RetryingStream(stream);
        let session = Session(draw()?);
        stream.write_all(&session.0).await?;
        let mut inbound = Inbound::new(session);
        let mut patience = PROVE;
        loop {
            let frame = within(patience, self.frame(&mut stream, from)).await;
            let frame = frame.inspect_err(|_| {
                if inbound.from().is_none() {
                    self.counters.peers_unproven.up();
                }
            })?;
            // The kind is vouched for like all of the frame; here it only says by which opener.
            if inbound.from().is_none() && frame.get(2) == Some(&ADMIN) {
                return self.administrator(&mut stream, from, inbound, &frame).await;
            }
            let (sender, message) = loop {
                let now = self.clock.now();
                let opened = match self.opener.borrow_mut().stream(now, &mut inbound, &frame) {
                    Ok(opened) => Ok((opened.from, Message::decode(opened.payload), opened.kind)),
                    Err(reason) => Err(reason),
                };
                match opened {
                    Ok((sender, message, MESSAGE)) => break (sender, message),
                    Ok((sender, ..)) => break (sender, None),
                    Err(reason) => {
                        self.refused(from, reason);
                        if reason != Refused::Rate {
                            return Err(io::Error::other(reason));
                        }
                    }
                }
                tokio::time::sleep(TOO_FAST).await;
            };
            self.counters.frames_in.up();
            if patience == PROVE {
                patience = SILENCE;
                if !place.proven(&sender.name) {
                    self.refused(from, Refused::TooManySenders);
                    return Err(io::Error::other(Refused::TooManySenders));
                }
            }
            match message {
                Some(message) => {
                    let came = Came::Message(sender.name, message);
                    self.inbox.send(came).await.map_err(io::Error::other)?;
                }
                None => self.unreadable(&sender.name),
            }
        }
    }

    async fn frame(&self, stream: &mut RetryingStream, from: IpAddr) -> io::Result<Vec<u8>> {
        let mut prefix = [0; 4];
        stream.read_exact(&mut prefix).await?;
        let length = frame_length(prefix, &self.bounds).map_err(|reason| {
            self.refused(from, reason);
            io::Error::other(reason)
        })?;
        // As bytes come, not as they are claimed.
        let mut frame = Vec::new();
        let read = stream.take(length as u64).read_to_end(&mut frame).await?;
        if read < length {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        Ok(frame)
    }

    /// Answers one request. Its opener is its own: administrators are no members.
    async fn administrator(
        &self,
        stream: &mut RetryingStream,
        from: IpAddr,
        mut inbound: Inbound,
        frame: &[u8],
    ) -> io::Result<()> {
        let me = self.me.borrow().clone();
        let mut opener = Opener::new(me.name.clone(), self.keys.clone(), self.bounds.clone());
        let opened = opener
            .stream(self.clock.now(), &mut inbound, frame)
            .map_err(|reason| {
                self.refused(from, reason);
                io::Error::other(reason)
            })?;
        let asked = postcard::from_bytes::<Asked>(opened.payload).ok();
        let Some(Asked { session, request }) = asked else {
            self.unreadable(&opened.from.name);
            return Err(io::Error::other("a request that can't be read"));
        };
        let (answer, answered) = oneshot::channel();
        self.inbox
            .send(Came::Asked(request, answer))
            .await
            .map_err(io::Error::other)?;
        let reply = within(PROVE, async { answered.await.map_err(io::Error::other) }).await?;
        let mut sealer = StreamSealer::new(
            me,
            opened.from.name,
            self.keys.clone(),
            &self.bounds,
            Session(session),
        );
        let payload = admin::encode(&reply);
        let reply = sealer.seal(ADMIN, &payload).map_err(io::Error::other)?;
        stream.write_all(&length_prefix(&reply)).await?;
        stream.write_all(&reply).await?;
        self.counters.admin_requests.up();
        Ok(())
    }
}

/// A connection's place among the unproven, then among the proven.
struct Place(Rc<Reception>, u64, RefCell<Option<MemberName>>);

impl Place {
    /// A member's newest connection takes the place of the one before.
    fn proven(&self, name: &MemberName) -> bool {
        let Place(reception, number, own) = self;
        let full = reception.proven.borrow().len() >= reception.most_proven;
        if full && !reception.proven.borrow().contains_key(name) {
            return false;
        }
        let Some(task) = reception.unproven.borrow_mut().remove(number) else {
            return false;
        };
        own.replace(Some(name.clone()));
        let before = reception
            .proven
            .borrow_mut()
            .insert(name.clone(), (*number, task));
        if let Some((_, before)) = before {
            before.abort();
        }
        true
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        let Place(reception, number, own) = self;
        reception.unproven.borrow_mut().remove(number);
        if let Some(name) = own.take() {
            let mut proven = reception.proven.borrow_mut();
            if proven.get(&name).is_some_and(|(n, _)| n == number) {
                proven.remove(&name);
            }
        }
    }
}
