//! The report of an experiment: one HTML page with its plots inside, and a summary in Markdown.

use crate::experiment::{Cell, Run};
use crate::series::Series;
use crate::stats::Verdict;
use anyhow::{anyhow, Result};
use plotters::prelude::*;
use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Write as _;

const WIDE: (u32, u32) = (860, 300);
/// Colours that stay apart for those who see colours otherwise (Okabe and Ito).
const COLOURS: [RGBColor; 7] = [
    RGBColor(0, 114, 178),
    RGBColor(213, 94, 0),
    RGBColor(0, 158, 115),
    RGBColor(204, 121, 167),
    RGBColor(230, 159, 0),
    RGBColor(86, 180, 233),
    RGBColor(0, 0, 0),
];

fn fault<E: std::fmt::Debug>(e: E) -> anyhow::Error {
    anyhow!("cannot draw: {e:?}")
}

/// One line of a plot.
pub struct Line {
    /// Its name.
    pub name: String,
    /// Its points, by x.
    pub points: Vec<(f64, f64)>,
    /// Ends of the interval of each point, where known.
    pub bars: Vec<(f64, f64, f64)>,
}

/// What a plot shows.
#[derive(Default)]
pub struct Plot<'a> {
    /// Its title,
    pub title: &'a str,
    /// the name of the horizontal axis,
    pub x: &'a str,
    /// of the vertical one,
    pub y: &'a str,
    /// and spans that are shaded.
    pub shades: Vec<(f64, f64)>,
    /// The vertical axis begins at 0 and ends here at least.
    pub least_top: f64,
    /// Both axes are logarithmic.
    pub log: bool,
}

/// Lines as an SVG.
///
/// # Errors
/// If it can't be drawn.
#[expect(clippy::too_many_lines, reason = "to be split: docs/ROADMAP.md lists it")]
pub fn lines(plot: &Plot<'_>, lines: &[Line]) -> Result<String> {
    let mut svg = String::new();
    {
        let root = SVGBackend::with_string(&mut svg, WIDE).into_drawing_area();
        root.fill(&WHITE).map_err(fault)?;
        let points = || lines.iter().flat_map(|l| l.points.iter());
        let least = |x: f64| if plot.log { x.max(1e-6) } else { x };
        let (x0, x1) =
            points().fold((f64::INFINITY, f64::NEG_INFINITY), |(a, b), (x, _)| (a.min(*x), b.max(*x)));
        let (y0, y1) =
            points().fold((f64::INFINITY, plot.least_top), |(a, b), (_, y)| (a.min(*y), b.max(*y)));
        let (x0, x1) = if x0 < x1 { (x0, x1) } else { (0.0, 1.0) };
        let top = if y1 > 0.0 { y1 * 1.05 } else { 1.0 };
        let mut builder = ChartBuilder::on(&root);
        builder.caption(plot.title, ("sans-serif", 16)).margin(8).x_label_area_size(32).y_label_area_size(52);
        let style = |i: usize| COLOURS[i % COLOURS.len()];
        if plot.log {
            let mut chart = builder
                .build_cartesian_2d((least(x0)..x1).log_scale(), (least(y0)..top).log_scale())
                .map_err(fault)?;
            chart
                .configure_mesh()
                .x_desc(plot.x)
                .y_desc(plot.y)
                .light_line_style(WHITE)
                .draw()
                .map_err(fault)?;
            for (i, l) in lines.iter().enumerate() {
                let c = style(i);
                let all = l.points.iter().map(|(x, y)| (least(*x), least(*y)));
                chart
                    .draw_series(LineSeries::new(all, c.stroke_width(2)))
                    .map_err(fault)?
                    .label(&l.name)
                    .legend(move |(x, y)| PathElement::new([(x, y), (x + 14, y)], c.stroke_width(2)));
            }
            chart.configure_series_labels().background_style(WHITE.mix(0.8)).draw().map_err(fault)?;
        } else {
            let mut chart = builder.build_cartesian_2d(x0..x1, 0.0..top).map_err(fault)?;
            chart
                .configure_mesh()
                .x_desc(plot.x)
                .y_desc(plot.y)
                .light_line_style(WHITE)
                .draw()
                .map_err(fault)?;
            chart
                .draw_series(plot.shades.iter().map(|(a, b)| {
                    Rectangle::new(
                        [(a.max(x0), 0.0), (b.min(x1), top)],
                        RGBColor(120, 120, 120).mix(0.13).filled(),
                    )
                }))
                .map_err(fault)?;
            for (i, l) in lines.iter().enumerate() {
                let c = style(i);
                chart
                    .draw_series(LineSeries::new(l.points.iter().copied(), c.stroke_width(2)))
                    .map_err(fault)?
                    .label(&l.name)
                    .legend(move |(x, y)| PathElement::new([(x, y), (x + 14, y)], c.stroke_width(2)));
                chart
                    .draw_series(
                        l.bars.iter().map(|(x, a, b)| PathElement::new([(*x, *a), (*x, *b)], c.mix(0.6))),
                    )
                    .map_err(fault)?;
            }
            if lines.len() > 1 {
                chart.configure_series_labels().background_style(WHITE.mix(0.8)).draw().map_err(fault)?;
            }
        }
        root.present().map_err(fault)?;
    }
    Ok(svg)
}

