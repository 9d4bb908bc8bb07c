//! Carries the messages of a member: sockets, keys, disk.

pub mod seal;
