//! Measures how long groups of several sizes take to agree after a simultaneous start, and the traffic of each member, on the
//! emulated network of the tests with and without loss. Prints CSV and draws a plot: `converge OUT.svg [N...]`.

#[path = "../tests/common/mod.rs"]
mod common;

use common::{Network, SECOND};
use plotters::prelude::*;
use wheelfield_gossip::MembershipConfig;

/// The results for one group size and loss rate.
struct Measurement {
    nodes: usize,
    loss: f64,
    /// Seconds until each node knows all others.
    converged_s: f64,
    /// Bytes per second sent by each node afterwards.
    bytes_per_s: f64,
    /// Suspicions of live members, per member and hour.
    suspicions_per_h: f64,
    declared_dead: u64,
}

fn measure(nodes: usize, loss: f64) -> Measurement {
    let config = MembershipConfig {
        expected_members: nodes,
        ..MembershipConfig::default()
    };
    let mut net = Network::new(nodes as u64, config, loss);
    (0..nodes).for_each(|i| net.start(i, i as i64 * SECOND / nodes as i64));
    let all_counted = |net: &Network| net.views().iter().all(|v| v.count == nodes);
    let mut now = 0;
    // All nodes use the expected count from the start, so wait until each also knows all others.
    while (now < 2 * SECOND || net.fewest_known() < nodes) && now < 600 * SECOND {
        now += SECOND / 4;
        net.run_until(now);
    }
    let converged_s = now as f64 / 1e6;
    let (before, span) = (net.counters(), 60 * SECOND);
    net.measures_bytes = true;
    net.run_until(now + span);
    let after = net.counters();
    assert!(
        all_counted(&net),
        "{nodes} nodes, loss {loss}: some node does not count all members"
    );
    let per_node = |n: u64| n as f64 / nodes as f64;
    Measurement {
        nodes,
        loss,
        converged_s,
        bytes_per_s: per_node(net.bytes) / 60.0,
        suspicions_per_h: per_node(after.suspicions - before.suspicions) * 60.0,
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
    let mut measurements = Vec::new();
    for loss in [0.0, 0.3] {
        for n in &sizes {
            let p = measure(*n, loss);
            let Measurement {
                nodes,
                loss,
                converged_s,
                bytes_per_s,
                suspicions_per_h,
                declared_dead,
            } = &p;
            println!("{nodes},{loss},{converged_s:.2},{bytes_per_s:.0},{suspicions_per_h:.1},{declared_dead}");
            measurements.push(p);
        }
    }
    if let Err(error) = plot(&out, &measurements) {
        eprintln!("cannot draw {out}: {error}");
        std::process::exit(1);
    }
}

fn plot(out: &str, measurements: &[Measurement]) -> Result<(), Box<dyn std::error::Error>> {
    let root = SVGBackend::new(out, (900, 400)).into_drawing_area();
    root.fill(&WHITE)?;
    let (left, right) = root.split_horizontally(450);
    let max_nodes = measurements.iter().map(|p| p.nodes).max().unwrap_or(10) as f64;
    let draw = |area: &DrawingArea<SVGBackend, plotters::coord::Shift>,
                title: &str,
                value: fn(&Measurement) -> f64|
     -> Result<(), Box<dyn std::error::Error>> {
        let top = measurements.iter().map(value).fold(1.0, f64::max) * 1.1;
        let mut chart = ChartBuilder::on(area)
            .caption(title, ("sans-serif", 16))
            .margin(10)
            .x_label_area_size(35)
            .y_label_area_size(50)
            .build_cartesian_2d((8.0..max_nodes * 1.1).log_scale(), 0.0..top)?;
        chart.configure_mesh().x_desc("controllers").draw()?;
        for (loss, color) in [(0.0, BLUE), (0.3, RED)] {
            let line: Vec<(f64, f64)> = measurements
                .iter()
                .filter(|p| p.loss == loss)
                .map(|p| (p.nodes as f64, value(p)))
                .collect();
            chart
                .draw_series(LineSeries::new(line.clone(), color))?
                .label(format!("{:.0}% loss", loss * 100.0))
                .legend(move |(x, y)| PathElement::new(vec![(x, y), (x + 16, y)], color));
            chart.draw_series(line.into_iter().map(|p| Circle::new(p, 3, color.filled())))?;
        }
        chart.configure_series_labels().border_style(BLACK).draw()?;
        Ok(())
    };
    draw(&left, "time until each node knows all others, s", |p| {
        p.converged_s
    })?;
    draw(&right, "bytes sent per node and second", |p| p.bytes_per_s)?;
    root.present()?;
    Ok(())
}
