//! QUIC connections between processes: one stream per request, both ends authenticated by their
//! keys.

pub mod frames;
pub mod heartbeat;
pub mod keys;

use eyre::{Result, WrapErr};
use keys::PeerKeys;
use quinn::{
    ClientConfig, Endpoint, EndpointConfig, IdleTimeout, ServerConfig, TokioRuntime,
    TransportConfig, VarInt,
};
use quinn_proto::HashedConnectionIdGenerator;
use std::{
    net::{IpAddr, SocketAddr, UdpSocket},
    sync::Arc,
    time::Duration,
};

/// Server name in the TLS handshake. Peers are identified by their keys alone, not by this name.
pub const PEER_NAME: &str = "plantain-peer";
/// Largest number of requests in flight on one connection. The library allocates 90 bytes of state for each
/// stream that the peer may open, so a high limit costs memory on every idle connection.
const STREAM_LIMIT: u32 = 128;
/// Time after which an unused connection is closed, so that an entry keeps connections only to the
/// agents that it uses and not to the entire fleet.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);
/// Flow-control window of one stream, in bytes. Bounds the memory that a slow caller can take.
const STREAM_WINDOW: u32 = 256 << 10;
/// Flow-control window of a connection, in bytes.
const CONNECTION_WINDOW: u32 = 32 << 20;
/// Round-trip time assumed before the first sample; far below the library's default, which suits the
/// internet.
const INITIAL_ROUND_TRIP: Duration = Duration::from_millis(10);

/// Creates an endpoint that connects to peers.
pub fn client_endpoint(bind: IpAddr, keys: &PeerKeys) -> Result<Endpoint> {
    let mut endpoint = Endpoint::client(SocketAddr::new(bind, 0)).wrap_err("bind QUIC client")?;
    let crypto = quinn::crypto::rustls::QuicClientConfig::try_from(keys.client_config()?)
        .wrap_err("set up QUIC client keys")?;
    let mut config = ClientConfig::new(Arc::new(crypto));
    config.transport_config(transport()?);
    endpoint.set_default_client_config(config);
    Ok(endpoint)
}

/// Creates an endpoint that accepts connections from peers.
pub fn server_endpoint(listen: SocketAddr, keys: &PeerKeys) -> Result<Endpoint> {
    let crypto = quinn::crypto::rustls::QuicServerConfig::try_from(keys.server_config()?)
        .wrap_err("set up QUIC server keys")?;
    let mut config = ServerConfig::with_crypto(Arc::new(crypto));
    config.transport_config(transport()?);
    let socket = UdpSocket::bind(listen).wrap_err_with(|| format!("bind QUIC on {listen}"))?;
    // A restarted process must be able to reset its predecessor's connections. With a random reset
    // key it could not, and each entry's next offer would go unanswered for a second.
    let mut endpoint = EndpointConfig::new(Arc::new(keys.reset_key()));
    let cid_key = keys.cid_key();
    endpoint.cid_generator(move || Box::new(HashedConnectionIdGenerator::from_key(cid_key)));
    Endpoint::new(endpoint, Some(config), socket, Arc::new(TokioRuntime))
        .wrap_err_with(|| format!("serve QUIC on {listen}"))
}

fn transport() -> Result<Arc<TransportConfig>> {
    let mut transport = TransportConfig::default();
    transport
        .max_concurrent_bidi_streams(VarInt::from_u32(STREAM_LIMIT))
        .max_concurrent_uni_streams(VarInt::from_u32(0))
        .max_idle_timeout(Some(IdleTimeout::try_from(IDLE_TIMEOUT).wrap_err("idle timeout")?))
        .stream_receive_window(VarInt::from_u32(STREAM_WINDOW))
        .receive_window(VarInt::from_u32(CONNECTION_WINDOW))
        .initial_rtt(INITIAL_ROUND_TRIP);
    Ok(Arc::new(transport))
}
