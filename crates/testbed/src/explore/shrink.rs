//! Reduces a failing scenario: removes faults, controllers, engines and traffic as long as it still
//! breaks the same rule.

use super::{run, Scenario};
use crate::virtual_time::network::NetworkFaults;
use wheelfield_pg_gateway::fault_injection::FaultInjection;

/// Maximum number of scenarios that are run.
const MAX_RUNS: usize = 400;

/// Reduced variants of a scenario, the largest reductions first.
fn reduced_variants(s: &Scenario) -> Vec<Scenario> {
    let mut variants = Vec::new();
    let mut add_variant = |change: &dyn Fn(&mut Scenario)| {
        let mut variant = s.clone();
        change(&mut variant);
        if variant != *s {
            variants.push(variant);
        }
    };
    add_variant(&|s| s.faults.clear());
    add_variant(&|s| s.network = NetworkFaults::NONE);
    add_variant(&|s| s.length_ms = (s.length_ms / 2).max(100));
    add_variant(&|s| s.queries_per_second = (s.queries_per_second / 2.0).max(1.0));
    add_variant(&|s| s.controllers = (s.controllers / 2).max(1));
    add_variant(&|s| s.engines = (s.engines / 2).max(1));
    add_variant(&|s| s.engines = (s.engines - 1).max(1));
    add_variant(&|s| s.controllers = (s.controllers - 1).max(1));
    for i in 0..s.faults.len() {
        add_variant(&|s| drop(s.faults.remove(i)));
        add_variant(&|s| s.faults[i].duration_ms = (s.faults[i].duration_ms / 2).max(10));
    }
    for i in 0..s.classes.len() {
        if s.classes.len() > 1 {
            add_variant(&|s| drop(s.classes.remove(i)));
        }
    }
    add_variant(&|s| s.stray_connection_period_ms = 0);
    add_variant(&|s| s.leaving_fraction = 0.0);
    add_variant(&|s| s.max_retries = 0);
    add_variant(&|s| s.report_rows = 1);
    add_variant(&|s| s.gossip = false);
    add_variant(&|s| s.sends_messages = false);
    add_variant(&|s| s.supports_priorities = false);
    add_variant(&|s| s.engine_list_source = "watch".into());
    add_variant(&|s| s.load_report_source = "answers".into());
    add_variant(&|s| s.max_engine_sessions = 0);
    add_variant(&|s| s.max_sessions_per_engine = 200);
    add_variant(&|s| s.max_queries = 20_000);
    add_variant(&|s| s.client_buffer_bytes = 262_144);
    add_variant(&|s| s.network.split_probability = 0.0);
    add_variant(&|s| s.network.window_bytes = NetworkFaults::NONE.window_bytes);
    add_variant(&|s| {
        (s.network.datagram_loss, s.network.datagram_duplication, s.network.max_datagram_delay_us) =
            (0.0, 0.0, 0)
    });
    add_variant(&|s| s.network.reset_probability = 0.0);
    add_variant(&|s| (s.network.refusal_probability, s.network.connect_loss_probability) = (0.0, 0.0));
    add_variant(&|s| s.length_ms = (s.length_ms * 9 / 10).max(100));
    add_variant(&|s| s.queries_per_second = (s.queries_per_second * 0.9).max(1.0));
    variants
}

/// Reduces a scenario that breaks a rule to a smaller one that still breaks it. Also returns how
/// many scenarios were run.
pub fn shrink(scenario: &Scenario, rule: &str, injected_fault: Option<FaultInjection>) -> (Scenario, usize) {
    let still_fails =
        |s: &Scenario| run(s, injected_fault).is_ok_and(|o| o.failures.iter().any(|(r, _)| r == rule));
    let mut smallest = scenario.clone();
    let mut run_count = 0;
    'again: while run_count < MAX_RUNS {
        for variant in reduced_variants(&smallest) {
            run_count += 1;
            if still_fails(&variant) {
                smallest = variant;
                continue 'again;
            }
            if run_count >= MAX_RUNS {
                break;
            }
        }
        break;
    }
    (smallest, run_count)
}
