//! Capacity of an engine: how fast it prefills prompts, and how long its runs take.
//!
//! Routers measure their calls, the engine's loader keeps the estimate, and its reports carry it to routers.

mod known;

pub use self::known::EngineCapacity;
pub(super) use self::known::{KnownCapacity, ServiceCapacity};

use super::{membership::TargetIncarnation, messages::RouterNotice};
use crate::ids::{BootId, Timestamp};
use std::{
    collections::{HashMap, VecDeque},
    net::SocketAddr,
    time::Duration,
};

/// Steps of a prefill rate in messages, per token a millisecond: 1/16 is 0.2% of the rate of the engines in use.
pub const RATE_STEPS: f64 = 16.0;
/// Shortest prompt in tokens whose time to the first byte is a sample. It takes some 8 ms to prefill; for a shorter
/// prompt, the time shows the engine's step and the network instead.
pub const MIN_SAMPLE_TOKENS: u32 = 256;
/// Period in which the largest sample counts. In 2 s an engine in use answers some twenty calls, so that at least one
/// prompt was not queued behind another.
const SAMPLE_WINDOW: Duration = Duration::from_secs(2);
/// Maximum of samples kept; beyond it the oldest is dropped. Sixty notices with a sample suffice to find one prompt that
/// was not queued.
const SAMPLE_LIMIT: usize = 64;
/// Prefill samples in the window without which an estimate neither begins nor falls: one or two answers may be slow for
/// a reason of their own, such as a long prompt before theirs.
const MIN_FALL_SAMPLES: usize = 3;
/// Share of the estimate below which the largest sample lowers it. All samples are lower bounds and scatter by the
/// queue and the step that they met, so a smaller difference is no sign of a slower engine. Routers use capacity only
/// where engines differ by a fifth.
const FALL_SHARE: f64 = 0.8;
/// Period of continuous prefill that makes a throughput sample. It is twice the longest interval between a router's
/// notices (0.8 s), so that most tokens of the period are reported within it.
const BUSY_PERIOD: Duration = Duration::from_millis(1_600);
/// Longest time from the send of a call to the notice that reports it: the minimum gap between notices (100 ms) and the
/// time of a datagram.
const NOTICE_DELAY: Duration = Duration::from_millis(120);
/// Age after which started tokens no longer count as unread. Their call was cancelled, or the notice of its answer was
/// lost: a call waits for its first byte for about 1.5 s at most.
const UNREAD_TTL: Duration = Duration::from_secs(2);
/// Maximum of notices whose started tokens are kept apart; further ones are added to the last.
const UNREAD_LIMIT: usize = 64;
/// Maximum of routers whose last notice is remembered; beyond it, the tokens of further routers are no throughput
/// sample, which loses accuracy only.
const ROUTER_LIMIT: usize = 1_024;
/// Gap between steps of the loader above which it was suspended. Its steps are at most 0.1 s apart.
const SUSPENSION_GAP: Duration = Duration::from_secs(1);
/// Time after a suspension in which notices are no samples. A notice covers the 0.8 s before it, and may have waited in
/// the socket.
const RESUME_TIME: Duration = Duration::from_secs(1);
/// Weight of a run in the mean run time: an engine completes 10 to 50 runs a second, long and short ones.
const RUN_WEIGHT: f64 = 0.05;
/// Relative change of the prefill rate that is logged.
const LOGGED_CHANGE: f64 = 0.25;

/// A router's measurements of its calls at an engine, since its last notice to the engine's loader.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct CallSamples {
    /// Prompt tokens of the calls for adapters whose first byte arrived.
    pub answered_tokens: u32,
    /// Highest ratio of prompt tokens to the time to the first byte, in 1/16 token a millisecond.
    pub best_prefill: u16,
    /// Runs that ended.
    pub ended_runs: u16,
    /// Sum in ms of the times of those runs.
    pub ended_ms: u32,
}

impl CallSamples {
    /// Adds a call whose first byte arrived `time` after it was sent.
    pub fn record_answer(&mut self, tokens: u32, time: Duration) {
        let millis = time.as_secs_f64() * 1_000.0;
        if tokens >= MIN_SAMPLE_TOKENS && millis > 0.0 {
            let rate = encode_rate(f64::from(tokens) / millis);
            self.best_prefill = self.best_prefill.max(rate);
        }
    }

    /// Adds prompt tokens that were reported to the loader as started and are now answered.
    pub fn record_answered_tokens(&mut self, tokens: u32) {
        self.answered_tokens = self.answered_tokens.saturating_add(tokens);
    }

    /// Adds a run that ended `time` after its call was sent.
    pub fn record_run(&mut self, time: Duration) {
        let millis = u32::try_from(time.as_millis()).unwrap_or(u32::MAX);
        self.ended_runs = self.ended_runs.saturating_add(1);
        self.ended_ms = self.ended_ms.saturating_add(millis);
    }
}

