//! Draws the report of an experiment as an SVG chart.

use std::path::Path;

use indexmap::IndexMap;
use plotters::coord::Shift;
use plotters::coord::types::RangedCoordf64;
use plotters::prelude::*;

use crate::experiment::ExperimentReport;

const WIDTH_PX: u32 = 1200;
const CHART_WIDTH_PX: u32 = 1000;
const LEGEND_TOP_PX: i32 = 40;
const LEGEND_LINE_HEIGHT_PX: i32 = 20;
const TITLE_HEIGHT_PX: u32 = 50;
const PANEL_HEIGHT_PX: u32 = 320;
const MAX_LABEL_CHARS: usize = 48;
const MIN_LATENCY_MS: f64 = 1.0;
const FAULT_MARK_COLOR: RGBColor = RGBColor(120, 120, 120);
/// Colours that can be told apart in greyscale print and by colour-blind readers.
const LINE_COLORS: [RGBColor; 8] = [
    RGBColor(0, 114, 178),
    RGBColor(213, 94, 0),
    RGBColor(0, 158, 115),
    RGBColor(204, 121, 167),
    RGBColor(230, 159, 0),
    RGBColor(86, 180, 233),
    RGBColor(0, 0, 0),
    RGBColor(150, 120, 60),
];

type PictureArea<'a> = DrawingArea<SVGBackend<'a>, Shift>;
type PictureResult = Result<(), Box<dyn std::error::Error>>;

/// A panel of the chart, with named lines over the time in seconds.
struct ChartPanel {
    title: &'static str,
    lines: IndexMap<Box<str>, Vec<(f64, f64)>>,
    is_logarithmic: bool,
}

/// Draws the panels of a report, one below the other, into an SVG file at `path`.
///
/// # Errors
///
/// Fails with the text of the error if the file cannot be written.
pub fn draw_report(report: &ExperimentReport, path: &Path) -> Result<(), Box<str>> {
    draw_panels(report, path).map_err(|error| error.to_string().into())
}

fn draw_panels(report: &ExperimentReport, path: &Path) -> PictureResult {
    let panels = report_panels(report);
    let height = TITLE_HEIGHT_PX + PANEL_HEIGHT_PX * panels.len() as u32;
    let root = SVGBackend::new(path, (WIDTH_PX, height)).into_drawing_area();
    root.fill(&WHITE)?;
    let (title, rest) = root.split_vertically(TITLE_HEIGHT_PX);
    let measures = &report.measures;
    let text = format!(
        "{} ({}): {:.2}% answered, worst customer p99 {:.0} ms, wrongful refusals {:.3}%, overshoot {:.1}",
        report.name,
        report.deployment.name(),
        100.0 * measures.answered_share,
        measures.worst_p99_ms,
        100.0 * measures.wrongful_refusal_share,
        measures.overshoot
    );
    title.titled(&text, ("sans-serif", 20))?;
    for (panel, area) in panels.iter().zip(rest.split_evenly((panels.len(), 1))) {
        draw_panel(panel, report, &area)?;
    }
    root.present()?;
    Ok(())
}

fn report_panels(report: &ExperimentReport) -> Vec<ChartPanel> {
    let by_second = |values: &[f64]| -> Vec<(f64, f64)> {
        values.iter().enumerate().map(|(second, value)| (second as f64 + 0.5, *value)).collect()
    };
    let counts = |values: &[u64]| -> Vec<(f64, f64)> {
        by_second(&values.iter().map(|value| *value as f64).collect::<Vec<_>>())
    };
    let series = &report.series;
    let latency = series.p99_ms.iter().map(|(name, values)| {
        let points = by_second(values).into_iter().filter(|(_, value)| *value > 0.0);
        (name.clone(), points.collect())
    });
    let mut headroom: IndexMap<Box<str>, Vec<(f64, f64)>> = IndexMap::new();
    for sample in &report.headroom {
        for (region, share) in &sample.free_share {
            headroom.entry(region.clone()).or_default().push((sample.at_s, 100.0 * share));
        }
    }
    let unanswered = series.unanswered.iter().map(|(name, values)| (name.clone(), counts(values)));
    let answers = &series.answers_by_target_domain;
    let answers = answers.iter().map(|(name, values)| (name.clone(), counts(values)));
    let panel = |title, lines, is_logarithmic| ChartPanel { title, lines, is_logarithmic };
    vec![
        panel("99th percentile of latency by customer, in ms", latency.collect(), true),
        panel("free slots by region, in percent", headroom, false),
        panel("requests not answered in each second, by reason", unanswered.collect(), false),
        panel("answers in each second, by the target's failure domain", answers.collect(), false),
    ]
}

