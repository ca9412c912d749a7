//! Parses and validates callers' requests.

use super::reply::RequestError;
use bytes::Bytes;
use hyper::{
    HeaderMap, Method, Uri,
    header::{AUTHORIZATION, HeaderName},
    http::request::Parts,
};
use plantain_core::{
    config::{CallerRecord, ConfigSnapshot, ResolveError, records::DEADLINE_LIMIT_MS},
    idempotency::{RecordKey, record_key},
    ids::{CallerName, ModelSelector},
    outcome::{NotRunProof, RefusalReason},
    priority::Priority,
    protocol::{RequestHead, WorkItem},
};
use serde::Deserialize;
use serde_json::Value;
use sha2::{Digest, Sha256};
use std::{borrow::Cow, time::Duration};

/// Header with the priority of a request.
pub const PRIORITY_HEADER: &str = "x-plantain-priority";
/// Header with the deadline, in milliseconds from the request's arrival.
pub const DEADLINE_HEADER: &str = "x-plantain-deadline-ms";
/// Header with the idempotency key; retries carry the same key.
pub const KEY_HEADER: &str = "idempotency-key";
/// Header with the request's id.
pub const ID_HEADER: &str = "x-request-id";
/// Longest idempotency key or request id, in bytes.
const TOKEN_LIMIT: usize = 200;
/// Caller's name in requests while no callers are configured.
const ANONYMOUS: &str = "anonymous";
/// Path prefix of services.
const SERVICES_PATH: &str = "/services/";
/// Headers that are not forwarded: hop-by-hop headers (RFC 9110, section 7.6.1), and those that
/// this system writes itself.
const DROPPED_HEADERS: [&str; 13] = [
    "connection",
    "keep-alive",
    "proxy-connection",
    "proxy-authenticate",
    "proxy-authorization",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "host",
    "content-length",
    "expect",
    "authorization",
];

/// A valid request, resolved with one revision of the configuration.
#[derive(Clone, Debug)]
pub struct AdmittedRequest {
    /// The adapter or service that it needs.
    pub work: WorkItem,
    /// The caller whose key it carries, or `anonymous`.
    pub caller: CallerName,
    /// The caller's weight in fair queueing; 1 if no callers are configured.
    pub share: u32,
    /// Priority from its header, or the default limited to the caller's highest.
    pub priority: Priority,
    /// Time until the deadline.
    pub time_left: Duration,
    /// Whether running it twice does no harm.
    pub idempotent: bool,
    /// The key under which it is recorded, if it is not idempotent and the caller sent a key.
    /// Without a key a retry looks like a new request; the entry itself never offers a
    /// non-idempotent request again once it may have run.
    pub record: Option<RecordKey>,
    /// Whether the answer is a stream of events.
    pub streamed: bool,
    /// Method, path and headers for the target.
    pub head: RequestHead,
    /// Body for the target.
    pub body: Bytes,
}

#[derive(Deserialize)]
struct CompletionBody<'a> {
    #[serde(borrow)]
    model: Option<Cow<'a, str>>,
    #[serde(default)]
    stream: bool,
}

/// The kind of call that a path selects.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum RequestPath {
    /// A completion or chat completion.
    Completion,
    /// The list of models.
    Models,
    /// A service and the path below it.
    Service(String, String),
}

impl RequestPath {
    /// Parses a request's method and path.
    pub fn new(method: &Method, uri: &Uri) -> Result<Self, RequestError> {
        let path = uri.path();
        let wanted = match path {
            "/v1/completions" | "/v1/chat/completions" => (Method::POST, Self::Completion),
            "/v1/models" => (Method::GET, Self::Models),
            _ => match path.strip_prefix(SERVICES_PATH) {
                Some(rest) => return Ok(Self::service(rest, uri.query())),
                None => return Err(RequestError::unknown_path(path)),
            },
        };
        if *method != wanted.0 {
            return Err(RequestError::wrong_method(path, &wanted.0));
        }
        Ok(wanted.1)
    }

