//! A proxy that injects faults into TCP connections or UDP flows.

use eyre::{Result, WrapErr};
use http_body_util::BodyExt;
use hyper::{Request, StatusCode, body::Incoming};
use plantain_net::server::{self, HttpHandler, HttpReply, ServerOptions, json_reply, text_reply};
use rand::RngExt;
use serde::{Deserialize, Serialize};
use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream, UdpSocket},
    sync::watch,
    task::JoinHandle,
    time::sleep,
};

/// Receive buffer for a datagram, in bytes.
const DATAGRAM_LIMIT: usize = 65_536;

/// Transport protocol of a proxy.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ProxyTransport {
    /// Proxies TCP connections.
    Tcp,
    /// Proxies UDP datagrams, one upstream socket per client address.
    Udp,
}

/// Settings of a fault proxy.
#[derive(Clone, Debug)]
pub struct ProxyOptions {
    /// Transport protocol to proxy.
    pub transport: ProxyTransport,
    /// Listen address for clients.
    pub listen: SocketAddr,
    /// Address to forward to.
    pub upstream: SocketAddr,
    /// Listen address of the control API, which sets the faults.
    pub control: SocketAddr,
}

/// Faults of one direction of a proxy.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default)]
pub struct DirectionFaults {
    /// Whether nothing is forwarded. TCP data waits and connections stay open; datagrams are lost.
    pub stall: bool,
    /// Delay of everything that is forwarded, in milliseconds.
    pub delay_ms: u64,
    /// Share of datagrams that are dropped, from 0 to 1; TCP ignores it.
    pub drop: f64,
    /// TCP connections are closed, and datagrams dropped, after this many bytes, counted over all
    /// connections since the faults were set; 0 means never.
    pub cut_after: u64,
}

/// Faults that a proxy injects.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default)]
pub struct ProxyFaults {
    /// Whether connections are reset, new ones are closed at once, and datagrams are dropped.
    pub cut: bool,
    /// Faults from the client to the upstream.
    pub up: DirectionFaults,
    /// Faults from the upstream to the client.
    pub down: DirectionFaults,
}

#[derive(Clone, Copy)]
enum ProxyDirection {
    Up,
    Down,
}

#[derive(Clone)]
struct ProxyState {
    faults: watch::Receiver<ProxyFaults>,
    bytes_up: Arc<AtomicU64>,
    bytes_down: Arc<AtomicU64>,
}

impl ProxyState {
    fn direction(&self, direction: ProxyDirection) -> DirectionFaults {
        let faults = self.faults.borrow();
        match direction {
            ProxyDirection::Up => faults.up,
            ProxyDirection::Down => faults.down,
        }
    }

    fn byte_count(&self, direction: ProxyDirection) -> &AtomicU64 {
        match direction {
            ProxyDirection::Up => &self.bytes_up,
            ProxyDirection::Down => &self.bytes_down,
        }
    }

    /// Waits until a stall ends, then for the delay. Returns false if the connection must be
    /// closed.
    async fn apply_faults(&self, direction: ProxyDirection, bytes: usize) -> bool {
        let mut faults = self.faults.clone();
        let stalled = |faults: &ProxyFaults| match direction {
            ProxyDirection::Up => faults.up.stall && !faults.cut,
            ProxyDirection::Down => faults.down.stall && !faults.cut,
        };
        let _ = faults.wait_for(|faults| !stalled(faults)).await;
        if self.faults.borrow().cut {
            return false;
        }
        let active = self.direction(direction);
        if active.delay_ms > 0 {
            sleep(Duration::from_millis(active.delay_ms)).await;
        }
        let previous_bytes = self.byte_count(direction).fetch_add(bytes as u64, Ordering::AcqRel);
        active.cut_after == 0 || previous_bytes < active.cut_after
    }
}

/// A running proxy; dropping it stops the proxy.
pub struct FaultProxy {
    faults: watch::Sender<ProxyFaults>,
    state: ProxyState,
    task: JoinHandle<()>,
}

impl FaultProxy {
    /// Binds `listen` and forwards to `upstream` in a background task, without faults at first.
    pub async fn start(
        transport: ProxyTransport,
        listen: SocketAddr,
        upstream: SocketAddr,
    ) -> Result<Self> {
        let (faults, receiver) = watch::channel(ProxyFaults::default());
        let state =
            ProxyState { faults: receiver, bytes_up: Arc::default(), bytes_down: Arc::default() };
        let proxy_state = state.clone();
        let task = match transport {
            ProxyTransport::Tcp => {
                let listener = server::bind(listen, "proxy").await?;
                tokio::spawn(proxy_tcp(listener, upstream, proxy_state))
            }
            ProxyTransport::Udp => {
                let socket = UdpSocket::bind(listen).await;
                let socket = socket.wrap_err_with(|| format!("bind proxy on {listen}"))?;
                tokio::spawn(proxy_udp(socket, upstream, proxy_state))
            }
        };
        Ok(Self { faults, state, task })
    }

    /// Replaces the faults and resets the byte counts for `cut_after`.
    pub fn set(&self, faults: ProxyFaults) {
        self.state.bytes_up.store(0, Ordering::Release);
        self.state.bytes_down.store(0, Ordering::Release);
        self.faults.send_replace(faults);
    }
}

impl Drop for FaultProxy {
    fn drop(&mut self) {
        self.task.abort();
    }
}

#[derive(Clone)]
struct ControlHandler(Arc<FaultProxy>);

