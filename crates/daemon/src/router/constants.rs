//! Limits, timeouts and intervals of the router, with the reasons for their values.

use plantain_net::exchange::HEAD_LIMIT;
use std::time::Duration;

/// Timeout for a connection to a target: round trips take at most a few ms and the handshake 1 ms. A connection that
/// takes longer lost its opening packet, which is retransmitted only after a second or more.
pub(crate) const CONNECT_LIMIT: Duration = Duration::from_millis(350);
/// Longest wait for a target to say which incarnation it is; the answer takes no slot.
pub(crate) const IDENTITY_LIMIT: Duration = Duration::from_millis(250);
/// Largest report of a target that is read for its incarnation, in bytes.
pub(crate) const IDENTITY_BYTES: usize = 256 << 10;
/// Time without acknowledgement after which the kernel closes a connection. A target that is unreachable would
/// otherwise hold its calls until their deadlines.
pub(crate) const UNACKED_LIMIT: Duration = Duration::from_millis(1_500);
/// Pause before each probe of whether a target that broke off a call still listens.
pub(crate) const PROBE_PAUSE: Duration = Duration::from_millis(50);
/// Patience with the target of a plain answer, which waits for it.
pub(crate) const PLAIN_PATIENCE: Duration = Duration::from_millis(15);
/// Patience with the target of a stream, whose events have all been relayed: only the end waits.
pub(crate) const STREAM_PATIENCE: Duration = Duration::from_millis(150);
/// Longest wait for a target to name its incarnation after an answer that ended with its connection; a busy engine answers late,
/// and one connection may be lost.
pub(crate) const END_LIMIT: Duration = Duration::from_secs(1);
/// Number of probes: a lost opening packet is not retransmitted within [`CONNECT_LIMIT`].
pub(crate) const PROBE_TRIES: u32 = 3;
/// Idle time after which a connection is not used again if the target does not advertise a keep-alive timeout: the
/// target must not close it while a call that is not retryable is being sent.
pub(crate) const DEFAULT_KEEP_ALIVE: Duration = Duration::from_millis(700);
/// Bytes that a target may send in a row that are neither the head of an answer nor a part of its body: interim answers,
/// and the chunked coding. The HTTP library would skip them for as long as they arrive. Twice the largest read, since a
/// part of the body is delivered at the latest after the read that completes it.
pub(crate) const UNANSWERED_LIMIT: usize = 2 * HEAD_LIMIT;
/// Share of the advertised keep-alive timeout for which an idle connection is used.
pub(crate) const KEEP_ALIVE_SHARE: f64 = 0.7;
/// Idle connections kept per target; more are closed.
pub(crate) const IDLE_CONNECTIONS: usize = 32;
/// Longest wait for a connection to be reusable after its answer was read completely. This takes time if the target
/// answered before it had read the request's body.
pub(crate) const SETTLE_LIMIT: Duration = Duration::from_millis(100);
/// Largest body of a target's failure answer that is relayed to the caller, in bytes. If the body is larger, the caller
/// gets the router's own error answer.
pub(crate) const FAILURE_LIMIT: usize = 256 << 10;
/// Largest body of an answer, in bytes: a plain one is buffered, a stream is relayed as it arrives.
pub(crate) const ANSWER_LIMIT: usize = 16 << 20;
/// Size up to which an answer is read in any case, in bytes.
pub(crate) const SMALL_ANSWER: usize = 1 << 20;
/// Largest incomplete event of a resumable stream that is held back, in bytes.
pub(crate) const EVENT_LIMIT: usize = 256 << 10;
/// Time without a first byte after which a call requests a report of its target's loader: calls that need none would not
/// notice that the host stands still.
pub(crate) const SILENCE_CHECK: Duration = Duration::from_millis(200);
/// Time before its deadline at which a waiting call is given up: a target needs at least this long to process a prompt
/// and answer.
pub(crate) const SERVE_TIME: Duration = Duration::from_millis(150);
/// Time for which an abandoned call is assumed to run on at its target: runs take 0.4 s on average and rarely more
/// than 1.5 s.
pub(crate) const ABANDONED_RUN_TIME: Duration = Duration::from_millis(1_500);
/// Longest retry delay for calls shed because a plain service is overloaded; each caller gets a random share of it, so
/// that they do not return together.
pub(crate) const SHED_PAUSE: Duration = Duration::from_millis(400);
/// Longest wait of a call for a base model at engines that have just started: loading takes 0.8 s from the host's
/// disk and 2.1 s from the weight store.
pub(crate) const BASE_WAIT: Duration = Duration::from_millis(2_500);
/// Time after a router's start in which calls wait for the configuration and the list. The router reads both within
/// about a second, which is sooner than a refused caller would return.
pub(crate) const START_WAIT: Duration = Duration::from_millis(2_500);
/// Longest wait of a call until a router that has just started knows the meters. Until then the router uses only the
/// share of a limit that it would have in the largest possible fleet.
pub(crate) const METER_WAIT: Duration = Duration::from_millis(400);
/// Longest wait of a call until a router that has just started has read the crashes that others recorded, which takes
/// the time to find the router that it follows, and a read. A call that crashes targets would take one at each router
/// that restarts.
pub(crate) const VERDICT_WAIT: Duration = Duration::from_secs(2);
/// Interval at which a call polls for the first configuration, targets and meters of a router that has just started.
pub(crate) const START_POLL_PAUSE: Duration = Duration::from_millis(20);
/// Interval at which a call rechecks a load that it waits for, in addition to the loader's reports.
pub(crate) const LOAD_POLL_PAUSE: Duration = Duration::from_millis(60);
/// Time for which a prefetch request is kept.
pub(crate) const PREFETCH_TTL: Duration = Duration::from_secs(2);
/// Calls per second for an adapter, over the whole fleet, from which the router prefetches it at further engines: one
/// engine serves twice as many.
pub(crate) const PREFETCH_RATE: f64 = 5.0;
/// Interval at which due notices to loaders are sent; it bounds how late the end of a call is reported.
pub(crate) const NOTICE_POLL_PAUSE: Duration = Duration::from_millis(50);
/// Interval at which a router sends its presence to loaders; they expire it after five intervals.
pub(crate) const PRESENCE_PAUSE: Duration = Duration::from_secs(1);
/// Interval between the first [`EARLY_PRESENCES`] presences: routers that start together must know each other before
/// they choose which of them reads the store.
pub(crate) const EARLY_PRESENCE_PAUSE: Duration = Duration::from_millis(200);
/// Number of presences after a router's start that are sent every [`EARLY_PRESENCE_PAUSE`].
pub(crate) const EARLY_PRESENCES: usize = 5;
/// Longest wait of a call for one requested report, after which it checks whether the loader has become silent.
pub(crate) const REPORT_WAIT: Duration = Duration::from_millis(40);
/// Reports that a call may request before its first choice: from its adapter's preferred engine, the next one and a
/// third. More would cost more time than a better engine saves.
pub(crate) const INITIAL_REPORT_REQUESTS: u32 = 3;
/// Time for which a call must have waited for each report request after the initial ones.
pub(crate) const REPORT_REQUEST_PAUSE: Duration = Duration::from_millis(300);
/// Longest wait of a call for a unit of its target's rate limit: a meter answers within a few ms, and other targets may
/// admit the call.
pub(crate) const PERMIT_WAIT: Duration = Duration::from_millis(60);
/// Largest datagram, in bytes.
pub(crate) const DATAGRAM_LIMIT: usize = 16 << 10;
/// Retry delay for callers if no target is known or reachable: the list and the backoffs of targets change within
/// about a second.
pub(crate) const RETURN_PAUSE: Duration = Duration::from_millis(400);
/// Retry delay for callers if targets were saturated, or the retry budget was used up.
pub(crate) const BUSY_PAUSE: Duration = Duration::from_millis(150);
/// Time over which callers' retries are spread if they were refused because all targets had asked for a backoff.
pub(crate) const BACKOFF_SPREAD: Duration = Duration::from_secs(1);
/// Interval at which callers' connections are checked for the idle timeout.
pub(crate) const IDLE_CHECK_PAUSE: Duration = Duration::from_millis(500);
/// Gap between two ticks from which the process counts as having been suspended.
pub(crate) const SUSPENSION: Duration = Duration::from_millis(700);
/// Interval of the maintenance ticks, which detect suspensions and expire old state.
pub(crate) const TICK: Duration = Duration::from_millis(200);
/// Capacity of the event queue from the control thread.
pub(crate) const CONTROL_QUEUE: usize = 256;
/// Rate limit of the request log, in lines per second; lines above it are counted and dropped.
pub(crate) const LOG_RATE: f64 = 150.0;
/// Burst of the request log, in lines.
pub(crate) const LOG_BURST: f64 = 300.0;
/// Largest number of log lines about single targets per change of the list.
pub(crate) const TARGET_LINES: usize = 16;
/// Timeout for receiving a request's body, counted from its head.
pub(crate) const BODY_LIMIT: Duration = Duration::from_secs(5);
/// Longest wait of a request for memory for its body: a body of usual size arrives and is sent on in less.
pub(crate) const ROOM_WAIT: Duration = Duration::from_millis(250);
