//! Writes logs as JSON lines to standard output.

use crate::options::CommonSettings;
use slog::{Drain, Level, LevelFilter, Logger, o};
use slog_async::{Async, AsyncGuard};
use slog_json::Json;
use std::io;

/// Capacity, in lines, of the channel to the log writer. A full channel drops lines and counts them, so
/// that no request waits for its log.
const LOG_CAPACITY: usize = 4_096;

/// Starts the logger of an entry or agent. The guard flushes it when it is dropped.
pub fn start(settings: &CommonSettings, role: &'static str) -> (Logger, AsyncGuard) {
    start_named(&settings.name, settings.log_level, role)
}

/// Starts a logger whose lines hold the process's role and name. The guard flushes it when it is dropped.
pub fn start_named(name: &str, level: Level, role: &'static str) -> (Logger, AsyncGuard) {
    let json = Json::new(io::stdout()).add_default_keys().build().fuse();
    let (drain, guard) = Async::new(json).chan_size(LOG_CAPACITY).build_with_guard();
    let filtered = LevelFilter::new(drain, level).fuse();
    (Logger::root(filtered, o!("role" => role, "name" => name.to_owned())), guard)
}
