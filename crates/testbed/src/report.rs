//! Reports of experiments: an HTML page with inline SVG plots, and a summary in Markdown.

use crate::experiment::{MetricSummary, Run};
use crate::series::Series;
use crate::stats::Verdict;
use anyhow::{anyhow, Result};
use plotters::prelude::*;
use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Write as _;

/// Width and height of a plot in pixels.
const PLOT_SIZE: (u32, u32) = (860, 300);
/// Colours that people with colour blindness can distinguish (Okabe and Ito).
const COLOURS: [RGBColor; 7] = [
    RGBColor(0, 114, 178),
    RGBColor(213, 94, 0),
    RGBColor(0, 158, 115),
    RGBColor(204, 121, 167),
    RGBColor(230, 159, 0),
    RGBColor(86, 180, 233),
    RGBColor(0, 0, 0),
];

fn draw_error<E: std::fmt::Debug>(e: E) -> anyhow::Error {
    anyhow!("cannot draw a plot: {e:?}")
}

/// One line of a plot.
pub struct Line {
    /// Label in the legend.
    pub name: String,
    /// Points, in order of x.
    pub points: Vec<(f64, f64)>,
    /// Error bars, as x, low and high.
    pub error_bars: Vec<(f64, f64, f64)>,
}

/// Title, axes and options of a plot.
#[derive(Default)]
pub struct Plot<'a> {
    /// Title of the plot.
    pub title: &'a str,
    /// Label of the horizontal axis.
    pub x_label: &'a str,
    /// Label of the vertical axis.
    pub y_label: &'a str,
    /// Spans of x that are shaded.
    pub shaded_spans: Vec<(f64, f64)>,
    /// Minimum of the upper end of the vertical axis, on linear axes, which begin at 0.
    pub min_y_end: f64,
    /// Whether both axes are logarithmic.
    pub is_log_scale: bool,
}

/// Draws lines as an SVG image.
///
/// # Errors
/// If the plotting library fails.
#[expect(clippy::too_many_lines, reason = "to be split: docs/ROADMAP.md lists it")]
pub fn draw_lines(plot: &Plot<'_>, lines: &[Line]) -> Result<String> {
    let mut svg = String::new();
    {
        let root = SVGBackend::with_string(&mut svg, PLOT_SIZE).into_drawing_area();
        root.fill(&WHITE).map_err(draw_error)?;
        let points = || lines.iter().flat_map(|l| l.points.iter());
        let positive = |x: f64| if plot.is_log_scale { x.max(1e-6) } else { x };
        let (x0, x1) =
            points().fold((f64::INFINITY, f64::NEG_INFINITY), |(a, b), (x, _)| (a.min(*x), b.max(*x)));
        let (y0, y1) =
            points().fold((f64::INFINITY, plot.min_y_end), |(a, b), (_, y)| (a.min(*y), b.max(*y)));
        let (x0, x1) = if x0 < x1 { (x0, x1) } else { (0.0, 1.0) };
        let top = if y1 > 0.0 { y1 * 1.05 } else { 1.0 };
        let mut builder = ChartBuilder::on(&root);
        builder.caption(plot.title, ("sans-serif", 16)).margin(8).x_label_area_size(32).y_label_area_size(52);
        let style = |i: usize| COLOURS[i % COLOURS.len()];
        if plot.is_log_scale {
            let mut chart = builder
                .build_cartesian_2d((positive(x0)..x1).log_scale(), (positive(y0)..top).log_scale())
                .map_err(draw_error)?;
            chart
                .configure_mesh()
                .x_desc(plot.x_label)
                .y_desc(plot.y_label)
                .light_line_style(WHITE)
                .draw()
                .map_err(draw_error)?;
            for (i, l) in lines.iter().enumerate() {
                let c = style(i);
                let all = l.points.iter().map(|(x, y)| (positive(*x), positive(*y)));
                chart
                    .draw_series(LineSeries::new(all, c.stroke_width(2)))
                    .map_err(draw_error)?
                    .label(&l.name)
                    .legend(move |(x, y)| PathElement::new([(x, y), (x + 14, y)], c.stroke_width(2)));
            }
            chart.configure_series_labels().background_style(WHITE.mix(0.8)).draw().map_err(draw_error)?;
        } else {
            let mut chart = builder.build_cartesian_2d(x0..x1, 0.0..top).map_err(draw_error)?;
            chart
                .configure_mesh()
                .x_desc(plot.x_label)
                .y_desc(plot.y_label)
                .light_line_style(WHITE)
                .draw()
                .map_err(draw_error)?;
            chart
                .draw_series(plot.shaded_spans.iter().map(|(a, b)| {
                    Rectangle::new(
                        [(a.max(x0), 0.0), (b.min(x1), top)],
                        RGBColor(120, 120, 120).mix(0.13).filled(),
                    )
                }))
                .map_err(draw_error)?;
            for (i, l) in lines.iter().enumerate() {
                let c = style(i);
                chart
                    .draw_series(LineSeries::new(l.points.iter().copied(), c.stroke_width(2)))
                    .map_err(draw_error)?
                    .label(&l.name)
                    .legend(move |(x, y)| PathElement::new([(x, y), (x + 14, y)], c.stroke_width(2)));
                chart
                    .draw_series(
                        l.error_bars
                            .iter()
                            .map(|(x, a, b)| PathElement::new([(*x, *a), (*x, *b)], c.mix(0.6))),
                    )
                    .map_err(draw_error)?;
            }
            if lines.len() > 1 {
                chart
                    .configure_series_labels()
                    .background_style(WHITE.mix(0.8))
                    .draw()
                    .map_err(draw_error)?;
            }
        }
        root.present().map_err(draw_error)?;
    }
    Ok(svg)
}

