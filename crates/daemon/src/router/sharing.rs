//! Follows the store through another router of the zone, and serves changes to routers that follow this one.

use super::{control::context::ControlContext, eras, follow::peer_changes};
use crate::clock;
use bytes::Bytes;
use eyre::{Result, WrapErr, ensure};
use http_body_util::Full;
use hyper::{HeaderMap, Request, Response, StatusCode};
use metrics::counter;
use plantain_core::{
    direct::{
        membership::LAPSE_GRACE,
        sharing::{
            KindDelta, SharedDelta, StorePosition,
            source::{SourceSelector, SourceView, UpstreamReply},
        },
        software::{decode_answer, encode_answer},
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

    /// Whether a delta is of an earlier era than this router knows. It could show targets as before they changed in the
    /// restored history.
    fn is_of_earlier_era(&self, delta: &SharedDelta) -> bool {
        delta.kinds.iter().any(|kind| kind.era < self.context.era())
    }

    async fn poll(&mut self, upstream: SocketAddr) {
        let known = known_positions(&self.context);
        let (reply, reason) = match fetch_changes(&self.client, upstream, &known).await {
            Ok(UpstreamAnswer::Changes(delta)) if self.is_of_earlier_era(&delta) => (
                UpstreamReply::Denied,
                "it does not know yet that the store has returned".to_owned(),
            ),
            Ok(UpstreamAnswer::Changes(delta)) => {
                self.selector.apply_reply(upstream, UpstreamReply::Changes, clock::now());
                if self.context.set_source(self.selector.source()) {
                    info!(self.context.logger, "store followed through a router"; "step" => "sharing",
                        "peer" => %upstream, "asked_from" => list_positions(known),
                        "told_up_to" => list_positions(delta.kinds.iter().map(KindDelta::position)));
                }
                peer_changes::apply_shared_delta(delta, &self.context).await;
                return;
            }
            Ok(UpstreamAnswer::Denied) => {
                (UpstreamReply::Denied, "it does not follow the store".to_owned())
            }
            Ok(UpstreamAnswer::WithoutEras) => {
                (UpstreamReply::Denied, "it does not send eras of the store".to_owned())
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

/// Positions of all kinds; the start of era 0 for one that was not read yet.
fn known_positions(context: &ControlContext) -> Vec<StorePosition> {
    context.positions().into_iter().map(Option::unwrap_or_default).collect()
}

fn list_positions(positions: impl IntoIterator<Item = StorePosition>) -> String {
    let texts = positions.into_iter().map(|position| position.to_string());
    texts.collect::<Vec<_>>().join(", ")
}

/// Answer of an upstream to a query for changes.
enum UpstreamAnswer {
    /// Changes since the requested revisions, perhaps none.
    Changes(SharedDelta),
    /// The upstream does not follow the store.
    Denied,
    /// The upstream sends no eras, so that its revisions may be of any history.
    WithoutEras,
    /// The upstream's state is too old to use.
    Stale,
}

/// Queries an upstream for changes after the given positions, one per kind.
async fn fetch_changes(
    client: &HttpClient,
    upstream: SocketAddr,
    known: &[StorePosition],
) -> Result<UpstreamAnswer> {
    counter!("plantain_sharing_calls_total").increment(1);
    let since: Vec<String> = known.iter().map(|position| position.revision.to_string()).collect();
    let uri = url(upstream, &format!("{CHANGES_PATH}?since={}", since.join(",")));
    let mut request = Request::get(&uri).body(Full::default()).wrap_err("build query")?;
    eras::encode(known.iter().map(|position| position.era), request.headers_mut());
    let answer = client.fetch(request, WAIT_LIMIT + ANSWER_LIMIT).await?;
    match answer.status {
        DENIED => return Ok(UpstreamAnswer::Denied),
        STALE => return Ok(UpstreamAnswer::Stale),
        status => ensure!(status == StatusCode::OK, "GET {uri}: {status}"),
    }
    let mut delta: SharedDelta =
        decode_answer(&answer.body).wrap_err_with(|| format!("decode changes of {upstream}"))?;
    let kinds = delta.kinds.len();
    ensure!(kinds == known.len(), "{upstream} returned {kinds} kinds");
    match eras::decode(&answer.headers) {
        Some(eras) => {
            ensure!(eras.len() == kinds, "{upstream} returned {} eras", eras.len());
            for (kind, era) in delta.kinds.iter_mut().zip(eras) {
                kind.era = era;
            }
        }
        // Without any era, the store gives none and has one history only.
        None if known.iter().all(|position| position.era == 0) => {}
        None => return Ok(UpstreamAnswer::WithoutEras),
    }
    Ok(UpstreamAnswer::Changes(delta))
}

/// Answers another router's query for changes after `since`, as soon as there are any.
pub(super) async fn answer(
    context: &ControlContext,
    since: &str,
    headers: &HeaderMap,
) -> Response<Bytes> {
    let revisions: Vec<u64> = since.split(',').filter_map(|text| text.parse().ok()).collect();
    if revisions.len() != FollowedKind::ALL.len() {
        return status_reply(StatusCode::BAD_REQUEST);
    }
    let known = queried_positions(context, &revisions, headers);
    let changed = async {
        loop {
            // Enabled before the check, so that a change between the two is not missed.
            let mut woken = pin!(context.log_changed.notified());
            woken.as_mut().enable();
            if has_changes(context, &known) {
                return;
            }
            woken.await;
        }
    };
    let _ = timeout(WAIT_LIMIT.min(context.fresh_for()), changed).await;
    if !context.is_decided() {
        return status_reply(DENIED);
    }
    if context.fresh_for().is_zero() {
        return status_reply(STALE);
    }
    let Some(delta) = delta_since(context, &known) else { return status_reply(DENIED) };
    let Ok(bytes) = encode_answer(&delta) else {
        return status_reply(StatusCode::INTERNAL_SERVER_ERROR);
    };
    let mut reply = Response::new(bytes.into());
    eras::encode(delta.kinds.iter().map(|kind| kind.era), reply.headers_mut());
    reply
}

fn status_reply(status: StatusCode) -> Response<Bytes> {
    let mut reply = Response::new(Bytes::new());
    *reply.status_mut() = status;
    reply
}

/// Positions that a query names. A router of an older build sends no eras; its revisions count as of the era of each
/// log, as they did before.
fn queried_positions(
    context: &ControlContext,
    revisions: &[u64],
    headers: &HeaderMap,
) -> Vec<StorePosition> {
    let logs = context.logs.borrow();
    let own_eras = || logs.iter().map(|log| log.position().era).collect();
    let eras = eras::decode(headers).unwrap_or_else(own_eras);
    let positions = eras.into_iter().zip(revisions);
    positions.map(|(era, revision)| StorePosition::new(era, *revision)).collect()
}

/// The changes since the given positions; `None` unless this router follows all kinds.
fn delta_since(context: &ControlContext, known: &[StorePosition]) -> Option<SharedDelta> {
    let logs = context.logs.borrow();
    if logs.iter().any(|log| !log.is_followed()) {
        return None;
    }
    let now = clock::now();
    let age_of = |at: Timestamp| now.saturating_sub(at).as_millis().try_into().unwrap_or(u32::MAX);
    let is_recent = |at: &Timestamp| now.saturating_sub(*at) < LAPSE_GRACE;
    let kinds = FollowedKind::ALL.into_iter().zip(logs.iter()).zip(known);
    let kinds = kinds.map(|((kind, log), known)| {
        let snapshot = || KindDelta {
            revision: log.position().revision,
            era: log.position().era,
            is_snapshot: true,
            changes: context.kind_snapshot(kind),
        };
        log.since(*known).unwrap_or_else(snapshot)
    });
    Some(SharedDelta {
        age_ms: age_of(context.confirmed_at.get()),
        regained_ms: context.regained_at.get().filter(is_recent).map(age_of),
        kinds: kinds.collect(),
    })
}

fn has_changes(context: &ControlContext, known: &[StorePosition]) -> bool {
    let logs = context.logs.borrow();
    let mut kinds = logs.iter().zip(known);
    kinds.any(|(log, known)| log.has_changes(*known))
}