/// Encodes a rate in tokens a millisecond for messages.
pub fn encode_rate(tokens_per_ms: f64) -> u16 {
    (tokens_per_ms * RATE_STEPS).round().clamp(0.0, f64::from(u16::MAX)) as u16
}

/// Kind of a sample of a prefill rate.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum SampleKind {
    /// A prompt's tokens over the time to its first byte.
    FirstByte,
    /// Tokens of all prompts answered over a period in which the engine was prefilling.
    Throughput,
}

/// A lower bound of the prefill rate.
#[derive(Clone, Copy, Debug)]
struct RateSample {
    at: Timestamp,
    rate: f64,
    kind: SampleKind,
}

/// A change of an estimate that is worth a log line.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CapacityChange {
    /// Rate in tokens a millisecond that was logged last; 0 if none was.
    pub old: f64,
    /// Current rate in tokens a millisecond.
    pub new: f64,
    /// Kind of the sample that decided.
    pub kind: SampleKind,
    /// Age of that sample.
    pub age: Duration,
}

/// Estimate of an engine's capacity, kept by its loader for one incarnation of the engine.
#[derive(Debug, Default)]
pub struct CapacityEstimate {
    samples: VecDeque<RateSample>,
    rate: Option<f64>,
    logged_rate: f64,
    change: Option<CapacityChange>,
    run_ms: Option<f64>,
    throughput: ThroughputMeter,
    last_step: Option<Timestamp>,
    resumed: Option<Timestamp>,
}

impl CapacityEstimate {
    /// Prefill rate in tokens a millisecond; `None` before enough samples.
    pub fn tokens_per_ms(&self) -> Option<f64> {
        self.rate
    }

    /// Prefill rate as in reports; 0 if unknown.
    pub fn prefill_rate(&self) -> u16 {
        self.rate.map_or(0, encode_rate)
    }

    /// Mean time of a run in milliseconds, as in reports; 0 if unknown.
    pub fn run_ms(&self) -> u16 {
        self.run_ms.map_or(0, |mean| mean.round().clamp(1.0, f64::from(u16::MAX)) as u16)
    }

    /// Notes a step of the loader. A long gap since the last one means that the process was suspended: samples from
    /// before then are dropped, and the estimate stays.
    pub fn note_step(&mut self, now: Timestamp) {
        let last = self.last_step.replace(now);
        if last.is_some_and(|last| now.saturating_sub(last) > SUSPENSION_GAP) {
            self.resumed = Some(now);
            self.samples.clear();
            self.throughput = ThroughputMeter::default();
        }
    }

    /// Forgets everything about the engine, which has restarted.
    pub fn begin_incarnation(&mut self) {
        let (last_step, resumed) = (self.last_step, self.resumed);
        *self = Self { last_step, resumed, ..Self::default() };
    }

    /// Adds the samples of a router's notice, if it is about `incarnation`, the engine's current one, and does not date
    /// from before a suspension of this loader.
    pub fn take_notice(
        &mut self,
        router: SocketAddr,
        notice: &RouterNotice,
        incarnation: Option<&TargetIncarnation>,
        now: Timestamp,
    ) {
        self.note_step(now);
        let is_current = incarnation.is_some_and(|known| known.may_equal(&notice.incarnation));
        let is_old = self.resumed.is_some_and(|at| now.saturating_sub(at) < RESUME_TIME);
        if !is_current || is_old {
            return;
        }
        if notice.ended_runs > 0 {
            self.add_runs(notice.ended_runs, notice.ended_ms);
        }
        let throughput = self.throughput.take_notice(router, notice, now);
        if let Some(rate) = throughput {
            self.add_sample(RateSample { at: now, rate, kind: SampleKind::Throughput });
        }
        if notice.best_prefill > 0 {
            let rate = f64::from(notice.best_prefill) / RATE_STEPS;
            self.add_sample(RateSample { at: now, rate, kind: SampleKind::FirstByte });
        }
        if throughput.is_some() || notice.best_prefill > 0 {
            self.update(now);
        }
    }

    /// The last change of the rate by more than a quarter, once.
    pub fn take_change(&mut self) -> Option<CapacityChange> {
        self.change.take()
    }

    fn add_runs(&mut self, runs: u16, total_ms: u32) {
        let mean = f64::from(total_ms) / f64::from(runs);
        let weight = 1.0 - (1.0 - RUN_WEIGHT).powi(i32::from(runs));
        let known = self.run_ms.unwrap_or(mean);
        self.run_ms = Some(known + weight * (mean - known));
    }

