//! Load of a fault run: callers, an operator that changes the configuration, and an observer of the
//! entries.
//!
//! A stamp is a call of `POST /stamps` at the plain service `desk`. It is not idempotent: it must run
//! at most once.

use super::{
    SharedCluster, draw_pause,
    ledger::{ChatRecord, Ledger, Outcome, StampRecord},
    seeded_rng,
};
use crate::{
    call::ChatCall, engine::EngineFaults, options::FaultRunArguments, service::ServiceFaults,
};
use bytes::Bytes;
use eyre::{Result, bail};
use http_body_util::Full;
use hyper::{Method, Request, StatusCode};
use plantain_net::client::{HttpClient, SendError, url};
use rand::{RngExt, rngs::StdRng};
use serde_json::Value;
use std::{
    net::SocketAddr,
    rc::Rc,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    time::{Duration, Instant},
};
use tokio::{sync::watch, task::JoinSet, time::sleep};

/// Number of adapters.
pub const ADAPTERS: usize = 30;
/// Number of callers that send chat completions.
const CHAT_CALLERS: u64 = 12;
/// Number of callers that send stamps.
const STAMP_CALLERS: u64 = 6;
/// Maximum number of attempts of one stamp.
const STAMP_ATTEMPTS: usize = 4;
/// Timeout of a caller's request.
const CALL_TIMEOUT: Duration = Duration::from_secs(15);
/// Pause between two polls of the entries' status, and timeout of a poll.
const POLL_INTERVAL: Duration = Duration::from_millis(150);

/// Whether the next answered completion is recorded as not run, to test that the run detects the
/// violation (`--break not-run`).
static FALSIFY: AtomicBool = AtomicBool::new(false);

/// State shared by all tasks of the load.
#[derive(Clone)]
struct TrafficContext {
    entries: Vec<SocketAddr>,
    admins: Vec<SocketAddr>,
    http: HttpClient,
    ledger: Arc<Mutex<Ledger>>,
    ready: Arc<Mutex<Vec<bool>>>,
    begin: Instant,
    stopping: watch::Receiver<bool>,
}

impl TrafficContext {
    fn is_stopping(&self) -> bool {
        *self.stopping.borrow()
    }

    /// Picks a random entry among those that were ready at the last poll, as a load balancer does;
    /// if none was, among all.
    fn pick_entry(&self, random: &mut StdRng) -> SocketAddr {
        let ready = self.ready.lock().expect("no panic while locked").clone();
        let candidates: Vec<usize> =
            (0..self.entries.len()).filter(|&index| ready[index]).collect();
        let candidates =
            if candidates.is_empty() { (0..self.entries.len()).collect() } else { candidates };
        self.entries[candidates[random.random_range(0..candidates.len())]]
    }

    fn record(&self, change: impl FnOnce(&mut Ledger)) {
        change(&mut self.ledger.lock().expect("no panic while locked"));
    }
}

/// Starts all tasks of the load; they end after `stopping` is set.
pub fn start(
    cluster: &SharedCluster,
    ledger: &Arc<Mutex<Ledger>>,
    seed: u64,
    begin: Instant,
    stopping: &watch::Receiver<bool>,
) -> JoinSet<Result<()>> {
    let guard = cluster.try_read().expect("no fault holds the write lock yet");
    let context = TrafficContext {
        entries: (0..3).map(|index| guard.entry(index)).collect(),
        admins: (0..3).map(|index| guard.entry_admin(index)).collect(),
        http: HttpClient::new(),
        ledger: Arc::clone(ledger),
        ready: Arc::new(Mutex::new(vec![true; 3])),
        begin,
        stopping: stopping.clone(),
    };
    drop(guard);
    let mut tasks = JoinSet::new();
    for caller in 0..CHAT_CALLERS {
        tasks.spawn_local(send_completions(context.clone(), seed, caller));
    }
    for caller in 0..STAMP_CALLERS {
        tasks.spawn_local(send_stamps(context.clone(), seed, caller));
    }
    tasks.spawn_local(change_configuration(context.clone(), Rc::clone(cluster), seed));
    tasks.spawn_local(observe_revisions(context));
    tasks
}

async fn send_completions(context: TrafficContext, seed: u64, caller: u64) -> Result<()> {
    let mut random = seeded_rng(seed, 100 + caller);
    let mut round = 0;
    while !context.is_stopping() {
        let model = format!(
            "house-{:04}@{}",
            random.random_range(0..ADAPTERS),
            random.random_range(1..=3_u32)
        );
        let id = format!("chat-{caller}-{round}");
        round += 1;
        let mut call =
            ChatCall::new(&model, &format!("Open at {round}?"), random.random_range(2..30))
                .with_header("x-request-id", &id)
                .with_header("x-plantain-deadline-ms", "8000");
        call.streamed = random.random_bool(0.6);
        let entry = context.pick_entry(&mut random);
        let record = send_completion(&context, &call, &model, id, entry).await;
        context.record(|ledger| ledger.chats.push(record));
        sleep(draw_pause(&mut random, 50, 400)).await;
    }
    Ok(())
}

