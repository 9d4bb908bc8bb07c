//! The policy's epoch at this conductor: which requests may begin, votes, and going over.
//!
//! [`PolicyGate`] follows the log. A request begins when [`PolicyGate::begin`] lets it through, under the epoch that stands then.
//! While a change is closing, new requests wait; this conductor's word that it begins none goes out once those let
//! through have reached the dispatcher, so that the dispatcher takes them under the settings they began with.

use super::history::{History, unix_us};
use super::{Fleet, FleetEvent};
use crate::dispatch::DispatcherHandle;
use crate::fleet::MemberInstance;
use crate::fleet::config::PolicyConfig;
use crate::fleet::policy_content as content;
use crate::fleet::policy_epoch::{Command, Notice, Refusal, Reply, Table, digest};
use crate::fleet::state::{self, ProposalResult, StateChange};
use crate::live_settings::LiveSettings;
use crate::routing::types::{Micros, RequestClass};
use serde_json::Value;
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;
use xxhash_rust::xxh3::xxh3_64;

/// Before what was not answered is proposed anew.
const AGAIN: Duration = Duration::from_millis(200);
/// The span from which each member draws how long it waits before it proposes the first epoch, in microseconds.
const FIRST_SPAN_US: u64 = 50_000;

/// The proposal under way, as far as this member has followed the log.
struct Staged {
    proposal: u64,
    content: String,
    closing: bool,
}

/// What lets requests begin.
pub struct PolicyGate {
    fleet: Fleet,
    dispatcher: DispatcherHandle,
    live: Rc<LiveSettings>,
    config: PolicyConfig,
    own: Value,
    own_content: String,
    /// Where its own file differs from the epoch in force, until it is said.
    differences: RefCell<Vec<String>>,
    epoch: Cell<u64>,
    /// Whether the epoch in force is held here.
    held: Cell<bool>,
    staged: RefCell<Option<Staged>>,
    /// Requests let through that are not at the dispatcher yet.
    passing: Cell<usize>,
    waiting: Cell<usize>,
    changed: Notify,
    /// The life and proposal that this member has voted on, and closed for.
    voted: RefCell<Option<(MemberInstance, u64)>>,
    closed: RefCell<Option<(MemberInstance, u64)>>,
}

/// A request let through. To be dropped once the dispatcher has the request.
pub struct PolicyPermit(Rc<PolicyGate>);

impl Drop for PolicyPermit {
    fn drop(&mut self) {
        let PolicyPermit(gate) = self;
        gate.passing.set(gate.passing.get() - 1);
        gate.go_on();
    }
}

/// Why a request can't begin now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AdmissionError {
    /// This conductor may not act, or does not hold the epoch in force.
    NotServing,
    /// A change of policy takes too long, or too many wait for it.
    TimedOut,
}

impl PolicyGate {
    /// Begins to follow the log. `own` is the table `[settings]` of this conductor's file; the settings of each epoch go
    /// to `live`.
    ///
    /// # Errors
    /// What is wrong with the policy in that table.
    pub fn start(
        fleet: Fleet,
        dispatcher: DispatcherHandle,
        live: Rc<LiveSettings>,
        config: PolicyConfig,
        own: Value,
    ) -> Result<Rc<Self>, String> {
        let (own_content, _) = content::extract_policy(&own)?;
        let gate = Rc::new(PolicyGate {
            fleet: fleet.clone(),
            dispatcher,
            live,
            config,
            own,
            own_content,
            differences: RefCell::default(),
            epoch: Cell::new(0),
            held: Cell::new(false),
            staged: RefCell::default(),
            passing: Cell::new(0),
            waiting: Cell::new(0),
            changed: Notify::new(),
            voted: RefCell::default(),
            closed: RefCell::default(),
        });
        let listener = Rc::downgrade(&gate);
        fleet.add_listener(Box::new(move |event| {
            if let Some(gate) = listener.upgrade() {
                gate.on_fleet_event(event);
            }
        }));
        Ok(gate)
    }

    /// Whether this conductor holds the epoch in force, as far as it knows the log.
    pub fn is_ready(&self) -> bool {
        self.held.get()
    }

    fn is_open(&self) -> bool {
        self.held.get() && self.staged.borrow().as_ref().is_none_or(|s| !s.closing)
    }

