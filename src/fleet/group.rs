//! The group: one replicated log among the voters.
