//! The serialized form of configurations between routers.

use super::{CallerLimits, ConfigNumber, RouteConfig, RouteRule, ServiceSpec};
use crate::{
    direct::customers::{CustomerFault, CustomerRule, CustomerTable},
    ids::ServiceName,
};
use serde::{Deserialize, Serialize};
use std::{collections::HashMap, sync::Arc};

/// A configuration as sent between routers.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ConfigRecord {
    /// Number of the configuration's version.
    pub number: ConfigNumber,
    /// Routes, in no fixed order.
    pub routes: Vec<Arc<RouteRule>>,
    /// Services by name.
    pub services: HashMap<ServiceName, Arc<ServiceSpec>>,
    /// Limits for callers.
    pub limits: CallerLimits,
    /// Rules of the customers.
    pub customers: Vec<Arc<CustomerRule>>,
}

impl ConfigRecord {
    /// Converts a configuration to a record.
    pub fn new(config: &RouteConfig) -> Self {
        Self {
            number: config.number,
            routes: config.routes().cloned().collect(),
            services: config.services.clone(),
            limits: config.limits.clone(),
            customers: config.customers.rules().to_vec(),
        }
    }

    /// Indexes the configuration; fails if two customers share a name, the hash of a name, or a key.
    pub fn into_config(self) -> Result<RouteConfig, CustomerFault> {
        let routes = self.routes.into_iter().map(Arc::unwrap_or_clone).collect();
        let customers = CustomerTable::new(self.customers)?;
        let config = RouteConfig::new(self.number, routes, self.services, self.limits);
        Ok(config.with_customers(customers))
    }
}
