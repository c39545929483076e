//! The part of a response that a faulty server sends without end.

/// How many bytes are sent at a time of a part that is one line.
const FILLER: usize = 1 << 14;

/// The part of a response that a faulty server sends without end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndlessPart {
    /// Empty lines before the status line.
    EmptyLines,
    /// The status line.
    StatusLine,
    /// Header fields.
    Fields,
    /// The name of a header field.
    FieldName,
    /// The value of a header field.
    FieldValue,
    /// Interim responses.
    Interim,
    /// A body with an absurd length.
    Length,
    /// A body that ends with the connection.
    Body,
    /// Chunks.
    Chunks,
    /// The size of a chunk.
    ChunkSize,
    /// The line with the size of a chunk.
    ChunkLine,
    /// The fields after the last chunk.
    Trailers,
    /// One field after the last chunk.
    TrailerLine,
}

impl EndlessPart {
    /// All parts.
    pub const ALL: [Self; 13] = [
        Self::EmptyLines,
        Self::StatusLine,
        Self::Fields,
        Self::FieldName,
        Self::FieldValue,
        Self::Interim,
        Self::Length,
        Self::Body,
        Self::Chunks,
        Self::ChunkSize,
        Self::ChunkLine,
        Self::Trailers,
        Self::TrailerLine,
    ];

    /// Returns what precedes the part, and what is sent again and again. `fields` are the other fields
    /// of the head, with the ends of their lines.
    pub fn texts(self, fields: &str) -> (String, String) {
        let head = format!("HTTP/1.1 200 OK\r\n{fields}");
        let chunked = format!("{head}Transfer-Encoding: chunked\r\n\r\n");
        let filler = "x".repeat(FILLER);
        match self {
            Self::EmptyLines => (String::new(), "\r\n".repeat(FILLER / 2)),
            Self::StatusLine => ("HTTP/1.1 200 ".to_owned(), filler),
            Self::Fields => (head, format!("Field: {}\r\n", "x".repeat(1_000))),
            Self::FieldName => (head, filler),
            Self::FieldValue => (format!("{head}Field: "), filler),
            Self::Interim => (String::new(), "HTTP/1.1 103 Early\r\n\r\n".repeat(500)),
            Self::Length => (
                format!("{head}Content-Length: {}\r\n\r\n", 1_u64 << 62),
                filler,
            ),
            Self::Body => (format!("{head}\r\n"), filler),
            Self::Chunks => (chunked, format!("{FILLER:x}\r\n{filler}\r\n")),
            Self::ChunkSize => (chunked, "0".repeat(FILLER)),
            Self::ChunkLine => (format!("{chunked}1;"), filler),
            Self::Trailers => (format!("{chunked}0\r\n"), "Field: x\r\n".repeat(1_000)),
            Self::TrailerLine => (format!("{chunked}0\r\nField: "), filler),
        }
    }
}
