//! Tests of the decisions, without processes.

mod agent;
mod burn;
mod config;
mod direct;
mod entry;
mod events;
mod permits;
