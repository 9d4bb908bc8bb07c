//! Leases: rights that end by themselves, with rising tokens.
