//! Plots the results of requests over the time of a run, as SVG.

use crate::measure::{Results, Second};
use plotters::prelude::*;

/// Size of a plot, in pixels.
const SIZE: (u32, u32) = (960, 480);

/// One layer of the plot: its name, its colour and the function that returns its count in a second.
type Layer = (&'static str, RGBColor, fn(&Second) -> u32);

/// Layers of the plot, from bottom to top.
const LAYERS: [Layer; 5] = [
    ("good", RGBColor(60, 140, 70), |second| second.good),
    ("late", RGBColor(230, 170, 40), |second| second.late),
    ("refused", RGBColor(200, 60, 50), |second| second.refused),
    ("broken", RGBColor(90, 30, 90), |second| second.broken),
    ("over rate", RGBColor(190, 190, 190), |second| second.over_rate),
];

/// Returns a plot of the requests in each second by result, with a vertical line for each fault.
pub fn plot(results: &Results) -> String {
    let mut svg = String::new();
    if let Err(error) = draw(results, &mut svg) {
        // Drawing into a string has no I/O, so an error here is a bug in the plot.
        return format!("<!-- {error} -->");
    }
    svg
}

/// Draws the plot: a stacked bar for each second, with a layer for each result, and the faults.
fn draw(results: &Results, svg: &mut String) -> Result<(), Box<dyn std::error::Error>> {
    let root = SVGBackend::with_string(svg, SIZE).into_drawing_area();
    root.fill(&WHITE)?;
    let total = |second: &Second| LAYERS.iter().map(|(_, _, count)| count(second)).sum::<u32>();
    let max_requests = results.timeline.iter().map(total).max().unwrap_or(0).max(1);
    let seconds = results.timeline.len().max(1) as f64;
    let mut chart = ChartBuilder::on(&root)
        .caption(format!("{}: requests by second", results.experiment), ("sans-serif", 20))
        .margin(12)
        .x_label_area_size(36)
        .y_label_area_size(48)
        .build_cartesian_2d(0.0..seconds, 0..max_requests + 1)?;
    chart.configure_mesh().disable_x_mesh().x_desc("seconds").y_desc("requests").draw()?;
    for (index, (name, color, _)) in LAYERS.iter().enumerate() {
        let bars = results.timeline.iter().enumerate().map(|(second, counts)| {
            let height_of =
                |layers: usize| LAYERS[..layers].iter().map(|(_, _, count)| count(counts)).sum();
            let (low, high): (u32, u32) = (height_of(index), height_of(index + 1));
            let left = second as f64;
            Rectangle::new([(left, low), (left + 0.9, high)], color.filled())
        });
        chart
            .draw_series(bars)?
            .label(*name)
            .legend(|(x, y)| Rectangle::new([(x, y - 4), (x + 10, y + 4)], color.filled()));
    }
    for (at_s, _) in &results.faults {
        chart.draw_series(LineSeries::new(
            [(*at_s, 0), (*at_s, max_requests)],
            BLACK.stroke_width(1),
        ))?;
    }
    chart.configure_series_labels().background_style(WHITE.mix(0.8)).border_style(BLACK).draw()?;
    root.present()?;
    Ok(())
}
