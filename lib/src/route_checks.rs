//! Validation of the routes of a plan.

use std::collections::BTreeMap;
use std::ops::RangeInclusive;
use std::time::Duration;

use crate::config::Config;
use crate::configured_route::ConfiguredRoute;
use crate::error::Error;
use crate::error::Result;
use crate::exchange::MAX_ATTEMPTS;
use crate::result_code::ResultCode;
use crate::route_id::RouteId;
use crate::route_rule::RouteRule;
use crate::service::Service;
use crate::service_id::ServiceId;

/// The allowed timeouts of requests.
const TIMEOUTS: RangeInclusive<Duration> = Duration::from_millis(1)..=Duration::from_secs(600);
/// The allowed numbers of targets to which one request may be sent.
const ATTEMPTS: RangeInclusive<u32> = 1..=MAX_ATTEMPTS;
/// The maximum weight of a service; it keeps sums of weights small.
const MAX_WEIGHT: u32 = 1_000_000;
/// The maximum number of services of one route.
const MAX_PARTS: usize = 32;

/// The services that a plan changes; `None` for a removed one.
pub(crate) type PlannedServices = BTreeMap<ServiceId, Option<Service>>;

/// The routes that a plan changes; `None` for a removed one.
pub(crate) type PlannedRoutes = BTreeMap<RouteId, Option<ConfiguredRoute>>;

/// Checks a route by itself.
pub(crate) fn check_rule(id: &RouteId, rule: &RouteRule) -> Result<()> {
    check_matcher(id, rule)?;
    check_limits(id, rule)?;
    check_parts(id, rule)
}

/// Checks that no two routes of the planned configuration have the same host and prefix, and that
/// their services exist.
pub(crate) fn check_routes(
    config: &Config,
    services: &PlannedServices,
    routes: &PlannedRoutes,
) -> Result<()> {
    let mut matchers = BTreeMap::new();
    for (id, rule) in routes_after(config, routes) {
        let matcher = (rule.host.to_ascii_lowercase(), &*rule.prefix);
        if let Some(other) = matchers.insert(matcher, id) {
            return Err(bad_intent(
                format!(
                    "the routes `{other}` and `{id}` both match {}{}",
                    rule.host, rule.prefix
                ),
                "remove one of them in the same intent, or give it another host or prefix",
            ));
        }
        for part in &rule.parts {
            if !exists(config, services, &part.service) {
                return Err(bad_intent(
                    format!(
                        "route `{id}` sends requests to `{}`, which does not exist after the plan",
                        part.service
                    ),
                    "add the service, or change or remove the route in the same intent",
                ));
            }
        }
    }
    Ok(())
}

/// Returns the routes of the planned configuration.
fn routes_after<'a>(
    config: &'a Config,
    planned: &'a PlannedRoutes,
) -> impl Iterator<Item = (&'a RouteId, &'a RouteRule)> {
    let unchanged = config
        .routes
        .iter()
        .filter(|(id, _)| !planned.contains_key(*id));
    let changed = planned
        .iter()
        .filter_map(|(id, route)| Some((id, route.as_ref()?)));
    unchanged
        .chain(changed)
        .map(|(id, route)| (id, &route.rule))
}

fn exists(config: &Config, planned: &PlannedServices, id: &ServiceId) -> bool {
    match planned.get(id) {
        Some(service) => service.is_some(),
        None => config.service(id).is_some(),
    }
}

fn check_matcher(id: &RouteId, rule: &RouteRule) -> Result<()> {
    let printable = |text: &str| text.bytes().all(|byte| byte.is_ascii_graphic());
    if rule.host.is_empty() || rule.host.contains('/') || !printable(&rule.host) {
        return Err(bad_intent(
            format!("route `{id}` has the host `{}`", rule.host.escape_debug()),
            "give the host of the requests, such as `desk.example`, with a port if callers send one",
        ));
    }
    let has_slashes = rule.prefix.starts_with('/') && rule.prefix.ends_with('/');
    if !has_slashes || rule.prefix.contains(['?', '#']) || !printable(&rule.prefix) {
        return Err(bad_intent(
            format!(
                "route `{id}` has the prefix `{}`",
                rule.prefix.escape_debug()
            ),
            "use the start of a path that begins and ends with a slash, such as `/status/`",
        ));
    }
    Ok(())
}

fn check_limits(id: &RouteId, rule: &RouteRule) -> Result<()> {
    if !TIMEOUTS.contains(&rule.timeout) {
        return Err(bad_intent(
            format!("route `{id}` has a timeout of {:?}", rule.timeout),
            format!("use {:?} to {:?}", TIMEOUTS.start(), TIMEOUTS.end()),
        ));
    }
    if !ATTEMPTS.contains(&rule.attempts) {
        return Err(bad_intent(
            format!("route `{id}` allows {} attempts", rule.attempts),
            format!("use {} to {}", ATTEMPTS.start(), ATTEMPTS.end()),
        ));
    }
    Ok(())
}

fn check_parts(id: &RouteId, rule: &RouteRule) -> Result<()> {
    let count = rule.parts.len();
    if !(1..=MAX_PARTS).contains(&count) {
        return Err(bad_intent(
            format!("route `{id}` has {count} services"),
            format!("give 1 to {MAX_PARTS} services"),
        ));
    }
    for (at, part) in rule.parts.iter().enumerate() {
        if rule.parts[..at]
            .iter()
            .any(|other| other.service == part.service)
        {
            return Err(bad_intent(
                format!("route `{id}` names the service `{}` twice", part.service),
                "give each service once, with its whole weight",
            ));
        }
        if !(1..=MAX_WEIGHT).contains(&part.weight) {
            return Err(bad_intent(
                format!(
                    "route `{id}` gives `{}` the weight {}",
                    part.service, part.weight
                ),
                format!("use a whole number from 1 to {MAX_WEIGHT}, or leave the service out"),
            ));
        }
    }
    Ok(())
}

fn bad_intent(message: String, help: impl Into<Box<str>>) -> Error {
    Error::new(ResultCode::BadIntent, message, help)
}
