//! Which targets a search considers.

use crate::domain_id::DomainId;

/// Largest number of targets that a request queries which its own domain would refuse. When all
/// domains are full, each refusal would otherwise cost as many checks as a search.
const LAST_RESORT_TARGETS: usize = 4;

/// Which targets a search considers, among those that the request may use at all.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub enum SearchScope {
    /// All of them.
    #[default]
    All,
    /// Those of the own failure domain, or all if it has none.
    Own,
    /// Those of one other domain.
    Domain(DomainId),
    /// Those of all other domains.
    Elsewhere,
}

impl SearchScope {
    /// Keeps the targets that are in the scope. `local` and `domain` tell where a target is.
    pub fn retain<T>(
        &self,
        targets: &mut Vec<T>,
        local: impl Fn(&T) -> bool,
        domain: impl Fn(&T) -> &DomainId,
    ) {
        match self {
            Self::All => {}
            Self::Own if targets.iter().any(&local) => targets.retain(&local),
            Self::Own => {}
            Self::Domain(wanted) => targets.retain(|target| domain(target) == wanted),
            Self::Elsewhere => targets.retain(|target| !local(target)),
        }
    }

    /// Returns whether the number of queried targets follows from the worth of a further check.
    pub fn weighs_checks(&self) -> bool {
        *self != Self::All
    }

    /// Returns the largest number of targets to query, given the usual one.
    pub fn max_queried(&self, usual: usize) -> usize {
        match self {
            Self::Elsewhere => usual.min(LAST_RESORT_TARGETS),
            Self::All | Self::Own | Self::Domain(_) => usual,
        }
    }
}
