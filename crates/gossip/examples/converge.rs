//! Measures how long groups of several sizes take to agree after a simultaneous start, and the traffic of each member, on the
//! emulated network of the tests with and without loss. Prints CSV and draws a plot: `converge OUT.svg [N...]`.

#[path = "../tests/common/mod.rs"]
mod common;

use common::{Network, SECOND};
use plotters::prelude::*;
use wheelfield_gossip::MembershipConfig;

struct Point {
    nodes: usize,
    loss: f64,
    /// Seconds until each node knows all others.
    agreed_s: f64,
    /// Bytes per second sent by each node afterwards.
    bytes_s: f64,
    /// Suspicions of live members, per member and hour.
    false_h: f64,
    declared_dead: u64,
}

fn measure(nodes: usize, loss: f64) -> Point {
    let config = MembershipConfig {
        expected_members: nodes,
        ..MembershipConfig::default()
    };
    let mut net = Network::new(nodes as u64, config, loss);
    (0..nodes).for_each(|i| net.start(i, i as i64 * SECOND / nodes as i64));
    let all = |net: &Network| net.views().iter().all(|v| v.count == nodes);
    let mut now = 0;
    // All nodes act on the expected number from the start; here each must also know all others.
    while (now < 2 * SECOND || net.fewest_known() < nodes) && now < 600 * SECOND {
        now += SECOND / 4;
        net.run_until(now);
    }
    let agreed_s = now as f64 / 1e6;
    let (before, span) = (net.counters(), 60 * SECOND);
    net.measure = true;
    net.run_until(now + span);
    let after = net.counters();
    assert!(
        all(&net),
        "{nodes} nodes, {loss} lost: not all are acted on"
    );
    let per_node = |n: u64| n as f64 / nodes as f64;
    Point {
        nodes,
        loss,
        agreed_s,
        bytes_s: per_node(net.bytes) / 60.0,
        false_h: per_node(after.suspicions - before.suspicions) * 60.0,
        declared_dead: after.declared_dead,
    }
}

fn main() {
    let mut args = std::env::args().skip(1);
    let Some(out) = args.next() else {
        eprintln!("converge OUT.svg [N...]");
        std::process::exit(2);
    };
    let sizes: Vec<usize> = args.filter_map(|a| a.parse().ok()).collect();
    let sizes = if sizes.is_empty() {
        vec![10, 20, 50, 100, 180, 300, 500, 1_000]
    } else {
        sizes
    };
    println!("nodes,loss,known_s,bytes_s,false_suspicions_h,given_up");
    let mut points = Vec::new();
    for loss in [0.0, 0.3] {
        for n in &sizes {
            let p = measure(*n, loss);
            let Point {
                nodes,
                loss,
                agreed_s,
                bytes_s,
                false_h,
                declared_dead,
            } = &p;
            println!("{nodes},{loss},{agreed_s:.2},{bytes_s:.0},{false_h:.1},{declared_dead}");
            points.push(p);
        }
    }
    if let Err(error) = plot(&out, &points) {
        eprintln!("cannot draw {out}: {error}");
        std::process::exit(1);
    }
}

fn plot(out: &str, points: &[Point]) -> Result<(), Box<dyn std::error::Error>> {
    let root = SVGBackend::new(out, (900, 400)).into_drawing_area();
    root.fill(&WHITE)?;
    let (left, right) = root.split_horizontally(450);
    let most = points.iter().map(|p| p.nodes).max().unwrap_or(10) as f64;
    let draw = |area: &DrawingArea<SVGBackend, plotters::coord::Shift>,
                title: &str,
                value: fn(&Point) -> f64|
     -> Result<(), Box<dyn std::error::Error>> {
        let top = points.iter().map(value).fold(1.0, f64::max) * 1.1;
        let mut chart = ChartBuilder::on(area)
            .caption(title, ("sans-serif", 16))
            .margin(10)
            .x_label_area_size(35)
            .y_label_area_size(50)
            .build_cartesian_2d((8.0..most * 1.1).log_scale(), 0.0..top)?;
        chart.configure_mesh().x_desc("controllers").draw()?;
        for (loss, color) in [(0.0, BLUE), (0.3, RED)] {
            let line: Vec<(f64, f64)> = points
                .iter()
                .filter(|p| p.loss == loss)
                .map(|p| (p.nodes as f64, value(p)))
                .collect();
            chart
                .draw_series(LineSeries::new(line.clone(), color))?
                .label(format!("{:.0}% lost", loss * 100.0))
                .legend(move |(x, y)| PathElement::new(vec![(x, y), (x + 16, y)], color));
            chart.draw_series(line.into_iter().map(|p| Circle::new(p, 3, color.filled())))?;
        }
        chart.configure_series_labels().border_style(BLACK).draw()?;
        Ok(())
    };
    draw(&left, "until each knows all, seconds", |p| p.agreed_s)?;
    draw(&right, "sent by each, bytes a second", |p| p.bytes_s)?;
    root.present()?;
    Ok(())
}
