//! The state that all requests of the data thread share.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::BTreeSet;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use carobshore_lib::peer_load::PeerLoad;
use carobshore_lib::planned_stop::PlannedStop;
use carobshore_lib::prelude::Error;
use carobshore_lib::prelude::Outcome;
use carobshore_lib::prelude::ResultCode;
use carobshore_lib::prelude::ServiceId;
use carobshore_lib::prelude::TargetId;
use carobshore_lib::prelude::Version as ConfigVersion;
use carobshore_lib::prelude::VmId;
use carobshore_lib::route_table::RouteTable;
use carobshore_lib::routing_config::RoutingConfig;
use carobshore_lib::ticket::TicketId;
use ntex::http::ConnectionType;
use ntex::http::Request;
use ntex::http::Response;
use ntex::http::StatusCode;
use ntex::http::Version;
use tokio::sync::Notify;
use tokio::sync::oneshot;
use tokio::time::sleep_until;

use crate::call_head::CallHead;
use crate::call_head::Port;
use crate::call_route::CallRoute;
use crate::connection_table::AddressConnections;
use crate::connection_table::ConnectionTable;
use crate::driver::Driver;
use crate::headers;
use crate::in_flight::InFlightCounts;
use crate::in_flight::InFlightGuard;
use crate::metrics::Metrics;
use crate::prober;
use crate::refusal::ClosingRefusal;
use crate::refusal::Refusal;
use crate::responder::CallerConnection;
use crate::responder::Responder;
use crate::service_state::PoolKind;
use crate::service_state::ServiceState;
use crate::settings::Settings;
use crate::view::DataReport;
use crate::view::ReportSender;
use crate::view::View;

/// Largest number of connections to one other entry VM.
const MAX_VM_CONNECTIONS: u32 = 512;

/// The state that all requests of one VM share.
pub(crate) struct DataPlane {
    pub(crate) settings: Arc<Settings>,
    pub(crate) metrics: Metrics,
    pub(crate) in_flight: Rc<InFlightCounts>,
    pub(crate) connections: ConnectionTable,
    pub(crate) stop: RefCell<PlannedStop>,
    /// Notified when a planned stop begins.
    stop_begun: Notify,
    pub(crate) control: ReportSender,
    view: RefCell<Arc<View>>,
    services: RefCell<HashMap<ServiceId, Rc<ServiceState>>>,
    routes: RefCell<RouteTable>,
    /// Services whose homes have to be assigned again after a change of the roster.
    pending: RefCell<BTreeSet<ServiceId>>,
    /// The loads of the latest view.
    loads: RefCell<HashMap<(ServiceId, VmId), PeerLoad>>,
    tickets: Cell<u64>,
}

impl DataPlane {
    pub(crate) fn new(
        settings: Arc<Settings>,
        metrics: Metrics,
        view: &Arc<View>,
        control: ReportSender,
    ) -> Rc<Self> {
        let connections = ConnectionTable::new(settings.timeouts.connect);
        let stop = PlannedStop::new(settings.notice, settings.grace);
        let plane = Rc::new(Self {
            settings,
            metrics,
            in_flight: Rc::default(),
            connections,
            stop: RefCell::new(stop),
            stop_begun: Notify::new(),
            control,
            view: RefCell::new(Arc::clone(view)),
            services: RefCell::default(),
            routes: RefCell::new(RouteTable::new(rand::random())),
            pending: RefCell::default(),
            loads: RefCell::default(),
            tickets: Cell::new(0),
        });
        plane.apply_routes(view);
        plane.apply_view(view, true);
        plane
    }

    /// Applies a newer view.
    pub(crate) fn update(self: &Rc<Self>, view: &Arc<View>) {
        let old = self.view.replace(Arc::clone(view));
        if old.me != view.me {
            // This VM was displaced and has joined again under a new id. It no longer owns anything
            // that it owned under the old one.
            self.services.borrow_mut().clear();
        }
        let roster = old.me != view.me || !Arc::ptr_eq(&old.roster, &view.roster);
        if !Arc::ptr_eq(&old.config, &view.config) {
            self.apply_routes(view);
        }
        self.apply_view(view, roster);
    }

    /// Returns the latest view.
    pub(crate) fn view(&self) -> Arc<View> {
        Arc::clone(&self.view.borrow())
    }

    /// Returns whether this VM should get new requests.
    pub(crate) fn is_ready(&self) -> bool {
        self.view.borrow().ready && !self.stop.borrow().is_stopping()
    }

    /// Tells the requests in flight that a planned stop has begun, so that they learn of their new
    /// deadline.
    pub(crate) fn announce_stop(&self) {
        self.stop_begun.notify_waiters();
    }

    /// Waits until a deadline, or that of a planned stop if it is earlier, has passed.
    pub(crate) async fn deadline_passed(&self, deadline: Instant) {
        loop {
            let (end, stopping) = {
                let stop = self.stop.borrow();
                (stop.limit(deadline), stop.is_stopping())
            };
            tokio::select! {
                () = sleep_until(end.into()) => return,
                () = self.stop_begun.notified(), if !stopping => {}
            }
        }
    }

