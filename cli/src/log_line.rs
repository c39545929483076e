//! Parses lines of the daemons' JSON logs.

use serde_json::Map;
use serde_json::Value;

/// One line of a process's log.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct LogLine {
    /// The file name and the prefix before the JSON, such as the VM's name.
    pub(crate) source: Box<str>,
    /// The timestamp, in a format whose text order is the order of time.
    pub(crate) time: Box<str>,
    /// The message.
    pub(crate) text: Box<str>,
    /// The line's key-value pairs.
    pub(crate) values: Map<String, Value>,
}

impl LogLine {
    /// Parses a line. Returns `None` if it is not a complete line of the log.
    pub(crate) fn parse(file: &str, line: &str) -> Option<Self> {
        let start = line.find('{')?;
        let json: Value = serde_json::from_str(&line[start..]).ok()?;
        let prefix = line[..start].trim();
        let source = match prefix {
            "" => file.to_owned(),
            prefix => format!("{file} {prefix}"),
        };
        Some(Self {
            source: source.trim().into(),
            time: json.get("timestamp")?.as_str()?.into(),
            text: json.get("text")?.as_str()?.into(),
            values: json
                .get("kv")
                .and_then(Value::as_object)
                .cloned()
                .unwrap_or_default(),
        })
    }

    /// Returns a value as text.
    pub(crate) fn value(&self, name: &str) -> Option<String> {
        let value = self.values.get(name)?;
        Some(
            value
                .as_str()
                .map_or_else(|| value.to_string(), str::to_owned),
        )
    }
}
