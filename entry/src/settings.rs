//! The checked settings of `carobshore-entry`.

use std::fmt::Display;
use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::str::FromStr;
use std::time::Duration;

use carobshore_lib::policy::Policy;
use carobshore_lib::prelude::ByteSize;
use carobshore_lib::prelude::DomainId;
use carobshore_lib::prelude::Error;
use carobshore_lib::prelude::Result;
use carobshore_lib::prelude::ResultCode;
use carobshore_lib::prelude::VmId;
use log::LevelFilter;

use crate::flags::Flags;

/// The longest deadline that a caller may ask for.
pub const MAX_DEADLINE: Duration = Duration::from_secs(600);

/// Limits that protect this VM.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Largest header section of a request.
    pub header: ByteSize,
    /// Largest body of a request.
    pub body: ByteSize,
    /// Most connections at the same time, on each of the two ports.
    pub connections: usize,
}

/// Time limits for waiting.
#[derive(Clone, Copy, Debug)]
pub struct Timeouts {
    /// For the complete header section of a caller, in whole seconds.
    pub header: Duration,
    /// For the next request on a caller's idle connection, in whole seconds.
    pub keep_alive: Duration,
    /// For opening a connection to a target or a VM.
    pub connect: Duration,
    /// For the next part of a body.
    pub body: Duration,
    /// For the complete request if the caller sets no deadline.
    pub deadline: Duration,
}

/// The checked settings.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Name of this VM.
    pub vm_name: Box<str>,
    /// Failure domain of this VM.
    pub domain: DomainId,
    /// Address on which callers are served.
    pub listen: SocketAddr,
    /// Address to which other entry VMs forward calls.
    pub forward: SocketAddr,
    /// Address of the remote procedure calls of peers and operators.
    pub rpc: SocketAddr,
    /// Address of the admin endpoints.
    pub admin: SocketAddr,
    /// Address of the platform's log.
    pub log: SocketAddr,
    /// Address of the platform's list of VMs.
    pub vm_list: SocketAddr,
    /// RPC addresses of peers that are asked for the configuration at start.
    pub peers: Vec<SocketAddr>,
    /// How targets are chosen.
    pub policy: Policy,
    /// Number of home VMs of a service in each failure domain.
    pub homes: u32,
    /// Limits that protect this VM.
    pub limits: Limits,
    /// Time limits for waiting.
    pub timeouts: Timeouts,
    /// Time for which a stopping VM still accepts requests.
    pub notice: Duration,
    /// Time from the first signal after which the platform kills this process, if it does.
    pub grace: Option<Duration>,
    /// Least severe level that is logged.
    pub level: LevelFilter,
}

impl TryFrom<Flags> for Settings {
    type Error = Error;

    fn try_from(flags: Flags) -> Result<Self> {
        let limits = Limits {
            header: size("max-header", &flags.max_header, 1 << 10..=1 << 20)?,
            body: size("max-body", &flags.max_body, 1 << 10..=1 << 40)?,
            connections: number("max-connections", &flags.max_connections, 1..=1_000_000)? as usize,
        };
        let timeouts = Timeouts {
            header: seconds("header-timeout-s", &flags.header_timeout_s, 1..=600)?,
            keep_alive: seconds("keep-alive-s", &flags.keep_alive_s, 1..=3_600)?,
            connect: millis("connect-timeout-ms", &flags.connect_timeout_ms, 1..=60_000)?,
            body: millis("body-timeout-ms", &flags.body_timeout_ms, 10..=600_000)?,
            deadline: millis("deadline-ms", &flags.deadline_ms, 1..=600_000)?,
        };
        let grace = millis("grace-ms", &flags.grace_ms, 0..=600_000)?;
        Ok(Self {
            vm_name: vm_name(&flags.vm_name)?,
            domain: checked("domain", &flags.domain)?,
            listen: address("listen", &flags.listen)?,
            forward: address("forward", &flags.forward)?,
            rpc: address("rpc", &flags.rpc)?,
            admin: address("admin", &flags.admin)?,
            log: address("log", &flags.log)?,
            vm_list: address("vm-list", &flags.vm_list)?,
            peers: peers(&flags.peers)?,
            policy: checked("policy", &flags.policy)?,
            homes: number("homes-per-domain", &flags.homes_per_domain, 1..=100)? as u32,
            limits,
            timeouts,
            notice: millis("drain-notice-ms", &flags.drain_notice_ms, 0..=600_000)?,
            grace: Some(grace).filter(|grace| !grace.is_zero()),
            level: level(&flags.log_level)?,
        })
    }
}

