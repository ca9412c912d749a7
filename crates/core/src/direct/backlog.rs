//! Estimate of the prompt tokens that an engine has not prefilled yet, from the calls that routers report.
//!
//! One call in thirty has a prompt of 10,000 tokens or more, which takes an engine half a second to prefill while all
//! later calls wait for their first byte. Engines report calls, not tokens, and a router knows only its own calls: in
//! a large fleet, one in sixty of the prompts that are queued before its own.

use crate::ids::Timestamp;
use std::time::Duration;

/// Prompt tokens that an engine prefills in a millisecond, where its capacity is not known; the value of the first
/// engines in use. For slower engines the backlog is underestimated, as if other routers' prompts were unknown.
pub const TOKENS_PER_MS: f64 = 38.0;

/// Pending prefill tokens at one engine, reduced over time by the engine's prefill rate.
#[derive(Clone, Copy, Debug)]
pub struct PrefillBacklog {
    tokens: f64,
    at: Timestamp,
    tokens_per_ms: f64,
}

impl Default for PrefillBacklog {
    fn default() -> Self {
        Self { tokens: 0.0, at: Timestamp::ZERO, tokens_per_ms: TOKENS_PER_MS }
    }
}

impl PrefillBacklog {
    /// Adds the tokens of new prompts.
    pub fn add(&mut self, tokens: u32, now: Timestamp) {
        self.tokens = f64::from(self.read(now)) + f64::from(tokens);
        self.at = now;
    }

    /// Sets the prefill rate from `now` on.
    pub fn set_rate(&mut self, tokens_per_ms: f64, now: Timestamp) {
        self.add(0, now);
        self.tokens_per_ms = tokens_per_ms;
    }

    /// Tokens still pending at `now`.
    pub fn read(&self, now: Timestamp) -> u32 {
        prefill_left_after(self.tokens, now.saturating_sub(self.at), self.tokens_per_ms) as u32
    }
}

/// Tokens left of a backlog after some time at a prefill rate.
pub(super) fn prefill_left_after(tokens: f64, time: Duration, tokens_per_ms: f64) -> f64 {
    (tokens - time.as_secs_f64() * 1_000.0 * tokens_per_ms).max(0.0)
}
