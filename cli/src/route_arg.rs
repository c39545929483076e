//! Parses routes from the text that operators give.

use std::time::Duration;

use carobshore_lib::prelude::*;

use crate::words::Words;
use crate::words::quoted;

/// The timeout of a request if the operator gives none.
const DEFAULT_TIMEOUT: Duration = Duration::from_secs(10);
/// The number of targets that a request may be sent to if the operator gives none.
const DEFAULT_ATTEMPTS: u32 = 3;
/// The weight of a service that is given without one.
const DEFAULT_WEIGHT: u32 = 1;
/// The priority of every route set here; only the gateway for the users' platform uses different
/// priorities.
const ROUTE_PRIORITY: u32 = 0;

/// Parses the words after `set-route`.
pub(crate) fn set_route(words: &mut Words<'_>) -> Result<Change> {
    let route = words.next("a route")?.parse()?;
    let timeout = match words.optional("timeout") {
        Some(text) => Duration::from_millis(number(text, "time in milliseconds")?),
        None => DEFAULT_TIMEOUT,
    };
    let attempts = match words.optional("attempts") {
        Some(text) => number(text, "number of attempts")?,
        None => DEFAULT_ATTEMPTS,
    };
    let rule = RouteRule {
        host: words.required("host")?.into(),
        prefix: words.required("prefix")?.into(),
        kind: kind(words.required("kind")?)?,
        timeout,
        latency: timeout,
        priority: ROUTE_PRIORITY,
        attempts,
        parts: parts(words.required("to")?)?,
    };
    Ok(Change::SetRoute { route, rule })
}

fn kind(text: &str) -> Result<CallKind> {
    let kinds = [CallKind::Safe, CallKind::Unsafe, CallKind::Upload];
    let found = kinds.into_iter().find(|kind| kind.as_str() == text);
    found.ok_or_else(|| {
        Error::new(
            ResultCode::BadUsage,
            format!("{} is not a kind of request", quoted(text)),
            "use `safe` if a request may run more than once, otherwise `unsafe`, or `upload` for \
             large bodies",
        )
    })
}

fn parts(text: &str) -> Result<Vec<RoutePart>> {
    text.split(',').map(part).collect()
}

fn part(text: &str) -> Result<RoutePart> {
    let (service, weight) = match text.split_once(':') {
        Some((service, weight)) => (service, number(weight, "weight")?),
        None => (text, DEFAULT_WEIGHT),
    };
    let service = service.parse()?;
    Ok(RoutePart { service, weight })
}

fn number<T: std::str::FromStr>(text: &str, what: &str) -> Result<T> {
    text.parse().map_err(|_| {
        Error::new(
            ResultCode::BadNumber,
            format!("{} is not a valid {what}", quoted(text)),
            "use a whole number",
        )
    })
}
