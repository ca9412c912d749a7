//! Bodies of HTTP answers: in memory, or streamed through a bounded channel.

use bytes::Bytes;
use hyper::{
    HeaderMap,
    body::{Body, Frame, SizeHint},
    header::{CONTENT_LENGTH, TRANSFER_ENCODING},
};
use std::{
    fmt,
    pin::Pin,
    sync::{Arc, OnceLock},
    task::{Context, Poll},
};
use tokio::sync::mpsc;

/// Chunks that a streamed body buffers; the producer waits when the buffer is full.
pub const STREAM_DEPTH: usize = 32;

/// Whether the end of an answer's body shows by a length or chunks. If it does not, the body ends with its connection, and
/// the end of a process that closes all its connections looks like the end of the body.
pub fn is_delimited(headers: &HeaderMap) -> bool {
    headers.contains_key(CONTENT_LENGTH) || headers.contains_key(TRANSFER_ENCODING)
}

/// Aborts a body, with the reason. The receiver sees a closed connection, never a truncated body that looks
/// complete.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct BodyAbort(pub String);

impl fmt::Display for BodyAbort {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "answer aborted: {}", self.0)
    }
}

impl std::error::Error for BodyAbort {}

/// Error of [`BodySender::send`]: the receiver was dropped.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct BodyClosed;

/// Sends the chunks of a streamed body, or an error that aborts it.
#[derive(Debug)]
pub struct BodySender {
    chunks: mpsc::Sender<Bytes>,
    abort: Arc<OnceLock<BodyAbort>>,
}

impl BodySender {
    /// Sends a chunk, once there is room for it. An error takes effect at once, before the chunks that are buffered: a
    /// receiver that reads slowly must not take the end of the chunks for the end of the body.
    pub async fn send(&self, chunk: Result<Bytes, BodyAbort>) -> Result<(), BodyClosed> {
        match chunk {
            Ok(chunk) => self.chunks.send(chunk).await.map_err(|_| BodyClosed),
            Err(abort) => {
                // The first reason counts.
                let _ = self.abort.set(abort);
                // Wakes a receiver that waits for a chunk; one with chunks to read sees the reason first.
                let _ = self.chunks.try_send(Bytes::new());
                if self.chunks.is_closed() { Err(BodyClosed) } else { Ok(()) }
            }
        }
    }

    /// Waits until the receiver is dropped.
    pub async fn closed(&self) {
        self.chunks.closed().await;
    }
}

/// Receives the chunks of a streamed body.
#[derive(Debug)]
pub struct BodyReceiver {
    chunks: mpsc::Receiver<Bytes>,
    abort: Arc<OnceLock<BodyAbort>>,
}

impl BodyReceiver {
    fn poll(&mut self, context: &mut Context<'_>) -> Poll<Option<Result<Bytes, BodyAbort>>> {
        let chunk = self.chunks.poll_recv(context);
        // Checked after the poll, whose waker an abort from here on uses.
        match self.abort.get() {
            Some(abort) => Poll::Ready(Some(Err(abort.clone()))),
            None => chunk.map(|chunk| chunk.map(Ok)),
        }
    }
}

/// The body of an answer.
#[derive(Debug)]
pub enum ReplyBody {
    /// The body in memory; `None` once it has been sent.
    Whole(Option<Bytes>),
    /// Chunks, as the producer sends them.
    Streamed(BodyReceiver),
}

impl ReplyBody {
    /// Creates a body from bytes in memory.
    pub fn new(bytes: impl Into<Bytes>) -> Self {
        Self::Whole(Some(bytes.into()))
    }

    /// Creates a streamed body and its sender.
    pub fn channel() -> (BodySender, Self) {
        let (sender, receiver) = mpsc::channel(STREAM_DEPTH);
        let abort = Arc::default();
        let sender = BodySender { chunks: sender, abort: Arc::clone(&abort) };
        (sender, Self::Streamed(BodyReceiver { chunks: receiver, abort }))
    }
}

impl Body for ReplyBody {
    type Data = Bytes;
    type Error = BodyAbort;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyAbort>>> {
        match &mut *self {
            Self::Whole(bytes) => Poll::Ready(bytes.take().map(|bytes| Ok(Frame::data(bytes)))),
            Self::Streamed(receiver) => {
                receiver.poll(context).map(|chunk| chunk.map(|chunk| chunk.map(Frame::data)))
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self, Self::Whole(None))
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Whole(bytes) => SizeHint::with_exact(bytes.as_ref().map_or(0, Bytes::len) as u64),
            Self::Streamed(_) => SizeHint::default(),
        }
    }
}