fn draw_panel(
    panel: &ChartPanel,
    report: &ExperimentReport,
    area: &PictureArea<'_>,
) -> PictureResult {
    let points = panel.lines.values().flatten();
    let top = points.map(|(_, value)| *value).fold(MIN_LATENCY_MS * 10.0, f64::max) * 1.1;
    let (area, legend) = area.split_horizontally(CHART_WIDTH_PX);
    draw_legend(panel, &legend)?;
    let mut builder = ChartBuilder::on(&area);
    builder
        .caption(panel.title, ("sans-serif", 16))
        .margin(8)
        .margin_right(16)
        .x_label_area_size(28)
        .y_label_area_size(56);
    let seconds = 0.0..report.seconds;
    match panel.is_logarithmic {
        true => {
            let range = (MIN_LATENCY_MS..top).log_scale();
            draw_chart_lines(builder.build_cartesian_2d(seconds, range)?, panel, report, top)
        }
        false => {
            draw_chart_lines(builder.build_cartesian_2d(seconds, 0.0..top)?, panel, report, top)
        }
    }
}

fn draw_chart_lines<'a, Y>(
    mut chart: ChartContext<'a, SVGBackend<'a>, Cartesian2d<RangedCoordf64, Y>>,
    panel: &ChartPanel,
    report: &ExperimentReport,
    top: f64,
) -> PictureResult
where
    Y: Ranged<ValueType = f64> + plotters::coord::ranged1d::ValueFormatter<f64>,
{
    chart.configure_mesh().light_line_style(WHITE).y_labels(6).x_desc("seconds").draw()?;
    for (index, fault) in report.faults.iter().enumerate() {
        let bottom = if panel.is_logarithmic { MIN_LATENCY_MS } else { 0.0 };
        let mark = [(fault.at_s, bottom), (fault.at_s, top)];
        chart.draw_series(LineSeries::new(mark, FAULT_MARK_COLOR.stroke_width(1)))?;
        let height = top * (1.0 - 0.07 * (index % 4) as f64);
        let text: String = fault.what.chars().take(MAX_LABEL_CHARS).collect();
        let label = Text::new(text, (fault.at_s, height), ("sans-serif", 12));
        chart.draw_series(std::iter::once(label))?;
    }
    for (index, points) in panel.lines.values().enumerate() {
        let color = LINE_COLORS[index % LINE_COLORS.len()];
        chart.draw_series(LineSeries::new(points.iter().copied(), color.stroke_width(2)))?;
    }
    Ok(())
}

fn draw_legend(panel: &ChartPanel, area: &PictureArea<'_>) -> PictureResult {
    for (index, name) in panel.lines.keys().enumerate() {
        let color = LINE_COLORS[index % LINE_COLORS.len()];
        let y = LEGEND_TOP_PX + LEGEND_LINE_HEIGHT_PX * index as i32;
        area.draw(&PathElement::new([(4, y), (24, y)], color.stroke_width(2)))?;
        area.draw(&Text::new(name.to_string(), (30, y - 6), ("sans-serif", 13)))?;
    }
    Ok(())
}
