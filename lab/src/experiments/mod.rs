//! Experiments: each prints a table and draws figures.

pub mod view;
