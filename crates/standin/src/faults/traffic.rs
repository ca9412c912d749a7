//! Callers, operators and observers of a fault run.

use super::{
    SharedCluster, draw_pause,
    ledger::{ChatRecord, Ledger, StampRecord, Told},
    seeded,
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

/// Adapters of the run.
pub const ADAPTERS: usize = 30;
/// Callers of completions.
const CHAT_CALLERS: u64 = 12;
/// Callers of stamps.
const STAMP_CALLERS: u64 = 6;
/// Attempts of one stamp.
const STAMP_ATTEMPTS: usize = 4;
/// Longest wait of a caller.
const CALL_LIMIT: Duration = Duration::from_secs(15);
/// Pause between looks at the processes' configuration.
const OBSERVE_PAUSE: Duration = Duration::from_millis(150);

/// Whether the next answered completion is to be written down as not run, to show that the check of
/// this promise bites.
static LIE: AtomicBool = AtomicBool::new(false);

/// What all of them share.
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

    /// An entry that the balancer would choose: one that was ready when it last looked.
    fn choose(&self, random: &mut StdRng) -> SocketAddr {
        let ready = self.ready.lock().expect("no panic while locked").clone();
        let open: Vec<usize> = (0..self.entries.len()).filter(|&index| ready[index]).collect();
        let open = if open.is_empty() { (0..self.entries.len()).collect() } else { open };
        self.entries[open[random.random_range(0..open.len())]]
    }

    fn note(&self, change: impl FnOnce(&mut Ledger)) {
        change(&mut self.ledger.lock().expect("no panic while locked"));
    }
}

/// Starts all traffic.
pub fn start(
    cluster: &SharedCluster,
    ledger: &Arc<Mutex<Ledger>>,
    seed: u64,
    begin: Instant,
    stopping: &watch::Receiver<bool>,
) -> JoinSet<Result<()>> {
    let guard = cluster.try_read().expect("nobody writes yet");
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
        tasks.spawn_local(ask_completions(context.clone(), seed, caller));
    }
    for caller in 0..STAMP_CALLERS {
        tasks.spawn_local(ask_stamps(context.clone(), seed, caller));
    }
    tasks.spawn_local(change_configuration(context.clone(), Rc::clone(cluster), seed));
    tasks.spawn_local(observe_revisions(context));
    tasks
}

async fn ask_completions(context: TrafficContext, seed: u64, caller: u64) -> Result<()> {
    let mut random = seeded(seed, 100 + caller);
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
        let entry = context.choose(&mut random);
        let record = ask_completion(&context, &call, &model, id, entry).await;
        context.note(|ledger| ledger.chats.push(record));
        sleep(draw_pause(&mut random, 50, 400)).await;
    }
    Ok(())
}

async fn ask_completion(
    context: &TrafficContext,
    call: &ChatCall,
    model: &str,
    id: String,
    entry: SocketAddr,
) -> ChatRecord {
    let asked = context.begin.elapsed();
    let mut record = ChatRecord {
        id,
        asked,
        ended: asked,
        told: Told::Unknown,
        wrong: None,
        detail: String::new(),
    };
    match tokio::time::timeout(CALL_LIMIT, call.send(&context.http, entry)).await {
        Ok(Ok(answer)) if answer.status == StatusCode::OK && answer.broken.is_none() => {
            match call.check(&answer, model) {
                Ok(()) if LIE.swap(false, Ordering::AcqRel) => record.told = Told::NotRun,
                Ok(()) => record.told = Told::Answered,
                Err(error) => record.wrong = Some(format!("{error:#}")),
            }
        }
        Ok(Ok(answer)) => {
            let error = answer.error();
            if error["outcome"] == "not_run" {
                record.told = Told::NotRun;
            }
            record.detail = format!("{} {error} {:?}", answer.status, answer.broken);
        }
        Ok(Err(error)) => {
            if is_unsent(&error) {
                record.told = Told::NotRun;
            }
            record.detail = format!("{error:#}");
        }
        Err(_) => record.detail = "no answer".into(),
    }
    record.ended = context.begin.elapsed();
    record
}

/// No connection came about; a balancer would have gone elsewhere.
fn is_unsent(error: &eyre::Report) -> bool {
    error.downcast_ref::<SendError>().is_some_and(|error| error.unsent)
}

