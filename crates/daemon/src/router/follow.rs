//! Follows the platform's objects by watches, on the control thread.

use super::control::{ControlEvent, ControlLink};
use crate::clock;
use bytes::Bytes;
use eyre::{Result, eyre};
use hyper::{Method, StatusCode};
use metrics::counter;
use plantain_net::{
    backoff::RetryBackoff,
    client::{HttpClient, url},
};
use plantain_platform::objects::{self, FollowedChange, FollowedKind, FollowedPage, HISTORY_GONE};
use slog::{info, warn};
use std::{net::SocketAddr, rc::Rc, time::Duration};
use tokio::time::{sleep, timeout};

/// Time for which a watch waits at the store; a silent connection is noticed by keep-alive probes
/// long before, so that this only bounds the number of calls.
const WATCH_WAIT: Duration = Duration::from_secs(20);
/// The same for a watch that asks whether the store is back.
const PROBE_WAIT: Duration = Duration::from_millis(1);
/// Longest wait for an answer of the store beyond what the watch itself waits.
const ANSWER_SLACK: Duration = Duration::from_millis(1_500);
/// Longest wait for a list: the store answers in milliseconds, and in a spell of slowness in less
/// than a second.
const LIST_LIMIT: Duration = Duration::from_millis(1_500);
/// Part of the time in which a leaving target must get no more calls, for which changes of the list
/// gather before it is watched again: each target's entry changes once a heartbeat while adapters come
/// and go, and each answer of the store is a call that costs. The rest is for the call itself and for
/// the calls that are on their way.
const GATHER_SHARE: f64 = 0.55;
/// Shortest pause after a failed call.
const FIRST_PAUSE: Duration = Duration::from_millis(150);
/// Longest pause after failed calls: a store that is back is noticed within this.
const LONGEST_PAUSE: Duration = Duration::from_millis(500);
/// Longest time for which a kind waits for another one to find the store back.
const OTHERS_PAUSE: Duration = Duration::from_secs(3);

/// Follows one kind for as long as the process lives.
pub(super) async fn run(kind: FollowedKind, link: Rc<ControlLink>) {
    let mut follower = KindFollower {
        kind,
        client: HttpClient::with_probes(),
        backoff: RetryBackoff::new(FIRST_PAUSE, LONGEST_PAUSE),
        revision: None,
        failing_since: None,
        link,
    };
    loop {
        follower.step().await;
    }
}

struct KindFollower {
    kind: FollowedKind,
    client: HttpClient,
    backoff: RetryBackoff,
    revision: Option<u64>,
    failing_since: Option<Duration>,
    link: Rc<ControlLink>,
}

impl KindFollower {
    async fn step(&mut self) {
        let result = match self.revision {
            None => self.list().await,
            Some(revision) => self.watch(revision).await,
        };
        match result {
            Ok(()) => self.note_contact().await,
            Err(error) => self.note_failure(&error).await,
        }
    }

    async fn list(&mut self) -> Result<()> {
        let mut changes = Vec::new();
        let mut after: Option<String> = None;
        loop {
            let path = objects::list_path(self.kind, after.as_deref());
            let body = self.get(&path, LIST_LIMIT).await?;
            let body = body.ok_or_else(|| eyre!("{path}: history gone"))?;
            let page = objects::decode_list(self.kind, &body)?;
            self.tell_faults(&page);
            changes.extend(page.changes);
            // The first page's revision: what changed while further pages were read comes again.
            let revision = *self.revision.get_or_insert(page.revision);
            after = page.next;
            if after.is_none() {
                self.revision = Some(revision);
                break;
            }
        }
        self.note_contact().await;
        self.link.send(ControlEvent::Listed(self.kind, changes)).await;
        Ok(())
    }

    async fn watch(&mut self, revision: u64) -> Result<()> {
        // After a failure the store is only asked whether it is back: a watch would tell so with the next
        // change, and until then this router would count itself as cut off.
        let wait = if self.failing_since.is_some() { PROBE_WAIT } else { WATCH_WAIT };
        let path = objects::watch_path(self.kind, revision, wait);
        let Some(body) = self.get(&path, wait + ANSWER_SLACK).await? else {
            info!(self.link.logger, "history gone; list again"; "step" => "follow",
                "kind" => self.kind.name(), "revision" => revision);
            self.revision = None;
            return Ok(());
        };
        let page = objects::decode_watch(self.kind, &body)?;
        self.tell_faults(&page);
        self.revision = Some(page.revision);
        self.note_contact().await;
        if !page.changes.is_empty() {
            let is_list = self.kind == FollowedKind::Targets;
            self.link.send(ControlEvent::Changed(page.changes)).await;
            if is_list {
                sleep(self.link.drain_time().mul_f64(GATHER_SHARE)).await;
            }
        }
        Ok(())
    }

    /// Gets a path; `None` where the history is gone.
    async fn get(&self, path: &str, limit: Duration) -> Result<Option<Bytes>> {
        counter!("plantain_store_calls_total", "kind" => self.kind.name()).increment(1);
        let store: SocketAddr = self.link.store();
        let answer = self.client.call(Method::GET, &url(store, path), Bytes::new(), limit).await?;
        match answer.status {
            StatusCode::OK => Ok(Some(answer.body)),
            status if status.as_u16() == HISTORY_GONE => Ok(None),
            status => Err(eyre!("GET {path} at store {store}: {status}")),
        }
    }

    fn tell_faults(&self, page: &FollowedPage) {
        for fault in &page.faults {
            warn!(self.link.logger, "object not understood"; "step" => "follow",
                "kind" => self.kind.name(), "fault" => fault);
        }
    }

    async fn note_contact(&mut self) {
        self.backoff.reset();
        if let Some(since) = self.failing_since.take() {
            let out_for = clock::now().saturating_sub(since);
            info!(self.link.logger, "store regained"; "step" => "follow",
                "kind" => self.kind.name(), "out_ms" => out_for.as_millis() as u64);
            self.link.send(ControlEvent::Regained(self.kind)).await;
        }
    }

    async fn note_failure(&mut self, error: &eyre::Report) {
        counter!("plantain_platform_failures_total").increment(1);
        if self.failing_since.is_none() {
            self.failing_since = Some(clock::now());
            warn!(self.link.logger, "store lost"; "step" => "follow",
                "kind" => self.kind.name(), "error" => %format!("{error:#}"));
            self.link.send(ControlEvent::Lost(self.kind)).await;
        }
        self.pause().await;
    }

    /// While the store is out, the configuration's follower alone asks whether it is back, since each
    /// call costs; the others go on as soon as it is, so that a router that starts in an outage has its
    /// targets with its configuration and not up to a second later.
    async fn pause(&mut self) {
        let is_asked_for = self.kind != FollowedKind::Config && self.link.is_config_lost();
        if is_asked_for {
            let _ = timeout(OTHERS_PAUSE, self.link.store_back().notified()).await;
        } else {
            sleep(self.backoff.next_pause()).await;
        }
    }
}

/// The list that changes make up, for a kind whose whole list was read.
pub(super) fn listed_targets(
    changes: &[FollowedChange],
) -> Vec<std::sync::Arc<plantain_core::direct::membership::TargetEntry>> {
    use plantain_core::direct::membership::ListChange;
    let entries = changes.iter().filter_map(|change| match change {
        FollowedChange::Target(ListChange::Put(entry)) => Some(std::sync::Arc::clone(entry)),
        _ => None,
    });
    entries.collect()
}
