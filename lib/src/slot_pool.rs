//! The slots and the request queue of one service on one VM.

use std::time::Duration;
use std::time::Instant;

use crate::attempt_table::Attempt;
use crate::attempt_table::AttemptKind;
use crate::attempt_table::AttemptTable;
use crate::baseline::Baseline;
use crate::fair_queue::FairQueue;
use crate::hedge_budget::HedgeBudget;
use crate::measuring_budget::MeasuringBudget;
use crate::peer_table::PeerTable;
use crate::policy::Policy;
use crate::pool_action::PoolAction;
use crate::pool_counters::PoolCounters;
use crate::pool_event::AttemptId;
use crate::pool_event::AttemptResult;
use crate::pool_event::PoolEvent;
use crate::pool_rules::AGE_CHECK_INTERVAL;
use crate::pool_rules::IDLE_BEFORE_PROBE;
use crate::pool_rules::MIN_SPILL_GAIN;
use crate::pool_rules::OLD_DEVIATION;
use crate::pool_rules::PROBE_ONLY_TIME;
use crate::pool_rules::PROBE_PASS_FACTOR;
use crate::pool_rules::PROBE_SEARCH_INTERVAL;
use crate::pool_rules::SUSPECT_EVIDENCE;
use crate::pool_rules::TRIAL_TIMEOUT;
use crate::pool_settings::PoolSettings;
use crate::pool_targets::PoolTargets;
use crate::probe_deadlines::ProbeDeadlines;
use crate::result_code::ResultCode;
use crate::retry_budget::RetryBudget;
use crate::service_id::ServiceId;
use crate::target_table::TargetTable;
use crate::ticket::Ticket;
use crate::ticket::TicketId;

/// Decides when and on which target each request runs.
///
/// Under the policy `homes` the pool owns its targets' slots and never has more requests in flight
/// on a target than slots. Under the other policies it uses all targets of the service, and the
/// slots are its share of the connections to each target.
#[derive(Debug)]
pub struct SlotPool {
    service: ServiceId,
    settings: PoolSettings,
    targets: TargetTable,
    attempts: AttemptTable,
    queue: FairQueue,
    baseline: Baseline,
    peers: PeerTable,
    measuring: MeasuringBudget,
    probes: ProbeDeadlines,
    hedging: HedgeBudget,
    retries: RetryBudget,
    counters: PoolCounters,
    last_check: Instant,
    last_search: Instant,
}

impl SlotPool {
    /// Creates a pool without targets.
    pub fn new(service: ServiceId, settings: PoolSettings, now: Instant) -> Self {
        Self {
            service,
            targets: TargetTable::new(settings.seed),
            attempts: AttemptTable::default(),
            queue: FairQueue::default(),
            baseline: Baseline::new(settings.initial_time),
            peers: PeerTable::new(settings.report_age),
            measuring: MeasuringBudget::default(),
            probes: ProbeDeadlines::default(),
            hedging: HedgeBudget::new(settings.hedge_permille),
            retries: RetryBudget::new(now),
            counters: PoolCounters::default(),
            last_check: now,
            last_search: now,
            settings,
        }
    }

    /// Replaces the pool's targets and its share of the measurement budget. Requests in flight on
    /// targets that are no longer listed continue. Call this for every set of homes, in the order
    /// of the log.
    pub fn set_targets(
        &mut self,
        now: Instant,
        targets: &PoolTargets,
        actions: &mut Vec<PoolAction>,
    ) {
        let cold = self.settings.policy.owns_slots();
        self.targets.set(&targets.targets, cold);
        self.measuring
            .set_share(now, targets.budget, targets.sharers);
        let slots = targets.targets.iter().map(|target| target.slots.get());
        self.hedging.set_slots(slots.sum());
        self.advance(now, actions);
    }

    /// Handles an event and appends the resulting actions.
    pub fn handle(&mut self, now: Instant, event: PoolEvent, actions: &mut Vec<PoolAction>) {
        match event {
            PoolEvent::Submit(ticket) => self.submit(now, ticket, actions),
            PoolEvent::Cancel(ticket) => self.cancel(ticket, actions),
            PoolEvent::Finished { attempt, result } => {
                self.finished(now, attempt, result, actions);
            }
            PoolEvent::FirstByte { attempt } => self.first_byte(now, attempt, actions),
            PoolEvent::Report { target, load } => {
                if let Some(index) = self.targets.index_of(&target) {
                    let entry = self.targets.entry_mut(index);
                    let own = entry.in_flight();
                    entry.stats.report(now, load, own);
                }
            }
            PoolEvent::Drain { target } => {
                if let Some(index) = self.targets.index_of(&target) {
                    self.targets.entry_mut(index).drain();
                    self.targets.refresh(index);
                }
            }
            PoolEvent::Peer(load) => self.peers.observe(now, load),
            PoolEvent::Lease { until } => self.measuring.set_lease(until),
            PoolEvent::Tick => {}
        }
        self.advance(now, actions);
    }

