//! Follows the platform's objects with list and watch calls, on the control thread.

pub(super) mod peer_changes;

use super::control::context::{ControlContext, ControlEvent, KindProgress, StoreCheck};
use crate::clock;
use bytes::Bytes;
use eyre::{Result, ensure, eyre};
use hyper::{Method, StatusCode};
use metrics::counter;
use plantain_core::direct::{
    config::record::ConfigRecord,
    sharing::{ChangeLog, SharedChange, StoreEra, StorePosition, source::StoreSource},
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

/// Time for which a watch waits at the store. Keep-alive probes detect a dead connection much earlier, so this
/// only bounds the number of calls.
const WATCH_WAIT: Duration = Duration::from_secs(20);
/// Time for which a watch waits at the store if it only checks whether the store is reachable again.
const PROBE_WAIT: Duration = Duration::from_millis(1);
/// Timeout for an answer of the store, added to the wait of the watch itself.
const ANSWER_SLACK: Duration = Duration::from_millis(1_500);
/// Timeout for a page of a list: the store answers in milliseconds, and in less than a second when it is slow.
const LIST_LIMIT: Duration = Duration::from_millis(1_500);
/// Share of the drain time for which changes of the list are batched before the next watch: each target's entry
/// changes once per heartbeat while adapters are loaded and unloaded, and each answer of the store is a call that
/// costs. The remaining time covers the watch itself and the calls in flight.
const GATHER_SHARE: f64 = 0.55;
/// [`GATHER_SHARE`] of a router that other routers may follow. With [`UPSTREAM_WAIT_SHARE`] the store answers it at
/// least once every 0.65 of the drain time, before its followers look for another upstream.
const UPSTREAM_GATHER_SHARE: f64 = 0.45;
/// Share of the drain time for which a watch of the list waits at a router that other routers may follow.
const UPSTREAM_WAIT_SHARE: f64 = 0.2;
/// Share of the drain time for which a watch of the list waits. The store may cut watches while it drops its
/// history, and a watch that starts at that moment receives no change: one waited its full 20 s while targets
/// started and ended. Most lists change more often than this, so the shorter wait costs few calls.
const LIST_WAIT_SHARE: f64 = 0.9;
/// Batching pause after a change that adds targets: more are likely to follow, and calls may wait for them.
const NEW_GATHER: Duration = Duration::from_millis(150);
/// Batching pause after a change of the crash reports: each router that had calls at a target which ended writes
/// its own report.
const CRASH_GATHER: Duration = Duration::from_millis(100);
/// Largest number of log lines about undecodable objects per page: other programs may write hundreds of such objects,
/// and each page would log them all again.
const FAULT_LINES: usize = 5;
/// Pause after the first failed call to the store.
const FIRST_PAUSE: Duration = Duration::from_millis(150);
/// Longest pause after repeated failed calls to the store; bounds how late the router notices that the store is
/// reachable again.
const LONGEST_PAUSE: Duration = Duration::from_millis(500);
/// Longest time for which another kind's follower waits for the configuration's follower to reach the store again.
const MAX_REGAIN_WAIT: Duration = Duration::from_secs(3);

/// Follows one kind until the process ends.
pub(super) async fn run(kind: FollowedKind, context: Rc<ControlContext>) {
    let mut follower = KindFollower {
        kind,
        client: HttpClient::with_probes(),
        backoff: RetryBackoff::new(FIRST_PAUSE, LONGEST_PAUSE),
        lost_position: None,
        context,
    };
    if follower.progress().has_follower.replace(true) {
        // The last follower ended while it applied an answer, so that part of it may be missing.
        follower.progress().position.set(None);
        follower.note_failure(&eyre!("the follower ended")).await;
    }
    loop {
        follower.step().await;
    }
}

/// The store's answer to a read.
struct StoreAnswer {
    era: StoreEra,
    /// `None` if the store has no history since the requested revision.
    body: Option<Bytes>,
}

struct KindFollower {
    kind: FollowedKind,
    client: HttpClient,
    backoff: RetryBackoff,
    /// Position in the history that a return of the store has lost, until the kind is listed again.
    lost_position: Option<StorePosition>,
    context: Rc<ControlContext>,
}

impl KindFollower {
    async fn step(&mut self) {
        if self.context.source() == StoreSource::Router {
            self.context.wait_for_shared(false).await;
            return;
        }
        if self.kind != FollowedKind::Config {
            let is_silent = self.context.store_check().await == Some(StoreCheck::Silent);
            if is_silent && self.progress().failing_since.get().is_none() {
                self.note_failure(&eyre!("the store does not answer for the configuration")).await;
                return;
            }
        }
        let result = match self.progress().position.get() {
            Some(position) if self.context.source() == StoreSource::Store => {
                self.watch(position).await
            }
            None if self.kind != FollowedKind::Crashes => {
                self.context.wait_for_direct_read().await;
                if self.progress().position.get().is_some() {
                    return;
                }
                self.list().await
            }
            None if self.context.source() == StoreSource::Store => self.list().await,
            _ => {
                // An upstream may supply the remaining kinds; if none does, the store is read directly.
                let context = Rc::clone(&self.context);
                tokio::select! {
                    () = context.wait_for_direct() => {}
                    () = context.wait_for_shared(true) => {}
                }
                return;
            }
        };
        if self.kind == FollowedKind::Config {
            self.context.finish_store_check();
        }
        match result {
            Ok(()) => self.note_contact().await,
            Err(error) => self.note_failure(&error).await,
        }
    }

    fn progress(&self) -> &KindProgress {
        self.context.progress(self.kind)
    }

    async fn list(&mut self) -> Result<()> {
        let mut changes = Vec::new();
        let mut after: Option<String> = None;
        // The watch continues from the first page's revision, so changes made while further pages are read are
        // delivered again. It is stored only once all pages are read: after an incomplete list, the missing targets
        // would never be delivered.
        let mut first = None;
        let age = match self.context.source() {
            StoreSource::Undecided => ListAge::Recent,
            StoreSource::Store | StoreSource::Router => ListAge::Current,
        };
        let position = loop {
            let path = objects::list_path(self.kind, after.as_deref(), age);
            let answer = self.get(&path, LIST_LIMIT).await?;
            if age == ListAge::Current {
                self.context.confirmed_at.set(clock::now());
            }
            let body = answer.body.ok_or_else(|| eyre!("{path}: history gone"))?;
            let page = objects::decode_list(self.kind, &body)?;
            self.log_faults(&page);
            changes.extend(page.changes);
            let position = *first.get_or_insert(StorePosition::new(answer.era, page.revision));
            ensure!(answer.era == position.era, "{path}: the store returned from a copy meanwhile");
            after = page.next;
            if after.is_none() {
                break position;
            }
        };
        self.note_contact().await;
        // An answer for another kind may have shown a later era meanwhile.
        let era = self.context.era();
        ensure!(position.era == era, "list of era {}, not {era}", position.era);
        self.context.send(ControlEvent::Listed(self.kind, changes)).await;
        self.progress().position.set(Some(position));
        self.context.change_log(self.kind, |log| log.restart(position));
        self.log_return(position);
        Ok(())
    }

    async fn watch(&mut self, known: StorePosition) -> Result<()> {
        let wait = self.watch_wait();
        let path = objects::watch_path(self.kind, known.revision, wait);
        let context = Rc::clone(&self.context);
        let answer = tokio::select! {
            answer = self.get(&path, wait + ANSWER_SLACK) => answer?,
            () = context.wait_for_shared(true) => return Ok(()),
            () = context.wait_for_era_after(known.era) => {
                self.forget_position(known);
                return Ok(());
            }
        };
        // A later era may have given out the same revision again for other changes.
        let Some(body) = answer.body.filter(|_| answer.era == known.era) else {
            self.forget_position(known);
            return Ok(());
        };
        self.context.confirmed_at.set(clock::now());
        let page = objects::decode_watch(self.kind, &body)?;
        self.log_faults(&page);
        self.note_contact().await;
        let logged = self.context.classify_changes(page.changes.iter().map(to_shared));
        let has_new_target = page.changes.iter().any(|change| self.context.is_new_target(change));
        let is_change = !page.changes.is_empty();
        if is_change {
            self.context.send(ControlEvent::Changed(page.changes)).await;
        }
        let position = StorePosition::new(known.era, page.revision);
        self.progress().position.set(Some(position));
        self.context.change_log(self.kind, |log| log.append(known, position, logged));
        if has_new_target {
            sleep(NEW_GATHER).await;
        } else if is_change {
            sleep(self.gather_time()).await;
        }
        Ok(())
    }

    /// Discards a position from which the store cannot continue, so that the kind is listed again.
    fn forget_position(&mut self, known: StorePosition) {
        info!(self.context.logger, "history gone; list again"; "step" => "follow",
            "kind" => self.kind.name(), "revision" => known.revision, "era" => known.era);
        self.progress().position.set(None);
        if self.context.era() > known.era {
            self.lost_position = Some(known);
        }
    }

    /// Logs the first list after a return of the store.
    fn log_return(&mut self, position: StorePosition) {
        let Some(lost) = self.lost_position.take() else { return };
        let unstored = (self.kind == FollowedKind::Crashes)
            .then(|| self.context.state.borrow().unstored_crashes());
        if let Some(unstored) = unstored {
            counter!("plantain_lost_reports_total").increment(unstored as u64);
        }
        info!(self.context.logger, "list read after a return"; "step" => "follow",
            "kind" => self.kind.name(), "from" => %lost, "to" => %position,
            "lost_reports" => unstored);
    }

    /// Batching pause before the next watch.
    fn gather_time(&self) -> Duration {
        match self.kind {
            FollowedKind::Targets => {
                let is_upstream = self.context.has_zone_peers();
                let share = if is_upstream { UPSTREAM_GATHER_SHARE } else { GATHER_SHARE };
                self.context.drain_time().mul_f64(share)
            }
            FollowedKind::Crashes => CRASH_GATHER,
            FollowedKind::Config | FollowedKind::Releases => Duration::ZERO,
        }
    }

    fn watch_wait(&self) -> Duration {
        // After a failure the watch returns immediately: a waiting watch would return only with the next change,
        // and until then this router would count itself as disconnected.
        let must_probe = self.progress().must_probe.take();
        if must_probe || self.progress().failing_since.get().is_some() {
            return PROBE_WAIT;
        }
        match self.kind {
            FollowedKind::Targets if self.context.has_zone_peers() => {
                self.context.drain_time().mul_f64(UPSTREAM_WAIT_SHARE)
            }
            FollowedKind::Targets => self.context.drain_time().mul_f64(LIST_WAIT_SHARE),
            FollowedKind::Config | FollowedKind::Releases | FollowedKind::Crashes => WATCH_WAIT,
        }
    }

    /// Gets a path.
    async fn get(&self, path: &str, limit: Duration) -> Result<StoreAnswer> {
        counter!("plantain_store_calls_total", "kind" => self.kind.name()).increment(1);
        let store: SocketAddr = self.context.store();
        let answer = self.client.call(Method::GET, &url(store, path), Bytes::new(), limit).await?;
        let era = objects::store_era(&answer.headers);
        self.context.note_era(era, self.kind, "store").await;
        let latest = self.context.era();
        ensure!(era == latest, "GET {path} at store {store}: answer of era {era}, not {latest}");
        match answer.status {
            StatusCode::OK => Ok(StoreAnswer { era, body: Some(answer.body) }),
            status if status.as_u16() == HISTORY_GONE => Ok(StoreAnswer { era, body: None }),
            status => Err(eyre!("GET {path} at store {store}: {status}")),
        }
    }

    fn log_faults(&self, page: &FollowedPage) {
        for fault in page.faults.iter().take(FAULT_LINES) {
            warn!(self.context.logger, "object not understood"; "step" => "follow",
                "kind" => self.kind.name(), "fault" => fault);
        }
        if page.faults.len() > FAULT_LINES {
            warn!(self.context.logger, "more objects not understood"; "step" => "follow",
                "kind" => self.kind.name(), "objects" => page.faults.len() - FAULT_LINES);
        }
    }

    async fn note_contact(&mut self) {
        self.backoff.reset();
        self.context.note_contact(self.kind).await;
    }

    async fn note_failure(&mut self, error: &eyre::Report) {
        counter!("plantain_platform_failures_total").increment(1);
        self.context.change_log(self.kind, ChangeLog::stop);
        self.context.request_probes();
        let failing_since = &self.progress().failing_since;
        if failing_since.get().is_none() {
            failing_since.set(Some(clock::now()));
            warn!(self.context.logger, "store lost"; "step" => "follow",
                "kind" => self.kind.name(), "error" => %format!("{error:#}"));
            self.context.send(ControlEvent::Lost(self.kind)).await;
        }
        self.pause().await;
    }

    /// Pauses after a failure. During an outage only the configuration's follower probes the store, since each call
    /// costs. The other followers resume as soon as it succeeds, so that a router that starts in an outage gets its
    /// targets together with its configuration and not up to a second later.
    async fn pause(&mut self) {
        let waits_for_config = self.kind != FollowedKind::Config && self.context.is_config_lost();
        let pause = if waits_for_config {
            MAX_REGAIN_WAIT.max(self.probe_pause())
        } else {
            self.backoff.next_pause().max(self.probe_pause())
        };
        tokio::select! {
            () = sleep(pause) => {}
            () = self.context.store_regained().notified(), if waits_for_config => {}
            () = self.context.wait_for_shared(true) => {}
        }
    }

    /// Minimum pause between probes of an unreachable store. It is zero for the first [`FIRST_PAUSE`] of an outage, so
    /// that the first failure is retried soon. After that it stays zero for a router without an upstream; a router with
    /// an upstream waits longer the lower its rank, so that a zone's calls do not grow with its routers.
    fn probe_pause(&self) -> Duration {
        let failing_since = self.progress().failing_since.get();
        let is_repeated =
            failing_since.is_some_and(|since| clock::now().saturating_sub(since) >= FIRST_PAUSE);
        let pause = self.context.peer_view().probe_pause(self.context.own_address());
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