async fn ask_stamps(context: TrafficContext, seed: u64, caller: u64) -> Result<()> {
    let mut random = seeded(seed, 200 + caller);
    let mut round = 0;
    while !context.is_stopping() {
        let key = format!("stamp-{caller}-{round}");
        round += 1;
        // An impatient caller: whatever it is told, it asks again, often elsewhere.
        for _ in 0..STAMP_ATTEMPTS {
            let entry = context.choose(&mut random);
            let told = ask_stamp(&context, &key, entry).await;
            context.note(|ledger| ledger.stamps.push(StampRecord { key: key.clone(), told }));
            if told == Told::Answered && random.random_bool(0.7) {
                break;
            }
            sleep(draw_pause(&mut random, 10, 300)).await;
        }
        sleep(draw_pause(&mut random, 100, 500)).await;
    }
    Ok(())
}

async fn ask_stamp(context: &TrafficContext, key: &str, entry: SocketAddr) -> Told {
    let request = Request::builder()
        .method(Method::POST)
        .uri(url(entry, "/services/desk/stamps"))
        .header("idempotency-key", key)
        .header("x-plantain-deadline-ms", "5000")
        .body(Full::new(Bytes::from_static(b"gate 7")))
        .expect("a good request");
    match context.http.fetch(request, CALL_LIMIT).await {
        Ok(answer) if answer.status == StatusCode::OK => Told::Answered,
        Ok(answer) => {
            let error: Value = answer.json().unwrap_or_default();
            if error["error"]["outcome"] == "not_run" { Told::NotRun } else { Told::Unknown }
        }
        Err(error) if is_unsent(&error) => Told::NotRun,
        Err(_) => Told::Unknown,
    }
}

async fn change_configuration(
    context: TrafficContext,
    cluster: SharedCluster,
    seed: u64,
) -> Result<()> {
    let mut random = seeded(seed, 300);
    while !context.is_stopping() {
        sleep(draw_pause(&mut random, 500, 2_500)).await;
        let version = random.random_range(1..=3_u32).to_string();
        let arguments = ["adapter", "roll-out", "house-0000", &version];
        let output = cluster.read().await.control(&arguments).await?;
        if output.status.success() {
            context.note(|ledger| ledger.changes += 1);
        }
    }
    Ok(())
}

/// A ready process never shows an older revision than any ready process at its place before.
async fn observe_revisions(context: TrafficContext) -> Result<()> {
    let mut highest = vec![0; context.admins.len()];
    while !context.is_stopping() {
        for (index, admin) in context.admins.iter().enumerate() {
            let page = url(*admin, "/status");
            let status = context.http.get_json::<Value>(&page, OBSERVE_PAUSE).await;
            let is_ready = status.as_ref().is_ok_and(|status| status["ready"] == true);
            context.ready.lock().expect("no panic while locked")[index] = is_ready;
            let Ok(status) = status else { continue };
            let revision = status["revision"].as_u64().unwrap_or(0);
            if status["ready"] == true && revision < highest[index] {
                let line = format!("entry-{index} went back from {} to {revision}", highest[index]);
                context.note(|ledger| ledger.reversions.push(line));
            }
            highest[index] = highest[index].max(revision);
        }
        sleep(OBSERVE_PAUSE).await;
    }
    Ok(())
}

/// Breaks one promise on purpose in the stand-ins, to show that the run reports it.
pub async fn apply_break(cluster: &SharedCluster, arguments: &FaultRunArguments) -> Result<()> {
    let Some(promise) = &arguments.break_promise else { return Ok(()) };
    let cluster = cluster.read().await;
    let mut engine = EngineFaults::default();
    let mut service = ServiceFaults::default();
    match promise.as_str() {
        "answer" => engine.wrong_content = 1,
        "eviction" => engine.drop_in_use = 1,
        // The caller's own record lies; see `ask_completion`.
        "not-run" => LIE.store(true, Ordering::Release),
        "once" => service.execute_twice = 1,
        other => bail!("--break: `{other}` is not answer, eviction, not-run or once"),
    }
    for index in 0..super::ENGINES {
        cluster.set(cluster.engine(index), "/standin/faults", &engine).await?;
    }
    cluster.set(cluster.service(0), "/standin/faults", &service).await?;
    cluster.set(cluster.service(1), "/standin/faults", &service).await
}
