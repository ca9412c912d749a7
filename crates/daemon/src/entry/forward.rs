//! Streams an answer to the caller.

use super::{decisions::OfferEnd, follow::PendingOffer, offers::OfferEvent, reply::RequestError};
use crate::{options::constants, telemetry::names};
use bytes::Bytes;
use metrics::{counter, histogram};
use plantain_core::protocol::AgentFrame;
use plantain_net::body::{BodyAbort, BodySender};
use slog::{Logger, warn};
use std::time::{Duration, Instant};
use tokio::time::{sleep, timeout};

/// Time for the server to write the error event before the connection is cut.
const FLUSH_PAUSE: Duration = Duration::from_millis(20);

/// Forwards an answer to the caller chunk by chunk.
pub(super) struct Forward {
    pub(super) sender: BodySender,
    pub(super) offer: PendingOffer,
    pub(super) started: Instant,
    pub(super) first_chunk: Bytes,
    pub(super) is_event_stream: bool,
    pub(super) logger: Logger,
}

impl Forward {
    /// Forwards until the answer ends or the caller disconnects.
    pub(super) async fn run(mut self) {
        let mut chunk = std::mem::take(&mut self.first_chunk);
        let problem = loop {
            match timeout(constants::WRITE_TIMEOUT, self.sender.send(Ok(chunk))).await {
                Ok(Ok(())) => {}
                // The caller has disconnected, or does not read: the request is cancelled to free
                // its slot.
                Ok(Err(_)) | Err(_) => return self.offer.guard.end(OfferEnd::Dropped),
            }
            let event = tokio::select! {
                event = self.offer.handle.events.recv() => event,
                () = self.sender.closed() => return self.offer.guard.end(OfferEnd::Dropped),
            };
            match event {
                Some(OfferEvent::Frame(AgentFrame::Chunk { data, .. })) => chunk = data,
                Some(OfferEvent::Frame(AgentFrame::End { report, .. })) => {
                    histogram!(names::REQUEST_SECONDS).record(self.started.elapsed().as_secs_f64());
                    self.offer.guard.report(report);
                    return self.offer.guard.end(OfferEnd::Answered);
                }
                Some(OfferEvent::Frame(AgentFrame::Failed { message, .. })) => break message,
                Some(OfferEvent::Lost(problem)) => break problem,
                _ => break "the answer ended early".to_owned(),
            }
        };
        self.abort(problem).await;
    }

    /// Sends the caller an error event if the answer is an event stream, then cuts the connection:
    /// a caller that ignores the event must not take the partial answer for a complete one.
    async fn abort(mut self, problem: String) {
        warn!(self.logger, "answer aborted"; "step" => "stream",
            "peer" => &*self.offer.guard.target, "error" => &problem);
        self.offer.guard.end(OfferEnd::Failed);
        counter!(names::REQUESTS, "outcome" => "broken_off").increment(1);
        if self.is_event_stream {
            let error = RequestError::unknown(&problem).body();
            let event = format!("event: error\ndata: {error}\n\n");
            let _ = self.sender.send(Ok(event.into())).await;
            // The server discards unwritten data when a body fails.
            sleep(FLUSH_PAUSE).await;
        }
        let _ = self.sender.send(Err(BodyAbort(problem))).await;
    }
}
