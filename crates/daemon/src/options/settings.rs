//! Settings of all roles, made from the arguments and checked.

use super::{
    arguments::{AgentArguments, CommonArguments, DaemonArguments, EntryArguments},
    constants,
    site::{LoaderFile, RouterFile, SiteSettings},
};
use crate::link::keys::PeerKeys;
use plantain_core::{
    agent::residency::EvictionPolicy,
    ids::check_name,
    permits::{PermitLimits, PermitOrder},
    policy::RoutingPolicy,
    target::TargetKind,
};
use serde_json::json;
use slog::Level;
use std::{net::SocketAddr, sync::Arc};

/// Settings of the role that the process runs.
#[derive(Clone, Debug)]
pub enum DaemonSettings {
    /// Settings of an entry.
    Entry(EntrySettings),
    /// Settings of an agent.
    Agent(AgentSettings),
    /// Settings of a router.
    Router(SiteSettings<RouterFile>),
    /// Settings of a loader.
    Loader(SiteSettings<LoaderFile>),
}

/// Settings that entries and agents have in common.
#[derive(Clone, Debug)]
pub struct CommonSettings {
    /// Name of this process.
    pub name: Arc<str>,
    /// Region of this host.
    pub region: Arc<str>,
    /// Availability zone of this host.
    pub zone: Arc<str>,
    /// Address of the platform.
    pub platform: SocketAddr,
    /// Address of the admin server.
    pub admin: SocketAddr,
    /// Keys of the links between processes.
    pub keys: PeerKeys,
    /// Least important log lines to write.
    pub log_level: Level,
}

/// Settings of an entry.
#[derive(Clone, Debug)]
pub struct EntrySettings {
    /// Settings that entries and agents have in common.
    pub common: CommonSettings,
    /// Address for callers.
    pub listen: SocketAddr,
    /// Address for agents that request load permits, and for entries that start during a platform outage.
    pub peer_listen: SocketAddr,
    /// Other entries that provide the state at a start without the platform.
    pub peers: Vec<SocketAddr>,
    /// Rate and concurrency of loads from the weight store, and the order of waiting loads.
    pub permits: PermitLimits,
    /// Policy that chooses a target for each request.
    pub policy: RoutingPolicy,
    /// Largest body of a request, in bytes.
    pub body_limit: usize,
    /// Largest number of open connections.
    pub connections: usize,
    /// Largest number of concurrent requests.
    pub requests: usize,
    /// Memory that the process may take, in bytes.
    pub memory: usize,
}

/// Settings of an agent.
#[derive(Clone, Debug)]
pub struct AgentSettings {
    /// Settings that entries and agents have in common.
    pub common: CommonSettings,
    /// Address at which the agent listens for entries.
    pub listen: SocketAddr,
    /// Address at which entries reach the slot.
    pub announce: SocketAddr,
    /// Address of the target.
    pub target: SocketAddr,
    /// What the target serves.
    pub kind: TargetKind,
    /// Address of the weight store: always set for an engine, unused for a service.
    pub weight_store: Option<SocketAddr>,
    /// Largest number of adapters that the engine holds.
    pub slots: usize,
    /// Largest number of requests that the target runs concurrently.
    pub batch_limit: u32,
    /// Largest number of loads that the engine performs concurrently.
    pub load_limit: usize,
    /// Loads per second that this agent may order while no entry grants permits.
    pub load_rate: f64,
    /// Policy that chooses the adapter to evict when all slots are used.
    pub eviction: EvictionPolicy,
    /// Whether the engine refuses orders with an old fencing number.
    pub engine_checks_fencing: bool,
}

impl DaemonSettings {
    /// Checks arguments. The error names the flag and the values that it accepts.
    pub fn new(arguments: DaemonArguments) -> Result<Self, String> {
        match arguments {
            DaemonArguments::Entry(arguments) => EntrySettings::new(&arguments).map(Self::Entry),
            DaemonArguments::Agent(arguments) => AgentSettings::new(&arguments).map(Self::Agent),
            DaemonArguments::Router(arguments) => SiteSettings::new(arguments).map(Self::Router),
            DaemonArguments::Loader(arguments) => SiteSettings::new(arguments).map(Self::Loader),
        }
    }

    /// The settings as JSON, with secrets hidden.
    pub fn describe(&self) -> String {
        let value = match self {
            Self::Entry(settings) => settings.describe(),
            Self::Agent(settings) => settings.describe(),
            Self::Router(settings) => json!(&*settings.file),
            Self::Loader(settings) => json!(&*settings.file),
        };
        serde_json::to_string_pretty(&value).unwrap_or_default()
    }
}

impl CommonSettings {
    fn new(arguments: &CommonArguments) -> Result<Self, String> {
        check_name("--name", &arguments.name)?;
        check_name("--region", &arguments.region)?;
        check_name("--zone", &arguments.zone)?;
        let keys = PeerKeys::new(&arguments.peer_key, arguments.accept_key.as_deref())?;
        Ok(Self {
            name: arguments.name.as_str().into(),
            region: arguments.region.as_str().into(),
            zone: arguments.zone.as_str().into(),
            platform: arguments.platform,
            admin: arguments.admin,
            keys,
            log_level: parse_level(&arguments.log_level)?,
        })
    }

    fn describe(&self) -> serde_json::Value {
        json!({
            "name": self.name, "region": self.region, "zone": self.zone,
            "platform": self.platform, "admin": self.admin, "peer_key": "hidden",
            "accept_key": self.keys.has_second().then_some("hidden"),
            "log_level": self.log_level.as_str().to_lowercase(),
        })
    }
}

