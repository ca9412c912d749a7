//! Defaults of the daemon.

use std::time::Duration;

/// Largest body of a caller's request, in bytes.
pub const BODY_LIMIT: usize = 8 << 20;
/// Smallest body limit that can be set.
pub const BODY_LIMIT_FLOOR: usize = 1 << 10;
/// Largest body limit that can be set; a frame between processes must hold it.
pub const BODY_LIMIT_CEILING: usize = 12 << 20;
/// Callers' connections that an entry holds.
pub const CONNECTIONS: usize = 4_096;
/// Callers' requests that an entry works on at once.
pub const REQUESTS: usize = 2_048;
/// Time in which the body of a request must arrive.
pub const BODY_TIMEOUT: Duration = Duration::from_secs(20);
/// Bytes of a body over the limit that are read so that the caller can read its error.
pub const DISCARD_LIMIT: usize = 64 << 20;
/// Time for which such a body is read.
pub const DISCARD_TIMEOUT: Duration = Duration::from_secs(5);
/// Time for which a caller may refuse to read its answer.
pub const WRITE_TIMEOUT: Duration = Duration::from_secs(20);
/// Time for an agent to answer an offer. A frozen agent shows no other sign.
pub const OFFER_TIMEOUT: Duration = Duration::from_secs(1);
/// Time that a planned stop waits for requests in flight.
pub const DRAIN_TIMEOUT: Duration = Duration::from_mins(10);
/// Adapter slots of an engine.
pub const SLOTS: usize = 8;
/// Requests that a target runs at once.
pub const BATCH_LIMIT: u32 = 16;
/// Loads that an engine performs at once.
pub const LOAD_LIMIT: usize = 2;
/// Loads a second that an agent may order when no entry grants permits: a twelfth of the store's
/// rate, for twelve engines.
pub const LOAD_RATE: f64 = 0.3;
/// Loads a second that the weight store allows.
pub const STORE_RATE: f64 = 4.0;
/// Loads at once that the weight store serves at full speed.
pub const STORE_LOADS: usize = 3;
/// Length of an agent's lease of its slot.
pub const LEASE: Duration = Duration::from_secs(30);
/// Pause between looks at the target's health and load.
pub const POLL_PAUSE: Duration = Duration::from_millis(250);
/// Depth of the rings between duties.
pub const RING_DEPTH: usize = 1_024;
