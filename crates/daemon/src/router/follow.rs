//! Follows the platform's objects by watches, on the control thread.

pub(super) mod peer_changes;

use super::control::link::{ControlEvent, ControlLink, KindProgress, StoreCheck};
use crate::clock;
use bytes::Bytes;
use eyre::{Result, eyre};
use hyper::{Method, StatusCode};
use metrics::counter;
use plantain_core::direct::{
    config::record::ConfigRecord,
    sharing::{ChangeLog, SharedChange, source::StoreSource},
};
use plantain_net::{
    backoff::RetryBackoff,
    client::{HttpClient, url},
};
use plantain_platform::objects::{
    self, FollowedChange, FollowedKind, FollowedPage, HISTORY_GONE, ListAge,
};
use slog::{info, warn};
use std::{net::SocketAddr, rc::Rc, sync::Arc, time::Duration};
use tokio::time::sleep;

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
/// The same for a router on which others rely. With [`UPSTREAM_WAIT_SHARE`] it has word of the store at least
/// each 0.65 of that time, before those who rely on it look for another one.
const UPSTREAM_GATHER_SHARE: f64 = 0.45;
/// Part of that time for which a watch of the list waits at a router on which others rely.
const UPSTREAM_WAIT_SHARE: f64 = 0.2;
/// Part of that time for which a watch of the list waits. The store may cut watches while it drops its
/// history, and one that is begun in that moment hears nothing: it was seen to wait out all of its time,
/// 20 s, in which targets came and went. Most lists change more often than this, so it costs few calls.
const LIST_WAIT_SHARE: f64 = 0.9;
/// Pause after a change that names new targets: more are likely to follow, and calls may wait for them.
const NEW_GATHER: Duration = Duration::from_millis(150);
/// Pause after a change of the reports of crashes, in which further ones gather: each router that had calls
/// at a target which ended writes its own.
const CRASH_GATHER: Duration = Duration::from_millis(100);
/// Lines about objects of one page that cannot be read: other programs may write hundreds of them, and each
/// page that comes would name them all again.
const FAULT_LINES: usize = 5;
/// Shortest pause after a failed call.
const FIRST_PAUSE: Duration = Duration::from_millis(150);
/// Longest pause after failed calls: a store that is back is noticed within this.
const LONGEST_PAUSE: Duration = Duration::from_millis(500);
/// Longest time for which a kind waits for another one to find the store back.
const MAX_REGAIN_WAIT: Duration = Duration::from_secs(3);

