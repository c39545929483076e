//! The layout of printed tables.

use comfy_table::ContentArrangement;
use comfy_table::Table;
use comfy_table::presets::NOTHING;

/// The spaces to the left and right of a cell's content.
const PADDING: (u16, u16) = (0, 2);

/// Returns an empty table with the given header. It does not depend on the terminal's width, so
/// that its output can be compared and searched.
pub(crate) fn table(header: &[&str]) -> Table {
    let mut table = Table::new();
    table
        .load_style(NOTHING)
        .set_content_arrangement(ContentArrangement::Disabled)
        .set_header(header.to_vec());
    for column in table.column_iter_mut() {
        column.set_padding(PADDING);
    }
    table
}
