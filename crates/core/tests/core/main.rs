//! Tests of the decisions, without processes.

mod agent;
mod config;
mod entry;
mod events;
mod permits;
