//! Many conductors as one fleet, also while parts of it fail.
//!
//! Each machine here decides without input or output: it takes an event and the time, and appends actions. So the same
//! code runs in the process, in the simulation, in the model checker and in property tests. [`transport`] and
//! [`crate::storage`] carry out. Words and promises: `docs/fleet.md`.

pub mod config;
pub mod lease;
pub mod membership;
pub mod message;
pub mod node;
pub mod policy_content;
pub mod policy_epoch;
pub mod raft;
pub mod renewal;
pub mod sites;
pub mod state;
pub mod transport;
pub mod work;

use serde::{Deserialize, Serialize};
use std::fmt;
use std::sync::Arc;

/// The longest name of a member, a site or a lease, in bytes.
pub const MAX_NAME_LENGTH: usize = 64;

/// A name can't be used: empty, longer than [`MAX_NAME_LENGTH`] bytes, or with other characters than letters, digits,
/// `.`, `_`, `-` and `/`.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("not a name: {0:?} (1 to 64 letters, digits, '.', '_', '-' or '/')")]
pub struct NameError(pub String);

macro_rules! name {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(try_from = "String", into = "String")]
        pub struct $name(Arc<str>);

        impl $name {
            /// The name as text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl TryFrom<&str> for $name {
            type Error = NameError;

            fn try_from(text: &str) -> Result<Self, NameError> {
                let plain = |c: char| c.is_ascii_alphanumeric() || matches!(c, '.' | '_' | '-' | '/');
                if text.is_empty() || text.len() > MAX_NAME_LENGTH || !text.chars().all(plain) {
                    return Err(NameError(text.chars().take(MAX_NAME_LENGTH).collect()));
                }
                Ok($name(text.into()))
            }
        }

        impl TryFrom<String> for $name {
            type Error = NameError;

            fn try_from(text: String) -> Result<Self, NameError> {
                $name::try_from(text.as_str())
            }
        }

        impl From<$name> for String {
            fn from(name: $name) -> String {
                name.0.as_ref().to_owned()
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
                f.write_str(&self.0)
            }
        }
    };
}

name! {
    /// The name of a conductor process, the same over all of its lives.
    MemberName
}
name! {
    /// The name of a site: the zone of its hosts and conductors.
    SiteName
}
name! {
    /// The name of a lease, `discovery-refresh` or `life/c2` say.
    LeaseName
}

/// One life of a member: rises with each of its starts. Microseconds since 1970 at the start, or one more than the
/// last one on its disk, whichever is larger.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Incarnation(pub u64);

/// A member in one of its lives.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct MemberInstance {
    /// Its name.
    pub name: MemberName,
    /// Which life.
    pub incarnation: Incarnation,
}

impl fmt::Display for MemberInstance {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(f, "{}@{}", self.name, self.incarnation.0)
    }
}

/// Rises with every grant of a lease of the same name; carried by every act under it.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Token(pub u64);

/// A term of the group.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Term(pub u64);

/// A place in the group's log; the first entry's is 1.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Index(pub u64);
