//! Where a router hears what the store tells: from the store, or from another router of its zone.

use super::order::RelayOrder;
use crate::ids::Timestamp;
use std::{collections::HashMap, net::SocketAddr, time::Duration};

/// Times in a row that an upstream says that it does not follow the store before it is left. With the pause
/// between questions it also keeps a router from a watch that is begun just as the store drops its history, and
/// that would hear nothing until its wait ends.
const DENIALS: u32 = 2;
/// Time for which an upstream that was left is not asked; one that has ended is not named any more after it.
const AVOID_TIME: Duration = Duration::from_secs(3);
/// Part of the time in which a draining target must get no more calls for which others rely on a watcher that
/// has no word of the store. The store may fall silent to one router and serve the rest: its connections stay
/// open, and its own watches take seconds to run out.
const WATCHER_FRESH_SHARE: f64 = 0.75;
/// The same for what a relay knows. It is longer, so that the relays have found another watcher before all
/// those behind them ask the store. What is left of the time is for that question.
const RELAY_FRESH_SHARE: f64 = 0.85;
/// The same for what a router behind the relays knows.
const LAST_FRESH_SHARE: f64 = 0.92;
/// Part of that time, from the first list on, after which a router at the head of the line watches.
const HEAD_SETTLE_SHARE: f64 = 0.15;
/// The same for a router that is not at the head, or that nobody has told of others.
const SETTLE_SHARE: f64 = 0.5;

/// Where a router hears what the store tells.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum StoreSource {
    /// It has just started, and does not know yet which routers there are.
    Undecided,
    /// From the store itself.
    Store,
    /// From another router of its availability zone.
    Router,
}

impl StoreSource {
    /// How old what a router of this source knows may be for others to rely on it.
    pub fn max_staleness(self, drain_time: Duration) -> Duration {
        let share = match self {
            Self::Router => RELAY_FRESH_SHARE,
            Self::Store | Self::Undecided => WATCHER_FRESH_SHARE,
        };
        drain_time.mul_f64(share)
    }
}

/// What an upstream replies.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum UpstreamReply {
    /// Changes.
    Changes,
    /// It does not follow the store.
    Denied,
    /// What it knows is too old to be relied on.
    Stale,
    /// Nothing.
    Silent,
}

/// What a router knows as it looks where to hear from.
#[derive(Clone, Copy, Debug)]
pub struct SourceView<'a> {
    /// The first routers of its zone.
    pub order: &'a RelayOrder,
    /// Whether it has read the configuration and the list.
    pub is_listed: bool,
    /// Up to when it knows all changes.
    pub heard_at: Timestamp,
    /// Time from the start of a target's draining to the last call that may reach it.
    pub drain_time: Duration,
}

/// One router's choice.
#[derive(Debug)]
pub struct SourceMachine {
    own: SocketAddr,
    source: StoreSource,
    /// Routers that are not asked until then.
    avoided: HashMap<SocketAddr, Timestamp>,
    /// Denials in a row.
    denials: u32,
    /// When the first list was there.
    listed_at: Option<Timestamp>,
}

impl SourceMachine {
    /// Starts undecided, at the router that others reach at `own`.
    pub fn new(own: SocketAddr) -> Self {
        let (source, avoided) = (StoreSource::Undecided, HashMap::new());
        Self { own, source, avoided, denials: 0, listed_at: None }
    }

    /// Where the router hears from.
    pub fn source(&self) -> StoreSource {
        self.source
    }

    /// Turns to the store if that is due, and says why.
    pub fn update(&mut self, view: &SourceView<'_>, now: Timestamp) -> Option<&'static str> {
        self.avoided.retain(|_, until| now < *until);
        if view.is_listed {
            self.listed_at.get_or_insert(now);
        }
        let reason = self.reason_to_leave(view, now)?;
        self.source = StoreSource::Store;
        Some(reason)
    }

    /// The router to ask now, if there is one.
    pub fn upstream(&self, order: &RelayOrder) -> Option<SocketAddr> {
        self.listed_at?;
        order.upstream(self.own, |router| !self.avoided.contains_key(router))
    }

    /// Applies an upstream's reply; returns whether it is left for a while.
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
                if self.denials < DENIALS || self.source == StoreSource::Undecided {
                    return false;
                }
            }
            UpstreamReply::Stale | UpstreamReply::Silent => {}
        }
        self.denials = 0;
        self.avoided.insert(upstream, now + AVOID_TIME);
        true
    }

    fn reason_to_leave(&self, view: &SourceView<'_>, now: Timestamp) -> Option<&'static str> {
        let is_head = !view.order.is_empty() && self.upstream(view.order).is_none();
        let is_after = |since: Timestamp, share: f64| {
            now.saturating_sub(since) >= view.drain_time.mul_f64(share)
        };
        let own_share = match view.order.position(self.own) {
            Some(_) => RELAY_FRESH_SHARE,
            None => LAST_FRESH_SHARE,
        };
        match (self.source, self.listed_at) {
            (StoreSource::Router, _) if is_head => Some("this router is at the head of the line"),
            (StoreSource::Router, _) if is_after(view.heard_at, own_share) => {
                Some("no other router has told enough")
            }
            (StoreSource::Undecided, Some(at)) if is_head && is_after(at, HEAD_SETTLE_SHARE) => {
                Some("this router is at the head of the line")
            }
            (StoreSource::Undecided, Some(at)) if is_after(at, SETTLE_SHARE) => {
                Some("no other router has told")
            }
            _ => None,
        }
    }
}
