//! Grants tokens of the quotas that this VM owns.

use std::time::Instant;

use carobshore_http::head::RequestHead;
use carobshore_lib::access::organisation_id::OrganisationId;
use carobshore_lib::access::quota::Quota;
use carobshore_lib::quota::owner_answer::OwnerAnswer;
use carobshore_lib::quota::quota_bounds::QuotaBounds;
use carobshore_lib::quota::token_count::TokenCount;

use crate::gateway::Gateway;
use crate::reply::Reply;

/// Path prefix of a take; the organisation follows.
pub(crate) const PATH: &str = "/quota/take/";
/// Header field of a take: how many tokens are wanted.
pub(crate) const WANT_FIELD: &str = "Quota-Want";
/// Header field of an answer: how many are granted.
pub(crate) const GRANTED_FIELD: &str = "Quota-Granted";
/// Header field of a refusal: milliseconds until the VM may ask again.
pub(crate) const NEXT_FIELD: &str = "Next-In";

/// Answers the take of another VM. Returns nothing if the request is not one.
pub(crate) fn answer(gateway: &Gateway, head: &RequestHead) -> Option<Reply> {
    let organisation = head.target.strip_prefix(PATH)?;
    if &*head.method != "POST" {
        return None;
    }
    let organisation = organisation.parse::<OrganisationId>();
    let want = head.fields.text(WANT_FIELD).map(str::parse::<TokenCount>);
    let (Ok(organisation), Some(Ok(want))) = (organisation, want) else {
        return Some(Reply::text(400, "no valid take\n"));
    };
    Some(match grant(gateway, &organisation, want) {
        OwnerAnswer::Granted(count) => {
            Reply::text(200, "granted\n").with_field(GRANTED_FIELD, &count.to_string())
        }
        OwnerAnswer::Empty(next) => {
            let millis = next.as_micros().div_ceil(1_000);
            Reply::text(409, "no tokens\n").with_field(NEXT_FIELD, &millis.to_string())
        }
        OwnerAnswer::NotOwner | OwnerAnswer::Silent => Reply::text(404, "not an owner\n"),
    })
}

/// Grants tokens as an owner.
pub(crate) fn grant(
    gateway: &Gateway,
    organisation: &OrganisationId,
    want: TokenCount,
) -> OwnerAnswer {
    let Some((quota, bounds)) = limit(gateway, organisation) else {
        return OwnerAnswer::NotOwner;
    };
    let mut table = gateway.quotas.table.borrow_mut();
    table.grant(Instant::now(), organisation, (quota, &bounds), want)
}

/// Returns the quota of an organisation by the configuration in force, with the bounds of the settings.
/// Nothing if there is no limit.
pub(crate) fn limit(
    gateway: &Gateway,
    organisation: &OrganisationId,
) -> Option<(Quota, QuotaBounds)> {
    let bounds = gateway.boot.borrow().quota?;
    let routes = gateway.routes.borrow();
    let access = routes.config().access.as_ref()?;
    Some((access.get(organisation)?.quota?, bounds))
}