    /// Runs everything that has become possible or due.
    fn advance(&mut self, now: Instant, actions: &mut Vec<PoolAction>) {
        self.check_ages(now);
        self.cancel_probes(now, actions);
        self.send_probes(now, actions);
        self.dispatch(now, actions);
        self.hedge(now, actions);
    }

    fn submit(&mut self, now: Instant, ticket: Ticket, actions: &mut Vec<PoolAction>) {
        self.counters.submitted += 1;
        if ticket.retry {
            if !self.retries.retry(now) {
                return self.reject(ticket.id, ResultCode::RetryBudgetSpent, actions);
            }
        } else if !ticket.spilled {
            // A spilled request was counted by the home that spilled it.
            self.retries.first_attempt();
        }
        let mean = self.baseline.mean();
        if now + mean >= ticket.deadline {
            return self.reject(ticket.id, ResultCode::DeadlineTooClose, actions);
        }
        if self.queue.is_empty() && self.targets.free() > 0 {
            return self.start(now, &ticket, actions);
        }
        let usable = self.targets.any_usable();
        let wait = self.expected_wait();
        let spills = !usable || wait > self.settings.spill_delay;
        if spills && self.spill(now, &ticket, actions) {
            return;
        }
        let code = if !usable {
            Some(ResultCode::NoTarget)
        } else if self.queue.len() >= self.settings.queue_limit {
            Some(ResultCode::QueueFull)
        } else if now + wait + mean >= ticket.deadline {
            Some(ResultCode::DeadlineTooClose)
        } else {
            None
        };
        match code {
            Some(code) => self.reject(ticket.id, code, actions),
            None => {
                let expiry = ticket.deadline.checked_sub(mean).unwrap_or(now);
                self.queue.push(ticket, expiry);
            }
        }
    }

    /// Returns the maximum queue length of another home at which a spill shortens the wait enough,
    /// or `None` if no length does. Homes have about equal numbers of slots, so this home's number
    /// is used for theirs.
    fn max_peer_queue(&self) -> Option<u32> {
        let mean = self.baseline.mean().as_secs_f64();
        let gain = self.expected_wait().as_secs_f64() - mean * MIN_SPILL_GAIN;
        let max = gain / mean * f64::from(self.targets.configured());
        (max > 0.0).then_some(max as u32)
    }

    /// Returns the expected wait of a request at the end of the queue.
    fn expected_wait(&self) -> Duration {
        let slots = self.targets.slots().max(1);
        let ahead = u32::try_from(self.queue.len()).unwrap_or(u32::MAX);
        self.baseline.mean() * ahead.saturating_add(1) / slots
    }

    fn reject(&mut self, ticket: TicketId, code: ResultCode, actions: &mut Vec<PoolAction>) {
        self.counters.rejected += 1;
        actions.push(PoolAction::Reject { ticket, code });
    }

    fn spill(&mut self, now: Instant, ticket: &Ticket, actions: &mut Vec<PoolAction>) -> bool {
        if ticket.spilled || !self.settings.policy.owns_slots() {
            return false;
        }
        let free = self
            .peers
            .take_free(now)
            .or_else(|| self.peers.take_outdated(now));
        let vm = free.or_else(|| {
            let max = self.max_peer_queue()?;
            self.peers.take_shortest_queue(now, max)
        });
        if let Some(vm) = &vm {
            self.counters.spilled += 1;
            let (ticket, vm) = (ticket.id, vm.clone());
            actions.push(PoolAction::Spill { ticket, vm });
        }
        vm.is_some()
    }

    /// Starts a request on a free target, or on an ejected one as its trial.
    fn start(&mut self, now: Instant, ticket: &Ticket, actions: &mut Vec<PoolAction>) {
        let trial = ticket.repeatable.then(|| self.overdue_trial(now)).flatten();
        let policy = self.settings.policy;
        let target = trial.or_else(|| self.targets.choose(now, policy, &self.baseline, None));
        let Some(target) = target else {
            return self.reject(ticket.id, ResultCode::NoTarget, actions);
        };
        let attempt = self.start_on(now, ticket, target, actions);
        if trial.is_some() {
            self.targets.entry_mut(target).start_trial(attempt);
            self.counters.trials += 1;
        }
    }

