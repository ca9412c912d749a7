//! Start during a platform outage: a starting entry gets the configuration and the targets from its
//! peers.
//!
//! A peer's copy is as good as the platform's: parts are immutable, revisions only grow, and the
//! root with the highest revision among the peers is used.

use super::{
    platform::{FetchMessage, TargetMessage},
    status::EntrySignals,
};
use crate::{
    link::{self, PEER_NAME, frames},
    options::EntrySettings,
};
use bytes::Bytes;
use eyre::{Result, WrapErr, eyre};
use plantain_core::{
    config::{ConfigPart, ConfigRoot, ConfigSnapshot},
    protocol::{JoinFrame, PeerFrame},
    target::TargetRecord,
};
use quinn::Endpoint;
use ractor::ActorRef;
use slog::{Logger, info, warn};
use std::{collections::BTreeMap, net::SocketAddr, sync::Arc, time::Duration};
use tokio::{
    task::JoinSet,
    time::{sleep, timeout},
};

/// Time for the platform to answer before peers are queried.
const JOIN_DELAY: Duration = Duration::from_secs(1);
/// Longest wait for one peer's answer.
const PEER_TIMEOUT: Duration = Duration::from_secs(3);
/// Pause between two rounds of queries.
const ROUND_PAUSE: Duration = Duration::from_secs(2);

/// Encodes the configuration and the targets for a starting entry.
pub(super) fn build_join_frame(
    config: &ConfigSnapshot,
    targets: Vec<TargetRecord>,
) -> Result<JoinFrame> {
    let root = serde_json::to_vec(config.root()).wrap_err("encode root")?;
    let mut parts = Vec::new();
    for name in config.root().parts.keys() {
        let part = config.part(name).ok_or_else(|| eyre!("part {name} is missing"))?;
        let bytes = serde_json::to_vec(&**part).wrap_err("encode part")?;
        parts.push((name.clone(), Bytes::from(bytes)));
    }
    Ok(JoinFrame { root: root.into(), parts, targets })
}

/// Queries peers until the configuration has come from one of them or from the platform.
pub(super) async fn join_from_peers(
    settings: Arc<EntrySettings>,
    fetcher: ActorRef<FetchMessage>,
    follower: ActorRef<TargetMessage>,
    signals: Arc<EntrySignals>,
    logger: Logger,
) {
    sleep(JOIN_DELAY).await;
    if settings.peers.is_empty() || signals.is_loaded() {
        return;
    }
    let endpoint = match link::client_endpoint(settings.listen.ip(), &settings.common.keys) {
        Ok(endpoint) => endpoint,
        Err(failure) => {
            warn!(logger, "cannot open an endpoint for peers"; "step" => "join",
                "error" => format!("{failure:#}"));
            return;
        }
    };
    while !signals.is_loaded() {
        if let Some((snapshot, targets)) = query_all(&endpoint, &settings.peers, &logger).await {
            info!(logger, "joined from peers"; "step" => "join",
                "revision" => snapshot.revision(), "targets" => targets.len());
            let _ = follower.cast(TargetMessage::FromPeer(targets));
            let _ = fetcher.cast(FetchMessage::FromPeer(Box::new(snapshot)));
        }
        sleep(ROUND_PAUSE).await;
    }
}

/// Queries all peers at once and returns the answer with the highest revision.
async fn query_all(
    endpoint: &Endpoint,
    peers: &[SocketAddr],
    logger: &Logger,
) -> Option<(ConfigSnapshot, Vec<TargetRecord>)> {
    let mut queries = JoinSet::new();
    for &peer in peers {
        let endpoint = endpoint.clone();
        queries.spawn(async move {
            let answer = timeout(PEER_TIMEOUT, query(&endpoint, peer)).await;
            (peer, answer.unwrap_or_else(|_| Err(eyre!("no answer"))))
        });
    }
    let mut best: Option<(ConfigSnapshot, Vec<TargetRecord>)> = None;
    while let Some(Ok((peer, answer))) = queries.join_next().await {
        match answer {
            Ok((snapshot, _)) if snapshot.revision() == 0 => {}
            Ok(answer) => {
                let known = best.as_ref().map_or(0, |(snapshot, _)| snapshot.revision());
                if answer.0.revision() > known {
                    best = Some(answer);
                }
            }
            Err(failure) => warn!(logger, "join from a peer failed"; "step" => "join",
                "peer" => %peer, "error" => format!("{failure:#}")),
        }
    }
    best
}

async fn query(
    endpoint: &Endpoint,
    peer: SocketAddr,
) -> Result<(ConfigSnapshot, Vec<TargetRecord>)> {
    let connection = endpoint.connect(peer, PEER_NAME)?.await.wrap_err("connect to peer")?;
    let (mut send, mut receive) = connection.open_bi().await.wrap_err("open stream")?;
    frames::write(&mut send, &PeerFrame::Join).await?;
    let answer = frames::read::<JoinFrame>(&mut receive).await?;
    let answer = answer.ok_or_else(|| eyre!("the peer closed the stream without an answer"))?;
    let root: ConfigRoot = serde_json::from_slice(&answer.root).wrap_err("decode root")?;
    let mut parts = BTreeMap::new();
    for (name, bytes) in answer.parts {
        let part: ConfigPart = serde_json::from_slice(&bytes).wrap_err("decode part")?;
        parts.insert(name, Arc::new(part));
    }
    let snapshot = ConfigSnapshot::new(root, parts).map_err(|problem| eyre!(problem))?;
    Ok((snapshot, answer.targets))
}
