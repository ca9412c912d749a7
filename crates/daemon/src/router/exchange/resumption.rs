//! Resumption of streams: at which software version a call goes on, and where it may not go on at all.

use super::{
    super::{
        constants,
        streams::{UNKNOWN_SOFTWARE, count_resumption},
    },
    CallExchange, GiveUpReason,
};
use crate::clock;
use plantain_core::{
    direct::{
        call::FirstCall,
        selection::SoftwareNeed,
        streams::{SoftwareTag, query::QueryResult, software_tag, stream_key},
        targets::software::VersionPresence,
    },
    ids::{ServiceName, SoftwareVersion},
};
use std::sync::Arc;

/// Software version at which a call goes on.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) enum StreamSoftware {
    /// Any: no event has reached the caller.
    Free,
    /// The version that sent the stream's first event.
    Held(SoftwareVersion),
    /// None: the version that sent the first event is not known.
    Unknown,
}

/// Why a call that asks to resume a stream is refused.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Unresumable {
    /// Its route does not allow it.
    Route,
    /// It names no first call, and the stream may have begun at one of several versions.
    Unnamed,
    /// Nobody knows a version at which the stream began.
    Unknown,
    /// Several versions are recorded, or the target that began it had no certain one.
    Ambiguous,
    /// A loader that may know the version did not answer.
    Unanswered,
    /// No target of the version is left.
    Gone,
    /// Targets of the version may be missing from the list now.
    Unlisted,
}

impl Unresumable {
    fn name(self) -> &'static str {
        match self {
            Self::Route => "not_resumable",
            Self::Unnamed => "unnamed",
            Self::Unknown => "unknown",
            Self::Ambiguous => "ambiguous",
            Self::Unanswered => "unanswered",
            Self::Gone => "gone",
            Self::Unlisted => "unlisted",
        }
    }

    /// Whether the call may succeed later.
    fn is_passing(self) -> bool {
        matches!(self, Self::Unanswered | Self::Unlisted)
    }
}

impl CallExchange {
    /// Finds the service and version at which the caller's stream began, if the call asks to resume one. The error is the
    /// reason of the refusal.
    pub(crate) async fn find_software(&mut self) -> Result<(), GiveUpReason> {
        if !self.route.kind.is_stream() {
            return Ok(());
        }
        let Some(point) = self.record.resume.clone() else { return Ok(()) };
        let found = if self.route.kind.is_resumable() {
            self.find_origin(&point.first_call).await
        } else {
            Err(Unresumable::Route)
        };
        match found {
            Ok((service, software)) => {
                count_resumption("placed");
                self.service = service;
                self.record.software = Some(Arc::clone(&software));
                self.software = StreamSoftware::Held(software);
                Ok(())
            }
            Err(reason) => {
                count_resumption(reason.name());
                self.note(&format!("not resumed: {}", reason.name()));
                Err(GiveUpReason::Unresumable(
                    reason.is_passing().then_some(constants::RETURN_PAUSE),
                ))
            }
        }
    }

    /// The service and version at which the stream began: as recorded, or else the only one that it can have been.
    async fn find_origin(
        &mut self,
        first_call: &FirstCall,
    ) -> Result<(ServiceName, SoftwareVersion), Unresumable> {
        let missing = match first_call {
            FirstCall::Named(id) => match self.recorded_origin(id).await {
                Err(missing @ (Unresumable::Unknown | Unresumable::Unanswered)) => missing,
                decided => return decided,
            },
            FirstCall::Missing | FirstCall::Unreadable => Unresumable::Unnamed,
        };
        let (service, software) = self.only_software().await.ok_or(missing)?;
        self.note(&format!("resumes at {service} {software}: its only version"));
        Ok((service, software))
    }

