//! Answers that the entry gives itself. Every error is JSON, says what to do, and whether the
//! request ran.

use hyper::{
    Method, StatusCode,
    header::{ALLOW, HeaderName, HeaderValue, RETRY_AFTER},
};
use plantain_core::{
    ids::{AdapterVersion, ModelSelector},
    outcome::{NotRunProof, RefusalReason, RunOutcome},
};
use plantain_net::server::{HttpReply, json_reply};
use serde_json::{Value, json};
use std::time::Duration;

/// Retry advice, in milliseconds; `Retry-After` counts in seconds only.
const RETRY_AFTER_MS: HeaderName = HeaderName::from_static("retry-after-ms");

/// An error as the caller sees it.
#[derive(Clone, Debug)]
pub struct RequestError {
    /// HTTP status.
    pub status: StatusCode,
    /// A short name for programs.
    pub kind: &'static str,
    /// What is wrong and what to do.
    pub message: String,
    /// Whether the request ran.
    pub outcome: RunOutcome,
    /// When it is worth asking again.
    pub retry_after: Option<Duration>,
    allow: Option<Method>,
}

impl RequestError {
    fn refused(status: StatusCode, kind: &'static str, message: impl Into<String>) -> Self {
        Self {
            status,
            kind,
            message: message.into(),
            outcome: RunOutcome::NotRun,
            retry_after: None,
            allow: None,
        }
    }

    /// The path leads nowhere.
    pub fn unknown_path(path: &str) -> Self {
        let message = format!(
            "there is nothing at {path}; use /v1/chat/completions, /v1/completions, /v1/models or \
             /services/<name>/<path>"
        );
        Self::refused(StatusCode::NOT_FOUND, "unknown_path", message)
    }

    /// The path takes another method.
    pub fn wrong_method(path: &str, wanted: &Method) -> Self {
        let message = format!("{path} takes {wanted}");
        let error = Self::refused(StatusCode::METHOD_NOT_ALLOWED, "wrong_method", message);
        Self { allow: Some(wanted.clone()), ..error }
    }

    /// No such service is configured.
    pub fn unknown_service(name: &str) -> Self {
        let message = format!("there is no service `{name}`; check the name below /services/");
        Self::refused(StatusCode::NOT_FOUND, "unknown_service", message)
    }

    /// The body is not the JSON that the call takes.
    pub fn malformed_body(error: &serde_json::Error) -> Self {
        let message = format!("the body is not a valid JSON request: {error}");
        Self::refused(StatusCode::BAD_REQUEST, "malformed_body", message)
    }

    /// The body names no model.
    pub fn missing_model() -> Self {
        let message = "the body has no `model`; name an adapter, such as \"house-0042\" or \
                       \"house-0042@3\"";
        Self::refused(StatusCode::BAD_REQUEST, "missing_model", message)
    }

    /// `model` is not a selector.
    pub fn bad_model(error: &str) -> Self {
        Self::refused(StatusCode::BAD_REQUEST, "bad_model", format!("`model`: {error}"))
    }

    /// No such adapter is configured.
    pub fn unknown_adapter(name: &str) -> Self {
        let message = format!("there is no adapter `{name}`; /v1/models lists those there are");
        Self::refused(StatusCode::NOT_FOUND, "unknown_adapter", message)
    }

    /// The adapter has no such version.
    pub fn unknown_version(selector: &ModelSelector, known: &[AdapterVersion]) -> Self {
        let version = selector.version.unwrap_or_default();
        let message =
            format!("adapter `{}` has no version {version}; it has {known:?}", selector.name);
        Self::refused(StatusCode::NOT_FOUND, "unknown_version", message)
    }

    /// A header has a bad value.
    pub fn bad_header(name: &str, problem: &str) -> Self {
        Self::refused(StatusCode::BAD_REQUEST, "bad_header", format!("header `{name}`: {problem}"))
    }

    /// No key was given.
    pub fn missing_key() -> Self {
        let message = "send the caller's key as `Authorization: Bearer <key>`";
        Self::refused(StatusCode::UNAUTHORIZED, "missing_key", message)
    }

    /// The key belongs to no caller.
    pub fn unknown_key() -> Self {
        Self::refused(StatusCode::UNAUTHORIZED, "unknown_key", "this key belongs to no caller")
    }

    /// The body is too large.
    pub fn body_too_large(limit: usize) -> Self {
        let message = format!("the body is over {limit} bytes; send less");
        Self::refused(StatusCode::PAYLOAD_TOO_LARGE, "body_too_large", message)
    }

