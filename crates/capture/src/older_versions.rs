//! Types as older versions wrote them. Postcard can't read a record past a field that it lacks, so a type that has gained fields is
//! kept here as it was, and converted to the current one by the names of its fields.

use crate::format::Start;
use serde::{Deserialize, Serialize};
use wheelfield::interface::{Class, Micros, RetryBudget, Settings};
use wheelfield_driver::DriverLimits;

/// The start of a file of version 1 or 2.
#[derive(Deserialize)]
pub(crate) struct StartV2 {
    build: String,
    index: u32,
    seed: u64,
    settings: SettingsV2,
    driver_limits: DriverLimits,
    classes: Vec<String>,
    tenants: Vec<String>,
}

/// The settings of version 1 and 2: without the price of connections. The fields have their names of then, which the current type
/// reads as aliases.
#[derive(Serialize, Deserialize)]
struct SettingsV2 {
    gateways: f64,
    index: f64,
    zone: Option<usize>,
    classes: Vec<Class>,
    allowances: Vec<f64>,
    cores: Vec<f64>,
    memory_mb: Vec<f64>,
    max_grant_share: f64,
    waits: bool,
    pages: bool,
    grants: bool,
    priorities: bool,
    bills: bool,
    note_every: Micros,
    cancel: bool,
    peers: bool,
    probe_price: f64,
    message_price: f64,
    probes: bool,
    reports: bool,
    reports_utilisation: bool,
    reports_by_probe: bool,
    subscribe: bool,
    second_copies: bool,
    max_attempts: usize,
    max_retry_after: Micros,
    cross_zone_price: f64,
    cold_from: f64,
    cold_for: Micros,
    fall_multiple: f64,
    fall_span: Micros,
    order_pause: Micros,
    attempt_budget: Option<RetryBudget>,
}

impl StartV2 {
    /// Converts to the current type. A field that did not exist then has its default, with which the module decides as it did.
    ///
    /// # Errors
    /// If a number is not finite; no program writes such a one.
    pub fn into_current(self) -> Result<Start, serde_json::Error> {
        let settings: Settings = serde_json::from_value(serde_json::to_value(self.settings)?)?;
        let StartV2 {
            build,
            index,
            seed,
            driver_limits,
            classes,
            tenants,
            ..
        } = self;
        Ok(Start {
            build,
            index,
            seed,
            settings,
            driver_limits,
            classes,
            tenants,
        })
    }
}
