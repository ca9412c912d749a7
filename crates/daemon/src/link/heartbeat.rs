//! Detects that the peer of a connection in use is dead or unreachable: the sending end within about two
//! seconds, the answering end within about four.
//!
//! Only connections with requests in flight carry heartbeats, so the traffic grows with the
//! requests and not with entries times agents. A false positive costs a retry, never correctness.

use bytes::Bytes;
use quinn::{Connection, VarInt};
use std::{
    sync::atomic::{AtomicUsize, Ordering},
    time::Duration,
};
use tokio::time::{Instant, sleep, timeout_at};

/// Pause between heartbeats.
const HEARTBEAT_PAUSE: Duration = Duration::from_millis(500);
/// Time without an answer after which the peer counts as dead. The answering end waits twice as long for the next
/// heartbeat.
const HEARTBEAT_TIMEOUT: Duration = Duration::from_millis(1_800);
/// QUIC error code of a connection closed because the peer sent no heartbeats.
const SILENT_CODE: VarInt = VarInt::from_u32(1);

/// Sends heartbeats while `in_flight` is above zero, and closes the connection if none is answered.
pub async fn send_heartbeats(connection: &Connection, in_flight: &AtomicUsize) {
    loop {
        while in_flight.load(Ordering::Acquire) == 0 {
            if connection.close_reason().is_some() {
                return;
            }
            sleep(HEARTBEAT_PAUSE).await;
        }
        let deadline = Instant::now() + HEARTBEAT_TIMEOUT;
        if !exchange_heartbeat(connection, deadline).await {
            connection.close(SILENT_CODE, b"silent");
            return;
        }
        sleep(HEARTBEAT_PAUSE).await;
    }
}

// Datagrams may be lost, so heartbeats are sent until one is answered.
async fn exchange_heartbeat(connection: &Connection, deadline: Instant) -> bool {
    while Instant::now() < deadline {
        if connection.send_datagram(Bytes::from_static(b"?")).is_err() {
            return false;
        }
        let attempt = (Instant::now() + HEARTBEAT_PAUSE).min(deadline);
        match timeout_at(attempt, connection.read_datagram()).await {
            Ok(Ok(_)) => return true,
            Ok(Err(_)) => return false,
            Err(_) => {}
        }
    }
    false
}

/// Answers heartbeats, and closes the connection if they stop while requests are in flight: the
/// entry is dead, and its requests must not keep their slots.
pub async fn answer_heartbeats(connection: &Connection, in_flight: &AtomicUsize) {
    let mut last_heartbeat = Instant::now();
    loop {
        match timeout_at(Instant::now() + HEARTBEAT_PAUSE, connection.read_datagram()).await {
            Ok(Ok(heartbeat)) => {
                last_heartbeat = Instant::now();
                let _ = connection.send_datagram(heartbeat);
            }
            Ok(Err(_)) => return,
            Err(_) if in_flight.load(Ordering::Acquire) == 0 => last_heartbeat = Instant::now(),
            Err(_) if last_heartbeat.elapsed() > HEARTBEAT_TIMEOUT * 2 => {
                connection.close(SILENT_CODE, b"silent");
                return;
            }
            Err(_) => {}
        }
    }
}
