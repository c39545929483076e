//! The quotas of all organisations at one VM, as owner and as the VM that serves callers.

use std::collections::HashMap;
use std::time::Duration;
use std::time::Instant;

use crate::access::organisation_id::OrganisationId;
use crate::access::quota::Quota;
use crate::domain_id::DomainId;
use crate::preferred_targets;
use crate::quota::owner_answer::OwnerAnswer;
use crate::quota::owner_bucket::OwnerBucket;
use crate::quota::owner_pools::Owner;
use crate::quota::owner_pools::OwnerPools;
use crate::quota::owner_terms::OwnerTerms;
use crate::quota::quota_account::QuotaAccount;
use crate::quota::quota_bounds::QuotaBounds;
use crate::quota::token_count::TokenCount;
use crate::quota::token_counters::TokenCounters;
use crate::vm_roster::VmRoster;

/// How long a VM that a new list makes an owner grants nothing: meanwhile other VMs may ask the owner
/// of the old list. Connected VMs learn of a new list within a few seconds.
const HANDOVER: Duration = Duration::from_secs(10);
/// How long an owner grants tokens after another VM, or the store, has last told a list that adds nothing to
/// its own. One that is cut off stops before the owner by a later list begins, which is after [`HANDOVER`], and
/// its last tokens have expired by then.
const LIST_LEASE: Duration = Duration::from_secs(8);
/// An account without requests is dropped after this time.
const IDLE: Duration = Duration::from_secs(60);

/// The quotas of all organisations at one VM.
#[derive(Debug)]
pub struct QuotaTable {
    /// The name of this VM, and its failure domain.
    me: Box<str>,
    domain: DomainId,
    /// Whether VMs that have not started since this one registered do not know it.
    is_new: bool,
    /// When other VMs that are connected know this one, if it is new.
    known_from: Option<Instant>,
    /// When this VM last learned that its list lacks no VM; nothing before it has a list.
    covered: Option<Instant>,
    /// Whether the list names other VMs.
    has_others: bool,
    pools: OwnerPools,
    /// Lists that other VMs may still use, and until when.
    earlier: Vec<(Instant, OwnerPools)>,
    accounts: HashMap<OrganisationId, QuotaAccount>,
    buckets: HashMap<OrganisationId, OwnerBucket>,
}

impl QuotaTable {
    /// Creates the table of the VM `me`, which knows no list of VMs yet.
    pub fn new(me: &str, domain: DomainId) -> Self {
        Self {
            me: me.into(),
            domain,
            is_new: true,
            known_from: None,
            covered: None,
            has_others: false,
            pools: OwnerPools::default(),
            earlier: Vec::new(),
            accounts: HashMap::new(),
            buckets: HashMap::new(),
        }
    }

    /// Sets the list of VMs. `is_new` says whether other VMs may not know this one.
    pub fn set_roster(&mut self, now: Instant, roster: &VmRoster, is_new: bool) {
        let pools = OwnerPools::new(roster);
        self.is_new = is_new;
        self.covered = Some(now);
        self.has_others = roster.iter().any(|vm| vm.name != self.me);
        if pools == self.pools {
            return;
        }
        self.known_from = None;
        let before = std::mem::replace(&mut self.pools, pools);
        self.earlier.retain(|(until, _)| *until > now);
        if !before.is_empty() {
            self.earlier.push((now + HANDOVER, before));
        }
        for (organisation, account) in &mut self.accounts {
            account.set_owners(order(&self.pools, (&self.me, &self.domain), organisation));
        }
    }

    /// Records that another VM, which [may confirm](Self::may_confirm) it, has the same list. A VM that is new may own quotas some time after that;
    /// until then others may ask the owners of an older list.
    pub fn list_confirmed(&mut self, now: Instant) {
        self.known_from.get_or_insert(now + HANDOVER);
        self.list_covered(now);
    }

    /// Records that another VM, or the store, lists no VM that this one does not know.
    pub fn list_covered(&mut self, now: Instant) {
        self.covered = self.covered.max(Some(now));
    }

    /// Returns whether this VM may confirm the lists of others: it is not new, or a VM that may has confirmed its
    /// own. New VMs that confirm each other would begin to grant before the others know them.
    pub fn may_confirm(&self) -> bool {
        !self.is_new || self.known_from.is_some()
    }

