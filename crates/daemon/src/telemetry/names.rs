//! Names of the metrics; docs/OPERATIONS.md describes each.

/// Ended requests, by outcome.
pub const REQUESTS: &str = "plantain_requests_total";
/// Time from a request's head to the end of its answer.
pub const REQUEST_SECONDS: &str = "plantain_request_seconds";
/// Time from a request's head to the first byte of its answer.
pub const FIRST_BYTE_SECONDS: &str = "plantain_first_byte_seconds";
/// Time that requests waited for their adapter.
pub const LOAD_STALL_SECONDS: &str = "plantain_load_stall_seconds";
/// Room that bodies of callers' requests have taken, in bytes.
pub const BODY_BYTES: &str = "plantain_body_bytes";
/// Requests in flight at an entry.
pub const IN_FLIGHT: &str = "plantain_in_flight";
/// Refused requests, by reason.
pub const REFUSALS: &str = "plantain_refusals_total";
/// Offers of requests to agents, without the first offer of each request.
pub const RETRIES: &str = "plantain_retries_total";
/// Share of the batch in use, sampled while the target runs anything.
pub const BATCH_FILL_RATIO: &str = "plantain_batch_fill_ratio";
/// Share of the batch in use now.
pub const BATCH_FILL: &str = "plantain_batch_fill";
/// Requests running at the target.
pub const RUNNING: &str = "plantain_running";
/// Requests that the agent accepted and that wait for their start.
pub const QUEUED: &str = "plantain_queued";
/// Ended loads, by result.
pub const LOADS: &str = "plantain_loads_total";
/// Duration of successful loads.
pub const LOAD_SECONDS: &str = "plantain_load_seconds";
/// Evictions ordered.
pub const EVICTIONS: &str = "plantain_evictions_total";
/// Loads of adapters that were evicted a few seconds before.
pub const THRASH: &str = "plantain_thrash_total";
/// Load permits granted by this entry.
pub const PERMITS: &str = "plantain_permits_total";
/// Requests for load permits that wait at this entry.
pub const PERMITS_WAITING: &str = "plantain_permits_waiting";
/// Revision of the configuration in force.
pub const CONFIG_REVISION: &str = "plantain_config_revision";
/// Targets known to an entry.
pub const TARGETS: &str = "plantain_targets";
/// Platform calls that failed.
pub const PLATFORM_FAILURES: &str = "plantain_platform_failures_total";
