//! A seeded run of faults against a whole system under load, checked against the stand-ins' records.

pub mod draw;
pub mod ledger;
pub mod traffic;

use crate::{
    cluster::{Cluster, plan::ClusterPlan},
    engine::EngineRecords,
    options::FaultRunArguments,
    service::CallRecord,
};
use draw::{FaultDrawer, FaultWindow};
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

/// Time without faults at the start and at the end.
const QUIET_TIME: Duration = Duration::from_secs(3);
/// Engines of the system.
const ENGINES: usize = 6;
/// Replicas of the plain service.
const SERVICES: usize = 2;
/// Availability zones, each with an entry.
const ZONES: [&str; 3] = ["kandy", "nuwara", "hatton"];

/// The system, shared by traffic (which reads) and faults (which restart processes).
pub type SharedCluster = Rc<RwLock<Cluster>>;

/// Runs the faults and checks what callers were told.
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
            traffic::apply_break(&cluster, &arguments).await?;
            let seconds = Duration::from_secs(arguments.seconds);
            let drawer = FaultDrawer::new(Rc::clone(&cluster), arguments.seed, begin);
            let windows = drawer.run(seconds, arguments.only.as_deref()).await?;
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

/// Compares the stand-ins' records with what callers were told.
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

/// A generator for one purpose of a seeded run.
pub fn seeded(seed: u64, purpose: u64) -> StdRng {
    StdRng::seed_from_u64(seed.wrapping_mul(1_000).wrapping_add(purpose))
}

/// A pause drawn evenly between two bounds, in milliseconds.
pub fn draw_pause(random: &mut StdRng, from: u64, to: u64) -> Duration {
    Duration::from_millis(random.random_range(from..to))
}