/// Draws a heat map of attempts by engine and second, as an SVG image.
fn draw_attempt_heatmap(series: &Series, title: &str) -> Result<String> {
    let mut svg = String::new();
    let rows = series.engines.len().max(1);
    let max_count = series.engines.values().flatten().copied().max().unwrap_or(1).max(1);
    {
        let height = (80 + 9 * rows as u32).clamp(160, 900);
        let root = SVGBackend::with_string(&mut svg, (PLOT_SIZE.0, height)).into_drawing_area();
        root.fill(&WHITE).map_err(draw_error)?;
        let seconds = series.attempts.len().max(1);
        let mut chart = ChartBuilder::on(&root)
            .caption(title, ("sans-serif", 16))
            .margin(8)
            .x_label_area_size(32)
            .y_label_area_size(52)
            .build_cartesian_2d(0.0..seconds as f64, 0.0..rows as f64)
            .map_err(draw_error)?;
        chart
            .configure_mesh()
            .disable_mesh()
            .x_desc("seconds")
            .y_desc("engine")
            .draw()
            .map_err(draw_error)?;
        let rectangles = series.engines.values().enumerate().flat_map(|(row, counts)| {
            counts.iter().enumerate().filter(|(_, n)| **n > 0).map(move |(s, n)| {
                let shade = f64::from(*n) / f64::from(max_count);
                let style = RGBColor(0, 90, 150).mix(0.08 + 0.92 * shade).filled();
                Rectangle::new([(s as f64, row as f64), (s as f64 + 1.0, row as f64 + 1.0)], style)
            })
        });
        chart.draw_series(rectangles).map_err(draw_error)?;
        root.present().map_err(draw_error)?;
    }
    Ok(svg)
}

