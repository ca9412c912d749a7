//! Sends orders to an engine, and polls its health, restarts and resident adapters.

use super::{decisions::AgentCommand, targets::TargetContext};
use crate::options::constants;
use bytes::Bytes;
use eyre::{Result, WrapErr, ensure, eyre};
use http_body_util::Full;
use hyper::{
    Method, Request, StatusCode,
    header::{CONTENT_TYPE, HeaderName},
};
use plantain_core::{
    agent::events::{AgentEvent, LoadResult},
    ids::{AdapterKey, ModelSelector},
};
use plantain_net::client::{HttpAnswer, url};
use serde::Deserialize;
use serde_json::json;
use slog::{info, warn};
use std::{
    sync::atomic::Ordering,
    time::{Duration, Instant},
};
use tokio::time::sleep;

/// Timeout of a load.
const LOAD_TIMEOUT: Duration = Duration::from_secs(20);
/// Timeout of all other calls.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);
/// Consecutive polls that must fail before the engine counts as down.
const DOWN_POLLS: u32 = 2;
/// Consecutive polls that must show an idle engine before a new agent takes work: the engine's load
/// report lags, and this agent has no pins for the adapters that a previous agent's requests use.
const IDLE_POLLS: u32 = 2;
/// Polls between two inventories.
const INVENTORY_POLLS: u32 = 20;
/// Header that carries an order's fencing number: the epoch of the agent's slot.
const FENCING_HEADER: HeaderName = HeaderName::from_static("x-fencing-number");

#[derive(Clone, Copy, Debug, Default, PartialEq)]
struct EngineReport {
    started: f64,
    running: u64,
    waiting: u64,
}

#[derive(Deserialize)]
struct ModelList {
    data: Vec<ModelEntry>,
}

#[derive(Deserialize)]
struct ModelEntry {
    id: String,
}

/// Orders a load and reports how it ended.
pub(super) async fn load(context: TargetContext, key: AdapterKey) {
    let started = Instant::now();
    context.orders.fetch_add(1, Ordering::AcqRel);
    let store = context.settings.weight_store.map(|store| store.to_string()).unwrap_or_default();
    let path = format!("http://{store}/weights/{}/{}", key.name, key.version);
    let order = json!({"lora_name": key.to_string(), "lora_path": path});
    let answer = send_order(&context, "/v1/load_lora_adapter", &order, LOAD_TIMEOUT).await;
    let result = match answer {
        Ok(answer) if answer.status.is_success() => LoadResult::Loaded,
        // An earlier load took effect: its answer was lost, or a previous agent ordered it.
        Ok(answer) if answer.text().contains("already loaded") => LoadResult::Loaded,
        Ok(answer) if answer.status == StatusCode::SERVICE_UNAVAILABLE => LoadResult::StoreBusy,
        Ok(answer) => {
            warn!(context.logger, "load failed"; "step" => "load", "adapter" => %key,
                "peer" => %context.settings.target, "error" => answer.text());
            LoadResult::Failed
        }
        Err(error) => {
            warn!(context.logger, "load failed"; "step" => "load", "adapter" => %key,
                "peer" => %context.settings.target, "error" => format!("{error:#}"));
            LoadResult::Failed
        }
    };
    context.orders.fetch_add(1, Ordering::AcqRel);
    let took = started.elapsed();
    let _ = context.commands.send(AgentCommand::LoadEnded { key, result, took }).await;
}

/// Orders an eviction and reports how it ended.
pub(super) async fn evict(context: TargetContext, key: AdapterKey) {
    context.orders.fetch_add(1, Ordering::AcqRel);
    let order = json!({"lora_name": key.to_string()});
    let answer = send_order(&context, "/v1/unload_lora_adapter", &order, CALL_TIMEOUT).await;
    let evicted = match answer {
        Ok(answer) => answer.status.is_success() || answer.status == StatusCode::NOT_FOUND,
        Err(error) => {
            warn!(context.logger, "evict failed"; "step" => "evict", "adapter" => %key,
                "peer" => %context.settings.target, "error" => format!("{error:#}"));
            false
        }
    };
    context.orders.fetch_add(1, Ordering::AcqRel);
    let event = AgentEvent::EvictEnded { key, evicted };
    let _ = context.commands.send(AgentCommand::Event(event)).await;
}

async fn send_order(
    context: &TargetContext,
    path: &str,
    order: &serde_json::Value,
    limit: Duration,
) -> Result<HttpAnswer> {
    let request = Request::builder()
        .method(Method::POST)
        .uri(url(context.settings.target, path))
        .header(CONTENT_TYPE, "application/json")
        .header(FENCING_HEADER, *context.epoch.borrow())
        .body(Full::new(Bytes::from(serde_json::to_vec(order)?)))?;
    context.http.fetch(request, limit).await
}