    /// The body did not arrive.
    pub fn body_incomplete(problem: &str) -> Self {
        let message = format!("the body did not arrive whole: {problem}");
        Self::refused(StatusCode::REQUEST_TIMEOUT, "body_incomplete", message)
    }

    /// The entry is stopping or holds all the requests that it can.
    pub fn entry_busy(retry_after: Duration) -> Self {
        let proof = NotRunProof::never_offered(RefusalReason::EntryBusy, Some(retry_after));
        Self::not_run(&proof)
    }

    /// The request was given up on and provably not run.
    pub fn not_run(proof: &NotRunProof) -> Self {
        let reason = proof.reason();
        let message = format!("not run: {}; {}", reason.name(), advice(reason));
        let mut error = Self::refused(StatusCode::SERVICE_UNAVAILABLE, reason.name(), message);
        if reason == RefusalReason::QueueFull || reason == RefusalReason::PresetClosed {
            error.status = StatusCode::TOO_MANY_REQUESTS;
        }
        error.retry_after = proof.retry_after();
        error
    }

    /// It is not known whether the request ran.
    pub fn unknown(problem: &str) -> Self {
        Self {
            outcome: RunOutcome::Unknown,
            ..Self::refused(
                StatusCode::BAD_GATEWAY,
                "outcome_unknown",
                format!("the request may have run: {problem}"),
            )
        }
    }

    /// Another entry has a request with this key.
    pub fn key_taken(entry: &str) -> Self {
        let message = format!(
            "a request with this idempotency key was taken by {entry}, which may have run it; ask \
             there for its answer"
        );
        Self {
            outcome: RunOutcome::Unknown,
            ..Self::refused(StatusCode::CONFLICT, "key_taken", message)
        }
    }

    /// The first request with this key was answered, but its answer is not held.
    pub fn already_answered() -> Self {
        let message = "a request with this idempotency key has run; its answer was too large to \
                       be held";
        Self {
            outcome: RunOutcome::Unknown,
            ..Self::refused(StatusCode::CONFLICT, "already_answered", message)
        }
    }

    /// The first request with this key was not run, and neither was this one.
    pub fn first_not_run() -> Self {
        let message = "not run: neither was the earlier request with this key; ask again";
        Self {
            retry_after: Some(Duration::ZERO),
            ..Self::refused(StatusCode::SERVICE_UNAVAILABLE, "first_not_run", message)
        }
    }

    /// The request's key cannot be recorded now, so it is not run.
    pub fn keys_unavailable(retry_after: Duration) -> Self {
        let message = "not run: the platform, which keeps idempotency keys, does not answer; ask \
                       again after the time given";
        Self {
            retry_after: Some(retry_after),
            ..Self::refused(StatusCode::SERVICE_UNAVAILABLE, "keys_unavailable", message)
        }
    }

    /// The deadline passed while the target had the request.
    pub fn deadline_passed() -> Self {
        let message = "the deadline passed; the request may have run";
        Self {
            outcome: RunOutcome::Unknown,
            ..Self::refused(StatusCode::GATEWAY_TIMEOUT, "deadline_passed", message)
        }
    }

    /// The error's JSON.
    pub fn body(&self) -> Value {
        let retry = self.retry_after.map(|delay| delay.as_millis() as u64);
        json!({"error": {
            "type": self.kind, "message": self.message, "outcome": self.outcome,
            "retry_after_ms": retry,
        }})
    }

    /// The error as an answer.
    pub fn reply(&self) -> HttpReply {
        let mut reply = json_reply(self.status, &self.body());
        let headers = reply.headers_mut();
        if let Some(delay) = self.retry_after {
            headers.insert(RETRY_AFTER, (delay.as_secs_f64().ceil() as u64).max(1).into());
            headers.insert(RETRY_AFTER_MS, (delay.as_millis() as u64).into());
        }
        if let Some(method) = &self.allow
            && let Ok(value) = HeaderValue::from_str(method.as_str())
        {
            headers.insert(ALLOW, value);
        }
        reply
    }
}

fn advice(reason: RefusalReason) -> &'static str {
    match reason {
        RefusalReason::TooLate => "the deadline could not be met; ask again with a later one",
        RefusalReason::PresetClosed => "the preset in force does not admit this priority",
        RefusalReason::LoadFailed => "the adapter could not be loaded; ask again",
        RefusalReason::Unreachable | RefusalReason::TargetDown => {
            "no target can take it now; ask again"
        }
        RefusalReason::HeldBack => {
            "targets have ended while they ran this request; it is not run before the time given"
        }
        _ => "ask again after the time given",
    }
}
