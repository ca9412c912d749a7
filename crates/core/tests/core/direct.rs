//! The decisions for targets that routers call directly.

mod backlog;
mod budget;
mod config;
mod crashes;
mod demand;
mod directory;
mod fingerprint;
mod fleet;
mod health;
mod loader;
mod membership;
mod notices;
mod pressure;
mod proof;
mod selection;
mod sharing;
mod support;
mod transit;
