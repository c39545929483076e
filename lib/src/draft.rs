//! The services and routes of a plan while the changes of the intent are being applied.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use crate::change::Change;
use crate::config::Config;
use crate::configured_route::ConfiguredRoute;
use crate::domain_id::DomainId;
use crate::error::Error;
use crate::error::Result;
use crate::item_id::ItemId;
use crate::result_code::ResultCode;
use crate::route_checks;
use crate::route_checks::PlannedRoutes;
use crate::route_checks::PlannedServices;
use crate::route_id::RouteId;
use crate::route_rule::RouteRule;
use crate::service::Service;
use crate::service_id::ServiceId;
use crate::slots::Slots;
use crate::target::Target;
use crate::target::TargetState;
use crate::target_id::TargetId;
use crate::target_time::TargetTime;
use crate::version::Version;

/// The largest connection budget of a target. Port numbers allow no more connections between one VM
/// and one target address.
const MAX_CONNECTIONS: u32 = 65_535;

/// The services and routes that an intent changes, with the versions on which the plan is based.
#[derive(Clone, Debug, Default)]
pub(crate) struct Draft {
    pub(crate) bases: BTreeMap<ItemId, Version>,
    pub(crate) services: PlannedServices,
    pub(crate) routes: PlannedRoutes,
}

impl Draft {
    /// Applies one change on top of the earlier ones.
    pub(crate) fn apply(&mut self, config: &Config, change: &Change) -> Result<()> {
        let item = change.item();
        let base = config.version(&item);
        self.bases.insert(item, base);
        match change {
            Change::AddService {
                service: id,
                measuring,
                connections,
            } => add_service(self.service(config, id), id, *measuring, *connections)?,
            Change::RemoveService { service: id } => {
                let entry = self.service(config, id);
                existing(entry, id)?;
                *entry = None;
            }
            Change::SetMeasuring {
                service: id,
                measuring,
            } => {
                let service = existing(self.service(config, id), id)?;
                service.measuring = checked_measuring(*measuring)?;
            }
            Change::SetConnections {
                service: id,
                connections,
            } => {
                let service = existing(self.service(config, id), id)?;
                service.connections = checked_connections(*connections)?;
            }
            Change::AddTarget {
                service: id,
                target,
                addr,
                domain,
                slots,
            } => {
                let service = existing(self.service(config, id), id)?;
                let new = new_target(*addr, domain, *slots, base.next());
                add_target(service, id, target, new)?;
            }
            Change::RemoveTarget {
                service: id,
                target,
            } => {
                let service = existing(self.service(config, id), id)?;
                existing_target(service, id, target)?;
                service.targets.remove(target);
            }
            Change::MarkLeaving {
                service: id,
                target,
            } => {
                let service = existing(self.service(config, id), id)?;
                existing_target(service, id, target)?.state = TargetState::Leaving;
            }
            Change::SetSlots {
                service: id,
                target,
                slots,
            } => {
                let service = existing(self.service(config, id), id)?;
                existing_target(service, id, target)?.slots = *slots;
            }
            Change::SetRoute { route: id, rule } => set_route(self.route(config, id), id, rule)?,
            Change::RemoveRoute { route: id } => remove_route(self.route(config, id), id)?,
        }
        Ok(())
    }

    /// Returns the planned service, initially the configured one; `None` if it does not exist.
    fn service(&mut self, config: &Config, id: &ServiceId) -> &mut Option<Service> {
        let services = self.services.entry(id.clone());
        services.or_insert_with(|| config.service(id).cloned())
    }

    /// Returns the planned route, initially the configured one; `None` if it does not exist.
    fn route(&mut self, config: &Config, id: &RouteId) -> &mut Option<ConfiguredRoute> {
        let routes = self.routes.entry(id.clone());
        routes.or_insert_with(|| config.routes.get(id).cloned())
    }

    /// Assigns new versions to the changed items and checks the routes against the services.
    pub(crate) fn finish(mut self, config: &Config) -> Result<Self> {
        for (id, service) in &mut self.services {
            if let Some(service) = service {
                service.version = self.bases[&id.into()].next();
            }
        }
        for (id, route) in &mut self.routes {
            if let Some(route) = route {
                route.version = self.bases[&id.into()].next();
            }
        }
        route_checks::check_routes(config, &self.services, &self.routes)?;
        Ok(self)
    }
}

fn set_route(entry: &mut Option<ConfiguredRoute>, id: &RouteId, rule: &RouteRule) -> Result<()> {
    route_checks::check_rule(id, rule)?;
    *entry = Some(ConfiguredRoute {
        version: Version(0),
        rule: rule.clone(),
    });
    Ok(())
}

fn remove_route(entry: &mut Option<ConfiguredRoute>, id: &RouteId) -> Result<()> {
    let removed = entry.take().map(|_| ());
    removed.ok_or_else(|| {
        bad_intent(
            format!("there is no route `{id}`"),
            "look up its name with `carobshore status`",
        )
    })
}

fn bad_intent(message: String, help: impl Into<Box<str>>) -> Error {
    Error::new(ResultCode::BadIntent, message, help)
}

fn existing<'a>(entry: &'a mut Option<Service>, id: &ServiceId) -> Result<&'a mut Service> {
    entry.as_mut().ok_or_else(|| {
        bad_intent(
            format!("there is no service `{id}`"),
            "add it with `add-service` in the same intent, or look up its name with \
             `carobshore status`",
        )
    })
}

fn existing_target<'a>(
    service: &'a mut Service,
    id: &ServiceId,
    target: &TargetId,
) -> Result<&'a mut Target> {
    service.targets.get_mut(target).ok_or_else(|| {
        bad_intent(
            format!("service `{id}` has no target `{target}`"),
            "look up the target with `carobshore status`, or add it with `add-target`",
        )
    })
}

fn add_service(
    entry: &mut Option<Service>,
    id: &ServiceId,
    measuring: TargetTime,
    connections: u32,
) -> Result<()> {
    if entry.is_some() {
        return Err(bad_intent(
            format!("service `{id}` already exists"),
            "change it with `set-measuring`, `set-connections` or the target changes",
        ));
    }
    *entry = Some(Service {
        version: Version(0),
        targets: BTreeMap::new(),
        measuring: checked_measuring(measuring)?,
        connections: checked_connections(connections)?,
    });
    Ok(())
}

fn new_target(addr: SocketAddr, domain: &DomainId, slots: Slots, version: Version) -> Target {
    Target {
        addr,
        domain: domain.clone(),
        slots,
        generation: version.0,
        state: TargetState::Serving,
    }
}

fn add_target(service: &mut Service, id: &ServiceId, target: &TargetId, new: Target) -> Result<()> {
    if service.targets.get(target).is_some_and(Target::is_serving) {
        return Err(bad_intent(
            format!("service `{id}` already has the serving target `{target}`"),
            "change its slots with `set-slots`, or mark it as leaving before it is added again",
        ));
    }
    service.targets.insert(target.clone(), new);
    Ok(())
}

fn checked_measuring(measuring: TargetTime) -> Result<TargetTime> {
    if measuring <= TargetTime::MAX {
        return Ok(measuring);
    }
    Err(bad_intent(
        format!("the measuring budget {measuring} is too large"),
        format!("use at most {}", TargetTime::MAX),
    ))
}

fn checked_connections(connections: u32) -> Result<u32> {
    if (1..=MAX_CONNECTIONS).contains(&connections) {
        return Ok(connections);
    }
    Err(bad_intent(
        format!("{connections} is not a valid connection budget"),
        format!("use a whole number from 1 to {MAX_CONNECTIONS}"),
    ))
}
