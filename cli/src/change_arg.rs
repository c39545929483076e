//! Changes as operators write them.

use std::str::FromStr;

use carobshore_lib::prelude::*;
use carobshore_lib::service::DEFAULT_CONNECTIONS;

/// The forms of a change, for help and error messages.
pub(crate) const FORMS: &str = "\
add-service SERVICE measuring=BUDGET [connections=N]
remove-service SERVICE
set-measuring SERVICE BUDGET
set-connections SERVICE N
add-target SERVICE/TARGET addr=IP:PORT domain=DOMAIN slots=N
remove-target SERVICE/TARGET
mark-leaving SERVICE/TARGET
set-slots SERVICE/TARGET N";

/// A change that was written as text.
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
                measuring: words.value("measuring")?.parse()?,
                connections: match words.optional("connections") {
                    Some(text) => number(text)?,
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
                connections: number(words.next("a connection budget")?)?,
            },
            _ => target_change(verb, &mut words)?,
        };
        words.end()?;
        Ok(Self(change))
    }
}

fn target_change(verb: &str, words: &mut Words<'_>) -> Result<Change> {
    if !["add-target", "remove-target", "mark-leaving", "set-slots"].contains(&verb) {
        return Err(bad(format!(
            "`{}` is not a known change",
            verb.escape_debug()
        )));
    }
    let (service, target) = words
        .next("SERVICE/TARGET")?
        .split_once('/')
        .ok_or_else(|| bad(format!("`{verb}` needs SERVICE/TARGET")))?;
    let service = service.parse()?;
    let target = target.parse()?;
    Ok(match verb {
        "add-target" => Change::AddTarget {
            service,
            target,
            addr: address(words.value("addr")?)?,
            domain: words.value("domain")?.parse()?,
            slots: words.value("slots")?.parse()?,
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

/// The words of a change; `key=value` words may come in any order.
struct Words<'a> {
    text: &'a str,
    plain: Vec<&'a str>,
    pairs: Vec<(&'a str, &'a str)>,
}

impl<'a> Words<'a> {
    fn new(text: &'a str) -> Self {
        let words = text.split_whitespace();
        let (pairs, mut plain): (Vec<_>, Vec<_>) = words.partition(|word| word.contains('='));
        plain.reverse();
        Self {
            text,
            plain,
            pairs: pairs
                .iter()
                .filter_map(|pair| pair.split_once('='))
                .collect(),
        }
    }

    fn next(&mut self, what: &str) -> Result<&'a str> {
        let missing = || bad(format!("{what} is missing in {}", quoted(self.text)));
        self.plain.pop().ok_or_else(missing)
    }

    fn optional(&mut self, key: &str) -> Option<&'a str> {
        let index = self.pairs.iter().position(|(name, _)| *name == key)?;
        Some(self.pairs.remove(index).1)
    }

    fn value(&mut self, key: &str) -> Result<&'a str> {
        let missing = bad(format!("`{key}=` is missing in {}", quoted(self.text)));
        self.optional(key).ok_or(missing)
    }

    fn end(&self) -> Result<()> {
        let plain = self.plain.last().copied();
        let extra = plain.or(self.pairs.first().map(|(key, _)| *key));
        match extra {
            None => Ok(()),
            Some(word) => Err(bad(format!(
                "{} is unexpected in {}",
                quoted(word),
                quoted(self.text)
            ))),
        }
    }
}

fn quoted(text: &str) -> String {
    format!("`{}`", text.escape_debug())
}

fn number(text: &str) -> Result<u32> {
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

fn bad(message: String) -> Error {
    let forms = FORMS.replace('\n', "; ");
    Error::new(
        ResultCode::BadUsage,
        message,
        format!("a change has one of these forms: {forms}"),
    )
}
