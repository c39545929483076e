//! Text and JSON output.

use carobshore_lib::prelude::*;
use serde::Serialize;
use serde_json::json;

/// Prints the result of a command as JSON or as text.
pub(crate) fn print(json: bool, value: &impl Serialize, text: &str) -> eyre::Result<()> {
    if json {
        println!("{}", serde_json::to_string_pretty(value)?);
    } else {
        println!("{}", text.trim_end());
    }
    Ok(())
}

/// Prints an error to the error stream.
pub(crate) fn print_error(json: bool, report: &eyre::Report) {
    match (json, report.downcast_ref::<Error>()) {
        (true, Some(error)) => eprintln!("{}", json!({ "error": error })),
        (true, None) => eprintln!("{}", json!({ "error": { "message": report.to_string() } })),
        (false, Some(error)) => {
            eprintln!(
                "error [{}]: {}\n  next: {}",
                error.code, error.message, error.help
            );
        }
        (false, None) => eprintln!("error: {report:#}"),
    }
}