/// Attempts by engine and second, as shades.
fn heat(series: &Series, title: &str) -> Result<String> {
    let mut svg = String::new();
    let rows = series.engines.len().max(1);
    let most = series.engines.values().flatten().copied().max().unwrap_or(1).max(1);
    {
        let height = (80 + 9 * rows as u32).clamp(160, 900);
        let root = SVGBackend::with_string(&mut svg, (WIDE.0, height)).into_drawing_area();
        root.fill(&WHITE).map_err(fault)?;
        let seconds = series.attempts.len().max(1);
        let mut chart = ChartBuilder::on(&root)
            .caption(title, ("sans-serif", 16))
            .margin(8)
            .x_label_area_size(32)
            .y_label_area_size(52)
            .build_cartesian_2d(0.0..seconds as f64, 0.0..rows as f64)
            .map_err(fault)?;
        chart.configure_mesh().disable_mesh().x_desc("seconds").y_desc("engine").draw().map_err(fault)?;
        let cells = series.engines.values().enumerate().flat_map(|(row, counts)| {
            counts.iter().enumerate().filter(|(_, n)| **n > 0).map(move |(s, n)| {
                let shade = f64::from(*n) / f64::from(most);
                let style = RGBColor(0, 90, 150).mix(0.08 + 0.92 * shade).filled();
                Rectangle::new([(s as f64, row as f64), (s as f64 + 1.0, row as f64 + 1.0)], style)
            })
        });
        chart.draw_series(cells).map_err(fault)?;
        root.present().map_err(fault)?;
    }
    Ok(svg)
}

/// A bar for each variant and size of a day: its service, as an SVG.
#[expect(clippy::too_many_lines, reason = "to be split: docs/ROADMAP.md lists it")]
fn bars(day: &str, cells: &[Cell]) -> Result<String> {
    let of: Vec<&Cell> = cells.iter().filter(|c| c.day == day && c.figure == "service").collect();
    let sizes: Vec<&str> = of.iter().map(|c| c.size.as_str()).collect::<BTreeSet<_>>().into_iter().collect();
    let mut variants: Vec<&str> = Vec::new();
    for c in &of {
        if !variants.contains(&c.variant.as_str()) {
            variants.push(&c.variant);
        }
    }
    let mut svg = String::new();
    {
        let height = (90 + 22 * variants.len() as u32).clamp(160, 1200);
        let root = SVGBackend::with_string(&mut svg, (WIDE.0, height)).into_drawing_area();
        root.fill(&WHITE).map_err(fault)?;
        let rows = variants.len().max(1) as f64;
        let title = format!("{day}, service by variant and size");
        let mut chart = ChartBuilder::on(&root)
            .caption(title, ("sans-serif", 16))
            .margin(8)
            .x_label_area_size(32)
            .y_label_area_size(130)
            .build_cartesian_2d(0.0..1.0, 0.0..rows)
            .map_err(fault)?;
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
            .map_err(fault)?;
        let thick = 0.8 / sizes.len().max(1) as f64;
        for (n, size) in sizes.iter().enumerate() {
            let colour = COLOURS[n % COLOURS.len()];
            let all = of.iter().filter(|c| c.size == *size).filter_map(|c| {
                let row = variants.iter().position(|v| *v == c.variant)? as f64;
                let top = rows - row - 0.1 - thick * n as f64;
                Some(Rectangle::new([(0.0, top - thick), (c.mean.mean, top)], colour.mix(0.8).filled()))
            });
            chart
                .draw_series(all)
                .map_err(fault)?
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
        chart.draw_series(names).map_err(fault)?;
        chart.configure_series_labels().background_style(WHITE.mix(0.9)).draw().map_err(fault)?;
        root.present().map_err(fault)?;
    }
    Ok(svg)
}

fn by_second(xs: &[u32]) -> Vec<(f64, f64)> {
    xs.iter().enumerate().map(|(s, n)| (s as f64, f64::from(*n))).collect()
}

fn escape(text: &str) -> String {
    text.replace('&', "&amp;").replace('<', "&lt;").replace('>', "&gt;")
}

/// A number with the digits that matter.
fn number(x: f64) -> String {
    match x.abs() {
        a if a >= 100.0 => format!("{x:.0}"),
        a if a >= 10.0 => format!("{x:.1}"),
        a if a >= 1.0 => format!("{x:.2}"),
        _ => format!("{x:.3}"),
    }
}

fn verdict(cell: &Cell) -> &'static str {
    match cell.compared.as_ref().map(|c| c.verdict) {
        Some(Verdict::Better) => "better",
        Some(Verdict::Worse) => "WORSE",
        Some(Verdict::Inconclusive) => "not told apart",
        None => "",
    }
}

