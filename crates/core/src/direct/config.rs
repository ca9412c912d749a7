//! One version of the configuration: routes, services, customers and limits for callers.

pub mod record;

use super::{call::ModelNeed, customers::CustomerTable, messages::BaseOffer};
use crate::ids::{BaseName, ServiceName};
use serde::{Deserialize, Serialize};
use std::{collections::HashMap, sync::Arc, time::Duration};

/// Number of a configuration's version; increases with each version, not always by one.
pub type ConfigNumber = u64;

/// Time limit for a caller to send a head before its connection is closed, until a configuration sets another.
const DEFAULT_HEADER_TIMEOUT: Duration = Duration::from_secs(3);
/// Idle time after which a caller's connection is closed, until a configuration sets another.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(15);
/// Largest head in bytes, until a configuration sets another.
const DEFAULT_HEADER_BYTES: usize = 16 << 10;
/// Largest body in bytes, until a configuration sets another.
const DEFAULT_BODY_BYTES: usize = 4 << 20;

/// Whether the calls of a route may run more than once.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum CallKind {
    /// May run more than once.
    Idempotent,
    /// Runs at most once.
    NonIdempotent,
    /// Answered by a stream of events; runs at most once unless it is resumable.
    Stream {
        /// Whether a new run may resume after the last event.
        resumable: bool,
    },
}

impl CallKind {
    /// Whether a call that may have run may be sent again.
    pub fn is_retryable(self) -> bool {
        matches!(self, Self::Idempotent | Self::Stream { resumable: true })
    }

    /// Whether the answer is a stream that a new run may resume.
    pub fn is_resumable(self) -> bool {
        matches!(self, Self::Stream { resumable: true })
    }

    /// Whether the answer is a stream of events.
    pub fn is_stream(self) -> bool {
        matches!(self, Self::Stream { .. })
    }
}

/// A service's share of a route's calls.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ServiceShare {
    /// The service.
    pub service: ServiceName,
    /// Its weight among the shares of the route.
    pub weight: u32,
}

/// One route: the calls that it matches and how they are handled.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct RouteRule {
    /// Name, for logs.
    pub name: Arc<str>,
    /// Host that a call must state.
    pub host: Arc<str>,
    /// Prefix of the path; begins and ends with a slash.
    pub prefix: Arc<str>,
    /// Whether its calls may run more than once.
    pub kind: CallKind,
    /// Longest time until a call is answered; `None` if the route sets none.
    pub time_limit: Option<Duration>,
    /// Latency objective of an answer.
    pub objective: Duration,
    /// Priority of its calls; 0 is the highest.
    pub priority: u8,
    /// Maximum of targets that may run one call.
    pub max_targets: u32,
    /// Whether it admits callers that belong to no customer.
    pub is_open: bool,
    /// Services that get its calls; one unless the route is split.
    pub shares: Vec<ServiceShare>,
}

impl RouteRule {
    /// Picks a service for a call; `draw` is uniform from 0 to 1.
    pub fn pick_service(&self, draw: f64) -> Option<&ServiceName> {
        let total: u32 = self.shares.iter().map(|share| share.weight).sum();
        let mut remaining = draw * f64::from(total);
        for share in &self.shares {
            remaining -= f64::from(share.weight);
            if remaining < 0.0 {
                return Some(&share.service);
            }
        }
        self.shares.last().map(|share| &share.service)
    }
}

/// A base model that an engine can hold.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct BaseSpec {
    /// Name of the base model.
    pub name: BaseName,
    /// Size of its weights in MB.
    pub weights_mb: f64,
    /// Size of one of its adapters in MB.
    pub adapter_mb: f64,
}

impl BaseSpec {
    /// Name and sizes of the base model for notices to loaders.
    pub fn offer(&self) -> BaseOffer {
        BaseOffer {
            base: Arc::clone(&self.name),
            weights_mb: round_up(self.weights_mb),
            adapter_mb: round_up(self.adapter_mb),
        }
    }
}

/// Capacity that all engines of a service have.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct EngineSpec {
    /// Batch slots: calls that run at once.
    pub batch: u32,
    /// Capacity of the KV cache in tokens of prompts and answers.
    pub kv_tokens: u64,
    /// Memory for weights and adapters in MB.
    pub memory_mb: f64,
    /// Maximum of adapters held, including those being loaded.
    #[serde(rename = "adapter_places")]
    pub adapter_slots: usize,
    /// Base models that calls may need.
    pub bases: Vec<BaseSpec>,
}

