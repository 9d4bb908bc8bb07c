//! One member of a fleet: view, group, state and leases put together, without I/O.
