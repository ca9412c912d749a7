//! Integration tests of the complete system: a test cluster of real processes on loopback.

mod answers;
mod crashes;
mod end_witness;
mod idempotency;
mod import;
mod loads;
mod operators;
mod path;
mod report;
mod requests;
mod returns;
mod services;
mod stopping;
mod support;
mod targets;
