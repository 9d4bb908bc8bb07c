//! The policy epoch at this router: admits requests under it, votes on proposals, and switches epochs.
//!
//! [`PolicyGate`] follows the log. [`PolicyGate::admit`] admits a request under the epoch in force at that moment.
//! While a proposal is closing, new requests wait. This router confirms that it admits none only once all admitted
//! requests have reached the dispatcher, so that the dispatcher handles them under the settings they were admitted
//! with.

use super::history::{History, unix_us};
use super::{Fleet, FleetEvent};
use crate::dispatch::DispatcherHandle;
use crate::fleet::MemberInstance;
use crate::fleet::config::PolicyConfig;
use crate::fleet::policy_content as content;
use crate::fleet::policy_epoch::{Command, Notice, Refusal, Reply, Table, digest};
use crate::fleet::state::{self, ProposalResult, StateChange};
use crate::live_settings::LiveSettings;
use crate::routing::types::{Idempotency, Micros, RequestClass};
use serde_json::Value;
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;
use xxhash_rust::xxh3::xxh3_64;

/// Delay before a command without an answer is proposed again.
const RETRY_DELAY: Duration = Duration::from_millis(200);
/// Each member proposes the first epoch after a random delay below this, in microseconds, so that mostly one does.
const MAX_FIRST_PROPOSAL_DELAY_US: u64 = 50_000;

/// The open proposal, as far as this member has applied the log.
struct Staged {
    proposal: u64,
    content: String,
    closing: bool,
}

/// Admits requests under the policy epoch in force, and takes this router's part in changing it.
pub struct PolicyGate {
    fleet: Fleet,
    dispatcher: DispatcherHandle,
    live: Rc<LiveSettings>,
    config: PolicyConfig,
    own_settings: Value,
    own_content: String,
    /// Fields in which this router's file differs from the epoch in force, until they are logged.
    unlogged_differences: RefCell<Vec<String>>,
    epoch: Cell<u64>,
    /// Whether this router runs with the settings of the epoch in force.
    current: Cell<bool>,
    staged: RefCell<Option<Staged>>,
    /// Number of admitted requests that have not reached the dispatcher yet.
    in_transit: Cell<usize>,
    waiting_requests: Cell<usize>,
    changed: Notify,
    /// The incarnation and proposal of this member's last vote, and of its last confirmation that it admits no
    /// requests.
    last_vote: RefCell<Option<(MemberInstance, u64)>>,
    last_confirmation: RefCell<Option<(MemberInstance, u64)>>,
}

/// Permit of an admitted request. The caller drops it once the dispatcher has the request.
pub struct PolicyPermit(Rc<PolicyGate>);

impl Drop for PolicyPermit {
    fn drop(&mut self) {
        let PolicyPermit(gate) = self;
        gate.in_transit.set(gate.in_transit.get() - 1);
        gate.respond_to_proposal();
    }
}

/// Why a request can't be admitted now. Trying again later is harmless.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AdmissionError {
    /// This router may not act, or does not run with the epoch in force.
    NotServing,
    /// The wait for a policy change exceeded its limit, or too many requests wait for it already.
    TimedOut,
}

impl PolicyGate {
    /// Starts to follow the log. `own_settings` is the `[settings]` table of this router's file; `live` receives the
    /// settings of each epoch.
    ///
    /// # Errors
    /// `own_settings` is not a table.
    pub fn start(
        fleet: Fleet,
        dispatcher: DispatcherHandle,
        live: Rc<LiveSettings>,
        config: PolicyConfig,
        own_settings: Value,
    ) -> Result<Rc<Self>, String> {
        let (own_content, _) = content::extract_policy(&own_settings)?;
        let gate = Rc::new(PolicyGate {
            fleet: fleet.clone(),
            dispatcher,
            live,
            config,
            own_settings,
            own_content,
            unlogged_differences: RefCell::default(),
            epoch: Cell::new(0),
            current: Cell::new(false),
            staged: RefCell::default(),
            in_transit: Cell::new(0),
            waiting_requests: Cell::new(0),
            changed: Notify::new(),
            last_vote: RefCell::default(),
            last_confirmation: RefCell::default(),
        });
        let listener = Rc::downgrade(&gate);
        fleet.add_listener(Box::new(move |event| {
            if let Some(gate) = listener.upgrade() {
                gate.on_fleet_event(event);
            }
        }));
        Ok(gate)
    }