    fn service(rest: &str, query: Option<&str>) -> Self {
        let (name, path) = match rest.split_once('/') {
            Some((name, path)) => (name, format!("/{path}")),
            None => (rest, "/".to_owned()),
        };
        let path = query.map_or_else(|| path.clone(), |query| format!("{path}?{query}"));
        Self::Service(name.to_owned(), path)
    }
}

/// Validates a request and resolves its adapter or service with `config`.
pub fn admit(
    path: RequestPath,
    parts: &Parts,
    body: Bytes,
    config: &ConfigSnapshot,
) -> Result<AdmittedRequest, RequestError> {
    let caller = find_caller(&parts.headers, config)?;
    let preset = config.preset();
    let priority = read_priority(&parts.headers, caller)?;
    let time_left = read_deadline(&parts.headers)?.unwrap_or_else(|| preset.deadline());
    if priority > preset.lowest_priority {
        let proof = NotRunProof::never_offered(RefusalReason::PresetClosed, None);
        return Err(RequestError::not_run(&proof));
    }
    check_token(&parts.headers, KEY_HEADER)?;
    check_token(&parts.headers, ID_HEADER)?;
    let mut request = AdmittedRequest {
        work: WorkItem::Service { name: "".into() },
        caller: caller.map_or_else(|| ANONYMOUS.into(), |caller| caller.name.clone()),
        share: caller.map_or(1, |caller| caller.share),
        priority,
        time_left,
        idempotent: true,
        record: None,
        streamed: false,
        head: RequestHead {
            method: parts.method.to_string(),
            path: parts.uri.path().to_owned(),
            headers: forwarded_headers(&parts.headers),
        },
        body: Bytes::new(),
    };
    match path {
        RequestPath::Service(name, service_path) => {
            admit_service(&mut request, &name, service_path, config)?;
            request.body = body;
        }
        _ => admit_completion(&mut request, &body, config)?,
    }
    if !request.idempotent {
        let key = read_header(&parts.headers, KEY_HEADER)?;
        request.record = key.map(|key| record_key(&request.caller, &key_scope(&request), key));
    }
    Ok(request)
}

/// Scope of an idempotency key: the same key in another scope is another request.
fn key_scope(request: &AdmittedRequest) -> String {
    match &request.work {
        WorkItem::Service { name } => {
            format!("{name} {} {}", request.head.method, request.head.path)
        }
        WorkItem::Completion { key, .. } => key.name.to_string(),
    }
}

fn admit_service(
    request: &mut AdmittedRequest,
    name: &str,
    service_path: String,
    config: &ConfigSnapshot,
) -> Result<(), RequestError> {
    let service = config.service(name).ok_or_else(|| RequestError::unknown_service(name))?;
    let path = service_path.split('?').next().unwrap_or("/");
    request.idempotent = service.is_idempotent(&request.head.method, path);
    request.work = WorkItem::Service { name: service.name.clone() };
    request.head.path = service_path;
    Ok(())
}

fn admit_completion(
    request: &mut AdmittedRequest,
    body: &Bytes,
    config: &ConfigSnapshot,
) -> Result<(), RequestError> {
    let parsed: CompletionBody<'_> =
        serde_json::from_slice(body).map_err(|error| RequestError::malformed_body(&error))?;
    let model = parsed.model.ok_or_else(RequestError::missing_model)?;
    let selector = ModelSelector::parse(&model).map_err(|error| RequestError::bad_model(&error))?;
    let (key, record) = config.resolve(&selector).map_err(|error| match error {
        ResolveError::UnknownAdapter => RequestError::unknown_adapter(&selector.name),
        ResolveError::UnknownVersion(known) => RequestError::unknown_version(&selector, &known),
    })?;
    request.streamed = parsed.stream;
    request.idempotent = record.idempotent;
    request.body = rewrite_body(body, &key.to_string(), request.priority)?;
    request.work = WorkItem::Completion { key, base: record.base.clone() };
    Ok(())
}

/// Writes the resolved adapter version and the priority into the body for the engine.
fn rewrite_body(body: &Bytes, model: &str, priority: Priority) -> Result<Bytes, RequestError> {
    let mut value: serde_json::Map<String, Value> =
        serde_json::from_slice(body).map_err(|error| RequestError::malformed_body(&error))?;
    value.insert("model".into(), model.into());
    value.insert("priority".into(), priority.rank().into());
    let bytes = serde_json::to_vec(&value).map_err(|error| RequestError::malformed_body(&error))?;
    Ok(bytes.into())
}

