//! Callers' connections, with detection of a caller that disconnects while its request is being answered.
//!
//! The HTTP server stops reading while its buffer holds bytes that the caller sent early, such as an empty line or
//! the next request, and so does not see the end of the connection behind them. [`CallerWatch`] therefore reads
//! ahead of the server.

use bytes::{Buf, BytesMut};
use std::{
    future::{Future, poll_fn},
    io,
    mem::MaybeUninit,
    pin::Pin,
    sync::{Arc, Mutex, MutexGuard},
    task::{Context, Poll, ready},
    time::Duration,
};
use tokio::{
    io::{AsyncRead, AsyncWrite, Interest, ReadBuf},
    net::{
        TcpStream,
        tcp::{OwnedReadHalf, OwnedWriteHalf},
    },
    time::{Sleep, sleep},
};

/// Buffered bytes at which reading ahead stops; several requests of usual size.
const READ_AHEAD_LIMIT: usize = 64 << 10;
/// Bytes per read.
const READ_SIZE: usize = 4 << 10;
/// Interval of the checks for the end of a connection when more bytes have arrived than are read ahead.
const CLOSED_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// How the stream of bytes from a caller ended.
#[derive(Clone, Copy, Debug)]
enum InboundEnd {
    Closed,
    Failed(io::ErrorKind),
}

#[derive(Debug)]
struct InboundReader {
    half: OwnedReadHalf,
    read_ahead: BytesMut,
    end: Option<InboundEnd>,
    /// Whether the server has read the end of the stream or its error.
    is_end_delivered: bool,
}

impl InboundReader {
    /// Returns the bytes that were read ahead, then reads from the connection.
    fn poll_read(
        &mut self,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if !self.read_ahead.is_empty() {
            let count = self.read_ahead.len().min(buffer.remaining());
            buffer.put_slice(&self.read_ahead[..count]);
            self.read_ahead.advance(count);
            return Poll::Ready(Ok(()));
        }
        let before = buffer.remaining();
        let result = match self.end {
            Some(InboundEnd::Closed) => Ok(()),
            Some(InboundEnd::Failed(kind)) => Err(kind.into()),
            None => ready!(Pin::new(&mut self.half).poll_read(context, buffer)),
        };
        self.is_end_delivered = result.is_err() || (before > 0 && buffer.remaining() == before);
        Poll::Ready(result)
    }

    /// Reads ahead; ready once bytes have arrived or the stream has ended.
    fn poll_read_ahead(&mut self, context: &mut Context<'_>) -> Poll<()> {
        let mut bytes = [MaybeUninit::uninit(); READ_SIZE];
        let mut buffer = ReadBuf::uninit(&mut bytes);
        match ready!(Pin::new(&mut self.half).poll_read(context, &mut buffer)) {
            Ok(()) if buffer.filled().is_empty() => self.end = Some(InboundEnd::Closed),
            Ok(()) => self.read_ahead.extend_from_slice(buffer.filled()),
            Err(error) => self.end = Some(InboundEnd::Failed(error.kind())),
        }
        Poll::Ready(())
    }
}

type SharedReader = Arc<Mutex<InboundReader>>;

fn lock(reader: &SharedReader) -> MutexGuard<'_, InboundReader> {
    reader.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
}

/// A caller's connection, for the HTTP server.
#[derive(Debug)]
pub struct CallerSocket {
    inbound: SharedReader,
    outbound: OwnedWriteHalf,
}

/// Detects that the caller of a [`CallerSocket`] has disconnected.
#[derive(Debug)]
pub struct CallerWatch {
    inbound: SharedReader,
    check_timer: Option<Pin<Box<Sleep>>>,
}

/// Splits a caller's connection into the socket for the HTTP server and the watch that reads ahead of it.
pub fn watched(stream: TcpStream) -> (CallerSocket, CallerWatch) {
    let (half, outbound) = stream.into_split();
    let reader =
        InboundReader { half, read_ahead: BytesMut::new(), end: None, is_end_delivered: false };
    let inbound = Arc::new(Mutex::new(reader));
    let watch = CallerWatch { inbound: Arc::clone(&inbound), check_timer: None };
    (CallerSocket { inbound, outbound }, watch)
}

/// Result of polling a watch.
enum CallerEvent {
    /// The server must be polled again; there may be bytes to read.
    Readable,
    /// The caller has disconnected, and the server has not read the end yet.
    Disconnected,
}

impl CallerWatch {
    /// Polls `connection` until it ends; returns `None` if its caller disconnected first.
    ///
    /// One task polls the connection and watches for the disconnect, because the two share the wakeups of one socket.
    pub async fn serve<C: Future>(&mut self, mut connection: Pin<&mut C>) -> Option<C::Output> {
        poll_fn(|context| {
            loop {
                // The server is polled first, so that the watch reads only what the server does not.
                if let Poll::Ready(output) = connection.as_mut().poll(context) {
                    return Poll::Ready(Some(output));
                }
                match ready!(self.poll_event(context)) {
                    CallerEvent::Readable => {}
                    CallerEvent::Disconnected => return Poll::Ready(None),
                }
            }
        })
        .await
    }

    /// Makes the close of the connection a reset, which discards what the caller has not received yet.
    pub fn reset_on_close(&self) {
        // If this fails, the connection is closed in order.
        let _ = lock(&self.inbound).half.as_ref().set_zero_linger();
    }

    fn poll_event(&mut self, context: &mut Context<'_>) -> Poll<CallerEvent> {
        let mut reader = lock(&self.inbound);
        if reader.is_end_delivered {
            // The server has read the end of the stream itself and closes the connection.
            return Poll::Pending;
        }
        if reader.end.is_some() {
            return Poll::Ready(CallerEvent::Disconnected);
        }
        if reader.read_ahead.len() < READ_AHEAD_LIMIT {
            return reader.poll_read_ahead(context).map(|()| CallerEvent::Readable);
        }
        let is_closed = is_closed_behind_unread(&reader.half, context);
        drop(reader);
        if is_closed {
            Poll::Ready(CallerEvent::Disconnected)
        } else {
            self.poll_check_timer(context)
        }
    }

    /// Waits for the next check: the socket causes no wakeup for its end while it has unread bytes.
    fn poll_check_timer(&mut self, context: &mut Context<'_>) -> Poll<CallerEvent> {
        let check_timer =
            self.check_timer.get_or_insert_with(|| Box::pin(sleep(CLOSED_CHECK_INTERVAL)));
        ready!(check_timer.as_mut().poll(context));
        self.check_timer = None;
        Poll::Ready(CallerEvent::Readable)
    }
}

/// Whether the end of a connection has arrived behind bytes that have not been read yet.
fn is_closed_behind_unread(half: &OwnedReadHalf, context: &mut Context<'_>) -> bool {
    let ready = half.ready(Interest::READABLE);
    tokio::pin!(ready);
    matches!(ready.poll(context), Poll::Ready(Ok(ready)) if ready.is_read_closed())
}

impl AsyncRead for CallerSocket {
    fn poll_read(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        lock(&self.inbound).poll_read(context, buffer)
    }
}

impl AsyncWrite for CallerSocket {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.outbound).poll_write(context, bytes)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.outbound).poll_write_vectored(context, slices)
    }

    fn is_write_vectored(&self) -> bool {
        self.outbound.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.outbound).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.outbound).poll_shutdown(context)
    }
}
