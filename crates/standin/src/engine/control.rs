//! Adapter orders, metrics and test controls of the engine stand-in.

use super::{EngineHandler, EngineState, consume_fault, engine_error, process_start};
use bytes::Bytes;
use hyper::{Method, StatusCode};
use plantain_net::server::{HttpReply, json_reply, text_reply};
use serde::Deserialize;
use serde_json::json;
use std::{fmt::Write, time::Duration};
use tokio::time::sleep;

/// Timeout of the download of an adapter's weights.
const LOAD_TIMEOUT: Duration = Duration::from_mins(1);

/// An order to load or unload an adapter.
#[derive(Deserialize)]
pub(super) struct AdapterOrder {
    lora_name: String,
    #[serde(default)]
    lora_path: String,
}

impl EngineHandler {
    pub(super) async fn load(&self, fencing: Option<u64>, body: &Bytes) -> HttpReply {
        let order = match self.parse_order(fencing, body) {
            Ok(order) => order,
            Err(reply) => return *reply,
        };
        if let Err(reply) = self.begin_load(&order) {
            return *reply;
        }
        let weights = self.http.call(Method::GET, &order.lora_path, "", LOAD_TIMEOUT).await;
        while self.state().faults.hang_loads {
            sleep(Duration::from_millis(20)).await;
        }
        let mut state = self.state();
        // A restart during the download clears `loading`.
        if !state.loading.remove(&order.lora_name) {
            return engine_error(StatusCode::INTERNAL_SERVER_ERROR, "engine restarted");
        }
        match weights {
            Ok(answer) if answer.status == StatusCode::TOO_MANY_REQUESTS => {
                engine_error(StatusCode::SERVICE_UNAVAILABLE, "weight store is busy")
            }
            Ok(answer)
                if answer.status.is_success() && !consume_fault(&mut state.faults.fail_loads) =>
            {
                state.records.loads += 1;
                state.adapters.insert(order.lora_name);
                text_reply(StatusCode::OK, "loaded")
            }
            Ok(_) => engine_error(StatusCode::INTERNAL_SERVER_ERROR, "load failed"),
            Err(error) => {
                engine_error(StatusCode::INTERNAL_SERVER_ERROR, &format!("load failed: {error:#}"))
            }
        }
    }

    fn begin_load(&self, order: &AdapterOrder) -> Result<(), Box<HttpReply>> {
        let mut state = self.state();
        if state.adapters.contains(&order.lora_name) || state.loading.contains(&order.lora_name) {
            return Err(engine_error(StatusCode::BAD_REQUEST, "already loaded").into());
        }
        if state.adapters.len() + state.loading.len() >= self.options.slots {
            return Err(engine_error(StatusCode::BAD_REQUEST, "no free adapter slot").into());
        }
        state.loading.insert(order.lora_name.clone());
        Ok(())
    }

    pub(super) fn unload(&self, fencing: Option<u64>, body: &Bytes) -> HttpReply {
        let order = match self.parse_order(fencing, body) {
            Ok(order) => order,
            Err(reply) => return *reply,
        };
        let mut state = self.state();
        if !state.drop_adapter(&order.lora_name) {
            return engine_error(StatusCode::NOT_FOUND, "not loaded");
        }
        text_reply(StatusCode::OK, "unloaded")
    }

    pub(super) fn models(&self) -> HttpReply {
        let state = self.state();
        let models: Vec<_> =
            state.adapters.iter().map(|id| json!({"id": id, "object": "model"})).collect();
        json_reply(StatusCode::OK, &json!({"object": "list", "data": models}))
    }

    pub(super) fn metrics(&self) -> HttpReply {
        let state = self.state();
        let mut text = String::new();
        let running = state.report.adapters.iter().cloned().collect::<Vec<_>>().join(",");
        let _ = writeln!(text, "process_start_time_seconds {:.6}", state.started);
        let _ = writeln!(text, "vllm:num_requests_running {}", state.report.running);
        let _ = writeln!(text, "vllm:num_requests_waiting {}", state.report.waiting);
        let _ = writeln!(text, "vllm:lora_requests_info{{running_lora_adapters=\"{running}\"}} 1");
        text_reply(StatusCode::OK, text)
    }

    pub(super) fn records(&self) -> HttpReply {
        let state = self.state();
        let mut records = state.records.clone();
        records.adapters.clone_from(&state.adapters);
        json_reply(StatusCode::OK, &records)
    }

    pub(super) fn set_faults(&self, body: &Bytes) -> HttpReply {
        match serde_json::from_slice(body) {
            Ok(faults) => {
                self.state().faults = faults;
                text_reply(StatusCode::OK, "set")
            }
            Err(error) => text_reply(StatusCode::BAD_REQUEST, error.to_string()),
        }
    }

    pub(super) fn restart(&self) -> HttpReply {
        let mut state = self.state();
        let EngineState { batch, adapters, loading, started, .. } = &mut *state;
        batch.clear();
        adapters.clear();
        loading.clear();
        *started = process_start();
        text_reply(StatusCode::OK, "restarted empty")
    }
}
