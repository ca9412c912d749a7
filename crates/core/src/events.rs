//! Server-sent events of an engine's answer: only complete lines are forwarded, and only events that
//! name the requested model.

use bytes::{Bytes, BytesMut};
use serde::Deserialize;
use std::borrow::Cow;

/// Largest event in bytes; an engine that sends more without a line end is faulty.
const EVENT_LIMIT: usize = 1 << 20;
/// The event that ends an answer.
const END_MARKER: &[u8] = b"[DONE]";

/// Why an answer may not be delivered.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum EventError {
    /// An event names a model other than the requested one; holds that name, which is empty if there is none.
    WrongModel(String),
    /// An event is not valid JSON, or is too large.
    Malformed(String),
}

impl std::fmt::Display for EventError {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::WrongModel(model) => write!(formatter, "the answer is of model `{model}`"),
            Self::Malformed(problem) => write!(formatter, "malformed event: {problem}"),
        }
    }
}

impl std::error::Error for EventError {}

/// The part of an answer that names its model.
#[derive(Deserialize)]
pub struct ModelField<'a> {
    /// The model; empty if the answer names none, which no requested model matches.
    #[serde(borrow, default)]
    pub model: Cow<'a, str>,
}

/// Checks the events of one answer.
#[derive(Debug)]
pub struct EventScanner {
    model: String,
    buffer: BytesMut,
    ended: bool,
}

impl EventScanner {
    /// Expects answers of `model`.
    pub fn new(model: String) -> Self {
        Self { model, buffer: BytesMut::new(), ended: false }
    }

    /// Whether the end marker has arrived. An answer that ends without it is incomplete.
    pub fn has_ended(&self) -> bool {
        self.ended
    }

    /// Adds received bytes and returns the complete lines so far, checked.
    pub fn push(&mut self, bytes: &[u8]) -> Result<Bytes, EventError> {
        self.buffer.extend_from_slice(bytes);
        let Some(last) = self.buffer.iter().rposition(|&byte| byte == b'\n') else {
            if self.buffer.len() > EVENT_LIMIT {
                return Err(EventError::Malformed("over the size limit".into()));
            }
            return Ok(Bytes::new());
        };
        let lines = self.buffer.split_to(last + 1).freeze();
        for line in lines.split(|&byte| byte == b'\n') {
            self.check_line(line)?;
        }
        Ok(lines)
    }

    fn check_line(&mut self, line: &[u8]) -> Result<(), EventError> {
        let Some(data) = line.strip_prefix(b"data:") else { return Ok(()) };
        let data = data.trim_ascii();
        if data == END_MARKER {
            self.ended = true;
            return Ok(());
        }
        let field: ModelField<'_> = serde_json::from_slice(data)
            .map_err(|error| EventError::Malformed(error.to_string()))?;
        if field.model != self.model {
            return Err(EventError::WrongModel(field.model.into_owned()));
        }
        Ok(())
    }
}

/// Checks the model of an answer that is not a stream of events.
pub fn check_answer(model: &str, body: &[u8]) -> Result<(), EventError> {
    let field: ModelField<'_> =
        serde_json::from_slice(body).map_err(|error| EventError::Malformed(error.to_string()))?;
    if field.model != model {
        return Err(EventError::WrongModel(field.model.into_owned()));
    }
    Ok(())
}
