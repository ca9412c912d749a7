//! Snapshots that routers fetch from each other at their start and while the store is unreachable: configuration,
//! targets, adapter versions and crash reports.

use super::{
    control::context::{ControlContext, ControlEvent, SnapshotReadiness},
    eras,
    follow::peer_changes,
    sharing::{self, CHANGES_PATH},
};
use crate::clock;
use bytes::Bytes;
use eyre::{Result, WrapErr, ensure};
use http_body_util::Full;
use hyper::{
    Method, Request, Response, StatusCode, body::Incoming, server::conn::http1, service::service_fn,
};
use hyper_util::rt::{TokioIo, TokioTimer};
use plantain_core::direct::{
    call::{AdapterId, AdapterRelease},
    config::ConfigNumber,
    membership::ListChange,
    sharing::StorePosition,
    snapshot::{ListHash, PeerSnapshot},
    software::{decode_answer, encode_answer},
};
use plantain_net::client::{HttpAnswer, HttpClient, url};
use plantain_platform::objects::{FollowedChange, FollowedKind};
use rand::seq::IndexedRandom;
use slog::{debug, info};
use std::{convert::Infallible, iter, net::SocketAddr, rc::Rc, time::Duration};
use tokio::{
    net::{TcpListener, TcpStream},
    task::spawn_local,
    time::sleep,
};

/// Path at which a router serves a snapshot of its state.
const SNAPSHOT_PATH: &str = "/snapshot";
/// Path of the snapshot for a starting router: the answer waits until the queried router has read the store.
const BOOTSTRAP_PATH: &str = "/first-snapshot";
/// Status if the queried router is still reading the store.
const NOT_YET: StatusCode = StatusCode::GATEWAY_TIMEOUT;
/// Pause between queries to peers while the store is unreachable: a configuration must be in force within two
/// seconds.
const FETCH_PAUSE: Duration = Duration::from_millis(400);
/// Pause between queries to the bootstrap upstream.
const BOOTSTRAP_PAUSE: Duration = Duration::from_millis(10);
/// Timeout for a peer's answer.
const FETCH_LIMIT: Duration = Duration::from_millis(400);
/// Timeout for the bootstrap upstream's answer; longer, as it sends the full list to several routers at once.
const BOOTSTRAP_LIMIT: Duration = Duration::from_millis(800);
/// Maximum time by which an answer to a starting router is delayed while this router still reads the store.
const READ_WAIT: Duration = Duration::from_millis(150);
/// Time after its start for which a router without a bootstrap upstream waits for the store before it queries peers.
const START_PAUSE: Duration = Duration::from_millis(250);
/// Time after which a peer's unused connection is closed. Queries for changes come several times a second. A query
/// for a snapshot goes to a random peer each time, so its connection is seldom used again.
const IDLE_LIMIT: Duration = Duration::from_secs(5);

/// Fetches snapshots from peers at the start and whenever the store is unreachable, until the process ends.
pub(super) async fn fetch_snapshots(context: Rc<ControlContext>) {
    let client = HttpClient::new();
    let began = clock::now();
    loop {
        if context.bootstrap_upstream().is_some() {
            sleep(BOOTSTRAP_PAUSE).await;
        } else {
            tokio::select! {
                () = sleep(FETCH_PAUSE) => {}
                () = context.wait_for_bootstrap_upstream() => {}
            }
        }
        let upstream = context.bootstrap_upstream();
        let is_early = clock::now().saturating_sub(began) < START_PAUSE;
        if !context.is_lost() || (upstream.is_none() && is_early) {
            continue;
        }
        let peer = upstream.or_else(|| context.peers().choose(&mut rand::rng()).copied());
        let Some(peer) = peer else { continue };
        let fetched = match upstream {
            Some(upstream) => fetch_bootstrap(&client, upstream, &context).await,
            None => fetch(&client, &known_uri(peer, &context), FETCH_LIMIT).await.map(Some),
        };
        match fetched {
            Ok(Some(snapshot)) => take_snapshot(snapshot, peer, &context).await,
            Ok(None) => {}
            Err(error) => {
                debug!(context.logger, "no snapshot from peer"; "step" => "peers", "peer" => %peer,
                    "error" => %format!("{error:#}"));
            }
        }
    }
}

/// Fetches a snapshot from the bootstrap upstream; `None` while that is still reading the store.
async fn fetch_bootstrap(
    client: &HttpClient,
    upstream: SocketAddr,
    context: &ControlContext,
) -> Result<Option<PositionedSnapshot>> {
    let uri = url(upstream, BOOTSTRAP_PATH);
    let answer = client.call(Method::GET, &uri, Bytes::new(), BOOTSTRAP_LIMIT).await;
    let fetched = answer.and_then(|answer| match answer.status {
        NOT_YET => Ok(None),
        _ => decode_snapshot(&uri, &answer).map(Some),
    });
    if fetched.is_err() {
        context.abandon_bootstrap_upstream();
    }
    fetched
}

/// URI of a peer's snapshot without the parts that this router already has.
fn known_uri(peer: SocketAddr, context: &ControlContext) -> String {
    let state = context.state.borrow();
    let list = state.list_hash().map_or_else(String::new, |list| format!(",{list}"));
    url(peer, &format!("{SNAPSHOT_PATH}?known={}{list}", state.config_number()))
}

async fn fetch(client: &HttpClient, uri: &str, limit: Duration) -> Result<PositionedSnapshot> {
    let answer = client.call(Method::GET, uri, Bytes::new(), limit).await?;
    decode_snapshot(uri, &answer)
}

/// A peer's snapshot, and the position of each kind in it.
struct PositionedSnapshot {
    snapshot: PeerSnapshot,
    /// `None` for a kind that the peer has not read.
    positions: Vec<Option<StorePosition>>,
}

