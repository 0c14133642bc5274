//! The live view: rates, latencies, ends, engines.

use crate::tally::Total;
use anyhow::Result;
use ratatui::layout::{Constraint, Layout};
use ratatui::style::{Color, Style, Stylize as _};
use ratatui::widgets::{Block, Paragraph, Row, Sparkline, Table};
use ratatui::Frame;
use std::collections::VecDeque;

/// Seconds of history that are shown.
const HISTORY: usize = 240;

/// What the view has seen.
#[derive(Default)]
pub struct View {
    /// Answers in each half second.
    answers: VecDeque<u64>,
    /// Latency of what was served in each, in microseconds: ninety-nine in a hundred.
    p99: VecDeque<u64>,
    last: Option<Total>,
    at: f64,
    /// Engines as a controller tells of them: name and standing.
    pub engines: Vec<(String, String)>,
}

/// An end's number in each stream, in one line.
fn ends(total: &Total) -> String {
    let all = total.all();
    let words: Vec<String> = all.ends.iter().map(|(how, n)| format!("{how} {n}")).collect();
    words.join("  ")
}

impl View {
    /// Takes in how things stand.
    pub fn update(&mut self, at: f64, total: &Total) {
        let now = total.all();
        let before = self.last.as_ref().map(Total::all).unwrap_or_default();
        let served = now.latency.len();
        let answered: u64 = now.ends.values().sum();
        let was: u64 = before.ends.values().sum();
        if at - self.at < 0.45 && self.last.is_some() {
            return;
        }
        let mut fresh = now.latency.clone();
        // What was there before is in it too, so this can't fail.
        let _ = fresh.subtract(&before.latency);
        self.answers.push_back(answered - was);
        self.p99.push_back(if served > before.latency.len() { fresh.value_at_quantile(0.99) } else { 0 });
        while self.answers.len() > HISTORY {
            self.answers.pop_front();
            self.p99.pop_front();
        }
        (self.last, self.at) = (Some(total.clone()), at);
    }

    /// Draws it.
    #[expect(clippy::too_many_lines, reason = "to be split: docs/ROADMAP.md lists it")]
    pub fn draw(&self, frame: &mut Frame<'_>, name: &str, length_s: f64, late_bound_us: u64) {
        let Some(total) = &self.last else { return };
        let streams = total.streams.len() as u16;
        let parts = Layout::vertical([
            Constraint::Length(3),
            Constraint::Length(streams + 3),
            Constraint::Min(4),
            Constraint::Min(4),
            Constraint::Length(if self.engines.is_empty() { 0 } else { 4 }),
        ])
        .split(frame.area());
        let late = total.late.value_at_quantile(0.99);
        let head = format!(
            "{:.0} of {length_s:.0} s   {}   generator late p99 {:.1} ms",
            self.at.max(0.0),
            ends(total),
            late as f64 / 1e3
        );
        let colour = if late > late_bound_us { Color::Red } else { Color::Reset };
        let title = Block::bordered().title(format!(" {name} (q ends it) "));
        frame.render_widget(Paragraph::new(head).fg(colour).block(title), parts[0]);
        let ms = |us: u64| format!("{:.1}", us as f64 / 1e3);
        let rows = total.streams.iter().map(|(name, t)| {
            let q = |x: f64| ms(t.latency.value_at_quantile(x));
            let bad: u64 =
                t.ends.iter().filter(|(how, _)| *how != crate::tally::SERVED).map(|(_, n)| n).sum();
            Row::new([
                name.clone(),
                t.wanted.to_string(),
                t.ended(crate::tally::SERVED).to_string(),
                t.ended("refused").to_string(),
                bad.to_string(),
                q(0.5),
                q(0.99),
                q(0.999),
                ms(t.service.value_at_quantile(0.99)),
            ])
        });
        let widths = [Constraint::Fill(2); 9];
        let head = [
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
        let table = Table::new(rows, widths).header(Row::new(head).bold()).block(Block::bordered());
        frame.render_widget(table, parts[1]);
        let spark = |data: &VecDeque<u64>, title: &'static str, colour: Color| {
            let data: Vec<u64> = data.iter().copied().collect();
            Sparkline::default()
                .data(data)
                .style(Style::new().fg(colour))
                .block(Block::bordered().title(title))
        };
        frame.render_widget(spark(&self.answers, " answers each half second ", Color::Cyan), parts[2]);
        frame.render_widget(spark(&self.p99, " latency p99 each half second ", Color::Yellow), parts[3]);
        if !self.engines.is_empty() {
            let words: Vec<String> = self
                .engines
                .iter()
                .map(
                    |(name, standing)| {
                        if standing == "up" {
                            name.clone()
                        } else {
                            format!("{name} ({standing})")
                        }
                    },
                )
                .collect();
            let text = Paragraph::new(words.join("  ")).wrap(ratatui::widgets::Wrap { trim: true });
            frame.render_widget(text.block(Block::bordered().title(" engines ")), parts[4]);
        }
    }
}

/// Shows the view until the run ends or `q` is pressed.
pub struct Screen {
    terminal: ratatui::DefaultTerminal,
    /// What it has seen.
    pub view: View,
}

impl Screen {
    /// Takes the terminal over.
    ///
    /// # Errors
    /// If there is none.
    pub fn open() -> Result<Screen> {
        Ok(Screen { terminal: ratatui::try_init()?, view: View::default() })
    }

    /// Draws, and tells whether to go on.
    ///
    /// # Errors
    /// As the terminal tells.
    pub fn show(&mut self, name: &str, length_s: f64, late_bound_us: u64) -> Result<bool> {
        use ratatui::crossterm::event::{poll, read, Event, KeyCode};
        self.terminal.draw(|frame| self.view.draw(frame, name, length_s, late_bound_us))?;
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
    fn it_shows_streams_ends_and_engines() {
        let mut total = Total::default();
        let tally = total.streams.entry("dashboards".into()).or_default();
        (tally.wanted, tally.sent) = (3, 3);
        tally.latency.record(12_000).expect("it grows");
        tally.end(crate::tally::SERVED);
        tally.end("refused");
        let mut view = View { engines: vec![("engine-01".into(), "draining".into())], ..View::default() };
        view.update(1.0, &total);
        let mut terminal = Terminal::new(TestBackend::new(120, 30)).expect("a terminal");
        terminal.draw(|f| view.draw(f, "mixed", 60.0, 5_000)).expect("drawn");
        let text: String = terminal.backend().buffer().content().iter().map(|c| c.symbol()).collect();
        for wanted in ["dashboards", "mixed", "refused 1", "12.0", "engine-01 (draining)", "p99.9 ms"] {
            assert!(text.contains(wanted), "{wanted} is not shown");
        }
    }
}