/// A row for each cell: what it is, its mean, and what it is beside the first.
fn row(cell: &Cell) -> [String; 8] {
    let i = cell.mean;
    let c = cell.compared.as_ref();
    let difference = c.map(|c| {
        format!(
            "{} ({} to {})",
            number(c.difference.mean),
            number(c.difference.low),
            number(c.difference.high)
        )
    });
    let needed =
        c.and_then(|c| c.needed).map(|n| if n > 100_000 { "over 100000".into() } else { n.to_string() });
    [
        cell.day.clone(),
        cell.size.clone(),
        cell.variant.clone(),
        cell.figure.clone(),
        format!("{} ({} to {})", number(i.mean), number(i.low), number(i.high)),
        difference.unwrap_or_default(),
        needed.unwrap_or_default(),
        verdict(cell).to_string(),
    ]
}

const HEAD: [&str; 8] =
    ["day", "size", "variant", "figure", "mean (98%)", "difference (98%)", "pairs needed", "verdict"];

/// The summary in Markdown.
pub fn markdown(name: &str, cells: &[Cell]) -> String {
    let mut out = format!("# {name}\n\n| {} |\n|{}\n", HEAD.join(" | "), "---|".repeat(HEAD.len()));
    for cell in cells {
        let _ = writeln!(out, "| {} |", row(cell).join(" | "));
    }
    out
}

/// The page.
///
/// # Errors
/// If a plot can't be drawn.
pub fn html(name: &str, runs: &[Run], cells: &[Cell]) -> Result<String> {
    let mut out = format!(
        "<!doctype html><html lang=\"en\"><meta charset=\"utf-8\"><title>{0}</title><style>body{{font:14px sans-serif;\
         max-width:64em;margin:2em auto;padding:0 1em}}table{{border-collapse:collapse}}td,th{{border:1px solid #ccc;\
         padding:2px 6px;text-align:left}}.WORSE{{background:#fdd}}.better{{background:#dfd}}</style><h1>{0}</h1>\n",
        escape(name)
    );
    let seeds: BTreeSet<u64> = runs.iter().map(|r| r.key.seed).collect();
    let _ = writeln!(
        out,
        "<p>{} runs, {} seeds. Intervals are of 98%: bootstrap over seeds, and for a verdict Student's t of the paired \
         differences besides. Courses and latencies are those of the first seed.</p>",
        runs.len(),
        seeds.len()
    );
    out.push_str(&curves(cells)?);
    let days: BTreeSet<&str> = cells.iter().map(|c| c.day.as_str()).collect();
    for day in days {
        out.push_str(&bars(day, cells)?);
    }
    let mut places: BTreeMap<(&str, &str), Vec<(&str, &Series)>> = BTreeMap::new();
    for run in runs {
        if let Some(series) = &run.series {
            places.entry((&run.key.day, &run.key.size)).or_default().push((&run.key.variant, series));
        }
    }
    for ((day, size), mut variants) in places {
        variants.sort_by_key(|(name, _)| *name);
        let _ = writeln!(out, "<h2>{}, {}</h2>", escape(day), escape(size));
        out.push_str(&courses(&variants)?);
    }
    let _ = writeln!(out, "<h2>All figures</h2><table><tr><th>{}</tr>", HEAD.join("<th>"));
    for cell in cells {
        let row = row(cell).map(|x| escape(&x));
        let _ = writeln!(out, "<tr class=\"{}\"><td>{}</tr>", verdict(cell), row.join("<td>"));
    }
    out.push_str("</table></html>\n");
    Ok(out)
}

