//! Records with which agents announce their targets on the platform.

use crate::ids::{BaseName, RegionName, ServiceName, TargetName, ZoneName};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// What a target serves.
#[derive(Clone, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum TargetKind {
    /// A model engine with this base model.
    Engine(BaseName),
    /// A replica of this plain service.
    Service(ServiceName),
}

/// A target as its agent announces it on the platform.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct TargetRecord {
    /// Name of the target, unique on the platform.
    pub name: TargetName,
    /// Base model or service that it serves.
    pub kind: TargetKind,
    /// Address of its agent.
    pub peer: SocketAddr,
    /// Incremented each time a new process takes the target's slot. Also the fencing number of the
    /// orders that this process sends to the engine.
    pub epoch: u64,
    /// Region of the target.
    pub region: RegionName,
    /// Availability zone of the target.
    pub zone: ZoneName,
    /// Whether it is draining and takes no new requests.
    #[serde(default)]
    pub leaving: bool,
}