/// Draws the service of a day as a bar for each variant and size, as an SVG image.
#[expect(clippy::too_many_lines, reason = "to be split: docs/ROADMAP.md lists it")]
fn draw_service_bars(day: &str, summaries: &[MetricSummary]) -> Result<String> {
    let service: Vec<&MetricSummary> =
        summaries.iter().filter(|c| c.day == day && c.metric == "service").collect();
    let sizes: Vec<&str> =
        service.iter().map(|c| c.size.as_str()).collect::<BTreeSet<_>>().into_iter().collect();
    let mut variants: Vec<&str> = Vec::new();
    for c in &service {
        if !variants.contains(&c.variant.as_str()) {
            variants.push(&c.variant);
        }
    }
    let mut svg = String::new();
    {
        let height = (90 + 22 * variants.len() as u32).clamp(160, 1200);
        let root = SVGBackend::with_string(&mut svg, (PLOT_SIZE.0, height)).into_drawing_area();
        root.fill(&WHITE).map_err(draw_error)?;
        let rows = variants.len().max(1) as f64;
        let title = format!("{day}, service by variant and size");
        let mut chart = ChartBuilder::on(&root)
            .caption(title, ("sans-serif", 16))
            .margin(8)
            .x_label_area_size(32)
            .y_label_area_size(130)
            .build_cartesian_2d(0.0..1.0, 0.0..rows)
            .map_err(draw_error)?;
        let name = |y: &f64| {
            let row = (rows - y).floor() as usize;
            variants.get(row).copied().unwrap_or_default().to_string()
        };
        chart
            .configure_mesh()
            .disable_y_mesh()
            .light_line_style(WHITE)
            .x_desc("service")
            .y_labels(0)
            .y_label_formatter(&name)
            .draw()
            .map_err(draw_error)?;
        let bar_height = 0.8 / sizes.len().max(1) as f64;
        for (n, size) in sizes.iter().enumerate() {
            let colour = COLOURS[n % COLOURS.len()];
            let all = service.iter().filter(|c| c.size == *size).filter_map(|c| {
                let row = variants.iter().position(|v| *v == c.variant)? as f64;
                let top = rows - row - 0.1 - bar_height * n as f64;
                Some(Rectangle::new([(0.0, top - bar_height), (c.mean.mean, top)], colour.mix(0.8).filled()))
            });
            chart
                .draw_series(all)
                .map_err(draw_error)?
                .label(*size)
                .legend(move |(x, y)| Rectangle::new([(x, y - 4), (x + 12, y + 4)], colour.filled()));
        }
        let names = variants.iter().enumerate().map(|(row, v)| {
            Text::new(
                (*v).to_string(),
                (0.005, rows - row as f64 - 0.3),
                ("sans-serif", 12).into_font().color(&BLACK),
            )
        });
        chart.draw_series(names).map_err(draw_error)?;
        chart.configure_series_labels().background_style(WHITE.mix(0.9)).draw().map_err(draw_error)?;
        root.present().map_err(draw_error)?;
    }
    Ok(svg)
}

fn points_by_second(xs: &[u32]) -> Vec<(f64, f64)> {
    xs.iter().enumerate().map(|(s, n)| (s as f64, f64::from(*n))).collect()
}

fn escape(text: &str) -> String {
    text.replace('&', "&amp;").replace('<', "&lt;").replace('>', "&gt;")
}

/// Formats a number with at least three significant digits, or three decimals below 1.
fn format_number(x: f64) -> String {
    match x.abs() {
        a if a >= 100.0 => format!("{x:.0}"),
        a if a >= 10.0 => format!("{x:.1}"),
        a if a >= 1.0 => format!("{x:.2}"),
        _ => format!("{x:.3}"),
    }
}

fn verdict_label(summary: &MetricSummary) -> &'static str {
    match summary.compared.as_ref().map(|c| c.verdict) {
        Some(Verdict::Better) => "better",
        Some(Verdict::Worse) => "WORSE",
        Some(Verdict::Inconclusive) => "not told apart",
        None => "",
    }
}

/// The columns of a summary's table row, in the order of [`TABLE_HEADER`].
fn table_row(summary: &MetricSummary) -> [String; 8] {
    let i = summary.mean;
    let c = summary.compared.as_ref();
    let difference = c.map(|c| {
        format!(
            "{} ({} to {})",
            format_number(c.difference.mean),
            format_number(c.difference.low),
            format_number(c.difference.high)
        )
    });
    let needed =
        c.and_then(|c| c.pairs_needed)
            .map(|n| if n > 100_000 { "over 100000".into() } else { n.to_string() });
    [
        summary.day.clone(),
        summary.size.clone(),
        summary.variant.clone(),
        summary.metric.clone(),
        format!("{} ({} to {})", format_number(i.mean), format_number(i.low), format_number(i.high)),
        difference.unwrap_or_default(),
        needed.unwrap_or_default(),
        verdict_label(summary).to_string(),
    ]
}

