//! The store on disk: a log with checksums, and snapshots.
