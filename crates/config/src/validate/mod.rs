//! Validation of the parsed file, which results in a consistent [`Config`]. There is one module per section or group
//! of sections.
//!
//! The sections are checked in a fixed order, and the first problem that is found is returned.

mod capture;
mod classes;
mod controller;
mod endpoints;
mod fleet;
mod gossip;
mod limits;
mod route;
mod settings;
mod source;
mod timing;

use crate::error::ConfigError;
use crate::model::{Config, Names};
use crate::schema::{self, File};
use source::{ConfigResult, Source};
use std::net::SocketAddr;
use toml::Spanned;
use wheelfield::interface::Class;

/// The default address for clients.
const DEFAULT_LISTEN: ([u8; 4], u16) = ([127, 0, 0, 1], 6432);
/// The default user name and database for logging in to engines.
const DEFAULT_LOGIN: &str = "wheelfield";

/// Parses and validates a configuration. `name` is the name of the file, which is used in errors.
///
/// # Errors
/// The first problem that is found.
pub fn parse(name: &str, text: &str) -> Result<Config, ConfigError> {
    let file: File =
        toml::from_str(text).map_err(|error| ConfigError::from_toml(name, text, &error))?;
    let source = Source { file: name, text };
    let mut names = Names::default();
    let machine_kinds = fleet::validate(&source, file.fleet.get_ref(), &mut names)?;
    let mut classes = classes::validate(&source, &file.classes, &mut names)?;
    add_tenant_names(&source, &file.tenants, &mut names)?;
    let route = route::validate(&source, &file.route, &names, classes.len())?;
    add_describe_class(&mut classes, &mut names, route.default_class);
    let identity = controller::validate(&source, &file.controller, &names)?;
    let settings = settings::validate(&source, &file, identity, classes, machine_kinds)?;
    let endpoints = endpoints::validate(&source, &file, &names)?;
    let messaging = gossip::validate_messaging(&source, &file, settings.peer_messages)?;
    let timing = timing::validate(&source, &file.timing)?;
    timing::check_deadlines(&source, file.classes.get_ref(), timing.answer_margin)?;
    let listen = optional_address(&source, file.listen.as_ref())?;
    let admin = optional_address(&source, file.admin.as_ref())?;
    let message_limits = messaging.message_limits;
    let gossip = file
        .gossip
        .as_ref()
        .map(|spanned| gossip::validate(&source, spanned.get_ref(), message_limits))
        .transpose()?;
    let capture = file
        .capture
        .as_ref()
        .map(|spanned| capture::validate(&source, spanned.get_ref()))
        .transpose()?;
    let login = |name: Option<String>| name.unwrap_or_else(|| DEFAULT_LOGIN.to_string());
    Ok(Config {
        listen: listen.unwrap_or_else(|| SocketAddr::from(DEFAULT_LISTEN)),
        admin,
        seed: file.seed,
        user: login(file.controller.user),
        database: login(file.controller.database),
        settings,
        names,
        route,
        engines: endpoints.engines,
        registry: endpoints.registry,
        endpoint_files: endpoints.files,
        gossip,
        peers: messaging.peers,
        capture: capture.flatten(),
        limits: limits::validate(&source, &file.limits)?,
        timing,
    })
}

fn add_tenant_names(
    source: &Source<'_>,
    tenants: &[Spanned<schema::Tenant>],
    names: &mut Names,
) -> ConfigResult<()> {
    for tenant in tenants {
        source.add_unique_name(&mut names.tenants, &tenant.get_ref().name, "tenant")?;
    }
    Ok(())
}

/// Adds the class of describe requests. These execute nothing at an engine, so their durations must not influence the
/// estimates of the other classes.
fn add_describe_class(classes: &mut Vec<Class>, names: &mut Names, default_class: usize) {
    let describe = classes::describe_class(classes, default_class);
    classes.push(describe);
    names.classes.push("describe".to_string());
}

fn optional_address(
    source: &Source<'_>,
    spanned: Option<&Spanned<String>>,
) -> ConfigResult<Option<SocketAddr>> {
    spanned
        .map(|spanned| source.parse_loopback_address(spanned))
        .transpose()
}
