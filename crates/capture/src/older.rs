//! What older versions wrote otherwise. A record of postcard can't be read past a field that it lacks, so what grew is kept here as it
//! was, and goes to today's shape by its fields' names.

use crate::format::Start;
use serde::{Deserialize, Serialize};
use wheelfield::interface::{Class, Micros, RetryBudget, Settings};
use wheelfield_driver::DriverLimits;

/// What a file of version 1 or 2 begins with.
#[derive(Deserialize)]
pub(crate) struct StartOf2 {
    build: String,
    index: u32,
    seed: u64,
    settings: SettingsOf2,
    bounds: DriverLimits,
    classes: Vec<String>,
    tenants: Vec<String>,
}

/// The settings of version 1 and 2: without the price of connections.
#[derive(Serialize, Deserialize)]
struct SettingsOf2 {
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

impl StartOf2 {
    /// In today's shape. What was not known then has its default, with which the module decides as it did.
    ///
    /// # Errors
    /// If a figure is none, as no program writes it.
    pub fn today(self) -> Result<Start, serde_json::Error> {
        let settings: Settings = serde_json::from_value(serde_json::to_value(self.settings)?)?;
        let StartOf2 { build, index, seed, bounds, classes, tenants, .. } = self;
        Ok(Start { build, index, seed, settings, bounds, classes, tenants })
    }
}
