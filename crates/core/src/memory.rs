//! How the memory of a process is divided among what callers and targets make it hold, and which callers must give theirs
//! back.

use std::time::Duration;

/// Largest body that counts as small, in bytes. Small bodies have memory of their own, so that large ones cannot keep them
/// out.
pub const SMALL_BODY: usize = 64 << 10;
/// Parts of the memory for each kind of content. The rest is for the program, its tables and the buffers of connections.
const LARGE_BODIES: usize = 4;
const SMALL_BODIES: usize = 8;
const ANSWERS: usize = 4;
/// Part of a pool below which its room is scarce.
const SCARCE_PART: usize = 4;
/// Time without a byte after which a body gives its room back, if room is scarce.
const STALL_TIME: Duration = Duration::from_millis(500);

/// Memory for each kind of content, in bytes.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct MemoryShares {
    /// Bodies of requests above [`SMALL_BODY`].
    pub large_bodies: usize,
    /// Smaller bodies of requests.
    pub small_bodies: usize,
    /// Answers that are read completely before they are sent on.
    pub answers: usize,
}

impl MemoryShares {
    /// Shares of a process that may have this many bytes of memory.
    pub fn new(memory: usize) -> Self {
        Self {
            large_bodies: memory / LARGE_BODIES,
            small_bodies: memory / SMALL_BODIES,
            answers: memory / ANSWERS,
        }
    }
}

/// Whether so little of a pool is left that slow callers must give their room back.
pub fn is_scarce(left: usize, total: usize) -> bool {
    left < total / SCARCE_PART
}

/// How far a body has arrived that must be complete within a time limit.
#[derive(Clone, Copy, Debug)]
pub struct BodyArrival {
    /// Bytes that have arrived.
    pub received: usize,
    /// Bytes for which it holds room.
    pub room: usize,
    /// Time since it got its room.
    pub age: Duration,
    /// Time since the last byte.
    pub pause: Duration,
}

impl BodyArrival {
    /// Whether the body has stalled, or arrives so slowly that it cannot fill its room within `limit`.
    pub fn is_too_slow(&self, limit: Duration) -> bool {
        let filled = self.received as f64 / self.room.max(1) as f64;
        let passed = self.age.saturating_sub(STALL_TIME).as_secs_f64() / limit.as_secs_f64();
        self.pause >= STALL_TIME || filled < passed
    }
}
