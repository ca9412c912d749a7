//! Fault run: a test cluster under load with seeded faults. The outcomes that callers saw are then
//! checked against the records of the stand-ins.
//!
//! A stamp is a call of `POST /stamps` at the plain service `desk`. It is not idempotent: it must run
//! at most once.

pub mod draw;
pub mod ledger;
pub mod traffic;

use crate::{
    cluster::{Cluster, plan::ClusterPlan},
    engine::EngineRecords,
    options::FaultRunArguments,
    service::CallRecord,
};
use draw::{FaultInjector, FaultWindow};
use eyre::{Result, WrapErr, ensure};
use ledger::{FaultReport, Ledger};
use rand::{RngExt, SeedableRng, rngs::StdRng};
use std::{
    fs,
    rc::Rc,
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};
use tokio::{
    sync::{RwLock, watch},
    task::LocalSet,
    time::sleep,
};

/// Duration of the phases with load but without faults, before and after the faults.
const QUIET_TIME: Duration = Duration::from_secs(3);
/// Number of engines.
const ENGINES: usize = 6;
/// Number of replicas of the plain service.
const SERVICES: usize = 2;
/// Availability zones, each with an entry.
const ZONES: [&str; 3] = ["kandy", "nuwara", "hatton"];

/// The cluster. Traffic takes the read lock; faults that end or start processes take the write
/// lock.
pub type SharedCluster = Rc<RwLock<Cluster>>;

/// Runs load and faults, prints the report, and fails if a guarantee was violated.
pub async fn run(arguments: FaultRunArguments) -> Result<()> {
    let cluster = start_system().await?;
    let ledger = Arc::new(Mutex::new(Ledger::default()));
    let begin = Instant::now();
    let (stop, stopping) = watch::channel(false);
    let local = LocalSet::new();
    let windows = local
        .run_until(async {
            let mut traffic = traffic::start(&cluster, &ledger, arguments.seed, begin, &stopping);
            sleep(QUIET_TIME).await;
            traffic::inject_violation(&cluster, &arguments).await?;
            let seconds = Duration::from_secs(arguments.seconds);
            let injector = FaultInjector::new(Rc::clone(&cluster), arguments.seed, begin);
            let windows = injector.run(seconds, arguments.only.as_deref()).await?;
            sleep(QUIET_TIME).await;
            stop.send_replace(true);
            while let Some(ended) = traffic.join_next().await {
                ended.wrap_err("join traffic")??;
            }
            eyre::Ok(windows)
        })
        .await?;
    let report = check(&cluster, &ledger, &windows, arguments.seed).await?;
    report.print();
    if let Some(file) = &arguments.json {
        let text = serde_json::to_string_pretty(&report)?;
        fs::write(file, text).wrap_err_with(|| format!("write {}", file.display()))?;
    }
    if let Some(cluster) = Rc::into_inner(cluster) {
        cluster.into_inner().shut_down().await?;
    }
    ensure!(report.violations.is_empty(), "{} violations", report.violations.len());
    Ok(())
}

async fn start_system() -> Result<SharedCluster> {
    let mut plan = ClusterPlan::new(ZONES.len(), ENGINES, &ZONES);
    plan.services = (0..SERVICES)
        .map(|index| crate::cluster::plan::ServicePlan {
            name: format!("desk-{index}"),
            service: "desk".into(),
            site: crate::cluster::plan::SitePlan::new("region-1", ZONES[index % ZONES.len()]),
        })
        .collect();
    plan.link_proxies = true;
    plan.slots = 3;
    plan.store_rate = 20.0;
    plan.call_ms = 20;
    let cluster = Cluster::start(plan).await?;
    let lines: Vec<String> = (0..traffic::ADAPTERS)
        .map(|index| {
            format!(
                r#"{{"name":"house-{index:04}","base":"scribe","versions":[1,2,3],"current":1}}"#
            )
        })
        .collect();
    let file = cluster.directory().join("adapters.jsonl");
    fs::write(&file, lines.join("\n")).wrap_err("write adapters")?;
    cluster.control_ok(&["adapter", "import", &file.to_string_lossy()]).await?;
    let service = ["service", "put", "desk", "--route", "POST /stamps once"];
    cluster.control_ok(&service).await?;
    cluster.wait_revision(2).await?;
    Ok(Rc::new(RwLock::new(cluster)))
}

/// Reads the records of the stand-ins and compares them with the outcomes that callers saw.
async fn check(
    cluster: &SharedCluster,
    ledger: &Arc<Mutex<Ledger>>,
    windows: &[FaultWindow],
    seed: u64,
) -> Result<FaultReport> {
    let cluster = cluster.read().await;
    let mut engines = Vec::new();
    for index in 0..ENGINES {
        let records: EngineRecords =
            cluster.page(cluster.engine(index), "/standin/records").await?;
        engines.push(records);
    }
    let mut calls = Vec::new();
    for index in 0..SERVICES {
        let records: Vec<CallRecord> =
            cluster.page(cluster.service(index), "/standin/calls").await?;
        calls.extend(records);
    }
    let ledger = ledger.lock().expect("no panic while locked");
    Ok(FaultReport::new(&ledger, &engines, &calls, windows, seed))
}

/// Random number generator for one purpose, so that the draws of concurrent tasks do not depend on
/// each other.
pub fn seeded_rng(seed: u64, purpose: u64) -> StdRng {
    StdRng::seed_from_u64(seed.wrapping_mul(1_000).wrapping_add(purpose))
}

/// Draws a uniform pause from `from` (inclusive) to `to` (exclusive), in milliseconds.
pub fn draw_pause(random: &mut StdRng, from: u64, to: u64) -> Duration {
    Duration::from_millis(random.random_range(from..to))
}
