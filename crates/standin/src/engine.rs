//! Stand-in for an inference engine: a vLLM-style HTTP API over a simulated continuous batch.

pub mod batch;
mod control;

use crate::{
    answer::prompt_tokens,
    engine::batch::{BatchModel, BatchTimes, Sequence, TokenEvent},
};
use bytes::Bytes;
use control::AdapterOrder;
use eyre::Result;
use http_body_util::BodyExt;
use hyper::{Method, Request, Response, StatusCode, body::Incoming, header::CONTENT_TYPE};
use plantain_net::{
    body::{BodyAbort, BodySender, ReplyBody},
    client::HttpClient,
    server::{self, HttpHandler, HttpReply, ServerOptions, json_reply, text_reply},
};
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};
use std::{
    collections::BTreeSet,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard},
    time::{Duration, SystemTime, UNIX_EPOCH},
};
use tokio::{
    sync::{Notify, mpsc, watch},
    task::yield_now,
    time::sleep,
};

/// Tokens generated when a request sets no `max_tokens`.
const DEFAULT_TOKENS: u32 = 16;

/// Pause between the first token of an answer and its injected abort, so that the token is sent.
const FLUSH_PAUSE: Duration = Duration::from_millis(50);
/// Model named in an answer under the `wrong_model` fault.
const WRONG_MODEL: &str = "house-9999@1";

/// Settings of the engine stand-in.
#[derive(Clone, Debug)]
pub struct EngineOptions {
    /// Listen address for API and test controls.
    pub listen: SocketAddr,
    /// Maximum number of adapters that are resident or loading.
    pub slots: usize,
    /// Maximum number of sequences in the batch; others wait.
    pub batch_limit: usize,
    /// Cost model of a batch step.
    pub times: BatchTimes,
    /// Whether load and unload orders with an outdated fencing number are refused.
    pub check_fencing: bool,
    /// Interval at which the values on `/metrics` are refreshed.
    pub report_lag: Duration,
}

/// Faults that a test sets with `POST /standin/faults`.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default)]
pub struct EngineFaults {
    /// How many of the next loads fail.
    pub fail_loads: u32,
    /// Whether loads hang, until this is cleared.
    pub hang_loads: bool,
    /// How many of the next answers name a different adapter than the requested one.
    pub wrong_model: u32,
    /// How many of the next answers are aborted after their first token.
    pub cut_answers: u32,
    /// How many of the next answers have wrong content under the right adapter name.
    pub wrong_content: u32,
    /// For how many of the next requests the adapter is unloaded as soon as they are queued.
    pub drop_in_use: u32,
    /// Whether the batch is paused, so that no tokens are generated.
    pub freeze: bool,
}

/// Poison prompt: the engine process exits when a request with it arrives, as on a bug that the
/// prompt triggers.
pub const FATAL_PROMPT: &str = "a prompt that no engine survives";
/// Exit status of an engine that was given `FATAL_PROMPT`.
const FATAL_STATUS: i32 = 70;

/// Counters and state of the engine, served at `GET /standin/records`.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct EngineRecords {
    /// `x-request-id` of each accepted request, in order of arrival.
    pub executed: Vec<String>,
    /// Sequences that generated all their tokens.
    pub completed: u64,
    /// Sequences cancelled because their caller disconnected.
    pub cancelled: u64,
    /// Adapters unloaded while a sequence was using them.
    pub evicted_in_use: u64,
    /// Orders refused for an outdated fencing number.
    pub fenced: u64,
    /// Loads that succeeded.
    pub loads: u64,
    /// Batch steps run.
    pub steps: u64,
    /// Sum of the batch sizes over all steps.
    pub sequence_steps: u64,
    /// Resident adapters.
    pub adapters: BTreeSet<String>,
}

#[derive(Clone, Debug, Default)]
struct LoadReport {
    running: usize,
    waiting: usize,
    adapters: BTreeSet<String>,
}

struct EngineState {
    started: f64,
    batch: BatchModel,
    adapters: BTreeSet<String>,
    loading: BTreeSet<String>,
    fencing: u64,
    faults: EngineFaults,
    records: EngineRecords,
    report: LoadReport,
    next_id: u64,
}

#[derive(Clone)]
struct EngineHandler {
    options: Arc<EngineOptions>,
    state: Arc<Mutex<EngineState>>,
    work_added: Arc<Notify>,
    http: HttpClient,
}

#[derive(Deserialize)]
struct CompletionRequest {
    model: String,
    #[serde(default)]
    prompt: Option<String>,
    #[serde(default)]
    messages: Vec<ChatMessage>,
    #[serde(default)]
    stream: bool,
    #[serde(default)]
    max_tokens: Option<u32>,
    #[serde(default)]
    priority: i64,
}

#[derive(Deserialize)]
struct ChatMessage {
    content: String,
}

impl CompletionRequest {
    fn prompt(&self) -> String {
        match &self.prompt {
            Some(prompt) => prompt.clone(),
            None => self.messages.iter().map(|m| m.content.as_str()).collect::<Vec<_>>().join("\n"),
        }
    }
}

