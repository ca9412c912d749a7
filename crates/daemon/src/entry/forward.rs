//! The part of an answer that streams to the caller.

use super::{decisions::OfferEnd, follow::OfferFollower, offers::OfferEvent, reply::RequestError};
use crate::{options::constants, telemetry::names};
use bytes::Bytes;
use metrics::{counter, histogram};
use plantain_core::protocol::AgentFrame;
use plantain_net::body::{BodyAbort, BodySender};
use slog::{Logger, warn};
use std::time::{Duration, Instant};
use tokio::time::{sleep, timeout};

/// Time in which the last event of a broken stream goes out.
const FLUSH_PAUSE: Duration = Duration::from_millis(20);

/// Passes an answer on to the caller as it comes.
pub(super) struct Forward {
    pub(super) sender: BodySender,
    pub(super) follower: OfferFollower,
    pub(super) started: Instant,
    pub(super) first: Bytes,
    pub(super) events: bool,
    pub(super) logger: Logger,
}

impl Forward {
    /// Runs to the end of the answer.
    pub(super) async fn run(mut self) {
        let mut piece = std::mem::take(&mut self.first);
        let problem = loop {
            match timeout(constants::WRITE_TIMEOUT, self.sender.send(Ok(piece))).await {
                Ok(Ok(())) => {}
                // The caller is gone, or does not read: its place is worth more than its answer.
                Ok(Err(_)) | Err(_) => return self.follower.guard.end(OfferEnd::Dropped),
            }
            let event = tokio::select! {
                event = self.follower.handle.events.recv() => event,
                () = self.sender.closed() => return self.follower.guard.end(OfferEnd::Dropped),
            };
            match event {
                Some(OfferEvent::Frame(AgentFrame::Chunk { data, .. })) => piece = data,
                Some(OfferEvent::Frame(AgentFrame::End { report, .. })) => {
                    histogram!(names::REQUEST_SECONDS).record(self.started.elapsed().as_secs_f64());
                    self.follower.guard.report(report);
                    return self.follower.guard.end(OfferEnd::Answered);
                }
                Some(OfferEvent::Frame(AgentFrame::Failed { message, .. })) => break message,
                Some(OfferEvent::Lost(problem)) => break problem,
                _ => break "the answer broke off".to_owned(),
            }
        };
        self.break_off(problem).await;
    }

    /// Tells the caller that the answer is not whole, then cuts the connection, so that not even a
    /// caller that ignores the event can take it for a short answer.
    async fn break_off(mut self, problem: String) {
        warn!(self.logger, "answer broken off"; "step" => "stream",
            "peer" => &*self.follower.guard.target, "error" => &problem);
        self.follower.guard.end(OfferEnd::Failed);
        counter!(names::REQUESTS, "outcome" => "broken_off").increment(1);
        if self.events {
            let error = RequestError::unknown(&problem).body();
            let event = format!("event: error\ndata: {error}\n\n");
            let _ = self.sender.send(Ok(event.into())).await;
            // The server throws away what it has not written when a body breaks off.
            sleep(FLUSH_PAUSE).await;
        }
        let _ = self.sender.send(Err(BodyAbort(problem))).await;
    }
}
