//! Tests of the decision logic, without processes.

mod agent;
mod answer_end;
mod burn;
mod config;
mod crashes;
mod direct;
mod entry;
mod events;
mod fingerprint;
mod memory;
mod permits;
