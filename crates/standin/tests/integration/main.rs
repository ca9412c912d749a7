//! Tests of the whole system: real processes, talking over loopback.

mod answers;
mod import;
mod path;
mod requests;
mod services;
mod stopping;
mod support;
mod targets;