fn bad_setting(name: &str, value: &str, allowed: impl Display) -> Error {
    let variable = name.replace('-', "_").to_uppercase();
    Error::new(
        ResultCode::BadSetting,
        format!(
            "--{name} (CAROBSHORE_{variable}) has the value `{}`",
            value.escape_debug()
        ),
        format!("use {allowed}"),
    )
}

fn checked<T: FromStr<Err = Error>>(name: &str, value: &str) -> Result<T> {
    value
        .parse()
        .map_err(|error: Error| bad_setting(name, value, error.help.trim_start_matches("use ")))
}

/// Checks that VM ids can be built from the name.
fn vm_name(value: &str) -> Result<Box<str>> {
    const MAX_BYTES: usize = 54;
    let id = VmId::with_incarnation(value, 0);
    if value.contains('.') || id.is_err() {
        let allowed = format!(
            "1 to {MAX_BYTES} lower-case letters, digits and `-`, starting with a letter or digit"
        );
        return Err(bad_setting("vm-name", value, allowed));
    }
    Ok(value.into())
}

fn address(name: &str, value: &str) -> Result<SocketAddr> {
    value.parse().map_err(|_| {
        bad_setting(
            name,
            value,
            "an IP address and a port, such as 10.0.0.7:8080",
        )
    })
}

fn peers(values: &[String]) -> Result<Vec<SocketAddr>> {
    let given = values.iter().filter(|value| !value.is_empty());
    given
        .map(|value| {
            value.parse().map_err(|_| {
                let allowed = "IP addresses with ports, such as 10.0.0.7:8082, separated by commas";
                let mut error = bad_setting("peer", value, allowed);
                error.message = error.message.replace("_PEER)", "_PEERS)").into();
                error
            })
        })
        .collect()
}

fn level(value: &str) -> Result<LevelFilter> {
    let allowed = "`error`, `warn`, `info`, `debug` or `trace`";
    match value.parse() {
        Ok(LevelFilter::Off) | Err(_) => Err(bad_setting("log-level", value, allowed)),
        Ok(level) => Ok(level),
    }
}

fn number(name: &str, value: &str, allowed: RangeInclusive<u64>) -> Result<u64> {
    let number = value.parse().ok().filter(|number| allowed.contains(number));
    number.ok_or_else(|| {
        let range = format!(
            "a whole number from {} to {}",
            allowed.start(),
            allowed.end()
        );
        bad_setting(name, value, range)
    })
}

fn millis(name: &str, value: &str, allowed: RangeInclusive<u64>) -> Result<Duration> {
    number(name, value, allowed).map(Duration::from_millis)
}

fn seconds(name: &str, value: &str, allowed: RangeInclusive<u64>) -> Result<Duration> {
    number(name, value, allowed).map(Duration::from_secs)
}

fn size(name: &str, value: &str, allowed: RangeInclusive<u64>) -> Result<ByteSize> {
    let size = value.parse::<ByteSize>().ok();
    let valid = size.filter(|size| allowed.contains(&size.0));
    valid.ok_or_else(|| {
        let range = format!(
            "a size from {} to {}",
            ByteSize(*allowed.start()),
            ByteSize(*allowed.end())
        );
        bad_setting(name, value, range)
    })
}
