//! Limits of the router, with their grounds.

use std::time::Duration;

/// Longest wait for a connection to a target: trips take at most some ms and the handshake 1 ms, so
/// one that lasts longer lost its opening packet, which is sent again only after a second or more.
pub(crate) const CONNECT_LIMIT: Duration = Duration::from_millis(350);
/// Time without acknowledgement after which the kernel gives up a connection to a target. A target
/// that is cut off would otherwise hold its calls until their deadlines.
pub(crate) const UNACKED_LIMIT: Duration = Duration::from_millis(1_500);
/// Pause before it is tried whether a target that broke a call off still listens.
pub(crate) const PROBE_PAUSE: Duration = Duration::from_millis(50);
/// Times that this is tried: a lost opening packet is not sent again within [`CONNECT_LIMIT`].
pub(crate) const PROBE_TRIES: u32 = 3;
/// Unused time after which a connection is not used again where the target does not say how long it
/// keeps it: a call that may not be repeated must not meet a close on its way.
pub(crate) const DEFAULT_KEEP_ALIVE: Duration = Duration::from_millis(700);
/// Part of a stated life for which a connection is used.
pub(crate) const KEEP_ALIVE_SHARE: f64 = 0.7;
/// Unused connections kept for one target; more are closed.
pub(crate) const IDLE_CONNECTIONS: usize = 32;
/// Longest wait for a connection to be free again after its answer was read whole. It waits where
/// the target answered before it had read the request's body.
pub(crate) const SETTLE_LIMIT: Duration = Duration::from_millis(100);
/// Largest failure that is read whole in order to be handed on; larger ones are not.
pub(crate) const FAILURE_LIMIT: usize = 256 << 10;
/// Largest plain answer that is read whole before it is handed on.
pub(crate) const ANSWER_LIMIT: usize = 16 << 20;
/// Time before the deadline at which a call that waits for an adapter is given up: less is not enough
/// to read a prompt and answer.
pub(crate) const SERVE_TIME: Duration = Duration::from_millis(150);
/// Time for which a call that broke off is taken to go on at its target: runs last 0.4 s on the mean and
/// rarely more than 1.5 s.
pub(crate) const ABANDONED_RUN_TIME: Duration = Duration::from_millis(1_500);
/// Longest of the pauses suggested to callers turned away because a plain service is overloaded; each
/// gets a part of it, so that they do not come back together.
pub(crate) const SHED_PAUSE: Duration = Duration::from_millis(400);
/// Longest wait of a call for the base model of engines that have just started: a load takes 0.8 s from
/// the host's disk and 2.1 s from the weight store.
pub(crate) const BASE_WAIT: Duration = Duration::from_millis(2_500);
/// Time after a router's start for which calls wait for the configuration and the list: a router that has just
/// started reads both within about a second, sooner than a caller that is turned away comes back.
pub(crate) const START_WAIT: Duration = Duration::from_millis(2_500);
/// Longest wait of a call until a router that has just started knows which meters there are: until then the router
/// takes a share of the limit as one of the largest fleet.
pub(crate) const METER_WAIT: Duration = Duration::from_millis(400);
/// Pause between looks at whether they are there.
pub(crate) const START_POLL_PAUSE: Duration = Duration::from_millis(20);
/// Pause between looks at a load that a call waits for, beside the loader's reports.
pub(crate) const LOAD_POLL_PAUSE: Duration = Duration::from_millis(60);
/// Time for which a wish ahead of calls is kept.
pub(crate) const PREFETCH_TTL: Duration = Duration::from_secs(2);
/// Calls a second over the fleet from which an adapter is looked at for copies: one copy carries twice
/// as many.
pub(crate) const PREFETCH_RATE: f64 = 5.0;
/// Pause between looks at which loaders are due a notice; it bounds how late the end of a call is told.
pub(crate) const NOTICE_POLL_PAUSE: Duration = Duration::from_millis(50);
/// Pause between turns in which a router tells that it is alive; loaders believe it for five of them.
pub(crate) const PRESENCE_PAUSE: Duration = Duration::from_secs(1);
/// The same in the first [`EARLY_PRESENCES`] turns: routers that start together are to know each other before
/// they choose which of them asks the store.
pub(crate) const EARLY_PRESENCE_PAUSE: Duration = Duration::from_millis(200);
/// Turns after a router's start that come faster.
pub(crate) const EARLY_PRESENCES: usize = 5;
/// Longest wait of a call for the answer to one question, after which it looks whether the loader has
/// become silent meanwhile.
pub(crate) const REPORT_WAIT: Duration = Duration::from_millis(40);
/// Questions that a call may ask before its first choice: its adapter's preferred engine, the next one, and
/// a third. More would cost it more time than a better engine saves.
pub(crate) const INITIAL_REPORT_REQUESTS: u32 = 3;
/// Time that a call must wait for each further question.
pub(crate) const REPORT_REQUEST_PAUSE: Duration = Duration::from_millis(300);
/// Longest wait of a call for a unit of its target's rate limit: a meter answers within some ms, and other targets
/// may have room.
pub(crate) const PERMIT_WAIT: Duration = Duration::from_millis(60);
/// Largest datagram.
pub(crate) const DATAGRAM_LIMIT: usize = 16 << 10;
/// Suggested pause for callers where no target is known or reachable: the list and the rests of
/// targets change within about a second.
pub(crate) const RETURN_PAUSE: Duration = Duration::from_millis(400);
/// Suggested pause for callers where targets were full, or the budget for repeats was spent.
pub(crate) const BUSY_PAUSE: Duration = Duration::from_millis(150);
/// Time over which callers come back that were refused because all targets had asked for no requests.
pub(crate) const BACKOFF_SPREAD: Duration = Duration::from_secs(1);
/// Time that a stopping router goes on taking connections: the balancer asks once a second and sends
/// new ones until the second miss.
pub(crate) const STOP_LINGER: Duration = Duration::from_millis(2_600);
/// Time before the kill at which a stopping router ends, whatever is still in flight.
pub(crate) const STOP_RESERVE: Duration = Duration::from_millis(500);
/// Pause between looks at whether a caller's connection is unused for too long.
pub(crate) const IDLE_CHECK_PAUSE: Duration = Duration::from_millis(500);
/// Gap between two ticks from which the process takes itself to have been suspended.
pub(crate) const SUSPENSION: Duration = Duration::from_millis(700);
/// Pause between ticks that look for a suspension and drop what has outlived its time.
pub(crate) const TICK: Duration = Duration::from_millis(200);
/// Depth of the ring from the control thread.
pub(crate) const CONTROL_RING: usize = 256;
/// Lines a second of the request log; beyond it lines are counted and dropped.
pub(crate) const LOG_RATE: f64 = 150.0;
/// Lines that may come at once.
pub(crate) const LOG_BURST: f64 = 300.0;
/// Lines about targets that one change of the list brings.
pub(crate) const TARGET_LINES: usize = 16;
/// Time for which a body may take to arrive, from its head.
pub(crate) const BODY_LIMIT: Duration = Duration::from_secs(5);
