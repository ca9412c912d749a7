//! Configuration records that operators write, and their validation.

use crate::{
    burn::ServiceObjectives,
    ids::{AdapterName, AdapterVersion, BaseName, CallerName, PresetName, ServiceName, check_name},
    priority::Priority,
};
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Largest weight of a cost term in a preset.
pub const WEIGHT_LIMIT: f64 = 100.0;
/// Largest share that a caller may have.
pub const SHARE_LIMIT: u32 = 1_000;
/// Longest deadline that a preset may set, in milliseconds.
pub const DEADLINE_LIMIT_MS: u64 = 600_000;
/// Maximum number of versions of one adapter.
pub const VERSION_LIMIT: usize = 64;

/// An adapter and the versions of it that callers may use.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct AdapterRecord {
    /// Unique name in the configuration, checked by [`check_name`].
    pub name: AdapterName,
    /// The base model that it extends.
    pub base: BaseName,
    /// Versions that callers may request, ascending.
    pub versions: Vec<AdapterVersion>,
    /// The version used when a request names none.
    pub current: AdapterVersion,
    /// Whether running a request twice does no harm.
    #[serde(default = "default_idempotent", skip_serializing_if = "is_true")]
    pub idempotent: bool,
}

fn default_idempotent() -> bool {
    true
}

#[allow(clippy::trivially_copy_pass_by_ref, reason = "serde passes fields by reference")]
fn is_true(value: &bool) -> bool {
    *value
}

impl AdapterRecord {
    /// Validates the fields of the record; the error names the invalid field.
    pub fn check(&self) -> Result<(), String> {
        check_name("adapter", &self.name)?;
        check_name("base", &self.base)?;
        if self.versions.is_empty() || self.versions.len() > VERSION_LIMIT {
            return Err(format!("versions: keep from 1 to {VERSION_LIMIT} versions"));
        }
        if !self.versions.is_sorted_by(|a, b| a < b) || self.versions[0] == 0 {
            return Err("versions: list whole numbers from 1, ascending, each once".into());
        }
        if !self.versions.contains(&self.current) {
            return Err(format!("current: version {} is not among versions", self.current));
        }
        Ok(())
    }
}

/// A caller, identified by the hash of its key.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct CallerRecord {
    /// Unique name in the configuration, checked by [`check_name`].
    pub name: CallerName,
    /// SHA-256 of its key, in hexadecimal.
    pub key_sha256: String,
    /// Its weight in fair queueing when targets are full.
    pub share: u32,
    /// The highest priority that it may request.
    pub highest_priority: Priority,
}

impl CallerRecord {
    /// Validates the fields of the record; the error names the invalid field.
    pub fn check(&self) -> Result<(), String> {
        check_name("caller", &self.name)?;
        let hex = self.key_sha256.chars().all(|c| c.is_ascii_hexdigit());
        if !hex || self.key_sha256.len() != 64 {
            return Err("key_sha256: expected 64 hexadecimal digits".into());
        }
        if self.share == 0 || self.share > SHARE_LIMIT {
            return Err(format!("share: expected a whole number from 1 to {SHARE_LIMIT}"));
        }
        Ok(())
    }
}

/// A rule for calls of a service; the first rule that matches applies.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct RouteRecord {
    /// HTTP method, or `*` for all.
    pub method: String,
    /// Prefix of the path below the service; starts with `/`.
    pub path_prefix: String,
    /// Whether a call of this route may run twice without harm.
    pub idempotent: bool,
}

/// A plain service and its routes.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceRecord {
    /// Unique name in the configuration, checked by [`check_name`].
    pub name: ServiceName,
    /// Rules, in the order of matching.
    #[serde(default)]
    pub routes: Vec<RouteRecord>,
}

