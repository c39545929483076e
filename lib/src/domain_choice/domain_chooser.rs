//! Chooses the failure domain of each request of one service.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;

use crate::domain_choice::capacity::Capacity;
use crate::domain_choice::crossing_demand::CrossingDemand;
use crate::domain_choice::departure::Departure;
use crate::domain_choice::departure_reason::DepartureReason;
use crate::domain_choice::domain_state::DomainState;
use crate::domain_choice::spill_plan::CROWDED;
use crate::domain_choice::spill_plan::SpillPlan;
use crate::domain_choice::spill_share::SpillShare;
use crate::domain_id::DomainId;
use crate::load_report::LoadReport;
use crate::target_id::TargetId;

/// How often the share is computed.
const PLAN_INTERVAL: Duration = Duration::from_millis(100);
/// Load of the own domain, as a part of [`CROWDED`], from which the load of others is learned.
const LEARNING_LOAD: f64 = 0.9;
/// Weight of a new request in the moving average of drawn requests that left.
const LEFT_WEIGHT: f64 = 0.1;

/// Chooses the failure domain of each request of one service, for one VM.
#[derive(Debug)]
pub struct DomainChooser {
    own: DomainId,
    domains: BTreeMap<DomainId, DomainState>,
    plan: SpillPlan,
    planned: Option<Instant>,
    share: SpillShare,
    /// The part of the drawn requests that left: some are too large, or find no free slot.
    left_part: f64,
    rng: StdRng,
}

impl DomainChooser {
    /// Creates the chooser of a VM in the domain `own`; `seed` is for its random choices.
    pub fn new(own: DomainId, seed: u64) -> Self {
        Self {
            own,
            domains: BTreeMap::new(),
            plan: SpillPlan::default(),
            planned: None,
            share: SpillShare::default(),
            left_part: 1.0,
            rng: StdRng::seed_from_u64(seed),
        }
    }

    /// Records a load report of a target.
    pub fn observe_load(
        &mut self,
        now: Instant,
        domain: &DomainId,
        target: &TargetId,
        report: LoadReport,
    ) {
        self.state(domain).reports.observe(now, target, report);
    }

    /// Records the time of a health check on an open connection.
    pub fn observe_round_trip(&mut self, now: Instant, domain: &DomainId, took: Duration) {
        self.state(domain).round_trip.observe(now, took);
    }

    /// Returns whether [`Self::plan`] is due.
    pub fn is_plan_due(&self, now: Instant) -> bool {
        self.planned.is_none_or(|at| now >= at + PLAN_INTERVAL)
    }

    /// Computes the share. `targets` has the domain and the slots of each usable target, `vms` the
    /// domain of each VM. Returns the domains of which one target should be checked, because the
    /// load is not known and may be needed.
    pub fn plan<'a>(
        &mut self,
        now: Instant,
        targets: impl Iterator<Item = (&'a DomainId, u32)>,
        vms: impl Iterator<Item = &'a DomainId>,
    ) -> Vec<DomainId> {
        self.set_capacities(targets, vms);
        for state in self.domains.values_mut() {
            state.reports.expire(now);
        }
        let left = self.left();
        if let Some(own) = self.domains.get(&self.own) {
            let others = self.domains.iter().filter(|(id, _)| **id != self.own);
            self.plan = SpillPlan::new(now, own, others, left);
        }
        self.planned = Some(now);
        self.share.follow(now, self.plan.share);
        self.unknown_domains(now)
    }

    /// Returns the domain for which a request leaves by the share, and what is expected of that.
    pub fn draw(&mut self, now: Instant, demand: &CrossingDemand) -> Option<(DomainId, Departure)> {
        let drawn = self.rng.random_range(0.0..1.0) < self.share.get();
        let domain = self.pick_room().filter(|_| drawn)?;
        let own_load = self.domains.get(&self.own)?.load(now)?;
        let other = self.domains.get(&domain)?;
        let gain_ms = demand.gain_ms(own_load, other.load(now)?, other.round_trip.get());
        if gain_ms <= 0.0 {
            self.observe_departure(false);
            return None;
        }
        let departure = Departure {
            reason: DepartureReason::Share,
            gain_ms: Some(gain_ms),
        };
        Some((domain, departure))
    }

    /// Records whether a drawn request has left.
    pub fn observe_departure(&mut self, left: bool) {
        let value = f64::from(u8::from(left));
        self.left_part += LEFT_WEIGHT * (value - self.left_part);
    }

    /// Returns the share of the requests that may leave the own domain.
    pub fn share(&self) -> f64 {
        self.share.get()
    }

    /// Returns the round-trip time to a domain.
    pub fn round_trip(&self, domain: &DomainId) -> Duration {
        let state = self.domains.get(domain);
        state.map_or_else(
            || DomainState::default().round_trip.get(),
            |state| state.round_trip.get(),
        )
    }

    /// Returns the state for the dump.
    pub fn dump(&self, now: Instant) -> serde_json::Value {
        let of_one = |(id, state): (&DomainId, &DomainState)| {
            serde_json::json!({
                "domain": id,
                "own": *id == self.own,
                "load": state.load(now),
                "slots": state.capacity.slots,
                "vms": state.capacity.vms,
                "round_trip_ms": state.round_trip.get().as_secs_f64() * 1_000.0,
            })
        };
        let domains: Vec<_> = self.domains.iter().map(of_one).collect();
        serde_json::json!({ "share": self.share.get(), "left": self.left(), "domains": domains })
    }

    /// Returns the share of the requests that leave now.
    fn left(&self) -> f64 {
        self.share.get() * self.left_part
    }

    fn state(&mut self, domain: &DomainId) -> &mut DomainState {
        if !self.domains.contains_key(domain) {
            self.domains.insert(domain.clone(), DomainState::default());
        }
        self.domains.entry(domain.clone()).or_default()
    }

    fn set_capacities<'a>(
        &mut self,
        targets: impl Iterator<Item = (&'a DomainId, u32)>,
        vms: impl Iterator<Item = &'a DomainId>,
    ) {
        for state in self.domains.values_mut() {
            state.capacity = Capacity::default();
        }
        for (domain, slots) in targets {
            let capacity = &mut self.state(domain).capacity;
            capacity.slots = capacity.slots.saturating_add(slots);
            capacity.targets += 1;
        }
        for domain in vms {
            self.state(domain).capacity.vms += 1;
        }
    }

    fn unknown_domains(&mut self, now: Instant) -> Vec<DomainId> {
        let load = self.domains.get(&self.own).and_then(|own| own.load(now));
        let left = self.left();
        let demand = load.map(|load| load / (1.0 - left).max(f64::EPSILON));
        if demand.is_none_or(|demand| demand < CROWDED * LEARNING_LOAD) {
            return Vec::new();
        }
        let own = self.own.clone();
        let others = self.domains.iter_mut().filter(|(id, _)| **id != own);
        let due =
            others.filter_map(|(id, state)| state.take_learning_check(now).then(|| id.clone()));
        due.collect()
    }

    /// Draws a domain with room, with a probability in proportion to its room.
    fn pick_room(&mut self) -> Option<DomainId> {
        let total: f64 = self.plan.rooms.iter().map(|(_, room)| room).sum();
        let mut at = self.rng.random_range(0.0..1.0) * total;
        for (domain, room) in &self.plan.rooms {
            at -= room;
            if at < 0.0 {
                return Some(domain.clone());
            }
        }
        None
    }
}