    /// Lets a request begin, at once or when the change under way is decided, until `deadline` at the latest.
    ///
    /// # Errors
    /// It can't begin; trying again is harmless.
    pub async fn admit(self: &Rc<Self>, deadline: Micros) -> Result<PolicyPermit, AdmissionError> {
        let until = self.dispatcher.clock.now() + self.config.hold_ms * 1_000;
        let until = self.dispatcher.clock.instant(until.min(deadline));
        loop {
            let at = unix_us();
            // Read at this moment, and nothing waits between this and the pass.
            if !self.fleet.may_serve() || !self.held.get() {
                return Err(AdmissionError::NotServing);
            }
            if self.is_open() {
                self.passing.set(self.passing.get() + 1);
                History(self.fleet.instance()).policy_begin(at, self.epoch.get());
                return Ok(PolicyPermit(self.clone()));
            }
            if self.waiting.get() >= self.config.most_held {
                return Err(AdmissionError::TimedOut);
            }
            let _place = Waiting::new(self);
            let changed = self.changed.notified();
            if tokio::time::timeout_at(until, changed).await.is_err() {
                return Err(AdmissionError::TimedOut);
            }
        }
    }

    fn on_fleet_event(self: &Rc<Self>, event: &FleetEvent) {
        match event {
            FleetEvent::IncarnationStarted(_) => {
                // The log is read anew from its beginning.
                self.held.set(false);
                self.epoch.set(0);
                self.staged.take();
            }
            FleetEvent::SessionValid(true) => self.begin_life(),
            FleetEvent::SessionValid(false) => {}
            FleetEvent::StateChanged(_, StateChange::Policy(notice)) => self.notice(notice),
            FleetEvent::SnapshotRestored(state) => self.restore(state.policy()),
            FleetEvent::MembershipChanged(_)
            | FleetEvent::LeaderChanged(_)
            | FleetEvent::SitesChanged(_)
            | FleetEvent::StateChanged(..) => return,
        }
        self.go_on();
        self.changed.notify_waiters();
    }

    fn notice(self: &Rc<Self>, notice: &Notice) {
        match notice {
            Notice::Staged { proposal, content } => {
                let (proposal, content) = (*proposal, content.clone());
                // What a new life reads anew in the log is told no second time.
                if self.fleet.session_valid() {
                    History(self.fleet.instance()).policy_proposed(proposal, digest(&content));
                }
                self.staged.replace(Some(Staged {
                    proposal,
                    content,
                    closing: false,
                }));
            }
            Notice::Closing { proposal } => {
                if let Some(staged) = self
                    .staged
                    .borrow_mut()
                    .as_mut()
                    .filter(|s| s.proposal == *proposal)
                {
                    staged.closing = true;
                    if self.fleet.session_valid() {
                        History(self.fleet.instance()).policy_closing(*proposal);
                    }
                }
            }
            Notice::Rejected { proposal, why } => {
                if self.fleet.session_valid() {
                    History(self.fleet.instance()).policy_refused(*proposal, why);
                }
                self.staged.take();
            }
            Notice::InForce { epoch, content } => {
                self.staged.take();
                self.go_over(*epoch, content);
            }
        }
    }

    fn restore(self: &Rc<Self>, table: &Table) {
        let staged = table.open().map(|open| Staged {
            proposal: open.proposal,
            content: open.content.clone(),
            closing: open.closing,
        });
        self.staged.replace(staged);
        if table.epoch() > self.epoch.get() {
            self.go_over(table.epoch(), table.content());
        }
    }

    fn go_over(self: &Rc<Self>, epoch: u64, content: &str) {
        let history = History(self.fleet.instance());
        self.epoch.set(epoch);
        match content::parse(content, &self.own) {
            Ok(settings) => {
                self.live.replace(settings);
                self.held.set(true);
                history.policy_epoch(epoch, digest(content));
                self.differences
                    .replace(content::differences(content, &self.own_content));
                if self.fleet.session_valid() {
                    self.say_differences();
                }
                self.tell(Command::Switched { epoch });
            }
            Err(fault) => {
                self.held.set(false);
                history.note(&format!(
                    "epoch {epoch} can't be held here, nothing new is served: {fault}"
                ));
            }
        }
    }

