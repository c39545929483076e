//! A line of a process's log.

use serde_json::Map;
use serde_json::Value;

/// A line of a process's log, with whatever stood before the JSON.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct LogLine {
    /// The file, and what stood before the JSON, such as the VM's name.
    pub(crate) source: Box<str>,
    /// When the line was written, as text that sorts by time.
    pub(crate) time: Box<str>,
    /// What happened.
    pub(crate) text: Box<str>,
    /// The values that belong to it.
    pub(crate) values: Map<String, Value>,
}

impl LogLine {
    /// Reads a line, or returns nothing if it is none of the log.
    pub(crate) fn parse(file: &str, line: &str) -> Option<Self> {
        let at = line.find('{')?;
        let json: Value = serde_json::from_str(&line[at..]).ok()?;
        let prefix = line[..at].trim();
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