    fn add_sample(&mut self, sample: RateSample) {
        if self.samples.len() >= SAMPLE_LIMIT {
            self.samples.pop_front();
        }
        self.samples.push_back(sample);
    }

    /// Sets the rate to the largest sample in the window. A throughput sample alone never lowers it: tokens are
    /// reported as answered some time after they were, so an engine may seem to prefill while it is idle.
    fn update(&mut self, now: Timestamp) {
        self.samples.retain(|sample| now.saturating_sub(sample.at) < SAMPLE_WINDOW);
        let best = self.samples.iter().max_by(|a, b| a.rate.total_cmp(&b.rate));
        let Some(best) = best.copied() else { return };
        let first_bytes =
            self.samples.iter().filter(|sample| sample.kind == SampleKind::FirstByte).count();
        let is_sure = first_bytes >= MIN_FALL_SAMPLES;
        let is_changed = match self.rate {
            None => is_sure,
            Some(rate) => best.rate > rate || (is_sure && best.rate < rate * FALL_SHARE),
        };
        if !is_changed {
            return;
        }
        self.rate = Some(best.rate);
        if (best.rate - self.logged_rate).abs() > self.logged_rate * LOGGED_CHANGE {
            let (old, new) = (self.logged_rate, best.rate);
            let age = now.saturating_sub(best.at);
            self.change = Some(CapacityChange { old, new, kind: best.kind, age });
            self.logged_rate = new;
        }
    }
}

/// Measures the tokens that are answered while prompts are unread.
#[derive(Debug, Default)]
struct ThroughputMeter {
    /// Started tokens that are not reported as answered, by the time of their notice.
    unread: VecDeque<(Timestamp, u32)>,
    /// Start of the current period, in which there always were unread tokens.
    began: Option<Timestamp>,
    answered: u64,
    /// Last notice of each router.
    heard: HashMap<SocketAddr, (BootId, Timestamp)>,
}

impl ThroughputMeter {
    /// Adds a notice; returns a sample in tokens a millisecond if a period has ended.
    fn take_notice(
        &mut self,
        router: SocketAddr,
        notice: &RouterNotice,
        now: Timestamp,
    ) -> Option<f64> {
        let previous = self.note_router(router, notice.boot, now);
        self.expire(now);
        let started = notice.uses.iter().map(|used| used.started_tokens);
        self.start(started.fold(0, u32::saturating_add), now);
        if let Some(began) = self.began
            && previous.is_some_and(|previous| previous >= began)
        {
            // Tokens of a notice that covers time before the period may have been answered before it.
            self.answered += u64::from(notice.answered_tokens);
        }
        self.answer(notice.answered_tokens);
        let began = self.began?;
        if self.unread.is_empty() {
            self.began = None;
            return None;
        }
        let period = now.saturating_sub(began);
        if period < BUSY_PERIOD {
            return None;
        }
        let answered = std::mem::take(&mut self.answered);
        self.began = Some(now);
        let millis = (period + NOTICE_DELAY).as_secs_f64() * 1_000.0;
        (answered > 0).then(|| answered as f64 / millis)
    }

    /// Remembers a router's notice; returns when the one before it from the same start of the router came.
    fn note_router(
        &mut self,
        router: SocketAddr,
        boot: BootId,
        now: Timestamp,
    ) -> Option<Timestamp> {
        if self.heard.len() >= ROUTER_LIMIT {
            self.heard.retain(|_, (_, at)| now.saturating_sub(*at) < UNREAD_TTL);
        }
        if self.heard.len() >= ROUTER_LIMIT && !self.heard.contains_key(&router) {
            return None;
        }
        let previous = self.heard.insert(router, (boot, now));
        previous.filter(|(known, _)| *known == boot).map(|(_, at)| at)
    }

    fn expire(&mut self, now: Timestamp) {
        while self.unread.front().is_some_and(|(at, _)| now.saturating_sub(*at) >= UNREAD_TTL) {
            self.unread.pop_front();
        }
        if self.unread.is_empty() {
            self.began = None;
        }
    }

    fn start(&mut self, tokens: u32, now: Timestamp) {
        if tokens == 0 {
            return;
        }
        if self.began.is_none() {
            (self.began, self.answered) = (Some(now), 0);
        }
        let is_full = self.unread.len() >= UNREAD_LIMIT;
        match self.unread.back_mut() {
            Some((_, last)) if is_full => {
                *last = last.saturating_add(tokens);
            }
            _ => self.unread.push_back((now, tokens)),
        }
    }

    fn answer(&mut self, tokens: u32) {
        let mut left = tokens;
        while left > 0
            && let Some((_, first)) = self.unread.front_mut()
        {
            let taken = left.min(*first);
            *first -= taken;
            left -= taken;
            if *first == 0 {
                self.unread.pop_front();
            }
        }
    }
}