    fn say_differences(&self) {
        let (epoch, differences) = (self.epoch.get(), self.differences.take());
        if let Some(first) = differences.first() {
            let fields = differences.len();
            log::info!(
                "policy: this conductor's own file differs from epoch {epoch} in {fields} fields: {first}"
            );
        }
    }

    /// Says what has not been said in this life; the first to come proposes its own file's policy.
    fn begin_life(self: &Rc<Self>) {
        let epoch = self.epoch.get();
        if epoch > 0 {
            if self.held.get() {
                self.say_differences();
                self.tell(Command::Switched { epoch });
            }
            return;
        }
        let gate = self.clone();
        tokio::task::spawn_local(async move {
            let me = gate.fleet.instance();
            let mark = xxh3_64(me.to_string().as_bytes());
            tokio::time::sleep(Duration::from_micros(mark % FIRST_SPAN_US)).await;
            let command = Command::Propose {
                nonce: mark,
                content: gate.own_content.clone(),
                base: 0,
                only_check: false,
                at_us: unix_us(),
                difference: "the first".to_owned(),
            };
            while gate.epoch.get() == 0 && gate.fleet.instance() == me {
                if gate.say(command.clone()).await.is_none() {
                    tokio::time::sleep(AGAIN).await;
                }
            }
        });
    }

    /// Votes, and says that nothing begins any more, when it is time.
    fn go_on(self: &Rc<Self>) {
        if !self.fleet.session_valid() {
            return;
        }
        let me = self.fleet.instance();
        let command = {
            let staged = self.staged.borrow();
            let Some(Staged {
                proposal,
                content,
                closing,
            }) = &*staged
            else {
                return;
            };
            let word = Some((me, *proposal));
            if *closing {
                if self.passing.get() > 0 || *self.closed.borrow() == word {
                    return;
                }
                self.closed.replace(word);
                Command::Closed {
                    proposal: *proposal,
                }
            } else {
                if *self.voted.borrow() == word {
                    return;
                }
                self.voted.replace(word);
                let refusal = content::parse(content, &self.own).err();
                Command::Vote {
                    proposal: *proposal,
                    refusal,
                }
            }
        };
        self.tell(command);
    }

    /// Says it until it is written down, for as long as it is of use.
    fn tell(self: &Rc<Self>, command: Command) {
        let (gate, me) = (self.clone(), self.fleet.instance());
        tokio::task::spawn_local(async move {
            let of_use = |gate: &PolicyGate| match &command {
                Command::Vote { proposal, .. } | Command::Closed { proposal } => gate
                    .staged
                    .borrow()
                    .as_ref()
                    .is_some_and(|s| s.proposal == *proposal),
                Command::Switched { epoch } => gate.epoch.get() == *epoch,
                _ => true,
            };
            while gate.fleet.instance() == me && of_use(&gate) {
                match gate.say(command.clone()).await {
                    Some(Reply::Refused(Refusal::NoSession)) => return,
                    Some(_) => return,
                    None => tokio::time::sleep(AGAIN).await,
                }
            }
        });
    }

    async fn say(&self, command: Command) -> Option<Reply> {
        match self.fleet.propose(state::Command::Policy(command)).await {
            Ok(ProposalResult::Policy(reply)) => Some(reply),
            _ => None,
        }
    }
}

/// A place among the requests that wait, given back when dropped.
struct Waiting(Rc<PolicyGate>);

impl Waiting {
    fn new(gate: &Rc<PolicyGate>) -> Self {
        gate.waiting.set(gate.waiting.get() + 1);
        Waiting(gate.clone())
    }
}

impl Drop for Waiting {
    fn drop(&mut self) {
        self.0.waiting.set(self.0.waiting.get() - 1);
    }
}

/// Names of the classes in which a request must not run twice.
pub fn non_repeatable_classes(classes: &[RequestClass]) -> impl Iterator<Item = &RequestClass> {
    use crate::routing::types::{DeduplicationScope, Idempotency as Of};
    classes.iter().filter(|c| {
        !matches!(
            c.idempotency,
            Of::Idempotent | Of::WithKey(DeduplicationScope::All)
        )
    })
}
