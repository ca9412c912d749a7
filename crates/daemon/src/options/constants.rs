//! Defaults of settings, and fixed timeouts of entries and agents.

use std::time::Duration;

/// Default limit of the body of a caller's request, in bytes.
pub const BODY_LIMIT: usize = 8 << 20;
/// Smallest body limit that can be set, in bytes.
pub const BODY_LIMIT_FLOOR: usize = 1 << 10;
/// Largest body limit that can be set, in bytes; the body must fit into one frame between processes.
pub const BODY_LIMIT_CEILING: usize = 12 << 20;
/// Default limit of callers' connections at an entry.
pub const CONNECTIONS: usize = 4_096;
/// Default limit of concurrent requests at an entry.
pub const REQUESTS: usize = 2_048;
/// Default memory of an entry, in MB.
pub const MEMORY_MB: usize = 256;
/// Least and largest memory of an entry that can be set, in MB.
pub const MEMORY_RANGE_MB: (usize, usize) = (32, 1_000_000);
/// Longest wait of a request for memory for its body.
pub const ROOM_WAIT: Duration = Duration::from_millis(250);
/// Longest wait for the body of a request.
pub const BODY_TIMEOUT: Duration = Duration::from_secs(20);
/// Bytes of a too large body that are read and discarded, so that the caller can read the error answer.
pub const DISCARD_LIMIT: usize = 64 << 20;
/// Longest time for which a too large body is read.
pub const DISCARD_TIMEOUT: Duration = Duration::from_secs(5);
/// Longest time for which a caller may read nothing of its answer.
pub const WRITE_TIMEOUT: Duration = Duration::from_secs(20);
/// Longest wait for an agent's answer to an offer. A frozen agent is detected in no other way.
pub const OFFER_TIMEOUT: Duration = Duration::from_secs(1);
/// Longest time for which a planned stop waits for requests in flight.
pub const DRAIN_TIMEOUT: Duration = Duration::from_mins(10);
/// Default number of adapter slots of an engine.
pub const SLOTS: usize = 8;
/// Default number of requests that a target runs concurrently.
pub const BATCH_LIMIT: u32 = 16;
/// Default number of loads that an engine performs concurrently.
pub const LOAD_LIMIT: usize = 2;
/// Default number of loads per second that an agent may order while no entry grants permits: about a twelfth
/// of the weight store's rate, so that twelve engines together stay below it.
pub const LOAD_RATE: f64 = 0.3;
/// Default number of loads per second that the weight store allows.
pub const STORE_RATE: f64 = 4.0;
/// Default number of concurrent loads that the weight store serves at full speed.
pub const STORE_LOADS: usize = 3;
/// Duration of an agent's lease of its slot.
pub const LEASE: Duration = Duration::from_secs(30);
/// Pause between polls of a target's health and load.
pub const POLL_PAUSE: Duration = Duration::from_millis(250);
/// Capacity of the channels between duties.
pub const CHANNEL_CAPACITY: usize = 1_024;
