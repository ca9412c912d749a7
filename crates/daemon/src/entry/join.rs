//! Joining in an outage: a starting entry learns the configuration and the targets from its peers.
//!
//! A peer's word is as good as the platform's for this: parts never change, the root of the highest
//! revision among several peers is taken, and revisions only ever grow.

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

/// Time that the platform has before peers are asked.
const PLATFORM_TIME: Duration = Duration::from_secs(1);
/// Longest wait for one peer.
const PEER_TIMEOUT: Duration = Duration::from_secs(3);
/// Pause between rounds of questions.
const ROUND_PAUSE: Duration = Duration::from_secs(2);

/// What this entry tells one that joins.
pub(super) fn describe(config: &ConfigSnapshot, targets: Vec<TargetRecord>) -> Result<JoinFrame> {
    let root = serde_json::to_vec(config.root()).wrap_err("write root")?;
    let mut parts = Vec::new();
    for name in config.root().parts.keys() {
        let part = config.part(name).ok_or_else(|| eyre!("part {name} is missing"))?;
        let bytes = serde_json::to_vec(&**part).wrap_err("write part")?;
        parts.push((name.clone(), Bytes::from(bytes)));
    }
    Ok(JoinFrame { root: root.into(), parts, targets })
}

/// Asks peers until the platform or one of them has told the configuration.
pub(super) async fn join_from_peers(
    settings: Arc<EntrySettings>,
    fetcher: ActorRef<FetchMessage>,
    follower: ActorRef<TargetMessage>,
    signals: Arc<EntrySignals>,
    logger: Logger,
) {
    sleep(PLATFORM_TIME).await;
    if settings.peers.is_empty() || signals.is_loaded() {
        return;
    }
    let endpoint = match link::client_endpoint(settings.listen.ip(), &settings.common.keys) {
        Ok(endpoint) => endpoint,
        Err(failure) => {
            warn!(logger, "no link to peers"; "step" => "join", "error" => format!("{failure:#}"));
            return;
        }
    };
    while !signals.is_loaded() {
        if let Some((snapshot, targets)) = ask_all(&endpoint, &settings.peers, &logger).await {
            info!(logger, "joined from peers"; "step" => "join",
                "revision" => snapshot.revision(), "targets" => targets.len());
            let _ = follower.cast(TargetMessage::Told(targets));
            let _ = fetcher.cast(FetchMessage::Told(Box::new(snapshot)));
        }
        sleep(ROUND_PAUSE).await;
    }
}

/// Asks all peers at once and takes the highest revision that any of them has.
async fn ask_all(
    endpoint: &Endpoint,
    peers: &[SocketAddr],
    logger: &Logger,
) -> Option<(ConfigSnapshot, Vec<TargetRecord>)> {
    let mut asked = JoinSet::new();
    for &peer in peers {
        let endpoint = endpoint.clone();
        asked.spawn(async move {
            let told = timeout(PEER_TIMEOUT, ask(&endpoint, peer)).await;
            (peer, told.unwrap_or_else(|_| Err(eyre!("no answer"))))
        });
    }
    let mut best: Option<(ConfigSnapshot, Vec<TargetRecord>)> = None;
    while let Some(Ok((peer, told))) = asked.join_next().await {
        match told {
            Ok((snapshot, _)) if snapshot.revision() == 0 => {}
            Ok(told) => {
                let known = best.as_ref().map_or(0, |(snapshot, _)| snapshot.revision());
                if told.0.revision() > known {
                    best = Some(told);
                }
            }
            Err(failure) => warn!(logger, "peer did not tell"; "step" => "join",
                "peer" => %peer, "error" => format!("{failure:#}")),
        }
    }
    best
}

async fn ask(endpoint: &Endpoint, peer: SocketAddr) -> Result<(ConfigSnapshot, Vec<TargetRecord>)> {
    let connection = endpoint.connect(peer, PEER_NAME)?.await.wrap_err("connect to peer")?;
    let (mut send, mut receive) = connection.open_bi().await.wrap_err("open stream")?;
    frames::write(&mut send, &PeerFrame::Join).await?;
    let told = frames::read::<JoinFrame>(&mut receive).await?;
    let told = told.ok_or_else(|| eyre!("the peer ended without an answer"))?;
    let root: ConfigRoot = serde_json::from_slice(&told.root).wrap_err("read root")?;
    let mut parts = BTreeMap::new();
    for (name, bytes) in told.parts {
        let part: ConfigPart = serde_json::from_slice(&bytes).wrap_err("read part")?;
        parts.insert(name, Arc::new(part));
    }
    let snapshot = ConfigSnapshot::new(root, parts).map_err(|problem| eyre!(problem))?;
    Ok((snapshot, told.targets))
}
