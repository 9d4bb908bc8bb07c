//! The operator's tables for a fleet.
