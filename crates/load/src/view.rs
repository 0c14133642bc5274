//! The live terminal view: rates, latencies, outcomes and engines.

use crate::stats::LoadStats;
use anyhow::Result;
use ratatui::layout::{Constraint, Layout};
use ratatui::style::{Color, Style, Stylize as _};
use ratatui::widgets::{Block, Paragraph, Row, Sparkline, Table};
use ratatui::Frame;
use std::collections::VecDeque;

/// Number of half-second samples shown.
const HISTORY_SAMPLES: usize = 240;

/// Data shown by the live view.
#[derive(Default)]
pub struct View {
    /// Completed queries, whatever their outcome, in each half second.
    completed: VecDeque<u64>,
    /// p99 latency in microseconds of the queries served in each half second.
    p99_us: VecDeque<u64>,
    /// Results at the last update.
    last_stats: Option<LoadStats>,
    /// Time of the last update in seconds from the start of the run.
    last_update_s: f64,
    /// Engines as reported by a controller: id and status.
    pub engines: Vec<(String, String)>,
}

/// Formats the number of queries by outcome as one line.
fn outcomes_line(stats: &LoadStats) -> String {
    let combined = stats.combined();
    let labels: Vec<String> =
        combined.outcomes.iter().map(|(outcome, count)| format!("{outcome} {count}")).collect();
    labels.join("  ")
}

impl View {
    /// Updates the view with the results `elapsed_s` seconds after the start of the run. Ignores
    /// calls within 0.45 s of the last update.
    pub fn update(&mut self, elapsed_s: f64, stats: &LoadStats) {
        let current = stats.combined();
        let previous = self.last_stats.as_ref().map(LoadStats::combined).unwrap_or_default();
        let served = current.latency.len();
        let total_completed: u64 = current.outcomes.values().sum();
        let previous_completed: u64 = previous.outcomes.values().sum();
        if elapsed_s - self.last_update_s < 0.45 && self.last_stats.is_some() {
            return;
        }
        let mut recent_latency = current.latency.clone();
        // Cannot fail: the current histogram contains everything the previous one does.
        let _ = recent_latency.subtract(&previous.latency);
        self.completed.push_back(total_completed - previous_completed);
        self.p99_us.push_back(if served > previous.latency.len() {
            recent_latency.value_at_quantile(0.99)
        } else {
            0
        });
        while self.completed.len() > HISTORY_SAMPLES {
            self.completed.pop_front();
            self.p99_us.pop_front();
        }
        (self.last_stats, self.last_update_s) = (Some(stats.clone()), elapsed_s);
    }

