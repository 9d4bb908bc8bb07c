//! Incoming connections of other members and of operators: accepts them, authenticates the sender by its first frame,
//! and reads their frames in order.

use super::admin::{self, Reply, Request, RequestEnvelope};
use super::history::History;
use super::refusals::Refusals;
use super::seal::{
    ConnectionNonce, FrameError, FrameLimits, Inbound, Keys, Opener, StreamSealer, frame_length,
    length_prefix,
};
use super::{ADMIN_FRAME, MESSAGE_FRAME, random_bytes, with_timeout};
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

/// Time within which the first valid frame has to arrive on a connection.
const AUTHENTICATION_TIMEOUT: Duration = Duration::from_secs(2);
/// Time within which each further frame has to arrive completely, measured from the end of the previous one. Longer
/// than senders keep idle connections open.
const FRAME_TIMEOUT: Duration = Duration::from_secs(60);
/// Maximum number of connections without a valid frame; a new one closes the oldest of them.
const MAX_UNAUTHENTICATED: usize = 8;
/// Delay before a frame that exceeds its sender's rate is tried again.
const RATE_LIMIT_DELAY: Duration = Duration::from_millis(10);

/// Input of the driver from peer connections.
pub enum Incoming {
    /// A message with its authenticated sender.
    Message(MemberName, Message),
    /// An operator's request, and where to send the reply.
    AdminRequest(Request, oneshot::Sender<Reply>),
}

/// State that all incoming connections share.
pub struct Reception {
    /// This member, with its current incarnation.
    pub me: RefCell<MemberInstance>,
    /// Keys that members and operators share.
    pub keys: Keys,
    /// Limits of the frames' sizes and rates.
    pub limits: FrameLimits,
    /// Checks and opens members' frames, those in datagrams included.
    pub opener: RefCell<Opener>,
    /// Counts refused frames and limits their log lines.
    pub refusals: RefCell<Refusals>,
    /// Counters of the fleet's traffic.
    pub counters: Rc<FleetCounters>,
    /// Clock that limits the senders' rates.
    pub clock: Clock,
    /// Queue of accepted messages and operators' requests, read by the driver.
    pub inbox: mpsc::Sender<Incoming>,
    /// Maximum number of authenticated connections.
    pub max_authenticated: usize,
    /// Authenticated connections, one per member: connection id and task.
    pub authenticated: RefCell<BTreeMap<MemberName, (u64, AbortHandle)>>,
    /// Connections without a valid frame so far, by connection id, the oldest first.
    pub unauthenticated: RefCell<BTreeMap<u64, AbortHandle>>,
}

impl Reception {
    /// Counts a refused frame and reports it in the log.
    pub fn report_frame_error(&self, from: IpAddr, reason: FrameError) {
        let history = History(self.me.borrow().clone());
        self.refusals.borrow_mut().frame_refused(
            self.clock.now(),
            from,
            reason,
            &self.counters,
            &history,
        );
    }

    /// Counts a valid frame whose payload can't be decoded and reports it in the log.
    pub fn report_unreadable_payload(&self, from: &MemberName) {
        let history = History(self.me.borrow().clone());
        self.refusals.borrow_mut().payload_unreadable(
            self.clock.now(),
            from.as_str(),
            &self.counters,
            &history,
        );
    }

    /// Accepts connections until the returned future is dropped.
    pub async fn accept(self: Rc<Self>, listener: TcpListener) {
        let next_id = Cell::new(0u64);
        loop {
            let (stream, from) = match listener.accept().await {
                Ok(accepted) => accepted,
                Err(error) => {
                    log::warn!("fleet: accepting a peer connection failed: {error}; trying again");
                    if let Some(pause) = accept_retry_delay(&error) {
                        tokio::time::sleep(pause).await;
                    }
                    continue;
                }
            };
            self.counters.peers_accepted.up();
            let connection_id = next_id.replace(next_id.get() + 1);
            let mut unauthenticated = self.unauthenticated.borrow_mut();
            while unauthenticated.len() >= MAX_UNAUTHENTICATED {
                if let Some((_, oldest)) = unauthenticated.pop_first() {
                    oldest.abort();
                    self.counters.peers_unproven.up();
                }
            }
            let reception = self.clone();
            let task = tokio::task::spawn_local(async move {
                let registration =
                    Registration(reception.clone(), connection_id, RefCell::default());
                let ended = reception.serve(stream, from.ip(), &registration).await;
                if let Err(error) = ended {
                    log::debug!("fleet: closed the connection from {from}: {error}");
                }
            });
            unauthenticated.insert(connection_id, task.abort_handle());
        }
    }

