//! Limits that targets state in their answers: requests a second, from all routers together.

use crate::ids::Timestamp;

/// Requests a second.
pub type RequestRate = f64;

/// What one answer says of the requests that its target takes.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum StatedLimit {
    /// As many as come.
    #[default]
    Unlimited,
    /// So many from all routers together.
    Limited(RequestRate),
    /// A limit that cannot be read.
    Unreadable,
}

/// The limit of one target, as far as it is known.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct KnownLimit {
    /// The rate; `None` if there is no limit.
    pub rate: Option<RequestRate>,
    /// The time of which that is known.
    pub as_of: Timestamp,
}

impl KnownLimit {
    /// Takes what an answer says to a request that was sent at `sent`; returns whether the limit has changed.
    ///
    /// An answer without a limit may have been under way when the limit was stated, so it ends only limits that were
    /// stated before its request was sent.
    pub fn record(&mut self, stated: StatedLimit, sent: Timestamp, now: Timestamp) -> bool {
        match stated {
            StatedLimit::Unlimited => self.merge(Self { rate: None, as_of: sent }),
            StatedLimit::Limited(rate) => self.merge(Self { rate: Some(rate), as_of: now }),
            StatedLimit::Unreadable => false,
        }
    }

    /// Takes what somebody else knows if it is newer; returns whether the limit has changed.
    pub fn merge(&mut self, other: Self) -> bool {
        if other.as_of <= self.as_of {
            return false;
        }
        self.as_of = other.as_of;
        std::mem::replace(&mut self.rate, other.rate) != other.rate
    }
}