    /// Grants tokens as an owner. Returns [`OwnerAnswer::NotOwner`] if this VM is none.
    pub fn grant(
        &mut self,
        now: Instant,
        organisation: &OrganisationId,
        (quota, bounds): (Quota, &QuotaBounds),
        want: TokenCount,
    ) -> OwnerAnswer {
        let Some(owners) = self.owners_with_me(now, organisation) else {
            self.buckets.remove(organisation);
            return OwnerAnswer::NotOwner;
        };
        let terms = OwnerTerms::new(quota, bounds, owners);
        if let Some(bucket) = self.buckets.get_mut(organisation) {
            return bucket.take(now, terms, want);
        }
        let mut bucket = OwnerBucket::new(now, terms);
        let answer = bucket.take(now, terms, want);
        self.buckets.insert(organisation.clone(), bucket);
        answer
    }

    /// Returns the account of an organisation.
    pub fn account(
        &mut self,
        now: Instant,
        organisation: &OrganisationId,
        bounds: &QuotaBounds,
    ) -> &mut QuotaAccount {
        let Self {
            pools,
            me,
            domain,
            accounts,
            ..
        } = self;
        accounts.entry(organisation.clone()).or_insert_with(|| {
            let owners = order(pools, (me, domain), organisation);
            QuotaAccount::new(now, bounds.lifetime(), owners)
        })
    }

    /// Drops the accounts of organisations that send nothing, and the buckets of those that are not
    /// `limited` any more. Calls `count` with what has been counted for each account.
    pub fn sweep(
        &mut self,
        now: Instant,
        limited: impl Fn(&OrganisationId) -> bool,
        mut count: impl FnMut(&OrganisationId, TokenCounters),
    ) {
        for (organisation, account) in &mut self.accounts {
            account.drop_expired(now);
            count(organisation, account.take_counters());
        }
        self.accounts.retain(|_, account| account.idle(now) < IDLE);
        self.buckets.retain(|organisation, _| limited(organisation));
    }

    /// Returns all accounts.
    pub fn accounts(&self) -> impl Iterator<Item = (&OrganisationId, &QuotaAccount)> {
        self.accounts.iter()
    }

    /// Returns the buckets of the organisations whose quotas this VM owns and has been asked for.
    pub fn buckets(&self) -> impl Iterator<Item = (&OrganisationId, &OwnerBucket)> {
        self.buckets.iter()
    }

    /// Returns how long ago this VM learned that its list lacks no VM; nothing before it has a list.
    pub fn list_age(&self, now: Instant) -> Option<Duration> {
        Some(now.saturating_duration_since(self.covered?))
    }

    /// Returns the name of this VM.
    pub fn me(&self) -> &str {
        &self.me
    }

    /// Returns the number of owners of the quota if this VM is one by all lists that VMs may use now.
    fn owners_with_me(&self, now: Instant, organisation: &OrganisationId) -> Option<usize> {
        if self.is_new && self.known_from.is_none_or(|from| now < from) || !self.has_lease(now) {
            return None;
        }
        let owners = self.pools.owners(organisation);
        let earlier = self.earlier.iter().filter(|(until, _)| *until > now);
        let mut lists = vec![owners];
        lists.extend(earlier.map(|(_, pools)| pools.owners(organisation)));
        let is_owner = lists.iter().all(|owners| self.has_me(owners));
        // Owners by an earlier list may still grant their parts of it.
        let most = lists.iter().map(Vec::len).max();
        most.filter(|_| is_owner)
    }

    /// Returns whether the list is recent enough to grant tokens by it. A VM that knows no other one cannot
    /// hear of any.
    fn has_lease(&self, now: Instant) -> bool {
        let is_recent = |covered| now.saturating_duration_since(covered) < LIST_LEASE;
        !self.has_others || self.covered.is_some_and(is_recent)
    }

    fn has_me(&self, owners: &[&Owner]) -> bool {
        owners.iter().any(|owner| owner.name == self.me)
    }
}

/// Returns the owners in the order in which `me` asks them: the one in its own failure domain first,
/// then the others in an order that differs between VMs, so that each of them gets as many questions.
fn order(
    pools: &OwnerPools,
    (me, domain): (&str, &DomainId),
    organisation: &OrganisationId,
) -> Vec<Owner> {
    let mut owners: Vec<Owner> = pools.owners(organisation).into_iter().cloned().collect();
    owners.sort_by_key(|owner| {
        let is_remote = owner.domain != *domain;
        (is_remote, preferred_targets::rank(me, &owner.name))
    });
    owners
}