    fn start_on(
        &mut self,
        now: Instant,
        ticket: &Ticket,
        target: usize,
        actions: &mut Vec<PoolAction>,
    ) -> AttemptId {
        let kind = AttemptKind::First {
            ticket: ticket.id,
            caller: ticket.caller,
        };
        let attempt = self.start_attempt(now, target, kind, ticket.repeatable);
        self.counters.started += 1;
        actions.push(PoolAction::Start {
            ticket: ticket.id,
            attempt,
            target: self.targets.entry(target).id.clone(),
        });
        attempt
    }

    fn start_attempt(
        &mut self,
        now: Instant,
        target: usize,
        kind: AttemptKind,
        hedge: bool,
    ) -> AttemptId {
        let attempt = Attempt {
            kind,
            target,
            started: now,
            first_byte: None,
            cancelled: false,
        };
        let id = self.attempts.insert(attempt, hedge);
        self.targets.entry_mut(target).attempts.push(id);
        self.targets.refresh(target);
        id
    }

    fn cancel(&mut self, ticket: TicketId, actions: &mut Vec<PoolAction>) {
        if self.queue.remove(ticket).is_some() {
            self.counters.cancelled += 1;
            return;
        }
        let copies = self.attempts.cancel_copies(ticket, None);
        actions.extend(
            copies
                .into_iter()
                .map(|attempt| PoolAction::Cancel { attempt }),
        );
    }

    fn first_byte(&mut self, now: Instant, id: AttemptId, actions: &mut Vec<PoolAction>) {
        let attempt = self.attempts.first_byte(now, id);
        if let Some(ticket) = attempt.and_then(|attempt| attempt.kind.ticket()) {
            self.cancel_losers(ticket, id, actions);
        }
    }

    /// Cancels the other copy of a request after the response of `winner` has started.
    fn cancel_losers(
        &mut self,
        ticket: TicketId,
        winner: AttemptId,
        actions: &mut Vec<PoolAction>,
    ) {
        let losers = self.attempts.cancel_copies(ticket, Some(winner));
        actions.extend(
            losers
                .into_iter()
                .map(|attempt| PoolAction::Cancel { attempt }),
        );
    }

    fn finished(
        &mut self,
        now: Instant,
        id: AttemptId,
        result: AttemptResult,
        actions: &mut Vec<PoolAction>,
    ) {
        let Some(attempt) = self.attempts.remove(id) else {
            self.counters.unknown += 1;
            return;
        };
        let index = attempt.target;
        let entry = self.targets.entry_mut(index);
        entry.attempts.retain(|other| *other != id);
        entry.last_ended = Some(now);
        match attempt.kind {
            AttemptKind::First { ticket, caller } => {
                self.finished_request(now, id, &attempt, result);
                if result == AttemptResult::Done {
                    let elapsed = now.saturating_duration_since(attempt.started);
                    let relative = elapsed.as_secs_f64() / self.baseline.mean().as_secs_f64();
                    self.queue.record_cost(caller, relative);
                    self.cancel_losers(ticket, id, actions);
                }
            }
            AttemptKind::Hedge { ticket, charge } => {
                self.hedging.settle(now, charge);
                self.finished_request(now, id, &attempt, result);
                if result == AttemptResult::Done {
                    self.cancel_losers(ticket, id, actions);
                }
            }
            AttemptKind::Probe { charge } => {
                let elapsed = now.saturating_duration_since(attempt.started);
                self.measuring.settle(now, charge, elapsed);
                self.counters.probe_micros += micros(elapsed);
                self.probes.end(id);
                let passes = elapsed <= self.settings.probe_cost * PROBE_PASS_FACTOR;
                let entry = self.targets.entry_mut(index);
                match (attempt.cancelled, entry.trial() == Some(id)) {
                    (false, _) => entry.finished_probe(now, id, result, passes),
                    (true, true) => entry.finished_probe(now, id, AttemptResult::TimedOut, false),
                    // The granted time may be too short for a verdict on a target in service.
                    (true, false) => {}
                }
            }
        }
        self.targets.refresh(index);
        if self.targets.entry(index).outlier.exceeds_limit(0.0) {
            self.eject_outliers(now);
        }
    }

    fn eject_outliers(&mut self, now: Instant) {
        if !self.settings.policy.detects_outliers() {
            return;
        }
        let divisor = self.settings.eject_divisor;
        let changed = self
            .targets
            .eject_outliers(now, &self.attempts, &mut self.baseline, divisor);
        self.counters.ejections += u64::from(changed);
    }

