//! A caller's chat completion: sends the request, reads the answer and checks every byte.

use crate::answer::expected_answer;
use bytes::{Bytes, BytesMut};
use eyre::{Result, WrapErr, ensure, eyre};
use http_body_util::{BodyExt, Full};
use hyper::{HeaderMap, Method, Request, StatusCode};
use plantain_net::client::{HttpClient, url};
use serde_json::{Value, json};
use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

/// A chat completion request.
#[derive(Clone, Debug)]
pub struct ChatCall {
    /// Value of `model`: an adapter name, with `@version` to select a version.
    pub model: String,
    /// Content of the user's message.
    pub prompt: String,
    /// Number of tokens to generate (`max_tokens`).
    pub tokens: u32,
    /// Whether the answer is streamed as server-sent events.
    pub streamed: bool,
    /// Additional headers, as name and value.
    pub headers: Vec<(String, String)>,
}

impl ChatCall {
    /// Creates a streamed call without additional headers.
    pub fn new(model: &str, prompt: &str, tokens: u32) -> Self {
        Self {
            model: model.to_owned(),
            prompt: prompt.to_owned(),
            tokens,
            streamed: true,
            headers: Vec::new(),
        }
    }

    /// Requests the answer as one JSON body instead of a stream.
    #[must_use]
    pub fn without_streaming(mut self) -> Self {
        self.streamed = false;
        self
    }

    /// Adds a header.
    #[must_use]
    pub fn with_header(mut self, name: &str, value: &str) -> Self {
        self.headers.push((name.to_owned(), value.to_owned()));
        self
    }

    /// JSON body of the request.
    pub fn body(&self) -> Value {
        json!({"model": self.model, "stream": self.streamed, "max_tokens": self.tokens,
            "messages": [{"role": "user", "content": self.prompt}]})
    }

    /// Builds the HTTP request to `peer`.
    pub fn request(&self, peer: SocketAddr) -> Result<Request<Full<Bytes>>> {
        let mut request = Request::builder()
            .method(Method::POST)
            .uri(url(peer, "/v1/chat/completions"))
            .header("content-type", "application/json");
        for (name, value) in &self.headers {
            request = request.header(name.as_str(), value.as_str());
        }
        let body = Bytes::from(serde_json::to_vec(&self.body())?);
        request.body(Full::new(body)).wrap_err("build request")
    }

    /// Sends the call and reads its answer until it ends or is aborted.
    pub async fn send(&self, http: &HttpClient, peer: SocketAddr) -> Result<ChatAnswer> {
        let started = Instant::now();
        let reply = http.send(self.request(peer)?).await?;
        let (parts, mut stream) = reply.into_parts();
        let mut answer = ChatAnswer {
            status: parts.status,
            headers: parts.headers,
            body: BytesMut::new(),
            first: None,
            last: Duration::ZERO,
            broken: None,
        };
        while let Some(frame) = stream.frame().await {
            match frame {
                Ok(frame) => {
                    if let Ok(data) = frame.into_data() {
                        answer.first.get_or_insert_with(|| started.elapsed());
                        answer.body.extend_from_slice(&data);
                    }
                }
                Err(error) => {
                    answer.broken = Some(error.to_string());
                    break;
                }
            }
        }
        answer.last = started.elapsed();
        Ok(answer)
    }

    /// Checks that an answer is complete, names `model` (adapter and version), and has the expected
    /// content.
    pub fn check(&self, answer: &ChatAnswer, model: &str) -> Result<()> {
        ensure!(answer.status == StatusCode::OK, "{}: {}", answer.status, answer.text());
        ensure!(answer.broken.is_none(), "broken off: {:?}", answer.broken);
        let named = answer.header("x-plantain-adapter");
        ensure!(named == Some(model), "ran on {named:?}, not on {model}");
        let expected = expected_answer(model, &self.prompt, self.tokens);
        let content = if self.streamed {
            read_events(&answer.body, model)?
        } else {
            let value: Value = serde_json::from_slice(&answer.body).wrap_err("read answer")?;
            ensure!(value["model"] == model, "the body names {}", value["model"]);
            value["choices"][0]["message"]["content"].as_str().unwrap_or_default().to_owned()
        };
        ensure!(content == expected, "the answer is `{content}`, not `{expected}`");
        Ok(())
    }
}

/// An answer as received; it may be incomplete.
#[derive(Clone, Debug)]
pub struct ChatAnswer {
    /// HTTP status code.
    pub status: StatusCode,
    /// Response headers.
    pub headers: HeaderMap,
    /// Received part of the body.
    pub body: BytesMut,
    /// Time from sending to the first byte of the body; absent without a body.
    pub first: Option<Duration>,
    /// Time from sending to the end of the body.
    pub last: Duration,
    /// Error that aborted the body, if any.
    pub broken: Option<String>,
}

impl ChatAnswer {
    /// Value of a header, if it is present and valid text.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name).and_then(|value| value.to_str().ok())
    }

    /// The body as text; invalid UTF-8 is replaced.
    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }

    /// The `error` object of the body; null if there is none.
    pub fn error(&self) -> Value {
        let value: Value = serde_json::from_slice(&self.body).unwrap_or_default();
        value["error"].clone()
    }

    /// Time that the request waited for its adapter to load, as reported by the entry.
    pub fn load_stall(&self) -> Option<Duration> {
        let millis = self.header("x-plantain-load-stall-ms")?.parse().ok()?;
        Some(Duration::from_millis(millis))
    }
}

/// Concatenates the content of a stream of events. Fails if an event names another model or the end
/// marker is missing.
pub fn read_events(body: &[u8], model: &str) -> Result<String> {
    let text = std::str::from_utf8(body).wrap_err("read events")?;
    let mut content = String::new();
    let mut ended = false;
    for data in text.lines().filter_map(|line| line.strip_prefix("data: ")) {
        ensure!(!ended, "an event after the end marker");
        if data == "[DONE]" {
            ended = true;
            continue;
        }
        let event: Value = serde_json::from_str(data).wrap_err("read event")?;
        ensure!(event["model"] == model, "an event names {}", event["model"]);
        let token = event["choices"][0]["delta"]["content"].as_str();
        content.push_str(token.ok_or_else(|| eyre!("an event has no content"))?);
    }
    ensure!(ended, "no end marker");
    Ok(content)
}
