//! Following the platform's objects of one kind, through outages.

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

/// First pause after a failed platform call.
const FAILED_PAUSE: Duration = Duration::from_millis(200);
/// Longest pause after failed platform calls.
const FAILED_PAUSE_LIMIT: Duration = Duration::from_secs(5);

/// Pauses between attempts at the platform, jittered so that a fleet does not come back at once.
pub(crate) fn platform_backoff() -> RetryBackoff {
    RetryBackoff::new(FAILED_PAUSE, FAILED_PAUSE_LIMIT)
}

/// Counts and logs a failed platform call.
pub(crate) fn note_failure(logger: &Logger, step: &'static str, failure: &PlatformError) {
    counter!(names::PLATFORM_FAILURES).increment(1);
    warn!(logger, "platform call failed"; "step" => step, "error" => %failure);
}

/// A watch over one kind. A waiting watch counts as one call, so that following costs the platform
/// little while nothing changes.
pub(crate) struct KindWatch<T> {
    platform: PlatformClient,
    kind: &'static str,
    revision: Option<u64>,
    backoff: RetryBackoff,
    logger: Logger,
    value: PhantomData<fn() -> T>,
}

impl<T: DeserializeOwned> KindWatch<T> {
    /// Starts before the first look.
    pub(crate) fn new(platform: PlatformClient, kind: &'static str, logger: Logger) -> Self {
        let backoff = platform_backoff();
        Self { platform, kind, revision: None, backoff, logger, value: PhantomData }
    }

    /// The objects that are there at the first look, and after that those that changed; empty when
    /// a wait has ended without a change. Tries again until the platform answers.
    pub(crate) async fn next(&mut self) -> Vec<ObjectRecord<T>> {
        loop {
            // The first look must not wait for a change.
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
