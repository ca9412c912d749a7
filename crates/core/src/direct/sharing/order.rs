//! The tree of relays: which router of an availability zone queries which.

use crate::rendezvous::weight;
use std::{cmp::Reverse, net::SocketAddr};
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Routers of a zone that read the store at their start; the second is the standby of the first.
const FIRST_READERS: usize = 2;

/// Rank of a router in its zone; the one with the highest rank watches the store.
pub(in crate::direct) fn relay_rank(router: &SocketAddr) -> u64 {
    weight(0, &router.to_string())
}

/// A router with its [`relay_rank`].
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
struct RankedRouter {
    rank: u64,
    address: SocketAddr,
}

/// The first routers of an availability zone by rank: the watcher of the store, then the relays.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct RelayOrder {
    first: Vec<RankedRouter>,
}

impl RelayOrder {
    /// Sorts the first routers of a zone by rank.
    pub fn new(routers: impl IntoIterator<Item = SocketAddr>) -> Self {
        let ranked = |address| RankedRouter { rank: relay_rank(&address), address };
        let mut first: Vec<RankedRouter> = routers.into_iter().map(ranked).collect();
        first.sort_unstable_by_key(|router| Reverse((router.rank, router.address)));
        first.dedup();
        Self { first }
    }

    /// Whether no router is known.
    pub fn is_empty(&self) -> bool {
        self.first.is_empty()
    }

    /// The routers, highest rank first.
    pub fn routers(&self) -> impl Iterator<Item = SocketAddr> {
        self.first.iter().map(|router| router.address)
    }

    /// Position of a router among the first ones; `None` if it is neither watcher nor relay.
    pub fn position(&self, router: SocketAddr) -> Option<usize> {
        self.first.iter().position(|first| first.address == router)
    }

    /// The router from which the one at `own` reads its first state; `None` if it reads the store.
    ///
    /// A starting router knows only some of the others yet, so more than two read the store: about the logarithm of
    /// their number.
    pub fn bootstrap_upstream(&self, own: SocketAddr) -> Option<SocketAddr> {
        let is_reader = self.position(own).is_some_and(|position| position < FIRST_READERS);
        if is_reader { None } else { self.upstream(own, |_| true) }
    }

    /// The router that the one at `own` queries, among those that are usable; `None` if it must watch the store.
    ///
    /// Its rank is always higher, so that no two routers query each other.
    pub fn upstream(
        &self,
        own: SocketAddr,
        is_usable: impl Fn(&SocketAddr) -> bool,
    ) -> Option<SocketAddr> {
        let own_rank = relay_rank(&own);
        let has_higher_rank =
            |router: &&RankedRouter| router.rank > own_rank && is_usable(&router.address);
        let higher: Vec<&RankedRouter> = self.first.iter().filter(has_higher_rank).collect();
        let chosen = match &higher[..] {
            [_, relays @ ..] if !relays.is_empty() && self.position(own).is_none() => {
                let weight = |router: &&&RankedRouter| {
                    xxh3_64_with_seed(&router.rank.to_le_bytes(), own_rank)
                };
                relays.iter().max_by_key(weight)
            }
            _ => higher.first(),
        };
        chosen.map(|router| router.address)
    }
}
