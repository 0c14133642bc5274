//! A failing day made smaller: troubles, weather, sizes and traffic are taken away as long as it still fails the same way.

use super::{run, Scenario};
use crate::virtual_time::network::Weather;
use wheelfield_pg_gateway::fault_injection::FaultInjection;

/// Days that are played at most.
const TRIES: usize = 400;

/// Smaller ones of a scenario, the boldest first.
fn smaller(s: &Scenario) -> Vec<Scenario> {
    let mut all = Vec::new();
    let mut push = |change: &dyn Fn(&mut Scenario)| {
        let mut other = s.clone();
        change(&mut other);
        if other != *s {
            all.push(other);
        }
    };
    push(&|s| s.troubles.clear());
    push(&|s| s.weather = Weather::FAIR);
    push(&|s| s.length_ms = (s.length_ms / 2).max(100));
    push(&|s| s.rate = (s.rate / 2.0).max(1.0));
    push(&|s| s.controllers = (s.controllers / 2).max(1));
    push(&|s| s.engines = (s.engines / 2).max(1));
    push(&|s| s.engines = (s.engines - 1).max(1));
    push(&|s| s.controllers = (s.controllers - 1).max(1));
    for i in 0..s.troubles.len() {
        push(&|s| drop(s.troubles.remove(i)));
        push(&|s| s.troubles[i].for_ms = (s.troubles[i].for_ms / 2).max(10));
    }
    for i in 0..s.classes.len() {
        if s.classes.len() > 1 {
            push(&|s| drop(s.classes.remove(i)));
        }
    }
    push(&|s| s.visits_ms = 0);
    push(&|s| s.leaves = 0.0);
    push(&|s| s.retries = 0);
    push(&|s| s.rows = 1);
    push(&|s| s.gossip = false);
    push(&|s| s.messages = false);
    push(&|s| s.priorities = false);
    push(&|s| s.list = "watch".into());
    push(&|s| s.reports = "answers".into());
    push(&|s| s.engine_sessions = 0);
    push(&|s| s.sessions = 200);
    push(&|s| s.queries = 20_000);
    push(&|s| s.buffer = 262_144);
    push(&|s| s.weather.torn = 0.0);
    push(&|s| s.weather.window = Weather::FAIR.window);
    push(&|s| (s.weather.loss, s.weather.doubled, s.weather.late) = (0.0, 0.0, 0));
    push(&|s| s.weather.resets = 0.0);
    push(&|s| (s.weather.refused, s.weather.lost_connects) = (0.0, 0.0));
    push(&|s| s.length_ms = (s.length_ms * 9 / 10).max(100));
    push(&|s| s.rate = (s.rate * 0.9).max(1.0));
    all
}

/// Makes a scenario smaller that breaks a rule, and still breaks it. How many days were played for it.
pub fn shrink(scenario: &Scenario, rule: &str, plant: Option<FaultInjection>) -> (Scenario, usize) {
    let fails = |s: &Scenario| run(s, plant).is_ok_and(|o| o.failures.iter().any(|(r, _)| r == rule));
    let mut best = scenario.clone();
    let mut played = 0;
    'again: while played < TRIES {
        for other in smaller(&best) {
            played += 1;
            if fails(&other) {
                best = other;
                continue 'again;
            }
            if played >= TRIES {
                break;
            }
        }
        break;
    }
    (best, played)
}
