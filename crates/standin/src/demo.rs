//! Demo: starts a small test cluster on loopback, sends requests and prints commands to try.

use crate::{
    call::ChatCall,
    cluster::{Cluster, plan::ClusterPlan},
    options::DemoArguments,
};
use eyre::{Result, WrapErr, ensure};
use std::{env, fmt::Write, fs, process::Command};
use tokio::sync::watch;

/// Number of adapters.
const ADAPTERS: usize = 200;
/// The demo sends a request to each adapter whose index is a multiple of this number.
const ADAPTER_STEP: usize = 17;
/// Tokens of each answer.
const TOKENS: u32 = 12;

/// Runs the demo until `stopping`, or with `--once` until all answers have been checked.
pub async fn run(arguments: DemoArguments, mut stopping: watch::Receiver<bool>) -> Result<()> {
    build_programs()?;
    let plan = ClusterPlan::new(2, 3, &["kandy", "nuwara", "hatton"]);
    println!("starting 2 entries, 3 engines with agents, 1 plain service");
    let cluster = Cluster::start(plan).await?;
    configure(&cluster).await?;
    let wrong = send_requests(&cluster).await?;
    if arguments.once {
        ensure!(cluster.shut_down().await?, "a process did not stop with exit status 0");
        ensure!(wrong == 0, "{wrong} answers were not complete and correct");
        println!("all answers complete and correct; stopped gracefully");
        return Ok(());
    }
    print_hints(&cluster);
    let _ = stopping.wait_for(|stop| *stop).await;
    cluster.shut_down().await.map(drop)
}

/// Builds all programs of the workspace if this one was started by `cargo run`, which builds only
/// this one.
fn build_programs() -> Result<()> {
    let Some(cargo) = env::var_os("CARGO") else { return Ok(()) };
    let mut command = Command::new(cargo);
    command.args(["build", "--quiet", "--locked", "--workspace", "--bins"]);
    if !cfg!(debug_assertions) {
        command.arg("--release");
    }
    let status = command.status().wrap_err("run cargo build")?;
    ensure!(status.success(), "cargo build failed");
    Ok(())
}

async fn configure(cluster: &Cluster) -> Result<()> {
    let mut lines = String::new();
    for index in 0..ADAPTERS {
        let name = adapter_name(index);
        let current = 1 + index % 3;
        writeln!(
            lines,
            r#"{{"name":"{name}","base":"scribe","versions":[1,2,3],"current":{current}}}"#
        )?;
    }
    let file = cluster.directory().join("adapters.jsonl");
    fs::write(&file, lines).wrap_err("write adapters")?;
    let file = file.to_string_lossy().into_owned();
    print!("{}", cluster.control_ok(&["adapter", "import", &file]).await?);
    let service = ["service", "put", "desk", "--route", "POST /stamps once"];
    print!("{}", cluster.control_ok(&service).await?);
    let preset = ["--wait", "10", "preset", "put", "peak", "--batch-weight", "3"];
    print!("{}", cluster.control_ok(&preset).await?);
    Ok(())
}

fn adapter_name(index: usize) -> String {
    format!("house-{index:04}")
}

/// Sends the requests, prints a line for each, and returns the number of wrong answers.
async fn send_requests(cluster: &Cluster) -> Result<usize> {
    let mut wrong = 0;
    println!(
        "\n{:<14} {:<16} {:<10} {:>9} {:>9}  answer",
        "asked", "ran on", "target", "stall", "time"
    );
    for (round, index) in (0..ADAPTERS).step_by(ADAPTER_STEP).enumerate() {
        let name = adapter_name(index);
        let current = 1 + index % 3;
        // Every other request selects a version.
        let (model, version) = match round % 2 {
            0 => (name.clone(), current),
            _ => (format!("{name}@3"), 3),
        };
        let mut call = ChatCall::new(&model, &format!("Is gate {round} open?"), TOKENS);
        if round % 3 == 0 {
            call = call.without_streaming();
        }
        let answer = call.send(cluster.http(), cluster.entry(round % 2)).await?;
        let check = call.check(&answer, &format!("{name}@{version}"));
        println!(
            "{model:<14} {:<16} {:<10} {:>6} ms {:>6} ms  {}",
            answer.header("x-plantain-adapter").unwrap_or("-"),
            answer.header("x-plantain-target").unwrap_or("-"),
            answer.header("x-plantain-load-stall-ms").unwrap_or("-"),
            answer.last.as_millis(),
            match &check {
                Ok(()) => "complete and correct".to_owned(),
                Err(error) => format!("WRONG: {error:#}"),
            }
        );
        wrong += usize::from(check.is_err());
    }
    Ok(wrong)
}

fn print_hints(cluster: &Cluster) {
    let (entry, platform) = (cluster.entry(0), cluster.platform());
    let directory =
        env::current_exe().ok().and_then(|path| path.parent().map(|p| p.display().to_string()));
    let control = format!("{}/plantainctl --platform {platform}", directory.unwrap_or_default());
    println!(
        r#"
The cluster is running; Ctrl-C stops it. Try:

  curl -N http://{entry}/v1/chat/completions -d '{{"model":"house-0042@3","stream":true,"max_tokens":8,"messages":[{{"role":"user","content":"Is the east gate open?"}}]}}'
  curl http://{entry}/v1/models
  curl http://{entry}/services/desk/stamps -d 'gate 7' -H 'idempotency-key: stamp-1'
  curl http://{}/metrics
  {control} status
  {control} adapter roll-out house-0042 2
  {control} --wait 5 preset switch peak"#,
        cluster.entry_admin(0)
    );
}
