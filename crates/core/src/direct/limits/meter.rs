//! A meter: central rate limiter of some limits for all routers, run by a loader.
//!
//! Calls under a limit arrive at many routers, and at different ones from second to second: with even shares, one
//! router would refuse calls while the shares of others are unused. Instead, routers take slices of one shared
//! bucket as they need them, so that few calls wait for a round trip.
//!
//! A meter persists nothing. If it fails, each limit moves to the next meter in an order that all routers compute
//! alike. Two meters may serve one limit, because some routers reach the first and some the second; together they
//! grant no more than the limit, as each grants only the share of the routers that use it, and each router reports
//! which one it uses. A router that switches to another meter moves its share of the bucket's capacity there, but
//! none of the bucket's level, as that may have been used.

use super::{
    LimitTag,
    bucket::TokenBucket,
    messages::{
        EnrolmentId, LimitGrant, LimitUse, MeterTag, START_SPAN, UsageGrant, UsageReport,
        UsageRequest,
    },
    meters::{assigned_meter, report_pause, report_ttl},
};
use crate::{
    direct::{config::ConfigNumber, target_limit::LimitTable},
    ids::{BootId, Timestamp},
};
use std::{collections::HashMap, time::Duration};

/// Maximum of routers that a meter tracks.
const MAX_ROUTERS: usize = 2_048;
/// Maximum of limits that a meter tracks.
const MAX_LIMITS: usize = 8_192;
/// Time after its last report at which a router is dropped, together with the counts of its grants.
const ROUTER_TTL: Duration = Duration::from_secs(10);
/// Time after its last use at which a limit is dropped: by then its bucket is full.
const LIMIT_TTL: Duration = Duration::from_mins(1);
/// Time within which the routers that use a limit switch to a meter that is new to it.
const SETTLE_TIME: Duration = Duration::from_millis(500);
/// Reports that each router has sent before the meter counts what the routers have used since their start: a datagram
/// may be lost.
const START_REPORTS: u32 = 2;
/// Part of the units left that one grant may add to a router's slice, beyond what waiting calls need.
const MAX_SLICE_PART: f64 = 0.1;
/// Interval of counting the routers that reach each set of meters.
const COUNT_INTERVAL: Duration = Duration::from_millis(50);

#[derive(Debug)]
struct EnrolledRouter {
    enrolment: EnrolmentId,
    sequence: u32,
    last_report: Timestamp,
    routers: u16,
    reachable: Vec<MeterTag>,
    granted: HashMap<LimitTag, u64>,
    /// When it started; `None` if it did not say, or has not listed all units that it has used since.
    started: Option<Timestamp>,
    used_elsewhere: Vec<LimitUse>,
}

impl EnrolledRouter {
    fn note(&mut self, report: &UsageReport, now: Timestamp) {
        let uptime = Duration::from_millis(u64::from(report.uptime_ms));
        self.sequence = report.sequence;
        self.last_report = now;
        self.routers = report.routers;
        self.reachable.clone_from(&report.reachable);
        // A report that was delayed gives a later start, and so a shorter time since then. Under another enrolment a
        // report does not list what an earlier start of this meter granted.
        let is_stated = report.uptime_ms > 0 && report.enrolment == self.enrolment;
        self.started = is_stated.then(|| now.saturating_sub(uptime));
        self.used_elsewhere.clone_from(&report.used_elsewhere);
    }
}

#[derive(Debug)]
struct MeteredLimit {
    /// Tag of this meter.
    meter: MeterTag,
    config: ConfigNumber,
    rate: f64,
    capacity: f64,
    bucket: TokenBucket,
    began: Timestamp,
    used: Timestamp,
    /// Whether the bucket began empty, and may still get the units that were left since the routers' start.
    is_start_open: bool,
}

/// The level that a meter gave a limit which was new to it and may have been used before.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct StartLevel {
    /// The limit.
    pub tag: LimitTag,
    /// Units that were certainly left when the meter was first asked for the limit; 0 also if that is unknown.
    pub units: f64,
    /// Time since then.
    pub age: Duration,
}

/// Limits and enrolled routers of one meter.
#[derive(Debug)]
pub struct UsageMeter {
    boot: BootId,
    enrolments: u32,
    routers: HashMap<BootId, EnrolledRouter>,
    limits: HashMap<LimitTag, MeteredLimit>,
    /// Number of live routers for each set of meters that routers can reach.
    groups: Vec<(Vec<MeterTag>, usize)>,
    counted: Timestamp,
    router_count: usize,
    /// Decisions that were not returned yet.
    start_levels: Vec<StartLevel>,
}

