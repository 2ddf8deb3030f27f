//! Writes the report of a comparison as a page with a plot.

use crate::bench::{BenchPlan, BenchRun};
use anyhow::{Result, anyhow};
use dispatch::RuleName;
use plotters::prelude::*;
use std::fmt::Write;

/// Size of the plot, in pixels.
const PLOT_SIZE: (u32, u32) = (900, 500);
/// Colours of the rules, in the order of [`RuleName::ALL`].
const COLOURS: [RGBColor; 4] =
    [RGBColor(20, 110, 60), RGBColor(190, 60, 40), RGBColor(40, 90, 180), RGBColor(150, 100, 20)];

/// Writes `latency.svg` and `index.html` to the folder of the plan.
pub fn write_page(plan: &BenchPlan, runs: &[BenchRun]) -> Result<()> {
    let path = plan.output.join("latency.svg");
    draw(plan, runs, &path).map_err(|cause| anyhow!("drawing the plot: {cause}"))?;
    let mut rows = String::new();
    for run in runs {
        let Some(short) = run.report.latencies.get("short") else {
            continue;
        };
        let _ = writeln!(
            rows,
            "<tr><td>{}<td>{}<td>{}<td>{:.0}<td>{:.0}<td>{:.2}<td>{:.2}<td>{:.2}",
            run.rule,
            run.load,
            run.report.seed,
            run.rate,
            run.report.served_per_second,
            short.p50_us as f64 / 1_000.0,
            short.p99_us as f64 / 1_000.0,
            short.p999_us as f64 / 1_000.0
        );
    }
    let page = format!(
        "<!doctype html><title>Dispatch rules compared</title><h1>Dispatch rules compared</h1>\
         <p>{} entry instances, {} backend servers, time scale {}.</p><img src=latency.svg>\
         <table border=1><tr><th>rule<th>load<th>seed<th>offered/s<th>served/s<th>short p50 ms\
         <th>p99 ms<th>p99.9 ms\n{rows}</table>\n",
        plan.entries, plan.servers, plan.scale
    );
    std::fs::write(plan.output.join("index.html"), page)?;
    Ok(())
}

fn draw(
    plan: &BenchPlan,
    runs: &[BenchRun],
    path: &std::path::Path,
) -> Result<(), Box<dyn std::error::Error>> {
    let area = SVGBackend::new(path, PLOT_SIZE).into_drawing_area();
    area.fill(&WHITE)?;
    let highest_ms = runs.iter().filter_map(p99_ms).fold(1.0, f64::max);
    let highest_load = plan.loads.iter().copied().fold(1.0, f64::max);
    let mut chart = ChartBuilder::on(&area)
        .caption("p99 of short requests by load", ("sans-serif", 20))
        .margin(12)
        .x_label_area_size(40)
        .y_label_area_size(60)
        .build_cartesian_2d(0.3..highest_load + 0.05, (1.0..highest_ms * 1.2).log_scale())?;
    chart.configure_mesh().x_desc("load").y_desc("ms").draw()?;
    for (rule, colour) in RuleName::ALL.into_iter().zip(COLOURS) {
        let points = plan.loads.iter().filter_map(|load| {
            let matching = runs.iter().filter(|run| run.rule == rule.as_str() && run.load == *load);
            let values: Vec<f64> = matching.filter_map(p99_ms).collect();
            let mean = values.iter().sum::<f64>() / values.len() as f64;
            (!values.is_empty()).then_some((*load, mean))
        });
        chart
            .draw_series(LineSeries::new(points, colour.stroke_width(2)))?
            .label(rule.as_str())
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 18, y)], colour));
    }
    chart.configure_series_labels().border_style(BLACK).background_style(WHITE).draw()?;
    area.present()?;
    Ok(())
}

/// Returns the 99th percentile of short requests, in milliseconds.
fn p99_ms(run: &BenchRun) -> Option<f64> {
    Some(run.report.latencies.get("short")?.p99_us as f64 / 1_000.0)
}
