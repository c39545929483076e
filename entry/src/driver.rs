//! Drives one request from its head to the end of its response.
//!
//! The decisions are those of [`Exchange`]; this module carries them out. The driver runs in a
//! task of its own, because a request with a key goes on when its caller has left.

use std::collections::VecDeque;
use std::io;
use std::rc::Rc;
use std::time::Instant;

use carobshore_lib::connection_pool::Freshness;
use carobshore_lib::exchange::CallSpec;
use carobshore_lib::exchange::Exchange;
use carobshore_lib::exchange::ExchangeAction;
use carobshore_lib::exchange::ExchangeEvent;
use carobshore_lib::key_table::StoredOutcome;
use carobshore_lib::key_table::StoredResponse;
use carobshore_lib::pool_event::AttemptId;
use carobshore_lib::pool_event::AttemptResult;
use carobshore_lib::pool_event::PoolEvent;
use carobshore_lib::prelude::Outcome;
use carobshore_lib::prelude::ResultCode;
use carobshore_lib::prelude::VmId;
use carobshore_lib::router::Call;
use carobshore_lib::router::RoutingDecision;
use carobshore_lib::send_permit::RefusedBy;
use carobshore_lib::ticket::CallerId;
use carobshore_lib::ticket::Ticket;
use carobshore_lib::ticket::TicketId;
use ntex::http::Payload;
use tokio::sync::mpsc;
use tokio::task::JoinSet;
use tokio::time::sleep_until;

use crate::answer::Answer;
use crate::attempt;
use crate::attempt::Attempt;
use crate::attempt::Place;
use crate::attempt::Step;
use crate::call_head;
use crate::call_head::CallHead;
use crate::call_head::MAX_HOPS;
use crate::call_head::Port;
use crate::caller_end::CallerEnd;
use crate::connection::SendFailure;
use crate::links::Link;
use crate::links::Links;
use crate::plane::Plane;
use crate::pool_seat::Grant;
use crate::pool_seat::Slot;
use crate::pool_seat::SlotName;
use crate::refusal::Refusal;
use crate::request_body::BodyFault;
use crate::request_body::BodyLimits;
use crate::request_body::RequestBody;
use crate::service_plane::SeatKind;
use crate::service_plane::ServicePlane;
use crate::target_signs;
use crate::vm_answer;

/// One request in flight.
pub(crate) struct Driver {
    pub(crate) plane: Rc<Plane>,
    pub(crate) service: Rc<ServicePlane>,
    pub(crate) head: CallHead,
    pub(crate) started: Instant,
    pub(crate) key_accepted: bool,
    /// The owner of the key said that no request with it has run.
    pub(crate) key_unused: bool,
    body: RequestBody,
    exchange: Exchange,
    outbox: VecDeque<ExchangeAction>,
    grants: mpsc::UnboundedSender<Grant>,
    first_route: Option<RoutingDecision>,
    ticket: Option<(SeatKind, TicketId)>,
    attempts: Vec<Attempt>,
    tasks: JoinSet<Step>,
    next_attempt: u64,
    retried: bool,
    /// The last attempt ended because a VM could not be reached. No target saw the request, so
    /// the next attempt is no retry at a target and is not charged as one: all requests for a home
    /// that crashes have to go elsewhere at the same moment.
    unreached: bool,
    spilled: bool,
    timing_out: bool,
    refusal: Option<Refusal>,
    answering: Option<AttemptId>,
    done: Option<(Outcome, ResultCode)>,
}

impl Driver {
    /// Starts the task of a request whose head was accepted.
    pub(crate) fn start(
        plane: Rc<Plane>,
        service: Rc<ServicePlane>,
        head: CallHead,
        payload: Payload,
        caller: CallerEnd,
    ) {
        let limits = BodyLimits {
            bytes: plane.settings.limits.body.0,
            pause: plane.settings.timeouts.body,
        };
        let spec = CallSpec {
            repeatable: head.repeatable,
            key: head.key,
            deadline: head.deadline,
            attempts: head.attempts,
        };
        let (grants, granted) = mpsc::unbounded_channel();
        let driver = Self {
            plane,
            service,
            body: RequestBody::new(payload, head.size, limits),
            spilled: head.hops >= MAX_HOPS,
            head,
            started: Instant::now(),
            key_accepted: false,
            key_unused: false,
            exchange: Exchange::new(spec),
            outbox: VecDeque::new(),
            grants,
            first_route: None,
            ticket: None,
            attempts: Vec::new(),
            tasks: JoinSet::new(),
            next_attempt: 0,
            retried: false,
            unreached: false,
            timing_out: false,
            refusal: None,
            answering: None,
            done: None,
        };
        ntex::rt::spawn(driver.run(caller, granted));
    }

