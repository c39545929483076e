//! The canonical encoding over which digests are computed.

use sha2::Digest;
use sha2::Sha256;

use crate::call_kind::CallKind;
use crate::change::Change;
use crate::configured_route::ConfiguredRoute;
use crate::plan_digest::PlanDigest;
use crate::route_rule::RouteRule;
use crate::service::Service;
use crate::target::Target;
use crate::target::TargetState;

/// Hashes values in an encoding that does not depend on a serializer.
///
/// The operators' client and VMs, which may run different releases, compare their digests, so a new
/// optional field in a JSON format must not change them. Strings are prefixed with their length, so
/// that different sequences never encode to the same bytes.
#[derive(Clone, Debug)]
pub(crate) struct Canonical(Sha256);

impl Canonical {
    /// Starts an encoding; `format` distinguishes digests that are used for different purposes.
    pub(crate) fn new(format: &str) -> Self {
        let mut this = Self(Sha256::new());
        this.text(format);
        this
    }

    /// Adds a string.
    pub(crate) fn text(&mut self, text: &str) {
        self.number(text.len() as u64);
        self.0.update(text.as_bytes());
    }

    /// Adds a number.
    pub(crate) fn number(&mut self, number: u64) {
        self.0.update(number.to_be_bytes());
    }

    /// Adds a service, or its absence.
    pub(crate) fn service(&mut self, service: Option<&Service>) {
        let Some(service) = service else {
            self.number(0);
            return;
        };
        self.number(1);
        self.number(service.version.0);
        self.number(service.measuring.0);
        self.number(u64::from(service.connections));
        self.number(service.targets.len() as u64);
        for (id, target) in &service.targets {
            self.text(id.as_str());
            self.target(target);
        }
    }

    /// Adds a route, or its absence.
    pub(crate) fn route(&mut self, route: Option<&ConfiguredRoute>) {
        let Some(route) = route else {
            self.number(0);
            return;
        };
        self.number(1);
        self.number(route.version.0);
        self.rule(&route.rule);
    }

    fn rule(&mut self, rule: &RouteRule) {
        self.text(&rule.host);
        self.text(&rule.prefix);
        self.number(match rule.kind {
            CallKind::Safe => 0,
            CallKind::Unsafe => 1,
            CallKind::Upload => 2,
        });
        for time in [rule.timeout, rule.latency] {
            self.number(time.as_secs());
            self.number(u64::from(time.subsec_nanos()));
        }
        self.number(u64::from(rule.priority));
        self.number(u64::from(rule.attempts));
        self.number(rule.parts.len() as u64);
        for part in &rule.parts {
            self.text(part.service.as_str());
            self.number(u64::from(part.weight));
        }
    }

    fn target(&mut self, target: &Target) {
        self.text(&target.addr.to_string());
        self.text(target.domain.as_str());
        self.number(u64::from(target.slots.get()));
        self.number(target.generation);
        self.number(match target.state {
            TargetState::Serving => 0,
            TargetState::Leaving => 1,
        });
    }

    /// Adds one change of an intent.
    pub(crate) fn change(&mut self, change: &Change) {
        self.text(&change.item().to_string());
        match change {
            Change::AddService {
                measuring,
                connections,
                ..
            } => {
                self.number(0);
                self.number(measuring.0);
                self.number(u64::from(*connections));
            }
            Change::RemoveService { .. } => self.number(1),
            Change::SetMeasuring { measuring, .. } => {
                self.number(2);
                self.number(measuring.0);
            }
            Change::SetConnections { connections, .. } => {
                self.number(3);
                self.number(u64::from(*connections));
            }
            Change::AddTarget {
                target,
                addr,
                domain,
                slots,
                ..
            } => {
                self.number(4);
                self.text(target.as_str());
                self.text(&addr.to_string());
                self.text(domain.as_str());
                self.number(u64::from(slots.get()));
            }
            Change::RemoveTarget { target, .. } => {
                self.number(5);
                self.text(target.as_str());
            }
            Change::MarkLeaving { target, .. } => {
                self.number(6);
                self.text(target.as_str());
            }
            Change::SetSlots { target, slots, .. } => {
                self.number(7);
                self.text(target.as_str());
                self.number(u64::from(slots.get()));
            }
            Change::SetRoute { rule, .. } => {
                self.number(8);
                self.rule(rule);
            }
            Change::RemoveRoute { .. } => self.number(9),
        }
    }

    /// Returns the digest of everything that was added.
    pub(crate) fn finish(self) -> PlanDigest {
        PlanDigest(self.0.finalize().into())
    }
}
