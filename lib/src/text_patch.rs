//! Differences between two versions of a text, such as a configuration of which one route changed.

use std::collections::HashMap;
use std::ops::Range;

use serde::Deserialize;
use serde::Serialize;
use xxhash_rust::xxh3::xxh3_64;

/// Ends a part of a text that is compared as a whole: the end of an object in JSON.
const PART_END: char = '}';

/// One step of making the new text.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
enum PatchStep {
    /// Appends a range of bytes of the old text.
    Copy(Range<usize>),
    /// Appends this text.
    Insert(String),
}

/// What turns an old text into a new one.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TextPatch {
    steps: Vec<PatchStep>,
    /// Hash of the new text.
    digest: u64,
}

impl TextPatch {
    /// Returns the differences between two texts.
    pub fn between(old: &str, new: &str) -> Self {
        let mut patch = Self {
            steps: Vec::new(),
            digest: xxh3_64(new.as_bytes()),
        };
        let known = part_positions(old);
        for part in new.split_inclusive(PART_END) {
            match patch
                .next_in(old, part)
                .or_else(|| known.get(part).copied())
            {
                Some(start) => patch.copy(start..start + part.len()),
                None => patch.insert(part),
            }
        }
        patch
    }

    /// Returns the new text, or nothing if `old` is not the text that the patch was made for.
    pub fn apply(&self, old: &str) -> Option<String> {
        let mut new = String::new();
        for step in &self.steps {
            new.push_str(match step {
                PatchStep::Copy(range) => old.get(range.clone())?,
                PatchStep::Insert(text) => text,
            });
        }
        (xxh3_64(new.as_bytes()) == self.digest).then_some(new)
    }

    /// Returns the position behind the last copied range if `part` follows there.
    fn next_in(&self, old: &str, part: &str) -> Option<usize> {
        match self.steps.last() {
            Some(PatchStep::Copy(range)) if old[range.end..].starts_with(part) => Some(range.end),
            _ => None,
        }
    }

    fn copy(&mut self, range: Range<usize>) {
        match self.steps.last_mut() {
            Some(PatchStep::Copy(last)) if last.end == range.start => last.end = range.end,
            _ => self.steps.push(PatchStep::Copy(range)),
        }
    }

    fn insert(&mut self, part: &str) {
        match self.steps.last_mut() {
            Some(PatchStep::Insert(text)) => text.push_str(part),
            _ => self.steps.push(PatchStep::Insert(part.to_owned())),
        }
    }
}

/// Returns the position of each part of a text, the first one of equal parts.
fn part_positions(text: &str) -> HashMap<&str, usize> {
    let mut positions = HashMap::new();
    let mut position = 0;
    for part in text.split_inclusive(PART_END) {
        positions.entry(part).or_insert(position);
        position += part.len();
    }
    positions
}
