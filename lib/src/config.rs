//! The confirmed configuration.

use std::collections::BTreeMap;

use serde::Deserialize;
use serde::Serialize;

use crate::service::Service;
use crate::service_id::ServiceId;
use crate::version::Version;

/// All services that are in force at one offset of the log.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Config {
    /// The services by their ids.
    pub services: BTreeMap<ServiceId, Service>,
}

impl Config {
    /// Returns the service with the given id.
    pub fn service(&self, id: &ServiceId) -> Option<&Service> {
        self.services.get(id)
    }

    /// Returns the version on which a plan for the service is based; 0 when there is no such
    /// service.
    pub fn version(&self, id: &ServiceId) -> Version {
        self.service(id)
            .map_or(Version(0), |service| service.version)
    }

    /// Returns the number of targets of all services.
    pub fn target_count(&self) -> usize {
        self.services
            .values()
            .map(|service| service.targets.len())
            .sum()
    }
}
