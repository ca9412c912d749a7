//! Bodies of callers' requests, read completely before they are sent on.

use bytes::Bytes;
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::Body;
use std::{
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};
use tokio::time::timeout;

type BoxedError = Box<dyn std::error::Error + Send + Sync>;

/// Why a body was not read completely.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum BodyError {
    /// It is larger than the limit.
    TooLarge,
    /// It broke off, with the reason.
    Broken(String),
    /// It did not arrive in time.
    Slow,
}

/// Memory of the bodies that a process holds.
#[derive(Clone, Debug, Default)]
pub struct BodyMemory {
    held: Arc<AtomicUsize>,
}

/// A body that counts as held until it is dropped.
struct HeldBody {
    bytes: Bytes,
    memory: BodyMemory,
}

impl AsRef<[u8]> for HeldBody {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

impl Drop for HeldBody {
    fn drop(&mut self) {
        self.memory.held.fetch_sub(self.bytes.len(), Ordering::Relaxed);
    }
}

impl BodyMemory {
    /// Bytes of all bodies that are held now.
    pub fn held(&self) -> usize {
        self.held.load(Ordering::Relaxed)
    }

    /// Reads a body of at most `limit` bytes within `time`. Its bytes count as held until the result is dropped.
    pub async fn read<B>(&self, body: B, limit: usize, time: Duration) -> Result<Bytes, BodyError>
    where
        B: Body<Error: Into<BoxedError>>,
    {
        let bytes = match timeout(time, Limited::new(body, limit).collect()).await {
            Ok(Ok(body)) => body.to_bytes(),
            Ok(Err(error)) if error.is::<LengthLimitError>() => return Err(BodyError::TooLarge),
            Ok(Err(error)) => return Err(BodyError::Broken(error.to_string())),
            Err(_) => return Err(BodyError::Slow),
        };
        self.held.fetch_add(bytes.len(), Ordering::Relaxed);
        Ok(Bytes::from_owner(HeldBody { bytes, memory: self.clone() }))
    }
}
