//! The orderly end of the process: what is done between the request to stop and the exit.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::watch;
use tokio::task::JoinHandle;
use whinhaven::fleet::transport::Fleet;
use whinhaven::fleet::transport::work::Work;
use whinhaven::front::jsonrpc::Front;
use whinhaven::net::client::Pending;
use whinhaven::net::connections::Connections;
use whinhaven::net::pool::Pool;
use whinhaven::net::server::Stage;
use whinhaven::net::shutdown_stages;
use whinhaven::shutdown::{ADMISSION_PERIOD, Shutdown};

/// How long the end waits for the fleet to take note of it.
const FLEET_LEAVE_TIMEOUT: Duration = Duration::from_millis(700);
/// How long the end waits for releases that no model host has taken.
const RELEASE_TIMEOUT: Duration = Duration::from_secs(2);
/// The last attempt of a request may end, and order its release, so long after the request was answered.
const LAST_RELEASE_DELAY: Duration = Duration::from_millis(50);
/// How often requests in hand are looked at.
const REQUEST_POLL_INTERVAL: Duration = Duration::from_millis(5);

/// The parts that the orderly end has to do with.
pub struct GracefulShutdown {
    /// When the process was asked to stop.
    pub shutdown: Shutdown,
    /// Whether another process serves the address.
    pub other_process_serves: Rc<Cell<bool>>,
    /// Client connections.
    pub connections: Rc<Connections>,
    /// Moves client connections on.
    pub stage: watch::Sender<Stage>,
    /// The listener's task.
    pub accepting: JoinHandle<()>,
    /// Connections to model hosts.
    pub pool: Pool,
    /// Releases under way.
    pub pending: Rc<Pending>,
    /// The fleet, if this router is a member of one.
    pub fleet: Option<Fleet>,
    /// Records of requests in flight, if the fleet keeps them.
    pub work: Option<Rc<Work>>,
    /// The tool-call front, if configured.
    pub front: Option<Rc<Front>>,
}

impl GracefulShutdown {
    /// Finishes what was taken; resolves when the process may exit.
    pub async fn run(mut self) {
        let GracefulShutdown {
            shutdown,
            other_process_serves,
            connections,
            stage,
            ..
        } = &self;
        let close_clients =
            shutdown_stages::advance_stages(shutdown, other_process_serves, connections, stage);
        tokio::join!(self.leave_fleet_after_admission(), close_clients);
        // What the system has accepted by now is taken.
        let _ = (&mut self.accepting).await;
        self.pool.clear();
        self.finish_requests().await;
        if self.work.is_some() {
            self.leave_fleet().await;
        }
        // What was just answered may still have a release on its way, or get one as its last attempt ends. The time
        // that it may be held, and the platform's slack, are over by then: later it helps no longer.
        tokio::time::sleep(LAST_RELEASE_DELAY).await;
        let _ = tokio::time::timeout(RELEASE_TIMEOUT, self.pending.none()).await;
    }

    /// The others need not wait for leases to run out: they are given back when no more requests are admitted under them,
    /// or, where what is in hand is recorded under them, when it is done or handed over.
    async fn leave_fleet_after_admission(&self) {
        if self.work.is_none() {
            self.shutdown.wait_until(ADMISSION_PERIOD).await;
            self.leave_fleet().await;
        }
    }

    async fn leave_fleet(&self) {
        if let Some(fleet) = &self.fleet {
            fleet.leave(FLEET_LEAVE_TIMEOUT).await;
        }
    }

    /// Waits until all requests are answered, or handed over where the fleet keeps records of them.
    async fn finish_requests(&self) {
        while self.connections.count() > 0 || self.has_tool_calls() {
            if self.is_hand_over_due()
                && let Some(front) = &self.front
            {
                front.hand_over();
            }
            tokio::time::sleep(REQUEST_POLL_INTERVAL).await;
        }
    }

    fn is_hand_over_due(&self) -> bool {
        self.work.as_ref().is_some_and(|work| {
            let after = Duration::from_millis(work.settings().hand_over_after_ms);
            self.shutdown.has_lasted(after)
        })
    }

    /// A call that is out has its time: without its outcome on record it is unknown wherever its request goes on.
    fn has_tool_calls(&self) -> bool {
        self.work.is_some() && self.front.as_ref().is_some_and(|front| front.is_calling())
    }
}
