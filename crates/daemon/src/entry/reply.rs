//! Error answers of the entry itself. Each is JSON and says what is wrong, what to do, and whether
//! the request ran.

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

/// Time in milliseconds after which to retry; `Retry-After` has seconds only.
const RETRY_AFTER_MS: HeaderName = HeaderName::from_static("retry-after-ms");

/// An error answer to a caller.
#[derive(Clone, Debug)]
pub struct RequestError {
    /// HTTP status code of the answer.
    pub status: StatusCode,
    /// Machine-readable name of the error, also a label of the refusal metrics.
    pub kind: &'static str,
    /// Text for people: what is wrong and what to do.
    pub message: String,
    /// Whether the request provably did not run, or may have run.
    pub outcome: RunOutcome,
    /// Time after which to retry; `None` if a retry would not help or the time is unknown.
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

    /// The path is not served.
    pub fn unknown_path(path: &str) -> Self {
        let message = format!(
            "path {path} does not exist; use /v1/chat/completions, /v1/completions, /v1/models or \
             /services/<name>/<path>"
        );
        Self::refused(StatusCode::NOT_FOUND, "unknown_path", message)
    }

    /// The path does not accept the request's method.
    pub fn wrong_method(path: &str, wanted: &Method) -> Self {
        let message = format!("{path} accepts only {wanted}");
        let error = Self::refused(StatusCode::METHOD_NOT_ALLOWED, "wrong_method", message);
        Self { allow: Some(wanted.clone()), ..error }
    }

    /// No service with this name is configured.
    pub fn unknown_service(name: &str) -> Self {
        let message = format!("there is no service `{name}`; check the name below /services/");
        Self::refused(StatusCode::NOT_FOUND, "unknown_service", message)
    }

    /// The body is not a valid JSON request.
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

    /// `model` does not parse as `name` or `name@version`.
    pub fn bad_model(error: &str) -> Self {
        Self::refused(StatusCode::BAD_REQUEST, "bad_model", format!("`model`: {error}"))
    }

    /// No adapter with this name is configured.
    pub fn unknown_adapter(name: &str) -> Self {
        let message = format!("there is no adapter `{name}`; /v1/models lists all adapters");
        Self::refused(StatusCode::NOT_FOUND, "unknown_adapter", message)
    }

    /// The adapter does not have the selected version; the message lists those it has.
    pub fn unknown_version(selector: &ModelSelector, known: &[AdapterVersion]) -> Self {
        let version = selector.version.unwrap_or_default();
        let message =
            format!("adapter `{}` has no version {version}; it has {known:?}", selector.name);
        Self::refused(StatusCode::NOT_FOUND, "unknown_version", message)
    }

    /// A header has an invalid value.
    pub fn bad_header(name: &str, problem: &str) -> Self {
        Self::refused(StatusCode::BAD_REQUEST, "bad_header", format!("header `{name}`: {problem}"))
    }

    /// The request carries no caller's key although callers are configured.
    pub fn missing_key() -> Self {
        let message = "send the caller's key as `Authorization: Bearer <key>`";
        Self::refused(StatusCode::UNAUTHORIZED, "missing_key", message)
    }

    /// The key belongs to no caller.
    pub fn unknown_key() -> Self {
        Self::refused(StatusCode::UNAUTHORIZED, "unknown_key", "this key belongs to no caller")
    }

    /// The body is larger than `limit` bytes.
    pub fn body_too_large(limit: usize) -> Self {
        let message = format!("the body is larger than {limit} bytes");
        Self::refused(StatusCode::PAYLOAD_TOO_LARGE, "body_too_large", message)
    }

    /// The body did not arrive completely, or not in time.
    pub fn body_incomplete(problem: &str) -> Self {
        let message = format!("the body is incomplete: {problem}");
        Self::refused(StatusCode::REQUEST_TIMEOUT, "body_incomplete", message)
    }

    /// The entry has no free slot, or could not resolve the request with a configuration as new as
    /// the agents'.
    pub fn entry_busy(retry_after: Duration) -> Self {
        let proof = NotRunProof::never_offered(RefusalReason::EntryBusy, Some(retry_after));
        Self::not_run(&proof)
    }

    /// The request failed and provably did not run.
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

    /// Another entry has recorded a request with this key.
    pub fn key_taken(entry: &str) -> Self {
        let message = format!(
            "a request with this idempotency key was accepted by {entry}, which may have run it; \
             retry there for its answer"
        );
        Self {
            outcome: RunOutcome::Unknown,
            ..Self::refused(StatusCode::CONFLICT, "key_taken", message)
        }
    }

    /// The first request with this key was answered, but its answer is not cached.
    pub fn already_answered() -> Self {
        let message = "a request with this idempotency key has run; its answer was too large to \
                       be cached";
        Self {
            outcome: RunOutcome::Unknown,
            ..Self::refused(StatusCode::CONFLICT, "already_answered", message)
        }
    }

    /// Neither the first request with this key nor this one was run.
    pub fn first_not_run() -> Self {
        let message = "not run: neither was the earlier request with this key; retry";
        Self {
            retry_after: Some(Duration::ZERO),
            ..Self::refused(StatusCode::SERVICE_UNAVAILABLE, "first_not_run", message)
        }
    }

    /// The request's key cannot be recorded now, so the request is not run.
    pub fn keys_unavailable(retry_after: Duration) -> Self {
        let message = "not run: the platform, which stores idempotency keys, does not answer; \
                       retry after the given time";
        Self {
            retry_after: Some(retry_after),
            ..Self::refused(StatusCode::SERVICE_UNAVAILABLE, "keys_unavailable", message)
        }
    }

    /// The requests of all keys that the entry can hold are in flight, so the request is not run.
    pub fn keys_full(retry_after: Duration) -> Self {
        let message = "not run: the entry has too many requests with idempotency keys in flight; \
                       retry after the given time";
        Self {
            retry_after: Some(retry_after),
            ..Self::refused(StatusCode::SERVICE_UNAVAILABLE, "keys_full", message)
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

    /// The error as JSON, as in the body of the answer and in the error event of a stream.
    pub fn body(&self) -> Value {
        let retry = self.retry_after.map(|delay| delay.as_millis() as u64);
        json!({"error": {
            "type": self.kind, "message": self.message, "outcome": self.outcome,
            "retry_after_ms": retry,
        }})
    }

    /// The error as an HTTP answer.
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
        RefusalReason::TooLate => "the deadline could not be met; retry with a later one",
        RefusalReason::PresetClosed => "the active preset does not admit this priority",
        RefusalReason::LoadFailed => "the adapter could not be loaded; retry",
        RefusalReason::Unreachable | RefusalReason::TargetDown => "no target can run it now; retry",
        RefusalReason::HeldBack => {
            "targets crashed while they ran this request; it is quarantined for the given time"
        }
        _ => "retry after the given time",
    }
}
