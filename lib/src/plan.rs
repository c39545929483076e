//! What an intent changes when it is confirmed.

use std::collections::BTreeMap;

use crate::canonical::Canonical;
use crate::config::Config;
use crate::configured_route::ConfiguredRoute;
use crate::draft::Draft;
use crate::error::Error;
use crate::error::Result;
use crate::intent::Intent;
use crate::item_id::ItemId;
use crate::plan_digest::PlanDigest;
use crate::plan_report;
use crate::result_code::ResultCode;
use crate::route_checks::PlannedRoutes;
use crate::route_checks::PlannedServices;
use crate::route_id::RouteId;
use crate::route_report;
use crate::service::Service;
use crate::service_id::ServiceId;
use crate::version::Version;

/// Names the encoding of the plan digest. A change of the encoding needs a new name, so that VMs of
/// different releases reject each other's plans rather than misread them.
const DIGEST_FORMAT: &str = "carobshore plan 1";

/// The most changes that one intent may have; it bounds the size of a record.
pub const MAX_CHANGES: usize = 1_024;

/// The longest note of an intent, in bytes.
pub const MAX_NOTE_BYTES: usize = 512;

/// The effect of an intent on the services and routes that it touches.
///
/// A plan is a pure function of the configuration and the intent: the operators' client and every
/// VM compute the same one. The digest covers what is touched, before and after, so that a confirm puts
/// exactly that into force which its operator saw.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Plan {
    bases: BTreeMap<ItemId, Version>,
    before: BTreeMap<ServiceId, Service>,
    after: PlannedServices,
    routes_before: BTreeMap<RouteId, ConfiguredRoute>,
    routes_after: PlannedRoutes,
    digest: PlanDigest,
}

impl Plan {
    /// Computes the plan, or says why the intent does not fit the configuration.
    pub fn new(config: &Config, intent: &Intent) -> Result<Self> {
        check_size(intent)?;
        let mut draft = Draft::default();
        for (index, change) in intent.changes.iter().enumerate() {
            draft.apply(config, change).map_err(|error| {
                let message = format!("change {}: {}", index + 1, error.message);
                Error::new(error.code, message, error.help)
            })?;
        }
        let Draft {
            bases,
            services: after,
            routes: routes_after,
        } = draft.finish(config)?;
        let before = after.keys();
        let before = before.filter_map(|id| Some((id.clone(), config.service(id)?.clone())));
        let routes_before = routes_after.keys();
        let routes_before =
            routes_before.filter_map(|id| Some((id.clone(), config.routes.get(id)?.clone())));
        let mut plan = Self {
            before: before.collect(),
            routes_before: routes_before.collect(),
            bases,
            after,
            routes_after,
            // Computed below, because it covers the other fields.
            digest: PlanDigest([0; 32]),
        };
        plan.check_effect()?;
        plan.digest = plan.compute_digest(intent);
        Ok(plan)
    }

    /// Returns the digest that a confirm has to name.
    pub fn digest(&self) -> PlanDigest {
        self.digest
    }

    /// Returns the version of each touched service and route on which the plan is based.
    pub fn bases(&self) -> &BTreeMap<ItemId, Version> {
        &self.bases
    }

    /// Returns the touched services that exist before the plan.
    pub fn before(&self) -> &BTreeMap<ServiceId, Service> {
        &self.before
    }

    /// Returns the touched services after the plan; `None` for a removed one.
    pub fn after(&self) -> &BTreeMap<ServiceId, Option<Service>> {
        &self.after
    }

    /// Returns the touched routes that exist before the plan.
    pub fn routes_before(&self) -> &BTreeMap<RouteId, ConfiguredRoute> {
        &self.routes_before
    }

    /// Returns the touched routes after the plan; `None` for a removed one.
    pub fn routes_after(&self) -> &BTreeMap<RouteId, Option<ConfiguredRoute>> {
        &self.routes_after
    }

    /// Returns what changes, the capacity left and the measuring cost, a line each.
    pub fn lines(&self) -> Vec<String> {
        let mut lines = plan_report::lines(self);
        lines.extend(route_report::lines(self));
        lines
    }

    /// Returns what the operator should consider before confirming.
    pub fn warnings(&self) -> Vec<String> {
        let mut warnings = plan_report::warnings(self);
        warnings.extend(route_report::warnings(self));
        warnings
    }

    /// Returns the services and routes after the plan, consuming it.
    pub(crate) fn into_after(self) -> (PlannedServices, PlannedRoutes) {
        (self.after, self.routes_after)
    }

    fn check_effect(&self) -> Result<()> {
        if self.changes_services() || self.changes_routes() {
            return Ok(());
        }
        Err(Error::new(
            ResultCode::BadIntent,
            "the intent changes nothing",
            "compare it with the present configuration in `carobshore status`; there is nothing to \
             confirm",
        ))
    }

    fn changes_services(&self) -> bool {
        self.after.iter().any(|(id, after)| {
            let before = self.before.get(id);
            match (before, after) {
                (Some(before), Some(after)) => {
                    before.targets != after.targets
                        || before.measuring != after.measuring
                        || before.connections != after.connections
                }
                (before, after) => before.is_some() || after.is_some(),
            }
        })
    }

    fn changes_routes(&self) -> bool {
        self.routes_after.iter().any(|(id, after)| {
            let before = self.routes_before.get(id).map(|route| &route.rule);
            before != after.as_ref().map(|route| &route.rule)
        })
    }

    /// Returns the digest. Routes stand at the end and only if there are any, so that the plans of
    /// services have the digests that releases without routes compute.
    fn compute_digest(&self, intent: &Intent) -> PlanDigest {
        let mut canonical = Canonical::new(DIGEST_FORMAT);
        canonical.number(self.after.len() as u64);
        for (id, after) in &self.after {
            canonical.text(id.as_str());
            canonical.number(self.bases[&id.into()].0);
            canonical.service(self.before.get(id));
            canonical.service(after.as_ref());
        }
        canonical.number(intent.changes.len() as u64);
        for change in &intent.changes {
            canonical.change(change);
        }
        for (id, after) in &self.routes_after {
            canonical.text(id.as_str());
            canonical.number(self.bases[&id.into()].0);
            canonical.route(self.routes_before.get(id));
            canonical.route(after.as_ref());
        }
        canonical.finish()
    }
}

/// Checks the bounds on an intent that do not depend on the configuration.
pub(crate) fn check_size(intent: &Intent) -> Result<()> {
    let count = intent.changes.len();
    if count == 0 || count > MAX_CHANGES {
        return Err(Error::new(
            ResultCode::BadIntent,
            format!("the intent has {count} changes"),
            format!("give 1 to {MAX_CHANGES} changes; split larger ones into several intents"),
        ));
    }
    if intent.note.len() > MAX_NOTE_BYTES {
        return Err(Error::new(
            ResultCode::BadIntent,
            format!("the intent's note has {} bytes", intent.note.len()),
            format!("use at most {MAX_NOTE_BYTES} bytes"),
        ));
    }
    Ok(())
}
