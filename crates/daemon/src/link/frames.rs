//! Framing of messages on a stream: a length of four bytes, little-endian, then the message in
//! postcard.

use eyre::{Result, WrapErr, ensure};
use quinn::{ReadExactError, RecvStream, SendStream};
use serde::{Serialize, de::DeserializeOwned};

/// Largest frame in bytes; fits the largest body with its headers.
pub const FRAME_LIMIT: usize = 13 << 20;

/// Size of the length prefix in bytes.
const LENGTH_BYTES: usize = 4;

/// Encodes a message as one frame.
pub fn encode<T: Serialize>(message: &T) -> Result<Vec<u8>> {
    let mut bytes = Vec::new();
    append(&mut bytes, message)?;
    Ok(bytes)
}

/// Appends a message as one frame to `bytes`.
pub fn append<T: Serialize>(bytes: &mut Vec<u8>, message: &T) -> Result<()> {
    let start = bytes.len();
    bytes.extend_from_slice(&[0; LENGTH_BYTES]);
    let encoded = postcard::to_extend(message, std::mem::take(bytes)).wrap_err("encode frame")?;
    *bytes = encoded;
    let length = bytes.len() - start - LENGTH_BYTES;
    ensure!(length <= FRAME_LIMIT, "encode frame: {length} bytes are over the limit");
    bytes[start..start + LENGTH_BYTES].copy_from_slice(&(length as u32).to_le_bytes());
    Ok(())
}

/// Decodes the message of a frame; bytes left over are an error.
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T> {
    let (message, rest) = postcard::take_from_bytes(bytes).wrap_err("decode frame")?;
    ensure!(rest.is_empty(), "decode frame: {} trailing bytes", rest.len());
    Ok(message)
}

/// Writes one frame.
pub async fn write<T: Serialize>(stream: &mut SendStream, message: &T) -> Result<()> {
    stream.write_all(&encode(message)?).await.wrap_err("write frame")
}

/// Reads one frame; `None` if the peer finished the stream before it.
pub async fn read<T: DeserializeOwned>(stream: &mut RecvStream) -> Result<Option<T>> {
    let mut length = [0; LENGTH_BYTES];
    match stream.read_exact(&mut length).await {
        Ok(()) => {}
        Err(ReadExactError::FinishedEarly(0)) => return Ok(None),
        Err(error) => return Err(error).wrap_err("read frame length"),
    }
    let length = u32::from_le_bytes(length) as usize;
    ensure!(length <= FRAME_LIMIT, "read frame: {length} bytes are over the limit");
    let mut bytes = vec![0; length];
    stream.read_exact(&mut bytes).await.wrap_err("read frame")?;
    decode(&bytes).map(Some)
}
