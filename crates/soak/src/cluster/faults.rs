//! Begins and ends the faults of a run at controllers, proxies, executors and the name service.

use super::{ActiveFault, Cluster};
use crate::controller::Controller;
use crate::executor::Executor;
use crate::ledger::FaultRecord;
use crate::name_service::{NameService, ADDRESSES};
use crate::plan::{Fault, PlannedFault, SignalSeries};
use anyhow::Result;
use std::sync::atomic::Ordering;
use std::time::Duration;

/// Time between two reloads of a series, in microseconds.
const RELOAD_INTERVAL_US: i64 = 100_000;

impl Cluster {
    pub(super) fn begin(&mut self, planned: &PlannedFault) -> Result<()> {
        let executor = self.pick_executor(planned.executor_choice);
        let mut planned = planned.clone();
        if planned.fault.affects_controllers() {
            self.begin_at_controllers(&mut planned)?;
        } else {
            planned.controllers.clear();
            self.begin_at_other_components(&planned.fault, executor)?;
        }
        let from = self.ledger.now();
        self.active.push(ActiveFault {
            planned,
            executor,
            from,
        });
        Ok(())
    }

    /// Begins a fault at its controllers. Controllers at which it cannot begin are removed from the
    /// fault.
    fn begin_at_controllers(&mut self, planned: &mut PlannedFault) -> Result<()> {
        let list = self.name_service.list();
        let now = self.ledger.now();
        let mut affected = Vec::new();
        for index in planned.controllers.drain(..) {
            let (controller, proxy) = (&mut self.controllers[index], &self.proxies[index]);
            if requires_serving(&planned.fault) && !controller.is_serving() {
                continue;
            }
            match &planned.fault {
                Fault::Call {
                    call,
                    errno,
                    per_mille,
                } => controller.faults.fail(*call, *errno, *per_mille)?,
                Fault::ShortTransfers(bytes) => {
                    controller
                        .faults
                        .limit_transfers(Some(*bytes), Some(*bytes))?;
                }
                Fault::WallClock(seconds) => step_wall_clock(controller, *seconds)?,
                Fault::Suspend => controller.suspend()?,
                Fault::Terminate => controller.terminate()?,
                Fault::Kill => controller.kill()?,
                Fault::Reload(stale_ms) => {
                    let address = (index + self.active.len()) % ADDRESSES;
                    let staleness = Duration::from_millis(*stale_ms);
                    self.name_service
                        .serve_stale_list(address, [index], staleness);
                    controller.reload(&list, self.name_service.addresses[address])?;
                }
                Fault::Signals(series) => {
                    let reloads = send_signals(*series, controller, &self.name_service)?;
                    for n in 1..=reloads {
                        let at = now + i64::from(n) * RELOAD_INTERVAL_US;
                        self.reloads.entry(at).or_default().push(index);
                    }
                }
                Fault::ProxyDelay(ms) => proxy.faults().delay_ms.store(*ms, Ordering::SeqCst),
                Fault::ProxySplit => proxy.faults().splits.store(true, Ordering::SeqCst),
                Fault::ProxyWithhold => proxy.faults().withholds.store(true, Ordering::SeqCst),
                Fault::ProxyReset => proxy.reset_connections(),
                _ => {}
            }
            affected.push(index);
        }
        planned.controllers = affected;
        Ok(())
    }

    /// Runs the reloads that are due, each with the next address of the name service.
    pub(super) fn run_due_reloads(&mut self, now: i64) -> Result<()> {
        while let Some(entry) = self
            .reloads
            .first_entry()
            .filter(|entry| *entry.key() <= now)
        {
            let (at, controllers) = entry.remove_entry();
            for index in controllers {
                let address = (index + (at / RELOAD_INTERVAL_US) as usize) % ADDRESSES;
                let resolver = self.name_service.addresses[address];
                self.controllers[index].reload(&self.name_service.list(), resolver)?;
            }
        }
        Ok(())
    }

    fn begin_at_other_components(&mut self, fault: &Fault, executor: Option<usize>) -> Result<()> {
        match fault {
            Fault::NameServiceSilent => self.name_service.set_silent(true),
            Fault::NameServiceSlow(ms) => self.name_service.set_delay(*ms),
            Fault::NameServiceLossy(per_mille) => self.name_service.set_loss(*per_mille),
            Fault::NameServiceForeignNumbers(per_mille) => {
                self.name_service.begin_foreign_numbers(*per_mille);
            }
            Fault::NameServiceFailing => self.name_service.set_failing(true),
            Fault::NameServiceBehind(address, ms) => {
                let staleness = Duration::from_millis(*ms);
                self.name_service
                    .serve_stale_list(*address, 0..self.controllers.len(), staleness);
            }
            Fault::ExecutorDrain | Fault::ExecutorUnlist | Fault::ExecutorCrash => {
                self.begin_departure(fault, executor)
            }
            _ => {
                let executor = executor.and_then(|number| self.executors.get(&number));
                if let Some(executor) = executor {
                    begin_misbehaviour(fault, executor);
                }
            }
        }
        Ok(())
    }

