//! What it means that the first byte of an engine's answer is late.
//!
//! Under load, the first byte waits for the prompts and runs before it. A router that takes such an engine for silent
//! sends the call elsewhere, where its adapter must be loaded and its prompt is processed once more, and keeps new calls
//! from the engine, so that its adapters move to other engines too. That adds to the load that caused the delay.

use super::{membership::TargetIncarnation, targets::TargetPool};
use crate::ids::Timestamp;

/// Share of the batch slots in use above which an engine counts as busy: beyond it, bursts of calls fill the batch.
const BUSY_BATCH_SHARE: f64 = 0.75;
/// Prompt tokens of other calls not yet processed, above which an engine counts as busy: about a tenth of a second of
/// work, which most late calls have before them under load.
const BUSY_PREFILL_TOKENS: f64 = 4_000.0;

/// Why an answer is late.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LateCause {
    /// The engine answers its loader and has work before the call.
    Busy,
    /// Nothing shows that the engine will answer.
    Unknown,
}

/// Why a target's answer is late, by the last report of its loader.
pub fn late_cause(pool: &TargetPool, incarnation: &TargetIncarnation, now: Timestamp) -> LateCause {
    let Some(target) = pool.target(incarnation) else { return LateCause::Unknown };
    let (Some(spec), Some(report)) = (pool.engine_of(target), target.fresh_report(now)) else {
        return LateCause::Unknown;
    };
    let has_full_batch = f64::from(report.active) >= f64::from(spec.batch) * BUSY_BATCH_SHARE;
    let has_backlog = target.fleet_prefill_tokens(now) > BUSY_PREFILL_TOKENS;
    if report.is_answering && (report.queued > 0 || has_full_batch || has_backlog) {
        LateCause::Busy
    } else {
        LateCause::Unknown
    }
}
