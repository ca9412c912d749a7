//! Bodies of answers that are streamed through a bounded channel.

use bytes::Bytes;
use http_body_util::BodyExt;
use plantain_net::body::{BodyAbort, ReplyBody, STREAM_DEPTH};

/// Guards against an answer that was cut and looks complete to a caller who reads slowly: the buffer is full when the
/// answer is aborted, and its end looks like the end of the body.
#[tokio::test]
async fn an_aborted_body_never_looks_complete() {
    for buffered in [0, 1, STREAM_DEPTH - 1, STREAM_DEPTH] {
        let (sender, body) = ReplyBody::channel();
        for _ in 0..buffered {
            sender.send(Ok(Bytes::from_static(b"part"))).await.expect("room for a chunk");
        }
        let abort = sender.send(Err(BodyAbort("cut".into())));
        let aborted = tokio::time::timeout(std::time::Duration::from_millis(200), abort).await;
        drop(sender);
        let read = body.collect().await;
        assert!(read.is_err(), "{buffered} chunks buffered: {aborted:?}, {read:?}");
    }
}