    /// Handles a request up to the head of its response. During a planned stop, no request follows on
    /// its connection.
    pub(crate) async fn call(
        self: Rc<Self>,
        request: Request,
        port: Port,
    ) -> Result<Response, ClosingRefusal> {
        let mut response = Rc::clone(&self).respond(request, port).await?;
        if self.stop.borrow().is_stopping() {
            let head = response.head_mut();
            head.set_connection_type(ConnectionType::Close);
        }
        Ok(response)
    }

    async fn respond(
        self: Rc<Self>,
        mut request: Request,
        port: Port,
    ) -> Result<Response, ClosingRefusal> {
        let started = Instant::now();
        let peer = request.peer_addr().map(|addr| addr.ip());
        if request.version() != Version::HTTP_11 {
            return Err(self.refuse_version(port));
        }
        let route = match port {
            Port::Callers => CallRoute::find(&mut self.routes.borrow_mut(), request.head()),
            // The VM that received the call from its caller has already found the route.
            Port::Peers => None,
        };
        let route = route.as_ref();
        let head = CallHead::parse(request.head(), peer, port, &self.settings, route, started);
        let admitted = head.map_err(Refusal::of_request).and_then(|mut head| {
            head.deadline = self.stop.borrow().limit(head.deadline);
            let service = self.admit(&head);
            let service = service.map_err(|refusal| match head.is_keyed_by_caller() {
                true => refusal.limit_claim(false),
                false => refusal,
            });
            Ok((service?, head))
        });
        let (service, head) = match admitted {
            Ok(admitted) => admitted,
            Err(refusal) => return self.refuse(port, refusal),
        };
        let payload = request.take_payload();
        let connection = request.io().and_then(CallerConnection::from_io);
        let (reply, response) = oneshot::channel();
        let responder = Responder {
            reply,
            connection,
            in_flight: InFlightGuard::start(&self.in_flight),
        };
        Driver::start(Rc::clone(&self), service, head, payload, responder);
        Ok(response.await.unwrap_or_else(|_| {
            Refusal::of_outcome(Outcome::MayHaveRun, ResultCode::Internal).response()
        }))
    }

    /// Returns the connections to a target, or `None` if the service no longer has the target.
    pub(crate) fn target_connections(
        &self,
        service: &ServiceState,
        target: &TargetId,
        kind: PoolKind,
    ) -> Option<Rc<AddressConnections>> {
        let (addr, limit) = service.target(target, kind)?;
        Some(self.connections.get_or_create(addr, limit))
    }

    /// Returns the connections to another entry VM, or `None` if it is not in the roster.
    pub(crate) fn vm_connections(&self, vm: &VmId) -> Option<Rc<AddressConnections>> {
        let addr = self.vm_addr(vm)?;
        Some(self.connections.get_or_create(addr, MAX_VM_CONNECTIONS))
    }

    /// Records and reports that a VM cannot be reached or is not ready.
    pub(crate) fn vm_unreachable(&self, service: &ServiceState, vm: &VmId) {
        service.unreachable(vm);
        let vm = vm.clone();
        self.control.send(DataReport::Unreachable { vm });
    }

    /// Returns a new id for a request that waits in a pool.
    pub(crate) fn next_ticket_id(&self) -> TicketId {
        let id = self.tickets.get();
        self.tickets.set(id + 1);
        TicketId(id)
    }

    /// Reports the load of each service that this VM is a home of, for the heartbeats.
    pub(crate) fn report_loads(&self) {
        let services = self.services.borrow();
        for service in services.values().filter(|service| service.is_home()) {
            let (free, queued) = service.pool(PoolKind::Owned).load();
            let service = service.id.clone();
            self.control.send(DataReport::Load {
                service,
                free,
                queued,
            });
        }
    }

    /// Sets the gauges of the state before a scrape of the metrics.
    pub(crate) fn record_state(&self) {
        let state = &self.metrics.state;
        state.record_view(Instant::now(), &self.view.borrow());
        for service in self.services.borrow().values() {
            if service.is_home() {
                let (share, counters) = service.pool(PoolKind::Owned).measuring();
                state.record_measuring(&service.id, share, &counters);
            }
        }
    }

    /// Removes the outcomes of expired keys.
    pub(crate) fn expire_keys(&self) {
        self.services
            .borrow()
            .values()
            .for_each(|service| service.expire_keys());
    }

    /// Returns the state for the dump.
    pub(crate) fn dump(&self) -> serde_json::Value {
        let services = self.services.borrow();
        let services: serde_json::Map<_, _> = services
            .iter()
            .map(|(id, service)| (id.to_string(), service.dump()))
            .collect();
        let stop = self.stop.borrow();
        serde_json::json!({
            "services": services,
            "connections": self.connections.count(),
            "in_flight_keyed": self.in_flight.keyed(),
            "in_flight_other": self.in_flight.other(),
            "stopping": stop.is_stopping(),
            "accepting": stop.is_accepting(),
        })
    }

