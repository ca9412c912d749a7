//! Overload of a router's own thread.
//!
//! A balancer may send nearly all new connections of a region to one router. What such a router has read it must also
//! serve. Connections that it closes before it has read anything cost their callers a round trip: they try again at
//! once, at another router.

use crate::ids::Timestamp;
use std::time::Duration;

/// Interval at which the lag of the thread is sampled.
pub const SAMPLE_PAUSE: Duration = Duration::from_millis(50);
/// Lag from which the thread is overloaded. A thread that has used up its CPU quota stands still for up to a tenth of a
/// second.
const OVERLOAD_LAG: Duration = Duration::from_millis(120);
/// Lag above which no connection is taken, so that a sudden backlog ends soon.
const STOP_LAG: Duration = Duration::from_millis(240);
/// Part of the rate that is taken after an overload, so that the backlog ends.
const REDUCED_SHARE: f64 = 0.8;
/// Growth of the rate in a second without overload.
const RATE_GROWTH: f64 = 2.0;
/// Time over which the rate of connections that the thread serves without lag is averaged, in seconds.
const CALM_TIME: f64 = 1.0;
/// Lowest rate, in connections a second: the router must notice that the overload has ended.
const MIN_RATE: f64 = 2.0;
/// Connections beyond the rate of calm times that no lag is put down to: callers come in groups.
const MANY_TAKEN: f64 = 16.0;
/// Connections that may be taken at once after an overload.
const BURST: f64 = 4.0;
/// Time without a refusal after which all connections are taken again.
const RELEASE_TIME: Duration = Duration::from_secs(1);

/// Rate of new connections after an overload.
#[derive(Clone, Copy, Debug)]
struct ConnectionRate {
    /// Connections a second.
    rate: f64,
    tokens: f64,
    refilled: Timestamp,
    /// When a connection was last refused, or the overload was last seen.
    refused: Timestamp,
}

/// Decides which new connections a router takes.
#[derive(Clone, Copy, Debug, Default)]
pub struct ConnectionGate {
    /// Connections taken since the last sample.
    taken: u32,
    /// Connections a second that the thread lately served without lag. As many are always taken: if they are late, something
    /// else holds the thread up.
    calm_rate: f64,
    limit: Option<ConnectionRate>,
    lag: Duration,
    sampled: Timestamp,
}

impl ConnectionGate {
    /// Adds a sample: the time by which a timer of [`SAMPLE_PAUSE`] fired late, because the thread was busy.
    pub fn record_lag(&mut self, late: Duration, now: Timestamp) {
        let pause = SAMPLE_PAUSE.as_secs_f64();
        let covered = late.as_secs_f64() + pause;
        let is_excessive = self.has_taken_many(covered);
        let rate = f64::from(std::mem::take(&mut self.taken)) / covered;
        let is_rising = late > self.lag;
        (self.lag, self.sampled) = (late, now);
        if late > OVERLOAD_LAG && !is_excessive && self.limit.is_none() {
            // Something else held the thread up, such as a suspension of the process.
            self.lag = Duration::ZERO;
            return;
        }
        if late <= OVERLOAD_LAG {
            self.calm_rate += (rate - self.calm_rate) * (covered / CALM_TIME).min(1.0);
            self.raise_limit(covered, now);
            return;
        }
        // The calls of one pause took the time that the sample covers.
        let capacity = rate * pause / covered;
        let limit = match self.limit {
            Some(limit) if is_rising => limit.rate * REDUCED_SHARE,
            Some(limit) => limit.rate,
            None => capacity * REDUCED_SHARE,
        };
        if is_rising && self.limit.is_some() {
            self.calm_rate *= REDUCED_SHARE;
        }
        let rate = limit.max(self.calm_rate).max(MIN_RATE);
        self.limit = Some(ConnectionRate { rate, tokens: 0.0, refilled: now, refused: now });
    }

    /// Whether more connections were taken in a time, in seconds, than the thread lately served without lag.
    fn has_taken_many(&self, time: f64) -> bool {
        f64::from(self.taken) > MANY_TAKEN + self.calm_rate * time
    }

    /// Raises the limit after a sample without overload, and ends it once no connection was refused for a while.
    fn raise_limit(&mut self, covered: f64, now: Timestamp) {
        let Some(limit) = &mut self.limit else { return };
        limit.rate *= RATE_GROWTH.powf(covered);
        if now.saturating_sub(limit.refused) >= RELEASE_TIME {
            self.limit = None;
        }
    }

    /// Whether to take a new connection, in a fleet of `routers`. Without another router, all are taken.
    pub fn takes_connection(&mut self, routers: usize, now: Timestamp) -> bool {
        let is_taken = routers < 2 || self.take_token(now);
        self.taken += u32::from(is_taken);
        is_taken
    }

    fn take_token(&mut self, now: Timestamp) -> bool {
        // The next sample may be overdue.
        let unsampled = now.saturating_sub(self.sampled);
        let is_late = self.sampled > Timestamp::ZERO
            && unsampled > OVERLOAD_LAG + SAMPLE_PAUSE
            && self.has_taken_many(unsampled.as_secs_f64());
        if is_late || self.lag > STOP_LAG {
            return false;
        }
        let Some(limit) = &mut self.limit else { return true };
        let passed = now.saturating_sub(limit.refilled).as_secs_f64();
        limit.refilled = now;
        limit.tokens = (limit.tokens + passed * limit.rate).min(BURST);
        if limit.tokens < 1.0 {
            limit.refused = now;
            return false;
        }
        limit.tokens -= 1.0;
        true
    }

    /// Whether the thread is overloaded now, so that callers with open connections should leave.
    pub fn is_overloaded(&self) -> bool {
        self.lag > OVERLOAD_LAG
    }
}
