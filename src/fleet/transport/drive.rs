//! Drives a member: events in, actions out in their order, one life after the other.
//!
//! What the view sends goes out at once. All else waits in one queue, so that whatever follows a write happens after
//! the write is on the disk.

use super::disk::{Disk, DiskError, Found};
use super::history::{self, History};
use super::links::{Links, Terms};
use super::reception::{Came, Reception};
use super::seal::{Bucket, Refused, Sealer, most_frame};
use super::{Fleet, MESSAGE, admin, bounds, store_settings};
use crate::fleet::config::FleetConfig;
use crate::fleet::lease::{LeaseChangeKind, LeaseStatus, session_lease};
use crate::fleet::message::Message;
use crate::fleet::node::{Action, Event, Node, NodeStart, ProposalError};
use crate::fleet::raft::{MAX_VOTERS, Role};
use crate::fleet::sites::epoch::SiteTable;
use crate::fleet::state::{Command, FleetState, ProposalResult, StateChange};
use crate::fleet::{Index, LeaseName, MemberInstance, MemberName, membership, policy_epoch, raft};
use crate::routing::types::Micros;
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::UdpSocket;
use tokio::sync::{mpsc, oneshot};
use tokio::task::JoinHandle;
use tokio::time::{Instant, MissedTickBehavior};
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Actions that may wait for the disk until nothing more of the group is taken in.
const MOST_WAITING: usize = 4_096;
/// A write that has not ended after so many seconds has failed.
const MOST_SECONDS: u32 = 10;
/// How often what the view has forgotten is forgotten here.
const TIDY: Duration = Duration::from_secs(60);
/// Datagrams that are looked at in a second, for each member there may be: checking a seal takes time.
const LOOKS: u32 = 1_000;

/// A life that ends sooner than this is followed by a pause from the second one on, each twice as long as the last.
const SHORT_LIFE: Micros = 10_000_000;
const FIRST_PAUSE: Duration = Duration::from_millis(100);
const LONGEST_PAUSE: Duration = Duration::from_secs(10);

/// What the program asks of its member.
pub enum Ask {
    /// Hold this lease whenever it can be had.
    Want(LeaseName),
    /// A planned stop.
    Leave(oneshot::Sender<()>),
    /// Put a command into the log.
    Propose(
        Command,
        oneshot::Sender<Result<ProposalResult, ProposalError>>,
    ),
}

