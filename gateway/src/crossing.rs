//! Requests that leave the failure domain of this VM, with `--crossing share`.
//!
//! The decisions are in `carobshore_lib::domain_choice` and `carobshore_lib::check_value`. With
//! `--crossing cost`, none of them is made.

use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use carobshore_lib::check_value::report_spread::ReportSpread;
use carobshore_lib::domain_choice::crossing_demand::CrossingDemand;
use carobshore_lib::domain_choice::crossing_mode::CrossingMode;
use carobshore_lib::domain_choice::crossing_price::CrossingPrice;
use carobshore_lib::domain_choice::crossing_settings::CrossingSettings;
use carobshore_lib::domain_choice::departure::Departure;
use carobshore_lib::domain_choice::departure_reason::DepartureReason;
use carobshore_lib::domain_choice::domain_chooser::DomainChooser;
use carobshore_lib::domain_choice::search_scope::SearchScope;
use carobshore_lib::load_report::LoadReport;
use carobshore_lib::prelude::DomainId;
use carobshore_lib::prelude::ServiceId;

use crate::gateway::Gateway;
use crate::gateway::UsableTarget;
use crate::health_check;
use crate::target_connections::TargetConnections;
use crate::target_search;
use crate::target_search::Search;
use crate::target_search::SearchResult;

/// The work of the request by which the spread of expected times is measured.
const MEASURED_WORK: Duration = Duration::from_millis(100);

/// What this VM knows about the failure domains, for each service.
#[derive(Debug)]
pub struct Crossing {
    settings: CrossingSettings,
    own: DomainId,
    seed: u64,
    services: RefCell<HashMap<ServiceId, ServiceDomains>>,
}

/// What is known about the domains of one service.
#[derive(Debug)]
struct ServiceDomains {
    chooser: DomainChooser,
    spread: ReportSpread,
}

impl Crossing {
    /// Creates the state of a VM in the domain `own`.
    pub fn new(settings: CrossingSettings, own: DomainId, seed: u64) -> Self {
        Self {
            settings,
            own,
            seed,
            services: RefCell::default(),
        }
    }

    /// Returns the price of bytes between domains.
    pub fn price(&self) -> CrossingPrice {
        self.settings.price
    }

    /// Returns which targets a request considers that does not leave by the share.
    pub fn usual_scope(&self) -> &'static SearchScope {
        match self.settings.mode {
            CrossingMode::Cost => &SearchScope::All,
            CrossingMode::Share => &SearchScope::Own,
        }
    }

    /// Returns the round-trip time to the domain of a target; zero if it is not part of the cost.
    pub(crate) fn round_trip(&self, target: &UsableTarget) -> Duration {
        if !self.is_on() || target.local {
            return Duration::ZERO;
        }
        let connections = &target.connections;
        self.with(&connections.service, |known| {
            known.chooser.round_trip(&connections.domain)
        })
    }

    /// Returns the spread of the time on targets of a service.
    pub(crate) fn spread(&self, service: &ServiceId) -> ReportSpread {
        self.with(service, |known| known.spread)
    }

    /// Returns why a request leaves the domain with a target, if it does.
    pub(crate) fn departure(&self, target: &UsableTarget) -> Option<Departure> {
        if !self.is_on() || target.local {
            return None;
        }
        target.departure.or(Some(Departure {
            reason: DepartureReason::NoLocalTarget,
            gain_ms: None,
        }))
    }

    /// Returns the state for the dump.
    pub fn dump(&self, now: Instant) -> serde_json::Value {
        let services = self.services.borrow();
        let of_one =
            |(id, known): (&ServiceId, &ServiceDomains)| (id.to_string(), known.chooser.dump(now));
        let services: serde_json::Map<_, _> = services.iter().map(of_one).collect();
        serde_json::json!({ "mode": self.settings.mode.as_str(), "services": services })
    }

    fn is_on(&self) -> bool {
        self.settings.mode == CrossingMode::Share
    }

    fn with<R>(&self, service: &ServiceId, act: impl FnOnce(&mut ServiceDomains) -> R) -> R {
        let mut services = self.services.borrow_mut();
        if let Some(known) = services.get_mut(service) {
            return act(known);
        }
        let new = ServiceDomains {
            chooser: DomainChooser::new(self.own.clone(), self.seed),
            spread: ReportSpread::default(),
        };
        act(services.entry(service.clone()).or_insert(new))
    }
}

/// Records a load report in a response of a target.
pub(crate) fn hear_load(gateway: &Gateway, connections: &TargetConnections, report: LoadReport) {
    let crossing = &gateway.crossing;
    if crossing.is_on() {
        let (now, domain) = (Instant::now(), &connections.domain);
        crossing.with(&connections.service, |known| {
            known
                .chooser
                .observe_load(now, domain, &connections.id, report);
        });
    }
}

