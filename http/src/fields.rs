//! Header fields of a message, in the order in which they were sent.

/// Hop-by-hop fields, which apply to one connection only (RFC 9110, section 7.6.1).
const CONNECTION_FIELDS: [&str; 8] = [
    "connection",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "proxy-connection",
    "te",
    "trailer",
    "upgrade",
];

/// Fields that determine the length of the body.
const FRAMING_FIELDS: [&str; 2] = ["content-length", "transfer-encoding"];

/// Returns whether a field applies to one connection only. `name` must be in lower case.
pub fn is_hop_by_hop(name: &str) -> bool {
    CONNECTION_FIELDS.contains(&name)
}

/// Returns whether a field determines the length of the body. `name` must be in lower case.
pub fn is_framing(name: &str) -> bool {
    FRAMING_FIELDS.contains(&name)
}

/// Header fields. Names are compared case-insensitively and kept as they were sent.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Fields(Vec<Field>);

/// One header field.
#[derive(Clone, Debug, PartialEq, Eq)]
struct Field {
    name: Box<str>,
    value: Box<[u8]>,
}

impl Fields {
    /// Appends a field.
    pub fn add(&mut self, name: &str, value: impl AsRef<[u8]>) {
        self.0.push(Field {
            name: name.into(),
            value: value.as_ref().into(),
        });
    }

    /// Removes all fields with the name and appends one.
    pub fn set(&mut self, name: &str, value: impl AsRef<[u8]>) {
        self.remove(name);
        self.add(name, value);
    }

    /// Removes all fields with the name.
    pub fn remove(&mut self, name: &str) {
        self.0
            .retain(|field| !field.name.eq_ignore_ascii_case(name));
    }

    /// Returns the value of the first field with the name, trimmed, if it is valid UTF-8.
    pub fn text(&self, name: &str) -> Option<&str> {
        let named = |field: &&Field| field.name.eq_ignore_ascii_case(name);
        let value = &self.0.iter().find(named)?.value;
        std::str::from_utf8(value).ok().map(str::trim)
    }

    /// Returns the values of all fields with the name.
    pub fn all<'a>(&'a self, name: &'a str) -> impl Iterator<Item = &'a [u8]> {
        let named = |field: &&Field| field.name.eq_ignore_ascii_case(name);
        self.0.iter().filter(named).map(|field| &*field.value)
    }

    /// Returns the number of fields with the name.
    pub fn count(&self, name: &str) -> usize {
        self.all(name).count()
    }

    /// Returns whether the comma-separated lists in the fields with the name contain the token.
    pub fn has_token(&self, name: &str, token: &str) -> bool {
        self.all(name)
            .filter_map(|value| std::str::from_utf8(value).ok())
            .flat_map(|value| value.split(','))
            .any(|part| part.trim().eq_ignore_ascii_case(token))
    }

    /// Returns whether the value of any field contains the bytes.
    pub fn any_contains(&self, bytes: &[u8]) -> bool {
        let mut fields = self.0.iter();
        fields.any(|field| field.value.windows(bytes.len()).any(|part| part == bytes))
    }

    /// Removes hop-by-hop and framing fields, including those that `Connection` names, so that the
    /// rest can be forwarded.
    pub fn keep_end_to_end(&mut self) {
        let named: Vec<Box<str>> = self
            .all("connection")
            .filter_map(|value| std::str::from_utf8(value).ok())
            .flat_map(|value| value.split(','))
            .map(|name| name.trim().into())
            .collect();
        let removed = |name: &str| {
            let listed = named.iter().any(|other| other.eq_ignore_ascii_case(name));
            let mut fixed = CONNECTION_FIELDS.iter().chain(&FRAMING_FIELDS);
            listed || fixed.any(|other| other.eq_ignore_ascii_case(name))
        };
        self.0.retain(|field| !removed(&field.name));
    }

    /// Appends the fields in wire format.
    pub fn write_to(&self, out: &mut Vec<u8>) {
        for field in &self.0 {
            out.extend_from_slice(field.name.as_bytes());
            out.extend_from_slice(b": ");
            out.extend_from_slice(&field.value);
            out.extend_from_slice(b"\r\n");
        }
    }
}
