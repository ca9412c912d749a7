//! Evidence that a target outlived an answer which ended with its connection.

use plantain_core::answer_end::{AddressReply, EndEvidence, WitnessState};
use std::{io::ErrorKind, net::SocketAddr, time::Duration};
use tokio::{
    net::TcpStream,
    task::JoinHandle,
    time::{sleep, timeout},
};

/// Pause after the end of an answer: an ending process closes its connections and its listener within a few ms.
const END_PAUSE: Duration = Duration::from_millis(15);
/// Timeout of one connection; one that takes longer has lost its opening packet.
const CONNECT_LIMIT: Duration = Duration::from_millis(350);
/// Connections that are tried after the end before the address counts as silent.
const CONNECT_TRIES: u32 = 2;
/// Time in which the end of a process shows at a connection that was open before it.
const CLOSE_TIME: Duration = Duration::from_millis(15);

/// A second connection to a target, opened while an answer arrives that ends with its connection. The end of the target's
/// process closes both.
pub struct EndWitness {
    address: SocketAddr,
    opening: JoinHandle<Option<TcpStream>>,
}

impl Drop for EndWitness {
    fn drop(&mut self) {
        self.opening.abort();
    }
}

impl EndWitness {
    /// Opens the connection; called at the head of the answer.
    pub fn new(address: SocketAddr) -> Self {
        let opening = tokio::spawn(async move {
            timeout(CONNECT_LIMIT, TcpStream::connect(address)).await.ok()?.ok()
        });
        Self { address, opening }
    }

    /// Address of the target.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Gathers what shows whether the target outlived its answer; called at the end of the answer. `patience` is the time
    /// in which what has accepted a connection for an ended target closes it. Takes at most 0.75 s and the patience.
    pub async fn examine(mut self, patience: Duration) -> EndEvidence {
        let is_early = self.opening.is_finished();
        sleep(END_PAUSE).await;
        let (reply, stream) = reach(self.address).await;
        let opened = if self.opening.is_finished() { (&mut self.opening).await.ok() } else { None };
        let witness = opened.flatten();
        let is_early = is_early && witness.is_some();
        let time = if is_early { CLOSE_TIME } else { patience };
        let (is_refused, is_closed) =
            tokio::join!(closes(stream.as_ref(), time), closes(witness.as_ref(), time));
        let reply = if is_refused { AddressReply::Refused } else { reply };
        let witness = match (is_closed, is_early) {
            (true, _) => WitnessState::Closed,
            (false, true) => WitnessState::Open,
            (false, false) => WitnessState::Late,
        };
        EndEvidence { witness, reply }
    }
}

/// Opens a connection to an address.
async fn reach(address: SocketAddr) -> (AddressReply, Option<TcpStream>) {
    for _ in 0..CONNECT_TRIES {
        match timeout(CONNECT_LIMIT, TcpStream::connect(address)).await {
            Ok(Ok(stream)) => return (AddressReply::Accepted, Some(stream)),
            Ok(Err(error)) if error.kind() == ErrorKind::ConnectionRefused => {
                return (AddressReply::Refused, None);
            }
            Ok(Err(_)) => return (AddressReply::Silent, None),
            Err(_) => {}
        }
    }
    (AddressReply::Silent, None)
}

/// Whether the peer closes a connection, if there is one, within a time.
async fn closes(stream: Option<&TcpStream>, time: Duration) -> bool {
    let Some(stream) = stream else { return false };
    matches!(timeout(time, stream.peek(&mut [0])).await, Ok(Ok(0) | Err(_)))
}
