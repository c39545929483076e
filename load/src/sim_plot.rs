//! A plot of the 99th percentile over the load.

use std::path::Path;

use carobshore_lib::prelude::Policy;
use eyre::eyre;
use plotters::chart::ChartBuilder;
use plotters::chart::SeriesLabelPosition;
use plotters::coord::Shift;
use plotters::drawing::DrawingArea;
use plotters::drawing::IntoDrawingArea;
use plotters::element::PathElement;
use plotters::prelude::IntoLogRange;
use plotters::prelude::SVGBackend;
use plotters::series::LineSeries;
use plotters::style::Color;
use plotters::style::RGBColor;
use plotters::style::WHITE;

use crate::sim_matrix::Comparison;
use crate::sim_spec::Routing;
use crate::summary::millis;

/// Width and height of one panel, in pixels.
const PANEL: (u32, u32) = (380, 300);

const FONT: &str = "sans-serif";

fn color(routing: Routing) -> RGBColor {
    match routing {
        Routing::Central => RGBColor(110, 110, 110),
        Routing::Policy(Policy::Random) => RGBColor(200, 60, 40),
        Routing::Policy(Policy::TwoChoices) => RGBColor(215, 145, 20),
        Routing::Policy(Policy::Homes) => RGBColor(30, 100, 180),
    }
}

/// Draws one panel for each installation and scenario.
pub fn draw(comparisons: &[Comparison], path: &Path) -> eyre::Result<()> {
    let mut panels: Vec<Vec<&Comparison>> = Vec::new();
    for comparison in comparisons {
        let key = |other: &Comparison| (other.spec.size.name, other.spec.scenario);
        let same = panels
            .iter_mut()
            .find(|panel| key(panel[0]) == key(comparison));
        match same {
            Some(panel) => panel.push(comparison),
            None => panels.push(vec![comparison]),
        }
    }
    let columns = panels.len().clamp(1, 5);
    let rows = panels.len().div_ceil(columns).max(1);
    let size = (PANEL.0 * columns as u32, PANEL.1 * rows as u32);
    let root = SVGBackend::new(path, size).into_drawing_area();
    root.fill(&WHITE).map_err(|error| eyre!("{error}"))?;
    for (area, panel) in root.split_evenly((rows, columns)).iter().zip(&panels) {
        draw_panel(area, panel).map_err(|error| eyre!("{error}"))?;
    }
    root.present()
        .map_err(|error| eyre!("{}: {error}", path.display()))
}

fn draw_panel(
    area: &DrawingArea<SVGBackend<'_>, Shift>,
    panel: &[&Comparison],
) -> Result<(), Box<dyn std::error::Error>> {
    let spec = &panel[0].spec;
    let results = panel.iter().flat_map(|comparison| &comparison.results);
    let highest = results
        .map(|result| millis(result.p99()))
        .fold(1.0, f64::max);
    let title = format!("{}, {}: p99 in ms over load", spec.size.name, spec.scenario);
    let mut chart = ChartBuilder::on(area)
        .caption(title, (FONT, 15))
        .margin(8)
        .x_label_area_size(24)
        .y_label_area_size(44)
        .build_cartesian_2d(0.4..0.95, (10.0..highest * 1.5).log_scale())?;
    chart.configure_mesh().label_style((FONT, 11)).draw()?;
    for routing in Routing::ALL {
        let color = color(routing);
        let point = |comparison: &&Comparison| {
            let p99 = millis(comparison.result(routing).p99());
            (comparison.spec.load, p99.max(10.0))
        };
        chart
            .draw_series(LineSeries::new(
                panel.iter().map(point),
                color.stroke_width(2),
            ))?
            .label(routing.to_string())
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 14, y)], color));
    }
    chart
        .configure_series_labels()
        .position(SeriesLabelPosition::UpperLeft)
        .label_font((FONT, 11))
        .background_style(WHITE.mix(0.8))
        .draw()?;
    Ok(())
}
