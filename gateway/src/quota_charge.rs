//! What one request takes from the quota of its organisation.

use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use carobshore_lib::access::organisation_id::OrganisationId;
use carobshore_lib::quota::quota_token::QuotaToken;
use tokio::time::timeout;

use crate::access::Grant;
use crate::failed_call::FailedCall;
use crate::gateway::Gateway;
use crate::quota_client;
use crate::quota_server;
use crate::reply::Refusal;

/// How long a second copy waits for its token. The first one is not looked after meanwhile.
const QUICK: Duration = Duration::from_millis(20);

/// The tokens of one request. Nothing is taken if the request belongs to no organisation, or that has no
/// quota. A token that was not spent goes back when this is dropped.
pub(crate) struct QuotaCharge {
    gateway: Rc<Gateway>,
    organisation: Option<OrganisationId>,
    /// The token of the next attempt.
    token: Option<QuotaToken>,
    /// The tokens of the attempts that may run, or have run.
    spent: Vec<QuotaToken>,
    /// Whether the request has been counted in the metrics.
    counted: bool,
}

impl QuotaCharge {
    /// Creates the charge of a request that has taken nothing yet.
    pub(crate) fn new(gateway: Rc<Gateway>, grant: Option<&Grant>) -> Self {
        let limited = grant.and_then(|grant| grant.organisation.as_ref());
        let limited = limited.filter(|organisation| organisation.quota.is_some());
        Self {
            gateway,
            organisation: limited.map(|organisation| organisation.id.clone()),
            token: None,
            spent: Vec::new(),
            counted: false,
        }
    }

    /// Takes a token for the next attempt, unless a valid one is at hand.
    pub(crate) async fn take(&mut self) -> Result<(), FailedCall> {
        let Some(organisation) = &self.organisation else {
            return Ok(());
        };
        let now = Instant::now();
        if self.token.is_some_and(|token| token.is_valid(now)) {
            return Ok(());
        }
        self.token = None;
        // The quota may have ended since the request arrived.
        let Some((_, bounds)) = quota_server::limit(&self.gateway, organisation) else {
            return Ok(());
        };
        let taken = quota_client::take(&self.gateway, organisation, &bounds).await;
        if !std::mem::replace(&mut self.counted, true) {
            let outcome = match &taken {
                Ok(_) => "within",
                Err(failed) if failed.refusal == Refusal::QuotaExceeded => "over",
                Err(_) => "unknown",
            };
            quota_client::count(&self.gateway, organisation, outcome);
        }
        self.token = Some(taken?);
        Ok(())
    }

    /// Takes a token for a second copy, if one can be had in a short time. Returns whether the copy may
    /// be sent.
    pub(crate) async fn take_quickly(&mut self) -> bool {
        matches!(timeout(QUICK, self.take()).await, Ok(Ok(())))
    }

    /// Spends the token on an attempt, and returns until when that must have been sent.
    pub(crate) fn spend(&mut self) -> Option<Instant> {
        let token = self.token.take()?;
        self.spent.push(token);
        Some(token.expires)
    }

    /// Takes back the token of an attempt that has not run. If there are several, it is the one that
    /// expires first.
    pub(crate) fn not_run(&mut self) {
        let first = (0..self.spent.len()).min_by_key(|index| self.spent[*index]);
        if let Some(first) = first {
            let token = self.spent.swap_remove(first);
            self.give_back();
            self.token = Some(token);
        }
    }

    fn give_back(&mut self) {
        let (Some(organisation), Some(token)) = (&self.organisation, self.token.take()) else {
            return;
        };
        if let Some((_, bounds)) = quota_server::limit(&self.gateway, organisation) {
            quota_client::give_back(&self.gateway, organisation, &bounds, token);
        }
    }
}

impl Drop for QuotaCharge {
    fn drop(&mut self) {
        self.give_back();
    }
}
