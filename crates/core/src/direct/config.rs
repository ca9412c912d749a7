//! The configuration of routes, services and callers' limits, as one version of it.

pub mod record;

use super::customers::CustomerTable;
use crate::ids::{BaseName, ServiceName};
use serde::{Deserialize, Serialize};
use std::{collections::HashMap, sync::Arc, time::Duration};

/// Number of a configuration; it only grows, in uneven steps.
pub type ConfigNumber = u64;

/// Slowest that a caller may be in sending a head before its connection is closed, until a
/// configuration says otherwise.
const DEFAULT_HEADER_TIMEOUT: Duration = Duration::from_secs(3);
/// Unused time after which a caller's connection is closed, until a configuration says otherwise.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(15);
/// Largest head in bytes until a configuration says otherwise.
const DEFAULT_HEADER_BYTES: usize = 16 << 10;
/// Largest body in bytes until a configuration says otherwise.
const DEFAULT_BODY_BYTES: usize = 4 << 20;

/// What may be repeated.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum CallKind {
    /// May run more than once.
    Idempotent,
    /// Runs at most once.
    NonIdempotent,
    /// Answered by events; runs at most once unless it may go on at another target.
    Stream {
        /// Whether a new run may go on after the last event.
        resumable: bool,
    },
}

impl CallKind {
    /// Whether a call that may have run may be sent again.
    pub fn is_retryable(self) -> bool {
        matches!(self, Self::Idempotent | Self::Stream { resumable: true })
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

/// One route: which calls it takes and how they are handled.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct RouteRule {
    /// Name, for logs.
    pub name: Arc<str>,
    /// Host that a call must name.
    pub host: Arc<str>,
    /// Start of the path; begins and ends with a slash.
    pub prefix: Arc<str>,
    /// What may be repeated.
    pub kind: CallKind,
    /// Longest time that a caller is kept waiting.
    pub time_limit: Option<Duration>,
    /// Time within which an answer is worth most.
    pub objective: Duration,
    /// Rank; 0 is the highest.
    pub priority: u8,
    /// Most targets that may run one call.
    pub max_targets: u32,
    /// Whether it is open to callers that are nobody's.
    pub is_open: bool,
    /// Where the calls go; one share unless the route is split.
    pub shares: Vec<ServiceShare>,
}

impl RouteRule {
    /// Picks a service for a call; `draw` is uniform in 0 to 1.
    pub fn pick_service(&self, draw: f64) -> Option<&ServiceName> {
        let total: u32 = self.shares.iter().map(|share| share.weight).sum();
        let mut rest = draw * f64::from(total);
        for share in &self.shares {
            rest -= f64::from(share.weight);
            if rest < 0.0 {
                return Some(&share.service);
            }
        }
        self.shares.last().map(|share| &share.service)
    }
}

/// A base model that an engine can hold.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct BaseSpec {
    /// Its name.
    pub name: BaseName,
    /// Size of its weights in MB.
    pub weights_mb: f64,
    /// Size of one of its adapters in MB.
    pub adapter_mb: f64,
}

/// What all engines of a service have.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct EngineSpec {
    /// Requests run at once.
    pub batch: u32,
    /// Tokens of prompts and answers held at once.
    pub kv_tokens: u64,
    /// Room for weights and adapters in MB.
    pub memory_mb: f64,
    /// Adapters held at once, those on their way counted.
    #[serde(rename = "adapter_places")]
    pub adapter_slots: usize,
    /// Base models that may be asked for.
    pub bases: Vec<BaseSpec>,
}

/// A service and how its targets are spoken to.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ServiceSpec {
    /// Connections that each target takes from all callers together.
    pub connection_limit: usize,
    /// Set where the targets are model engines.
    pub engine: Option<EngineSpec>,
}

/// What callers may send, and how long they may take.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct CallerLimits {
    /// Largest head in bytes.
    pub header_bytes: usize,
    /// Largest body in bytes.
    pub body_bytes: usize,
    /// Longest time for a head to arrive, from its first byte.
    pub header_timeout: Duration,
    /// Longest time that a connection may stay unused.
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

/// A whole configuration, indexed for lookup.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RouteConfig {
    /// Its number; 0 before any is known.
    pub number: ConfigNumber,
    /// Limits for callers.
    pub limits: CallerLimits,
    /// Services by name.
    pub services: HashMap<ServiceName, Arc<ServiceSpec>>,
    /// Customers; none where all callers are alike.
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

    /// Sets the customers.
    #[must_use]
    pub fn with_customers(mut self, customers: CustomerTable) -> Self {
        self.customers = customers;
        self
    }

    /// The route with the longest prefix of `path` among those of `host`.
    ///
    /// Prefixes end with a slash, so only the path's own slashes need to be tried: the cost follows
    /// the depth of the path and not the number of routes.
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
