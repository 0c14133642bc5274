//! The names of load metrics in the operators' settings and in reports.

use wheelfield::interface::LoadReport;

/// Sets the metric of a load report that has this name in the operators' settings or pages. Unknown
/// names are ignored.
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
