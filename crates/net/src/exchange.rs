//! Sockets of clients, which bound what a server can send without answering, and reset a connection whose exchange was
//! abandoned.
//!
//! The HTTP library skips interim answers, empty lines and parts of the chunked coding, for as long as they arrive. A
//! server that sends these without end keeps the library in its parser, and no timeout of the exchange gets a turn.

use hyper::Uri;
use hyper_util::{
    client::legacy::connect::{Connected, Connection, HttpConnector},
    rt::TokioIo,
};
use std::{
    future::Future,
    io,
    pin::Pin,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    task::{Context, Poll, ready},
};
use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
};
use tower_service::Service;

/// Largest head of an answer, in bytes. It bounds single reads too.
pub const HEAD_LIMIT: usize = 64 << 10;
/// Bytes after which a connection yields to other tasks. The HTTP library parses all that it can read in one turn.
const YIELD_BYTES: usize = 16 << 10;
/// Share of a meter's limit from which on a connection reads [`SUSPECT_READ`] bytes a turn: what has come so far is
/// probably no answer.
const SUSPECT_SHARE: usize = 8;
/// Bytes that such a connection reads in one turn.
const SUSPECT_READ: usize = 2 << 10;

/// Bytes that a connection has received since its exchange last got further, and whether an exchange is under way. Shared
/// by the connection's socket and its user.
#[derive(Debug)]
pub struct ExchangeMeter {
    unanswered: AtomicUsize,
    limit: usize,
    is_under_way: AtomicBool,
}

impl ExchangeMeter {
    /// A meter whose socket fails once more than `limit` bytes have arrived without progress.
    pub fn new(limit: usize) -> Arc<Self> {
        Arc::new(Self {
            unanswered: AtomicUsize::new(0),
            limit,
            is_under_way: AtomicBool::new(false),
        })
    }

    /// Notes that an exchange begins. If the connection is dropped before [`Self::end`], it is reset, so that what the
    /// server has not received yet of an abandoned request never reaches it.
    pub fn begin(&self) {
        self.is_under_way.store(true, Ordering::Relaxed);
        self.note_progress();
    }

    /// Notes that the answer was read completely.
    pub fn end(&self) {
        self.is_under_way.store(false, Ordering::Relaxed);
    }

    /// Notes that the head of the answer or a part of its body has arrived.
    pub fn note_progress(&self) {
        self.unanswered.store(0, Ordering::Relaxed);
    }

    fn is_under_way(&self) -> bool {
        self.is_under_way.load(Ordering::Relaxed)
    }

    fn is_suspect(&self) -> bool {
        self.unanswered.load(Ordering::Relaxed) > self.limit / SUSPECT_SHARE
    }

    fn count(&self, bytes: usize) -> io::Result<()> {
        let unanswered = self.unanswered.fetch_add(bytes, Ordering::Relaxed) + bytes;
        if unanswered <= self.limit {
            return Ok(());
        }
        let text = format!("{unanswered} bytes that are no answer");
        Err(io::Error::new(io::ErrorKind::InvalidData, text))
    }
}

/// A client's TCP connection with a meter. Each write counts as progress.
#[derive(Debug)]
pub struct ExchangeSocket {
    stream: TcpStream,
    meter: Arc<ExchangeMeter>,
    /// Bytes read since the last yield.
    unyielded: usize,
}

impl ExchangeSocket {
    /// Wraps an open connection.
    pub fn new(stream: TcpStream, meter: Arc<ExchangeMeter>) -> Self {
        Self { stream, meter, unyielded: 0 }
    }
}

impl Drop for ExchangeSocket {
    fn drop(&mut self) {
        if self.meter.is_under_way() {
            // If this fails, the connection is closed in order.
            let _ = self.stream.set_zero_linger();
        }
    }
}

impl AsyncRead for ExchangeSocket {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let is_suspect = self.meter.is_suspect();
        let turn = if is_suspect { SUSPECT_READ } else { YIELD_BYTES };
        if self.unyielded >= turn {
            self.unyielded = 0;
            context.waker().wake_by_ref();
            return Poll::Pending;
        }
        let stream = Pin::new(&mut self.stream);
        let (read, count) = if is_suspect {
            let length = buffer.remaining().min(SUSPECT_READ);
            let mut part = ReadBuf::new(buffer.initialize_unfilled_to(length));
            let read = stream.poll_read(context, &mut part);
            let count = part.filled().len();
            buffer.advance(count);
            (read, count)
        } else {
            let before = buffer.filled().len();
            let read = stream.poll_read(context, buffer);
            (read, buffer.filled().len() - before)
        };
        if read.is_pending() {
            self.unyielded = 0;
        }
        ready!(read)?;
        self.unyielded += count;
        Poll::Ready(self.meter.count(count))
    }
}

impl AsyncWrite for ExchangeSocket {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.meter.note_progress();
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.meter.note_progress();
        Pin::new(&mut self.stream).poll_write_vectored(context, slices)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        if self.meter.is_under_way() {
            // The connection is about to be dropped, which resets it.
            return Poll::Ready(Ok(()));
        }
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}

impl Connection for ExchangeSocket {
    fn connected(&self) -> Connected {
        self.stream.connected()
    }
}

/// Connects to servers with a meter for each connection.
#[derive(Clone, Debug)]
pub struct ExchangeConnector {
    connector: HttpConnector,
    limit: usize,
}

impl ExchangeConnector {
    /// A connector whose sockets fail after `limit` bytes without a write.
    pub fn new(connector: HttpConnector, limit: usize) -> Self {
        Self { connector, limit }
    }
}

impl Service<Uri> for ExchangeConnector {
    type Response = TokioIo<ExchangeSocket>;
    type Error = <HttpConnector as Service<Uri>>::Error;
    type Future = Pin<Box<dyn Future<Output = Result<Self::Response, Self::Error>> + Send>>;

    fn poll_ready(&mut self, context: &mut Context<'_>) -> Poll<Result<(), Self::Error>> {
        self.connector.poll_ready(context)
    }

    fn call(&mut self, uri: Uri) -> Self::Future {
        let meter = ExchangeMeter::new(self.limit);
        let connecting = self.connector.call(uri);
        Box::pin(async move {
            let stream = connecting.await?.into_inner();
            Ok(TokioIo::new(ExchangeSocket::new(stream, meter)))
        })
    }
}