/// Finds the caller whose key a request carries; `None` if no callers are configured, in which case
/// keys are not checked.
pub fn find_caller<'a>(
    headers: &HeaderMap,
    config: &'a ConfigSnapshot,
) -> Result<Option<&'a CallerRecord>, RequestError> {
    let callers = config.callers();
    if callers.is_empty() {
        return Ok(None);
    }
    let given = headers.get(AUTHORIZATION).and_then(|value| value.to_str().ok());
    let key = given.and_then(|value| value.strip_prefix("Bearer "));
    let key = key.ok_or_else(RequestError::missing_key)?;
    // Only hashes are compared, so the time of the comparison reveals nothing about the key.
    let hash = hex::encode(Sha256::digest(key.trim().as_bytes()));
    let caller = callers.iter().find(|caller| caller.key_sha256.eq_ignore_ascii_case(&hash));
    caller.map(Some).ok_or_else(RequestError::unknown_key)
}

fn read_priority(
    headers: &HeaderMap,
    caller: Option<&CallerRecord>,
) -> Result<Priority, RequestError> {
    let highest = caller.map_or(Priority::Upper, |caller| caller.highest_priority);
    let Some(text) = read_header(headers, PRIORITY_HEADER)? else {
        return Ok(Priority::default().max(highest));
    };
    let priority =
        Priority::parse(text).map_err(|error| RequestError::bad_header(PRIORITY_HEADER, &error))?;
    if priority < highest {
        let message = format!("the highest priority of this caller is `{}`", highest.name());
        return Err(RequestError::bad_header(PRIORITY_HEADER, &message));
    }
    Ok(priority)
}

fn read_deadline(headers: &HeaderMap) -> Result<Option<Duration>, RequestError> {
    let Some(text) = read_header(headers, DEADLINE_HEADER)? else { return Ok(None) };
    match text.parse::<u64>() {
        Ok(millis) if (1..=DEADLINE_LIMIT_MS).contains(&millis) => {
            Ok(Some(Duration::from_millis(millis)))
        }
        _ => Err(RequestError::bad_header(
            DEADLINE_HEADER,
            &format!("expected milliseconds from 1 to {DEADLINE_LIMIT_MS}"),
        )),
    }
}

fn check_token(headers: &HeaderMap, name: &str) -> Result<(), RequestError> {
    match read_header(headers, name)? {
        Some(text) if text.is_empty() || text.len() > TOKEN_LIMIT => {
            let message = format!("expected from 1 to {TOKEN_LIMIT} characters");
            Err(RequestError::bad_header(name, &message))
        }
        _ => Ok(()),
    }
}

fn read_header<'a>(headers: &'a HeaderMap, name: &str) -> Result<Option<&'a str>, RequestError> {
    let mut values = headers.get_all(name).iter();
    let Some(value) = values.next() else { return Ok(None) };
    if values.next().is_some() {
        return Err(RequestError::bad_header(name, "it is sent more than once"));
    }
    match value.to_str() {
        Ok(text) => Ok(Some(text.trim())),
        Err(_) => {
            Err(RequestError::bad_header(name, "it contains characters outside printable ASCII"))
        }
    }
}

/// Headers for the target: without those in [`DROPPED_HEADERS`] or listed in `connection`.
fn forwarded_headers(headers: &HeaderMap) -> Vec<(String, Bytes)> {
    let named: Vec<&str> = headers
        .get_all("connection")
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .map(str::trim)
        .collect();
    let is_forwarded = |name: &HeaderName| {
        !DROPPED_HEADERS.contains(&name.as_str())
            && !named.iter().any(|named| named.eq_ignore_ascii_case(name.as_str()))
    };
    headers
        .iter()
        .filter(|(name, _)| is_forwarded(name))
        .map(|(name, value)| (name.to_string(), Bytes::copy_from_slice(value.as_bytes())))
        .collect()
}
