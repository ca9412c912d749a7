//! Applies the store's changes that another router passes on.

use super::super::control::link::{ControlEvent, ControlLink};
use crate::clock;
use plantain_core::{
    direct::{
        config::record::ConfigRecord,
        membership::LAPSE_GRACE,
        sharing::{KindDelta, SharedChange, SharedDelta},
    },
    ids::Timestamp,
};
use plantain_platform::objects::{FollowedChange, FollowedKind};
use slog::{info, warn};
use std::{sync::Arc, time::Duration};

/// Applies the changes of all kinds that an upstream router returned.
pub(in crate::router) async fn apply_shared_delta(delta: SharedDelta, link: &ControlLink) {
    let now = clock::now();
    let confirmed_at = now.saturating_sub(Duration::from_millis(delta.age_ms.into()));
    link.confirmed_at.set(confirmed_at.max(link.confirmed_at.get()));
    if let Some(age) = delta.regained_ms {
        record_peer_outage(now.saturating_sub(Duration::from_millis(age.into())), link).await;
    }
    for (kind, delta) in FollowedKind::ALL.into_iter().zip(delta.kinds) {
        apply_kind_delta(kind, delta, link).await;
    }
}

/// Handles an outage of the list that only the upstream router noticed. Entries that lapsed in the outage must be kept
/// here too: their targets are alive and write them again within [`LAPSE_GRACE`].
async fn record_peer_outage(regained_at: Timestamp, link: &ControlLink) {
    let is_known = link.regained_at.get().is_some_and(|known| regained_at < known + LAPSE_GRACE);
    let is_lost = link.progress(FollowedKind::Targets).failing_since.get().is_some();
    if !is_known && !is_lost {
        link.regained_at.set(Some(regained_at));
        link.send(ControlEvent::Lost(FollowedKind::Targets)).await;
        link.send(ControlEvent::Regained(FollowedKind::Targets)).await;
    }
}

async fn apply_kind_delta(kind: FollowedKind, delta: KindDelta, link: &ControlLink) {
    let known = link.progress(kind).revision.get();
    if known.is_some_and(|known| known > delta.revision) {
        // This router's own watch has returned newer changes; older ones would undo them.
        return;
    }
    link.note_contact(kind).await;
    if delta.is_snapshot {
        info!(link.logger, "snapshot read through a router"; "step" => "follow",
            "kind" => kind.name(), "revision" => delta.revision);
        let logged = link.classify_snapshot(kind, &delta.changes);
        link.send(ControlEvent::Listed(kind, from_shared(delta.changes, link))).await;
        link.progress(kind).revision.set(Some(delta.revision));
        // Appending keeps the log usable, so this router's followers need no snapshot.
        link.change_log(kind, |log| match known {
            Some(known) => log.append(known, delta.revision, logged),
            None => log.restart(delta.revision),
        });
        return;
    }
    let logged = link.classify_changes(delta.changes.iter().cloned());
    if !delta.changes.is_empty() {
        link.send(ControlEvent::Changed(from_shared(delta.changes, link))).await;
    }
    link.progress(kind).revision.set(Some(delta.revision));
    let from = known.unwrap_or(delta.revision);
    link.change_log(kind, |log| log.append(from, delta.revision, logged));
}

fn from_shared(changes: Vec<SharedChange>, link: &ControlLink) -> Vec<FollowedChange> {
    let changes = changes.into_iter().filter_map(|change| match change {
        SharedChange::Config(record) => config_from_record(ConfigRecord::clone(&record), link),
        SharedChange::Target(change) => Some(FollowedChange::Target(change)),
        SharedChange::Release(release) => Some(FollowedChange::Release(release)),
        SharedChange::Crashes(report) => Some(FollowedChange::Crashes(report)),
    });
    changes.collect()
}

/// Decodes a configuration from another router; `None` if its customers are ambiguous, so that the previous one
/// stays in force.
pub(in crate::router) fn config_from_record(
    record: ConfigRecord,
    link: &ControlLink,
) -> Option<FollowedChange> {
    let number = record.number;
    match record.into_config() {
        Ok(config) => Some(FollowedChange::Config(Arc::new(config))),
        Err(fault) => {
            warn!(link.logger, "configuration not understood"; "step" => "follow",
                "config" => number, "fault" => %fault);
            None
        }
    }
}