    /// Draws the view.
    #[expect(clippy::too_many_lines, reason = "to be split: docs/ROADMAP.md lists it")]
    pub fn draw(&self, frame: &mut Frame<'_>, name: &str, duration_s: f64, max_lateness_us: u64) {
        let Some(stats) = &self.last_stats else { return };
        let stream_count = stats.streams.len() as u16;
        let areas = Layout::vertical([
            Constraint::Length(3),
            Constraint::Length(stream_count + 3),
            Constraint::Min(4),
            Constraint::Min(4),
            Constraint::Length(if self.engines.is_empty() { 0 } else { 4 }),
        ])
        .split(frame.area());
        let lateness_us = stats.lateness.value_at_quantile(0.99);
        let summary = format!(
            "{:.0} of {duration_s:.0} s   {}   generator late p99 {:.1} ms",
            self.last_update_s.max(0.0),
            outcomes_line(stats),
            lateness_us as f64 / 1e3
        );
        let colour = if lateness_us > max_lateness_us { Color::Red } else { Color::Reset };
        let title = Block::bordered().title(format!(" {name} (q: quit) "));
        frame.render_widget(Paragraph::new(summary).fg(colour).block(title), areas[0]);
        let ms = |us: u64| format!("{:.1}", us as f64 / 1e3);
        let rows = stats.streams.iter().map(|(name, stream)| {
            let q = |x: f64| ms(stream.latency.value_at_quantile(x));
            let not_served: u64 = stream
                .outcomes
                .iter()
                .filter(|(outcome, _)| *outcome != crate::stats::SERVED)
                .map(|(_, count)| count)
                .sum();
            Row::new([
                name.clone(),
                stream.scheduled.to_string(),
                stream.outcome_count(crate::stats::SERVED).to_string(),
                stream.outcome_count("refused").to_string(),
                not_served.to_string(),
                q(0.5),
                q(0.99),
                q(0.999),
                ms(stream.service.value_at_quantile(0.99)),
            ])
        });
        let widths = [Constraint::Fill(2); 9];
        let column_titles = [
            "stream",
            "wanted",
            "served",
            "refused",
            "not served",
            "p50 ms",
            "p99 ms",
            "p99.9 ms",
            "service p99",
        ];
        let table = Table::new(rows, widths).header(Row::new(column_titles).bold()).block(Block::bordered());
        frame.render_widget(table, areas[1]);
        let sparkline = |data: &VecDeque<u64>, title: &'static str, colour: Color| {
            let data: Vec<u64> = data.iter().copied().collect();
            Sparkline::default()
                .data(data)
                .style(Style::new().fg(colour))
                .block(Block::bordered().title(title))
        };
        frame.render_widget(
            sparkline(&self.completed, " completed queries per half second ", Color::Cyan),
            areas[2],
        );
        frame
            .render_widget(sparkline(&self.p99_us, " p99 latency per half second ", Color::Yellow), areas[3]);
        if !self.engines.is_empty() {
            let labels: Vec<String> = self
                .engines
                .iter()
                .map(
                    |(name, status)| {
                        if status == "up" {
                            name.clone()
                        } else {
                            format!("{name} ({status})")
                        }
                    },
                )
                .collect();
            let text = Paragraph::new(labels.join("  ")).wrap(ratatui::widgets::Wrap { trim: true });
            frame.render_widget(text.block(Block::bordered().title(" engines ")), areas[4]);
        }
    }
}

/// The terminal on which the view is shown until the run ends or `q` is pressed.
pub struct Screen {
    terminal: ratatui::DefaultTerminal,
    /// The data shown.
    pub view: View,
}

impl Screen {
    /// Initializes the terminal.
    ///
    /// # Errors
    /// Returns an error if there is no usable terminal.
    pub fn open() -> Result<Screen> {
        Ok(Screen { terminal: ratatui::try_init()?, view: View::default() })
    }

    /// Draws the view, and returns false if `q` was pressed.
    ///
    /// # Errors
    /// Returns the error of the terminal.
    pub fn show(&mut self, name: &str, duration_s: f64, max_lateness_us: u64) -> Result<bool> {
        use ratatui::crossterm::event::{poll, read, Event, KeyCode};
        self.terminal.draw(|frame| self.view.draw(frame, name, duration_s, max_lateness_us))?;
        while poll(std::time::Duration::ZERO)? {
            if matches!(read()?, Event::Key(key) if key.code == KeyCode::Char('q')) {
                return Ok(false);
            }
        }
        Ok(true)
    }
}

impl Drop for Screen {
    fn drop(&mut self) {
        ratatui::restore();
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use ratatui::backend::TestBackend;
    use ratatui::Terminal;

    #[test]
    fn view_shows_streams_outcomes_and_engines() {
        let mut stats = LoadStats::default();
        let stream = stats.streams.entry("dashboards".into()).or_default();
        (stream.scheduled, stream.sent) = (3, 3);
        stream.latency.record(12_000).expect("histogram resizes itself");
        stream.record_outcome(crate::stats::SERVED);
        stream.record_outcome("refused");
        let mut view = View { engines: vec![("engine-01".into(), "draining".into())], ..View::default() };
        view.update(1.0, &stats);
        let mut terminal = Terminal::new(TestBackend::new(120, 30)).expect("a terminal");
        terminal.draw(|f| view.draw(f, "mixed", 60.0, 5_000)).expect("drawn");
        let text: String = terminal.backend().buffer().content().iter().map(|c| c.symbol()).collect();
        for expected in ["dashboards", "mixed", "refused 1", "12.0", "engine-01 (draining)", "p99.9 ms"] {
            assert!(text.contains(expected), "{expected} is not shown");
        }
    }
}
