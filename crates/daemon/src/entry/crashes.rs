//! Watches the agents' crash reports for requests that crash their targets.

use crate::watch::KindWatch;
use plantain_core::{
    crashes::{CrashLedger, CrashReport},
    fingerprint::{CallFingerprint, call_fingerprint},
    protocol::{RequestHead, WorkItem},
};
use plantain_net::platform::{PlatformClient, records::CRASH_KIND};
use slog::{Logger, info};
use std::{
    collections::HashSet,
    sync::Arc,
    time::{Duration, Instant},
};
use tokio::{
    sync::watch,
    time::{Instant as WaitInstant, timeout_at},
};

/// Fingerprints of quarantined requests, which must not be offered.
pub(crate) type QuarantinedCalls = Arc<HashSet<CallFingerprint>>;

/// Longest pause between checks for expired crashes.
const EXPIRY_PAUSE: Duration = Duration::from_secs(30);

/// Fingerprint of a request as its target gets it.
pub(crate) fn request_fingerprint(
    work: &WorkItem,
    head: &RequestHead,
    body: &[u8],
) -> CallFingerprint {
    // A service's path is relative to its name, so the name is part of the fingerprint.
    let service = match work {
        WorkItem::Completion { .. } => "",
        WorkItem::Service { name } => name,
    };
    call_fingerprint(&head.method, service, &head.path, body)
}

/// Watches the agents' crash reports until the process ends, and publishes the quarantined
/// requests.
pub(super) async fn run(
    platform: PlatformClient,
    quarantined: watch::Sender<QuarantinedCalls>,
    logger: Logger,
) {
    let began = Instant::now();
    // An entry observes no targets and sends no reports, so its ledger needs no router name.
    let mut ledger = CrashLedger::new("".into(), rand::random());
    let mut watch = KindWatch::<CrashReport>::new(platform, CRASH_KIND, logger.clone());
    loop {
        let next_expiry = WaitInstant::now() + EXPIRY_PAUSE;
        if let Ok(items) = timeout_at(next_expiry, watch.next()).await {
            for report in items.into_iter().filter_map(|item| item.value) {
                ledger.take_report(&Arc::new(report), began.elapsed());
            }
        }
        ledger.expire(began.elapsed());
        let calls = ledger.quarantined_calls();
        if calls != **quarantined.borrow() {
            info!(logger, "quarantined requests changed"; "step" => "crashes",
                "count" => calls.len(),
                "fingerprints" => ?calls.iter().map(|call| format!("{call:032x}")).collect::<Vec<_>>());
            quarantined.send_replace(Arc::new(calls));
        }
    }
}
