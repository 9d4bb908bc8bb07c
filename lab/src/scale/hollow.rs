//! A hollow member: the very machines of a conductor's fleet part, without process, sockets or disk.

use super::layout::Layout;
use crate::sim::network::{Sent, Traffic};
use crate::sim::views;
use crate::sim::world::{Machine, Outbox};
use std::net::SocketAddr;
use std::sync::Arc;
use whinhaven::fleet::membership::{self, Status};
use whinhaven::fleet::message::Message;
use whinhaven::fleet::node::{Action, Config, Event, Node, NodeStart};
use whinhaven::fleet::{Incarnation, MemberName, raft};
use whinhaven::routing::types::Micros;

/// Bytes that a message's frame adds: 21 of header, two names, the MAC, and IP with UDP or TCP below.
const FRAME: usize = views::FRAME;

/// A message with its size on the wire.
#[derive(Clone, Debug)]
pub struct Frame {
    message: Message,
    bytes: usize,
}

/// What a hollow member tells the simulation.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Note {
    /// Its view of a node changed.
    Sees(usize, Status),
    /// It gained or lost the right to act.
    MayAct(bool),
}

/// What one member sent, took and wrote since its start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Sent as datagrams.
    pub datagrams: Traffic,
    /// Sent over connections.
    pub streams: Traffic,
    /// Taken of both.
    pub taken: Traffic,
    /// Entries written to the log.
    pub entries: u64,
}

/// A member of the simulated fleet.
pub struct HollowMember {
    /// Its machines.
    pub node: Node,
    /// What it did.
    pub counts: Counts,
    names: Arc<Vec<MemberName>>,
}

impl HollowMember {
    /// The member of a node, in the life that begins now.
    pub fn new(
        layout: &Layout,
        node: usize,
        life: u64,
        settings: Config,
        names: Arc<Vec<MemberName>>,
        now: Micros,
    ) -> Self {
        let me = membership::LocalMember {
            name: names[node].clone(),
            site: layout.site(node),
            address: views::address(node),
            incarnation: Incarnation(life),
        };
        let start = NodeStart {
            local: me,
            store: 1 + node as u64 + life * names.len() as u64,
            voters: names[..layout.voters()].iter().cloned().collect(),
            restored: raft::RestoredState::default(),
            seed: node as u64 * 7_919 + life,
            relays: layout
                .relays_of(node)
                .into_iter()
                .map(|relay| names[relay].clone())
                .collect(),
        };
        HollowMember {
            node: Node::new(start, settings, now),
            counts: Counts::default(),
            names,
        }
    }

    /// Hands an event in and counts what comes of it.
    pub fn event(&mut self, now: Micros, event: Event, out: &mut Outbox<Frame, Note>) {
        let mut actions = Vec::new();
        self.node.handle(now, event, &mut actions);
        for action in actions {
            match action {
                Action::Send {
                    to,
                    message,
                    reliable,
                    ..
                } => self.send(&to, message, reliable, out),
                Action::Persist(raft::StorageWrite::Entries { entries, .. }) => {
                    self.counts.entries += entries.len() as u64;
                }
                Action::MembershipChanged(change) => {
                    out.notes.extend(
                        self.position(&change.member)
                            .map(|node| Note::Sees(node, change.to)),
                    );
                }
                Action::SessionValid(may) => out.notes.push(Note::MayAct(may)),
                _ => {}
            }
        }
    }

    fn send(
        &mut self,
        to: &MemberName,
        message: Message,
        reliable: bool,
        out: &mut Outbox<Frame, Note>,
    ) {
        let Some(to) = self.position(to) else { return };
        let bytes = message.encode().len() + FRAME;
        let traffic = if reliable {
            &mut self.counts.streams
        } else {
            &mut self.counts.datagrams
        };
        traffic.messages += 1;
        traffic.bytes += bytes as u64;
        out.sent.push(Sent {
            to,
            message: Frame { message, bytes },
            reliable,
            bytes,
        });
    }

    fn position(&self, name: &MemberName) -> Option<usize> {
        self.names.binary_search(name).ok()
    }
}

/// Whom a starting member asks first: the voters.
pub fn seeds(layout: &Layout, names: &[MemberName]) -> Vec<(MemberName, SocketAddr)> {
    (0..layout.voters())
        .map(|node| (names[node].clone(), views::address(node)))
        .collect()
}

impl Machine for HollowMember {
    type Message = Frame;
    type Note = Note;

    fn tick(&mut self, now: Micros, out: &mut Outbox<Frame, Note>) {
        self.event(now, Event::Tick, out);
    }

    fn receive(&mut self, now: Micros, from: usize, frame: Frame, out: &mut Outbox<Frame, Note>) {
        self.counts.taken.messages += 1;
        self.counts.taken.bytes += frame.bytes as u64;
        let from = self.names[from].clone();
        self.event(
            now,
            Event::Message {
                from,
                message: frame.message,
            },
            out,
        );
    }

    fn timeout(&self) -> Option<Micros> {
        self.node.timeout()
    }
}
