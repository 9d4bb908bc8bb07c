//! Session leases: a member's right to act under its name.

use crate::fleet::{LeaseName, MAX_NAME_LENGTH, MemberName};

/// Prefix of the names of session leases.
pub const SESSION_LEASE_PREFIX: &str = "life/";

/// Maximum length of a member's name that fits into a session lease's name, in bytes.
pub const MAX_MEMBER_NAME_LENGTH: usize = MAX_NAME_LENGTH - SESSION_LEASE_PREFIX.len();

/// The session lease of a member: its right to act under its name, on which its other leases depend. `None` if the
/// member's name is longer than [`MAX_MEMBER_NAME_LENGTH`].
pub fn session_lease(member: &MemberName) -> Option<LeaseName> {
    LeaseName::try_from(format!("{SESSION_LEASE_PREFIX}{member}")).ok()
}

pub(super) fn is_session_lease(name: &LeaseName) -> bool {
    name.as_str().starts_with(SESSION_LEASE_PREFIX)
}
