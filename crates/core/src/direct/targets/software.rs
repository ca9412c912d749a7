//! Software versions of the targets, as far as resumed streams depend on them.

use super::{
    super::{
        config::{CallKind, RouteConfig, RouteRule},
        streams::{SoftwareTag, history::GAP_LIMIT, software_tag},
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

    /// The version at which any stream of the route that still lives must have begun, if that is certain: its service has
    /// had no other version, and the route no other service, for as long as a stream may live.
    pub fn only_software(
        &self,
        route: &RouteRule,
        now: Timestamp,
    ) -> Option<(ServiceName, SoftwareVersion)> {
        let [share] = &*route.shares else { return None };
        let window = route.time_limit.unwrap_or(DEFAULT_LIMIT) * LIMITS_PER_STREAM;
        let key = (Arc::clone(&route.host), Arc::clone(&route.prefix));
        let is_rerouted =
            self.rerouted.get(&key).is_some_and(|at| now.saturating_sub(*at) <= window);
        if is_rerouted {
            return None;
        }
        let software = self.software.only_version(&share.service, window, now)?;
        Some((Arc::clone(&share.service), Arc::clone(software)))
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
                self.rerouted.insert((Arc::clone(&route.host), Arc::clone(&route.prefix)), latest);
            }
        }
    }
}