    async fn recorded_origin(
        &mut self,
        id: &str,
    ) -> Result<(ServiceName, SoftwareVersion), Unresumable> {
        let began = clock::now();
        let streams = &self.context.streams;
        let result = streams.find_origin(&self.context, stream_key(id), self.end()).await;
        let took = clock::now().saturating_sub(began).as_millis();
        match result {
            QueryResult::Unknown => {
                self.note(&format!("no version recorded for {id}, after {took} ms"));
                Err(Unresumable::Unknown)
            }
            QueryResult::Unanswered => {
                self.note(&format!("no loader knows {id}, and not all answered in {took} ms"));
                Err(Unresumable::Unanswered)
            }
            QueryResult::Ambiguous => {
                self.note(&format!("several versions recorded for {id}, after {took} ms"));
                Err(Unresumable::Ambiguous)
            }
            QueryResult::Began(UNKNOWN_SOFTWARE) => {
                self.note(&format!("{id} began at a target of no certain version"));
                Err(Unresumable::Ambiguous)
            }
            QueryResult::Began(tag) => {
                let found = self.listed_software(tag).await?;
                let (service, software) = &found;
                self.note(&format!("resumes at {service} {software}: recorded, after {took} ms"));
                Ok(found)
            }
        }
    }

    /// The only version at which the stream can have begun. A router that has just started waits for the claims of others,
    /// unless it knows several versions.
    async fn only_software(&self) -> Option<(ServiceName, SoftwareVersion)> {
        let only = || self.context.pool.borrow().only_software(&self.route, clock::now());
        let has_several =
            || self.context.pool.borrow().has_several_versions(&self.route, clock::now());
        let is_decided = || only().is_some() || has_several();
        self.context.poll_while_starting(self.end(), is_decided).await;
        only()
    }

    /// The service and version with this tag, once the list of targets shows a target of it.
    async fn listed_software(
        &self,
        tag: SoftwareTag,
    ) -> Result<(ServiceName, SoftwareVersion), Unresumable> {
        let find = || self.context.pool.borrow().software_of(&self.route, tag);
        self.context.poll_while_starting(self.end(), || find().is_some()).await;
        let is_current = self.context.pool.borrow().is_list_current();
        let missing = if is_current { Unresumable::Gone } else { Unresumable::Unlisted };
        let (service, software) = find().ok_or(missing)?;
        match self.context.pool.borrow().version_presence(&service, &software) {
            VersionPresence::Serving => Ok((service, software)),
            VersionPresence::Gone => Err(Unresumable::Gone),
            VersionPresence::Unclear => Err(Unresumable::Unlisted),
        }
    }

    /// Software version that the next send needs.
    pub(super) fn software_need(&self) -> SoftwareNeed<'_> {
        match &self.software {
            StreamSoftware::Held(software) => SoftwareNeed::Only(software),
            _ if self.route.kind.is_resumable() => SoftwareNeed::Settled,
            _ => SoftwareNeed::Any,
        }
    }

    /// Records the version that sends the stream's first event, just before the event is relayed; later calls have no
    /// effect. The stream goes on at this version alone.
    pub(crate) fn hold_software(&mut self) {
        if !self.route.kind.is_resumable() || std::mem::replace(&mut self.has_begun, true) {
            return;
        }
        if self.software == StreamSoftware::Free {
            let held = self.answering_software.clone().map(StreamSoftware::Held);
            self.software = held.unwrap_or(StreamSoftware::Unknown);
        }
        let tag = match &self.software {
            StreamSoftware::Held(software) => software_tag(&self.service, software),
            StreamSoftware::Free | StreamSoftware::Unknown => UNKNOWN_SOFTWARE,
        };
        let streams = &self.context.streams;
        if let Some(id) = &self.head.id {
            streams.record(&self.context, stream_key(id), tag);
        }
        // The caller names the first call again if this answer breaks off, too.
        let first_call = self.record.resume.as_ref().map(|point| &point.first_call);
        if let Some(FirstCall::Named(id)) = first_call {
            streams.record(&self.context, stream_key(id), tag);
        }
    }

    /// Whether the version that began the call's stream is not known, although events of it have reached the caller.
    pub(crate) fn is_software_unknown(&self) -> bool {
        self.software == StreamSoftware::Unknown
    }

    /// Whether the stream cannot go on because no target of its version is left.
    pub(super) fn is_software_gone(&self) -> bool {
        let StreamSoftware::Held(software) = &self.software else { return false };
        let presence = self.context.pool.borrow().version_presence(&self.service, software);
        presence == VersionPresence::Gone
    }
}
