//! Report as a self-contained HTML page.

use plotters::prelude::*;

use crate::burn::record;
use crate::burn::report;
use crate::burn::scrape;

/// Width and height of a plot, in pixels.
const PLOT_SIZE: (u32, u32) = (720, 240);

/// Renders the report as HTML.
///
/// # Errors
/// Returns the reason if a plot cannot be drawn.
pub fn render(
    summaries: &[report::Summary],
    readings: &[record::Reading],
) -> Result<String, String> {
    let mut page = String::from(
        "<!doctype html><html lang=\"en\"><meta charset=\"utf-8\"><title>Service-level burn</title>\
         <style>body{font:15px sans-serif;margin:2em;max-width:60em;color:#222}\
         table{border-collapse:collapse}td,th{padding:.3em .7em;text-align:right;border-bottom:1px solid #ccc}\
         td:first-child,th:first-child{text-align:left}.fast{color:#b00020;font-weight:bold}.slow{color:#a05a00}\
         svg{max-width:100%}</style><h1>Service-level burn</h1>",
    );
    page.push_str(&overview(readings));
    page.push_str(&table(summaries));
    for summary in summaries {
        page.push_str(&format!("<h2>{}</h2>", escape(&summary.labels.to_string())));
        page.push_str(&format!(
            "<p>Objective: {:.3} % served. Causes of failures: {}.</p>",
            summary.availability * 100.0,
            escape(&report::causes(summary))
        ));
        page.push_str(&plot(&summary.labels, readings, summary.availability)?);
    }
    page.push_str("</html>");
    Ok(page)
}

fn overview(readings: &[record::Reading]) -> String {
    let first = readings.first().map_or(0, |reading| reading.at_ms);
    let last = readings.last().map_or(0, |reading| reading.at_ms);
    let hosts = readings.last().map_or(0, |reading| reading.hosts);
    format!(
        "<p>{} readings of {hosts} entry hosts over {} s. At a burn rate of 1, the budget lasts \
         exactly 30 days. The alarm is fast from a burn rate of 14.4 in both the last 5 minutes and \
         the last hour, and slow from 1 in both the last 6 hours and the last 3 days.</p>",
        readings.len(),
        (last - first) / 1000
    )
}

fn table(summaries: &[report::Summary]) -> String {
    let mut rows = String::from(
        "<table><tr><th>service/class<th>requests<th>failed<th>slow<th>burn 5m<th>1h<th>6h<th>3d\
         <th>budget used<th>alarm</tr>",
    );
    for summary in summaries {
        let alarm = format!("{:?}", summary.alarm).to_lowercase();
        rows.push_str(&format!(
            "<tr><td>{}<td>{}<td>{}<td>{}",
            escape(&summary.labels.to_string()),
            summary.requests,
            summary.failures,
            summary.slow
        ));
        for rate in summary.burn.values() {
            match rate {
                Some(rate) => rows.push_str(&format!("<td>{rate:.2}")),
                None => rows.push_str("<td>-"),
            }
        }
        rows.push_str(&format!(
            "<td>{:.2} %<td class=\"{alarm}\">{alarm}</tr>",
            summary.budget_used * 100.0
        ));
    }
    rows.push_str("</table>");
    rows
}

fn escape(text: &str) -> String {
    text.replace('&', "&amp;").replace('<', "&lt;")
}

/// Plots the burn rate between consecutive readings.
fn plot(
    labels: &scrape::Labels,
    readings: &[record::Reading],
    availability: f64,
) -> Result<String, String> {
    let points = points(labels, readings, availability);
    let end = points.last().map_or(1.0, |point| point.0).max(1.0);
    let top = points.iter().map(|point| point.1).fold(1.0, f64::max) * 1.1;
    let mut svg = String::new();
    {
        let root = SVGBackend::with_string(&mut svg, PLOT_SIZE).into_drawing_area();
        let mut chart = ChartBuilder::on(&root)
            .margin(8)
            .x_label_area_size(32)
            .y_label_area_size(48)
            .build_cartesian_2d(0.0..end, 0.0..top)
            .map_err(|error| error.to_string())?;
        chart
            .configure_mesh()
            .x_desc("seconds")
            .y_desc("burn rate")
            .draw()
            .map_err(|error| error.to_string())?;
        chart
            .draw_series(LineSeries::new(points, &BLUE))
            .map_err(|error| error.to_string())?;
        chart
            .draw_series(LineSeries::new([(0.0, 1.0), (end, 1.0)], &RED))
            .map_err(|error| error.to_string())?;
        root.present().map_err(|error| error.to_string())?;
    }
    Ok(svg)
}

fn points(
    labels: &scrape::Labels,
    readings: &[record::Reading],
    availability: f64,
) -> Vec<(f64, f64)> {
    let start = readings.first().map_or(0, |reading| reading.at_ms);
    let allowed = (1.0 - availability).max(f64::EPSILON);
    let none = scrape::Counts::default();
    let pairs = readings.windows(2);
    pairs
        .map(|pair| {
            let earlier = pair[0].sample.get(labels).unwrap_or(&none);
            let later = pair[1].sample.get(labels).unwrap_or(&none);
            let counts = later.since(earlier);
            let share = counts.failures() as f64 / counts.requests.max(1) as f64;
            let seconds = (pair[1].at_ms - start) as f64 / 1000.0;
            (seconds, share / allowed)
        })
        .collect()
}