/// Runs the stand-in until `stopping`.
pub async fn run(options: EngineOptions, stopping: watch::Receiver<bool>) -> Result<()> {
    let listener = server::bind(options.listen, "engine stand-in").await?;
    let state = EngineState {
        started: process_start(),
        batch: BatchModel::new(options.batch_limit, options.times.clone()),
        adapters: BTreeSet::new(),
        loading: BTreeSet::new(),
        fencing: 0,
        faults: EngineFaults::default(),
        records: EngineRecords::default(),
        report: LoadReport::default(),
        next_id: 0,
    };
    let handler = EngineHandler {
        options: Arc::new(options),
        state: Arc::new(Mutex::new(state)),
        work_added: Arc::new(Notify::new()),
        http: HttpClient::new(),
    };
    tokio::spawn(run_batch(handler.clone()));
    tokio::spawn(run_report(handler.clone()));
    server::serve(listener, handler, ServerOptions { connections: 4_096 }, stopping).await;
    Ok(())
}

fn process_start() -> f64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_secs_f64()
}

async fn run_batch(handler: EngineHandler) {
    loop {
        let step = {
            let mut state = handler.state();
            if state.faults.freeze { None } else { state.batch.begin_step() }
        };
        let Some(duration) = step else {
            let _ = tokio::time::timeout(Duration::from_millis(20), handler.work_added.notified())
                .await;
            continue;
        };
        // The timer would round a step of zero length up to a millisecond, so such a step yields
        // instead.
        if duration.is_zero() {
            yield_now().await;
        } else {
            sleep(duration).await;
        }
        let mut state = handler.state();
        let counts = state.batch.end_step();
        state.records.steps += 1;
        state.records.sequence_steps += counts.sequences as u64;
        state.records.completed += counts.completed;
        state.records.cancelled += counts.cancelled;
    }
}

async fn run_report(handler: EngineHandler) {
    loop {
        sleep(handler.options.report_lag).await;
        let mut state = handler.state();
        state.report = LoadReport {
            running: state.batch.running(),
            waiting: state.batch.waiting(),
            adapters: state.batch.models(),
        };
    }
}

impl HttpHandler for EngineHandler {
    async fn handle(&self, request: Request<Incoming>, _peer: SocketAddr) -> HttpReply {
        let (parts, body) = request.into_parts();
        let Ok(body) = body.collect().await else {
            return text_reply(StatusCode::BAD_REQUEST, "body broken off");
        };
        let body = body.to_bytes();
        let header = |name: &str| parts.headers.get(name).and_then(|value| value.to_str().ok());
        let fencing = header("x-fencing-number").and_then(|number| number.parse().ok());
        let id = header("x-request-id").unwrap_or("").to_owned();
        match (parts.method, parts.uri.path()) {
            (Method::POST, "/v1/completions") => self.complete(id, &body, false),
            (Method::POST, "/v1/chat/completions") => self.complete(id, &body, true),
            (Method::POST, "/v1/load_lora_adapter") => self.load(fencing, &body).await,
            (Method::POST, "/v1/unload_lora_adapter") => self.unload(fencing, &body),
            (Method::GET, "/v1/models") => self.models(),
            (Method::GET, "/metrics") => self.metrics(),
            (Method::GET, "/standin/records") => self.records(),
            (Method::POST, "/standin/faults") => self.set_faults(&body),
            (Method::POST, "/standin/restart") => self.restart(),
            _ => text_reply(StatusCode::NOT_FOUND, "no such call"),
        }
    }
}

impl EngineHandler {
    fn state(&self) -> MutexGuard<'_, EngineState> {
        self.state.lock().expect("no panic while locked")
    }

    fn complete(&self, request_id: String, body: &Bytes, chat: bool) -> HttpReply {
        let request: CompletionRequest = match serde_json::from_slice(body) {
            Ok(request) => request,
            Err(error) => return engine_error(StatusCode::BAD_REQUEST, &error.to_string()),
        };
        let prompt = request.prompt();
        let mut state = self.state();
        if !state.adapters.contains(&request.model) {
            let message = format!("The model `{}` does not exist.", request.model);
            return engine_error(StatusCode::NOT_FOUND, &message);
        }
        state.records.executed.push(request_id);
        if prompt == FATAL_PROMPT {
            std::process::exit(FATAL_STATUS);
        }
        state.next_id += 1;
        let id = format!("cmpl-{}", state.next_id);
        let tokens = request.max_tokens.unwrap_or(DEFAULT_TOKENS).max(1);
        let (events, receiver) = mpsc::unbounded_channel();
        let answered_model = if consume_fault(&mut state.faults.wrong_model) {
            WRONG_MODEL.to_owned()
        } else {
            request.model.clone()
        };
        let cut = consume_fault(&mut state.faults.cut_answers);
        let prompt_size = prompt_tokens(&prompt);
        let wrong_content = consume_fault(&mut state.faults.wrong_content);
        let effective_prompt = if wrong_content { format!("{prompt}?") } else { prompt };
        let model = request.model.clone();
        state.batch.push(Sequence::new(
            request.model,
            effective_prompt,
            tokens,
            request.priority,
            events,
        ));
        if consume_fault(&mut state.faults.drop_in_use) {
            state.drop_adapter(&model);
        }
        drop(state);
        self.work_added.notify_one();
        let writer = AnswerWriter { id, model: answered_model, chat, cut, prompt_size };
        let (sender, reply_body) = ReplyBody::channel();
        let content_type = if request.stream { "text/event-stream" } else { "application/json" };
        if request.stream {
            tokio::spawn(writer.stream(receiver, sender));
        } else {
            tokio::spawn(writer.collect(receiver, sender));
        }
        let mut reply = Response::new(reply_body);
        reply.headers_mut().insert(CONTENT_TYPE, content_type.parse().expect("a header value"));
        reply
    }
}

