//! Parses changes from the text that operators give.

use std::str::FromStr;

use carobshore_lib::prelude::*;
use carobshore_lib::service::DEFAULT_CONNECTIONS;

use crate::route_arg;
use crate::words::Words;
use crate::words::invalid_change;
use crate::words::quoted;

/// A change parsed from a command-line argument or a line of a file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct ChangeArg(pub(crate) Change);

impl FromStr for ChangeArg {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self> {
        let mut words = Words::new(text);
        let verb = words.next("a change")?;
        let change = match verb {
            "add-service" => Change::AddService {
                service: words.next("a service")?.parse()?,
                measuring: words.required("measuring")?.parse()?,
                connections: match words.optional("connections") {
                    Some(text) => connection_budget(text)?,
                    None => DEFAULT_CONNECTIONS,
                },
            },
            "remove-service" => Change::RemoveService {
                service: words.next("a service")?.parse()?,
            },
            "set-measuring" => Change::SetMeasuring {
                service: words.next("a service")?.parse()?,
                measuring: words.next("a measuring budget")?.parse()?,
            },
            "set-connections" => Change::SetConnections {
                service: words.next("a service")?.parse()?,
                connections: connection_budget(words.next("a connection budget")?)?,
            },
            "set-route" => route_arg::set_route(&mut words)?,
            "remove-route" => Change::RemoveRoute {
                route: words.next("a route")?.parse()?,
            },
            _ => target_change(verb, &mut words)?,
        };
        words.expect_end()?;
        Ok(Self(change))
    }
}

fn target_change(verb: &str, words: &mut Words<'_>) -> Result<Change> {
    if !["add-target", "remove-target", "mark-leaving", "set-slots"].contains(&verb) {
        return Err(invalid_change(format!(
            "`{}` is not a known change",
            verb.escape_debug()
        )));
    }
    let (service, target) = words
        .next("SERVICE/TARGET")?
        .split_once('/')
        .ok_or_else(|| invalid_change(format!("`{verb}` needs SERVICE/TARGET")))?;
    let service = service.parse()?;
    let target = target.parse()?;
    Ok(match verb {
        "add-target" => Change::AddTarget {
            service,
            target,
            addr: address(words.required("addr")?)?,
            domain: words.required("domain")?.parse()?,
            slots: words.required("slots")?.parse()?,
        },
        "remove-target" => Change::RemoveTarget { service, target },
        "mark-leaving" => Change::MarkLeaving { service, target },
        _ => Change::SetSlots {
            service,
            target,
            slots: words.next("a number of slots")?.parse()?,
        },
    })
}

fn connection_budget(text: &str) -> Result<u32> {
    text.parse().map_err(|_| {
        Error::new(
            ResultCode::BadNumber,
            format!("{} is not a valid connection budget", quoted(text)),
            "use a whole number from 1 to 65535",
        )
    })
}

fn address(text: &str) -> Result<std::net::SocketAddr> {
    text.parse().map_err(|_| {
        Error::new(
            ResultCode::BadUsage,
            format!("{} is not a valid address", quoted(text)),
            "use an IP address and a port, such as 10.0.0.1:80",
        )
    })
}