/// Records a load report in the answer to a health check. Call this before the estimator of the
/// target knows the report.
pub(crate) fn hear_check(gateway: &Gateway, connections: &TargetConnections, report: LoadReport) {
    if !gateway.crossing.is_on() {
        return;
    }
    hear_load(gateway, connections, report);
    let now = Instant::now();
    let expected = connections.outlook.borrow();
    let mut reported = expected.clone();
    reported.report(now, report);
    let before = expected.expected(now, MEASURED_WORK, report.slots);
    let after = reported.expected(now, MEASURED_WORK, report.slots);
    gateway.crossing.with(&connections.service, |known| {
        known.spread.observe(MEASURED_WORK, before, after);
    });
}

/// Records the time of a health check on an open connection.
pub(crate) fn hear_round_trip(gateway: &Gateway, connections: &TargetConnections, took: Duration) {
    let crossing = &gateway.crossing;
    if crossing.is_on() {
        let (now, domain) = (Instant::now(), &connections.domain);
        crossing.with(&connections.service, |known| {
            known.chooser.observe_round_trip(now, domain, took);
        });
    }
}

/// Counts a request that was sent to another domain.
pub(crate) fn count(gateway: &Gateway, target: &UsableTarget, bytes: usize) {
    if let Some(departure) = gateway.crossing.departure(target) {
        let service = &target.connections.service;
        gateway.metrics.crossing(service, departure.reason, bytes);
    }
}

/// Finds the target of a request, in the domain of this VM unless the request may leave it.
pub(crate) async fn find(
    gateway: &Rc<Gateway>,
    search: Search<'_>,
    excluded: &[Rc<TargetConnections>],
) -> SearchResult {
    if !gateway.crossing.is_on() {
        return target_search::find(gateway, search, excluded).await;
    }
    plan(gateway, search.service);
    if let Some(found) = find_by_share(gateway, search, excluded).await {
        return SearchResult::Target(found);
    }
    match target_search::find(gateway, search, excluded).await {
        result @ (SearchResult::NoRoom(_) | SearchResult::Overloaded(_)) => {
            let found = find_last_resort(gateway, search, excluded).await;
            found.map_or(result, SearchResult::Target)
        }
        other => other,
    }
}

async fn find_by_share(
    gateway: &Rc<Gateway>,
    search: Search<'_>,
    excluded: &[Rc<TargetConnections>],
) -> Option<UsableTarget> {
    let demand = crossing_demand(gateway, &search);
    let crossing = &gateway.crossing;
    let drawn = crossing.with(search.service, |known| {
        known.chooser.draw(Instant::now(), &demand)
    });
    let (domain, departure) = drawn?;
    let scope = &SearchScope::Domain(domain);
    let found = target_search::find_free(gateway, Search { scope, ..search }, excluded).await;
    crossing.with(search.service, |known| {
        known.chooser.observe_departure(found.is_some());
    });
    let departure = Some(departure);
    found.map(|found| UsableTarget { departure, ..found })
}

async fn find_last_resort(
    gateway: &Rc<Gateway>,
    search: Search<'_>,
    excluded: &[Rc<TargetConnections>],
) -> Option<UsableTarget> {
    let scope = &SearchScope::Elsewhere;
    let found = target_search::find_free(gateway, Search { scope, ..search }, excluded).await;
    let departure = Some(Departure {
        reason: DepartureReason::LastResort,
        gain_ms: None,
    });
    found.map(|found| UsableTarget { departure, ..found })
}

fn crossing_demand(gateway: &Gateway, search: &Search<'_>) -> CrossingDemand {
    let services = &gateway.services;
    CrossingDemand {
        work: search.demand.work,
        bytes: search.demand.bytes,
        price: search.demand.price,
        slots: services.load(search.service).slots(),
        crowding: services.crowding(Instant::now(), search.service),
    }
}

/// Computes the share of requests that leave, if it is due, and checks targets of other domains
/// whose load is not known.
fn plan(gateway: &Rc<Gateway>, service: &ServiceId) {
    let now = Instant::now();
    let crossing = &gateway.crossing;
    if !crossing.with(service, |known| known.chooser.is_plan_due(now)) {
        return;
    }
    let usable = gateway.usable_targets(service);
    let unknown = {
        let roster = gateway.roster();
        let targets = usable
            .iter()
            .map(|usable| (&usable.connections.domain, usable.slots));
        let vms = roster.iter().map(|vm| &vm.domain);
        crossing.with(service, |known| known.chooser.plan(now, targets, vms))
    };
    for domain in unknown {
        let in_domain = usable
            .iter()
            .filter(|usable| usable.connections.domain == domain);
        let longest_unknown = in_domain.min_by_key(|usable| {
            let report = usable.connections.outlook.borrow().last_report();
            (
                report.map(|(at, _)| at),
                !usable.preferred,
                usable.connections.rank,
            )
        });
        if let Some(target) = longest_unknown {
            health_check::check(gateway, service, &target.connections);
        }
    }
}
