//! Goodput and latency over time, with the faults marked.

use std::io;
use std::path::Path;

use plotters::prelude::*;

use super::{Outcome, Plan, Record, Sample};

const SIZE_PIXELS: (u32, u32) = (1_200, 700);

/// Time that each point of the plot sums up.
const STEP_MS: u64 = 500;

/// Writes the plot as an SVG file.
pub(super) fn write(path: &Path, plan: &Plan, record: &Record) -> io::Result<()> {
    draw(path, plan, record).map_err(|e| io::Error::other(e.to_string()))
}

fn draw(
    path: &Path,
    plan: &Plan,
    record: &Record,
) -> Result<(), Box<dyn std::error::Error + Send + Sync>> {
    let fail = |e: DrawingAreaErrorKind<std::io::Error>| e.to_string();
    let root = SVGBackend::new(path, SIZE_PIXELS).into_drawing_area();
    root.fill(&WHITE).map_err(fail)?;
    let (upper, lower) = root.split_vertically(SIZE_PIXELS.1 / 2);
    let goodput = points(record, |all| {
        let whole = all.iter().filter(|s| s.outcome == Outcome::Whole);
        whole.count() as f64 * 1_000.0 / STEP_MS as f64
    });
    let latency = points(record, |all| {
        let mut took: Vec<u64> = all.iter().map(|s| s.took_ms).collect();
        took.sort_unstable();
        took.get(took.len() * 95 / 100).copied().unwrap_or(0) as f64
    });
    chart(&upper, "complete answers per second", plan, &goodput)?;
    chart(&lower, "95th percentile of the latency, ms", plan, &latency)?;
    root.present().map_err(fail)?;
    Ok(())
}

/// One point for each step of time: the value of the requests that ended in it.
fn points(record: &Record, value: impl Fn(&[&Sample]) -> f64) -> Vec<(f64, f64)> {
    let end = |s: &Sample| (s.at_ms + s.took_ms) / STEP_MS;
    let last = record.samples.iter().map(end).max().unwrap_or(0);
    let point = |step: u64| {
        let ended: Vec<&Sample> = record.samples.iter().filter(|s| end(s) == step).collect();
        ((step * STEP_MS) as f64 / 1_000.0, value(&ended))
    };
    (0..=last).map(point).collect()
}

fn chart(
    area: &DrawingArea<SVGBackend, plotters::coord::Shift>,
    title: &str,
    plan: &Plan,
    points: &[(f64, f64)],
) -> Result<(), String> {
    let fail = |e: DrawingAreaErrorKind<std::io::Error>| e.to_string();
    let (max_x, max_y) = points
        .iter()
        .fold((1.0f64, 1.0f64), |(x, y), p| (x.max(p.0), y.max(p.1)));
    let mut chart = ChartBuilder::on(area)
        .caption(title, ("sans-serif", 18))
        .margin(8)
        .x_label_area_size(28)
        .y_label_area_size(48)
        .build_cartesian_2d(0.0..max_x, 0.0..max_y * 1.05)
        .map_err(fail)?;
    chart
        .configure_mesh()
        .disable_x_mesh()
        .x_desc("seconds")
        .draw()
        .map_err(fail)?;
    for planned in &plan.faults {
        let at = planned.at_ms as f64 / 1_000.0;
        let line = vec![(at, 0.0), (at, max_y)];
        let mark = LineSeries::new(line, RED.mix(0.35));
        chart.draw_series(mark).map_err(fail)?;
        let name = planned.fault.name();
        let place = (at, max_y);
        let style = ("sans-serif", 9)
            .into_font()
            .transform(FontTransform::Rotate90);
        let text = std::iter::once(Text::new(name, place, style));
        chart.draw_series(text).map_err(fail)?;
    }
    let line = LineSeries::new(points.iter().copied(), &BLUE);
    chart.draw_series(line).map_err(fail)?;
    Ok(())
}
