//! Software versions of the targets, as far as resumed streams depend on them.

use super::{
    super::{
        config::{RouteConfig, RouteRule, ServiceShare},
        streams::{
            SoftwareTag,
            claims::CLAIM_LIMIT,
            history::{GAP_LIMIT, ServiceVersions, SingleVersion},
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

/// Time for which a stream of a route without a limit may live.
pub(super) const DEFAULT_LIFE: Duration = DEFAULT_LIMIT.saturating_mul(LIMITS_PER_STREAM);

/// Time for which a stream of the route may live.
fn stream_life(route: &RouteRule) -> Duration {
    route.time_limit.map_or(DEFAULT_LIFE, |limit| limit * LIMITS_PER_STREAM)
}

/// The versions of the services of a route, as far as they are known.
enum RouteVersions<'a> {
    /// One, of the only service.
    Single { service: &'a ServiceName, single: SingleVersion<'a> },
    /// Several, or several services.
    Several,
    /// Not known.
    Unclear,
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
        self.software.has_unsettled(service, now)
    }

    /// The version at which any stream of the route that still lives must have begun, if that is certain: its service has
    /// had no other version, and the route no other service, for as long as a stream may live.
    pub fn only_software(
        &self,
        route: &RouteRule,
        now: Timestamp,
    ) -> Option<(ServiceName, SoftwareVersion)> {
        let RouteVersions::Single { service, single } = self.route_versions(route, now) else {
            return None;
        };
        let is_certain = self.single_time(route, service, &single, now) >= stream_life(route);
        is_certain.then(|| (Arc::clone(service), Arc::clone(single.software)))
    }

    /// Whether the services of a route are known to have several versions now.
    pub fn has_several_versions(&self, route: &RouteRule, now: Timestamp) -> bool {
        matches!(self.route_versions(route, now), RouteVersions::Several)
    }

    fn route_versions<'a>(&'a self, route: &'a RouteRule, now: Timestamp) -> RouteVersions<'a> {
        let [ServiceShare { service, .. }] = &*route.shares else { return RouteVersions::Several };
        match self.software.versions(service, now) {
            ServiceVersions::Single(single) => RouteVersions::Single { service, single },
            ServiceVersions::Several => RouteVersions::Several,
            ServiceVersions::Unclear => RouteVersions::Unclear,
        }
    }

    /// For how long the route has had this service and version alone.
    fn single_time(
        &self,
        route: &RouteRule,
        service: &str,
        single: &SingleVersion<'_>,
        now: Timestamp,
    ) -> Duration {
        let tag = route_tag(&route.host, &route.prefix);
        match self.rerouted.get(&tag) {
            Some(rerouted) => now.saturating_sub(single.since.max(*rerouted)),
            None => self.inherited.single_time(tag, service, single, self.software.since(), now),
        }
    }

    /// What this router knows of the versions of routes with resumable streams, for others that start.
    pub fn route_claims(&self, now: Timestamp) -> Vec<RouteClaim> {
        let streams = self.config.routes().filter(|route| route.kind.is_resumable());
        let claims = streams.filter_map(|route| self.route_claim(route, now));
        let mut claims: Vec<RouteClaim> = claims.collect();
        claims.sort_unstable_by_key(RouteClaim::route);
        claims.truncate(CLAIM_LIMIT);
        claims
    }

    fn route_claim(&self, route: &RouteRule, now: Timestamp) -> Option<RouteClaim> {
        let tag = route_tag(&route.host, &route.prefix);
        match self.route_versions(route, now) {
            RouteVersions::Several => Some(RouteClaim::new(tag, None)),
            RouteVersions::Unclear => None,
            RouteVersions::Single { service, single } => {
                let time = self.single_time(route, service, &single, now);
                let had_others =
                    self.rerouted.contains_key(&tag) || Some(single.since) != self.software.since();
                let claim = RouteClaim::new(tag, Some(software_tag(service, single.software)));
                Some(claim.with_others(had_others).with_times(time, Duration::ZERO))
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
        self.software.expire(self.longest_life * 2, now);
        self.rerouted.retain(|_, at| now.saturating_sub(*at) <= self.longest_life);
    }

    /// Records the routes whose resumable streams a new configuration sends to other services, and how long any stream may
    /// live.
    pub(super) fn note_routes(&mut self, config: &RouteConfig) {
        let lives = config.routes().map(|route| stream_life(route));
        self.longest_life = lives.max().unwrap_or_default().max(DEFAULT_LIFE);
        // Not earlier than now: the list is observed at shorter intervals.
        let latest = self.software.observed() + GAP_LIMIT;
        for route in config.routes().filter(|route| route.kind.is_resumable()) {
            let known = self.config.find(&route.host, &route.prefix);
            let is_same = known
                .is_some_and(|known| known.prefix == route.prefix && known.shares == route.shares);
            if !is_same && self.config.number > 0 {
                self.rerouted.insert(route_tag(&route.host, &route.prefix), latest);
            }
        }
    }
}
