//! The report on a plan for the operator: changes, cost and warnings.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use crate::domain_id::DomainId;
use crate::plan::Plan;
use crate::service::Service;
use crate::service_id::ServiceId;
use crate::target::Target;
use crate::target_id::TargetId;

/// The share of the serving slots that must remain if a failure domain is lost, in percent; below
/// it there is a warning. With three equal domains 66% remain, and with 16 equal targets spread
/// over three domains 62%.
const LEFT_AFTER_LOSS_PERCENT: u64 = 50;

/// The share of the serving slots that a plan may remove at once without a warning, in percent.
const CAPACITY_DROP_PERCENT: u64 = 33;

/// The share of the slots' time that the measuring budget may take without a warning, in percent.
const MEASURING_PERCENT: u64 = 5;

const MICROS_PER_SECOND: u64 = 1_000_000;

/// The serving slots of a service, and those that remain if a failure domain is lost.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Capacity {
    /// The number of targets that may get new requests.
    pub targets: usize,
    /// The total slots of these targets.
    pub slots: u64,
    /// The failure domain with the most slots.
    pub largest: Option<DomainId>,
    /// The slots that remain if the largest failure domain is lost.
    pub after_loss: u64,
    /// The number of failure domains with serving targets.
    pub domains: usize,
}

impl Capacity {
    /// Computes the capacity of a service.
    pub fn of(service: &Service) -> Self {
        let mut domains = BTreeMap::<&DomainId, u64>::new();
        for (_, target) in service.serving() {
            *domains.entry(&target.domain).or_default() += u64::from(target.slots.get());
        }
        let slots = service.serving_slots();
        // Of equally large domains the first is chosen, so that every client prints the same.
        let largest = domains.iter().rev().max_by_key(|(_, slots)| **slots);
        Self {
            targets: service.serving().count(),
            slots,
            after_loss: slots - largest.map_or(0, |(_, slots)| *slots),
            largest: largest.map(|(domain, _)| (*domain).clone()),
            domains: domains.len(),
        }
    }
}

/// Returns the changes, the remaining capacity and the measuring cost of services, one line each.
pub(crate) fn lines(plan: &Plan) -> Vec<String> {
    let mut lines = Vec::new();
    for (id, after) in plan.after() {
        let before = plan.before().get(id);
        match (before, after) {
            (Some(before), Some(after)) => push_changed_service(&mut lines, id, before, after),
            (None, Some(after)) => {
                lines.push(format!("+ service {id}"));
                push_details(&mut lines, None, after);
            }
            (Some(before), None) => lines.push(format!(
                "- service {id} with {} targets and {} serving slots",
                before.targets.len(),
                before.serving_slots()
            )),
            (None, None) => {}
        }
    }
    lines
}

fn push_changed_service(
    lines: &mut Vec<String>,
    id: &ServiceId,
    before: &Service,
    after: &Service,
) {
    lines.push(format!(
        "~ service {id}, version {} -> {}",
        before.version, after.version
    ));
    push_details(lines, Some(before), after);
}

fn push_details(lines: &mut Vec<String>, before: Option<&Service>, after: &Service) {
    match before {
        Some(before) if before.measuring != after.measuring => lines.push(format!(
            "  ~ measuring budget {} -> {}",
            before.measuring, after.measuring
        )),
        Some(_) => {}
        None => lines.push(format!("  + measuring budget {}", after.measuring)),
    }
    match before {
        Some(before) if before.connections != after.connections => lines.push(format!(
            "  ~ connection budget {} -> {} per target",
            before.connections, after.connections
        )),
        Some(_) => {}
        None => lines.push(format!(
            "  + connection budget {} per target",
            after.connections
        )),
    }
    push_targets(lines, before, after);
    lines.push(capacity_line(before, after));
    lines.push(measuring_line(after));
}

fn push_targets(lines: &mut Vec<String>, before: Option<&Service>, after: &Service) {
    let old = before.map(|service| &service.targets);
    let old_target = |id: &TargetId| old.and_then(|targets| targets.get(id));
    let ids: BTreeSet<_> = old
        .into_iter()
        .flat_map(|targets| targets.keys())
        .chain(after.targets.keys())
        .collect();
    for id in ids {
        match (old_target(id), after.targets.get(id)) {
            (None, Some(new)) => lines.push(format!(
                "  + target {id} at {} in {}, {} slots",
                new.addr, new.domain, new.slots
            )),
            (Some(old), None) => lines.push(format!(
                "  - target {id} at {} in {}, {} slots",
                old.addr, old.domain, old.slots
            )),
            (Some(old), Some(new)) if old != new => lines.push(changed_target(id, old, new)),
            _ => {}
        }
    }
}