    /// Whether this router runs with the epoch in force, as far as it has applied the log.
    pub fn is_ready(&self) -> bool {
        self.current.get()
    }

    fn is_open(&self) -> bool {
        self.current.get() && self.staged.borrow().as_ref().is_none_or(|s| !s.closing)
    }

    /// Admits a request, at once or when the open proposal is decided. Waits at most the configured time, and not past
    /// `deadline`.
    ///
    /// # Errors
    /// The request can't be admitted; trying again is harmless.
    pub async fn admit(self: &Rc<Self>, deadline: Micros) -> Result<PolicyPermit, AdmissionError> {
        let wait_end = self.dispatcher.clock.now() + self.config.hold_ms * 1_000;
        let wait_end = self.dispatcher.clock.instant(wait_end.min(deadline));
        loop {
            let at = unix_us();
            // There is no await point between this check and the permit.
            if !self.fleet.may_serve() || !self.current.get() {
                return Err(AdmissionError::NotServing);
            }
            if self.is_open() {
                self.in_transit.set(self.in_transit.get() + 1);
                History(self.fleet.instance()).request_admitted(at, self.epoch.get());
                return Ok(PolicyPermit(self.clone()));
            }
            if self.waiting_requests.get() >= self.config.most_held {
                return Err(AdmissionError::TimedOut);
            }
            let _waiting = Waiting::new(self);
            let changed = self.changed.notified();
            if tokio::time::timeout_at(wait_end, changed).await.is_err() {
                return Err(AdmissionError::TimedOut);
            }
        }
    }

    fn on_fleet_event(self: &Rc<Self>, event: &FleetEvent) {
        match event {
            FleetEvent::IncarnationStarted(_) => {
                // The new incarnation applies the log from its start or from a snapshot.
                self.current.set(false);
                self.epoch.set(0);
                self.staged.take();
            }
            FleetEvent::SessionValid(true) => self.on_session_valid(),
            FleetEvent::SessionValid(false) => {}
            FleetEvent::StateChanged(_, StateChange::Policy(notice)) => self.on_notice(notice),
            FleetEvent::SnapshotRestored(state) => self.restore(state.policy()),
            FleetEvent::MembershipChanged(_)
            | FleetEvent::LeaderChanged(_)
            | FleetEvent::SitesChanged(_)
            | FleetEvent::StateChanged(..) => return,
        }
        self.respond_to_proposal();
        self.changed.notify_waiters();
    }

    fn on_notice(self: &Rc<Self>, notice: &Notice) {
        match notice {
            Notice::Staged { proposal, content } => {
                let (proposal, content) = (*proposal, content.clone());
                // Without a session lease this is an old entry, applied again after a start: not logged again.
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
                    History(self.fleet.instance()).policy_rejected(*proposal, why);
                }
                self.staged.take();
            }
            Notice::InForce { epoch, content } => {
                self.staged.take();
                self.switch_epoch(*epoch, content);
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
            self.switch_epoch(table.epoch(), table.content());
        }
    }

    fn switch_epoch(self: &Rc<Self>, epoch: u64, content: &str) {
        let history = History(self.fleet.instance());
        self.epoch.set(epoch);
        match content::parse(content, &self.own_settings) {
            Ok(settings) => {
                self.live.replace(settings);
                self.current.set(true);
                history.policy_switched(epoch, digest(content));
                self.unlogged_differences
                    .replace(content::differences(content, &self.own_content));
                if self.fleet.session_valid() {
                    self.log_differences();
                }
                self.propose_until_applied(Command::Switched { epoch });
            }
            Err(error) => {
                self.current.set(false);
                history.note(&format!(
                    "policy epoch {epoch} can't be applied: {error}; this router takes no new requests"
                ));
            }
        }
    }

    fn log_differences(&self) {
        let (epoch, differences) = (self.epoch.get(), self.unlogged_differences.take());
        if let Some(first) = differences.first() {
            let fields = differences.len();
            log::info!(
                "policy: this router's file differs from epoch {epoch} in {fields} fields, the first: {first}; \
                 the epoch's values are used"
            );
        }
    }