    async fn run(mut self, caller: CallerEnd, mut granted: mpsc::UnboundedReceiver<Grant>) {
        let Some(mut caller) = self.take_key(caller).await else {
            return;
        };
        self.dispatch();
        self.settle();
        self.wait(&mut caller, &mut granted).await;
        match self.take_answer() {
            Some((link, answer)) => self.relay(caller, link, answer).await,
            None => self.refuse(caller),
        }
    }

    /// Runs until a response arrives or the request has failed.
    async fn wait(&mut self, caller: &mut CallerEnd, granted: &mut mpsc::UnboundedReceiver<Grant>) {
        let deadline = self.head.deadline;
        let mut gone = false;
        while self.answering.is_none() && self.done.is_none() {
            tokio::select! {
                biased;
                Some(grant) = granted.recv() => self.on_grant(grant),
                Some(step) = self.tasks.join_next() => if let Ok(step) = step {
                    self.on_step(step);
                },
                () = caller.gone(), if !gone => {
                    gone = true;
                    self.tell(ExchangeEvent::CallerGone);
                }
                () = sleep_until(deadline.into()), if !self.timing_out => {
                    self.timing_out = true;
                    self.tell(ExchangeEvent::TimedOut);
                }
            }
            self.settle();
        }
    }

    /// Passes an event to the exchange.
    pub(crate) fn tell(&mut self, event: ExchangeEvent) {
        let now = Instant::now();
        let mut actions = Vec::new();
        if self.body.is_ended() {
            let ended = ExchangeEvent::BodySent;
            self.exchange.handle(now, ended, &mut actions);
        }
        if self.body.is_lost() {
            let lost = ExchangeEvent::BodyNotKept;
            self.exchange.handle(now, lost, &mut actions);
        }
        self.exchange.handle(now, event, &mut actions);
        self.outbox.extend(actions);
    }

    /// Carries out what the exchange decided.
    pub(crate) fn settle(&mut self) {
        while let Some(action) = self.outbox.pop_front() {
            match action {
                ExchangeAction::Retry => {
                    self.retried |= !std::mem::take(&mut self.unreached);
                    self.dispatch();
                }
                ExchangeAction::Relay { attempt } => self.answering = Some(attempt),
                ExchangeAction::Fail { outcome, code } => {
                    self.refusal = Some(Refusal::of_outcome(outcome, code));
                }
                ExchangeAction::Cancel { attempt } => self.cancel(attempt),
                // The caller's connection is aborted by dropping the sender of the body.
                ExchangeAction::Abort => {}
                ExchangeAction::Done { outcome, code } => self.done = Some((outcome, code)),
            }
        }
    }

    /// Returns how the request ended, if it has.
    pub(crate) fn done(&self) -> Option<(Outcome, ResultCode)> {
        self.done
    }

    /// Asks the router where the request goes, and sends it on its way.
    fn dispatch(&mut self) {
        self.leave_pool();
        // A request whose key this VM has accepted stays here, whatever the homes are by now.
        let route = match self.key_accepted {
            true => RoutingDecision::Local,
            false => self.first_route.take().unwrap_or_else(|| self.route()),
        };
        match route {
            // The key moved to this VM between two attempts; it was not entered in the table.
            RoutingDecision::Local if self.head.key.is_some() && !self.key_accepted => {
                let code = ResultCode::OwnershipMoving;
                self.tell(ExchangeEvent::Rejected { code });
            }
            RoutingDecision::Local => self.submit(self.service.local_seat()),
            RoutingDecision::Fallback => self.submit(SeatKind::Shared),
            RoutingDecision::Forward { vm } => self.start_vm(vm, false),
            RoutingDecision::Refuse { code } => self.tell(ExchangeEvent::Rejected { code }),
        }
    }

