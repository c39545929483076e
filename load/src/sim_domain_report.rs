//! The table and the plot of a comparison of failure domains.

use std::path::Path;

use comfy_table::Table;
use comfy_table::presets::UTF8_FULL_CONDENSED;
use eyre::eyre;
use plotters::chart::ChartBuilder;
use plotters::drawing::IntoDrawingArea;
use plotters::element::PathElement;
use plotters::prelude::IntoLogRange;
use plotters::prelude::SVGBackend;
use plotters::series::LineSeries;
use plotters::style::Color;
use plotters::style::Palette;
use plotters::style::Palette99;
use plotters::style::WHITE;

use crate::sim_domains::DomainResult;
use crate::sim_domains::DomainRouting;
use crate::summary::millis;

/// Width and height of the plot, in pixels.
const SIZE: (u32, u32) = (480, 360);
const FONT: &str = "sans-serif";

/// The results at one load, in the order of [`DomainRouting::ALL`].
pub type LoadResults = (f64, Vec<DomainResult>);

/// Returns the table with one row for each load and way.
pub fn table(results: &[LoadResults]) -> Table {
    let mut table = Table::new();
    table.load_style(UTF8_FULL_CONDENSED);
    table.set_header(["load", "choice", "p50", "p99", "crossed KiB"]);
    for (load, of_load) in results {
        for (routing, result) in DomainRouting::ALL.iter().zip(of_load) {
            let quantile = |share| format!("{:.0}", millis(result.latencies.quantile(share)));
            table.add_row([
                load.to_string(),
                routing.to_string(),
                quantile(0.5),
                quantile(0.99),
                (result.crossed >> 10).to_string(),
            ]);
        }
    }
    table
}

/// Draws the 99th percentile over the load.
pub fn draw(results: &[LoadResults], path: &Path) -> eyre::Result<()> {
    try_draw(results, path).map_err(|error| eyre!("{}: {error}", path.display()))
}

fn try_draw(results: &[LoadResults], path: &Path) -> Result<(), Box<dyn std::error::Error>> {
    let p99 = |result: &DomainResult| millis(result.latencies.quantile(0.99));
    let all = results.iter().flat_map(|(_, of_load)| of_load);
    let highest = all.map(p99).fold(10.0, f64::max);
    let root = SVGBackend::new(path, SIZE).into_drawing_area();
    root.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&root)
        .caption("three domains: p99 in ms over load", (FONT, 15))
        .margin(8)
        .x_label_area_size(24)
        .y_label_area_size(44)
        .build_cartesian_2d(0.0..1.0, (1.0..highest * 1.5).log_scale())?;
    chart.configure_mesh().label_style((FONT, 11)).draw()?;
    for (index, routing) in DomainRouting::ALL.iter().enumerate() {
        let color = Palette99::pick(index).to_rgba();
        let points = results.iter();
        let points = points.map(|(load, of_load)| (*load, p99(&of_load[index]).max(1.0)));
        chart
            .draw_series(LineSeries::new(points, color.stroke_width(2)))?
            .label(routing.as_str())
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 14, y)], color));
    }
    chart
        .configure_series_labels()
        .label_font((FONT, 11))
        .background_style(WHITE.mix(0.8))
        .draw()?;
    root.present()?;
    Ok(())
}
