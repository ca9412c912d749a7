//! Follows the store through another router of the zone, and serves changes to routers that follow this one.

use super::{control::context::ControlContext, follow::peer_changes};
use crate::clock;
use bytes::Bytes;
use eyre::{Result, WrapErr, ensure};
use hyper::{Method, StatusCode};
use metrics::counter;
use plantain_core::{
    direct::{
        membership::LAPSE_GRACE,
        sharing::{
            KindDelta, SharedDelta,
            source::{SourceSelector, SourceView, UpstreamReply},
        },
    },
    ids::Timestamp,
};
use plantain_net::client::{HttpClient, url};
use plantain_platform::objects::FollowedKind;
use slog::{info, warn};
use std::{net::SocketAddr, pin::pin, rc::Rc, time::Duration};
use tokio::time::{sleep, timeout};

/// Path at which a router serves changes.
pub(super) const CHANGES_PATH: &str = "/changes";
/// Status if the queried router does not follow the store.
const DENIED: StatusCode = StatusCode::SERVICE_UNAVAILABLE;
/// Status if the queried router's state is too old.
const STALE: StatusCode = StatusCode::GATEWAY_TIMEOUT;
/// Time for which a query waits for changes at the upstream. Together with [`ANSWER_LIMIT`] it bounds how long a
/// frozen upstream goes unnoticed: half a second. Even with the batching pause of the router that watches the store and
/// one call to the store, that is less than the time in which a draining target must be known.
const WAIT_LIMIT: Duration = Duration::from_millis(300);
/// Timeout for the upstream's answer, in addition to [`WAIT_LIMIT`].
const ANSWER_LIMIT: Duration = Duration::from_millis(200);
/// Pause before the next query after a failed one. The store cuts all watches when it drops its history, and the
/// upstream follows it again within about this time.
const RETRY_PAUSE: Duration = Duration::from_millis(250);
/// Interval at which this router checks for an upstream while it has none.
const POLL_PAUSE: Duration = Duration::from_millis(100);

/// Polls the upstream, whenever there is one, until the process ends.
pub(super) async fn run(context: Rc<ControlContext>) {
    let selector = SourceSelector::new(context.own_address());
    let mut poller = UpstreamPoller { context, client: HttpClient::new(), selector };
    loop {
        poller.step().await;
    }
}

struct UpstreamPoller {
    context: Rc<ControlContext>,
    client: HttpClient,
    selector: SourceSelector,
}

impl UpstreamPoller {
    async fn step(&mut self) {
        let order = self.context.peer_view().same_zone;
        let view = SourceView {
            order: &order,
            is_listed: self.context.is_listed(),
            synced_at: self.context.confirmed_at.get(),
            drain_time: self.context.drain_time(),
        };
        if let Some(reason) = self.selector.update(&view, clock::now()) {
            info!(self.context.logger, "store followed directly"; "step" => "sharing",
                "reason" => reason);
            self.context.set_source(self.selector.source());
        }
        match self.selector.upstream(&order) {
            Some(upstream) => self.poll(upstream).await,
            None => sleep(POLL_PAUSE).await,
        }
    }

    async fn poll(&mut self, upstream: SocketAddr) {
        let revisions = self.context.revisions();
        let (reply, reason) = match fetch_changes(&self.client, upstream, &revisions).await {
            Ok(UpstreamAnswer::Changes(delta)) => {
                self.selector.apply_reply(upstream, UpstreamReply::Changes, clock::now());
                if self.context.set_source(self.selector.source()) {
                    info!(self.context.logger, "store followed through a router"; "step" => "sharing",
                        "peer" => %upstream, "asked_from" => format!("{revisions:?}"),
                        "told_up_to" => format!("{:?}", told_revisions(&delta)));
                }
                peer_changes::apply_shared_delta(delta, &self.context).await;
                return;
            }
            Ok(UpstreamAnswer::Denied) => {
                (UpstreamReply::Denied, "it does not follow the store".to_owned())
            }
            Ok(UpstreamAnswer::Stale) => {
                (UpstreamReply::Stale, "it has not heard of the store for too long".to_owned())
            }
            Err(error) => (UpstreamReply::Silent, format!("{error:#}")),
        };
        if self.selector.apply_reply(upstream, reply, clock::now()) {
            warn!(self.context.logger, "upstream left"; "step" => "sharing", "peer" => %upstream,
                "reason" => reason);
        } else {
            sleep(RETRY_PAUSE).await;
        }
    }
}