    /// Returns where the first attempt goes.
    pub(crate) fn first_route(&mut self) -> &RoutingDecision {
        let route = self.first_route.take().unwrap_or_else(|| self.route());
        self.first_route.insert(route)
    }

    fn route(&self) -> RoutingDecision {
        self.service.route(&Call {
            key: self.head.key,
            forwarded: self.head.port == Port::Peers,
        })
    }

    fn submit(&mut self, kind: SeatKind) {
        let ticket = Ticket {
            id: self.plane.next_ticket(),
            caller: CallerId::of(&self.head.caller),
            deadline: self.head.deadline,
            repeatable: self.head.repeatable,
            spilled: self.spilled,
            retry: self.retried,
        };
        self.ticket = Some((kind, ticket.id));
        let seat = Rc::clone(self.service.seat(kind));
        seat.submit(ticket, self.grants.clone());
    }

    fn leave_pool(&mut self) {
        if let Some((kind, ticket)) = self.ticket.take() {
            self.service.seat(kind).leave(ticket);
        }
    }

    fn on_grant(&mut self, grant: Grant) {
        match grant {
            Grant::Start(slot) => self.start_target(slot),
            Grant::Hedge(slot) => self.start_hedge(slot),
            Grant::Reject(code) => self.tell(ExchangeEvent::Rejected { code }),
            Grant::Spill(vm) => {
                self.leave_pool();
                self.spilled = true;
                self.start_vm(vm, true);
            }
            Grant::Cancel(slot) => self.cancel_slot(slot),
        }
    }

    fn start_hedge(&mut self, slot: Slot) {
        // The body is needed a second time while the first copy may still read it. A slot that is
        // not used is free again when it is dropped.
        if self.exchange.may_hedge(Instant::now()) && self.body.is_kept() {
            self.plane.metrics.hedged(&self.service.id);
            self.start_target(slot);
        }
    }

    fn start_target(&mut self, slot: Slot) {
        let links = self
            .plane
            .target_links(&self.service, slot.target(), slot.kind());
        self.begin(Place::Target(slot), links);
    }

    fn start_vm(&mut self, vm: VmId, spill: bool) {
        let links = self.plane.vm_links(&vm);
        self.begin(Place::Vm { vm, spill }, links);
    }

    fn begin(&mut self, place: Place, links: Option<Rc<Links>>) {
        let id = AttemptId(self.next_attempt);
        self.next_attempt += 1;
        let mut attempt = Attempt::new(id, place);
        attempt.links = links;
        self.attempts.push(attempt);
        self.tell(ExchangeEvent::Started { attempt: id });
        if !self.is_cancelled(id) {
            self.open(id);
        }
    }

    /// Takes back a `Cancel` that the exchange gave in response to the last event.
    fn is_cancelled(&mut self, id: AttemptId) -> bool {
        let cancel = ExchangeAction::Cancel { attempt: id };
        let found = self.outbox.contains(&cancel);
        self.outbox.retain(|action| *action != cancel);
        if found {
            self.end(id, AttemptResult::Cancelled);
        }
        found
    }

    fn open(&mut self, id: AttemptId) {
        let need = self.need();
        let Some(attempt) = self.attempts.iter_mut().find(|attempt| attempt.id == id) else {
            return;
        };
        let links = attempt.links.clone();
        attempt.task = Some(self.tasks.spawn_local(async move {
            let link = match links {
                Some(links) => links.checkout(need).await,
                None => Err(io::ErrorKind::AddrNotAvailable.into()),
            };
            Step::Opened(id, link)
        }));
    }

    fn need(&self) -> Freshness {
        match self.head.repeatable {
            true => Freshness::Any,
            false => Freshness::Fresh,
        }
    }

    fn on_step(&mut self, step: Step) {
        match step {
            Step::Opened(id, Ok(link)) => self.on_opened(id, link),
            Step::Opened(id, Err(_)) => self.on_connect_failed(id),
            Step::Answered(id, link, Ok(answer)) => self.on_answer(id, link, answer),
            Step::Answered(id, link, Err(failure)) => {
                drop(link);
                self.on_failure(id, &failure);
            }
        }
    }