async fn send_completion(
    context: &TrafficContext,
    call: &ChatCall,
    model: &str,
    id: String,
    entry: SocketAddr,
) -> ChatRecord {
    let sent_at = context.begin.elapsed();
    let mut record = ChatRecord {
        id,
        sent_at,
        ended_at: sent_at,
        outcome: Outcome::Unknown,
        wrong: None,
        detail: String::new(),
    };
    match tokio::time::timeout(CALL_TIMEOUT, call.send(&context.http, entry)).await {
        Ok(Ok(answer)) if answer.status == StatusCode::OK && answer.broken.is_none() => {
            match call.check(&answer, model) {
                Ok(()) if FALSIFY.swap(false, Ordering::AcqRel) => record.outcome = Outcome::NotRun,
                Ok(()) => record.outcome = Outcome::Answered,
                Err(error) => record.wrong = Some(format!("{error:#}")),
            }
        }
        Ok(Ok(answer)) => {
            let error = answer.error();
            if error["outcome"] == "not_run" {
                record.outcome = Outcome::NotRun;
            }
            record.detail = format!("{} {error} {:?}", answer.status, answer.broken);
        }
        Ok(Err(error)) => {
            if is_unsent(&error) {
                record.outcome = Outcome::NotRun;
            }
            record.detail = format!("{error:#}");
        }
        Err(_) => record.detail = "no answer".into(),
    }
    record.ended_at = context.begin.elapsed();
    record
}

/// Whether the request was not sent because no connection could be opened; a load balancer would
/// try another entry.
fn is_unsent(error: &eyre::Report) -> bool {
    error.downcast_ref::<SendError>().is_some_and(|error| error.unsent)
}

async fn send_stamps(context: TrafficContext, seed: u64, caller: u64) -> Result<()> {
    let mut random = seeded_rng(seed, 200 + caller);
    let mut round = 0;
    while !context.is_stopping() {
        let key = format!("stamp-{caller}-{round}");
        round += 1;
        // The caller retries after any outcome, sometimes even after an answer, often at another
        // entry.
        for _ in 0..STAMP_ATTEMPTS {
            let entry = context.pick_entry(&mut random);
            let outcome = send_stamp(&context, &key, entry).await;
            context.record(|ledger| ledger.stamps.push(StampRecord { key: key.clone(), outcome }));
            if outcome == Outcome::Answered && random.random_bool(0.7) {
                break;
            }
            sleep(draw_pause(&mut random, 10, 300)).await;
        }
        sleep(draw_pause(&mut random, 100, 500)).await;
    }
    Ok(())
}

async fn send_stamp(context: &TrafficContext, key: &str, entry: SocketAddr) -> Outcome {
    let request = Request::builder()
        .method(Method::POST)
        .uri(url(entry, "/services/desk/stamps"))
        .header("idempotency-key", key)
        .header("x-plantain-deadline-ms", "5000")
        .body(Full::new(Bytes::from_static(b"gate 7")))
        .expect("a valid request");
    match context.http.fetch(request, CALL_TIMEOUT).await {
        Ok(answer) if answer.status == StatusCode::OK => Outcome::Answered,
        Ok(answer) => {
            let error: Value = answer.json().unwrap_or_default();
            if error["error"]["outcome"] == "not_run" { Outcome::NotRun } else { Outcome::Unknown }
        }
        Err(error) if is_unsent(&error) => Outcome::NotRun,
        Err(_) => Outcome::Unknown,
    }
}

async fn change_configuration(
    context: TrafficContext,
    cluster: SharedCluster,
    seed: u64,
) -> Result<()> {
    let mut random = seeded_rng(seed, 300);
    while !context.is_stopping() {
        sleep(draw_pause(&mut random, 500, 2_500)).await;
        let version = random.random_range(1..=3_u32).to_string();
        let arguments = ["adapter", "roll-out", "house-0000", &version];
        let output = cluster.read().await.control(&arguments).await?;
        if output.status.success() {
            context.record(|ledger| ledger.changes += 1);
        }
    }
    Ok(())
}

/// Polls the entries' readiness and revision. Records a reversion when a ready entry reports an
/// older revision than it reported before, even if it restarted in between.
async fn observe_revisions(context: TrafficContext) -> Result<()> {
    let mut highest = vec![0; context.admins.len()];
    while !context.is_stopping() {
        for (index, admin) in context.admins.iter().enumerate() {
            let page = url(*admin, "/status");
            let status = context.http.get_json::<Value>(&page, POLL_INTERVAL).await;
            let is_ready = status.as_ref().is_ok_and(|status| status["ready"] == true);
            context.ready.lock().expect("no panic while locked")[index] = is_ready;
            let Ok(status) = status else { continue };
            let revision = status["revision"].as_u64().unwrap_or(0);
            if status["ready"] == true && revision < highest[index] {
                let line = format!("entry-{index} went back from {} to {revision}", highest[index]);
                context.record(|ledger| ledger.reversions.push(line));
            }
            highest[index] = highest[index].max(revision);
        }
        sleep(POLL_INTERVAL).await;
    }
    Ok(())
}

/// Violates the guarantee named by `--break`, to test that the run detects it.
pub async fn inject_violation(
    cluster: &SharedCluster,
    arguments: &FaultRunArguments,
) -> Result<()> {
    let Some(guarantee) = &arguments.violated_guarantee else { return Ok(()) };
    let cluster = cluster.read().await;
    let mut engine = EngineFaults::default();
    let mut service = ServiceFaults::default();
    match guarantee.as_str() {
        "answer" => engine.wrong_content = 1,
        "eviction" => engine.drop_in_use = 1,
        // Falsifies the caller's record; see `send_completion`.
        "not-run" => FALSIFY.store(true, Ordering::Release),
        "once" => service.execute_twice = 1,
        other => bail!("--break: `{other}` is not answer, eviction, not-run or once"),
    }
    for index in 0..super::ENGINES {
        cluster.set(cluster.engine(index), "/standin/faults", &engine).await?;
    }
    cluster.set(cluster.service(0), "/standin/faults", &service).await?;
    cluster.set(cluster.service(1), "/standin/faults", &service).await
}
