//! Decision logic of plantainroute as state machines without I/O: time and randomness are arguments.

pub mod agent;
pub mod answer_end;
pub mod burn;
pub mod config;
pub mod cost;
pub mod crashes;
pub mod demand;
pub mod direct;
pub mod entry;
pub mod events;
pub mod fingerprint;
pub mod idempotency;
pub mod ids;
pub mod memory;
pub mod outcome;
pub mod permits;
pub mod policy;
pub mod priority;
pub mod protocol;
pub mod rendezvous;
pub mod retry;
pub mod stats;
pub mod target;
