//! Splits the text of a change into words, and lists the valid forms of a change.

use carobshore_lib::prelude::*;

/// The valid forms of a change, for help and error messages.
pub(crate) const FORMS: &str = "\
add-service SERVICE measuring=BUDGET [connections=N]
remove-service SERVICE
set-measuring SERVICE BUDGET
set-connections SERVICE N
add-target SERVICE/TARGET addr=IP:PORT domain=DOMAIN slots=N
remove-target SERVICE/TARGET
mark-leaving SERVICE/TARGET
set-slots SERVICE/TARGET N
set-route ROUTE host=HOST prefix=/PATH/ to=SERVICE[:WEIGHT][,SERVICE:WEIGHT] \
kind=safe|unsafe|upload [timeout=MS] [attempts=N]
remove-route ROUTE";

/// The words of a change that have not been taken yet. Plain words are taken in order; `key=value`
/// words may come in any order.
pub(crate) struct Words<'a> {
    text: &'a str,
    plain: Vec<&'a str>,
    pairs: Vec<(&'a str, &'a str)>,
}

impl<'a> Words<'a> {
    /// Splits the text of a change at white space.
    pub(crate) fn new(text: &'a str) -> Self {
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

    /// Takes the next word without a key; `what` names it in errors.
    pub(crate) fn next(&mut self, what: &str) -> Result<&'a str> {
        let missing = || invalid_change(format!("{what} is missing in {}", quoted(self.text)));
        self.plain.pop().ok_or_else(missing)
    }

    /// Takes the value of an optional key.
    pub(crate) fn optional(&mut self, key: &str) -> Option<&'a str> {
        let index = self.pairs.iter().position(|(name, _)| *name == key)?;
        Some(self.pairs.remove(index).1)
    }

    /// Takes the value of a required key.
    pub(crate) fn required(&mut self, key: &str) -> Result<&'a str> {
        let missing = invalid_change(format!("`{key}=` is missing in {}", quoted(self.text)));
        self.optional(key).ok_or(missing)
    }

    /// Checks that no word is left.
    pub(crate) fn expect_end(&self) -> Result<()> {
        let plain = self.plain.last().copied();
        let extra = plain.or(self.pairs.first().map(|(key, _)| *key));
        match extra {
            None => Ok(()),
            Some(word) => Err(invalid_change(format!(
                "{} is unexpected in {}",
                quoted(word),
                quoted(self.text)
            ))),
        }
    }
}

/// Escapes and quotes a text for an error message.
pub(crate) fn quoted(text: &str) -> String {
    format!("`{}`", text.escape_debug())
}

/// Builds the error for a change that matches none of the valid forms.
pub(crate) fn invalid_change(message: String) -> Error {
    let forms = FORMS.replace('\n', "; ");
    Error::new(
        ResultCode::BadUsage,
        message,
        format!("a change has one of these forms: {forms}"),
    )
}
