//! Rules that find what a VM accepts although it cannot be meant.

use std::collections::BTreeSet;
use std::collections::HashMap;
use std::time::Duration;

use crate::access::access_table::AccessTable;
use crate::access::organisation::Organisation;
use crate::byte_size::ByteSize;
use crate::config_check::finding::Finding;
use crate::config_check::finding::Severity;
use crate::route::Route;
use crate::routing_config::RoutingConfig;
use crate::service_id::ServiceId;

/// The longest time in which a burst may refill. Quotas are meant for seconds: a burst that takes
/// longer is hardly ever available in full.
const MAX_REFILL: Duration = Duration::from_secs(60);
/// Bodies may use the memory of a VM divided by this.
pub const BODY_MEMORY_DIVISOR: u64 = 4;

/// Returns what is wrong with a configuration that a VM accepts, ordered by severity and place.
/// `memory` is that of the smallest VM, if it is known.
pub fn find(config: &RoutingConfig, memory: Option<ByteSize>) -> Vec<Finding> {
    let mut findings = hidden_routes(&config.routes);
    let access = config.access.as_ref();
    for route in &config.routes {
        findings.extend(unused_parts(route));
        findings.extend(impossible_times(route));
        findings.extend(unknown_services(route, config));
        if route.access.public && access.is_none() {
            let text = "is public, but there are no organisations, so that no route needs a key";
            findings.push(finding(Severity::NoEffect, &place(route), text));
        }
    }
    findings.extend(unused_services(config));
    if let Some(access) = access {
        for organisation in access.iter() {
            findings.extend(organisation_findings(access, organisation, &config.routes));
        }
    }
    findings.extend(body_limit(config, memory));
    findings.sort();
    findings
}

/// Finds routes whose requests all go to another one. The first of two routes with the same host and
/// prefix takes all requests.
fn hidden_routes(routes: &[Route]) -> Vec<Finding> {
    let mut first: HashMap<(String, &str), &Route> = HashMap::new();
    let mut findings = Vec::new();
    let mut names = BTreeSet::new();
    for route in routes {
        let key = (route.rule.host.to_ascii_lowercase(), &*route.rule.prefix);
        match first.get(&key) {
            Some(other) => {
                let text = format!(
                    "never matches: route {} has the same host and prefix",
                    other.name
                );
                findings.push(finding(Severity::NoEffect, &place(route), &text));
            }
            None => {
                first.insert(key, route);
            }
        }
        if !names.insert(&route.name) {
            let text =
                "has the name of another route, so that the two share the state of their splits";
            findings.push(finding(Severity::Contradiction, &place(route), text));
        }
    }
    findings
}

fn unused_parts(route: &Route) -> Vec<Finding> {
    let unused = route.rule.parts.iter().filter(|part| part.weight == 0);
    unused
        .map(|part| {
            let text = format!(
                "service {} has the weight 0 and gets no request",
                part.service
            );
            finding(Severity::NoEffect, &place(route), &text)
        })
        .collect()
}

fn impossible_times(route: &Route) -> Option<Finding> {
    let rule = &route.rule;
    let text = if rule.latency > rule.timeout {
        format!(
            "the target latency of {:?} is longer than the timeout of {:?}",
            rule.latency, rule.timeout
        )
    } else if rule.latency * rule.attempts > rule.timeout && rule.attempts > 1 {
        format!(
            "{} attempts of {:?} each do not fit into the timeout of {:?}",
            rule.attempts, rule.latency, rule.timeout
        )
    } else {
        return None;
    };
    Some(finding(Severity::Contradiction, &place(route), &text))
}

fn unknown_services(route: &Route, config: &RoutingConfig) -> Vec<Finding> {
    let parts = route.rule.parts.iter();
    let unknown = parts.filter(|part| !config.services.contains_key(&part.service));
    unknown
        .map(|part| {
            let text = format!("service {} is not in the configuration", part.service);
            finding(Severity::Contradiction, &place(route), &text)
        })
        .collect()
}

fn unused_services(config: &RoutingConfig) -> Vec<Finding> {
    let parts = config.routes.iter().flat_map(|route| &route.rule.parts);
    let used: BTreeSet<&ServiceId> = parts.map(|part| &part.service).collect();
    let unused = config.services.keys().filter(|id| !used.contains(id));
    unused
        .map(|id| {
            finding(
                Severity::NoEffect,
                &format!("service {id}"),
                "no route leads to it",
            )
        })
        .collect()
}

fn organisation_findings(
    access: &AccessTable,
    organisation: &Organisation,
    routes: &[Route],
) -> Vec<Finding> {
    let place = format!("organisation {}", organisation.id);
    let mut findings = Vec::new();
    if access.keys_of(&organisation.id).is_empty() {
        let text = "has no key, so that it can send nothing";
        findings.push(finding(Severity::NoEffect, &place, text));
    }
    if let Some(quota) = organisation.quota {
        let (rate, burst) = (quota.rate.per_second(), f64::from(quota.burst.get()));
        if burst / rate > MAX_REFILL.as_secs_f64() {
            let seconds = burst / rate;
            let text = format!(
                "the burst of {burst} takes {seconds:.0} s to refill at {}",
                quota.rate
            );
            findings.push(finding(Severity::Contradiction, &place, &text));
        }
        if rate < 1.0 && burst < 1.0 {
            let text = format!(
                "a burst of {burst} at {} holds no whole request",
                quota.rate
            );
            findings.push(finding(Severity::Contradiction, &place, &text));
        }
    }
    let is_usable = |route: &Route| route.access.regions.meets(&organisation.regions);
    if !routes.is_empty() && !routes.iter().any(is_usable) {
        let text = "its regions are those of no route";
        findings.push(finding(Severity::NoEffect, &place, text));
    }
    findings
}

fn body_limit(config: &RoutingConfig, memory: Option<ByteSize>) -> Option<Finding> {
    let most = memory?.0 / BODY_MEMORY_DIVISOR;
    let body = config.limits.body.0;
    let text = format!("bodies of {body} bytes are allowed, but a VM has room for {most}");
    (body > most).then(|| finding(Severity::Contradiction, "limits", &text))
}

fn place(route: &Route) -> String {
    format!("route {}", route.name)
}

fn finding(severity: Severity, place: &str, text: &str) -> Finding {
    Finding {
        severity,
        place: place.into(),
        text: text.into(),
    }
}