impl HttpHandler for ControlHandler {
    async fn handle(&self, request: Request<Incoming>, _peer: SocketAddr) -> HttpReply {
        let Ok(body) = request.into_body().collect().await else {
            return text_reply(StatusCode::BAD_REQUEST, "body broken off");
        };
        let body = body.to_bytes();
        if body.is_empty() {
            return json_reply(StatusCode::OK, &*self.0.faults.borrow());
        }
        match serde_json::from_slice::<ProxyFaults>(&body) {
            Ok(faults) => {
                self.0.set(faults);
                text_reply(StatusCode::OK, "set")
            }
            Err(error) => text_reply(StatusCode::BAD_REQUEST, error.to_string()),
        }
    }
}

/// Runs a proxy and its control API until `stopping`.
pub async fn run(options: ProxyOptions, stopping: watch::Receiver<bool>) -> Result<()> {
    let control = server::bind(options.control, "proxy control").await?;
    let proxy = FaultProxy::start(options.transport, options.listen, options.upstream).await?;
    let handler = ControlHandler(Arc::new(proxy));
    server::serve(control, handler, ServerOptions { connections: 64 }, stopping).await;
    Ok(())
}

async fn proxy_tcp(listener: TcpListener, upstream: SocketAddr, state: ProxyState) {
    while let Ok((client, _)) = listener.accept().await {
        if state.faults.borrow().cut {
            continue;
        }
        tokio::spawn(proxy_connection(client, upstream, state.clone()));
    }
}

async fn proxy_connection(mut client: TcpStream, upstream: SocketAddr, state: ProxyState) {
    let Ok(mut server) = TcpStream::connect(upstream).await else { return };
    let _ = (client.set_nodelay(true), server.set_nodelay(true));
    let is_cut = {
        let (client_read, client_write) = client.split();
        let (server_read, server_write) = server.split();
        let up = copy_stream(client_read, server_write, &state, ProxyDirection::Up);
        let down = copy_stream(server_read, client_write, &state, ProxyDirection::Down);
        let mut faults = state.faults.clone();
        tokio::select! {
            // The other direction of a half-closed connection stays open.
            _ = async { tokio::join!(up, down) } => false,
            _ = faults.wait_for(|faults| faults.cut) => true,
        }
    };
    if is_cut {
        let _ = (client.set_zero_linger(), server.set_zero_linger());
    }
}

async fn copy_stream(
    mut from: impl AsyncReadExt + Unpin,
    mut to: impl AsyncWriteExt + Unpin,
    state: &ProxyState,
    direction: ProxyDirection,
) {
    let mut buffer = vec![0; 16 << 10];
    while let Ok(count) = from.read(&mut buffer).await {
        if count == 0 || !state.apply_faults(direction, count).await {
            break;
        }
        if to.write_all(&buffer[..count]).await.is_err() {
            break;
        }
    }
    let _ = to.shutdown().await;
}

async fn proxy_udp(socket: UdpSocket, upstream: SocketAddr, state: ProxyState) {
    let socket = Arc::new(socket);
    let flows: Arc<Mutex<HashMap<SocketAddr, Arc<UdpSocket>>>> = Arc::default();
    let mut buffer = vec![0; DATAGRAM_LIMIT];
    while let Ok((count, client)) = socket.recv_from(&mut buffer).await {
        let known = flows.lock().expect("no panic while locked").get(&client).cloned();
        let flow = match known {
            Some(flow) => flow,
            None => match open_flow(&socket, client, upstream, &state).await {
                Some(flow) => {
                    flows.lock().expect("no panic while locked").insert(client, Arc::clone(&flow));
                    flow
                }
                None => continue,
            },
        };
        let datagram = buffer[..count].to_vec();
        let state = state.clone();
        tokio::spawn(async move {
            if admit_datagram(&state, ProxyDirection::Up, count).await {
                let _ = flow.send(&datagram).await;
            }
        });
    }
}

async fn open_flow(
    socket: &Arc<UdpSocket>,
    client: SocketAddr,
    upstream: SocketAddr,
    state: &ProxyState,
) -> Option<Arc<UdpSocket>> {
    let flow = Arc::new(UdpSocket::bind((upstream.ip(), 0)).await.ok()?);
    flow.connect(upstream).await.ok()?;
    let (reply_socket, reader, state) = (Arc::clone(socket), Arc::clone(&flow), state.clone());
    tokio::spawn(async move {
        let mut buffer = vec![0; DATAGRAM_LIMIT];
        loop {
            // A connected UDP socket reports a refused datagram (ICMP) as an error. The upstream
            // may start again, so the flow stays open.
            let Ok(count) = reader.recv(&mut buffer).await else {
                sleep(Duration::from_millis(5)).await;
                continue;
            };
            let (datagram, reply_socket, state) =
                (buffer[..count].to_vec(), reply_socket.clone(), state.clone());
            tokio::spawn(async move {
                if admit_datagram(&state, ProxyDirection::Down, count).await {
                    let _ = reply_socket.send_to(&datagram, client).await;
                }
            });
        }
    });
    Some(flow)
}

/// Applies the faults to a datagram; false if it is dropped. A stall drops datagrams, as a real
/// network does.
async fn admit_datagram(state: &ProxyState, direction: ProxyDirection, count: usize) -> bool {
    let active = state.direction(direction);
    let dropped = active.drop > 0.0 && rand::rng().random_bool(active.drop.min(1.0));
    !dropped && !active.stall && state.apply_faults(direction, count).await
}
