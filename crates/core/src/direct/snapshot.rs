//! What a router knows of the platform, as it tells it to another router that cannot reach the
//! platform itself.

use super::{
    call::{AdapterId, AdapterRelease},
    config::{CallerLimits, ConfigNumber, RouteConfig, RouteRule, ServiceSpec},
    customers::{CustomerBook, CustomerFault, CustomerRule},
    membership::{InstanceId, ListChange, TargetEntry},
    sharing::SharedChange,
};
use crate::{
    crashes::{CrashReport, CrashReports},
    ids::{AdapterVersion, ServiceName, Timestamp},
};
use serde::{Deserialize, Serialize};
use std::{collections::HashMap, sync::Arc};

/// A configuration as sent between routers.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ConfigRecord {
    /// Its number.
    pub number: ConfigNumber,
    /// Its routes.
    pub routes: Vec<Arc<RouteRule>>,
    /// Its services.
    pub services: HashMap<ServiceName, Arc<ServiceSpec>>,
    /// Limits for callers.
    pub limits: CallerLimits,
    /// Its customers.
    pub customers: Vec<Arc<CustomerRule>>,
}

impl ConfigRecord {
    /// Copies a configuration.
    pub fn new(config: &RouteConfig) -> Self {
        Self {
            number: config.number,
            routes: config.routes().cloned().collect(),
            services: config.services.clone(),
            limits: config.limits.clone(),
            customers: config.customers.rules().to_vec(),
        }
    }

    /// Indexes the configuration; the error says why its customers cannot be told apart.
    pub fn into_config(self) -> Result<RouteConfig, CustomerFault> {
        let routes = self.routes.into_iter().map(Arc::unwrap_or_clone).collect();
        let customers = CustomerBook::new(self.customers)?;
        let config = RouteConfig::new(self.number, routes, self.services, self.limits);
        Ok(config.with_customers(customers))
    }
}

/// What one router tells another.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct PeerSnapshot {
    /// Whether the router that tells it follows the platform without interruption.
    pub is_current: bool,
    /// The configuration, if it is newer than the one that the asker has.
    pub config: Option<ConfigRecord>,
    /// The list of targets; `None` if it was never read.
    pub targets: Option<Vec<Arc<TargetEntry>>>,
    /// Newest versions of adapters.
    pub releases: Vec<(Arc<str>, Arc<str>, AdapterVersion)>,
    /// What routers tell of crashes.
    pub crashes: Vec<Arc<CrashReport>>,
}

/// What a router has read of the platform so far, whether directly or from a peer.
#[derive(Debug, Default)]
pub struct FollowedState {
    config: Option<Arc<RouteConfig>>,
    targets: HashMap<InstanceId, Arc<TargetEntry>>,
    has_targets: bool,
    releases: HashMap<AdapterId, AdapterVersion>,
    crashes: CrashReports,
}

impl FollowedState {
    /// Number of the configuration; 0 before there is one.
    pub fn config_number(&self) -> ConfigNumber {
        self.config.as_ref().map_or(0, |config| config.number)
    }

    /// Whether a configuration and a list of targets are known.
    pub fn is_complete(&self) -> bool {
        self.config.is_some() && self.has_targets
    }

    /// Takes a configuration unless it is older.
    pub fn take_config(&mut self, config: &Arc<RouteConfig>) {
        if config.number >= self.config_number() {
            self.config = Some(Arc::clone(config));
        }
    }

    /// Takes a whole list of targets.
    pub fn take_list(&mut self, entries: &[Arc<TargetEntry>]) {
        let entries = entries.iter().map(|entry| (Arc::clone(&entry.life.id), Arc::clone(entry)));
        self.targets = entries.collect();
        self.has_targets = true;
    }

    /// Takes a change of the list.
    pub fn take_change(&mut self, change: &ListChange) {
        match change {
            ListChange::Put(entry) => {
                self.targets.insert(Arc::clone(&entry.life.id), Arc::clone(entry));
            }
            ListChange::Removed(id) => {
                self.targets.remove(id);
            }
        }
    }

    /// Takes a version of an adapter unless it is older.
    pub fn take_release(&mut self, release: &AdapterRelease) {
        let known = self.releases.entry(release.adapter.clone()).or_insert(release.version);
        *known = release.version.max(*known);
    }

    /// Takes a report of crashes unless it is older.
    pub fn take_crashes(&mut self, report: &Arc<CrashReport>, now: Timestamp) {
        self.crashes.take(report, now);
    }

    /// Drops reports of crashes whose routers are gone, and returns them.
    pub fn expire_crashes(&mut self, now: Timestamp) -> Vec<Arc<CrashReport>> {
        self.crashes.expire(now)
    }

    /// All reports of crashes, as changes.
    pub fn whole_crashes(&self) -> Vec<SharedChange> {
        self.crashes.iter().cloned().map(SharedChange::Crashes).collect()
    }

    /// The configuration, as a change.
    pub fn whole_config(&self) -> Vec<SharedChange> {
        let config = self.config.iter();
        config.map(|config| SharedChange::Config(Arc::new(ConfigRecord::new(config)))).collect()
    }

    /// All targets, as changes.
    pub fn whole_targets(&self) -> Vec<SharedChange> {
        let entries = self.targets.values().cloned();
        entries.map(|entry| SharedChange::Target(ListChange::Put(entry))).collect()
    }

    /// All newest versions, as changes.
    pub fn whole_releases(&self) -> Vec<SharedChange> {
        let releases = self.releases.iter().map(|(adapter, version)| AdapterRelease {
            adapter: adapter.clone(),
            version: *version,
        });
        releases.map(SharedChange::Release).collect()
    }

    /// What a peer is told that has the configuration `number`.
    pub fn snapshot(&self, number: ConfigNumber, is_current: bool) -> PeerSnapshot {
        let newer = self.config.as_ref().filter(|config| config.number > number);
        let releases = self.releases.iter().map(|(adapter, version)| {
            (Arc::clone(&adapter.base), Arc::clone(&adapter.name), *version)
        });
        PeerSnapshot {
            is_current,
            config: newer.map(|config| ConfigRecord::new(config)),
            targets: self.has_targets.then(|| self.targets.values().cloned().collect()),
            releases: releases.collect(),
            crashes: self.crashes.iter().cloned().collect(),
        }
    }
}
