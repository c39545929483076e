//! The report on the routes of a plan for the operator: changes and warnings.

use crate::call_kind::CallKind;
use crate::configured_route::ConfiguredRoute;
use crate::plan::Plan;
use crate::route_id::RouteId;
use crate::route_rule::RouteRule;

/// Returns the changes of routes, one line each.
pub(crate) fn lines(plan: &Plan) -> Vec<String> {
    let mut lines = Vec::new();
    for (id, after) in plan.routes_after() {
        match (plan.routes_before().get(id), after) {
            (None, Some(after)) => push_added(&mut lines, id, &after.rule),
            (Some(before), Some(after)) => push_changed(&mut lines, id, before, after),
            (Some(before), None) => {
                lines.push(format!("- route {id} for {}", matcher(&before.rule)));
            }
            (None, None) => {}
        }
    }
    lines
}

/// Returns the warnings about routes.
pub(crate) fn warnings(plan: &Plan) -> Vec<String> {
    let mut warnings = Vec::new();
    for (id, after) in plan.routes_after() {
        let before = plan.routes_before().get(id);
        match after {
            Some(after) => {
                kind_warning(&mut warnings, id, before, after);
                no_target_warnings(&mut warnings, plan, id, after);
            }
            None if before.is_some() => warnings.push(format!(
                "without route {id}, its requests go to the service that they name, or are refused"
            )),
            None => {}
        }
    }
    warnings
}

fn push_added(lines: &mut Vec<String>, id: &RouteId, rule: &RouteRule) {
    lines.push(format!("+ route {id} for {}", matcher(rule)));
    for (name, value) in values(rule) {
        lines.push(format!("  + {name} {value}"));
    }
}

fn push_changed(
    lines: &mut Vec<String>,
    id: &RouteId,
    before: &ConfiguredRoute,
    after: &ConfiguredRoute,
) {
    lines.push(format!(
        "~ route {id}, version {} -> {}",
        before.version, after.version
    ));
    let (old, new) = (matcher(&before.rule), matcher(&after.rule));
    if old != new {
        lines.push(format!("  ~ for {old} -> {new}"));
    }
    for ((name, old), (_, new)) in values(&before.rule).into_iter().zip(values(&after.rule)) {
        if old != new {
            lines.push(format!("  ~ {name} {old} -> {new}"));
        }
    }
}

fn matcher(rule: &RouteRule) -> String {
    format!("{}{}", rule.host, rule.prefix)
}

fn values(rule: &RouteRule) -> [(&'static str, String); 4] {
    [
        ("services", rule.services()),
        ("kind", rule.kind.as_str().to_owned()),
        ("timeout", format!("{:?}", rule.timeout)),
        ("attempts", rule.attempts.to_string()),
    ]
}

fn kind_warning(
    warnings: &mut Vec<String>,
    id: &RouteId,
    before: Option<&ConfiguredRoute>,
    after: &ConfiguredRoute,
) {
    let ran_at_most_once = before.is_some_and(|before| !before.rule.kind.is_repeatable());
    if ran_at_most_once && after.rule.kind == CallKind::Safe {
        warnings.push(format!(
            "requests of route {id} run at most once now; after the plan they may run more than once"
        ));
    }
}

fn no_target_warnings(
    warnings: &mut Vec<String>,
    plan: &Plan,
    id: &RouteId,
    after: &ConfiguredRoute,
) {
    let total: u32 = after.rule.parts.iter().map(|part| part.weight).sum();
    for part in &after.rule.parts {
        let planned = plan.after().get(&part.service).and_then(Option::as_ref);
        if planned.is_some_and(|service| service.serving_slots() == 0) {
            warnings.push(format!(
                "route {id} sends {} of {total} requests to {}, which has no serving target",
                part.weight, part.service
            ));
        }
    }
}
