//! Which software versions each service has had, as one router saw its list of targets.
//!
//! Where a service had one version only for as long as any stream lives, each of its streams began there, whoever
//! remembers it. A router can be certain of that only if it followed the list all the time, and if no router begins
//! streams at a version that others may not know yet.

use crate::{
    direct::membership::TargetEntry,
    ids::{ServiceName, SoftwareVersion, Timestamp},
};
use std::{collections::HashMap, sync::Arc, time::Duration};

/// Time for which a new version gets no streams that may be resumed, while targets of another version serve. A router
/// notices within 3.3 s that it no longer follows the list, as a watch of the list waits 1.8 s and its answer is awaited
/// 1.5 s longer, and a claim of it is used for [`INHERIT_LIMIT`] after that.
///
/// [`INHERIT_LIMIT`]: super::claims::INHERIT_LIMIT
pub const SETTLE_TIME: Duration = Duration::from_secs(6);
/// Longest interval between two observations of the list; after a longer one, as after a suspension of the process, changes
/// may have been missed.
pub const GAP_LIMIT: Duration = Duration::from_secs(1);

/// When entries of one version were first and last in the list.
#[derive(Clone, Copy, Debug)]
struct VersionSpan {
    first: Timestamp,
    last: Timestamp,
    /// Whether it was in the first list, and no other version was older there.
    is_founder: bool,
}

impl VersionSpan {
    fn is_settled(&self, now: Timestamp) -> bool {
        self.is_founder || now.saturating_sub(self.first) >= SETTLE_TIME
    }
}

/// The versions of one service.
#[derive(Debug, Default)]
struct ServiceHistory {
    spans: HashMap<SoftwareVersion, VersionSpan>,
    /// When an entry without a version was last in the list.
    unknown: Option<Timestamp>,
}

/// The versions of a service, as far as a router knows them.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ServiceVersions<'a> {
    /// One.
    Single(SingleVersion<'a>),
    /// Several, or one that is not known.
    Several,
    /// Not known: no target is listed, or the list is not followed.
    Unclear,
}

/// The only version of a service.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct SingleVersion<'a> {
    /// The version.
    pub software: &'a SoftwareVersion,
    /// Since when the service has had no other, as far as this router followed the list.
    pub since: Timestamp,
}

/// The versions of all services since this router follows the list without a gap.
#[derive(Debug, Default)]
pub struct SoftwareHistory {
    services: HashMap<ServiceName, ServiceHistory>,
    /// Since when the list is followed without a gap; `None` while it is not followed.
    since: Option<Timestamp>,
    observed: Timestamp,
}

impl SoftwareHistory {
    /// Records that the list is not followed, or may have been another one: what was missed is not known.
    pub fn note_gap(&mut self) {
        self.since = None;
    }

    /// When the list was last observed.
    pub fn observed(&self) -> Timestamp {
        self.observed
    }

    /// Records the entries of the list at `now`; `is_followed` is whether the list is up to date.
    pub fn observe<'a>(
        &mut self,
        entries: impl Iterator<Item = &'a Arc<TargetEntry>>,
        is_followed: bool,
        now: Timestamp,
    ) {
        if now.saturating_sub(self.observed) > GAP_LIMIT || !is_followed {
            self.since = None;
        }
        self.observed = now;
        if is_followed {
            self.since.get_or_insert(now);
        }
        let entries: Vec<&Arc<TargetEntry>> = entries.collect();
        // The entry of each new service that was listed first.
        let mut founders: HashMap<&ServiceName, &Arc<TargetEntry>> = HashMap::new();
        for entry in entries.iter().filter(|entry| !self.services.contains_key(&entry.service)) {
            let founder = founders.entry(&entry.service).or_insert(entry);
            if entry.generation < founder.generation {
                *founder = entry;
            }
        }
        for entry in &entries {
            self.note_entry(entry, now);
        }
        for founder in founders.into_values() {
            let service = self.services.get_mut(&founder.service);
            let software = founder.software.as_ref();
            if let Some(span) = service.and_then(|service| service.spans.get_mut(software?)) {
                span.is_founder = true;
            }
        }
    }

    /// Records one entry of the list.
    pub fn note_entry(&mut self, entry: &TargetEntry, now: Timestamp) {
        let service = match self.services.get_mut(&entry.service) {
            Some(service) => service,
            None => self.services.entry(Arc::clone(&entry.service)).or_default(),
        };
        let Some(software) = &entry.software else {
            service.unknown = Some(now);
            return;
        };
        if let Some(span) = service.spans.get_mut(software) {
            span.last = now;
        } else {
            let span = VersionSpan { first: now, last: now, is_founder: false };
            service.spans.insert(Arc::clone(software), span);
        }
    }

    /// Since when the list is followed without a gap; `None` while it is not followed.
    pub fn since(&self) -> Option<Timestamp> {
        self.since
    }

    /// The versions that the service has now.
    pub fn versions(&self, service: &str, now: Timestamp) -> ServiceVersions<'_> {
        let is_observed = now.saturating_sub(self.observed) <= GAP_LIMIT;
        let (Some(followed), Some(history), true) =
            (self.since, self.services.get(service), is_observed)
        else {
            return ServiceVersions::Unclear;
        };
        let is_present = |last: Timestamp| last >= self.observed;
        let (present, gone): (Vec<_>, Vec<_>) =
            history.spans.iter().partition(|(_, span)| is_present(span.last));
        if history.unknown.is_some_and(is_present) {
            return ServiceVersions::Several;
        }
        match *present {
            [] => ServiceVersions::Unclear,
            [(software, _)] => {
                let others = gone.iter().map(|(_, span)| span.last).chain(history.unknown);
                let since = others.map(|last| last + GAP_LIMIT).max().unwrap_or_default();
                let since = since.max(followed);
                ServiceVersions::Single(SingleVersion { software, since })
            }
            _ => ServiceVersions::Several,
        }
    }

    /// Whether all routers that follow the list know that the service has this version.
    pub fn is_settled(&self, service: &str, software: &str, now: Timestamp) -> bool {
        let span = self.services.get(service).and_then(|history| history.spans.get(software));
        span.is_some_and(|span| span.is_settled(now))
    }

    /// Whether the service has a version now that is not settled.
    pub fn has_unsettled(&self, service: &str, now: Timestamp) -> bool {
        let Some(history) = self.services.get(service) else { return false };
        let is_present = |last: Timestamp| last >= self.observed;
        let mut present = history.spans.values().filter(|span| is_present(span.last));
        history.unknown.is_some_and(is_present) || present.any(|span| !span.is_settled(now))
    }

    /// Forgets versions that were last in the list longer than `age` ago.
    pub fn expire(&mut self, age: Duration, now: Timestamp) {
        for history in self.services.values_mut() {
            history.spans.retain(|_, span| now.saturating_sub(span.last) <= age);
        }
    }
}
