//! Load permits: they limit the rate of loads and their concurrency; the most urgent request goes first.

use crate::{ids::Timestamp, priority::LoadUrgency, protocol::PermitRequest};
use std::time::Duration;

/// Time after which a granted permit counts as returned, because its holder may have failed.
const PERMIT_TTL: Duration = Duration::from_secs(15);

/// Order in which waiting requests are granted.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum PermitOrder {
    /// First come, first served.
    Fifo,
    /// The most urgent first.
    #[default]
    Urgency,
}

impl PermitOrder {
    /// Parses `fifo` or `urgency`.
    pub fn parse(text: &str) -> Result<Self, String> {
        match text {
            "fifo" => Ok(Self::Fifo),
            "urgency" => Ok(Self::Urgency),
            _ => Err(format!("load order `{text}` is not one of fifo, urgency")),
        }
    }

    /// The name that [`PermitOrder::parse`] reads.
    pub fn name(self) -> &'static str {
        match self {
            Self::Fifo => "fifo",
            Self::Urgency => "urgency",
        }
    }
}

/// Limits that protect the weight store.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PermitLimits {
    /// Loads that may begin per second.
    pub rate: f64,
    /// Loads that may be under way at once.
    pub active: usize,
    /// Order in which waiting requests are granted.
    pub order: PermitOrder,
}

/// Grants permits within limits. Two pools for the same store only slow loads down, so the state is
/// neither persisted nor coordinated.
#[derive(Debug)]
pub struct PermitPool {
    limits: PermitLimits,
    tokens: f64,
    refilled: Timestamp,
    waiting: Vec<(PermitRequest, LoadUrgency, Timestamp)>,
    active: Vec<(PermitRequest, Timestamp)>,
}

impl PermitPool {
    /// Starts with one token, not those of a full second: a restarted pool must not grant again what its
    /// predecessor has just granted.
    pub fn new(limits: PermitLimits, now: Timestamp) -> Self {
        Self { limits, tokens: 1.0, refilled: now, waiting: Vec::new(), active: Vec::new() }
    }

    /// Number of permits granted and not returned.
    pub fn active(&self) -> usize {
        self.active.len()
    }

    /// Whether a request holds a permit.
    pub fn holds(&self, request: &PermitRequest) -> bool {
        self.active.iter().any(|(active, _)| active == request)
    }

    /// Number of waiting requests.
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Adds a request, or updates its urgency.
    pub fn enqueue(&mut self, request: PermitRequest, urgency: LoadUrgency, now: Timestamp) {
        match self.waiting.iter_mut().find(|(waiting, _, _)| *waiting == request) {
            Some(known) => known.1 = urgency,
            None => self.waiting.push((request, urgency, now)),
        }
    }

    /// Removes a request or returns its permit: the load has ended, or is no longer wanted.
    pub fn end(&mut self, request: &PermitRequest) {
        self.waiting.retain(|(waiting, _, _)| waiting != request);
        self.active.retain(|(active, _)| active != request);
    }

    /// Grants as many waiting requests as the limits allow now.
    pub fn grant(&mut self, now: Timestamp) -> Vec<PermitRequest> {
        self.refill(now);
        self.active.retain(|(_, granted)| now.saturating_sub(*granted) < PERMIT_TTL);
        let mut granted = Vec::new();
        while self.tokens >= 1.0 && self.active.len() < self.limits.active {
            let Some(index) = self.most_urgent(now) else { break };
            let (request, _, _) = self.waiting.swap_remove(index);
            self.tokens -= 1.0;
            self.active.push((request.clone(), now));
            granted.push(request);
        }
        granted
    }

    /// Time until the next permit can be granted, if a request waits for one.
    pub fn next_grant(&self, now: Timestamp) -> Option<Duration> {
        if self.waiting.is_empty() || self.active.len() >= self.limits.active {
            return None;
        }
        let missing = (1.0 - self.tokens).max(0.0) / self.limits.rate;
        let since = now.saturating_sub(self.refilled);
        Some(Duration::from_secs_f64(missing).saturating_sub(since))
    }

    fn refill(&mut self, now: Timestamp) {
        let earned = now.saturating_sub(self.refilled).as_secs_f64() * self.limits.rate;
        self.tokens = (self.tokens + earned).min(self.limits.rate.max(1.0));
        self.refilled = now;
    }

    fn most_urgent(&self, now: Timestamp) -> Option<usize> {
        let urgency = |index: usize| {
            let (_, urgency, enqueued) = &self.waiting[index];
            LoadUrgency { waited: urgency.waited + now.saturating_sub(*enqueued), ..*urgency }
        };
        let enqueued = |index: usize| self.waiting[index].2;
        (0..self.waiting.len()).max_by(|&a, &b| match self.limits.order {
            PermitOrder::Fifo => enqueued(b).cmp(&enqueued(a)),
            PermitOrder::Urgency => urgency(a).cmp(&urgency(b)),
        })
    }
}
