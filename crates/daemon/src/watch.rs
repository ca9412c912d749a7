//! Watches the platform's objects of one kind, with retries during outages.

use crate::telemetry::names;
use metrics::counter;
use plantain_net::{
    backoff::RetryBackoff,
    platform::{PlatformClient, PlatformError, records::ObjectRecord},
};
use serde::de::DeserializeOwned;
use slog::{Logger, warn};
use std::{marker::PhantomData, time::Duration};
use tokio::time::sleep;

/// Pause after the first failed platform call.
const FAILED_PAUSE: Duration = Duration::from_millis(200);
/// Longest pause after failed platform calls.
const FAILED_PAUSE_LIMIT: Duration = Duration::from_secs(5);

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
    revision: Option<u64>,
    backoff: RetryBackoff,
    logger: Logger,
    value: PhantomData<fn() -> T>,
}

impl<T: DeserializeOwned> KindWatch<T> {
    /// Creates a watch that has queried nothing yet.
    pub(crate) fn new(platform: PlatformClient, kind: &'static str, logger: Logger) -> Self {
        let backoff = platform_backoff();
        Self { platform, kind, revision: None, backoff, logger, value: PhantomData }
    }

    /// Returns all objects on the first call, and on later calls those that changed since; empty if a wait
    /// ended without a change. Retries until the platform answers.
    pub(crate) async fn next(&mut self) -> Vec<ObjectRecord<T>> {
        loop {
            // The first query lists the objects, so that it does not wait for a change.
            let list = match self.revision {
                None => self.platform.list(self.kind).await,
                Some(revision) => self.platform.watch(self.kind, revision).await,
            };
            match list {
                Ok(list) => {
                    self.backoff.reset();
                    self.revision = Some(list.revision);
                    return list.items;
                }
                Err(failure) => {
                    note_failure(&self.logger, self.kind, &failure);
                    sleep(self.backoff.next_pause()).await;
                }
            }
        }
    }
}
