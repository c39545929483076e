//! The organisations that have metrics of their own.

use std::collections::BTreeSet;
use std::sync::Arc;

use crate::access::organisation::Organisation;
use crate::access::organisation_id::OrganisationId;

/// The number of organisations with metrics of their own. Each series costs memory here and in the
/// system that collects them.
const MAX_NAMED: usize = 16;
/// What all others are counted as.
const OTHER: &str = "other";

/// The organisations with the largest quotas, which have metrics of their own.
#[derive(Clone, Debug, Default)]
pub struct LargestOrganisations {
    named: BTreeSet<OrganisationId>,
}

impl LargestOrganisations {
    /// Chooses the largest ones while there are fewer than have a place. The choice stays until the
    /// process ends, because a series that ends and begins again looks like a restart.
    pub fn choose<'a>(&mut self, all: impl Iterator<Item = &'a Arc<Organisation>>) {
        if self.named.len() >= MAX_NAMED {
            return;
        }
        let mut limited: Vec<_> = all
            .filter_map(|organisation| Some((organisation.quota?.rate.per_second(), organisation)))
            .collect();
        limited.sort_by(|(a, x), (b, y)| b.total_cmp(a).then_with(|| x.id.cmp(&y.id)));
        for (_, organisation) in limited {
            if self.named.len() < MAX_NAMED {
                self.named.insert(organisation.id.clone());
            }
        }
    }

    /// Returns the name under which an organisation is counted.
    pub fn label<'a>(&self, organisation: &'a OrganisationId) -> &'a str {
        match self.named.contains(organisation) {
            true => organisation.as_str(),
            false => OTHER,
        }
    }
}
