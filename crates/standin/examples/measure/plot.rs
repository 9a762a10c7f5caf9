use std::error::Error;

use plotters::prelude::{
    ChartBuilder, Color, IntoDrawingArea, LineSeries, PathElement, RGBColor, SVGBackend, WHITE,
};

use crate::measurements::Measurements;

const SIZE: (u32, u32) = (800, 480);
const COLOURS: [RGBColor; 4] =
    [RGBColor(120, 120, 120), RGBColor(0, 90, 180), RGBColor(200, 90, 0), RGBColor(0, 130, 80)];
const LABEL_PIXELS: u32 = 50;
const LEGEND_PIXELS: i32 = 20;

/// Draws the latency of app calls by quantile, one line per policy.
pub(crate) fn draw(path: &str, results: &[Measurements]) -> Result<(), Box<dyn Error>> {
    let area = SVGBackend::new(path, SIZE).into_drawing_area();
    area.fill(&WHITE)?;
    let points = |measurements: &Measurements| {
        let float = |ms| f64::from(u32::try_from(ms).unwrap_or(u32::MAX));
        measurements
            .app_latency_ms
            .iter()
            .map(move |(at, ms)| (*at, float(*ms)))
            .collect::<Vec<_>>()
    };
    let highest = results.iter().flat_map(points).map(|(_, ms)| ms).fold(1.0, f64::max);
    let mut chart = ChartBuilder::on(&area)
        .margin(20)
        .x_label_area_size(LABEL_PIXELS)
        .y_label_area_size(LABEL_PIXELS)
        .build_cartesian_2d(0.0..1.0, 0.0..highest)?;
    chart.configure_mesh().x_desc("quantile of app calls").y_desc("latency, ms").draw()?;
    for (measurements, colour) in results.iter().zip(COLOURS.iter().cycle()) {
        let line =
            chart.draw_series(LineSeries::new(points(measurements), colour.stroke_width(2)))?;
        let label = format!(
            "{} {}, seed {}",
            measurements.scenario, measurements.policy, measurements.seed
        );
        line.label(label).legend(|(x, y)| {
            PathElement::new([(x, y), (x + LEGEND_PIXELS, y)], colour.stroke_width(2))
        });
    }
    chart.configure_series_labels().background_style(WHITE).border_style(COLOURS[0]).draw()?;
    area.present()?;
    Ok(())
}
