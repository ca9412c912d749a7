//! Stand-in for a plain service: echoes each call and records it, so that a test can count how
//! often a call with an idempotency key was executed.

use bytes::Bytes;
use eyre::Result;
use http_body_util::BodyExt;
use hyper::{
    Request, Response, StatusCode, Version,
    body::Incoming,
    header::{HeaderValue, RETRY_AFTER},
};
use plantain_net::{
    body::ReplyBody,
    server::{self, HttpHandler, HttpReply, ServerOptions, json_reply, text_reply},
};
use serde::{Deserialize, Serialize};
use std::{
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::Duration,
};
use tokio::{sync::watch, time::sleep};

/// Exit status of a service that ends in the middle of an answer.
const ENDED_STATUS: i32 = 7;

/// Settings of the service stand-in.
#[derive(Clone, Debug)]
pub struct ServiceOptions {
    /// Listen address for calls and test controls.
    pub listen: SocketAddr,
    /// Processing time of a call.
    pub call_time: Duration,
}

/// An executed call, served at `GET /standin/calls`.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct CallRecord {
    /// HTTP method.
    pub method: String,
    /// Path and query.
    pub path: String,
    /// Value of the `idempotency-key` header, if present.
    pub key: Option<String>,
    /// Size of the request body in bytes.
    pub body_bytes: usize,
}

/// Faults that a test sets with `POST /standin/faults`.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default)]
pub struct ServiceFaults {
    /// How many of the next calls are executed twice.
    pub execute_twice: u32,
    /// If set, calls are answered with status 503 and this value as `Retry-After`.
    #[serde(rename = "rest")]
    pub retry_after: Option<String>,
    /// Whether the service ends its process in the middle of its next answer, which has neither a length nor chunks.
    pub end_midway: bool,
}

#[derive(Clone)]
struct ServiceHandler {
    call_time: Duration,
    faults: Arc<Mutex<ServiceFaults>>,
    calls: Arc<Mutex<Vec<CallRecord>>>,
}

/// Runs the stand-in until `stopping`.
pub async fn run(options: ServiceOptions, stopping: watch::Receiver<bool>) -> Result<()> {
    let listener = server::bind(options.listen, "service stand-in").await?;
    let handler = ServiceHandler {
        call_time: options.call_time,
        faults: Arc::default(),
        calls: Arc::default(),
    };
    server::serve(listener, handler, ServerOptions { connections: 1_024 }, stopping).await;
    Ok(())
}

impl HttpHandler for ServiceHandler {
    async fn handle(&self, request: Request<Incoming>, _peer: SocketAddr) -> HttpReply {
        let (parts, body) = request.into_parts();
        let path = parts.uri.path_and_query().map_or("/", |path| path.as_str()).to_owned();
        if path == "/standin/calls" {
            let calls = self.calls.lock().expect("no panic while locked").clone();
            return json_reply(StatusCode::OK, &calls);
        }
        let Ok(body) = body.collect().await else {
            return text_reply(StatusCode::BAD_REQUEST, "body broken off");
        };
        let body = body.to_bytes();
        if path == "/standin/faults" {
            return self.set_faults(&body);
        }
        let header =
            |name| parts.headers.get(name).and_then(|value: &HeaderValue| value.to_str().ok());
        let call = CallRecord {
            method: parts.method.to_string(),
            path: path.clone(),
            key: header("idempotency-key").map(str::to_owned),
            body_bytes: body.len(),
        };
        self.execute(call);
        let retry_after = self.faults.lock().expect("no panic while locked").retry_after.clone();
        if let Some(retry_after) =
            retry_after.and_then(|retry_after| HeaderValue::from_str(&retry_after).ok())
        {
            let mut reply = text_reply(StatusCode::SERVICE_UNAVAILABLE, "busy");
            reply.headers_mut().insert(RETRY_AFTER, retry_after);
            return reply;
        }
        if self.faults.lock().expect("no panic while locked").end_midway {
            return end_midway();
        }
        sleep(self.call_time).await;
        let text = format!("{} {path}\n{}", parts.method, String::from_utf8_lossy(&body));
        let mut reply = text_reply(StatusCode::OK, text);
        if let Some(value) = parts.headers.get("x-echo") {
            reply.headers_mut().insert("x-echo", value.clone());
        }
        reply
    }
}

/// The beginning of an answer that ends with its connection, because the process ends.
fn end_midway() -> HttpReply {
    let (sender, body) = ReplyBody::channel();
    tokio::spawn(async move {
        let _ = sender.send(Ok(Bytes::from_static(b"the first half"))).await;
        sleep(Duration::from_millis(30)).await;
        std::process::exit(ENDED_STATUS);
    });
    let mut reply = Response::new(body);
    *reply.version_mut() = Version::HTTP_10;
    reply
}

impl ServiceHandler {
    fn execute(&self, call: CallRecord) {
        let mut calls = self.calls.lock().expect("no panic while locked");
        let mut faults = self.faults.lock().expect("no panic while locked");
        if faults.execute_twice > 0 {
            faults.execute_twice -= 1;
            calls.push(call.clone());
        }
        calls.push(call);
    }

    fn set_faults(&self, body: &[u8]) -> HttpReply {
        match serde_json::from_slice(body) {
            Ok(faults) => {
                *self.faults.lock().expect("no panic while locked") = faults;
                text_reply(StatusCode::OK, "set")
            }
            Err(error) => text_reply(StatusCode::BAD_REQUEST, error.to_string()),
        }
    }
}
