//! A router's query of the loaders for the version at which one stream began.

use super::{REPLICAS, SoftwareTag, StreamOrigin};
use crate::ids::Timestamp;
use std::{net::IpAddr, time::Duration};

/// Pause before an unanswered loader is queried again: datagrams may be lost, and the router at which the stream began may
/// not have sent its notice yet.
const REPEAT_PAUSE: Duration = Duration::from_millis(40);
/// Time after which one record is enough, although a loader that should have another one is silent.
const AGREEMENT_WAIT: Duration = Duration::from_millis(60);
/// Time after which the query ends. A loader answers within a millisecond, but a host that has used up its CPU quota may
/// be throttled for the rest of a 100 ms period.
const QUERY_LIMIT: Duration = Duration::from_millis(250);

/// Result of a query.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum QueryResult {
    /// The stream began at this version.
    Began(SoftwareTag),
    /// No loader that may have a record has one.
    Unknown,
    /// Records name several versions.
    Ambiguous,
    /// No record was found, but a loader that may have one did not answer.
    Unanswered,
}

#[derive(Debug)]
struct QueriedLoader {
    host: IpAddr,
    origin: Option<StreamOrigin>,
    queried: Option<Timestamp>,
}

/// State of one query.
#[derive(Debug)]
pub struct OriginQuery {
    began: Timestamp,
    /// What the router itself has recorded.
    own: StreamOrigin,
    loaders: Vec<QueriedLoader>,
}

impl OriginQuery {
    /// Starts a query of the loaders on `hosts`, best first, at a router that has recorded `own`.
    pub fn new(hosts: &[IpAddr], own: StreamOrigin, now: Timestamp) -> Self {
        let loaders =
            hosts.iter().map(|host| QueriedLoader { host: *host, origin: None, queried: None });
        Self { began: now, own, loaders: loaders.collect() }
    }

    /// Hosts of the loaders to query now.
    pub fn take_due(&mut self, now: Timestamp) -> Vec<IpAddr> {
        let due = self.loaders.iter_mut().filter(|loader| {
            loader.origin.is_none()
                && loader.queried.is_none_or(|at| now.saturating_sub(at) >= REPEAT_PAUSE)
        });
        let hosts = due.map(|loader| {
            loader.queried = Some(now);
            loader.host
        });
        hosts.collect()
    }

    /// Applies a loader's answer.
    pub fn take_answer(&mut self, host: IpAddr, origin: StreamOrigin) {
        if let Some(loader) = self.loaders.iter_mut().find(|loader| loader.host == host) {
            loader.origin = Some(loader.origin.unwrap_or_default().merge(origin));
        }
    }

    /// The result, once there is one.
    pub fn result(&self, now: Timestamp) -> Option<QueryResult> {
        let answers = self.loaders.iter().filter_map(|loader| loader.origin);
        let origin = answers.fold(self.own, StreamOrigin::merge);
        let age = now.saturating_sub(self.began);
        let have_best = self.loaders.iter().take(REPLICAS).all(|loader| loader.origin.is_some());
        let have_all = self.loaders.iter().all(|loader| loader.origin.is_some());
        match origin {
            StreamOrigin::Ambiguous => Some(QueryResult::Ambiguous),
            StreamOrigin::Known(software) => {
                (have_best || age >= AGREEMENT_WAIT).then_some(QueryResult::Began(software))
            }
            StreamOrigin::Unknown if have_all => Some(QueryResult::Unknown),
            StreamOrigin::Unknown => (age >= QUERY_LIMIT).then_some(QueryResult::Unanswered),
        }
    }

    /// The next time after `now` at which [`Self::take_due`] or [`Self::result`] may change without an answer.
    pub fn next_step(&self, now: Timestamp) -> Timestamp {
        let repeats = self.loaders.iter().filter_map(|loader| Some(loader.queried? + REPEAT_PAUSE));
        let limits = [self.began + AGREEMENT_WAIT, self.began + QUERY_LIMIT];
        let steps = repeats.chain(limits).filter(|step| *step > now);
        steps.fold(now + REPEAT_PAUSE, Timestamp::min)
    }
}