impl EntrySettings {
    fn new(arguments: &EntryArguments) -> Result<Self, String> {
        let common = CommonSettings::new(&arguments.common)?;
        check_distinct(&[("--admin", common.admin), ("--listen", arguments.listen)])?;
        let body_limit = arguments.body_limit.unwrap_or(constants::BODY_LIMIT);
        let (floor, ceiling) = (constants::BODY_LIMIT_FLOOR, constants::BODY_LIMIT_CEILING);
        if !(floor..=ceiling).contains(&body_limit) {
            return Err(format!("--body-limit: expected from {floor} to {ceiling} bytes"));
        }
        let memory_mb = arguments.memory_mb.unwrap_or(constants::MEMORY_MB);
        let (least, most) = constants::MEMORY_RANGE_MB;
        if !(least..=most).contains(&memory_mb) {
            return Err(format!("--memory-mb: expected from {least} to {most} MB"));
        }
        let store_rate = arguments.store_rate.unwrap_or(constants::STORE_RATE);
        if !(store_rate > 0.0 && store_rate.is_finite()) {
            return Err("--store-rate: expected a number above 0".into());
        }
        let permits = PermitLimits {
            rate: store_rate,
            active: positive("--store-loads", arguments.store_loads, constants::STORE_LOADS)?,
            order: PermitOrder::parse(&arguments.load_order)
                .map_err(|error| format!("--load-order: {error}"))?,
        };
        Ok(Self {
            common,
            listen: arguments.listen,
            peer_listen: arguments.peer_listen,
            peers: arguments.peer.clone(),
            permits,
            policy: RoutingPolicy::parse(&arguments.policy)
                .map_err(|e| format!("--policy: {e}"))?,
            body_limit,
            connections: positive("--connections", arguments.connections, constants::CONNECTIONS)?,
            requests: positive("--requests", arguments.requests, constants::REQUESTS)?,
            memory: memory_mb * 1_000_000,
        })
    }

    fn describe(&self) -> serde_json::Value {
        json!({
            "role": "entry", "common": self.common.describe(), "listen": self.listen,
            "peer_listen": self.peer_listen, "peers": self.peers, "store_rate": self.permits.rate,
            "store_loads": self.permits.active, "load_order": self.permits.order.name(),
            "policy": self.policy.name(), "body_limit": self.body_limit,
            "connections": self.connections, "requests": self.requests,
            "memory_mb": self.memory / 1_000_000,
        })
    }
}

impl AgentSettings {
    fn new(arguments: &AgentArguments) -> Result<Self, String> {
        let common = CommonSettings::new(&arguments.common)?;
        let kind = target_kind(arguments)?;
        let is_engine = matches!(kind, TargetKind::Engine(_));
        if is_engine && arguments.weight_store.is_none() {
            return Err("--weight-store: needed with --base".into());
        }
        check_distinct(&[("--admin", common.admin), ("--target", arguments.target)])?;
        let load_rate = arguments.load_rate.unwrap_or(constants::LOAD_RATE);
        if !(load_rate > 0.0 && load_rate.is_finite()) {
            return Err("--load-rate: expected a number above 0".into());
        }
        Ok(Self {
            common,
            listen: arguments.listen,
            announce: arguments.announce.unwrap_or(arguments.listen),
            target: arguments.target,
            kind,
            weight_store: arguments.weight_store,
            slots: positive("--slots", arguments.slots, constants::SLOTS)?,
            batch_limit: positive("--batch-limit", arguments.batch_limit, constants::BATCH_LIMIT)?,
            load_limit: positive("--load-limit", arguments.load_limit, constants::LOAD_LIMIT)?,
            load_rate,
            eviction: EvictionPolicy::parse(&arguments.eviction)
                .map_err(|error| format!("--eviction: {error}"))?,
            engine_checks_fencing: arguments.engine_checks_fencing,
        })
    }

    fn describe(&self) -> serde_json::Value {
        json!({
            "role": "agent", "common": self.common.describe(), "listen": self.listen,
            "announce": self.announce, "target": self.target, "serves": self.kind, "weight_store": self.weight_store,
            "slots": self.slots, "batch_limit": self.batch_limit, "load_limit": self.load_limit,
            "load_rate": self.load_rate, "eviction": self.eviction.name(),
            "engine_checks_fencing": self.engine_checks_fencing,
        })
    }
}

fn target_kind(arguments: &AgentArguments) -> Result<TargetKind, String> {
    match (&arguments.base, &arguments.service) {
        (Some(base), None) => {
            check_name("--base", base)?;
            Ok(TargetKind::Engine(base.as_str().into()))
        }
        (None, Some(service)) => {
            check_name("--service", service)?;
            Ok(TargetKind::Service(service.as_str().into()))
        }
        (Some(_), Some(_)) => Err("--base and --service: give only one of them".into()),
        (None, None) => Err("--base or --service: give one of them".into()),
    }
}

fn positive<T: Default + PartialEq>(flag: &str, given: Option<T>, default: T) -> Result<T, String> {
    match given {
        Some(value) if value == T::default() => Err(format!("{flag}: expected at least 1")),
        Some(value) => Ok(value),
        None => Ok(default),
    }
}

fn check_distinct(addresses: &[(&str, SocketAddr)]) -> Result<(), String> {
    for (index, (flag, address)) in addresses.iter().enumerate() {
        for (other_flag, other) in &addresses[index + 1..] {
            if address == other {
                return Err(format!("{flag} and {other_flag}: both are {address}"));
            }
        }
    }
    Ok(())
}

fn parse_level(text: &str) -> Result<Level, String> {
    match text {
        "error" => Ok(Level::Error),
        "warning" => Ok(Level::Warning),
        "info" => Ok(Level::Info),
        "debug" => Ok(Level::Debug),
        _ => Err(format!("--log-level: `{text}` is not one of error, warning, info, debug")),
    }
}
