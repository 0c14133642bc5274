//! Types for decoding records of older format versions. Postcard encodes fields by position and
//! cannot skip a missing field, so a type that has gained fields is kept here in its old form and
//! converted to the current type by field name.

use crate::format::Start;
use serde::{Deserialize, Serialize};
use wheelfield::interface::{Class, Micros, RetryBudget, Settings};
use wheelfield_driver::DriverLimits;

/// The start record of versions 1 and 2.
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

/// The settings of versions 1 and 2, which lack the price of connections. The fields have the names
/// used by those versions, which the current type accepts as aliases.
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
    /// Converts to the current type. Fields missing from the old version get their defaults, with
    /// which the policy module makes the same decisions as it did in the old version.
    ///
    /// # Errors
    /// Returns an error if a number is not finite, which no program writes.
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
