//! The organisations of a configuration, looked up by the keys of requests.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::sync::Arc;

use crate::access::key_hash::KeyHash;
use crate::access::organisation::Organisation;
use crate::access::organisation_id::OrganisationId;
use crate::access::presented_key::PresentedKey;
use crate::prelude::Error;
use crate::prelude::Result;
use crate::result_code::ResultCode;

/// An organisation with the hashes of its keys.
pub type KeyHolder = (Organisation, Vec<KeyHash>);

/// The request carries no key of any organisation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct UnknownKey;

/// The organisations of one version of the configuration.
///
/// A look-up takes one hash and one access to a table, however many organisations there are.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct AccessTable {
    holders: HashMap<KeyHash, Arc<Organisation>>,
    organisations: BTreeMap<OrganisationId, Arc<Organisation>>,
}

impl TryFrom<Vec<KeyHolder>> for AccessTable {
    type Error = Error;

    /// Fails if two organisations have the same id or share a key: it would be unknown to whom a
    /// request belongs.
    fn try_from(holders: Vec<KeyHolder>) -> Result<Self> {
        let mut table = Self::default();
        for (organisation, keys) in holders {
            table.add(Arc::new(organisation), keys)?;
        }
        Ok(table)
    }
}

impl AccessTable {
    /// Returns the organisation to which a request belongs. A request of a public route needs no
    /// key, but one with a known key counts as its holder's.
    pub fn authorise(
        &self,
        key: PresentedKey,
        public: bool,
    ) -> std::result::Result<Option<Arc<Organisation>>, UnknownKey> {
        let holder = match key {
            PresentedKey::Hash(hash) => self.holders.get(&hash).map(Arc::clone),
            PresentedKey::None | PresentedKey::Invalid => None,
        };
        match holder {
            None if !public => Err(UnknownKey),
            holder => Ok(holder),
        }
    }

    /// Returns an organisation.
    pub fn get(&self, id: &OrganisationId) -> Option<&Arc<Organisation>> {
        self.organisations.get(id)
    }

    /// Returns the hashes of an organisation's keys, in order.
    pub fn keys_of(&self, id: &OrganisationId) -> Vec<KeyHash> {
        let own = self.holders.iter().filter(|(_, holder)| holder.id == *id);
        let mut keys: Vec<KeyHash> = own.map(|(hash, _)| *hash).collect();
        keys.sort_unstable();
        keys
    }

    /// Returns all organisations, ordered by id.
    pub fn iter(&self) -> impl Iterator<Item = &Arc<Organisation>> {
        self.organisations.values()
    }

    /// Returns the number of organisations.
    pub fn len(&self) -> usize {
        self.organisations.len()
    }

    /// Returns whether there is no organisation.
    pub fn is_empty(&self) -> bool {
        self.organisations.is_empty()
    }

    /// Returns the number of keys.
    pub fn keys(&self) -> usize {
        self.holders.len()
    }

    fn add(&mut self, organisation: Arc<Organisation>, keys: Vec<KeyHash>) -> Result<()> {
        let id = organisation.id.clone();
        for key in keys {
            let other = self.holders.insert(key, Arc::clone(&organisation));
            if let Some(other) = other.filter(|other| other.id != id) {
                return Err(invalid(format!(
                    "organisations `{}` and `{id}` share the key with the hash {key}",
                    other.id
                )));
            }
        }
        match self.organisations.insert(id, organisation) {
            None => Ok(()),
            Some(other) => Err(invalid(format!("two organisations are `{}`", other.id))),
        }
    }
}

fn invalid(what: String) -> Error {
    Error::new(
        ResultCode::BadRecord,
        what,
        "give each organisation a name and keys of its own",
    )
}
