//! The view: what this member believes of all others (SWIM with suspicion).
