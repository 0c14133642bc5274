//! The operators' names of the metrics in a load report.

use wheelfield::interface::LoadReport;

/// Sets a metric of a load report by a name that the operators' settings or pages use. An unknown name is ignored.
pub fn set_load_metric(report: &mut LoadReport, name: &str, value: f64) {
    match name {
        "cpu_share" | "util" => report.utilisation = Some(value),
        "busy_reqs" | "inflight" => report.in_flight = Some(value),
        "pending" | "queue" => report.queued = Some(value),
        "x0" => report.memory_granted = Some(value),
        "x1" => report.disk_utilisation = Some(value),
        _ => {}
    }
}
