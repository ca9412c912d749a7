//! HTTP client and server, client of the platform's object API, and the configuration store, shared by all
//! programs.

pub mod backoff;
pub mod body;
pub mod caller;
pub mod client;
pub mod config_store;
pub mod count;
pub mod end_witness;
pub mod exchange;
pub mod platform;
pub mod request_body;
pub mod server;
