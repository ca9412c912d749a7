//! Watches the platform's objects of one kind, with retries during outages.

use crate::{options::constants, telemetry::names};
use metrics::counter;
use plantain_core::direct::sharing::{StoreEra, StorePosition};
use plantain_net::{
    backoff::RetryBackoff,
    platform::{PlatformClient, PlatformError, records::ObjectRecord},
};
use serde::de::DeserializeOwned;
use slog::{Logger, info, warn};
use std::{
    collections::HashSet,
    marker::PhantomData,
    time::{Duration, Instant},
};
use tokio::time::sleep;

/// Pause after the first failed platform call.
const FAILED_PAUSE: Duration = Duration::from_millis(200);
/// Longest pause after failed platform calls.
const FAILED_PAUSE_LIMIT: Duration = Duration::from_secs(5);

/// Time in which an object that a copy of the platform lacks is written again: agents check their slots every third of
/// a lease.
const MISSING_GRACE: Duration = constants::LEASE;

/// Pauses between failed platform calls, with jitter so that a fleet does not retry at the same time.
pub(crate) fn platform_backoff() -> RetryBackoff {
    RetryBackoff::new(FAILED_PAUSE, FAILED_PAUSE_LIMIT)
}

/// Counts and logs a failed platform call.
pub(crate) fn note_failure(logger: &Logger, step: &'static str, failure: &PlatformError) {
    counter!(names::PLATFORM_FAILURES).increment(1);
    warn!(logger, "platform call failed"; "step" => step, "error" => %failure);
}

/// A watch of all objects of one kind. It uses long polling: a waiting watch counts as one call, so that
/// the platform has little load while nothing changes.
pub(crate) struct KindWatch<T> {
    platform: PlatformClient,
    kind: &'static str,
    position: Option<StorePosition>,
    /// Era of the last answer.
    era: Option<StoreEra>,
    /// Names of the objects that exist.
    names: HashSet<String>,
    /// Objects that a copy of the platform lacked, and when they count as removed unless they are written again.
    missing: HashSet<String>,
    missing_until: Instant,
    backoff: RetryBackoff,
    logger: Logger,
    value: PhantomData<fn() -> T>,
}

impl<T: DeserializeOwned> KindWatch<T> {
    /// Creates a watch that has queried nothing yet.
    pub(crate) fn new(platform: PlatformClient, kind: &'static str, logger: Logger) -> Self {
        let backoff = platform_backoff();
        Self {
            platform,
            kind,
            position: None,
            era: None,
            names: HashSet::new(),
            missing: HashSet::new(),
            missing_until: Instant::now(),
            backoff,
            logger,
            value: PhantomData,
        }
    }

    /// Returns all objects on the first call, and on later calls those that changed since; empty if a wait
    /// ended without a change. Retries until the platform answers.
    pub(crate) async fn next(&mut self) -> Vec<ObjectRecord<T>> {
        loop {
            // The first query lists the objects, so that it does not wait for a change.
            let known = self.position;
            let list = match known {
                None => self.platform.list(self.kind).await,
                Some(known) => {
                    let eras = self.platform.eras().clone();
                    tokio::select! {
                        list = self.platform.watch(self.kind, known.revision) => list,
                        () = eras.wait_after(known.era) => Err(PlatformError::HistoryGone),
                    }
                }
            };
            match list {
                Ok(list) if known.is_none_or(|known| known.era == list.era) => {
                    self.backoff.reset();
                    let is_return = self.era.replace(list.era).is_some_and(|era| era != list.era);
                    self.position = Some(StorePosition::new(list.era, list.revision));
                    if known.is_none() {
                        self.note_missing(&list.items, is_return);
                    }
                    return self.with_removed(list.items);
                }
                // The revision is of a lost history, and may have been given out again for other changes.
                Ok(_) | Err(PlatformError::HistoryGone) => {
                    info!(self.logger, "history gone; list again"; "step" => self.kind,
                        "position" => known.map(|known| known.to_string()),
                        "era" => self.platform.eras().latest());
                    self.position = None;
                }
                Err(failure) => {
                    note_failure(&self.logger, self.kind, &failure);
                    sleep(self.backoff.next_pause()).await;
                }
            }
        }
    }

    /// Records which known objects a list lacks; a list shows only objects that exist.
    fn note_missing(&mut self, items: &[ObjectRecord<T>], is_return: bool) {
        let listed: HashSet<&String> = items.iter().map(|item| &item.name).collect();
        let missing = self.names.iter().filter(|name| !listed.contains(name));
        self.missing = missing.cloned().collect();
        let grace = if is_return { MISSING_GRACE } else { Duration::ZERO };
        self.missing_until = Instant::now() + grace;
    }

    /// Adds the removal of missing objects that were not written again in time.
    fn with_removed(&mut self, mut items: Vec<ObjectRecord<T>>) -> Vec<ObjectRecord<T>> {
        for item in &items {
            self.missing.remove(&item.name);
        }
        if Instant::now() >= self.missing_until {
            let missing = self.missing.drain();
            items.extend(missing.map(|name| ObjectRecord { name, version: 0, value: None }));
        }
        for item in &items {
            if item.value.is_some() {
                self.names.insert(item.name.clone());
            } else {
                self.names.remove(&item.name);
            }
        }
        items
    }
}
