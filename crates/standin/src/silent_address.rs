//! An address that answers no connection, as that of a host that is gone.

use eyre::{Result, WrapErr, ensure};
use socket2::{Domain, Socket, Type};
use std::{
    net::{SocketAddr, TcpStream},
    time::Duration,
};

/// Connections after which the queue must be full.
const QUEUE_LIMIT: usize = 16;
/// Time after which a connection counts as unanswered.
const ANSWER_TIME: Duration = Duration::from_millis(100);

/// A listener with a full queue, for which the kernel drops the opening packets of connections, until it is dropped.
pub struct SilentAddress {
    listener: Socket,
    queued: Vec<TcpStream>,
}

impl SilentAddress {
    /// Takes an address and fills its queue.
    pub fn new(address: SocketAddr) -> Result<Self> {
        let listener = Socket::new(Domain::for_address(address), Type::STREAM, None)
            .wrap_err("open listener")?;
        listener.set_reuse_address(true).wrap_err("prepare listener")?;
        listener.bind(&address.into()).wrap_err_with(|| format!("bind {address}"))?;
        listener.listen(0).wrap_err_with(|| format!("listen on {address}"))?;
        let mut queued = Vec::new();
        while let Ok(stream) = TcpStream::connect_timeout(&address, ANSWER_TIME) {
            queued.push(stream);
            ensure!(queued.len() < QUEUE_LIMIT, "{address} still answers");
        }
        Ok(Self { listener, queued })
    }

    /// Accepts what is queued, so that the address answers connections again.
    pub fn answer(&mut self) -> Result<()> {
        for _ in self.queued.drain(..) {
            self.listener.accept().wrap_err("accept a queued connection")?;
        }
        Ok(())
    }
}
