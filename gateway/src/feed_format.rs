//! How changes are encoded for other VMs.
//!
//! One VM sends each change to all others of its failure domain. Large records are therefore sent as
//! differences from the version that the other VM knows, and long bodies are compressed. A VM asks
//! for this with a header field, because older VMs read whole records only.

use std::io;

use carobshore_http::fields::Fields;
use carobshore_lib::store_mirror::Changes;

use crate::compressed_body;
use crate::compressed_body::CompressedBody;

/// Header field of a poll that asks for [`FeedFormat::Compact`].
const FORMAT_FIELD: &str = "Feed-Format";
const COMPACT: &str = "compact";

/// The format of the answer to a poll.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum FeedFormat {
    /// Whole records, not compressed.
    #[default]
    Plain,
    /// Differences of large records, compressed.
    Compact,
}

impl FeedFormat {
    /// Returns the format that a poll with these header fields asks for.
    pub fn requested(fields: &Fields) -> Self {
        match fields.text(FORMAT_FIELD) {
            Some(COMPACT) => Self::Compact,
            _ => Self::Plain,
        }
    }

    /// Returns the header fields of a poll that asks for this format.
    pub fn fields(self) -> Fields {
        let mut fields = Fields::default();
        if self == Self::Compact {
            fields.add(FORMAT_FIELD, COMPACT);
        }
        fields
    }
}

/// Encodes changes.
pub fn encode(changes: &Changes, format: FeedFormat) -> io::Result<CompressedBody> {
    let body = serde_json::to_vec(changes)?;
    match format {
        FeedFormat::Plain => Ok(CompressedBody::plain(body)),
        FeedFormat::Compact => CompressedBody::new(body),
    }
}

/// Decodes the body of an answer with these header fields.
pub fn decode(fields: &Fields, body: &[u8]) -> io::Result<Changes> {
    let text = compressed_body::decode(fields, body)?;
    Ok(serde_json::from_slice(&text)?)
}
