//! Decisions for targets that routers call directly: routes, target selection, what an answer proves, retries,
//! and the loader's orders to its host's engine.

pub mod advertised_state;
pub mod backlog;
pub mod budget;
pub mod call;
pub mod capacity;
pub mod concurrency;
pub mod config;
pub mod customers;
pub mod demand;
pub mod directory;
pub mod health;
pub mod late_answers;
pub mod limits;
pub mod load_shedding;
pub mod loader;
pub mod membership;
pub mod messages;
pub mod notices;
pub mod orders;
pub mod overload;
pub mod placement;
pub mod proof;
pub mod selection;
pub mod sharing;
pub mod snapshot;
pub mod software;
pub mod stopping;
pub mod streams;
pub mod target;
pub mod target_limit;
pub mod targets;
pub mod timeliness;
pub mod urgency;
pub mod waits;
