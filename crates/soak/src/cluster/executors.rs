//! The lifecycle of the executors of a run: they start, drain, leave the list, crash and are
//! replaced.

use super::Cluster;
use crate::executor::Executor;
use crate::ledger::{ExecutorChange, ExecutorEvent};
use crate::name_service::{List, ListedExecutor};
use crate::plan::Fault;
use anyhow::{Context as _, Result};
use std::net::SocketAddr;
use std::time::SystemTime;

/// How long a draining executor stays, and how long after an executor is gone its replacement
/// starts, in microseconds.
const DRAIN_TIME_US: i64 = 4_000_000;
const REPLACEMENT_DELAY_US: i64 = 1_000_000;
/// Time from a crash of an executor until the list reports it, in microseconds.
const CRASH_REPORT_DELAY_US: i64 = 500_000;
/// The number of executors that stay up whatever the plan says.
const MIN_EXECUTORS: usize = 3;

/// A scheduled step in the lifecycle of an executor.
#[derive(Clone, Copy, Debug)]
pub(super) enum ExecutorStep {
    /// Stops the executor if it runs, and takes it off the list if it is on it.
    Remove(usize),
    /// Starts a new executor at this address.
    Start(SocketAddr),
}

impl Cluster {
    /// Drains an executor, takes it off the list or crashes it, unless too few would stay up.
    pub(super) fn begin_departure(&mut self, fault: &Fault, executor: Option<usize>) {
        let Some(number) = executor else {
            return;
        };
        let list = self.name_service.list();
        let up = list.executors.iter().filter(|e| !e.is_draining).count();
        let listed = list.executors.iter().find(|e| e.number == number);
        let Some(address) = listed.filter(|_| up > MIN_EXECUTORS).map(|e| e.address) else {
            return;
        };
        let now = self.ledger.now();
        if *fault == Fault::ExecutorUnlist {
            let serial = self
                .name_service
                .change(|executors| executors.retain(|e| e.number != number));
            self.record_executor(number, ExecutorChange::Gone, serial, now);
            self.add_step(now + DRAIN_TIME_US, ExecutorStep::Remove(number));
            let any_port = SocketAddr::new(address.ip(), 0);
            self.add_step(now + REPLACEMENT_DELAY_US, ExecutorStep::Start(any_port));
        } else if *fault == Fault::ExecutorDrain {
            let serial = self.name_service.change(|executors| {
                executors
                    .iter_mut()
                    .filter(|e| e.number == number)
                    .for_each(|e| e.is_draining = true);
            });
            self.record_executor(number, ExecutorChange::Draining, serial, now);
            self.add_step(now + DRAIN_TIME_US, ExecutorStep::Remove(number));
            let any_port = SocketAddr::new(address.ip(), 0);
            let started_at = now + DRAIN_TIME_US + REPLACEMENT_DELAY_US;
            self.add_step(started_at, ExecutorStep::Start(any_port));
        } else {
            // The connections of a crashed executor are reset at once, and the list reports the
            // crash later.
            self.executors.remove(&number);
            self.add_step(now + CRASH_REPORT_DELAY_US, ExecutorStep::Remove(number));
            let started_at = now + CRASH_REPORT_DELAY_US + REPLACEMENT_DELAY_US;
            self.add_step(started_at, ExecutorStep::Start(address));
        }
    }

    /// Runs the steps that are due.
    pub(super) fn run_due_steps(&mut self, now: i64) -> Result<()> {
        while let Some(entry) = self.steps.first_entry().filter(|entry| *entry.key() <= now) {
            for step in entry.remove() {
                match step {
                    ExecutorStep::Remove(number) => self.remove_executor(number),
                    ExecutorStep::Start(address) => {
                        let since_epoch =
                            SystemTime::now().duration_since(SystemTime::UNIX_EPOCH)?;
                        self.start_executor(address, since_epoch.as_millis() as u64)?;
                    }
                }
            }
        }
        Ok(())
    }

    fn remove_executor(&mut self, number: usize) {
        self.executors.remove(&number);
        let list = self.name_service.list();
        if !list.executors.iter().any(|e| e.number == number) {
            return;
        }
        let serial = self
            .name_service
            .change(|executors| executors.retain(|e| e.number != number));
        let now = self.ledger.now();
        self.record_executor(number, ExecutorChange::Gone, serial, now);
    }

    pub(super) fn start_executor(&mut self, address: SocketAddr, started_ms: u64) -> Result<()> {
        let number = self.executors_started;
        self.executors_started += 1;
        let executor = Executor::start(number, address, self.ledger.clone())
            .with_context(|| format!("an executor cannot listen on {address}"))?;
        let listed = ListedExecutor {
            number,
            address: executor.address,
            is_draining: false,
            started_ms,
        };
        let serial = self.name_service.change(|executors| executors.push(listed));
        if started_ms > 0 {
            let now = self.ledger.now();
            self.record_executor(number, ExecutorChange::Started, serial, now);
        }
        self.executors.insert(number, executor);
        Ok(())
    }

    fn record_executor(&self, executor: usize, change: ExecutorChange, serial: u32, at: i64) {
        self.ledger.records().executors.push(ExecutorEvent {
            executor,
            change,
            serial,
            at,
        });
    }

    fn add_step(&mut self, at: i64, step: ExecutorStep) {
        self.steps.entry(at).or_default().push(step);
    }

    /// Picks one of the executors that accept requests.
    pub(super) fn pick_executor(&self, choice: usize) -> Option<usize> {
        let List { executors, .. } = self.name_service.list();
        let up: Vec<usize> = executors
            .iter()
            .filter(|e| !e.is_draining && self.executors.contains_key(&e.number))
            .map(|e| e.number)
            .collect();
        up.get(choice % up.len().max(1)).copied()
    }
}
