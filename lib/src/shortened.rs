//! Texts of any length in log lines.

use std::fmt;

/// The largest number of characters that are shown.
const MAX_CHARS: usize = 200;

/// Shows the beginning of a text that may quote what another process sent.
#[derive(Clone, Copy, Debug)]
pub struct Shortened<'a>(pub &'a str);

impl fmt::Display for Shortened<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.0.char_indices().nth(MAX_CHARS) {
            None => f.write_str(self.0),
            Some((end, _)) => write!(f, "{}... ({} bytes)", &self.0[..end], self.0.len()),
        }
    }
}