impl UsageMeter {
    /// Starts without routers or limits; `boot` identifies this start of the meter.
    pub fn new(boot: BootId) -> Self {
        Self {
            boot,
            enrolments: 0,
            routers: HashMap::new(),
            limits: HashMap::new(),
            groups: Vec::new(),
            counted: Duration::ZERO,
            router_count: 1,
            start_levels: Vec::new(),
        }
    }

    /// Removes and returns the levels that limits got since the last call, for logs and counters.
    pub fn take_start_levels(&mut self) -> Vec<StartLevel> {
        std::mem::take(&mut self.start_levels)
    }

    /// Applies a report and answers it; `None` for an outdated or duplicate report, or if there are too many routers.
    pub fn take(
        &mut self,
        report: &UsageReport,
        table: &LimitTable,
        now: Timestamp,
    ) -> Option<UsageGrant> {
        if !self.note_router(report, now) {
            return None;
        }
        self.count_routers(now);
        let enrolment = self.routers.get(&report.boot)?.enrolment;
        // A request under another enrolment counts its units from another start, and is not granted.
        let is_enrolled = report.enrolment == enrolment;
        let requests = report.requests.iter();
        let grants = requests.filter_map(|request| {
            let is_newest = table.is_newest(request.tag, request.rate);
            self.grant(report, request, is_enrolled, is_newest, now)
        });
        Some(UsageGrant {
            meter: report.meter,
            sequence: report.sequence,
            enrolment,
            grants: grants.collect(),
            limit_updates: table.answer(&report.limit_updates, now),
        })
    }

    fn note_router(&mut self, report: &UsageReport, now: Timestamp) -> bool {
        if let Some(router) = self.routers.get_mut(&report.boot) {
            if report.sequence <= router.sequence {
                return false;
            }
            router.note(report, now);
            return true;
        }
        self.drop_expired(now);
        if self.routers.len() >= MAX_ROUTERS {
            return false;
        }
        self.enrolments += 1;
        let mut router = EnrolledRouter {
            enrolment: self.boot ^ u64::from(self.enrolments).rotate_left(32),
            sequence: report.sequence,
            last_report: now,
            routers: report.routers,
            reachable: Vec::new(),
            granted: HashMap::new(),
            started: None,
            used_elsewhere: Vec::new(),
        };
        router.note(report, now);
        self.routers.insert(report.boot, router);
        true
    }

    fn drop_expired(&mut self, now: Timestamp) {
        self.routers.retain(|_, router| now.saturating_sub(router.last_report) < ROUTER_TTL);
        self.limits.retain(|_, limit| now.saturating_sub(limit.used) < LIMIT_TTL);
    }

    /// Refills all buckets, and counts the live routers by the set of meters that they reach. There are few such
    /// groups, as most routers reach the same meters.
    ///
    /// A router that sent no report for `ttl` has used its share elsewhere. So a meter that was frozen or partitioned
    /// must not refill for that time when its routers are back.
    fn count_routers(&mut self, now: Timestamp) {
        let passed = now.saturating_sub(self.counted);
        if passed < COUNT_INTERVAL {
            return;
        }
        let ttl = report_ttl(self.router_count);
        if passed >= ttl {
            self.groups.clear();
        }
        self.refill(now);
        self.counted = now;
        let live =
            || self.routers.values().filter(|router| now.saturating_sub(router.last_report) < ttl);
        let mut groups: HashMap<&[MeterTag], usize> = HashMap::new();
        for router in live() {
            *groups.entry(&router.reachable).or_default() += 1;
        }
        let reported = live().map(|router| usize::from(router.routers)).max();
        self.router_count = reported.unwrap_or(1).max(groups.values().sum());
        self.groups = groups.into_iter().map(|(tags, count)| (tags.to_vec(), count)).collect();
    }

    fn refill(&mut self, now: Timestamp) {
        let Self { limits, groups, router_count, .. } = self;
        for (tag, limit) in limits {
            let share = share(groups, *router_count, limit.meter, *tag);
            limit.bucket.refill(limit.rate * share, limit.capacity * share, now);
        }
    }

