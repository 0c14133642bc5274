//! Handling of timers, the shutdown and the log of counters.

use super::Dispatcher;
use crate::planted::InjectedFault;
use crate::shutdown;
use crate::timer_event::TimerEvent;
use tracing::info;
use wheelfield_driver::{Driver, Input};
use wheelfield_sans_io::Effect;

/// Interval between checks of all connections, in microseconds.
pub(super) const CHECK_INTERVAL_US: i64 = 100_000;
/// Interval between logs of the counters, in microseconds.
const COUNTERS_INTERVAL_US: i64 = 10_000_000;
/// Maximum number of policy log lines between two logs of the counters.
pub(super) const MAX_POLICY_LOG_LINES: u32 = 20;

impl Dispatcher {
    /// Handles an expired timer.
    pub fn handle_timer(&mut self, event: TimerEvent) {
        match event {
            TimerEvent::QueryDiscovery => self.query_discovery(),
            TimerEvent::EndHold => self.handle_hold_timer(),
            TimerEvent::ExpireHeld => self.expire_held_requests(),
            TimerEvent::AnswerBeforeSuspension => self.answer_before_suspension(),
            TimerEvent::CheckConnections => {
                self.check_connections();
                self.out
                    .set_timer_after(CHECK_INTERVAL_US, TimerEvent::CheckConnections);
            }
            TimerEvent::ConnectTimeout(id) => {
                self.executors.handle_connect_timeout(id, &mut self.out)
            }
            TimerEvent::ReleaseDelayed(attempt) => {
                self.executors.release_delayed(attempt, &mut self.out)
            }
            TimerEvent::ShutdownDeadline => {
                self.submit_held_requests();
                for query in self.in_flight.queries() {
                    self.driver
                        .handle_input(self.out.now, Input::ShutdownDeadline(query));
                }
            }
            TimerEvent::EndMemoryWait(client) => {
                self.clients.refuse_waiting_request(client, &mut self.out);
            }
            TimerEvent::CloseIdleClients => {
                if self.has_injected(InjectedFault::CloseBusyClients) {
                    self.clients.close_all(&mut self.out);
                }
                self.clients.close_idle(&mut self.out);
                // Measured from now, as this timer fires late if the process was suspended.
                self.out
                    .set_timer_after(shutdown::RECONNECT_PERIOD_US, TimerEvent::StopListening);
            }
            TimerEvent::StopListening => {
                // Idle clients are closed first, to free capacity for those accepted when listening stops.
                self.clients.close_idle(&mut self.out);
                self.out.push(Effect::StopListening);
            }
        }
    }

    fn check_connections(&mut self) {
        let wanted_bytes = self.waiting_results.wanted_bytes();
        self.clients.check_timeouts(wanted_bytes, &mut self.out);
        self.executors.check_connections(&mut self.out);
        self.slow_start_guard.remove_warmed_up(self.out.now);
        if self.shutdown.is_grace_period_over(self.out.now) {
            self.clients.close_idle(&mut self.out);
        }
        if self.out.now - self.counters_logged_at >= COUNTERS_INTERVAL_US {
            self.log_counters();
        }
    }

    /// Begins the shutdown, unless it has begun already.
    pub fn begin_shutdown(&mut self) {
        if let Some(schedule) = self.shutdown.begin(self.out.now, self.arrival_time()) {
            info!(in_flight = self.in_flight.len(), "shutdown requested");
            self.out
                .set_timer_at(schedule.close_idle_at, TimerEvent::CloseIdleClients);
            self.out
                .set_timer_at(schedule.respond_by, TimerEvent::ShutdownDeadline);
        }
    }

    /// Logs all counters, and allows policy log lines again.
    pub(super) fn log_counters(&mut self) {
        self.counters_logged_at = self.out.now;
        self.policy_log_lines_left = MAX_POLICY_LOG_LINES;
        let driver = self
            .driver
            .decision_engine()
            .driver()
            .map(Driver::counters)
            .unwrap_or_default();
        info!(
            in_flight = self.in_flight.len(),
            client_connections = self.clients.len(),
            executor_connections = self.executors.connection_count(),
            ?driver,
            clients = ?self.clients.counters,
            executors = ?self.executors.counters,
            abandonments = ?self.abandonments.counts,
            ignored_answers = %self.ignored_answers.total,
            violations = ?self.violations,
            "counters"
        );
    }
}
