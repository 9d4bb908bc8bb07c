//! Graceful shutdown: the steps between the request to stop and the exit of the process.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::watch;
use tokio::task::JoinHandle;
use whinhaven::fleet::transport::Fleet;
use whinhaven::fleet::transport::work::TakeoverClient;
use whinhaven::front::jsonrpc::Front;
use whinhaven::net::client::PendingReleases;
use whinhaven::net::connections::Connections;
use whinhaven::net::pool::Pool;
use whinhaven::net::server::Stage;
use whinhaven::net::shutdown_stages;
use whinhaven::shutdown::{ADMISSION_PERIOD, Shutdown};

/// How long the shutdown waits for the fleet to confirm that this member leaves.
const FLEET_LEAVE_TIMEOUT: Duration = Duration::from_millis(700);
/// How long the shutdown waits for releases that model hosts have not acknowledged.
const RELEASE_TIMEOUT: Duration = Duration::from_secs(2);
/// Time after the response within which the last attempt of a request may end and issue its release.
const LAST_RELEASE_DELAY: Duration = Duration::from_millis(50);
/// Interval at which the shutdown checks whether requests are in progress.
const REQUEST_POLL_INTERVAL: Duration = Duration::from_millis(5);

/// The parts of the router that the shutdown acts on.
pub struct GracefulShutdown {
    /// Time of the request to stop.
    pub shutdown: Shutdown,
    /// Whether another process serves the address.
    pub other_process_serves: Rc<Cell<bool>>,
    pub connections: Rc<Connections>,
    /// Sets the stage of client connections.
    pub stage: watch::Sender<Stage>,
    /// The listener's task; it ends when no connection is accepted any more.
    pub accept_task: JoinHandle<()>,
    /// Pool of connections to model hosts.
    pub pool: Pool,
    /// Releases that model hosts have not acknowledged.
    pub pending_releases: Rc<PendingReleases>,
    /// The fleet, if this router is a member of one.
    pub fleet: Option<Fleet>,
    /// Records of requests in progress, if the fleet keeps them.
    pub request_records: Option<Rc<TakeoverClient>>,
    /// The tool-call front end, if configured.
    pub tool_front: Option<Rc<Front>>,
}

impl GracefulShutdown {
    /// Finishes the admitted requests; resolves when the process may exit.
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
        // Connections in the kernel's accept queue have been accepted when this task ends.
        let _ = (&mut self.accept_task).await;
        self.pool.close_all_idle();
        self.finish_requests().await;
        if self.request_records.is_some() {
            self.leave_fleet().await;
        }
        // A request that was just answered may have a release under way, or cause one when its last attempt ends. The
        // wait is bounded: afterwards the KV state's hold time and the platform's tolerance have passed, and the
        // release is of no use.
        tokio::time::sleep(LAST_RELEASE_DELAY).await;
        let _ =
            tokio::time::timeout(RELEASE_TIMEOUT, self.pending_releases.wait_until_done()).await;
    }

    /// Leaves the fleet once no more requests are admitted under its leases, so that other members need not wait for
    /// them to expire. If the fleet keeps records of requests in progress under the leases, the leases are kept until
    /// those requests are finished or handed over.
    async fn leave_fleet_after_admission(&self) {
        if self.request_records.is_none() {
            self.shutdown.wait_until_elapsed(ADMISSION_PERIOD).await;
            self.leave_fleet().await;
        }
    }

    async fn leave_fleet(&self) {
        if let Some(fleet) = &self.fleet {
            fleet.leave(FLEET_LEAVE_TIMEOUT).await;
        }
    }

    /// Waits until all requests are answered or, if the fleet keeps records of them, handed over.
    async fn finish_requests(&self) {
        while self.connections.count() > 0 || self.has_tool_calls() {
            if self.is_hand_over_due()
                && let Some(front) = &self.tool_front
            {
                front.hand_over();
            }
            tokio::time::sleep(REQUEST_POLL_INTERVAL).await;
        }
    }

    fn is_hand_over_due(&self) -> bool {
        self.request_records.as_ref().is_some_and(|records| {
            let after = Duration::from_millis(records.settings().hand_over_after_ms);
            self.shutdown.has_lasted(after)
        })
    }

    /// Whether tool calls are in progress. They are allowed to finish: without a recorded result, the router that
    /// takes the request over would not know the call's outcome.
    fn has_tool_calls(&self) -> bool {
        self.request_records.is_some()
            && self
                .tool_front
                .as_ref()
                .is_some_and(|front| front.is_calling())
    }
}