    /// When the session lease becomes valid: confirms the epoch in force, or proposes the policy in this router's file
    /// if there is no epoch yet.
    fn on_session_valid(self: &Rc<Self>) {
        let epoch = self.epoch.get();
        if epoch > 0 {
            if self.current.get() {
                self.log_differences();
                self.propose_until_applied(Command::Switched { epoch });
            }
            return;
        }
        let gate = self.clone();
        tokio::task::spawn_local(async move {
            let me = gate.fleet.instance();
            let nonce = xxh3_64(me.to_string().as_bytes());
            tokio::time::sleep(Duration::from_micros(nonce % MAX_FIRST_PROPOSAL_DELAY_US)).await;
            let command = Command::Propose {
                nonce,
                content: gate.own_content.clone(),
                base: 0,
                only_check: false,
                at_us: unix_us(),
                difference: "the first".to_owned(),
            };
            while gate.epoch.get() == 0 && gate.fleet.instance() == me {
                if gate.propose(command.clone()).await.is_none() {
                    tokio::time::sleep(RETRY_DELAY).await;
                }
            }
        });
    }

    /// Sends this member's vote on a staged proposal, or its confirmation for a closing one, if it is due and was not
    /// sent in this incarnation.
    fn respond_to_proposal(self: &Rc<Self>) {
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
            let instance_and_proposal = Some((me, *proposal));
            if *closing {
                if self.in_transit.get() > 0
                    || *self.last_confirmation.borrow() == instance_and_proposal
                {
                    return;
                }
                self.last_confirmation.replace(instance_and_proposal);
                Command::Closed {
                    proposal: *proposal,
                }
            } else {
                if *self.last_vote.borrow() == instance_and_proposal {
                    return;
                }
                self.last_vote.replace(instance_and_proposal);
                let refusal = content::parse(content, &self.own_settings).err();
                Command::Vote {
                    proposal: *proposal,
                    refusal,
                }
            }
        };
        self.propose_until_applied(command);
    }

    /// Proposes a command until it is applied, for as long as it matters and this incarnation lasts.
    fn propose_until_applied(self: &Rc<Self>, command: Command) {
        let (gate, me) = (self.clone(), self.fleet.instance());
        tokio::task::spawn_local(async move {
            let still_needed = |gate: &PolicyGate| match &command {
                Command::Vote { proposal, .. } | Command::Closed { proposal } => gate
                    .staged
                    .borrow()
                    .as_ref()
                    .is_some_and(|s| s.proposal == *proposal),
                Command::Switched { epoch } => gate.epoch.get() == *epoch,
                _ => true,
            };
            while gate.fleet.instance() == me && still_needed(&gate) {
                match gate.propose(command.clone()).await {
                    Some(Reply::Refused(Refusal::NoSession)) => return,
                    Some(_) => return,
                    None => tokio::time::sleep(RETRY_DELAY).await,
                }
            }
        });
    }

    async fn propose(&self, command: Command) -> Option<Reply> {
        match self.fleet.propose(state::Command::Policy(command)).await {
            Ok(ProposalResult::Policy(reply)) => Some(reply),
            _ => None,
        }
    }
}

/// Counts a waiting request until it is dropped.
struct Waiting(Rc<PolicyGate>);

impl Waiting {
    fn new(gate: &Rc<PolicyGate>) -> Self {
        gate.waiting_requests.set(gate.waiting_requests.get() + 1);
        Waiting(gate.clone())
    }
}

impl Drop for Waiting {
    fn drop(&mut self) {
        self.0
            .waiting_requests
            .set(self.0.waiting_requests.get() - 1);
    }
}

/// The classes whose requests only the router that sent them may send again: all but idempotent ones. Where a key makes a
/// repeat harmless, it does so for a scope of workers and a window of time. Another router knows neither for sure, since
/// the clocks of two processes cannot be compared, so it must not repeat what may have run.
pub fn non_repeatable_classes(classes: &[RequestClass]) -> impl Iterator<Item = &RequestClass> {
    classes
        .iter()
        .filter(|class| class.idempotency != Idempotency::Idempotent)
}
