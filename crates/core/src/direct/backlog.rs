//! Prompt tokens that an engine has not prefilled yet, as far as the routers' calls tell.
//!
//! Pattern: one call in thirty has a prompt of ten thousand tokens or more, which an engine reads for half a
//! second while all calls that come after it wait for their first byte. An engine reports calls, not tokens,
//! and a router knows its own calls only: in a large fleet it saw one in sixty of the prompts before its own.

use crate::ids::Timestamp;
use std::time::Duration;

/// Prompt tokens that an engine prefills in a millisecond: the figure of the first engines in use. Where
/// engines are slower, less is believed to wait than does, as if other routers' prompts were not known.
pub(super) const TOKENS_PER_MS: f64 = 38.0;

/// Tokens that wait for prefill, less those that were processed since.
#[derive(Clone, Copy, Debug, Default)]
pub struct PrefillBacklog {
    tokens: f64,
    at: Timestamp,
}

impl PrefillBacklog {
    /// Prompts of so many tokens came.
    pub fn add(&mut self, tokens: u32, now: Timestamp) {
        self.tokens = f64::from(self.read(now)) + f64::from(tokens);
        self.at = now;
    }

    /// Tokens that still wait.
    pub fn read(&self, now: Timestamp) -> u32 {
        prefill_left_after(self.tokens, now.saturating_sub(self.at)) as u32
    }
}

/// What is left of a backlog after some time.
pub(super) fn prefill_left_after(tokens: f64, time: Duration) -> f64 {
    (tokens - time.as_secs_f64() * 1_000.0 * TOKENS_PER_MS).max(0.0)
}
