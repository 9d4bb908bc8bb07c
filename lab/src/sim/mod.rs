//! A seeded, discrete-event simulation: many machines, one network, no clock but the simulation's.
//!
//! [`network`] carries messages and loses them; [`world`] runs machines over it, crashes, pauses and restarts them;
//! [`faults`] draws fault scripts; [`views`] is a fleet of [`whinhaven::fleet::membership::Membership`] and its check; [`mod@foca`] is one to
//! compare with, and [`bed`] what experiments need of either.

pub mod bed;
pub mod faults;
pub mod foca;
pub mod network;
pub mod views;
pub mod world;
