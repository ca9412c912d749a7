//! Sockets of clients, which reset a connection whose exchange was abandoned.

use socket2::SockRef;
use std::{
    io,
    pin::Pin,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    task::{Context, Poll},
    time::Duration,
};
use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
};

/// Whether an exchange is under way on a connection; shared by the connection's socket and its user.
#[derive(Debug, Default)]
pub struct ExchangeMeter {
    is_under_way: AtomicBool,
}

impl ExchangeMeter {
    /// Notes that an exchange begins. If the connection is dropped before [`Self::end`], it is reset, so that what the
    /// server has not received yet of an abandoned request never reaches it.
    pub fn begin(&self) {
        self.is_under_way.store(true, Ordering::Relaxed);
    }

    /// Notes that the answer was read completely.
    pub fn end(&self) {
        self.is_under_way.store(false, Ordering::Relaxed);
    }

    fn is_under_way(&self) -> bool {
        self.is_under_way.load(Ordering::Relaxed)
    }
}

/// A client's TCP connection that is reset if it is dropped within an exchange.
#[derive(Debug)]
pub struct ExchangeSocket {
    stream: TcpStream,
    meter: Arc<ExchangeMeter>,
}

impl ExchangeSocket {
    /// Wraps an open connection.
    pub fn new(stream: TcpStream, meter: Arc<ExchangeMeter>) -> Self {
        Self { stream, meter }
    }
}

impl Drop for ExchangeSocket {
    fn drop(&mut self) {
        if self.meter.is_under_way() {
            // A linger time of 0 makes the close a reset. If it fails, the connection is closed all the same.
            let _ = SockRef::from(&self.stream).set_linger(Some(Duration::ZERO));
        }
    }
}

impl AsyncRead for ExchangeSocket {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(context, buffer)
    }
}

impl AsyncWrite for ExchangeSocket {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
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