    async fn serve(
        &self,
        stream: TcpStream,
        from: IpAddr,
        registration: &Registration,
    ) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let mut stream = RetryingStream(stream);
        let nonce = ConnectionNonce(random_bytes()?);
        stream.write_all(&nonce.0).await?;
        let mut inbound = Inbound::new(nonce);
        let mut timeout = AUTHENTICATION_TIMEOUT;
        loop {
            let frame = with_timeout(timeout, self.read_frame(&mut stream, from)).await;
            let frame = frame.inspect_err(|_| {
                if inbound.from().is_none() {
                    self.counters.peers_unproven.up();
                }
            })?;
            // The frame's kind is covered by the MAC; before the check it only selects the opener.
            if inbound.from().is_none() && frame.get(2) == Some(&ADMIN_FRAME) {
                return self
                    .answer_operator(&mut stream, from, inbound, &frame)
                    .await;
            }
            let (sender, message) = loop {
                let now = self.clock.now();
                let opened =
                    match self
                        .opener
                        .borrow_mut()
                        .open_stream_frame(now, &mut inbound, &frame)
                    {
                        Ok(opened) => {
                            Ok((opened.from, Message::decode(opened.payload), opened.kind))
                        }
                        Err(reason) => Err(reason),
                    };
                match opened {
                    Ok((sender, message, MESSAGE_FRAME)) => break (sender, message),
                    Ok((sender, ..)) => break (sender, None),
                    Err(reason) => {
                        self.report_frame_error(from, reason);
                        if reason != FrameError::Rate {
                            return Err(io::Error::other(reason));
                        }
                    }
                }
                tokio::time::sleep(RATE_LIMIT_DELAY).await;
            };
            self.counters.frames_in.up();
            if timeout == AUTHENTICATION_TIMEOUT {
                timeout = FRAME_TIMEOUT;
                if !registration.mark_authenticated(&sender.name) {
                    self.report_frame_error(from, FrameError::TooManySenders);
                    return Err(io::Error::other(FrameError::TooManySenders));
                }
            }
            match message {
                Some(message) => {
                    let incoming = Incoming::Message(sender.name, message);
                    self.inbox.send(incoming).await.map_err(io::Error::other)?;
                }
                None => self.report_unreadable_payload(&sender.name),
            }
        }
    }

    async fn read_frame(&self, stream: &mut RetryingStream, from: IpAddr) -> io::Result<Vec<u8>> {
        let mut prefix = [0; 4];
        stream.read_exact(&mut prefix).await?;
        let length = frame_length(prefix, &self.limits).map_err(|reason| {
            self.report_frame_error(from, reason);
            io::Error::other(reason)
        })?;
        // Allocates as bytes arrive, not by the claimed length, which is not authenticated.
        let mut frame = Vec::new();
        let read = stream.take(length as u64).read_to_end(&mut frame).await?;
        if read < length {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        Ok(frame)
    }

    /// Answers one request of an operator. Uses an opener of its own, because an operator is not a member and must not
    /// take a place in the table of senders.
    async fn answer_operator(
        &self,
        stream: &mut RetryingStream,
        from: IpAddr,
        mut inbound: Inbound,
        frame: &[u8],
    ) -> io::Result<()> {
        let me = self.me.borrow().clone();
        let mut opener = Opener::new(me.name.clone(), self.keys.clone(), self.limits.clone());
        let opened = opener
            .open_stream_frame(self.clock.now(), &mut inbound, frame)
            .map_err(|reason| {
                self.report_frame_error(from, reason);
                io::Error::other(reason)
            })?;
        let request = postcard::from_bytes::<RequestEnvelope>(opened.payload).ok();
        let Some(RequestEnvelope { nonce, request }) = request else {
            self.report_unreadable_payload(&opened.from.name);
            return Err(io::Error::other(
                "the operator's request can't be decoded; is whinhaven of another version?",
            ));
        };
        let (reply_sender, reply_receiver) = oneshot::channel();
        self.inbox
            .send(Incoming::AdminRequest(request, reply_sender))
            .await
            .map_err(io::Error::other)?;
        let reply = with_timeout(AUTHENTICATION_TIMEOUT, async {
            reply_receiver.await.map_err(io::Error::other)
        })
        .await?;
        let mut sealer = StreamSealer::new(
            me,
            opened.from.name,
            self.keys.clone(),
            &self.limits,
            ConnectionNonce(nonce),
        );
        let payload = admin::encode(&reply);
        let reply = sealer
            .seal(ADMIN_FRAME, &payload)
            .map_err(io::Error::other)?;
        stream.write_all(&length_prefix(&reply)).await?;
        stream.write_all(&reply).await?;
        self.counters.admin_requests.up();
        Ok(())
    }
}

/// Registration of a connection, by its id, among the unauthenticated and later among the authenticated connections.
/// Dropping it removes the registration.
struct Registration(Rc<Reception>, u64, RefCell<Option<MemberName>>);

impl Registration {
    /// Moves the connection to the authenticated ones and closes an older connection of the same member. Returns
    /// `false` if there is no room, or if the connection has been closed meanwhile.
    fn mark_authenticated(&self, name: &MemberName) -> bool {
        let Registration(reception, connection_id, member) = self;
        let full = reception.authenticated.borrow().len() >= reception.max_authenticated;
        if full && !reception.authenticated.borrow().contains_key(name) {
            return false;
        }
        let Some(task) = reception.unauthenticated.borrow_mut().remove(connection_id) else {
            return false;
        };
        member.replace(Some(name.clone()));
        let previous = reception
            .authenticated
            .borrow_mut()
            .insert(name.clone(), (*connection_id, task));
        if let Some((_, previous)) = previous {
            previous.abort();
        }
        true
    }
}

impl Drop for Registration {
    fn drop(&mut self) {
        let Registration(reception, connection_id, member) = self;
        reception.unauthenticated.borrow_mut().remove(connection_id);
        if let Some(name) = member.take() {
            let mut authenticated = reception.authenticated.borrow_mut();
            if authenticated
                .get(&name)
                .is_some_and(|(id, _)| id == connection_id)
            {
                authenticated.remove(&name);
            }
        }
    }
}
