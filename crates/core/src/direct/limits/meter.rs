//! A meter: keeps some limits for all routers, beside an engine.
//!
//! Calls under a limit come in at many routers, and at other ones from second to second, so that even shares would
//! refuse calls at one router while they lie idle at the others. Routers take what they need of one common bucket, in
//! slices, so that a call seldom waits for the trip.
//!
//! A meter keeps nothing that must last. Where it is gone, each limit has a next meter in an order that all
//! routers know alike. Two meters that both serve a limit, because some routers reach the one and some the
//! other, grant no more than the limit together: each grants the share of the routers that use it, and a router
//! says of itself which one it uses. A router that goes over to another meter takes its share of the bucket's
//! size along, but none of what the bucket holds: that may have been used.

use super::{
    LimitTag,
    bucket::TokenBucket,
    messages::{EnrolmentId, LimitGrant, MeterTag, UsageGrant, UsageReport, UsageRequest},
    meters::{first_meter, report_ttl},
};
use crate::{
    direct::{config::ConfigNumber, target_limit::LimitTable},
    ids::{BootId, Timestamp},
};
use std::{collections::HashMap, time::Duration};

/// Routers that a meter remembers.
const ROUTER_LIMIT: usize = 2_048;
/// Limits that a meter remembers.
const LIMIT_COUNT: usize = 8_192;
/// Time after which a router that is not heard of is forgotten, with what it was granted.
const ROUTER_TTL: Duration = Duration::from_secs(10);
/// Time after which a limit that nobody uses is forgotten: by then its bucket is full.
const LIMIT_TTL: Duration = Duration::from_mins(1);
/// Time in which the routers that use a limit have come over to a meter that is new to it.
const SETTLE_TIME: Duration = Duration::from_millis(500);
/// Part of what is left that a router may hold for calls to come.
const SLICE_PART: f64 = 0.1;
/// Pause between counts of the routers that use each set of meters.
const COUNT_PAUSE: Duration = Duration::from_millis(50);

#[derive(Debug)]
struct MeterRouter {
    enrolment: EnrolmentId,
    sequence: u32,
    heard: Timestamp,
    routers: u16,
    reachable: Vec<MeterTag>,
    granted: HashMap<LimitTag, u64>,
}

#[derive(Debug)]
struct MeteredLimit {
    /// Hash by which routers know this meter.
    meter: MeterTag,
    config: ConfigNumber,
    rate: f64,
    capacity: f64,
    bucket: TokenBucket,
    began: Timestamp,
    used: Timestamp,
}

/// The limits at one meter.
#[derive(Debug)]
pub struct UsageMeter {
    boot: BootId,
    enrolments: u32,
    routers: HashMap<BootId, MeterRouter>,
    limits: HashMap<LimitTag, MeteredLimit>,
    /// Routers alive, by the meters that they can reach.
    groups: Vec<(Vec<MeterTag>, usize)>,
    counted: Timestamp,
    router_count: usize,
}

impl UsageMeter {
    /// Starts knowing nobody; `boot` tells this start from others.
    pub fn new(boot: BootId) -> Self {
        Self {
            boot,
            enrolments: 0,
            routers: HashMap::new(),
            limits: HashMap::new(),
            groups: Vec::new(),
            counted: Duration::ZERO,
            router_count: 1,
        }
    }

    /// Takes a report; `None` where an older or doubled one needs no answer.
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
        // Wants of another enrolment were counted from another beginning.
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
            router.sequence = report.sequence;
            router.heard = now;
            router.routers = report.routers;
            router.reachable.clone_from(&report.reachable);
            return true;
        }
        self.forget_routers(now);
        if self.routers.len() >= ROUTER_LIMIT {
            return false;
        }
        self.enrolments += 1;
        let router = MeterRouter {
            enrolment: self.boot ^ u64::from(self.enrolments).rotate_left(32),
            sequence: report.sequence,
            heard: now,
            routers: report.routers,
            reachable: report.reachable.clone(),
            granted: HashMap::new(),
        };
        self.routers.insert(report.boot, router);
        true
    }

    fn forget_routers(&mut self, now: Timestamp) {
        self.routers.retain(|_, router| now.saturating_sub(router.heard) < ROUTER_TTL);
        self.limits.retain(|_, limit| now.saturating_sub(limit.used) < LIMIT_TTL);
    }

    /// Refills all buckets, and counts the routers that are alive, by the meters that they can reach: a few
    /// groups, as most routers reach the same ones.
    ///
    /// Whoever was not heard for a while used its share elsewhere. A meter that stood still, or was cut off,
    /// must not grant for that time once more when its routers are back.
    fn count_routers(&mut self, now: Timestamp) {
        let passed = now.saturating_sub(self.counted);
        if passed < COUNT_PAUSE {
            return;
        }
        let ttl = report_ttl(self.router_count);
        if passed >= ttl {
            self.groups.clear();
        }
        self.refill(now);
        self.counted = now;
        let alive =
            || self.routers.values().filter(|router| now.saturating_sub(router.heard) < ttl);
        let mut groups: HashMap<&[MeterTag], usize> = HashMap::new();
        for router in alive() {
            *groups.entry(&router.reachable).or_default() += 1;
        }
        let told = alive().map(|router| usize::from(router.routers)).max();
        self.router_count = told.unwrap_or(1).max(groups.values().sum());
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
        if !self.limits.contains_key(&request.tag) && self.limits.len() >= LIMIT_COUNT {
            return None;
        }
        let router = self.routers.get_mut(&report.boot)?;
        let limit = self.limits.entry(request.tag).or_insert_with(|| {
            // Where calls used the limit lately, another meter granted that, or an earlier start of this one.
            let level = if request.is_quiet { f64::from(request.capacity) * share } else { 0.0 };
            MeteredLimit {
                meter: report.meter,
                config: 0,
                rate: 0.0,
                capacity: 0.0,
                bucket: TokenBucket::new(level, now),
                began: now,
                used: now,
            }
        });
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
        let open = request.wanted.saturating_sub(*granted);
        let most = left + f64::from(request.overdraft);
        if is_enrolled && left > 0.0 && f64::from(request.first) <= most {
            // What routers hold for calls to come serves small calls only, as a large one fits into no slice.
            // So the less there is, the less of it is given out for that.
            let needed = (open as f64).min(f64::from(request.needed));
            let slice = (open as f64 - needed).min(SLICE_PART * (left - needed).max(0.0));
            let units = needed.min(most).floor() + slice.floor();
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

/// Part of all routers that use a meter for a limit.
fn share(groups: &[(Vec<MeterTag>, usize)], routers: usize, meter: MeterTag, tag: LimitTag) -> f64 {
    let using = groups.iter().filter(|(meters, _)| first_meter(tag, meters) == Some(meter));
    let using: usize = using.map(|(_, count)| count).sum();
    using as f64 / routers.max(1) as f64
}