/// What parts of the program are told of the fleet, in the order in which it happens. What the log did is told when it
/// is on this member's disk.
pub enum Told<'a> {
    /// A life begins: nothing that was told of the state before counts any more.
    Life(&'a MemberInstance),
    /// A belief about a member changed.
    View(&'a membership::StatusChange),
    /// The conductor gained or lost its right to act as itself.
    MayAct(bool),
    /// The log did something.
    Effect(Index, &'a StateChange),
    /// Another leader is known, or none.
    Leading(Option<&'a MemberName>),
    /// What is agreed of the sites has changed: this is it, or a later one.
    Sites(&'a SiteTable),
    /// The state was replaced by a snapshot: this is it, or a later one.
    Restored(&'a FleetState),
}

/// Drives one member for as long as the program runs.
pub struct Driver {
    /// What it was told.
    pub config: FleetConfig,
    /// What the program sees of it.
    pub fleet: Fleet,
    /// What comes over connections, and the opener of frames.
    pub reception: Rc<Reception>,
    /// For datagrams.
    pub socket: UdpSocket,
    /// Messages and administrators' requests.
    pub came: mpsc::Receiver<Came>,
    /// The program's requests.
    pub asked: mpsc::Receiver<Ask>,
    /// Of all that is drawn.
    pub seed: u64,
}

/// Why a life is over.
enum Over {
    /// The log has ended it: another one may begin, from this incarnation on.
    Ended(u64),
    /// The disk failed.
    Failed(DiskError),
    /// The program has dropped its end.
    Dropped,
}

/// The program leaves the fleet, or has dropped its end.
struct ProgramEnds;

/// A pause that doubles with each time.
fn doubled(times: u32) -> Duration {
    FIRST_PAUSE
        .saturating_mul(1 << times.min(8))
        .min(LONGEST_PAUSE)
}

/// The store, at hand or at the thread that writes.
enum Writing {
    Idle(Box<Disk>),
    Busy(JoinHandle<(Box<Disk>, Result<(), DiskError>)>),
    Gone,
}

/// One life of the member.
struct Life {
    who: MemberInstance,
    history: History,
    node: Node,
    sealer: Sealer,
    links: Links,
    writing: Writing,
    /// What is to be done once the disk has what came before it.
    waiting: VecDeque<Action>,
    left: Option<oneshot::Sender<()>>,
    leaving: bool,
    ended: bool,
    /// The program's proposals that wait for their answers.
    proposals: BTreeMap<u64, oneshot::Sender<Result<ProposalResult, ProposalError>>>,
    tickets: u64,
}

impl Driver {
    /// Runs until the program ends. Where the store fails, the member is silent until it can be opened again, for good where
    /// time alone can't mend it.
    pub async fn run(mut self, mut found: Found) {
        let mut wants = vec![];
        let mut short = 0;
        loop {
            let begun = self.now();
            let over = self.live(found, &mut wants).await;
            // Whatever comes next, this life acts no more.
            let acted = self.fleet.may_act(&self.fleet.0.life);
            self.fleet.0.rights.take();
            let history = History(self.fleet.who());
            let least = match over {
                Over::Dropped => return,
                Over::Ended(least) => {
                    short = if self.now() - begun < SHORT_LIFE {
                        short + 1
                    } else {
                        0
                    };
                    if short > 1 {
                        history.note(
                            "lives end soon after their beginning: is there another process of this name?",
                        );
                        if self
                            .pause("between two lives", doubled(short), &mut wants)
                            .await
                            .is_err()
                        {
                            return;
                        }
                    }
                    least
                }
                Over::Failed(error) => {
                    if let Some(token) = acted {
                        history.life(Some(token), false);
                        self.fleet.tell(&Told::MayAct(false));
                    }
                    history.failed(&error.to_string());
                    if !error.may_pass() {
                        return self.give_up(&error, &mut wants).await;
                    }
                    0
                }
            };
            found = match self.reopen_in_time(least, &mut wants).await {
                Some(again) => again,
                None => return,
            };
        }
    }

    /// Opens the store for another life, as soon as the folder lets it be; `None`: the program ends.
    async fn reopen_in_time(&mut self, least: u64, wants: &mut Vec<LeaseName>) -> Option<Found> {
        let mut tries = 0;
        loop {
            let error = match self.reopen(least).await {
                Ok(found) => return Some(found),
                Err(error) => error,
            };
            let history = History(self.fleet.who());
            if !error.may_pass() {
                history.failed(&error.to_string());
                self.give_up(&error, wants).await;
                return None;
            }
            history.note(&format!("the store can't be opened yet: {error}"));
            self.pause(&format!("the store failed: {error}"), doubled(tries), wants)
                .await
                .ok()?;
            tries += 1;
        }
    }

    /// Takes no part any more, until the program ends.
    async fn give_up(&mut self, error: &DiskError, wants: &mut Vec<LeaseName>) {
        self.fleet.0.stopped.set(true);
        self.silent(&format!("the store failed: {error}"), wants)
            .await;
    }

    /// Takes no part for some time.
    async fn pause(
        &mut self,
        why: &str,
        time: Duration,
        wants: &mut Vec<LeaseName>,
    ) -> Result<(), ProgramEnds> {
        match tokio::time::timeout(time, self.silent(why, wants)).await {
            Ok(()) => Err(ProgramEnds),
            Err(_) => Ok(()),
        }
    }

    async fn reopen(&self, least: u64) -> Result<Found, DiskError> {
        let (path, settings) = (self.config.store.path.clone(), store_settings(&self.config));
        let now = history::unix_us().max(least);
        let opening = tokio::task::spawn_blocking(move || Disk::open(&path, settings, now));
        opening.await.unwrap_or(Err(DiskError::Gone))
    }

    /// Answers administrators, and nobody else, until the program stops.
    async fn silent(&mut self, why: &str, wants: &mut Vec<LeaseName>) {
        loop {
            tokio::select! {
                came = self.came.recv() => match came {
                    Some(Came::Asked(_, answer)) => {
                        let _ = answer.send(admin::Reply::Refused(why.to_owned()));
                    }
                    Some(Came::Message(..)) => {}
                    None => return,
                },
                asked = self.asked.recv() => match asked {
                    Some(Ask::Want(name)) if !wants.contains(&name) => wants.push(name),
                    Some(Ask::Want(_) | Ask::Propose(..)) => {}
                    Some(Ask::Leave(_)) | None => return,
                },
            }
        }
    }

    async fn live(&mut self, found: Found, wants: &mut Vec<LeaseName>) -> Over {
        let Found {
            disk,
            store_id,
            fresh,
            restored,
            torn,
        } = found;
        let who = MemberInstance {
            name: self.config.name.clone(),
            incarnation: disk.incarnation(),
        };
        let history = History(who.clone());
        if let Some(torn) = torn {
            history.note(&format!("store: {torn}"));
        }
        history.start(self.config.site.as_str(), self.config.peer, store_id, fresh);
        self.fleet.0.who.replace(who.clone());
        self.reception.me.replace(who.clone());
        self.fleet.tell(&Told::Life(&who));
        let key = [who.incarnation.0.to_le_bytes(), store_id.to_le_bytes()].concat();
        let seed = xxh3_64_with_seed(&key, self.seed);
        let me = membership::LocalMember {
            name: who.name.clone(),
            site: self.config.site.clone(),
            address: self.config.peer,
            incarnation: who.incarnation,
        };
        let (voters, relays) = (self.config.voters.clone(), self.config.relays.clone());
        let start = NodeStart {
            local: me,
            store: store_id,
            voters,
            restored,
            seed,
            relays,
        };
        let (keys, bounds) = (self.reception.keys.clone(), bounds(&self.config));
        let terms = Terms {
            me: who.clone(),
            keys: keys.clone(),
            bounds: bounds.clone(),
            most_queue_bytes: self.config.most_queue_bytes,
            most_links: self.config.most_members,
            seed: seed ^ 1,
        };
        let mut life = Life {
            node: Node::new(start, self.config.settings.clone(), self.now()),
            sealer: Sealer::new(who.clone(), keys, &bounds),
            links: Links::new(terms, self.fleet.0.counters.clone()),
            writing: Writing::Idle(Box::new(disk)),
            waiting: VecDeque::new(),
            left: None,
            leaving: false,
            ended: false,
            proposals: BTreeMap::new(),
            tickets: 0,
            who,
            history,
        };
        let seeds = self
            .config
            .peers
            .iter()
            .map(|(name, address)| (name.clone(), *address))
            .collect();
        self.event(&mut life, Event::Join { seeds });
        for name in wants.iter() {
            self.event(&mut life, Event::AcquireLease(name.clone()));
        }
        self.drive(life, wants).await
    }

    async fn drive(&mut self, mut life: Life, wants: &mut Vec<LeaseName>) -> Over {
        let mut buffer =
            vec![0; most_frame(self.config.settings.membership.max_datagram_bytes) + 1];
        let looks = LOOKS.saturating_mul(self.config.most_members as u32);
        let mut looks = Bucket::new(self.now(), looks, looks);
        let mut seconds = tokio::time::interval(Duration::from_secs(1));
        seconds.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut tidy = tokio::time::interval(TIDY);
        tidy.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut waited = 0;
        loop {
            self.carry_out(&mut life);
            if life.ended
                && !life.leaving
                && matches!(life.writing, Writing::Idle(_))
                && life.waiting.is_empty()
            {
                let name = &life.who.name;
                let known = life
                    .node
                    .state()
                    .leases()
                    .session(name)
                    .map_or(0, |grant| grant.holder.incarnation.0);
                return Over::Ended(known.saturating_add(1));
            }
            let next = life.node.timeout().map(|at| self.fleet.0.clock.instant(at));
            let full = life.waiting.len() >= MOST_WAITING;
            let busy = matches!(life.writing, Writing::Busy(_));
            // What the clock says goes before what has come: after a pause, rights that have run out end first.
            tokio::select! {
                biased;
                written = written(&mut life.writing), if busy => {
                    waited = 0;
                    match written {
                        Ok(disk) => life.writing = Writing::Idle(disk),
                        Err(error) => return Over::Failed(error),
                    }
                }
                () = tokio::time::sleep_until(next.unwrap_or_else(Instant::now)), if next.is_some() => {
                    self.event(&mut life, Event::Tick);
                }
                _ = seconds.tick(), if busy => {
                    // Counted, not measured: a process that was stopped has not waited for its disk.
                    waited += 1;
                    if waited > MOST_SECONDS {
                        return Over::Failed(DiskError::Stalled(MOST_SECONDS));
                    }
                }
                _ = tidy.tick() => self.tidy(&mut life),
                came = async {
                    tokio::select! {
                        asked = self.asked.recv() => Next::Asked(asked),
                        came = self.came.recv(), if !full => Next::Came(came),
                        came = self.socket.recv_from(&mut buffer) => Next::Datagram(came),
                    }
                } => match came {
                    Next::Asked(None) | Next::Came(None) => return Over::Dropped,
                    Next::Asked(Some(Ask::Want(name))) => {
                        if !wants.contains(&name) {
                            wants.push(name.clone());
                        }
                        self.event(&mut life, Event::AcquireLease(name));
                    }
                    Next::Asked(Some(Ask::Propose(command, answer))) => {
                        life.tickets += 1;
                        life.proposals.insert(life.tickets, answer);
                        let ticket = life.tickets;
                        self.event(&mut life, Event::Propose { request_id: ticket, command });
                    }
                    Next::Asked(Some(Ask::Leave(left))) => {
                        life.leaving = true;
                        life.left = Some(left);
                        self.event(&mut life, Event::Leave);
                    }
                    Next::Came(Some(Came::Message(from, message))) => {
                        self.event(&mut life, Event::Message { from, message });
                    }
                    Next::Came(Some(Came::Asked(admin::Request::Policy(command), answer))) => {
                        self.ask_log(&mut life, command, answer);
                    }
                    Next::Came(Some(Came::Asked(request, answer))) => {
                        let _ = answer.send(self.answer(&mut life, request));
                    }
                    Next::Datagram(Ok((length, from))) => {
                        self.datagram(&mut life, &buffer[..length], from, &mut looks);
                    }
                    // Someone was not there to take a datagram.
                    Next::Datagram(Err(error)) => log::debug!("fleet: {error}"),
                }
            }
        }
    }

    fn now(&self) -> Micros {
        self.fleet.0.clock.now()
    }

    fn event(&self, life: &mut Life, event: Event) {
        let mut actions = Vec::new();
        let now = self.now();
        // Timers that are due go first, whatever it was that woke this member up.
        if event != Event::Tick && life.node.timeout().is_some_and(|at| at <= now) {
            life.node.handle(now, Event::Tick, &mut actions);
        }
        life.node.handle(now, event, &mut actions);
        for action in actions {
            match action {
                Action::Send {
                    to,
                    address,
                    message: message @ Message::Membership(_),
                    reliable,
                } => {
                    self.send(life, &to, address, &message, reliable);
                }
                Action::MembershipChanged(change) => {
                    self.fleet.0.counters.view_changes.up();
                    life.history.view(&change);
                    self.fleet.tell(&Told::View(&change));
                }
                other => life.waiting.push_back(other),
            }
        }
        if life.leaving
            && life.node.left()
            && let Some(left) = life.left.take()
        {
            let _ = left.send(());
        }
    }

    fn datagram(&self, life: &mut Life, frame: &[u8], from: SocketAddr, looks: &mut Bucket) {
        let now = self.now();
        if !looks.take(now) {
            return self.reception.refused(from.ip(), Refused::Rate);
        }
        let opened = match self.reception.opener.borrow_mut().datagram(now, frame) {
            Ok(opened) => Ok((
                opened.from.name,
                opened.kind,
                Message::decode(opened.payload),
            )),
            Err(reason) => Err(reason),
        };
        match opened {
            Err(reason) => self.reception.refused(from.ip(), reason),
            Ok((from, MESSAGE, Some(message @ Message::Membership(_)))) => {
                self.fleet.0.counters.datagrams_in.up();
                self.event(life, Event::Message { from, message });
            }
            Ok((from, ..)) => self.reception.unreadable(&from),
        }
    }

    fn send(
        &self,
        life: &mut Life,
        to: &MemberName,
        address: Option<SocketAddr>,
        message: &Message,
        reliable: bool,
    ) {
        let Some(address) = self.config.peers.get(to).copied().or(address) else {
            return;
        };
        let payload = message.encode();
        if reliable || payload.len() > self.config.settings.membership.max_datagram_bytes {
            return life.links.send(to, address, payload);
        }
        let sent = life.sealer.seal(to, MESSAGE, &payload).ok();
        let counters = &self.fleet.0.counters;
        match sent.and_then(|frame| self.socket.try_send_to(&frame, address).ok()) {
            Some(bytes) => {
                counters.datagrams_out.up();
                counters.bytes_out.add(bytes);
            }
            None => counters.datagrams_lost.up(),
        }
    }

    /// Carries out what waits, up to a write that is not done yet.
    fn carry_out(&self, life: &mut Life) {
        while matches!(life.writing, Writing::Idle(_)) {
            let Some(action) = life.waiting.pop_front() else {
                return;
            };
            match action {
                Action::Persist(write) => self.write(life, write),
                other => self.act(life, other),
            }
        }
    }

    /// Hands a write to the blocking thread, with those that follow it directly.
    fn write(&self, life: &mut Life, first: raft::StorageWrite) {
        let mut writes = vec![first];
        while matches!(life.waiting.front(), Some(Action::Persist(_))) {
            if let Some(Action::Persist(write)) = life.waiting.pop_front() {
                writes.push(write);
            }
        }
        if let Writing::Idle(mut disk) = std::mem::replace(&mut life.writing, Writing::Gone) {
            self.fleet.0.counters.writes.up();
            life.writing = Writing::Busy(tokio::task::spawn_blocking(move || {
                let done = disk.write(&writes);
                (disk, done)
            }));
        }
    }

    fn act(&self, life: &mut Life, action: Action) {
        let shared = &self.fleet.0;
        match action {
            Action::Send {
                to,
                address,
                message,
                reliable,
            } => self.send(life, &to, address, &message, reliable),
            Action::LeaseChanged(change) => {
                let now = self.now();
                shared.rights.borrow_mut().apply(&change);
                match (change.from, change.to) {
                    (LeaseStatus::Held, LeaseStatus::Held) => {}
                    (_, LeaseStatus::Held) => shared.counters.leases_granted.up(),
                    (LeaseStatus::Held, _) => shared.counters.leases_lost.up(),
                    _ => {}
                }
                life.history.lease(&change, now);
            }
            Action::LeaderChanged { leader, term } => {
                if leader.is_some() {
                    shared.counters.leaders.up();
                }
                life.history.leading(leader.as_ref(), term);
                self.fleet.tell(&Told::Leading(leader.as_ref()));
            }
            Action::SessionValid(gained) => {
                let table = life.node.state().leases();
                let token = table
                    .session(&life.who.name)
                    .filter(|grant| grant.holder == life.who);
                life.history.life(token.map(|grant| grant.token), gained);
                self.fleet.tell(&Told::MayAct(gained));
            }
            Action::IncarnationEnded => life.ended = true,
            Action::Effect { index, effect } => {
                if let StateChange::Lease(change) = &effect {
                    let of_life = self::session_lease(&change.holder.name)
                        .is_some_and(|name| name == change.name);
                    if of_life
                        && matches!(
                            change.kind,
                            LeaseChangeKind::Expired | LeaseChangeKind::Released
                        )
                    {
                        shared.counters.deaths.up();
                        life.history.death(&change.holder, index);
                    }
                }
                self.fleet.tell(&Told::Effect(index, &effect));
                if matches!(effect, StateChange::Sites(_)) {
                    self.fleet.tell(&Told::Sites(life.node.state().sites()));
                }
            }
            Action::Rejected(raft::Rejection::InitialVotersDiffer) => {
                life.history
                    .note("another first voter names other first voters: the group can't start");
            }
            Action::Rejected(refusal) => log::debug!("fleet: the group refused: {refusal:?}"),
            Action::ProposalCompleted {
                request_id: ticket,
                result,
            } => {
                if let Some(answer) = life.proposals.remove(&ticket) {
                    let _ = answer.send(result);
                }
            }
            Action::SnapshotRestored { .. } => self.fleet.tell(&Told::Restored(life.node.state())),
            Action::Persist(_) | Action::MembershipChanged(_) => {}
        }
    }

    /// Puts an administrator's command about the policy into the log, and answers when that has.
    fn ask_log(
        &self,
        life: &mut Life,
        command: policy_epoch::Command,
        answer: oneshot::Sender<admin::Reply>,
    ) {
        let refused = match (&self.config.policy, &command) {
            (None, _) => Some("the asked conductor has no [policy] table"),
            (_, policy_epoch::Command::Propose { base: 0, .. }) => Some("there is no epoch yet"),
            (_, policy_epoch::Command::Propose { content, .. })
                if content.len() > policy_epoch::MOST_CONTENT =>
            {
                Some("it is too long")
            }
            (_, policy_epoch::Command::Propose { .. } | policy_epoch::Command::Abort { .. }) => {
                None
            }
            // Members speak for themselves.
            _ => Some("not for an administrator"),
        };
        if let Some(why) = refused {
            let _ = answer.send(admin::Reply::Refused(why.to_owned()));
            return;
        }
        let (done, decided) = oneshot::channel();
        life.tickets += 1;
        life.proposals.insert(life.tickets, done);
        let ticket = life.tickets;
        self.event(
            life,
            Event::Propose {
                request_id: ticket,
                command: Command::Policy(command),
            },
        );
        tokio::task::spawn_local(async move {
            let reply = match decided.await {
                Ok(Ok(ProposalResult::Policy(reply))) => admin::Reply::Policy(reply),
                Ok(Err(lost)) => admin::Reply::Refused(lost.to_string()),
                _ => admin::Reply::Refused("the log has not looked at it".to_owned()),
            };
            let _ = answer.send(reply);
        });
    }

    fn answer(&self, life: &mut Life, request: admin::Request) -> admin::Reply {
        match request {
            admin::Request::Status => {
                let group = life.node.raft();
                let voters = group.voter_config();
                admin::Reply::Status(Box::new(admin::Report {
                    status: life.node.status(self.now()),
                    role: match group.role() {
                        Role::Leader => "leader",
                        Role::Candidate => "candidate",
                        Role::Follower => "follower",
                        Role::Learner => "learner",
                    }
                    .to_owned(),
                    voters: voters
                        .map(|v| v.voters.iter().cloned().collect())
                        .unwrap_or_default(),
                    wanted: voters
                        .map(|v| v.target.iter().cloned().collect())
                        .unwrap_or_default(),
                }))
            }
            admin::Request::Voters(names) if names.is_empty() || names.len() > MAX_VOTERS => {
                admin::Reply::Refused(format!("1 to {MAX_VOTERS} voters are needed"))
            }
            admin::Request::Policy(_) => admin::Reply::Refused("not now".to_owned()),
            admin::Request::Policies => {
                let state = life.node.state();
                let (table, living) = (state.policy().clone(), state.live_members());
                admin::Reply::Policies(Box::new(admin::Policies {
                    me: life.who.clone(),
                    table,
                    living,
                }))
            }
            admin::Request::Voters(names) => {
                self.event(life, Event::ChangeVoters(names));
                admin::Reply::Asked
            }
        }
    }

    /// Lets go of what belongs to members that the view has forgotten.
    fn tidy(&self, life: &mut Life) {
        let known = |name: &MemberName| {
            life.node.membership().member(name).is_some() || self.config.peers.contains_key(name)
        };
        let gone: Vec<MemberName> = life
            .links
            .names()
            .filter(|name| !known(name))
            .cloned()
            .collect();
        let senders = self
            .reception
            .opener
            .borrow()
            .names()
            .filter(|name| !known(name))
            .cloned()
            .collect::<Vec<_>>();
        for name in &gone {
            life.links.forget(name);
        }
        for name in &senders {
            self.reception.opener.borrow_mut().forget(name);
        }
    }
}

enum Next {
    Asked(Option<Ask>),
    Came(Option<Came>),
    Datagram(std::io::Result<(usize, SocketAddr)>),
}

/// Waits for the write that is under way.
async fn written(writing: &mut Writing) -> Result<Box<Disk>, DiskError> {
    let Writing::Busy(task) = writing else {
        return std::future::pending().await;
    };
    match task.await {
        Ok((disk, Ok(()))) => Ok(disk),
        Ok((_, Err(error))) => Err(error),
        Err(_) => Err(DiskError::Gone),
    }
}