    /// Updates the target's state and the baseline at the end of a request's attempt.
    fn finished_request(
        &mut self,
        now: Instant,
        id: AttemptId,
        attempt: &Attempt,
        result: AttemptResult,
    ) {
        let total = now.saturating_duration_since(attempt.started);
        let answered = attempt.first_byte.unwrap_or(now);
        let time = answered.saturating_duration_since(attempt.started);
        let normal = self.targets.entry_mut(attempt.target).finished_request(
            now,
            id,
            result,
            time,
            attempt.first_byte.is_some(),
            &self.baseline,
        );
        if normal {
            self.baseline.observe(time, total);
        }
    }

    /// Rejects queued requests that are too late, starts others on free and standby targets, and
    /// spills some of the rest.
    fn dispatch(&mut self, now: Instant, actions: &mut Vec<PoolAction>) {
        while let Some(ticket) = self.queue.pop_expired(now) {
            self.reject(ticket.id, ResultCode::DeadlineTooClose, actions);
        }
        while self.targets.free() > 0
            && let Some(ticket) = self.queue.pop()
        {
            self.start(now, &ticket, actions);
        }
        while !self.queue.is_empty()
            && let Some(index) =
                self.targets
                    .choose_standby(now, &self.baseline, self.expected_wait())
            && let Some(ticket) = self.queue.pop()
        {
            self.start_on(now, &ticket, index, actions);
        }
        if self.queue.is_empty() {
            return;
        }
        if !self.targets.any_usable() {
            return self.abandon_queue(now, actions);
        }
        while self.expected_wait() > self.settings.spill_delay
            && self.queue.has_spillable()
            && let Some(vm) = self
                .peers
                .take_free(now)
                .or_else(|| self.peers.take_outdated(now))
            && let Some(ticket) = self.queue.pop_spillable()
        {
            self.counters.spilled += 1;
            let ticket = ticket.id;
            actions.push(PoolAction::Spill { ticket, vm });
        }
    }

    fn abandon_queue(&mut self, now: Instant, actions: &mut Vec<PoolAction>) {
        while let Some(ticket) = self.queue.pop() {
            if !self.spill(now, &ticket, actions) {
                self.reject(ticket.id, ResultCode::NoTarget, actions);
            }
        }
    }

    /// Checks the ages of requests in flight, because a target that has stopped sends no responses
    /// from which it could be detected.
    fn check_ages(&mut self, now: Instant) {
        if now < self.last_check + AGE_CHECK_INTERVAL {
            return;
        }
        self.last_check = now;
        let oldest = self.attempts.by_age().next();
        let old = oldest.is_some_and(|(_, attempt)| {
            let age = now.saturating_duration_since(attempt.started);
            self.baseline.deviation(age) > OLD_DEVIATION
        });
        if old {
            self.eject_outliers(now);
        }
    }

    /// Sends probes to ejected targets whose trial is due, then to the target that has been idle
    /// for longest.
    fn send_probes(&mut self, now: Instant, actions: &mut Vec<PoolAction>) {
        if now < self.last_search + PROBE_SEARCH_INTERVAL {
            return;
        }
        self.last_search = now;
        self.peers.remove_old(now);
        let due: Vec<usize> = self.targets.due_trials(now).collect();
        for index in due {
            if self.targets.entry(index).trial_overdue(now, TRIAL_TIMEOUT) {
                self.targets.entry_mut(index).readmit(now);
                self.targets.refresh(index);
            } else if let Some(attempt) = self.probe(now, index, actions) {
                self.targets.entry_mut(index).start_trial(attempt);
            }
        }
        if let Some(index) = self.targets.longest_idle(now, IDLE_BEFORE_PROBE) {
            self.probe(now, index, actions);
        }
    }

    fn probe(
        &mut self,
        now: Instant,
        target: usize,
        actions: &mut Vec<PoolAction>,
    ) -> Option<AttemptId> {
        let cost = self.settings.probe_cost;
        let (min, max) = (cost + cost / 2, cost * PROBE_PASS_FACTOR);
        let Some((charge, granted)) = self.measuring.charge(now, min, max) else {
            self.counters.probes_refused += 1;
            return None;
        };
        let attempt = self.start_attempt(now, target, AttemptKind::Probe { charge }, false);
        self.probes.start(attempt, now + granted);
        self.counters.probes += 1;
        let target = self.targets.entry(target).id.clone();
        actions.push(PoolAction::Probe { attempt, target });
        Some(attempt)
    }

