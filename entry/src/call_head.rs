//! The service, deadline, key and forwarding fields of a request, read from its head.

use std::net::IpAddr;
use std::time::Duration;
use std::time::Instant;

use carobshore_lib::exchange::MAX_ATTEMPTS;
use carobshore_lib::prelude::Error;
use carobshore_lib::prelude::RequestKey;
use carobshore_lib::prelude::Result;
use carobshore_lib::prelude::ResultCode;
use carobshore_lib::prelude::ServiceId;
use ntex::http::HeaderMap;
use ntex::http::Method;
use ntex::http::RequestHead;
use ntex::http::body::BodySize;
use ntex::http::header::CONTENT_LENGTH;
use ntex::http::header::TRANSFER_ENCODING;

use crate::call_route::CallRoute;
use crate::field;
use crate::headers;
use crate::settings::MAX_DEADLINE;
use crate::settings::Settings;

/// How often a call is forwarded at most: to its home, and from there to one more home.
pub const MAX_HOPS: u32 = 2;

/// The port on which a request arrived.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Port {
    /// The port of the callers.
    Callers,
    /// The port for other entry VMs. Fields that entry VMs set for each other are trusted only
    /// here.
    Peers,
}

impl Port {
    /// Returns the value of the metrics label `port`.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Callers => "callers",
            Self::Peers => "peers",
        }
    }
}

/// The checked head of a request.
#[derive(Debug)]
pub struct CallHead {
    /// The port on which the request arrived.
    pub port: Port,
    /// The service that the route, the field or the host names.
    pub service: ServiceId,
    /// The method, which is passed on unchanged.
    pub method: Method,
    /// Path and query.
    pub path: Box<str>,
    /// The value of `Host`, without which a request is refused.
    pub host: Box<str>,
    /// The end-to-end fields, except those that are only for entry VMs.
    pub headers: HeaderMap,
    /// The size of the body. A known size is within the limit.
    pub size: BodySize,
    /// Whether the request may run more than once.
    pub repeatable: bool,
    /// The key of a run-once request.
    pub key: Option<RequestKey>,
    /// The key of a request that the owner of the key passes on: only the target uses it.
    pub target_key: Option<Box<str>>,
    /// When the caller or its route stops waiting.
    pub deadline: Instant,
    /// The largest number of attempts that this VM makes.
    pub attempts: u32,
    /// The caller that the request is queued under: its name, or else its address.
    pub caller: Box<str>,
    /// How many entry VMs have forwarded the call.
    pub hops: u32,
    /// The address at the other end of the connection.
    pub peer: Option<IpAddr>,
}

impl CallHead {
    /// Checks the head of a request. A route takes precedence over the method and over the
    /// caller's fields, except that a caller may forbid repeating its request.
    pub fn parse(
        head: &RequestHead,
        peer: Option<IpAddr>,
        port: Port,
        settings: &Settings,
        route: Option<&CallRoute>,
        now: Instant,
    ) -> Result<Self> {
        let fields = &head.headers;
        let host = host(fields)?;
        let key = key(fields)?;
        let repeatable = repeatable(&head.method, fields, key, route)?;
        let deadline = deadline(fields, settings)?;
        let timeout = route.map_or(MAX_DEADLINE, |route| route.timeout);
        let target_key = match port {
            Port::Callers => None,
            Port::Peers => single(fields, field::TARGET_KEY, "one UUIDv7")?.map(Box::from),
        };
        let mut kept = headers::end_to_end(fields);
        headers::remove_all(&mut kept, &field::ENTRY_ONLY);
        Ok(Self {
            port,
            service: match route {
                Some(route) => route.service.clone(),
                None => service(fields, &host)?,
            },
            method: head.method.clone(),
            path: path(head)?,
            host,
            headers: kept,
            size: size(fields, settings)?,
            repeatable,
            key,
            target_key,
            deadline: now + deadline.min(timeout),
            attempts: attempts(fields, port, route)?,
            caller: caller(fields, peer)?,
            hops: hops(fields, port)?,
            peer,
        })
    }

    /// Returns whether a caller sent the request with a key. A refusal of such a request must not
    /// say "not run" unless the owner of the key knows it.
    pub fn is_keyed_by_caller(&self) -> bool {
        self.port == Port::Callers && self.key.is_some()
    }

    /// Returns the time until the deadline.
    pub fn remaining(&self, now: Instant) -> Duration {
        self.deadline.saturating_duration_since(now)
    }
}

fn bad_field(name: &str, value: &str, allowed: &str) -> Error {
    Error::new(
        ResultCode::BadHeader,
        format!(
            "the field `{name}` has the value `{}`",
            value.escape_debug()
        ),
        format!("use {allowed}"),
    )
}

fn single<'a>(fields: &'a HeaderMap, name: &str, allowed: &str) -> Result<Option<&'a str>> {
    headers::single(fields, name).map_err(|value| bad_field(name, &value, allowed))
}

fn host(fields: &HeaderMap) -> Result<Box<str>> {
    match headers::single(fields, "host") {
        Ok(Some(host)) => Ok(host.into()),
        _ => Err(Error::new(
            ResultCode::BadRequest,
            "the field `host` is missing or repeated",
            "send one `host`",
        )),
    }
}

/// Returns the service named by the field, or else by the first label of the host.
fn service(fields: &HeaderMap, host: &str) -> Result<ServiceId> {
    let allowed = "the id of one service";
    if let Some(text) = single(fields, field::SERVICE, allowed)? {
        return text
            .parse()
            .map_err(|_| bad_field(field::SERVICE, text, allowed));
    }
    let label = host.split(['.', ':']).next().unwrap_or_default();
    label.to_ascii_lowercase().parse().map_err(|_| {
        Error::new(
            ResultCode::UnknownService,
            format!("the host `{}` names no service", host.escape_debug()),
            format!(
                "send `{}` or a host whose first label is a service",
                field::SERVICE
            ),
        )
    })
}

