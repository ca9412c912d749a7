//! Finds out within two seconds that the other end of a connection in use is dead or cut off.
//!
//! Only connections with requests in flight carry heartbeats, so their number follows the requests and
//! not entries times agents. A false alarm costs a retry, never a promise.

use bytes::Bytes;
use quinn::{Connection, VarInt};
use std::{
    sync::atomic::{AtomicUsize, Ordering},
    time::Duration,
};
use tokio::time::{Instant, sleep, timeout_at};

/// Pause between heartbeats.
const HEARTBEAT_PAUSE: Duration = Duration::from_millis(500);
/// Silence after which the other end counts as gone.
const HEARTBEAT_TIMEOUT: Duration = Duration::from_millis(1_800);
/// Close code of a connection whose other end was silent.
const SILENT_CODE: VarInt = VarInt::from_u32(1);

/// Sends heartbeats while `in_flight` is above zero, and closes the connection if none comes back.
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

// Datagrams may be lost, so a heartbeat is repeated until one is answered.
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

/// Answers heartbeats, and closes the connection if they stop while requests are in flight: the entry
/// is gone, and its requests must not hold their places.
pub async fn answer_heartbeats(connection: &Connection, in_flight: &AtomicUsize) {
    let mut heard = Instant::now();
    loop {
        match timeout_at(Instant::now() + HEARTBEAT_PAUSE, connection.read_datagram()).await {
            Ok(Ok(heartbeat)) => {
                heard = Instant::now();
                let _ = connection.send_datagram(heartbeat);
            }
            Ok(Err(_)) => return,
            Err(_) if in_flight.load(Ordering::Acquire) == 0 => heard = Instant::now(),
            Err(_) if heard.elapsed() > HEARTBEAT_TIMEOUT * 2 => {
                connection.close(SILENT_CODE, b"silent");
                return;
            }
            Err(_) => {}
        }
    }
}