    /// Cancels probes that have used up their granted target time.
    fn cancel_probes(&mut self, now: Instant, actions: &mut Vec<PoolAction>) {
        for attempt in self.probes.take_due(now) {
            if self.attempts.cancel(attempt) {
                actions.push(PoolAction::Cancel { attempt });
            }
        }
    }

    fn overdue_trial(&self, now: Instant) -> Option<usize> {
        let mut due = self.targets.due_trials(now);
        due.find(|index| {
            self.targets
                .entry(*index)
                .trial_overdue(now, PROBE_ONLY_TIME)
        })
    }

    /// Sends second copies of idempotent requests that take longer than the 95th percentile. Queued
    /// requests take precedence.
    fn hedge(&mut self, now: Instant, actions: &mut Vec<PoolAction>) {
        let policy = self.settings.policy;
        if policy == Policy::Random {
            return;
        }
        let tail = self.baseline.tail();
        while self.queue.is_empty() && self.targets.free() > 0 {
            let late = self
                .attempts
                .hedgeable()
                .take_while(|(_, attempt)| attempt.started + tail <= now);
            let due = |(_, attempt): &(AttemptId, &Attempt)| {
                let suspected = !policy.owns_slots()
                    || self.targets.entry(attempt.target).outlier.sum() >= SUSPECT_EVIDENCE;
                suspected || attempt.started + tail * 2 <= now
            };
            let Some((first, attempt)) = late.into_iter().find(due) else {
                return;
            };
            let AttemptKind::First { ticket, .. } = attempt.kind else {
                return;
            };
            let except = Some(attempt.target);
            let Some(target) = self.targets.choose(now, policy, &self.baseline, except) else {
                return;
            };
            let Some(charge) = self.hedging.charge(now, self.baseline.mean()) else {
                return;
            };
            self.attempts.mark_not_hedgeable(first);
            let kind = AttemptKind::Hedge { ticket, charge };
            let attempt = self.start_attempt(now, target, kind, false);
            self.counters.hedges += 1;
            actions.push(PoolAction::Hedge {
                ticket,
                attempt,
                target: self.targets.entry(target).id.clone(),
            });
        }
    }

    /// Returns when `PoolEvent::Tick` is due.
    pub fn wakeup(&self) -> Option<Instant> {
        let hedge = self.attempts.hedgeable().next();
        let hedge = hedge.map(|(_, attempt)| attempt.started + self.baseline.tail());
        // A hedge that is already due is waiting for a slot or for budget; check again later.
        let hedge = hedge.map(|due| due.max(self.last_check + AGE_CHECK_INTERVAL));
        let check = (!self.attempts.is_empty()).then(|| self.last_check + AGE_CHECK_INTERVAL);
        // For most services this VM is not a home; their pools must not cause any wake-ups.
        let searches = self.measuring.has_share() && self.targets.any_usable();
        let search = (searches || self.targets.any_ejected())
            .then(|| self.last_search + PROBE_SEARCH_INTERVAL);
        let queue = self.queue.next_expiry();
        let times = [queue, self.probes.next(), hedge, check, search];
        times.into_iter().flatten().min()
    }

    /// Returns the numbers of free slots and of queued requests, for `PeerLoad`.
    pub fn load(&self) -> (u32, u32) {
        let queued = u32::try_from(self.queue.len()).unwrap_or(u32::MAX);
        (self.targets.free(), queued)
    }

    /// Returns this VM's share of the measurement budget, as target time per second.
    pub fn measuring_share(&self) -> Duration {
        self.measuring.share()
    }

    /// Returns the counters since the pool was created.
    pub fn counters(&self) -> &PoolCounters {
        &self.counters
    }

    /// Returns the pool's state for the dump.
    pub fn dump(&self, now: Instant) -> serde_json::Value {
        serde_json::json!({
            "service": self.service,
            "policy": self.settings.policy,
            "targets": self.targets.dump(now, &self.baseline),
            "in_flight": self.attempts.len(),
            "free": self.targets.free(),
            "queued": self.queue.len(),
            "queued_callers": self.queue.callers(),
            "mean_us": micros(self.baseline.mean()),
            "hedge_after_us": micros(self.baseline.tail()),
            "retries_available": self.retries.available(),
            "measuring": self.measuring.dump(now),
            "counters": self.counters,
        })
    }
}

fn micros(time: Duration) -> u64 {
    u64::try_from(time.as_micros()).unwrap_or(u64::MAX)
}
