//! Software versions of the targets, as far as resumed streams depend on them.

use super::{
    super::{
        config::{CallKind, RouteConfig, RouteRule},
        streams::{
            SoftwareTag,
            claims::CLAIM_LIMIT,
            history::{GAP_LIMIT, ServiceVersions},
            messages::RouteClaim,
            route_tag, software_tag,
        },
        target::TargetState,
    },
    TargetPool,
};
use crate::ids::{ServiceName, SoftwareVersion, Timestamp};
use std::{sync::Arc, time::Duration};

/// Longest time of a call on a route that sets no limit.
const DEFAULT_LIMIT: Duration = Duration::from_secs(30);
/// Time limits of its route that a stream may take, from the beginning to its last resumption: that of the first call, and
/// that of the call that resumes it.
const LIMITS_PER_STREAM: u32 = 2;

/// Whether the route's streams may be resumed.
fn is_resumable(route: &RouteRule) -> bool {
    matches!(route.kind, CallKind::Stream { resumable: true })
}

/// Which targets of a software version there are.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum VersionPresence {
    /// At least one takes calls, or will again.
    Serving,
    /// There is none, or all are draining.
    Gone,
    /// The list of targets is not known well enough to say.
    Unclear,
}

impl TargetPool {
    /// Whether the version of a target's software is known to all routers that follow the list.
    pub fn has_settled_software(&self, target: &TargetState, now: Timestamp) -> bool {
        let software = target.entry.software.as_ref();
        software
            .is_some_and(|software| self.software.is_settled(&target.entry.service, software, now))
    }

    /// Whether a service has a version that not all routers may know yet.
    pub fn has_unsettled_software(&self, service: &str, now: Timestamp) -> bool {
        !self.software.are_all_settled(service, now)
    }

    /// The version at which any stream of the route that still lives must have begun, if that is certain: its service has
    /// had no other version, and the route no other service, for as long as a stream may live.
    pub fn only_software(
        &self,
        route: &RouteRule,
        now: Timestamp,
    ) -> Option<(ServiceName, SoftwareVersion)> {
        let [share] = &*route.shares else { return None };
        let window = route.time_limit.unwrap_or(DEFAULT_LIMIT) * LIMITS_PER_STREAM;
        let (software, time) = self.single_software(route, now)?;
        (time >= window).then(|| (Arc::clone(&share.service), Arc::clone(software)))
    }

    /// Whether the services of a route are known to have several versions now.
    pub fn has_several_versions(&self, route: &RouteRule, now: Timestamp) -> bool {
        let [share] = &*route.shares else { return true };
        self.software.versions(&share.service, now) == ServiceVersions::Several
    }

    /// The only version of a route's only service, and for how long it has had no other.
    fn single_software(
        &self,
        route: &RouteRule,
        now: Timestamp,
    ) -> Option<(&SoftwareVersion, Duration)> {
        let [share] = &*route.shares else { return None };
        let ServiceVersions::Single(single) = self.software.versions(&share.service, now) else {
            return None;
        };
        let tag = route_tag(&route.host, &route.prefix);
        let followed = self.software.since();
        let time = match self.rerouted.get(&tag) {
            Some(rerouted) => now.saturating_sub(single.since.max(*rerouted)),
            None => self.inherited.single_time(tag, &share.service, &single, followed, now),
        };
        Some((single.software, time))
    }

    /// What this router knows of the versions of routes with resumable streams, for others that start.
    pub fn route_claims(&self, now: Timestamp) -> Vec<RouteClaim> {
        let streams = self.config.routes().filter(|route| is_resumable(route));
        let claims = streams.filter_map(|route| self.route_claim(route, now));
        let mut claims: Vec<RouteClaim> = claims.collect();
        claims.sort_unstable_by_key(RouteClaim::route);
        claims.truncate(CLAIM_LIMIT);
        claims
    }

    fn route_claim(&self, route: &RouteRule, now: Timestamp) -> Option<RouteClaim> {
        let tag = route_tag(&route.host, &route.prefix);
        let [share] = &*route.shares else { return Some(RouteClaim::new(tag, None)) };
        match self.software.versions(&share.service, now) {
            ServiceVersions::Several => Some(RouteClaim::new(tag, None)),
            ServiceVersions::Unclear => None,
            ServiceVersions::Single(single) => {
                let (software, time) = self.single_software(route, now)?;
                let software = software_tag(&share.service, software);
                let had_others =
                    self.rerouted.contains_key(&tag) || Some(single.since) != self.software.since();
                let claim = RouteClaim::new(tag, Some(software)).with_others(had_others);
                Some(claim.with_times(time, Duration::ZERO))
            }
        }
    }

    /// Takes over what other routers claimed of routes before this one followed the list.
    pub fn inherit_claims(&mut self, claims: &[RouteClaim], now: Timestamp) {
        self.inherited.take(claims, self.software.since(), now);
    }

    /// The service and version with this tag, among the services of a route.
    pub fn software_of(
        &self,
        route: &RouteRule,
        tag: SoftwareTag,
    ) -> Option<(ServiceName, SoftwareVersion)> {
        let services = route.shares.iter().map(|share| &share.service);
        let targets = services.flat_map(|service| self.service_targets(service));
        let mut versions = targets
            .filter_map(|target| Some((&target.entry.service, target.entry.software.as_ref()?)));
        let found = versions.find(|(service, software)| software_tag(service, software) == tag);
        found.map(|(service, software)| (Arc::clone(service), Arc::clone(software)))
    }

    /// Whether targets of a version serve.
    pub fn version_presence(&self, service: &str, software: &str) -> VersionPresence {
        let mut targets = self.service_targets(service);
        let is_serving = targets.any(|target| {
            target.entry.software.as_deref() == Some(software)
                && !target.is_draining()
                && !target.has_ended()
        });
        if is_serving {
            VersionPresence::Serving
        } else if self.is_list_current() {
            VersionPresence::Gone
        } else {
            VersionPresence::Unclear
        }
    }

    /// Whether a list of targets was read and is followed.
    pub fn is_list_current(&self) -> bool {
        self.is_listed && !self.list.is_store_lost()
    }

    pub(super) fn observe_software(&mut self, now: Timestamp) {
        let is_followed = self.is_list_current();
        self.software.observe(self.list.entries(), is_followed, now);
        let longest = self.config.routes().filter_map(|route| route.time_limit).max();
        let window = longest.unwrap_or_default().max(DEFAULT_LIMIT) * LIMITS_PER_STREAM;
        self.software.expire(window * 2, now);
        self.rerouted.retain(|_, at| now.saturating_sub(*at) <= window);
    }

    /// Records the routes of streams whose services a new configuration changes.
    pub(super) fn note_rerouted(&mut self, config: &RouteConfig) {
        // Not earlier than now: the list is observed at shorter intervals.
        let latest = self.software.observed() + GAP_LIMIT;
        let streams = config.routes().filter(|route| matches!(route.kind, CallKind::Stream { .. }));
        for route in streams {
            let known = self.config.find(&route.host, &route.prefix);
            let is_same = known
                .is_some_and(|known| known.prefix == route.prefix && known.shares == route.shares);
            if !is_same && self.config.number > 0 {
                self.rerouted.insert(route_tag(&route.host, &route.prefix), latest);
            }
        }
    }
}