/// Revisions up to which a delta is complete, one per kind.
fn told_revisions(delta: &SharedDelta) -> Vec<u64> {
    delta.kinds.iter().map(|kind| kind.revision).collect()
}

/// Answer of an upstream to a query for changes.
enum UpstreamAnswer {
    /// Changes since the requested revisions, perhaps none.
    Changes(SharedDelta),
    /// The upstream does not follow the store.
    Denied,
    /// The upstream's state is too old to use.
    Stale,
}

/// Queries an upstream for changes after the given revisions, one per kind.
async fn fetch_changes(
    client: &HttpClient,
    upstream: SocketAddr,
    revisions: &[u64],
) -> Result<UpstreamAnswer> {
    counter!("plantain_sharing_calls_total").increment(1);
    let since: Vec<String> = revisions.iter().map(u64::to_string).collect();
    let uri = url(upstream, &format!("{CHANGES_PATH}?since={}", since.join(",")));
    let limit = WAIT_LIMIT + ANSWER_LIMIT;
    let answer = client.call(Method::GET, &uri, Bytes::new(), limit).await?;
    match answer.status {
        DENIED => return Ok(UpstreamAnswer::Denied),
        STALE => return Ok(UpstreamAnswer::Stale),
        status => ensure!(status == StatusCode::OK, "GET {uri}: {status}"),
    }
    let delta: SharedDelta = postcard::from_bytes(&answer.body)
        .wrap_err_with(|| format!("decode changes of {upstream}"))?;
    let kinds = delta.kinds.len();
    ensure!(kinds == revisions.len(), "{upstream} returned {kinds} kinds");
    Ok(UpstreamAnswer::Changes(delta))
}

/// Answers another router's query for changes after `since`, as soon as there are any.
pub(super) async fn answer(context: &ControlContext, since: &str) -> (StatusCode, Bytes) {
    let revisions: Vec<u64> = since.split(',').filter_map(|text| text.parse().ok()).collect();
    if revisions.len() != FollowedKind::ALL.len() {
        return (StatusCode::BAD_REQUEST, Bytes::new());
    }
    let changed = async {
        loop {
            // Enabled before the check, so that a change between the two is not missed.
            let mut woken = pin!(context.log_changed.notified());
            woken.as_mut().enable();
            if has_changes(context, &revisions) {
                return;
            }
            woken.await;
        }
    };
    let _ = timeout(WAIT_LIMIT.min(context.fresh_for()), changed).await;
    if !context.is_decided() {
        return (DENIED, Bytes::new());
    }
    if context.fresh_for().is_zero() {
        return (STALE, Bytes::new());
    }
    let Some(delta) = delta_since(context, &revisions) else { return (DENIED, Bytes::new()) };
    match postcard::to_allocvec(&delta) {
        Ok(bytes) => (StatusCode::OK, bytes.into()),
        Err(_) => (StatusCode::INTERNAL_SERVER_ERROR, Bytes::new()),
    }
}

/// The changes since the given revisions; `None` unless this router follows all kinds.
fn delta_since(context: &ControlContext, revisions: &[u64]) -> Option<SharedDelta> {
    let logs = context.logs.borrow();
    if logs.iter().any(|log| !log.is_followed()) {
        return None;
    }
    let now = clock::now();
    let age_of = |at: Timestamp| now.saturating_sub(at).as_millis().try_into().unwrap_or(u32::MAX);
    let is_recent = |at: &Timestamp| now.saturating_sub(*at) < LAPSE_GRACE;
    let kinds = FollowedKind::ALL.into_iter().zip(logs.iter()).zip(revisions);
    let kinds = kinds.map(|((kind, log), revision)| {
        let snapshot = || KindDelta {
            revision: log.revision(),
            is_snapshot: true,
            changes: context.kind_snapshot(kind),
        };
        log.since(*revision).unwrap_or_else(snapshot)
    });
    Some(SharedDelta {
        age_ms: age_of(context.confirmed_at.get()),
        regained_ms: context.regained_at.get().filter(is_recent).map(age_of),
        kinds: kinds.collect(),
    })
}

fn has_changes(context: &ControlContext, revisions: &[u64]) -> bool {
    let logs = context.logs.borrow();
    let mut kinds = logs.iter().zip(revisions);
    kinds.any(|(log, revision)| log.has_changes(*revision))
}