const TABLE_HEADER: [&str; 8] =
    ["day", "size", "variant", "figure", "mean (98%)", "difference (98%)", "pairs needed", "verdict"];

/// Formats the summaries as a Markdown table.
pub fn markdown(name: &str, summaries: &[MetricSummary]) -> String {
    let mut out =
        format!("# {name}\n\n| {} |\n|{}\n", TABLE_HEADER.join(" | "), "---|".repeat(TABLE_HEADER.len()));
    for summary in summaries {
        let _ = writeln!(out, "| {} |", table_row(summary).join(" | "));
    }
    out
}

/// Builds the HTML page.
///
/// # Errors
/// If a plot can't be drawn.
pub fn html(name: &str, runs: &[Run], summaries: &[MetricSummary]) -> Result<String> {
    let mut out = format!(
        "<!doctype html><html lang=\"en\"><meta charset=\"utf-8\"><title>{0}</title><style>body{{font:14px sans-serif;\
         max-width:64em;margin:2em auto;padding:0 1em}}table{{border-collapse:collapse}}td,th{{border:1px solid #ccc;\
         padding:2px 6px;text-align:left}}.WORSE{{background:#fdd}}.better{{background:#dfd}}</style><h1>{0}</h1>\n",
        escape(name)
    );
    let seeds: BTreeSet<u64> = runs.iter().map(|r| r.key.seed).collect();
    let _ = writeln!(
        out,
        "<p>{} runs, {} seeds. Intervals have a confidence level of 98%: bootstrap over seeds; a verdict also needs Student's t interval of the \
         paired differences to exclude zero. Time series and latencies are those of the first seed.</p>",
        runs.len(),
        seeds.len()
    );
    out.push_str(&draw_load_curves(summaries)?);
    let days: BTreeSet<&str> = summaries.iter().map(|c| c.day.as_str()).collect();
    for day in days {
        out.push_str(&draw_service_bars(day, summaries)?);
    }
    let mut series_by_day_and_size: BTreeMap<(&str, &str), Vec<(&str, &Series)>> = BTreeMap::new();
    for run in runs {
        if let Some(series) = &run.series {
            series_by_day_and_size
                .entry((&run.key.day, &run.key.size))
                .or_default()
                .push((&run.key.variant, series));
        }
    }
    for ((day, size), mut variants) in series_by_day_and_size {
        variants.sort_by_key(|(name, _)| *name);
        let _ = writeln!(out, "<h2>{}, {}</h2>", escape(day), escape(size));
        out.push_str(&draw_time_series(&variants)?);
    }
    let _ = writeln!(out, "<h2>All figures</h2><table><tr><th>{}</tr>", TABLE_HEADER.join("<th>"));
    for summary in summaries {
        let row = table_row(summary).map(|x| escape(&x));
        let _ = writeln!(out, "<tr class=\"{}\"><td>{}</tr>", verdict_label(summary), row.join("<td>"));
    }
    out.push_str("</table></html>\n");
    Ok(out)
}

/// Plots goodput and service against offered load, for experiments with several loads.
fn draw_load_curves(summaries: &[MetricSummary]) -> Result<String> {
    let mut out = String::new();
    let load =
        |c: &MetricSummary| c.size.strip_prefix('x').and_then(|x| x.split(',').next()?.parse::<f64>().ok());
    let days: BTreeSet<&str> = summaries.iter().map(|c| c.day.as_str()).collect();
    for day in days {
        for (metric, title) in [
            ("goodput_per_s", "goodput: value answered in time, in queries per second"),
            ("service", "service: share of the value answered in time"),
        ] {
            let mut by_variant: BTreeMap<&str, Line> = BTreeMap::new();
            for c in summaries.iter().filter(|c| c.day == day && c.metric == metric) {
                let Some(x) = load(c) else { continue };
                let l = by_variant.entry(&c.variant).or_insert_with(|| Line {
                    name: c.variant.clone(),
                    points: Vec::new(),
                    error_bars: Vec::new(),
                });
                l.points.push((x, c.mean.mean));
                l.error_bars.push((x, c.mean.low, c.mean.high));
            }
            let mut all: Vec<Line> = by_variant.into_values().collect();
            all.iter_mut().for_each(|l| l.points.sort_by(|a, b| a.0.total_cmp(&b.0)));
            if all.iter().all(|l| l.points.len() < 2) {
                continue;
            }
            let title = format!("{day}, {title}");
            let plot = Plot {
                title: &title,
                x_label: "offered load, as a multiple of the day's rate",
                y_label: metric,
                ..Plot::default()
            };
            out.push_str(&draw_lines(&plot, &all)?);
        }
    }
    Ok(out)
}