impl EngineState {
    /// Unloads an adapter even if sequences use it; false if it was not resident.
    fn drop_adapter(&mut self, model: &str) -> bool {
        if !self.adapters.remove(model) {
            return false;
        }
        if self.batch.abort_model(model) > 0 {
            self.records.evicted_in_use += 1;
        }
        true
    }
}

/// Uses up one of `count` faults; false if none is left.
fn consume_fault(count: &mut u32) -> bool {
    let taken = *count > 0;
    *count = count.saturating_sub(1);
    taken
}

struct AnswerWriter {
    id: String,
    model: String,
    chat: bool,
    cut: bool,
    prompt_size: u32,
}

impl AnswerWriter {
    async fn stream(self, mut tokens: mpsc::UnboundedReceiver<TokenEvent>, sender: BodySender) {
        loop {
            // Returning on the caller's disconnect drops `tokens`, which cancels the sequence.
            let event = tokio::select! {
                event = tokens.recv() => event,
                () = sender.closed() => return,
            };
            let (token, last) = match event {
                Some(TokenEvent::Token { text, last }) => (text, last),
                Some(TokenEvent::Lost) | None => {
                    let _ = sender.send(Err(BodyAbort("engine lost the sequence".into()))).await;
                    return;
                }
            };
            let mut piece = format!("data: {}\n\n", self.chunk(&token, last));
            if last {
                piece.push_str("data: [DONE]\n\n");
            }
            if sender.send(Ok(piece.into())).await.is_err() || last {
                return;
            }
            if self.cut {
                // The server discards unwritten data when a body is aborted.
                sleep(FLUSH_PAUSE).await;
                let _ = sender.send(Err(BodyAbort("cut by a fault".into()))).await;
                return;
            }
        }
    }

    async fn collect(self, mut tokens: mpsc::UnboundedReceiver<TokenEvent>, sender: BodySender) {
        let mut text = String::new();
        let mut count = 0;
        loop {
            let event = tokio::select! {
                event = tokens.recv() => event,
                () = sender.closed() => return,
            };
            let Some(TokenEvent::Token { text: token, last }) = event else {
                let _ = sender.send(Err(BodyAbort("engine lost the sequence".into()))).await;
                return;
            };
            text.push_str(&token);
            count += 1;
            if self.cut {
                let _ = sender.send(Err(BodyAbort("cut by a fault".into()))).await;
                return;
            }
            if last {
                break;
            }
        }
        let _ = sender.send(Ok(self.completion(&text, count).to_string().into())).await;
    }

    fn chunk(&self, token: &str, last: bool) -> Value {
        let finish = last.then_some("length");
        if self.chat {
            json!({"id": self.id, "object": "chat.completion.chunk", "model": self.model,
                "choices": [{"index": 0, "delta": {"content": token}, "finish_reason": finish}]})
        } else {
            json!({"id": self.id, "object": "text_completion", "model": self.model,
                "choices": [{"index": 0, "text": token, "finish_reason": finish}]})
        }
    }

    fn completion(&self, text: &str, tokens: u32) -> Value {
        let choice = if self.chat {
            json!({"index": 0, "message": {"role": "assistant", "content": text},
                "finish_reason": "length"})
        } else {
            json!({"index": 0, "text": text, "finish_reason": "length"})
        };
        let object = if self.chat { "chat.completion" } else { "text_completion" };
        json!({"id": self.id, "object": object, "model": self.model, "choices": [choice],
            "usage": {"prompt_tokens": self.prompt_size, "completion_tokens": tokens,
                "total_tokens": self.prompt_size + tokens}})
    }
}

fn engine_error(status: StatusCode, message: &str) -> HttpReply {
    json_reply(status, &json!({"error": {"message": message, "code": status.as_u16()}}))
}

impl EngineHandler {
    fn parse_order(
        &self,
        fencing: Option<u64>,
        body: &Bytes,
    ) -> Result<AdapterOrder, Box<HttpReply>> {
        let order: AdapterOrder = serde_json::from_slice(body)
            .map_err(|error| Box::new(engine_error(StatusCode::BAD_REQUEST, &error.to_string())))?;
        let mut state = self.state();
        let number = fencing.unwrap_or(0);
        if self.options.check_fencing && number < state.fencing {
            state.records.fenced += 1;
            return Err(engine_error(StatusCode::CONFLICT, "stale fencing number").into());
        }
        state.fencing = state.fencing.max(number);
        Ok(order)
    }
}
