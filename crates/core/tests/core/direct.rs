//! The decisions for targets that routers call directly.

mod advertised_state;
mod backlog;
mod budget;
mod capacity;
mod concurrency;
mod config;
mod customers;
mod demand;
mod directory;
mod fleet;
mod health;
mod late_answers;
mod load_limiter;
mod load_shedding;
mod loader;
mod membership;
mod messages;
mod notices;
mod proof;
mod selection;
mod sharing;
mod software;
mod support;
mod target_limit;
mod timeliness;
mod urgency;