    fn admit(&self, head: &CallHead) -> Result<Rc<ServiceState>, Refusal> {
        let not_ready = || Refusal {
            close: true,
            ..Refusal::of_outcome(Outcome::NotRun, ResultCode::NotReady)
        };
        if !self.stop.borrow().is_accepting() {
            return Err(not_ready());
        }
        let services = self.services.borrow();
        if let Some(service) = services.get(&head.service) {
            return Ok(Rc::clone(service));
        }
        if !self.view.borrow().ready {
            return Err(not_ready());
        }
        Err(Refusal::of_request(Error::new(
            ResultCode::UnknownService,
            format!("there is no service `{}`", head.service),
            "use a service of the confirmed configuration",
        )))
    }

    fn vm_addr(&self, vm: &VmId) -> Option<SocketAddr> {
        let view = self.view.borrow();
        view.roster.member(vm).map(|member| member.forward)
    }

    /// Puts the routes of a view into force. Their version is the applied offset, which grows with
    /// each change.
    fn apply_routes(&self, view: &View) {
        let version = ConfigVersion(view.applied.0);
        let routes = RoutingConfig::confirmed(&view.config, version);
        self.routes.borrow_mut().apply(routes);
    }

    fn apply_view(self: &Rc<Self>, view: &View, roster_changed: bool) {
        let mut services = self.services.borrow_mut();
        let mut pending = self.pending.borrow_mut();
        services.retain(|id, _| view.config.services.contains_key(id));
        for (id, spec) in &view.config.services {
            let service = services
                .entry(id.clone())
                .or_insert_with(|| self.new_service(id, view));
            let leaving = leaving(view, id);
            if service.needs_update(spec, &leaving) {
                service.update(spec, view, leaving, self.settings.homes);
            } else if roster_changed {
                pending.insert(id.clone());
            }
            service.update_keys(view);
            view.down.iter().for_each(|vm| service.unreachable(vm));
        }
        drop(pending);
        drop(services);
        self.observe_loads(view);
    }

    /// Assigns homes and targets again after a change of the roster, service by service, until
    /// `budget` is used up. Returns whether services are left. At the largest scale, assigning all
    /// of them at once would hold up calls for longer than they may take.
    pub(crate) fn update_pending(&self, budget: Duration) -> bool {
        let started = Instant::now();
        let view = self.view();
        while started.elapsed() < budget {
            let Some(id) = self.pending.borrow_mut().pop_first() else {
                return false;
            };
            let service = self.services.borrow().get(&id).cloned();
            if let (Some(service), Some(spec)) = (service, view.config.service(&id)) {
                service.update(spec, &view, leaving(&view, &id), self.settings.homes);
            }
        }
        !self.pending.borrow().is_empty()
    }

    /// Passes on the loads that have changed. A view repeats loads of earlier heartbeats. These
    /// must neither count as recent nor make a VM available again that was found unreachable since.
    fn observe_loads(&self, view: &View) {
        let mut known = self.loads.borrow_mut();
        let mut now = HashMap::with_capacity(view.loads.len());
        for (id, load) in &view.loads {
            let name = (id.clone(), load.vm.clone());
            if known.get(&name) != Some(load)
                && let Some(service) = self.services.borrow().get(id)
            {
                service.observe_load(load.clone());
            }
            now.insert(name, load.clone());
        }
        *known = now;
    }

    fn new_service(self: &Rc<Self>, id: &ServiceId, view: &View) -> Rc<ServiceState> {
        let policy = self.settings.policy;
        let (service, probes) = ServiceState::new(id, view, policy, rand::random());
        prober::start(self, &service, probes);
        service
    }

    fn refuse(&self, port: Port, refusal: Refusal) -> Result<Response, ClosingRefusal> {
        self.metrics
            .record_refusal(port, refusal.outcome, refusal.error.code);
        match refusal.close {
            true => Err(ClosingRefusal::of(refusal)),
            false => Ok(refusal.response()),
        }
    }

    /// Refuses HTTP/1.0, in which a complete response without a length cannot be told apart from a
    /// truncated one.
    fn refuse_version(&self, port: Port) -> ClosingRefusal {
        let refusal = Refusal::of_request(Error::new(
            ResultCode::BadRequest,
            "the HTTP version is not 1.1",
            "use HTTP/1.1",
        ));
        self.metrics
            .record_refusal(port, refusal.outcome, refusal.error.code);
        ClosingRefusal {
            refusal,
            status: StatusCode::HTTP_VERSION_NOT_SUPPORTED,
        }
    }
}

/// Returns the leaving targets of a service.
fn leaving(view: &View, service: &ServiceId) -> BTreeSet<TargetId> {
    let of_service = view.leaving.iter().filter(|(id, _)| id == service);
    of_service.map(|(_, target)| target.clone()).collect()
}

/// Adds the load of this VM to a response for another entry VM.
pub(crate) fn add_load(response: &mut Response, service: &ServiceState) {
    let (free, queued) = service.pool(PoolKind::Owned).load();
    let fields = response.headers_mut();
    headers::set_number(fields, crate::field::FREE, u64::from(free));
    headers::set_number(fields, crate::field::QUEUED, u64::from(queued));
}
