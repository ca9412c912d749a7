//! Where a router receives changes of the store: from the store, or from another router of its zone.

use super::order::RelayOrder;
use crate::ids::Timestamp;
use std::{collections::HashMap, net::SocketAddr, time::Duration};

/// Consecutive denials after which an upstream is dropped. Together with the pause between queries, this keeps a
/// router from starting a watch just as the store drops its history; such a watch would return nothing until its
/// timeout.
const MAX_DENIALS: u32 = 2;
/// Time for which a dropped upstream is not queried; if it has crashed, the directory no longer lists it after that.
const UPSTREAM_AVOID_TIME: Duration = Duration::from_secs(3);
/// Maximum age of a watcher's state up to which other routers rely on it, as a share of the drain time: the time after
/// which a draining target must get no more calls. The store may stop answering one router and serve the others: the
/// connections stay open, and that router's watches take seconds to time out.
const WATCHER_FRESH_SHARE: f64 = 0.75;
/// Maximum age of a relay's state as a share of the drain time. It is larger than that of a watcher's state, so that
/// the relays find another watcher before the routers that query them watch the store. The remaining time is for the
/// query to that watcher.
const RELAY_FRESH_SHARE: f64 = 0.85;
/// Maximum age of the state of a router that queries a relay, as a share of the drain time.
const LEAF_FRESH_SHARE: f64 = 0.92;
/// Share of the drain time after which an undecided router of the highest rank watches the store, counted from its
/// first list.
const FIRST_SETTLE_SHARE: f64 = 0.15;
/// Share of the drain time after which an undecided router of a lower rank, or one that knows no other routers, watches
/// the store, counted from its first list.
const SETTLE_SHARE: f64 = 0.5;

/// Where a router receives changes of the store.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum StoreSource {
    /// Not decided: it has just started and does not know the other routers yet.
    Undecided,
    /// From the store itself.
    Store,
    /// From another router of its availability zone.
    Router,
}

impl StoreSource {
    /// Maximum age of the state of a router with this source up to which others rely on it.
    pub fn max_staleness(self, drain_time: Duration) -> Duration {
        let share = match self {
            Self::Router => RELAY_FRESH_SHARE,
            Self::Store | Self::Undecided => WATCHER_FRESH_SHARE,
        };
        drain_time.mul_f64(share)
    }
}

/// An upstream's reply to a query for changes.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum UpstreamReply {
    /// Changes.
    Changes,
    /// It does not follow the store.
    Denied,
    /// Its state is too old to rely on.
    Stale,
    /// No reply.
    Silent,
}

/// A router's state on which the decision for a source depends.
#[derive(Clone, Copy, Debug)]
pub struct SourceView<'a> {
    /// The first routers of its zone.
    pub order: &'a RelayOrder,
    /// Whether it has read the configuration and the list of targets.
    pub is_listed: bool,
    /// Time up to which it has all changes.
    pub synced_at: Timestamp,
    /// Time from the start of a target's draining to the last call that may reach it.
    pub drain_time: Duration,
}

/// State machine that selects the source from which one router receives changes of the store.
#[derive(Debug)]
pub struct SourceSelector {
    own: SocketAddr,
    source: StoreSource,
    /// Dropped upstreams, and until when each is not queried.
    avoided: HashMap<SocketAddr, Timestamp>,
    /// Consecutive denials.
    denials: u32,
    /// When the first list had been read.
    listed_at: Option<Timestamp>,
}

impl SourceSelector {
    /// Starts undecided; `own` is the address at which other routers query this one.
    pub fn new(own: SocketAddr) -> Self {
        let (source, avoided) = (StoreSource::Undecided, HashMap::new());
        Self { own, source, avoided, denials: 0, listed_at: None }
    }

    /// The current source.
    pub fn source(&self) -> StoreSource {
        self.source
    }

    /// Switches to the store if that is due, and returns the reason.
    pub fn update(&mut self, view: &SourceView<'_>, now: Timestamp) -> Option<&'static str> {
        self.avoided.retain(|_, until| now < *until);
        if view.is_listed {
            self.listed_at.get_or_insert(now);
        }
        let reason = self.reason_to_watch(view, now)?;
        self.source = StoreSource::Store;
        Some(reason)
    }

    /// The router to query now; `None` before the first list, or if no usable router has a higher rank.
    pub fn upstream(&self, order: &RelayOrder) -> Option<SocketAddr> {
        self.listed_at?;
        order.upstream(self.own, |router| !self.avoided.contains_key(router))
    }

    /// Applies an upstream's reply; returns whether the upstream is dropped and avoided for a while.
    pub fn apply_reply(
        &mut self,
        upstream: SocketAddr,
        reply: UpstreamReply,
        now: Timestamp,
    ) -> bool {
        match reply {
            UpstreamReply::Changes => {
                self.denials = 0;
                self.source = StoreSource::Router;
                return false;
            }
            UpstreamReply::Denied => {
                self.denials += 1;
                if self.denials < MAX_DENIALS || self.source == StoreSource::Undecided {
                    return false;
                }
            }
            UpstreamReply::Stale | UpstreamReply::Silent => {}
        }
        self.denials = 0;
        self.avoided.insert(upstream, now + UPSTREAM_AVOID_TIME);
        true
    }

    fn reason_to_watch(&self, view: &SourceView<'_>, now: Timestamp) -> Option<&'static str> {
        let is_first = !view.order.is_empty() && self.upstream(view.order).is_none();
        let is_past = |since: Timestamp, share: f64| {
            now.saturating_sub(since) >= view.drain_time.mul_f64(share)
        };
        let own_share = match view.order.position(self.own) {
            Some(_) => RELAY_FRESH_SHARE,
            None => LEAF_FRESH_SHARE,
        };
        match (self.source, self.listed_at) {
            (StoreSource::Router, _) if is_first => Some("this router is at the head of the line"),
            (StoreSource::Router, _) if is_past(view.synced_at, own_share) => {
                Some("no other router has told enough")
            }
            (StoreSource::Undecided, Some(at)) if is_first && is_past(at, FIRST_SETTLE_SHARE) => {
                Some("this router is at the head of the line")
            }
            (StoreSource::Undecided, Some(at)) if is_past(at, SETTLE_SHARE) => {
                Some("no other router has told")
            }
            _ => None,
        }
    }
}