impl EngineSpec {
    /// Whether an engine that holds nothing else can hold what a call needs. A base model that the configuration does
    /// not name may be at an engine all the same.
    pub fn can_hold(&self, need: &ModelNeed) -> bool {
        let Some(base) = self.bases.iter().find(|base| base.name == need.base) else { return true };
        let adapter_mb = if need.adapter.is_some() { base.adapter_mb } else { 0.0 };
        let has_slot = need.adapter.is_none() || self.adapter_slots > 0;
        has_slot && base.weights_mb + adapter_mb <= self.memory_mb
    }

    /// Memory for weights and adapters in MB, rounded down for notices to loaders.
    pub fn offered_memory(&self) -> f32 {
        -round_up(-self.memory_mb)
    }
}

/// The nearest single-precision number that is not below `value`: sums of sizes that are rounded up never fall below
/// the engine's own.
fn round_up(value: f64) -> f32 {
    let nearest = value as f32;
    if f64::from(nearest) < value { nearest.next_up() } else { nearest }
}

/// A service and how routers connect to its targets.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ServiceSpec {
    /// Maximum of connections that each target accepts, from all its clients together.
    pub connection_limit: usize,
    /// Set if the targets are model engines.
    pub engine: Option<EngineSpec>,
}

/// Size and time limits for callers' requests.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct CallerLimits {
    /// Largest head in bytes.
    pub header_bytes: usize,
    /// Largest body in bytes.
    pub body_bytes: usize,
    /// Longest time for a head to arrive, from its first byte.
    pub header_timeout: Duration,
    /// Longest time that a connection may stay idle.
    pub idle_timeout: Duration,
}

impl Default for CallerLimits {
    fn default() -> Self {
        Self {
            header_bytes: DEFAULT_HEADER_BYTES,
            body_bytes: DEFAULT_BODY_BYTES,
            header_timeout: DEFAULT_HEADER_TIMEOUT,
            idle_timeout: DEFAULT_IDLE_TIMEOUT,
        }
    }
}

/// A complete configuration, indexed for lookup.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RouteConfig {
    /// Number of its version; 0 before any is known.
    pub number: ConfigNumber,
    /// Limits for callers.
    pub limits: CallerLimits,
    /// Services by name.
    pub services: HashMap<ServiceName, Arc<ServiceSpec>>,
    /// Customers; empty if callers are not identified.
    pub customers: CustomerTable,
    routes: HashMap<Arc<str>, HashMap<Arc<str>, Arc<RouteRule>>>,
}

impl RouteConfig {
    /// Indexes routes by host and prefix.
    pub fn new(
        number: ConfigNumber,
        routes: Vec<RouteRule>,
        services: HashMap<ServiceName, Arc<ServiceSpec>>,
        limits: CallerLimits,
    ) -> Self {
        let mut index: HashMap<Arc<str>, HashMap<Arc<str>, Arc<RouteRule>>> = HashMap::new();
        for route in routes {
            let prefixes = index.entry(Arc::clone(&route.host)).or_default();
            prefixes.insert(Arc::clone(&route.prefix), Arc::new(route));
        }
        let customers = CustomerTable::default();
        Self { number, limits, services, customers, routes: index }
    }

    /// Replaces the customers.
    #[must_use]
    pub fn with_customers(mut self, customers: CustomerTable) -> Self {
        self.customers = customers;
        self
    }

    /// The route with the longest prefix of `path` among those of `host`.
    ///
    /// Prefixes end with a slash, so only the path's own slashes are tried: the cost grows with the depth of the
    /// path and not with the number of routes.
    pub fn find(&self, host: &str, path: &str) -> Option<&Arc<RouteRule>> {
        let prefixes = self.routes.get(host)?;
        let path = path.split('?').next().unwrap_or(path);
        let slashes = path.rmatch_indices('/').map(|(index, _)| index + 1);
        slashes.map(|end| &path[..end]).find_map(|prefix| prefixes.get(prefix))
    }

    /// All routes.
    pub fn routes(&self) -> impl Iterator<Item = &Arc<RouteRule>> {
        self.routes.values().flat_map(HashMap::values)
    }

    /// Number of routes.
    pub fn route_count(&self) -> usize {
        self.routes.values().map(HashMap::len).sum()
    }
}
