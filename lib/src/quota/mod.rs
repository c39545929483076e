//! Quotas of organisations over all VMs: a few VMs own each quota and grant tokens, one for each request.
//!
//! `docs/design/quotas.md` has the options and the bound. Nothing here does any I/O: the owner's side is
//! [`OwnerBucket`](owner_bucket::OwnerBucket), the side of the VM that serves callers is
//! [`QuotaAccount`](quota_account::QuotaAccount), and [`QuotaTable`](quota_table::QuotaTable) holds both
//! for all organisations.

pub mod largest_organisations;
pub mod owner_answer;
pub mod owner_bucket;
pub mod owner_contact;
pub mod owner_pools;
pub mod owner_terms;
pub mod quota_account;
pub mod quota_bounds;
pub mod quota_step;
pub mod quota_table;
pub mod quota_token;
pub mod token_count;
pub mod token_counters;