impl ServiceRecord {
    /// Validates the fields of the record; the error names the invalid field.
    pub fn check(&self) -> Result<(), String> {
        check_name("service", &self.name)?;
        for route in &self.routes {
            let known = route.method == "*" || route.method.chars().all(|c| c.is_ascii_uppercase());
            if !known || route.method.is_empty() {
                return Err(format!("method: `{}` is not an HTTP method or `*`", route.method));
            }
            if !route.path_prefix.starts_with('/') {
                return Err(format!("path_prefix: `{}` must start with `/`", route.path_prefix));
            }
        }
        Ok(())
    }

    /// Whether a call may be retried. Without a matching rule, HTTP's definition of idempotent methods
    /// applies, so that a missing rule does not cause a POST to run twice.
    pub fn is_idempotent(&self, method: &str, path: &str) -> bool {
        let matches = |route: &&RouteRecord| {
            (route.method == "*" || route.method == method) && path.starts_with(&route.path_prefix)
        };
        match self.routes.iter().find(matches) {
            Some(route) => route.idempotent,
            None => matches!(method, "GET" | "HEAD" | "OPTIONS" | "TRACE" | "PUT" | "DELETE"),
        }
    }
}

/// A set of weights and limits for one situation, such as normal operation, peaks or maintenance.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct PresetRecord {
    /// Unique name in the configuration, checked by [`check_name`].
    pub name: PresetName,
    /// Weight of the expected load stall in the cost of a target.
    #[serde(default = "default_weight")]
    pub stall_weight: f64,
    /// Weight of filling batches in the cost of a target.
    #[serde(default = "default_weight")]
    pub batch_weight: f64,
    /// Requests that may wait at one target, over all priorities.
    #[serde(default = "default_queue_limit")]
    pub queue_limit: u32,
    /// Time limit of a request that sets none, in milliseconds.
    #[serde(default = "default_deadline_ms")]
    pub deadline_ms: u64,
    /// Retries earned by each answered request, from 0 to 1.
    #[serde(default = "default_retry_ratio")]
    pub retry_ratio: f64,
    /// The lowest priority that is admitted.
    #[serde(default = "default_lowest_priority")]
    pub lowest_priority: Priority,
    /// Service-level objectives of each class of requests, for the report of burn rates.
    #[serde(default)]
    pub objectives: ServiceObjectives,
}

fn default_weight() -> f64 {
    1.0
}

fn default_queue_limit() -> u32 {
    64
}

fn default_deadline_ms() -> u64 {
    30_000
}

fn default_retry_ratio() -> f64 {
    0.1
}

fn default_lowest_priority() -> Priority {
    Priority::Lower
}

impl PresetRecord {
    /// A preset with default weights and limits.
    pub fn new(name: impl Into<PresetName>) -> Self {
        Self {
            name: name.into(),
            stall_weight: default_weight(),
            batch_weight: default_weight(),
            queue_limit: default_queue_limit(),
            deadline_ms: default_deadline_ms(),
            retry_ratio: default_retry_ratio(),
            lowest_priority: default_lowest_priority(),
            objectives: ServiceObjectives::default(),
        }
    }

    /// Validates the fields of the record; the error names the invalid field.
    pub fn check(&self) -> Result<(), String> {
        check_name("preset", &self.name)?;
        for (field, weight) in
            [("stall_weight", self.stall_weight), ("batch_weight", self.batch_weight)]
        {
            if !(0.0..=WEIGHT_LIMIT).contains(&weight) {
                return Err(format!("{field}: expected a number from 0 to {WEIGHT_LIMIT}"));
            }
        }
        if !(0.0..=1.0).contains(&self.retry_ratio) {
            return Err("retry_ratio: expected a number from 0 to 1".into());
        }
        if self.queue_limit == 0 {
            return Err("queue_limit: expected a whole number from 1".into());
        }
        if self.deadline_ms == 0 || self.deadline_ms > DEADLINE_LIMIT_MS {
            return Err(format!("deadline_ms: expected from 1 to {DEADLINE_LIMIT_MS}"));
        }
        self.objectives.check()
    }

    /// Time limit of a request that sets none.
    pub fn deadline(&self) -> Duration {
        Duration::from_millis(self.deadline_ms)
    }
}
