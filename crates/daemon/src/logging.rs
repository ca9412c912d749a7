//! Logs as JSON lines on standard output.

use crate::options::CommonSettings;
use slog::{Drain, Level, LevelFilter, Logger, o};
use slog_async::{Async, AsyncGuard};
use slog_json::Json;
use std::io;

/// Lines that wait for the writer; a full ring drops lines and counts them, rather than hold up a
/// request for its log.
const LOG_RING: usize = 4_096;

/// A logger of an entry or agent, and the guard that flushes it on exit.
pub fn start(settings: &CommonSettings, role: &'static str) -> (Logger, AsyncGuard) {
    start_named(&settings.name, settings.log_level, role)
}

/// A logger that names the process, and the guard that flushes it on exit.
pub fn start_named(name: &str, level: Level, role: &'static str) -> (Logger, AsyncGuard) {
    let json = Json::new(io::stdout()).add_default_keys().build().fuse();
    let (drain, guard) = Async::new(json).chan_size(LOG_RING).build_with_guard();
    let filtered = LevelFilter::new(drain, level).fuse();
    (Logger::root(filtered, o!("role" => role, "name" => name.to_owned())), guard)
}
