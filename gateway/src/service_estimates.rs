//! What this VM has learned about each service and route from the answers of targets.

use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use carobshore_lib::crowding::Crowding;
use carobshore_lib::load_report::LoadReport;
use carobshore_lib::prelude::ServiceId;
use carobshore_lib::route::Route;
use carobshore_lib::service_crowding::ServiceCrowding;
use carobshore_lib::service_load::ServiceLoad;
use carobshore_lib::work_estimate::WorkEstimate;
use tokio::sync::Notify;

/// Estimates of the work of routes, and of the load of the targets of services.
#[derive(Debug, Default)]
pub struct ServiceEstimates {
    work: RefCell<HashMap<Box<str>, WorkEstimate>>,
    loads: RefCell<HashMap<ServiceId, ServiceLoad>>,
    crowding: RefCell<ServiceCrowding>,
    /// Notified when an attempt of this VM at a target of the service ends.
    slot_freed: RefCell<HashMap<ServiceId, Rc<Notify>>>,
    /// Whether the health checks of a service report no load, so that there is no use in sending
    /// them.
    without_load: RefCell<HashMap<ServiceId, bool>>,
}

impl ServiceEstimates {
    /// Returns what is known of the load of a service's targets.
    pub fn load(&self, service: &ServiceId) -> ServiceLoad {
        let loads = self.loads.borrow();
        loads.get(service).copied().unwrap_or_default()
    }

    /// Returns how much longer work takes on targets of the service that run other requests.
    pub fn crowding(&self, now: Instant, service: &ServiceId) -> Crowding {
        self.crowding.borrow().get(now, service)
    }

    /// Records how long a target of a service held a request that it answered.
    pub fn observe_time(&self, service: &ServiceId, took: Duration) {
        let mut loads = self.loads.borrow_mut();
        loads.entry(service.clone()).or_default().observe_hold(took);
    }

    /// Returns the expected time of a request of the route on an idle target whose machine runs no
    /// other work.
    pub fn work(&self, route: &Route) -> Duration {
        let work = self.work.borrow();
        let known = work.get(&route.name).copied();
        known
            .unwrap_or_else(|| WorkEstimate::new(route.rule.latency))
            .get()
    }

    /// Records that a request of the route took `ratio` times the expected time.
    pub fn observe_work(&self, route: &Route, ratio: f64) {
        let mut work = self.work.borrow_mut();
        let estimate = work.entry(route.name.clone());
        let estimate = estimate.or_insert_with(|| WorkEstimate::new(route.rule.latency));
        estimate.observe(ratio);
    }

    /// Returns whether the expected time of requests of the route has been measured.
    pub fn is_work_known(&self, route: &Route) -> bool {
        let work = self.work.borrow();
        work.get(&route.name).is_some_and(|work| work.is_settled())
    }

    /// Records that a request, which started on a target of the service with `running` others, took
    /// `ratio` times as long as on an idle target.
    pub fn observe_crowding(&self, service: &ServiceId, running: u32, slots: u32, ratio: f64) {
        let mut crowding = self.crowding.borrow_mut();
        crowding.observe(Instant::now(), service, running, slots, ratio);
    }

    /// Returns how many slots of a target of the service to use, so that it finishes most requests:
    /// all if the targets report no load, so that nothing can be learned.
    pub fn slot_limit(&self, now: Instant, service: &ServiceId, slots: u32) -> u32 {
        match self.reports_load(service) {
            true => self.crowding.borrow().get(now, service).limit(slots),
            false => slots,
        }
    }

    /// Returns whether a request should use one slot more than `limit`, to learn whether that pays.
    pub fn start_trial(&self, now: Instant, service: &ServiceId, limit: u32, slots: u32) -> bool {
        let mut crowding = self.crowding.borrow_mut();
        crowding.start_trial(now, service, limit, slots)
    }

    /// Records a new load report of a target of the service.
    pub fn observe_load(&self, now: Instant, service: &ServiceId, report: LoadReport) {
        let mut loads = self.loads.borrow_mut();
        loads
            .entry(service.clone())
            .or_default()
            .observe(now, report);
    }

    /// Returns the notifier of slots that this VM frees: it is notified when an attempt of this VM
    /// at a target of the service ends, and wakes the request that has waited longest.
    pub fn slot_freed(&self, service: &ServiceId) -> Rc<Notify> {
        let mut slot_freed = self.slot_freed.borrow_mut();
        Rc::clone(slot_freed.entry(service.clone()).or_default())
    }

    /// Returns the number of requests per slot that the targets of a service hold.
    pub fn load_per_slot(&self, now: Instant, service: &ServiceId) -> f64 {
        let loads = self.loads.borrow();
        loads.get(service).map_or(0.0, |load| load.per_slot(now))
    }

    /// Records whether the health checks of a service report the load.
    pub fn set_reports_load(&self, service: &ServiceId, reports: bool) {
        self.without_load
            .borrow_mut()
            .insert(service.clone(), !reports);
    }

    /// Returns whether the health checks of a service report the load; `true` while it is not
    /// known.
    pub fn reports_load(&self, service: &ServiceId) -> bool {
        !self
            .without_load
            .borrow()
            .get(service)
            .copied()
            .unwrap_or(false)
    }
}