    fn on_connect_failed(&mut self, id: AttemptId) {
        if let Some(vm) = self.vm_of(id) {
            self.plane.vm_unreachable(&self.service, &vm);
            self.unreached = true;
        }
        self.end(id, AttemptResult::ConnectFailed);
        self.tell(ExchangeEvent::ConnectFailed { attempt: id });
    }

    fn on_opened(&mut self, id: AttemptId, link: Link) {
        if !self.attempts.iter().any(|attempt| attempt.id == id) {
            return link.unused();
        }
        if !link.may_send(self.need()) {
            link.unused();
            return self.open(id);
        }
        if self.key_accepted && !self.service.may_send_key() {
            link.unused();
            self.end(id, AttemptResult::Cancelled);
            let code = ResultCode::LeaseLapsed;
            return self.tell(ExchangeEvent::Withdrawn { attempt: id, code });
        }
        self.tell(ExchangeEvent::Sent { attempt: id });
        if self.is_cancelled(id) {
            return link.unused();
        }
        self.send(id, link);
    }

    fn send(&mut self, id: AttemptId, link: Link) {
        let Some(attempt) = self.attempts.iter_mut().find(|attempt| attempt.id == id) else {
            return;
        };
        let Some(connection) = link.connection().cloned() else {
            return;
        };
        attempt.sent(&link, &connection);
        let body = self.body.attempt(Rc::clone(&connection));
        let request = attempt::outgoing(&self.plane, &self.head, &attempt.place, body);
        attempt.task = Some(self.tasks.spawn_local(async move {
            let answer = connection.send(request).await;
            Step::Answered(id, link, answer)
        }));
    }

    pub(crate) fn on_failure(&mut self, id: AttemptId, failure: &SendFailure) {
        match failure {
            SendFailure::BodyCut => {
                self.end(id, AttemptResult::Cancelled);
                self.tell(ExchangeEvent::CallerGone);
            }
            SendFailure::NotSent => {
                self.end(id, AttemptResult::Cancelled);
                self.tell(ExchangeEvent::Broken { attempt: id });
            }
            SendFailure::Broken(_) | SendFailure::Malformed(_) => {
                self.end(id, AttemptResult::Broken);
                self.tell(ExchangeEvent::Broken { attempt: id });
            }
        }
    }

    fn on_answer(&mut self, id: AttemptId, link: Link, answer: Answer) {
        let Some(attempt) = self.attempts.iter().find(|attempt| attempt.id == id) else {
            return;
        };
        match &attempt.place {
            Place::Target(slot) => {
                let fields = &answer.headers;
                let (target, kind) = (slot.target(), slot.kind());
                let refused = target_signs::note(&self.plane, &self.service, target, kind, fields);
                match refused {
                    Some(by) => self.on_refused(id, by, link, answer),
                    None => self.on_head(id, link, answer),
                }
            }
            Place::Vm { vm, .. } => {
                let vm = vm.clone();
                self.on_vm_answer(id, &vm, link, answer);
            }
        }
    }

    pub(crate) fn on_refused(&mut self, id: AttemptId, by: RefusedBy, link: Link, answer: Answer) {
        vm_answer::discard(link, answer);
        self.end(id, target_signs::result_of(by));
        self.tell(ExchangeEvent::Refused { attempt: id, by });
    }

    pub(crate) fn on_head(&mut self, id: AttemptId, link: Link, answer: Answer) {
        let status = answer.status.as_u16();
        let mut first_byte = None;
        if let Some(attempt) = self.attempts.iter_mut().find(|attempt| attempt.id == id) {
            attempt.answer = Some((link, answer));
            if let Place::Target(slot) = &attempt.place {
                first_byte = Some(slot.name());
            }
        }
        let attempt = id;
        self.tell(ExchangeEvent::Head { attempt, status });
        // The exchange has chosen by now; the pool cancels the other copy.
        if let Some((kind, attempt)) = first_byte {
            let seat = self.service.seat(kind);
            seat.handle(PoolEvent::FirstByte { attempt });
        }
    }

