//! Applies the store's changes that another router passes on.

use super::super::control::context::{ControlContext, ControlEvent};
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
pub(in crate::router) async fn apply_shared_delta(delta: SharedDelta, context: &ControlContext) {
    let now = clock::now();
    let confirmed_at = now.saturating_sub(Duration::from_millis(delta.age_ms.into()));
    context.confirmed_at.set(confirmed_at.max(context.confirmed_at.get()));
    if let Some(age) = delta.regained_ms {
        record_peer_outage(now.saturating_sub(Duration::from_millis(age.into())), context).await;
    }
    for (kind, delta) in FollowedKind::ALL.into_iter().zip(delta.kinds) {
        apply_kind_delta(kind, delta, context).await;
    }
}

/// Handles an outage of the list that only the upstream router noticed. Entries that lapsed in the outage must be kept
/// here too: their targets are alive and write them again within [`LAPSE_GRACE`].
async fn record_peer_outage(regained_at: Timestamp, context: &ControlContext) {
    let is_known = context.regained_at.get().is_some_and(|known| regained_at < known + LAPSE_GRACE);
    let is_lost = context.progress(FollowedKind::Targets).failing_since.get().is_some();
    if !is_known && !is_lost {
        context.regained_at.set(Some(regained_at));
        context.send(ControlEvent::Lost(FollowedKind::Targets)).await;
        context.send(ControlEvent::Regained(FollowedKind::Targets)).await;
    }
}

async fn apply_kind_delta(kind: FollowedKind, delta: KindDelta, context: &ControlContext) {
    let (known, position) = (context.progress(kind).position.get(), delta.position());
    if known.is_some_and(|known| known > position) {
        // This router's own watch has returned newer changes; older ones would undo them.
        return;
    }
    context.note_era(position.era, kind, "router").await;
    context.note_contact(kind).await;
    if delta.is_snapshot {
        info!(context.logger, "snapshot read through a router"; "step" => "follow",
            "kind" => kind.name(), "revision" => position.revision, "era" => position.era);
        let logged = context.classify_snapshot(kind, &delta.changes);
        context.send(ControlEvent::Listed(kind, from_shared(delta.changes, context))).await;
        context.progress(kind).position.set(Some(position));
        // Appending keeps the log usable, so this router's followers need no snapshot.
        context.change_log(kind, |log| match known {
            Some(known) => log.append(known, position, logged),
            None => log.restart(position),
        });
        return;
    }
    let logged = context.classify_changes(delta.changes.iter().cloned());
    if !delta.changes.is_empty() {
        context.send(ControlEvent::Changed(from_shared(delta.changes, context))).await;
    }
    context.progress(kind).position.set(Some(position));
    let from = known.unwrap_or(position);
    context.change_log(kind, |log| log.append(from, position, logged));
}

fn from_shared(changes: Vec<SharedChange>, context: &ControlContext) -> Vec<FollowedChange> {
    let changes = changes.into_iter().filter_map(|change| match change {
        SharedChange::Config(record) => config_from_record(ConfigRecord::clone(&record), context),
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
    context: &ControlContext,
) -> Option<FollowedChange> {
    let number = record.number;
    match record.into_config() {
        Ok(config) => Some(FollowedChange::Config(Arc::new(config))),
        Err(fault) => {
            warn!(context.logger, "configuration not understood"; "step" => "follow",
                "config" => number, "fault" => %fault);
            None
        }
    }
}
