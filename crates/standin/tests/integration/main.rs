//! Tests of the whole system: real processes, talking over loopback.

mod answers;
mod crashes;
mod idempotency;
mod import;
mod loads;
mod operators;
mod path;
mod report;
mod requests;
mod services;
mod stopping;
mod support;
mod targets;
