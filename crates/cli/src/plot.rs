//! Plots the burn rate of a report as SVG. The burn rate is the rate at which the error budget is
//! spent; at rate 1, it is spent exactly.

use chestnutrack_burn::Report;
use chestnutrack_burn::report::Row;
use plotters::prelude::*;

/// Width and height of a plot, in pixels.
const SIZE_PX: (u32, u32) = (960, 480);
/// Largest number of lines in a plot, not counting that of the whole service.
const LINES_MAX: usize = 6;
/// Number of hours that the plot covers.
const HOURS: i64 = 72;
/// Smallest upper end of the vertical axis. It keeps burn rate 1, which spends the budget exactly,
/// visible.
const AXIS_TOP_MIN: f64 = 1.5;

/// Returns an SVG plot of the burn rate by hour. It shows the whole service and the first rows of
/// the report, which are the organisations and routes with the least error budget left.
pub fn burn(report: &Report) -> String {
    let mut svg = String::new();
    if let Err(error) = draw(report, &mut svg) {
        // Drawing into a string fails only because of a bug in this module.
        return format!("<!-- {error} -->");
    }
    svg
}

/// Draws one line per row, and a grey line at burn rate 1, into `svg`.
fn draw(report: &Report, svg: &mut String) -> Result<(), Box<dyn std::error::Error>> {
    let area = SVGBackend::with_string(svg, SIZE_PX).into_drawing_area();
    area.fill(&WHITE)?;
    let rows: Vec<&Row> =
        std::iter::once(&report.whole).chain(report.rows.iter().take(LINES_MAX)).collect();
    let rates = rows.iter().flat_map(|row| row.hours.iter().map(|hour| hour.burn_rate));
    let axis_top = rates.fold(AXIS_TOP_MIN, f64::max) * 1.05;
    let mut chart = ChartBuilder::on(&area)
        .caption(format!("{}: burn rate by hour", report.service), ("sans-serif", 20))
        .margin(12)
        .x_label_area_size(36)
        .y_label_area_size(48)
        .build_cartesian_2d(-HOURS..0_i64, 0.0..axis_top)?;
    chart.configure_mesh().x_desc("hours from now").y_desc("burn rate").draw()?;
    chart.draw_series(LineSeries::new([(-HOURS, 1.0), (0, 1.0)], BLACK.mix(0.4)))?;
    for (index, row) in rows.iter().enumerate() {
        let color = Palette99::pick(index).to_rgba();
        let points = row
            .hours
            .iter()
            .map(|hour| (-i64::try_from(hour.back).unwrap_or(HOURS).min(HOURS), hour.burn_rate));
        let points: Vec<(i64, f64)> = points.collect();
        chart
            .draw_series(LineSeries::new(points, color.stroke_width(2)).point_size(2))?
            .label(label(row))
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 16, y)], color));
    }
    chart.configure_series_labels().background_style(WHITE.mix(0.8)).border_style(BLACK).draw()?;
    area.present()?;
    Ok(())
}

/// Returns the legend of a row; the row of the whole service has no route.
fn label(row: &Row) -> String {
    if row.route.is_empty() {
        return "whole service".to_owned();
    }
    format!("{} {}", row.organisation, row.route)
}