fn path(head: &RequestHead) -> Result<Box<str>> {
    let unsupported = |what: &str| {
        Error::new(
            ResultCode::BadRequest,
            format!("{what} is not supported"),
            "send a path, such as `GET /status HTTP/1.1`",
        )
    };
    if head.method == Method::CONNECT {
        return Err(unsupported("the method CONNECT"));
    }
    let path = head.uri.path_and_query().map_or("/", |path| path.as_str());
    match path.starts_with('/') {
        true => Ok(path.into()),
        false => Err(unsupported("a request target without a path")),
    }
}

fn size(fields: &HeaderMap, settings: &Settings) -> Result<BodySize> {
    if fields.contains_key(TRANSFER_ENCODING) {
        return check_chunked(fields);
    }
    let length = fields.get(CONTENT_LENGTH).and_then(|v| v.to_str().ok());
    let length = length.and_then(|text| text.trim().parse().ok());
    match length {
        // Methods that expect a body need `content-length: 0`. A request without the field is sent
        // without it.
        Some(0) => Ok(BodySize::Empty),
        Some(length) if length > settings.limits.body.0 => Err(body_too_large(settings)),
        Some(length) => Ok(BodySize::Sized(length)),
        None => Ok(BodySize::None),
    }
}

/// Checks that `chunked` is the only transfer coding. The HTTP codec also accepts `identity`, which
/// other proxies interpret differently.
fn check_chunked(fields: &HeaderMap) -> Result<BodySize> {
    let coding = headers::single(fields, "transfer-encoding");
    let is_chunked = matches!(coding, Ok(Some(coding)) if coding.eq_ignore_ascii_case("chunked"));
    if is_chunked && !fields.contains_key(CONTENT_LENGTH) {
        return Ok(BodySize::Stream);
    }
    Err(Error::new(
        ResultCode::BadRequest,
        "the end of the body is ambiguous",
        "send either `content-length` or `transfer-encoding: chunked`",
    ))
}

/// Builds the error for a body above the limit.
pub fn body_too_large(settings: &Settings) -> Error {
    Error::new(
        ResultCode::TooLarge,
        format!("the body is larger than {}", settings.limits.body),
        "send a smaller body",
    )
}

fn key(fields: &HeaderMap) -> Result<Option<RequestKey>> {
    let allowed = "one UUIDv7";
    let text = single(fields, field::KEY, allowed)?;
    text.map(str::parse).transpose()
}

/// Returns whether the request may run more than once. A caller may forbid what the route allows,
/// but cannot allow what the route forbids.
fn repeatable(
    method: &Method,
    fields: &HeaderMap,
    key: Option<RequestKey>,
    route: Option<&CallRoute>,
) -> Result<bool> {
    let allowed = "`yes` or `no`";
    let by_method = || matches!(*method, Method::GET | Method::HEAD | Method::OPTIONS);
    let by_route = route.map(|route| route.kind.is_repeatable());
    let marked = match single(fields, field::REPEATABLE, allowed)? {
        None => by_route.unwrap_or_else(by_method),
        Some("yes") => by_route.unwrap_or(true),
        Some("no") => false,
        Some(other) => return Err(bad_field(field::REPEATABLE, other, allowed)),
    };
    Ok(marked && key.is_none())
}

/// Returns the largest number of attempts that this VM makes. The route sets it, and a VM that
/// forwards the call passes it on in a field.
fn attempts(fields: &HeaderMap, port: Port, route: Option<&CallRoute>) -> Result<u32> {
    let allowed = "a whole number from 1 on";
    let forwarded = match port {
        Port::Callers => None,
        Port::Peers => single(fields, field::ATTEMPTS, allowed)?,
    };
    let Some(text) = forwarded else {
        return Ok(route.map_or(MAX_ATTEMPTS, |route| route.attempts.min(MAX_ATTEMPTS)));
    };
    let number = text.parse().ok().filter(|number| *number > 0);
    let number: u32 = number.ok_or_else(|| bad_field(field::ATTEMPTS, text, allowed))?;
    Ok(number.min(MAX_ATTEMPTS))
}

fn deadline(fields: &HeaderMap, settings: &Settings) -> Result<Duration> {
    let allowed = "whole milliseconds from 1 to 600000";
    let Some(text) = single(fields, field::DEADLINE, allowed)? else {
        return Ok(settings.timeouts.deadline);
    };
    let millis = text.parse().ok().map(Duration::from_millis);
    let valid = millis.filter(|time| !time.is_zero() && *time <= MAX_DEADLINE);
    valid.ok_or_else(|| bad_field(field::DEADLINE, text, allowed))
}

fn caller(fields: &HeaderMap, peer: Option<IpAddr>) -> Result<Box<str>> {
    let named = single(fields, field::CALLER, "one caller")?;
    let address = || peer.map(|ip| ip.to_string()).unwrap_or_default();
    Ok(named.map_or_else(|| address().into(), Box::from))
}

fn hops(fields: &HeaderMap, port: Port) -> Result<u32> {
    if port == Port::Callers {
        return Ok(0);
    }
    let allowed = "1 or 2";
    let text = single(fields, field::HOPS, allowed)?.unwrap_or_default();
    let hops = text
        .parse()
        .ok()
        .filter(|hops| (1..=MAX_HOPS).contains(hops));
    hops.ok_or_else(|| bad_field(field::HOPS, text, allowed))
}