    pub(super) fn end_all(&mut self, ended: Vec<ActiveFault>) -> Result<()> {
        for fault in ended {
            self.end(&fault)?;
            let ActiveFault {
                planned,
                executor,
                from,
            } = fault;
            let mut description = format!("{:?}", planned.fault);
            if let Some(executor) = executor.filter(|_| !planned.fault.affects_controllers()) {
                description.push_str(&format!(" of executor {executor}"));
            }
            let until = self.ledger.now();
            self.ledger.records().faults.push(FaultRecord {
                client_delay_us: planned.fault.client_delay_us(until - from),
                blocks_answers: planned.fault.blocks_answers(),
                name_service_fault: planned.fault.name_service_fault(),
                controllers: planned.controllers,
                description,
                from,
                until,
            });
        }
        Ok(())
    }

    fn end(&mut self, fault: &ActiveFault) -> Result<()> {
        for index in &fault.planned.controllers {
            let (controller, proxy) = (&mut self.controllers[*index], &self.proxies[*index]);
            match &fault.planned.fault {
                Fault::Call { call, .. } => controller.faults.succeed(*call)?,
                Fault::ShortTransfers(_) => controller.faults.limit_transfers(None, None)?,
                Fault::WallClock(_) => step_wall_clock(controller, 0)?,
                Fault::Suspend | Fault::Signals(_) => controller.resume()?,
                Fault::ProxyDelay(_) => proxy.faults().delay_ms.store(0, Ordering::SeqCst),
                Fault::ProxySplit => proxy.faults().splits.store(false, Ordering::SeqCst),
                Fault::ProxyWithhold => proxy.faults().withholds.store(false, Ordering::SeqCst),
                _ => {}
            }
        }
        let executor = fault
            .executor
            .and_then(|number| self.executors.get(&number));
        match (&fault.planned.fault, executor) {
            (Fault::NameServiceSilent, _) => self.name_service.set_silent(false),
            (Fault::NameServiceSlow(_), _) => self.name_service.set_delay(0),
            (Fault::NameServiceLossy(_), _) => self.name_service.set_loss(0),
            (Fault::NameServiceForeignNumbers(_), _) => self.name_service.end_foreign_numbers(),
            (Fault::NameServiceFailing, _) => self.name_service.set_failing(false),
            (_, Some(executor)) => end_misbehaviour(&fault.planned.fault, executor),
            (_, None) => {}
        }
        Ok(())
    }
}

/// Whether a fault begins only at controllers that are serving.
fn requires_serving(fault: &Fault) -> bool {
    matches!(
        fault,
        Fault::Suspend | Fault::Terminate | Fault::Kill | Fault::Signals(_)
    )
}

/// Sends the signals of a series at once. Returns how many further reloads are to follow.
fn send_signals(
    series: SignalSeries,
    controller: &mut Controller,
    name_service: &NameService,
) -> Result<u32> {
    let resolver = name_service.addresses[(controller.index + 1) % ADDRESSES];
    let list = name_service.list();
    match series {
        SignalSeries::ReloadSuspend => {
            controller.reload(&list, resolver)?;
            controller.suspend()?;
        }
        SignalSeries::TerminateSuspend => {
            controller.terminate()?;
            controller.suspend()?;
        }
        SignalSeries::SuspendTerminate => {
            controller.suspend()?;
            controller.terminate()?;
        }
        SignalSeries::ReloadTerminate => {
            controller.reload(&list, resolver)?;
            controller.terminate()?;
        }
        SignalSeries::TerminateReloadTerminate => {
            controller.terminate()?;
            controller.reload(&list, resolver)?;
            controller.terminate()?;
        }
        SignalSeries::Reloads(count) => return Ok(count),
    }
    Ok(0)
}

fn step_wall_clock(controller: &Controller, seconds: i64) -> Result<()> {
    let by = Duration::from_secs(seconds.unsigned_abs());
    if seconds < 0 {
        controller.faults.set_wall_clock_behind(by)?;
    } else {
        controller.faults.set_wall_clock_ahead(by)?;
    }
    Ok(())
}

fn begin_misbehaviour(fault: &Fault, executor: &Executor) {
    let behaviour = executor.behaviour();
    match fault {
        Fault::ExecutorHang => behaviour.hangs.store(true, Ordering::SeqCst),
        Fault::ExecutorFull => behaviour.is_full.store(true, Ordering::SeqCst),
        Fault::ExecutorFail => behaviour.fails.store(true, Ordering::SeqCst),
        Fault::ExecutorReset => executor.reset_connections(),
        Fault::ExecutorCloseIdle => executor.close_idle(),
        Fault::ExecutorForget => executor.forget_connections(),
        _ => {}
    }
}

fn end_misbehaviour(fault: &Fault, executor: &Executor) {
    let behaviour = executor.behaviour();
    match fault {
        Fault::ExecutorHang => behaviour.hangs.store(false, Ordering::SeqCst),
        Fault::ExecutorFull => behaviour.is_full.store(false, Ordering::SeqCst),
        Fault::ExecutorFail => behaviour.fails.store(false, Ordering::SeqCst),
        _ => {}
    }
}
