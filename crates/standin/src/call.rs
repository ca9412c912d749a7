//! A caller's request, its answer, and the check of every byte of it.

use crate::answer::whole_answer;
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

/// A chat completion to ask for.
#[derive(Clone, Debug)]
pub struct ChatCall {
    /// What to put in `model`.
    pub model: String,
    /// The prompt.
    pub prompt: String,
    /// Tokens to generate.
    pub tokens: u32,
    /// Whether to stream.
    pub streamed: bool,
    /// Further headers.
    pub headers: Vec<(String, String)>,
}

impl ChatCall {
    /// A streamed call.
    pub fn new(model: &str, prompt: &str, tokens: u32) -> Self {
        Self {
            model: model.to_owned(),
            prompt: prompt.to_owned(),
            tokens,
            streamed: true,
            headers: Vec::new(),
        }
    }

    /// Asks for the answer in one piece.
    #[must_use]
    pub fn with_whole_answer(mut self) -> Self {
        self.streamed = false;
        self
    }

    /// Adds a header.
    #[must_use]
    pub fn with_header(mut self, name: &str, value: &str) -> Self {
        self.headers.push((name.to_owned(), value.to_owned()));
        self
    }

    /// The request's body.
    pub fn body(&self) -> Value {
        json!({"model": self.model, "stream": self.streamed, "max_tokens": self.tokens,
            "messages": [{"role": "user", "content": self.prompt}]})
    }

    /// The request to send.
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

    /// Sends the call and follows its answer to the end.
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

    /// Checks an answer: adapter, version and every byte.
    pub fn check(&self, answer: &ChatAnswer, model: &str) -> Result<()> {
        ensure!(answer.status == StatusCode::OK, "{}: {}", answer.status, answer.text());
        ensure!(answer.broken.is_none(), "broken off: {:?}", answer.broken);
        let named = answer.header("x-plantain-adapter");
        ensure!(named == Some(model), "ran on {named:?}, not on {model}");
        let wanted = whole_answer(model, &self.prompt, self.tokens);
        let content = if self.streamed {
            read_events(&answer.body, model)?
        } else {
            let value: Value = serde_json::from_slice(&answer.body).wrap_err("read answer")?;
            ensure!(value["model"] == model, "the body names {}", value["model"]);
            value["choices"][0]["message"]["content"].as_str().unwrap_or_default().to_owned()
        };
        ensure!(content == wanted, "the answer is `{content}`, not `{wanted}`");
        Ok(())
    }
}

/// An answer as it arrived.
#[derive(Clone, Debug)]
pub struct ChatAnswer {
    /// HTTP status.
    pub status: StatusCode,
    /// Headers.
    pub headers: HeaderMap,
    /// Body.
    pub body: BytesMut,
    /// Time until the first byte of the body.
    pub first: Option<Duration>,
    /// Time until the end.
    pub last: Duration,
    /// Why the body broke off, if it did.
    pub broken: Option<String>,
}

impl ChatAnswer {
    /// A header's value.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name).and_then(|value| value.to_str().ok())
    }

    /// The body as text.
    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }

    /// The error in the body.
    pub fn error(&self) -> Value {
        let value: Value = serde_json::from_slice(&self.body).unwrap_or_default();
        value["error"].clone()
    }

    /// Time that the request waited for its adapter, as the entry reports it.
    pub fn load_stall(&self) -> Option<Duration> {
        let millis = self.header("x-plantain-load-stall-ms")?.parse().ok()?;
        Some(Duration::from_millis(millis))
    }
}

/// Joins the content of a whole stream of events.
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
