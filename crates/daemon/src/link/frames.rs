//! Frames on a stream: a length in four bytes, little-endian, then the message in postcard.

use eyre::{Result, WrapErr, ensure};
use quinn::{ReadExactError, RecvStream, SendStream};
use serde::{Serialize, de::DeserializeOwned};

/// Largest frame; holds the largest body and its headers.
pub const FRAME_LIMIT: usize = 13 << 20;

/// Encodes a frame.
pub fn encode<T: Serialize>(message: &T) -> Result<Vec<u8>> {
    let mut bytes = postcard::to_extend(message, vec![0; 4]).wrap_err("encode frame")?;
    let length = bytes.len() - 4;
    ensure!(length <= FRAME_LIMIT, "encode frame: {length} bytes are over the limit");
    bytes[..4].copy_from_slice(&(length as u32).to_le_bytes());
    Ok(bytes)
}

/// Decodes the message of a frame, all of it.
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T> {
    let (message, rest) = postcard::take_from_bytes(bytes).wrap_err("decode frame")?;
    ensure!(rest.is_empty(), "decode frame: {} bytes too many", rest.len());
    Ok(message)
}

/// Writes one frame.
pub async fn write<T: Serialize>(stream: &mut SendStream, message: &T) -> Result<()> {
    stream.write_all(&encode(message)?).await.wrap_err("write frame")
}

/// Reads one frame; `None` if the stream ended properly before it.
pub async fn read<T: DeserializeOwned>(stream: &mut RecvStream) -> Result<Option<T>> {
    let mut length = [0; 4];
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
