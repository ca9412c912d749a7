//! Estimate of the prompt tokens that an engine has not prefilled yet, from the calls that routers report.
//!
//! One call in thirty has a prompt of 10,000 tokens or more, which takes an engine half a second to prefill while all
//! later calls wait for their first byte. Engines report calls, not tokens, and a router knows only its own calls: in
//! a large fleet, one in sixty of the prompts that are queued before its own.

use crate::ids::Timestamp;
use std::time::Duration;

/// Prompt tokens that an engine prefills in a millisecond; the value of the first engines in use. For slower engines
/// the backlog is underestimated, as if other routers' prompts were unknown.
pub(super) const TOKENS_PER_MS: f64 = 38.0;

/// Pending prefill tokens at one engine, reduced over time by `TOKENS_PER_MS`.
#[derive(Clone, Copy, Debug, Default)]
pub struct PrefillBacklog {
    tokens: f64,
    at: Timestamp,
}

impl PrefillBacklog {
    /// Adds the tokens of new prompts.
    pub fn add(&mut self, tokens: u32, now: Timestamp) {
        self.tokens = f64::from(self.read(now)) + f64::from(tokens);
        self.at = now;
    }

    /// Tokens still pending at `now`.
    pub fn read(&self, now: Timestamp) -> u32 {
        prefill_left_after(self.tokens, now.saturating_sub(self.at)) as u32
    }
}

/// Tokens left of a backlog after some time.
pub(super) fn prefill_left_after(tokens: f64, time: Duration) -> f64 {
    (tokens - time.as_secs_f64() * 1_000.0 * TOKENS_PER_MS).max(0.0)
}