    fn vm_of(&self, id: AttemptId) -> Option<VmId> {
        let attempt = self.attempts.iter().find(|attempt| attempt.id == id)?;
        match &attempt.place {
            Place::Vm { vm, .. } => Some(vm.clone()),
            Place::Target(_) => None,
        }
    }

    /// Ends an attempt.
    pub(crate) fn end(&mut self, id: AttemptId, result: AttemptResult) {
        let Some(at) = self.attempts.iter().position(|attempt| attempt.id == id) else {
            return;
        };
        let mut attempt = self.attempts.swap_remove(at);
        attempt.end(&self.plane, &self.service.id, result);
    }

    fn cancel(&mut self, id: AttemptId) {
        let Some(at) = self.attempts.iter().position(|attempt| attempt.id == id) else {
            return;
        };
        let mut attempt = self.attempts.swap_remove(at);
        match self.timing_out {
            true => attempt.give_up(&self.plane, &self.service.id),
            false => attempt.end(&self.plane, &self.service.id, AttemptResult::Cancelled),
        }
    }

    /// Cancels an attempt on the pool's demand.
    fn cancel_slot(&mut self, name: SlotName) {
        let named = |attempt: &&Attempt| match &attempt.place {
            Place::Target(slot) => slot.name() == name,
            Place::Vm { .. } => false,
        };
        let Some(id) = self.attempts.iter().find(named).map(|attempt| attempt.id) else {
            return;
        };
        self.end(id, AttemptResult::Cancelled);
        self.tell(ExchangeEvent::Broken { attempt: id });
    }

    fn take_answer(&mut self) -> Option<(Link, Answer)> {
        let id = self.answering?;
        let attempt = self.attempts.iter_mut().find(|attempt| attempt.id == id)?;
        attempt.answer.take()
    }

    /// Returns the attempt whose response is passed on.
    pub(crate) fn answering(&self) -> Option<AttemptId> {
        self.answering
    }

    fn refuse(mut self, caller: CallerEnd) {
        let (outcome, code) = self
            .done
            .unwrap_or((Outcome::MayHaveRun, ResultCode::Internal));
        let unused = self.key_accepted || self.key_unused;
        let doubtful = self.head.is_keyed_by_caller() && !unused;
        let refusal = match self.body.fault() {
            Some(fault) => self.of_fault(fault, outcome),
            None => self
                .refusal
                .take()
                .unwrap_or_else(|| Refusal::of_outcome(outcome, code)),
        };
        let refusal = refusal.claimed(!doubtful);
        self.done = Some((refusal.outcome, code));
        self.finish(stored(outcome, code));
        let mut response = refusal.response();
        if self.head.port == Port::Peers {
            crate::plane::add_load(&mut response, &self.service);
            let unused = unused && refusal.outcome == Outcome::NotRun;
            crate::headers::mark_unused(response.headers_mut(), unused);
        }
        let _ = caller.reply.send(response);
    }

    fn of_fault(&self, fault: BodyFault, outcome: Outcome) -> Refusal {
        let error = match fault {
            BodyFault::TooLarge => call_head::too_large(&self.plane.settings),
            BodyFault::Broken | BodyFault::Slow => carobshore_lib::prelude::Error::new(
                ResultCode::BadRequest,
                fault.to_string(),
                "send the whole body without long pauses",
            ),
        };
        Refusal {
            outcome,
            close: true,
            ..Refusal::of_request(error)
        }
    }

    /// Notes the end of the request.
    pub(crate) fn finish(&mut self, outcome: StoredOutcome) {
        self.leave_pool();
        self.attempts.clear();
        let (result, code) = self
            .done
            .unwrap_or((Outcome::MayHaveRun, ResultCode::Internal));
        let time = self.started.elapsed();
        let metrics = &self.plane.metrics;
        metrics.ended(self.head.port, &self.service.id, result, code, time);
        if let Some(key) = self.head.key.filter(|_| self.key_accepted) {
            self.service.finish_key(key, outcome);
        }
    }
}

fn stored(outcome: Outcome, code: ResultCode) -> StoredOutcome {
    match outcome {
        Outcome::Whole => StoredOutcome::Whole(None::<StoredResponse>),
        Outcome::NotRun => StoredOutcome::NotRun(code),
        Outcome::MayHaveRun => StoredOutcome::MayHaveRun(code),
    }
}