/// Goodput and service against offered load, where an experiment has several loads.
fn curves(cells: &[Cell]) -> Result<String> {
    let mut out = String::new();
    let load = |c: &Cell| c.size.strip_prefix('x').and_then(|x| x.split(',').next()?.parse::<f64>().ok());
    let days: BTreeSet<&str> = cells.iter().map(|c| c.day.as_str()).collect();
    for day in days {
        for (figure, title) in [
            ("goodput_per_s", "goodput: worth answered in time, in queries a second"),
            ("service", "service: share of the worth answered in time"),
        ] {
            let mut by_variant: BTreeMap<&str, Line> = BTreeMap::new();
            for c in cells.iter().filter(|c| c.day == day && c.figure == figure) {
                let Some(x) = load(c) else { continue };
                let l = by_variant.entry(&c.variant).or_insert_with(|| Line {
                    name: c.variant.clone(),
                    points: Vec::new(),
                    bars: Vec::new(),
                });
                l.points.push((x, c.mean.mean));
                l.bars.push((x, c.mean.low, c.mean.high));
            }
            let mut all: Vec<Line> = by_variant.into_values().collect();
            all.iter_mut().for_each(|l| l.points.sort_by(|a, b| a.0.total_cmp(&b.0)));
            if all.iter().all(|l| l.points.len() < 2) {
                continue;
            }
            let title = format!("{day}, {title}");
            let plot =
                Plot { title: &title, x: "offered load, times the day's rate", y: figure, ..Plot::default() };
            out.push_str(&lines(&plot, &all)?);
        }
    }
    Ok(out)
}

fn courses(variants: &[(&str, &Series)]) -> Result<String> {
    let mut out = String::new();
    let shades: Vec<(f64, f64)> =
        variants.first().map(|(_, s)| s.shades.iter().map(|s| (s.from, s.to)).collect()).unwrap_or_default();
    if let Some((_, s)) = variants.first().filter(|(_, s)| !s.shades.is_empty()) {
        let words: Vec<String> =
            s.shades.iter().map(|s| format!("{} {:.1} to {:.1} s", escape(&s.kind), s.from, s.to)).collect();
        let _ = writeln!(out, "<p>Troubles (shaded): {}.</p>", words.join("; "));
    }
    let line = |name: &str, points: Vec<(f64, f64)>| Line { name: name.into(), points, bars: Vec::new() };
    let service: Vec<Line> = variants
        .iter()
        .map(|(n, s)| line(n, s.service.iter().enumerate().map(|(t, x)| (t as f64, *x)).collect()))
        .collect();
    let plot = |title, y| Plot { title, x: "seconds", y, shades: shades.clone(), least_top: 1.0, log: false };
    out.push_str(&lines(&plot("service of what was wanted in each second", "share of worth"), &service)?);
    let latency: Vec<Line> = variants
        .iter()
        .map(|(n, s)| line(n, s.latency_ms.iter().map(|(q, ms)| (*ms, *q)).collect()))
        .filter(|l| !l.points.is_empty())
        .collect();
    if !latency.is_empty() {
        let p = Plot {
            title: "latency of what was served, from its intended send time",
            x: "ms",
            y: "share within",
            least_top: 1.0,
            ..Plot::default()
        };
        out.push_str(&lines(&p, &latency)?);
    }
    let decisions: Vec<Line> = variants.iter().map(|(n, s)| line(n, by_second(&s.attempts))).collect();
    out.push_str(&lines(&plot("attempts that engines received", "a second"), &decisions)?);
    for (name, s) in variants {
        let title = format!(
            "{name}: attempts by engine (darkest: {} a second)",
            s.engines.values().flatten().max().unwrap_or(&0)
        );
        out.push_str(&heat(s, &title)?);
        let ends = [
            line("served", by_second(&s.served)),
            line("refused", by_second(&s.refused)),
            line("failed", by_second(&s.failed)),
        ];
        let title = format!("{name}: final answers");
        let p =
            Plot { title: &title, x: "seconds", y: "a second", shades: shades.clone(), ..Plot::default() };
        out.push_str(&lines(&p, &ends)?);
        let reasons: Vec<String> =
            s.reasons.iter().map(|(why, n)| format!("<tr><td>{why}<td>{n}</tr>")).collect();
        let _ = writeln!(
            out,
            "<table><tr><th>{}: tries not served<th>number</tr>{}</table>",
            escape(name),
            reasons.concat()
        );
    }
    Ok(out)
}
