//! Positions up to which each kind is known, and the era of the store's history.

use super::{ControlContext, ControlEvent};
use metrics::counter;
use plantain_core::direct::sharing::{StoreEra, StorePosition};
use plantain_platform::objects::FollowedKind;
use slog::warn;

impl ControlContext {
    /// Adopts the positions of a snapshot, one per kind. The position of the crash reports is left out.
    pub(in crate::router) fn adopt_positions(&self, positions: &[Option<StorePosition>]) {
        let kinds = FollowedKind::ALL.into_iter().zip(positions);
        for (kind, position) in kinds.filter(|(kind, _)| *kind != FollowedKind::Crashes) {
            self.progress(kind).position.set(*position);
        }
    }

    /// Positions of all kinds; `None` for one that was not read yet.
    pub(in crate::router) fn positions(&self) -> Vec<Option<StorePosition>> {
        self.progress.iter().map(|progress| progress.position.get()).collect()
    }

    /// Latest known era of the store's history; 0 before the first answer.
    pub(in crate::router) fn era(&self) -> StoreEra {
        *self.era.borrow()
    }

    /// Waits until an era after `era` is known.
    pub(in crate::router) async fn wait_for_era_after(&self, era: StoreEra) {
        let _ = self.era.subscribe().wait_for(|known| *known > era).await;
    }

    /// Records that an answer for a kind, from `source`, is of `era`. If that is a later era than the known one, the
    /// store has returned from an older copy of itself.
    pub(in crate::router) async fn note_era(
        &self,
        era: StoreEra,
        kind: FollowedKind,
        source: &'static str,
    ) {
        let known = self.era();
        if era <= known {
            return;
        }
        self.era.send_replace(era);
        if known == 0 {
            return;
        }
        counter!("plantain_store_era_changes_total").increment(1);
        let highest = self.positions().into_iter().flatten().max();
        warn!(self.logger, "store returned from a copy"; "step" => "follow", "from" => known,
            "era" => era, "kind" => kind.name(), "source" => source,
            "highest_revision" => highest.map(|position| position.revision));
        self.send(ControlEvent::Returned).await;
    }
}
