//! Leases with fencing tokens: exclusive rights that expire by themselves.
//!
//! - [`Table`] is the replicated state: what the Raft log says of leases. It knows no time.
//! - [`Holder`] is a member's side: it acquires and renews leases, and [`Holder::valid_token`] tells whether one is
//!   valid now, by the member's own clock, counted from the moment at which the request was sent.
//! - [`ExpiryTracker`] is the leader's side: by its own clock, counted from the moment at which it applied a grant, it
//!   proposes to end leases that were not renewed.
//! - [`FencingGuard`] is the resource's side: it rejects tokens lower than one already seen.
//!
//! Why two members never hold a valid lease at once is shown in `docs/design/leases.md`.

mod config;
mod expiry;
mod guard;
mod holder;
mod session;
mod table;
mod view;

pub use config::{Config, RenewalPath};
pub use expiry::ExpiryTracker;
pub use guard::FencingGuard;
pub use holder::{Action, Event, Holder};
pub use session::{MAX_MEMBER_NAME_LENGTH, SESSION_LEASE_PREFIX, session_lease};
pub use table::{
    Command, Grant, LeaseChange, LeaseChangeKind, LeaseRejection, Outcome, Table, Waiter,
};
pub use view::{LeaseStatus, LeaseStatusChange, LeaseView, StatusChangeCause};