    fn grant(
        &mut self,
        report: &UsageReport,
        request: &UsageRequest,
        is_enrolled: bool,
        is_newest: Option<bool>,
        now: Timestamp,
    ) -> Option<LimitGrant> {
        let share = share(&self.groups, self.router_count, report.meter, request.tag);
        if !self.limits.contains_key(&request.tag) && self.limits.len() >= MAX_LIMITS {
            return None;
        }
        let limit = self.limits.entry(request.tag).or_insert_with(|| {
            // If the limit was used within the last window, another meter or an earlier start of this one has granted
            // those units.
            let level = if request.is_quiet { f64::from(request.capacity) * share } else { 0.0 };
            MeteredLimit {
                meter: report.meter,
                config: 0,
                rate: 0.0,
                capacity: 0.0,
                bucket: TokenBucket::new(level, now),
                began: now,
                used: now,
                is_start_open: !request.is_quiet,
            }
        });
        let wait = SETTLE_TIME.max(START_REPORTS * report_pause(self.router_count));
        if limit.is_start_open && now.saturating_sub(limit.began) >= wait {
            limit.is_start_open = false;
            let ttl = report_ttl(self.router_count);
            let unused = unused_since_start(&self.routers, request, limit.began, ttl, now);
            limit.bucket.add(unused * share);
            if self.start_levels.len() < MAX_LIMITS {
                let age = now.saturating_sub(limit.began);
                self.start_levels.push(StartLevel { tag: request.tag, units: unused * share, age });
            }
        }
        let router = self.routers.get_mut(&report.boot)?;
        limit.used = now;
        limit.meter = report.meter;
        if is_newest.unwrap_or(report.config >= limit.config) {
            limit.config = report.config;
            limit.rate = f64::from(request.rate);
            limit.capacity = f64::from(request.capacity);
        }
        let rate = limit.rate * share;
        let left = limit.bucket.refill(rate, limit.capacity * share, now);
        let granted = router.granted.entry(request.tag).or_default();
        let outstanding = request.wanted.saturating_sub(*granted);
        let max_grant = left + f64::from(request.overdraft);
        if is_enrolled && left > 0.0 && f64::from(request.first) <= max_grant {
            // Only small calls can use a slice, as a large call does not fit into one. So slices shrink with the
            // units left.
            let needed = (outstanding as f64).min(f64::from(request.needed));
            let slice =
                (outstanding as f64 - needed).min(MAX_SLICE_PART * (left - needed).max(0.0));
            let units = needed.min(max_grant).floor() + slice.floor();
            *granted += units as u64;
            limit.bucket.take(units);
        }
        let left = limit.bucket.level() as f32;
        Some(LimitGrant {
            tag: request.tag,
            granted: *granted,
            left,
            rate: rate as f32,
            is_settled: now.saturating_sub(limit.began) >= SETTLE_TIME,
        })
    }
}

/// Units of a limit that are certainly left at `began`, when this meter was new to it: what its rate has added since the
/// last start of a router, less what the routers have used meanwhile. Whatever was used before that start was added to
/// at least as long, so the level was not below 0 then.
///
/// 0 if one of the routers is not known, has not said when it started, or started more than [`START_SPAN`] ago: it may
/// have used units that nobody lists.
fn unused_since_start(
    routers: &HashMap<BootId, EnrolledRouter>,
    request: &UsageRequest,
    began: Timestamp,
    ttl: Duration,
    now: Timestamp,
) -> f64 {
    let is_live = |router: &&EnrolledRouter| now.saturating_sub(router.last_report) < ttl;
    let expected = routers.values().map(|router| usize::from(router.routers)).max().unwrap_or(1);
    if routers.values().filter(is_live).count() < expected {
        return 0.0;
    }
    let starts = routers.values().filter(is_live).filter_map(|router| router.started);
    let last_start = starts.max().unwrap_or(now);
    // A router that has been silent since before the last start had ended by then, or the others would count it.
    let present = || routers.values().filter(|router| router.last_report >= last_start);
    let is_listing = |router: &EnrolledRouter| {
        let age = router.started.map(|started| router.last_report.saturating_sub(started));
        age.is_some_and(|age| age < START_SPAN)
    };
    if !present().all(is_listing) {
        return 0.0;
    }
    let listed = present().flat_map(|router| &router.used_elsewhere);
    let used: f64 =
        listed.filter(|limit| limit.tag == request.tag).map(|limit| f64::from(limit.units)).sum();
    let added = f64::from(request.rate) * began.saturating_sub(last_start).as_secs_f64();
    (added.min(f64::from(request.capacity)) - used).max(0.0)
}

/// Share of all routers that use a meter for a limit.
fn share(groups: &[(Vec<MeterTag>, usize)], routers: usize, meter: MeterTag, tag: LimitTag) -> f64 {
    let using = groups.iter().filter(|(meters, _)| assigned_meter(tag, meters) == Some(meter));
    let using: usize = using.map(|(_, count)| count).sum();
    using as f64 / routers.max(1) as f64
}
