//! Admission of requests by the keys of organisations.

use std::sync::Arc;

use carobshore_http::fields::Fields;
use carobshore_lib::access::access_table::UnknownKey;
use carobshore_lib::access::organisation::Organisation;
use carobshore_lib::access::organisation_id::OrganisationId;
use carobshore_lib::access::presented_key::PresentedKey;
use carobshore_lib::prelude::Version;
use carobshore_lib::route::Route;
use carobshore_lib::route_table::RouteTable;
use carobshore_platform::header_fields;

/// The right to send a request, by one version of the configuration.
#[derive(Clone, Debug)]
pub struct Grant {
    /// What the request presented.
    key: PresentedKey,
    /// Whether its route needs no key.
    public: bool,
    /// The organisation that sends it, if any.
    pub organisation: Option<Arc<Organisation>>,
    /// The version of the configuration.
    version: Version,
}

impl Grant {
    /// Authorises a request. Returns nothing if the configuration names no organisations, so that
    /// no request needs a key.
    pub fn authorise(
        routes: &RouteTable,
        route: &Route,
        fields: &Fields,
    ) -> Result<Option<Self>, UnknownKey> {
        let config = routes.config();
        let Some(access) = &config.access else {
            return Ok(None);
        };
        let key = header_fields::presented_key(fields);
        let public = route.access.public;
        Ok(Some(Self {
            key,
            public,
            organisation: access.authorise(key, public)?,
            version: config.version,
        }))
    }

    /// Returns whether the request may still be sent. Its key may have been removed while the
    /// request waited, or have gone to another organisation.
    pub fn holds(&self, routes: &RouteTable) -> bool {
        let config = routes.config();
        let Some(access) = config
            .access
            .as_ref()
            .filter(|_| config.version != self.version)
        else {
            return true;
        };
        let holder = access.authorise(self.key, self.public);
        holder.is_ok_and(|holder| holder.map(|holder| holder.id.clone()) == self.id().cloned())
    }

    /// Returns the organisation that sends the request, if any.
    pub fn id(&self) -> Option<&OrganisationId> {
        self.organisation
            .as_ref()
            .map(|organisation| &organisation.id)
    }

    /// Returns the priority of the request on a route; the organisation's own takes precedence.
    pub fn priority(&self, route: &Route) -> u32 {
        let own = self
            .organisation
            .as_ref()
            .and_then(|organisation| organisation.priority);
        own.unwrap_or(route.rule.priority)
    }
}