fn changed_target(id: &TargetId, old: &Target, new: &Target) -> String {
    if old.generation != new.generation {
        return format!(
            "  ~ target {id} serves again at {} in {}, {} slots",
            new.addr, new.domain, new.slots
        );
    }
    let mut parts = Vec::new();
    if old.slots != new.slots {
        parts.push(format!("slots {} -> {}", old.slots, new.slots));
    }
    if old.state != new.state {
        parts.push("is leaving and gets no new work".to_owned());
    }
    format!("  ~ target {id} {}", parts.join(", "))
}

fn capacity_line(before: Option<&Service>, after: &Service) -> String {
    let new = Capacity::of(after);
    let before = before.map_or_else(String::new, |service| {
        let old = Capacity::of(service);
        format!("{} slots on {} targets -> ", old.slots, old.targets)
    });
    let left = new.largest.map_or_else(String::new, |domain| {
        format!("; {} left if {domain} is lost", new.after_loss)
    });
    format!(
        "  = capacity: {before}{} slots on {} targets{left}",
        new.slots, new.targets
    )
}

fn measuring_line(after: &Service) -> String {
    let Some(hundredths) = measuring_share(after) else {
        return format!("  = measuring: {}, no serving target", after.measuring);
    };
    format!(
        "  = measuring: {}, {}.{:02}% of the slots' time",
        after.measuring,
        hundredths / 100,
        hundredths % 100
    )
}

/// Returns the share of the slots' time that the measuring budget allows, in hundredths of a
/// percent; `None` if there are no serving slots.
fn measuring_share(service: &Service) -> Option<u64> {
    let available = service.serving_slots().checked_mul(MICROS_PER_SECOND)?;
    service
        .measuring
        .0
        .saturating_mul(10_000)
        .checked_div(available)
}

/// Returns the warnings about services.
pub(crate) fn warnings(plan: &Plan) -> Vec<String> {
    let mut warnings = Vec::new();
    for (id, after) in plan.after() {
        let before = plan.before().get(id);
        let Some(after) = after else {
            if before.is_some_and(|service| service.serving_slots() > 0) {
                warnings.push(format!(
                    "service {id} still has serving targets; its calls will be refused"
                ));
            }
            continue;
        };
        capacity_warnings(&mut warnings, id, before, after);
        budget_warnings(&mut warnings, id, after);
        address_warnings(&mut warnings, id, after);
    }
    warnings
}

fn capacity_warnings(
    warnings: &mut Vec<String>,
    id: &ServiceId,
    before: Option<&Service>,
    after: &Service,
) {
    let new = Capacity::of(after);
    let Some(largest) = &new.largest else {
        warnings.push(format!(
            "service {id} has no serving target; its calls will be refused"
        ));
        return;
    };
    if new.domains == 1 {
        warnings.push(format!(
            "service {id} serves from {largest} only; the loss of this domain stops it"
        ));
    } else if new.after_loss * 100 < new.slots * LEFT_AFTER_LOSS_PERCENT {
        warnings.push(format!(
            "service {id} keeps {} of {} slots if {largest} is lost; add targets in other domains",
            new.after_loss, new.slots
        ));
    }
    let old_slots = before.map_or(0, Service::serving_slots);
    let lost = old_slots.saturating_sub(new.slots);
    if lost * 100 > old_slots * CAPACITY_DROP_PERCENT {
        warnings.push(format!(
            "service {id} loses {lost} of {old_slots} slots at once; consider smaller steps"
        ));
    }
}

fn budget_warnings(warnings: &mut Vec<String>, id: &ServiceId, after: &Service) {
    if measuring_share(after).is_some_and(|share| share > MEASURING_PERCENT * 100) {
        warnings.push(format!(
            "service {id} may spend more than {MEASURING_PERCENT}% of the slots' time on measuring"
        ));
    }
    let most = after.serving().map(|(_, target)| target.slots.get()).max();
    if let Some(most) = most.filter(|most| *most > after.connections) {
        warnings.push(format!(
            "service {id} allows {} connections per target, but a target has {most} slots",
            after.connections
        ));
    }
}

fn address_warnings(warnings: &mut Vec<String>, id: &ServiceId, after: &Service) {
    let mut by_addr = BTreeMap::new();
    for (target, serving) in after.serving() {
        if let Some(other) = by_addr.insert(serving.addr, target) {
            warnings.push(format!(
                "service {id} has two serving targets at {}: {other} and {target}",
                serving.addr
            ));
        }
    }
}
