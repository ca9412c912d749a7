//! The order in which load requests are fulfilled.
//!
//! While all waiting calls have the same priority, the adapters that most calls wait for come first. Where requests of
//! different priority wait, priority comes before the number of calls. A request then rises by a class the longer it
//! waits, so that the loads of urgent calls do not keep others from ever being loaded.

use crate::ids::Timestamp;
use std::{cmp::Reverse, fmt, time::Duration};

/// Time that a request waits before it begins to rise, and the time for each class by which it rises after that. Half a
/// second is about two loads from the weight store; a call that has waited longer is close to missing its objective.
const AGING_PAUSE: Duration = Duration::from_millis(500);

/// What decides when the load of one request begins.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct LoadRank {
    /// Whether any call waits for it; if not, it is a prefetch.
    pub is_awaited: bool,
    /// Whether a waiting call can still meet its objective.
    pub is_timely: bool,
    /// Priority of the most urgent call that waits; 0 is the highest.
    pub priority: u8,
    /// Calls of all routers that wait for the adapter.
    pub callers: u32,
    /// When the request was first seen.
    pub since: Timestamp,
}

impl LoadRank {
    /// Class of the request at `now`, lower classes first: its priority, less one for each full [`AGING_PAUSE`] after
    /// the first.
    pub fn class(&self, now: Timestamp) -> i64 {
        let waited = now.saturating_sub(self.since).saturating_sub(AGING_PAUSE);
        i64::from(self.priority) - (waited.as_millis() / AGING_PAUSE.as_millis()) as i64
    }
}

/// Sort key of a request; smaller ones come first.
pub type OrderKey = (bool, bool, i64, Reverse<u32>, u8, Timestamp);

/// Order of all load requests of one engine.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LoadOrder {
    /// Waiting calls have the same priority: by the number of calls, then by age.
    ByCallers,
    /// They have different priorities: by class, then by the number of calls and by age.
    ByClass,
}

impl LoadOrder {
    /// The order for these requests. Prefetches have no priority of their own.
    pub fn of<'a>(ranks: impl IntoIterator<Item = &'a LoadRank>) -> Self {
        let mut priorities =
            ranks.into_iter().filter(|rank| rank.is_awaited).map(|rank| rank.priority);
        let first = priorities.next();
        if priorities.any(|priority| Some(priority) != first) {
            Self::ByClass
        } else {
            Self::ByCallers
        }
    }

    /// Name in metrics and log lines.
    pub fn name(self) -> &'static str {
        match self {
            Self::ByCallers => "callers",
            Self::ByClass => "class",
        }
    }

    /// Key of a request: awaited ones before prefetches, then those that can still be in time before late ones, or
    /// after them where `is_late_first`.
    pub fn key(self, rank: &LoadRank, is_late_first: bool, now: Timestamp) -> OrderKey {
        let goes_after = rank.is_timely == is_late_first;
        let (class, priority) = match self {
            Self::ByClass if rank.is_awaited => (rank.class(now), 0),
            _ => (0, rank.priority),
        };
        (!rank.is_awaited, goes_after, class, Reverse(rank.callers), priority, rank.since)
    }
}

/// Why the load of one request begins now: its rank, and the other requests.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct LoadTurn {
    /// The order that applied.
    pub order: LoadOrder,
    /// Rank of the request.
    pub rank: LoadRank,
    /// Its class.
    pub class: i64,
    /// Time for which it has waited.
    pub waited: Duration,
    /// Number of unfulfilled requests, including this one.
    pub requests: usize,
}

impl fmt::Display for LoadTurn {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { order, rank, class, waited, requests } = self;
        let timeliness = match (rank.is_awaited, rank.is_timely) {
            (false, _) => "prefetch",
            (true, true) => "in time",
            (true, false) => "late",
        };
        write!(
            formatter,
            "{timeliness}, priority {}, class {class}, {} calls, {} ms waited, by {} of {requests} requests",
            rank.priority,
            rank.callers,
            waited.as_millis(),
            order.name()
        )
    }
}
