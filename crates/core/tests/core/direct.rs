//! The decisions for targets that routers call directly.

mod advertised_state;
mod backlog;
mod budget;
mod config;
mod customers;
mod demand;
mod directory;
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
mod target_limit;
mod transit;