/// Follows one kind for as long as the process lives.
pub(super) async fn run(kind: FollowedKind, link: Rc<ControlLink>) {
    let mut follower = KindFollower {
        kind,
        client: HttpClient::with_probes(),
        backoff: RetryBackoff::new(FIRST_PAUSE, LONGEST_PAUSE),
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
    link: Rc<ControlLink>,
}

impl KindFollower {
    async fn step(&mut self) {
        if self.link.source() == StoreSource::Router {
            self.link.wait_for_shared(false).await;
            return;
        }
        if self.kind != FollowedKind::Config {
            let is_out = self.link.store_check().await == Some(StoreCheck::Silent);
            if is_out && self.progress().failing_since.get().is_none() {
                self.note_failure(&eyre!("the store does not answer for the configuration")).await;
                return;
            }
        }
        let result = match self.progress().revision.get() {
            Some(revision) if self.link.source() == StoreSource::Store => {
                self.watch(revision).await
            }
            None if self.kind != FollowedKind::Crashes => {
                self.link.wait_for_direct_read().await;
                if self.progress().revision.get().is_some() {
                    return;
                }
                self.list().await
            }
            None if self.link.source() == StoreSource::Store => self.list().await,
            _ => {
                // Other routers may tell the rest; the store is asked if they do not.
                let link = Rc::clone(&self.link);
                tokio::select! {
                    () = link.wait_for_direct() => {}
                    () = link.wait_for_shared(true) => {}
                }
                return;
            }
        };
        if self.kind == FollowedKind::Config {
            self.link.finish_store_check();
        }
        match result {
            Ok(()) => self.note_contact().await,
            Err(error) => self.note_failure(&error).await,
        }
    }

    fn progress(&self) -> &KindProgress {
        self.link.progress(self.kind)
    }

    async fn list(&mut self) -> Result<()> {
        let mut changes = Vec::new();
        let mut after: Option<String> = None;
        // The first page's revision: what changes while further pages are read comes again. It is kept
        // only once all pages are there: a list that was broken off would lack targets for good.
        let mut first = None;
        let age = match self.link.source() {
            StoreSource::Undecided => ListAge::Recent,
            StoreSource::Store | StoreSource::Router => ListAge::Current,
        };
        let revision = loop {
            let path = objects::list_path(self.kind, after.as_deref(), age);
            let body = self.get(&path, LIST_LIMIT).await?;
            if age == ListAge::Current {
                self.link.confirmed_at.set(clock::now());
            }
            let body = body.ok_or_else(|| eyre!("{path}: history gone"))?;
            let page = objects::decode_list(self.kind, &body)?;
            self.log_faults(&page);
            changes.extend(page.changes);
            let revision = *first.get_or_insert(page.revision);
            after = page.next;
            if after.is_none() {
                break revision;
            }
        };
        self.note_contact().await;
        self.link.send(ControlEvent::Listed(self.kind, changes)).await;
        self.progress().revision.set(Some(revision));
        self.link.change_log(self.kind, |log| log.restart(revision));
        Ok(())
    }

    async fn watch(&mut self, revision: u64) -> Result<()> {
        let wait = self.watch_wait();
        let path = objects::watch_path(self.kind, revision, wait);
        let link = Rc::clone(&self.link);
        let body = tokio::select! {
            body = self.get(&path, wait + ANSWER_SLACK) => body?,
            () = link.wait_for_shared(true) => return Ok(()),
        };
        self.link.confirmed_at.set(clock::now());
        let Some(body) = body else {
            info!(self.link.logger, "history gone; list again"; "step" => "follow",
                "kind" => self.kind.name(), "revision" => revision);
            self.progress().revision.set(None);
            return Ok(());
        };
        let page = objects::decode_watch(self.kind, &body)?;
        self.log_faults(&page);
        self.note_contact().await;
        let logged = self.link.classify_changes(page.changes.iter().map(to_shared));
        let has_new_target = page.changes.iter().any(|change| self.link.is_new_target(change));
        let is_change = !page.changes.is_empty();
        if is_change {
            self.link.send(ControlEvent::Changed(page.changes)).await;
        }
        self.progress().revision.set(Some(page.revision));
        self.link.change_log(self.kind, |log| log.append(revision, page.revision, logged));
        if has_new_target {
            sleep(NEW_GATHER).await;
        } else if is_change {
            sleep(self.gather_time()).await;
        }
        Ok(())
    }

    /// Time for which changes gather before the next watch.
    fn gather_time(&self) -> Duration {
        match self.kind {
            FollowedKind::Targets => {
                let is_upstream = self.link.has_zone_peers();
                let share = if is_upstream { UPSTREAM_GATHER_SHARE } else { GATHER_SHARE };
                self.link.drain_time().mul_f64(share)
            }
            FollowedKind::Crashes => CRASH_GATHER,
            FollowedKind::Config | FollowedKind::Releases => Duration::ZERO,
        }
    }

    fn watch_wait(&self) -> Duration {
        // After a failure the store is only asked what is new: a watch would tell that it is back with the
        // next change, and until then this router would count itself as cut off.
        let must_probe = self.progress().must_probe.take();
        if must_probe || self.progress().failing_since.get().is_some() {
            return PROBE_WAIT;
        }
        match self.kind {
            FollowedKind::Targets if self.link.has_zone_peers() => {
                self.link.drain_time().mul_f64(UPSTREAM_WAIT_SHARE)
            }
            FollowedKind::Targets => self.link.drain_time().mul_f64(LIST_WAIT_SHARE),
            FollowedKind::Config | FollowedKind::Releases | FollowedKind::Crashes => WATCH_WAIT,
        }
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

    fn log_faults(&self, page: &FollowedPage) {
        for fault in page.faults.iter().take(FAULT_LINES) {
            warn!(self.link.logger, "object not understood"; "step" => "follow",
                "kind" => self.kind.name(), "fault" => fault);
        }
        if page.faults.len() > FAULT_LINES {
            warn!(self.link.logger, "more objects not understood"; "step" => "follow",
                "kind" => self.kind.name(), "objects" => page.faults.len() - FAULT_LINES);
        }
    }

    async fn note_contact(&mut self) {
        self.backoff.reset();
        self.link.note_contact(self.kind).await;
    }

    async fn note_failure(&mut self, error: &eyre::Report) {
        counter!("plantain_platform_failures_total").increment(1);
        self.link.change_log(self.kind, ChangeLog::stop);
        self.link.request_probes();
        let failing_since = &self.progress().failing_since;
        if failing_since.get().is_none() {
            failing_since.set(Some(clock::now()));
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
        let waits_for_config = self.kind != FollowedKind::Config && self.link.is_config_lost();
        let pause = if waits_for_config {
            MAX_REGAIN_WAIT.max(self.probe_pause())
        } else {
            self.backoff.next_pause().max(self.probe_pause())
        };
        tokio::select! {
            () = sleep(pause) => {}
            () = self.link.store_regained().notified(), if waits_for_config => {}
            () = self.link.wait_for_shared(true) => {}
        }
    }

    /// Pause of a router that others tell when the store is back; its first try is repeated at once.
    fn probe_pause(&self) -> Duration {
        let failing_since = self.progress().failing_since.get();
        let is_repeated =
            failing_since.is_some_and(|since| clock::now().saturating_sub(since) >= FIRST_PAUSE);
        let pause = self.link.peer_view().probe_pause(self.link.own_address());
        if is_repeated { pause } else { Duration::ZERO }
    }
}

fn to_shared(change: &FollowedChange) -> SharedChange {
    match change {
        FollowedChange::Config(config) => SharedChange::Config(Arc::new(ConfigRecord::new(config))),
        FollowedChange::Target(change) => SharedChange::Target(change.clone()),
        FollowedChange::Release(release) => SharedChange::Release(release.clone()),
        FollowedChange::Crashes(report) => SharedChange::Crashes(Arc::clone(report)),
    }
}
