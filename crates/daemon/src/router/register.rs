//! The other routers that are alive, as loaders tell.

use super::constants::ROUTER_LIFE;
use plantain_core::{direct::messages::LoaderReport, ids::Timestamp};
use std::{collections::HashMap, net::SocketAddr};

/// Another router.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub(crate) struct PeerRouter {
    /// Where it answers other routers.
    pub(crate) address: SocketAddr,
    /// Whether it stands in this router's availability zone.
    pub(crate) is_near: bool,
}

/// Routers that loaders named lately.
#[derive(Debug, Default)]
pub(crate) struct RouterRegister {
    seen: HashMap<PeerRouter, Timestamp>,
    /// Most routers that a loader counted, and when.
    counted: (usize, Timestamp),
}

impl RouterRegister {
    /// Takes what a loader says; it names the routers of its own zone, and counts those of all.
    pub(crate) fn note(&mut self, report: &LoaderReport, is_near: bool, now: Timestamp) {
        let named = report.near_routers.iter();
        self.seen.extend(named.map(|address| (PeerRouter { address: *address, is_near }, now)));
        self.seen.retain(|_, seen| now.saturating_sub(*seen) < ROUTER_LIFE);
        let count = usize::from(report.router_count);
        if count >= self.counted.0 || now.saturating_sub(self.counted.1) >= ROUTER_LIFE {
            self.counted = (count, now);
        }
    }

    /// All but the router at `own`, in order.
    pub(crate) fn peers(&self, own: SocketAddr) -> Vec<PeerRouter> {
        let others = self.seen.keys().copied().filter(|peer| peer.address != own);
        let mut peers: Vec<PeerRouter> = others.collect();
        peers.sort_unstable();
        peers
    }

    /// Routers in all. In a zone without loaders nobody names the routers, but loaders elsewhere count
    /// them: shares of a common budget must not grow for that.
    pub(crate) fn count(&self, own: SocketAddr, now: Timestamp) -> usize {
        let (count, at) = self.counted;
        let counted = if now.saturating_sub(at) < ROUTER_LIFE { count } else { 0 };
        counted.max(self.peers(own).len() + 1)
    }
}
