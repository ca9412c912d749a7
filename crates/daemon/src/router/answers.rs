//! Buffers for answers that are read completely before they are relayed, within a bound for all of them together.

use super::{connections::TargetConnection, constants};
use bytes::Bytes;
use eyre::{Result, ensure, eyre};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use std::sync::{
    Arc,
    atomic::{AtomicUsize, Ordering},
};

/// Bytes that all buffered answers hold.
#[derive(Clone, Debug)]
pub(crate) struct AnswerMemory {
    /// Largest number of bytes; beyond it, answers larger than [`constants::SMALL_ANSWER`] are broken off.
    limit: usize,
    used: Arc<AtomicUsize>,
}

/// A buffered answer; its bytes count until it is dropped.
struct AnswerBuffer {
    bytes: Vec<u8>,
    memory: AnswerMemory,
}

impl AnswerBuffer {
    fn push(&mut self, data: &[u8], limit: usize) -> Result<()> {
        let size = self.bytes.len() + data.len();
        ensure!(size <= limit, "its answer is larger than {limit} bytes");
        let used = self.memory.used() + data.len();
        ensure!(
            used <= self.memory.limit || size <= constants::SMALL_ANSWER,
            "its answer has {size} bytes, and all buffered answers {used}"
        );
        self.memory.used.fetch_add(data.len(), Ordering::Relaxed);
        self.bytes.extend_from_slice(data);
        Ok(())
    }
}

impl Drop for AnswerBuffer {
    fn drop(&mut self) {
        self.memory.used.fetch_sub(self.bytes.len(), Ordering::Relaxed);
    }
}

impl AsRef<[u8]> for AnswerBuffer {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

impl AnswerMemory {
    /// Memory of `limit` bytes.
    pub(crate) fn new(limit: usize) -> Self {
        Self { limit, used: Arc::default() }
    }

    /// Bytes of all buffered answers.
    pub(crate) fn used(&self) -> usize {
        self.used.load(Ordering::Relaxed)
    }

    /// Reads a body of at most `limit` bytes to its end. The bytes count as used until the result is dropped.
    pub(crate) async fn read(
        &self,
        mut body: Incoming,
        connection: &TargetConnection,
        limit: usize,
    ) -> Result<Bytes> {
        let mut buffer = AnswerBuffer { bytes: Vec::new(), memory: self.clone() };
        while let Some(frame) = body.frame().await {
            let frame = frame.map_err(|error| eyre!("{error}"))?;
            connection.note_progress();
            if let Some(data) = frame.data_ref() {
                buffer.push(data, limit)?;
            }
        }
        Ok(Bytes::from_owner(buffer))
    }
}
