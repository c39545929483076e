//! The effect of an intent if it is confirmed.

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

/// Identifies the encoding of the plan digest. A change of the encoding needs a new name, so that
/// VMs of different releases reject each other's plans instead of misinterpreting them.
const DIGEST_FORMAT: &str = "carobshore plan 1";

/// The maximum number of changes in an intent, which bounds the size of its record.
pub const MAX_CHANGES: usize = 1_024;

/// The maximum length of an intent's note, in bytes.
pub const MAX_NOTE_BYTES: usize = 512;

/// The effect of an intent on the services and routes that it changes.
///
/// A plan is a pure function of the configuration and the intent, so the operators' client and
/// every VM compute the same one. The digest covers the changed items before and after the plan, so
/// that a confirm puts exactly the plan into force that its operator saw.
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
    /// Computes the plan, or returns why the intent cannot be applied to the configuration.
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

    /// Returns the digest that a confirm must contain.
    pub fn digest(&self) -> PlanDigest {
        self.digest
    }

    /// Returns the version of each changed service and route on which the plan is based.
    pub fn bases(&self) -> &BTreeMap<ItemId, Version> {
        &self.bases
    }

    /// Returns the changed services as they are before the plan, without added ones.
    pub fn before(&self) -> &BTreeMap<ServiceId, Service> {
        &self.before
    }

    /// Returns the changed services after the plan; `None` for a removed one.
    pub fn after(&self) -> &BTreeMap<ServiceId, Option<Service>> {
        &self.after
    }

    /// Returns the changed routes as they are before the plan, without added ones.
    pub fn routes_before(&self) -> &BTreeMap<RouteId, ConfiguredRoute> {
        &self.routes_before
    }

    /// Returns the changed routes after the plan; `None` for a removed one.
    pub fn routes_after(&self) -> &BTreeMap<RouteId, Option<ConfiguredRoute>> {
        &self.routes_after
    }

    /// Returns the report for the operator: the changes, the remaining capacity and the measuring
    /// cost, one line each.
    pub fn lines(&self) -> Vec<String> {
        let mut lines = plan_report::lines(self);
        lines.extend(route_report::lines(self));
        lines
    }

    /// Returns the warnings that the operator should consider before confirming.
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
        if self.services_differ() || self.routes_differ() {
            return Ok(());
        }
        Err(Error::new(
            ResultCode::BadIntent,
            "the intent changes nothing",
            "compare it with the present configuration in `carobshore status`; there is nothing to \
             confirm",
        ))
    }

    fn services_differ(&self) -> bool {
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

    fn routes_differ(&self) -> bool {
        self.routes_after.iter().any(|(id, after)| {
            let before = self.routes_before.get(id).map(|route| &route.rule);
            before != after.as_ref().map(|route| &route.rule)
        })
    }

    /// Computes the digest. Routes come last, and only if there are any, so that plans without
    /// routes have the same digests as in releases that do not support routes.
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

/// Checks the limits on an intent that do not depend on the configuration.
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
