//! What another router tells of the store.

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

/// Takes what another router has heard of the store.
pub(in crate::router) async fn take_shared(news: SharedDelta, link: &ControlLink) {
    let now = clock::now();
    let heard_at = now.saturating_sub(Duration::from_millis(news.age_ms.into()));
    link.heard_at.set(heard_at.max(link.heard_at.get()));
    if let Some(age) = news.regained_ms {
        take_regained(now.saturating_sub(Duration::from_millis(age.into())), link).await;
    }
    for (kind, news) in FollowedKind::ALL.into_iter().zip(news.kinds) {
        take_kind(kind, news, link).await;
    }
}

/// Another router lost the list for a while, and this one did not notice. Entries that lapsed meanwhile must be
/// held here too: their targets live, and write them anew within [`LAPSE_GRACE`].
async fn take_regained(regained_at: Timestamp, link: &ControlLink) {
    let is_known = link.regained_at.get().is_some_and(|known| regained_at < known + LAPSE_GRACE);
    let is_lost = link.progress(FollowedKind::Targets).failing_since.get().is_some();
    if !is_known && !is_lost {
        link.regained_at.set(Some(regained_at));
        link.send(ControlEvent::Lost(FollowedKind::Targets)).await;
        link.send(ControlEvent::Regained(FollowedKind::Targets)).await;
    }
}

async fn take_kind(kind: FollowedKind, news: KindDelta, link: &ControlLink) {
    let known = link.progress(kind).revision.get();
    if known.is_some_and(|known| known > news.revision) {
        // A watch of this router's own was answered meanwhile; older changes would undo it.
        return;
    }
    link.note_contact(kind).await;
    if news.is_snapshot {
        info!(link.logger, "read whole through a router"; "step" => "follow",
            "kind" => kind.name(), "revision" => news.revision);
        let logged = link.classify_snapshot(kind, &news.changes);
        link.send(ControlEvent::Listed(kind, from_shared(news.changes, link))).await;
        link.progress(kind).revision.set(Some(news.revision));
        // Those behind this router need not read it whole for that.
        link.change_log(kind, |log| match known {
            Some(known) => log.append(known, news.revision, logged),
            None => log.restart(news.revision),
        });
        return;
    }
    let logged = link.classify_changes(news.changes.iter().cloned());
    if !news.changes.is_empty() {
        link.send(ControlEvent::Changed(from_shared(news.changes, link))).await;
    }
    link.progress(kind).revision.set(Some(news.revision));
    let from = known.unwrap_or(news.revision);
    link.change_log(kind, |log| log.append(from, news.revision, logged));
}

fn from_shared(changes: Vec<SharedChange>, link: &ControlLink) -> Vec<FollowedChange> {
    let changes = changes.into_iter().filter_map(|change| match change {
        SharedChange::Config(record) => take_record(ConfigRecord::clone(&record), link),
        SharedChange::Target(change) => Some(FollowedChange::Target(change)),
        SharedChange::Release(release) => Some(FollowedChange::Release(release)),
        SharedChange::Crashes(report) => Some(FollowedChange::Crashes(report)),
    });
    changes.collect()
}

/// A configuration that another router tells; one whose customers cannot be told apart leaves the last one in
/// force.
pub(in crate::router) fn take_record(
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
