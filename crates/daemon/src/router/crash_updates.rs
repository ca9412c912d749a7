//! Writes this router's crash report to the platform's store, from which all other routers get it and where it
//! outlives the process.

use super::control::context::ControlContext;
use crate::clock;
use bytes::Bytes;
use eyre::{Result, ensure};
use hyper::{Method, StatusCode};
use metrics::counter;
use plantain_core::{
    crashes::{CRASH_TTL, CrashReport},
    direct::sharing::{StoreEra, source::StoreSource},
    ids::Timestamp,
};
use plantain_net::{
    backoff::RetryBackoff,
    client::{HttpClient, url},
};
use plantain_platform::{
    crashes::{self, StoredReport},
    objects::{self, FollowedKind},
};
use slog::{info, warn};
use std::{pin::pin, rc::Rc, sync::Arc, time::Duration};
use tokio::{sync::watch, time::sleep};

/// Timeout for an answer of the store. If a write gets no answer, the revision condition of the next write shows
/// whether it took effect.
const CALL_LIMIT: Duration = Duration::from_millis(500);
/// Batching pause after a write: a target that ends breaks all of its calls within a few ms. With the round trips to
/// the store and to the other routers, an update takes about 0.3 s of the 3 s in which it must reach all routers.
const GATHER_PAUSE: Duration = Duration::from_millis(200);
/// Pause after the first failed write of the report; also the interval at which a starting router checks whether the
/// store has answered.
const FIRST_PAUSE: Duration = Duration::from_millis(100);
/// Longest pause after repeated failed writes; bounds how long updates wait once the store is reachable again.
const LONGEST_PAUSE: Duration = Duration::from_secs(1);
/// Time over which routers that start together spread their first reports: each write is sent to all watchers.
const START_SPREAD: Duration = Duration::from_secs(1);
/// Interval at which the reports of routers that no longer run are removed.
const CLEAN_PAUSE: Duration = Duration::from_mins(1);

/// Writes the report at the start, so that all other routers know this one, and after each change.
pub(super) async fn publish(
    context: Rc<ControlContext>,
    mut own: watch::Receiver<Arc<CrashReport>>,
) {
    let mut writer = ReportWriter {
        client: HttpClient::new(),
        started: clock::now(),
        earlier: None,
        written: None,
        revision: None,
        is_read: false,
        context,
    };
    let mut backoff = RetryBackoff::new(FIRST_PAUSE, LONGEST_PAUSE);
    while !writer.context.is_current() || !writer.context.has_read(FollowedKind::Crashes) {
        // Each call to the store costs, so nothing is written until the store has answered. The first write replaces
        // the report of this router's previous start, so that report must have been read before.
        sleep(FIRST_PAUSE).await;
    }
    sleep(START_SPREAD.mul_f64(rand::random())).await;
    loop {
        loop {
            let report = Arc::clone(&own.borrow_and_update());
            match writer.write(&report).await {
                Ok(()) => break,
                Err(error) => {
                    warn!(writer.context.logger, "crashes not told"; "step" => "crashes",
                        "sequence" => report.sequence, "error" => %format!("{error:#}"));
                    sleep(backoff.next_pause()).await;
                }
            }
        }
        backoff.reset();
        sleep(GATHER_PAUSE).await;
        let context = Rc::clone(&writer.context);
        tokio::select! {
            changed = own.changed() => if changed.is_err() { return },
            () = writer.wait_until_lost() => {
                counter!("plantain_lost_writes_total", "kind" => "crashes").increment(1);
                warn!(context.logger, "own report of crashes lost; written again";
                    "step" => "crashes", "era" => context.era());
            }
        }
    }
}

/// Removes from the store the reports of routers that no longer run, until the process ends. Only routers that follow
/// the store directly do this.
pub(super) async fn clean(context: Rc<ControlContext>) {
    let client = HttpClient::new();
    loop {
        sleep(CLEAN_PAUSE).await;
        let stale = context.state.borrow_mut().expire_crashes(clock::now());
        let is_direct = context.source() == StoreSource::Store;
        for report in stale.iter().filter(|_| is_direct) {
            match remove(&client, &context, report).await {
                Ok(()) => {
                    info!(context.logger, "old report of crashes removed"; "step" => "crashes",
                        "router" => &*report.router);
                }
                Err(error) => {
                    warn!(context.logger, "old report of crashes not removed"; "step" => "crashes",
                        "router" => &*report.router, "error" => %format!("{error:#}"));
                }
            }
        }
    }
}

/// Removes a report unless its router has written a newer one since.
async fn remove(client: &HttpClient, context: &ControlContext, stale: &CrashReport) -> Result<()> {
    let path = crashes::report_path(&stale.router);
    let read = store_call(client, context, Method::GET, &path, Vec::new()).await?;
    if read.status == StatusCode::NOT_FOUND {
        return Ok(());
    }
    ensure!(read.status.is_success(), "read: {}", read.status);
    let stored = crashes::decode_stored(&read.body)?;
    let is_same = |report: &CrashReport| !report.is_newer_than(stale) && report.boot == stale.boot;
    if !stored.report.as_ref().is_ok_and(is_same) {
        return Ok(());
    }
    let path = crashes::remove_path(&stale.router, stored.revision);
    let removal = store_call(client, context, Method::DELETE, &path, Vec::new()).await?;
    let status = removal.status;
    ensure!(status.is_success() || status == StatusCode::NOT_FOUND, "remove: {status}");
    if removal.era != read.era {
        // The revision may have been given out again, to a report that its router has just written.
        counter!("plantain_lost_writes_total", "kind" => "crashes").increment(1);
        warn!(context.logger, "report of crashes removed at a revision of an earlier era";
            "step" => "crashes", "router" => &*stale.router, "from" => read.era,
            "era" => removal.era);
    }
    Ok(())
}