fn line(name: &str, points: Vec<(f64, f64)>) -> Line {
    Line { name: name.into(), points, error_bars: Vec::new() }
}

/// Plots the time series of all variants of one day and size.
fn draw_time_series(variants: &[(&str, &Series)]) -> Result<String> {
    let mut out = String::new();
    let shaded_spans: Vec<(f64, f64)> = variants
        .first()
        .map(|(_, s)| s.trouble_spans.iter().map(|s| (s.from, s.to)).collect())
        .unwrap_or_default();
    if let Some((_, s)) = variants.first().filter(|(_, s)| !s.trouble_spans.is_empty()) {
        let descriptions: Vec<String> = s
            .trouble_spans
            .iter()
            .map(|s| format!("{} {:.1} to {:.1} s", escape(&s.kind), s.from, s.to))
            .collect();
        let _ = writeln!(out, "<p>Troubles (shaded): {}.</p>", descriptions.join("; "));
    }
    let service: Vec<Line> = variants
        .iter()
        .map(|(n, s)| line(n, s.service.iter().enumerate().map(|(t, x)| (t as f64, *x)).collect()))
        .collect();
    let plot = |title, y_label| Plot {
        title,
        x_label: "seconds",
        y_label,
        shaded_spans: shaded_spans.clone(),
        min_y_end: 1.0,
        is_log_scale: false,
    };
    out.push_str(&draw_lines(
        &plot("service of the queries first due in each second", "share of value"),
        &service,
    )?);
    let latency: Vec<Line> = variants
        .iter()
        .map(|(n, s)| line(n, s.latency_ms.iter().map(|(q, ms)| (*ms, *q)).collect()))
        .filter(|l| !l.points.is_empty())
        .collect();
    if !latency.is_empty() {
        let p = Plot {
            title: "latency of served tries, from the intended send time",
            x_label: "ms",
            y_label: "cumulative share",
            min_y_end: 1.0,
            ..Plot::default()
        };
        out.push_str(&draw_lines(&p, &latency)?);
    }
    let attempts: Vec<Line> = variants.iter().map(|(n, s)| line(n, points_by_second(&s.attempts))).collect();
    out.push_str(&draw_lines(&plot("attempts that engines received", "per second"), &attempts)?);
    for (name, s) in variants {
        out.push_str(&draw_variant(name, s, &shaded_spans)?);
    }
    Ok(out)
}

/// Plots the attempts by engine and the final answers of one variant, and lists the reasons of tries that were not served.
fn draw_variant(name: &str, s: &Series, shaded_spans: &[(f64, f64)]) -> Result<String> {
    let mut out = String::new();
    let title = format!(
        "{name}: attempts by engine (darkest: {} per second)",
        s.engines.values().flatten().max().unwrap_or(&0)
    );
    out.push_str(&draw_attempt_heatmap(s, &title)?);
    let outcomes = [
        line("served", points_by_second(&s.served)),
        line("refused", points_by_second(&s.refused)),
        line("failed", points_by_second(&s.failed)),
    ];
    let title = format!("{name}: final answers");
    let p = Plot {
        title: &title,
        x_label: "seconds",
        y_label: "per second",
        shaded_spans: shaded_spans.to_vec(),
        ..Plot::default()
    };
    out.push_str(&draw_lines(&p, &outcomes)?);
    let reasons: Vec<String> =
        s.reasons.iter().map(|(why, n)| format!("<tr><td>{why}<td>{n}</tr>")).collect();
    let _ = writeln!(
        out,
        "<table><tr><th>{}: tries not served<th>number</tr>{}</table>",
        escape(name),
        reasons.concat()
    );
    Ok(out)
}