fn decode_snapshot(uri: &str, answer: &HttpAnswer) -> Result<PositionedSnapshot> {
    ensure!(answer.status.is_success(), "GET {uri}: {}", answer.status);
    let snapshot: PeerSnapshot =
        decode_answer(&answer.body).wrap_err_with(|| format!("decode snapshot of {uri}"))?;
    // A peer of an older build sends no eras. Era 0 makes the store's first answer replace the position.
    let eras = eras::decode(&answer.headers).unwrap_or_default();
    let eras = eras.into_iter().chain(iter::repeat(0));
    let revisions = snapshot.revisions.iter().zip(eras);
    let positions =
        revisions.map(|(revision, era)| revision.map(|at| StorePosition::new(era, at))).collect();
    Ok(PositionedSnapshot { snapshot, positions })
}

async fn take_snapshot(snapshot: PositionedSnapshot, peer: SocketAddr, context: &ControlContext) {
    let PositionedSnapshot { snapshot, positions } = snapshot;
    let is_first = !context.is_listed() && snapshot.config.is_some() && snapshot.targets.is_some();
    if is_first {
        context.adopt_positions(&positions);
    }
    let mut changes = Vec::new();
    if let Some(record) = snapshot.config {
        info!(context.logger, "configuration from a peer"; "step" => "peers", "peer" => %peer,
            "config" => record.number);
        changes.extend(peer_changes::config_from_record(record, context));
    }
    changes.extend(snapshot.releases.into_iter().map(|(base, name, version)| {
        FollowedChange::Release(AdapterRelease { adapter: AdapterId { base, name }, version })
    }));
    changes.extend(snapshot.crashes.into_iter().map(FollowedChange::Crashes));
    if !changes.is_empty() {
        context.send(ControlEvent::Changed(changes)).await;
    }
    let Some(entries) = snapshot.targets else { return };
    // A peer that does not follow the store now, or not since it returned from a copy, may have an old list, which is
    // used only if this router has none.
    let era = positions.get(FollowedKind::Targets as usize).copied().flatten().map(|at| at.era);
    let is_of_known_era = era.is_none_or(|era| era >= context.era());
    if (snapshot.is_current && is_of_known_era) || !context.state.borrow().is_complete() {
        if let Some(era) = era {
            context.note_era(era, FollowedKind::Targets, "router").await;
        }
        let entries =
            entries.into_iter().map(|entry| FollowedChange::Target(ListChange::Put(entry)));
        context.send(ControlEvent::Listed(FollowedKind::Targets, entries.collect())).await;
        context.log_changed.notify_waiters();
    }
}

/// Answers queries of peers until the process ends.
pub(super) async fn serve(listener: Rc<TcpListener>, context: Rc<ControlContext>) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                let context = Rc::clone(&context);
                spawn_local(serve_peer(stream, context));
            }
            Err(_) => sleep(Duration::from_millis(50)).await,
        }
    }
}

async fn serve_peer(stream: TcpStream, context: Rc<ControlContext>) {
    let service = service_fn(move |request: Request<Incoming>| {
        let context = Rc::clone(&context);
        async move { Ok::<_, Infallible>(answer(&request, &context).await) }
    });
    let _ = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(IDLE_LIMIT)
        .serve_connection(TokioIo::new(stream), service)
        .await;
}

async fn answer(request: &Request<Incoming>, context: &ControlContext) -> Response<Full<Bytes>> {
    let query = request.uri().query().unwrap_or_default();
    let value = query.split_once('=').map_or("", |(_, value)| value);
    if request.uri().path() == CHANGES_PATH {
        return sharing::answer(context, value, request.headers()).await.map(Full::new);
    }
    if request.uri().path() == BOOTSTRAP_PATH {
        let denial = match context.snapshot_readiness(READ_WAIT).await {
            SnapshotReadiness::Ready => None,
            SnapshotReadiness::NotYet => Some(NOT_YET),
            SnapshotReadiness::Denied => Some(StatusCode::SERVICE_UNAVAILABLE),
        };
        if let Some(status) = denial {
            let mut reply = Response::new(Full::default());
            *reply.status_mut() = status;
            return reply;
        }
    }
    let known: Vec<u64> = value.split(',').filter_map(|number| number.parse().ok()).collect();
    answer_snapshot(request, known.first().copied().unwrap_or(0), known.get(1).copied(), context)
}

fn answer_snapshot(
    request: &Request<Incoming>,
    number: ConfigNumber,
    list: Option<ListHash>,
    context: &ControlContext,
) -> Response<Full<Bytes>> {
    let began = clock::now();
    let mut reply = Response::new(Full::default());
    if ![SNAPSHOT_PATH, BOOTSTRAP_PATH].contains(&request.uri().path()) {
        *reply.status_mut() = StatusCode::NOT_FOUND;
        return reply;
    }
    let state = context.state.borrow();
    let positions = context.positions();
    let revisions = positions.iter().map(|position| position.map(|at| at.revision)).collect();
    let snapshot = state.snapshot(number, list, context.is_current(), revisions);
    match encode_answer(&snapshot) {
        Ok(bytes) => {
            *reply.body_mut() = Full::new(bytes.into());
            let eras = positions.iter().map(|position| position.map_or(0, |at| at.era));
            eras::encode(eras, reply.headers_mut());
        }
        Err(_) => *reply.status_mut() = StatusCode::INTERNAL_SERVER_ERROR,
    }
    debug!(context.logger, "peer answered"; "step" => "peers", "status" => reply.status().as_u16(),
        "took_us" => clock::now().saturating_sub(began).as_micros() as u64);
    reply
}