/// The store's answer to a call.
struct StoreReply {
    status: StatusCode,
    era: StoreEra,
    body: Bytes,
}

async fn store_call(
    client: &HttpClient,
    context: &ControlContext,
    method: Method,
    path: &str,
    body: Vec<u8>,
) -> Result<StoreReply> {
    counter!("plantain_store_calls_total", "kind" => "crashes").increment(1);
    let uri = url(context.store(), path);
    let answer = client.call(method, &uri, body, CALL_LIMIT).await?;
    let era = objects::store_era(&answer.headers);
    context.note_era(era, FollowedKind::Crashes, "store").await;
    Ok(StoreReply { status: answer.status, era, body: answer.body })
}

struct ReportWriter {
    context: Rc<ControlContext>,
    client: HttpClient,
    started: Timestamp,
    /// Report of this router's previous start; it stays in force for [`CRASH_TTL`] after this start.
    earlier: Option<CrashReport>,
    /// The last written report, without its records, and the era in which the store took it.
    written: Option<(CrashReport, StoreEra)>,
    /// Revision of the stored object; `None` if it does not exist or must be read again.
    revision: Option<u64>,
    /// Whether the object was read since this start.
    is_read: bool,
}

impl ReportWriter {
    /// Writes the report, conditional on the revision that it replaces: an unanswered write that takes effect late
    /// would otherwise undo a later one.
    async fn write(&mut self, report: &CrashReport) -> Result<()> {
        let is_of_lost_history =
            self.written.as_ref().is_some_and(|(_, era)| *era < self.context.era());
        if is_of_lost_history || self.revision.is_none() {
            self.revision = None;
            self.read().await?;
            self.is_read = true;
        }
        let mut merged = report.clone();
        let is_counted = clock::now().saturating_sub(self.started) < CRASH_TTL;
        if let Some(earlier) = self.earlier.as_ref().filter(|_| is_counted) {
            merged.add_earlier(earlier);
        }
        let body = crashes::encode_report(&merged, self.revision);
        let (method, path) = if self.revision.is_some() {
            (Method::PUT, crashes::report_path(&report.router))
        } else {
            (Method::POST, crashes::create_path().to_owned())
        };
        let reply = self.call(method, &path, body).await?;
        // After anything but a success, the next write reads the object first.
        self.revision = None;
        ensure!(reply.status.is_success(), "write report of crashes: {}", reply.status);
        self.revision = crashes::decode_stored(&reply.body).ok().map(|stored| stored.revision);
        let CrashReport { router, boot, sequence, .. } = report;
        let (router, boot, sequence) = (Arc::clone(router), *boot, *sequence);
        let written = CrashReport { router, boot, sequence, ..CrashReport::default() };
        self.written = Some((written, reply.era));
        info!(self.context.logger, "crashes told"; "step" => "crashes",
            "sequence" => report.sequence, "crashes" => merged.crashes.len(),
            "survivals" => merged.survivals.len());
        Ok(())
    }

    /// Waits until the store has returned from a copy without the last written report. Only the list of the new era
    /// shows that, which this router follows anyway.
    async fn wait_until_lost(&mut self) {
        let context = Rc::clone(&self.context);
        loop {
            // Enabled before the check, so that a change between the two is not missed.
            let mut woken = pin!(context.log_changed.notified());
            woken.as_mut().enable();
            if self.is_lost() {
                return;
            }
            woken.await;
        }
    }

    fn is_lost(&mut self) -> bool {
        let Some((report, era)) = &mut self.written else { return false };
        let listed = self.context.progress(FollowedKind::Crashes).position.get();
        let Some(listed) = listed.filter(|listed| listed.era > *era) else { return false };
        let is_stored = self.context.state.borrow().is_stored(report);
        if is_stored {
            *era = listed.era;
        }
        !is_stored
    }

    /// Reads the object, and from it the report of this router's previous start. The first read may return a state
    /// that is seconds old: the revision condition of the write detects that.
    async fn read(&mut self) -> Result<()> {
        let name = self.context.router_name();
        let path = if self.is_read {
            crashes::report_path(&name)
        } else {
            crashes::recent_report_path(&name)
        };
        let reply = self.call(Method::GET, &path, Vec::new()).await?;
        if reply.status == StatusCode::NOT_FOUND {
            return Ok(());
        }
        ensure!(reply.status.is_success(), "read own report of crashes: {}", reply.status);
        let StoredReport { revision, report } = crashes::decode_stored(&reply.body)?;
        self.revision = Some(revision);
        match report {
            Ok(report) if self.earlier.is_none() && report.boot != self.context.boot => {
                self.earlier = Some(report);
            }
            Ok(_) => {}
            Err(error) => {
                warn!(self.context.logger, "own report of crashes not understood; it is replaced";
                    "step" => "crashes", "error" => %format!("{error:#}"));
            }
        }
        Ok(())
    }

    async fn call(&self, method: Method, path: &str, body: Vec<u8>) -> Result<StoreReply> {
        store_call(&self.client, &self.context, method, path, body).await
    }
}
