//! Typed values whose serialized bytes are fixed in `tests/golden/fleet/`.

pub mod commands;
pub mod log;
pub mod messages;

use whinhaven::fleet::{Incarnation, LeaseName, MemberInstance, MemberName, SiteName};

/// A value with the name of its line in a data file.
pub type Example<T> = (&'static str, T);

pub fn member(name: &str) -> MemberName {
    MemberName::try_from(name).unwrap()
}

pub fn site(name: &str) -> SiteName {
    SiteName::try_from(name).unwrap()
}

pub fn lease_name(name: &str) -> LeaseName {
    LeaseName::try_from(name).unwrap()
}

pub fn who(name: &str, incarnation: u64) -> MemberInstance {
    MemberInstance {
        name: member(name),
        incarnation: Incarnation(incarnation),
    }
}

/// Bytes as lower-case hexadecimal digits.
pub fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

/// The lines `name hex` of a data file.
pub fn hex_lines<T>(examples: &[Example<T>], encode: impl Fn(&T) -> Vec<u8>) -> String {
    examples
        .iter()
        .map(|(name, value)| format!("{name} {}\n", hex(&encode(value))))
        .collect()
}