/// Polls the engine until the process ends.
pub(super) async fn watch(context: TargetContext) {
    let mut epoch = context.epoch.clone();
    if epoch.wait_for(|epoch| *epoch > 0).await.is_err() {
        return;
    }
    let mut watch = EngineWatch { context, known_start: None, is_up: false, failures: 0, polls: 0 };
    watch.wait_idle().await;
    loop {
        sleep(constants::POLL_PAUSE).await;
        match watch.poll().await {
            Ok(report) => watch.handle_report(report).await,
            Err(error) => watch.handle_failure(&error).await,
        }
    }
}

struct EngineWatch {
    context: TargetContext,
    known_start: Option<f64>,
    is_up: bool,
    failures: u32,
    polls: u32,
}

impl EngineWatch {
    /// Waits until the requests of a previous agent have ended. This agent has no pins for them, so it
    /// could evict their adapters and break off their answers.
    async fn wait_idle(&self) {
        let mut idle = 0;
        while idle < IDLE_POLLS {
            sleep(constants::POLL_PAUSE).await;
            idle = match self.poll().await {
                Ok(report) if report.running + report.waiting == 0 => idle + 1,
                _ => 0,
            };
        }
    }

    async fn poll(&self) -> Result<EngineReport> {
        let http = &self.context.http;
        let uri = url(self.context.settings.target, "/metrics");
        let answer = http.call(Method::GET, &uri, "", CALL_TIMEOUT).await?;
        ensure!(answer.status.is_success(), "GET {uri}: {}", answer.status);
        let text = answer.text();
        Ok(EngineReport {
            started: read_metric(&text, "process_start_time_seconds")?,
            running: read_metric(&text, "vllm:num_requests_running")? as u64,
            waiting: read_metric(&text, "vllm:num_requests_waiting")? as u64,
        })
    }

    async fn handle_report(&mut self, report: EngineReport) {
        self.failures = 0;
        let restarted =
            self.known_start.is_some_and(|known| known.to_bits() != report.started.to_bits());
        self.known_start = Some(report.started);
        if restarted {
            info!(self.context.logger, "engine restarted"; "step" => "watch engine",
                "peer" => %self.context.settings.target);
            self.send_event(AgentEvent::TargetRestarted).await;
        }
        if !self.is_up || restarted || self.polls.is_multiple_of(INVENTORY_POLLS) {
            self.take_inventory().await;
        }
        self.polls += 1;
        if !self.is_up {
            self.is_up = true;
            self.send_event(AgentEvent::TargetUp(true)).await;
        }
    }

    async fn handle_failure(&mut self, error: &eyre::Report) {
        self.failures += 1;
        if self.failures == DOWN_POLLS && self.is_up {
            warn!(self.context.logger, "engine down"; "step" => "watch engine",
                "peer" => %self.context.settings.target, "error" => format!("{error:#}"));
            self.is_up = false;
            self.send_event(AgentEvent::TargetUp(false)).await;
        }
    }

    /// Reports the engine's list of resident adapters to the decisions duty. Reports nothing if an odd
    /// number of orders is in flight, or if an order was sent or answered during the query: the list
    /// may then show an adapter that has just been evicted.
    async fn take_inventory(&self) {
        let before = self.context.orders.load(Ordering::Acquire);
        if !before.is_multiple_of(2) {
            return;
        }
        match self.inventory().await {
            Ok(residents) if self.context.orders.load(Ordering::Acquire) == before => {
                self.send_event(AgentEvent::Inventory(residents)).await;
            }
            Ok(_) => {}
            Err(error) => warn!(self.context.logger, "inventory failed";
                "step" => "watch engine", "peer" => %self.context.settings.target,
                "error" => format!("{error:#}")),
        }
    }

    async fn inventory(&self) -> Result<Vec<AdapterKey>> {
        let uri = url(self.context.settings.target, "/v1/models");
        let list: ModelList = self.context.http.get_json(&uri, CALL_TIMEOUT).await?;
        // The list also holds the base model, which has no version.
        let keys = list.data.iter().filter_map(|model| {
            let selector = ModelSelector::parse(&model.id).ok()?;
            Some(AdapterKey::new(selector.name, selector.version?))
        });
        Ok(keys.collect())
    }

    async fn send_event(&self, event: AgentEvent) {
        let _ = self.context.commands.send(AgentCommand::Event(event)).await;
    }
}

fn read_metric(text: &str, name: &str) -> Result<f64> {
    let line = text.lines().find_map(|line| line.strip_prefix(name));
    let value = line.ok_or_else(|| eyre!("engine metrics lack {name}"))?;
    // Labels, if any, are between the name and the value.
    let value = value.rsplit(' ').next().unwrap_or_default();
    value.trim().parse().wrap_err_with(|| format!("engine metric {name}"))
}
