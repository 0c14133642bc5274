//! Measures the CPU cost per query of the driver and its policy module for several numbers of engines and controllers, and
//! writes a table and a plot.
//!
//! Usage: `cargo run --release -p wheelfield-testbed --example scale -- DAY.toml PLOT.svg`. Plays the day in virtual time, at
//! a query rate proportional to the number of engines. The cost is the wall-clock time spent in calls of the drivers.

use std::cell::Cell;
use std::rc::Rc;
use std::time::{Duration, Instant};
use wheelfield::interface::{Micros, QueryId, Settings};
use wheelfield_driver::{Arrival, AttemptId, CapacityExceeded, Driver, DriverLimits, Input, Instruction};
use wheelfield_testbed::day::Day;
use wheelfield_testbed::plan::Plan;
use wheelfield_testbed::report::{draw_lines, Line, Plot};
use wheelfield_testbed::virtual_time::policy::DecisionEngine;
use wheelfield_testbed::virtual_time::{simulate_with_decision_engines, SimulationOptions};

/// A driver that measures the time spent in its calls.
struct TimedDriver {
    driver: Driver,
    spent: Rc<Cell<Duration>>,
}

impl TimedDriver {
    fn time<T>(&mut self, call: impl FnOnce(&mut Driver) -> T) -> T {
        let began = Instant::now();
        let result = call(&mut self.driver);
        self.spent.set(self.spent.get() + began.elapsed());
        result
    }
}

impl DecisionEngine for TimedDriver {
    fn submit(
        &mut self,
        now: Micros,
        a: Arrival,
        out: &mut Vec<Instruction>,
    ) -> Result<QueryId, CapacityExceeded> {
        self.time(|d| Driver::submit(d, now, a, out))
    }
    fn handle_input(&mut self, now: Micros, input: Input, out: &mut Vec<Instruction>) {
        self.time(|d| Driver::handle_input(d, now, input, out));
    }
    fn handle_timers(&mut self, now: Micros, out: &mut Vec<Instruction>) -> bool {
        self.time(|d| Driver::handle_timers(d, now, out))
    }
    fn next_timer_at(&self) -> Option<Micros> {
        Driver::next_timer_at(&self.driver)
    }
    fn is_in_flight(&self, attempt: AttemptId) -> bool {
        Driver::is_in_flight(&self.driver, attempt)
    }
    fn may_write(&self, now: Micros, attempt: AttemptId) -> bool {
        Driver::may_write(&self.driver, now, attempt)
    }
    fn may_answer(&self, attempt: AttemptId) -> bool {
        Driver::may_answer(&self.driver, attempt)
    }
}

/// Returns the microseconds per query, and the number of queries.
fn cost_per_query(day: &Day, engines: usize, controllers: usize) -> (f64, usize) {
    let mut day = day.clone();
    day.rate *= engines as f64 / day.engines as f64;
    (day.engines, day.controllers) = (engines, controllers);
    let plan = Plan::draw(&day, 1);
    let spent = Rc::new(Cell::new(Duration::ZERO));
    let create_driver = |settings: Settings, seed: u64| -> Box<dyn DecisionEngine> {
        let driver = Driver::new(settings, seed, DriverLimits::default());
        Box::new(TimedDriver { driver, spent: spent.clone() })
    };
    let played = simulate_with_decision_engines(&day, &plan, 1, &create_driver, SimulationOptions::default())
        .unwrap_or_else(|error| panic!("{error}"));
    (spent.get().as_secs_f64() * 1e6 / played.tries.len().max(1) as f64, played.tries.len())
}

fn main() {
    let mut args = std::env::args().skip(1);
    let (Some(file), Some(plot)) = (args.next(), args.next()) else {
        eprintln!("usage: scale DAY.toml PLOT.svg");
        std::process::exit(2);
    };
    let text = std::fs::read_to_string(&file).unwrap_or_else(|error| panic!("{file}: {error}"));
    let day = Day::parse(&file, &text).unwrap_or_else(|error| panic!("{error}"));
    let mut all = Vec::new();
    for controllers in [1, 24, 180] {
        let mut points = Vec::new();
        for engines in [8, 20, 41, 100, 200, 400] {
            let (us, tries) = cost_per_query(&day, engines, controllers);
            println!("| {controllers} | {engines} | {tries} | {us:.1} |");
            points.push((engines as f64, us));
        }
        all.push(Line { name: format!("{controllers} controllers"), points, error_bars: Vec::new() });
    }
    let p = Plot {
        title: "driver and module, microseconds per query",
        x_label: "engines",
        y_label: "us per query",
        is_log_scale: true,
        ..Plot::default()
    };
    let svg = draw_lines(&p, &all).unwrap_or_else(|error| panic!("{error}"));
    std::fs::write(&plot, svg).unwrap_or_else(|error| panic!("{plot}: {error}"));
}
