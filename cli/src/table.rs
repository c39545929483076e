//! The form of the tables.

use comfy_table::ContentArrangement;
use comfy_table::Table;
use comfy_table::presets::NOTHING;

/// Returns an empty table with the given header. It does not depend on the terminal's width, so
/// that its output can be compared and searched.
pub(crate) fn table(header: &[&str]) -> Table {
    let mut table = Table::new();
    table
        .load_style(NOTHING)
        .set_content_arrangement(ContentArrangement::Disabled)
        .set_header(header.to_vec());
    table
}
