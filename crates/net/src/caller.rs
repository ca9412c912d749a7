//! Callers' connections, on which it is noticed that a caller has left while it is being answered.
//!
//! The HTTP server does not read while bytes wait in its buffer that the caller has sent ahead, be it an empty line or
//! the next request, and so does not see that the connection has ended behind them. A watch reads on in its place.

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

/// Bytes that are read ahead of the server: some requests of a usual size.
const AHEAD_LIMIT: usize = 64 << 10;
/// Bytes that are read at a time.
const READ_SIZE: usize = 4 << 10;
/// Pause between looks whether a connection has ended behind more bytes than are read ahead.
const CLOSED_LOOK: Duration = Duration::from_millis(100);

/// How the bytes from a caller end.
#[derive(Clone, Copy, Debug)]
enum InboundEnd {
    Closed,
    Failed(io::ErrorKind),
}

#[derive(Debug)]
struct InboundSide {
    half: OwnedReadHalf,
    ahead: BytesMut,
    end: Option<InboundEnd>,
    /// Whether the server has met the end.
    is_end_read: bool,
}

impl InboundSide {
    /// Hands out what was read ahead, and then what comes.
    fn poll_read(
        &mut self,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if !self.ahead.is_empty() {
            let count = self.ahead.len().min(buffer.remaining());
            buffer.put_slice(&self.ahead[..count]);
            self.ahead.advance(count);
            return Poll::Ready(Ok(()));
        }
        let before = buffer.remaining();
        let result = match self.end {
            Some(InboundEnd::Closed) => Ok(()),
            Some(InboundEnd::Failed(kind)) => Err(kind.into()),
            None => ready!(Pin::new(&mut self.half).poll_read(context, buffer)),
        };
        self.is_end_read = result.is_err() || (before > 0 && buffer.remaining() == before);
        Poll::Ready(result)
    }

    /// Reads ahead; ready once something has come or the end is there.
    fn poll_ahead(&mut self, context: &mut Context<'_>) -> Poll<()> {
        let mut bytes = [MaybeUninit::uninit(); READ_SIZE];
        let mut buffer = ReadBuf::uninit(&mut bytes);
        match ready!(Pin::new(&mut self.half).poll_read(context, &mut buffer)) {
            Ok(()) if buffer.filled().is_empty() => self.end = Some(InboundEnd::Closed),
            Ok(()) => self.ahead.extend_from_slice(buffer.filled()),
            Err(error) => self.end = Some(InboundEnd::Failed(error.kind())),
        }
        Poll::Ready(())
    }
}

type SharedSide = Arc<Mutex<InboundSide>>;

fn lock(side: &SharedSide) -> MutexGuard<'_, InboundSide> {
    side.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
}

/// A caller's connection as the HTTP server uses it.
#[derive(Debug)]
pub struct CallerSocket {
    inbound: SharedSide,
    outbound: OwnedWriteHalf,
}

/// Notices that the caller of a [`CallerSocket`] has left.
#[derive(Debug)]
pub struct CallerWatch {
    inbound: SharedSide,
    look: Option<Pin<Box<Sleep>>>,
}

/// Splits a caller's connection into what the HTTP server uses and the watch over it.
pub fn watched(stream: TcpStream) -> (CallerSocket, CallerWatch) {
    let (half, outbound) = stream.into_split();
    let side = InboundSide { half, ahead: BytesMut::new(), end: None, is_end_read: false };
    let inbound = Arc::new(Mutex::new(side));
    let watch = CallerWatch { inbound: Arc::clone(&inbound), look: None };
    (CallerSocket { inbound, outbound }, watch)
}

/// What a watch has noticed.
enum CallerNews {
    /// The server may have something to read.
    Readable,
    /// The caller has left, and the server does not read so far.
    Left,
}

impl CallerWatch {
    /// Serves a connection until it ends, or until its caller has left; `None` then.
    ///
    /// Both must be polled by one task: each takes the other's wakeups.
    pub async fn serve<C: Future>(&mut self, mut connection: Pin<&mut C>) -> Option<C::Output> {
        poll_fn(|context| {
            loop {
                // The server reads first, so that the watch only gets what the server leaves.
                if let Poll::Ready(output) = connection.as_mut().poll(context) {
                    return Poll::Ready(Some(output));
                }
                match ready!(self.poll_news(context)) {
                    CallerNews::Readable => {}
                    CallerNews::Left => return Poll::Ready(None),
                }
            }
        })
        .await
    }

    fn poll_news(&mut self, context: &mut Context<'_>) -> Poll<CallerNews> {
        let mut side = lock(&self.inbound);
        if side.is_end_read {
            // The server knows, and ends in its own way.
            return Poll::Pending;
        }
        if side.end.is_some() {
            return Poll::Ready(CallerNews::Left);
        }
        if side.ahead.len() < AHEAD_LIMIT {
            return side.poll_ahead(context).map(|()| CallerNews::Readable);
        }
        let is_closed = is_closed_behind(&side.half, context);
        drop(side);
        if is_closed { Poll::Ready(CallerNews::Left) } else { self.poll_look(context) }
    }

    /// No wakeup comes for the end of a connection that has unread bytes.
    fn poll_look(&mut self, context: &mut Context<'_>) -> Poll<CallerNews> {
        let look = self.look.get_or_insert_with(|| Box::pin(sleep(CLOSED_LOOK)));
        ready!(look.as_mut().poll(context));
        self.look = None;
        Poll::Ready(CallerNews::Readable)
    }
}

/// Whether the end of a connection has arrived behind bytes that nobody has read yet.
fn is_closed_behind(half: &OwnedReadHalf, context: &mut Context<'_>) -> bool {
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
