//! The sources of the endpoint list: `[[engines]]`, `[registry]` and `[members]`.

use super::source::{milliseconds, seconds, ConfigResult, Source};
use crate::model::{EndpointFiles, EngineEndpoint, Names, Refresh, Registry};
use crate::schema::{self, File};
use std::collections::BTreeSet;
use toml::Spanned;
use wheelfield::interface::Micros;

const MIN_POLL_INTERVAL: Micros = milliseconds(1);
const DEFAULT_MAX_LOST_FRACTION: f64 = 0.5;

/// The validated sources of the endpoint list.
pub(super) struct Endpoints {
    pub engines: Vec<EngineEndpoint>,
    pub registry: Option<Registry>,
    pub files: Option<EndpointFiles>,
}

/// Validates the sources of the endpoint list. At least one is required, and `[[engines]]` excludes the other two.
pub(super) fn validate(source: &Source<'_>, file: &File, names: &Names) -> ConfigResult<Endpoints> {
    let engines = validate_engines(source, &file.engines, names)?;
    let registry = file
        .registry
        .as_ref()
        .map(|spanned| validate_registry(source, spanned.get_ref()))
        .transpose()?;
    if let Some(spanned) = file.registry.as_ref().filter(|_| !engines.is_empty()) {
        let suggestion = "keep either [registry] or [[engines]]";
        return Err(source.error(
            spanned,
            "engines are listed both in this file and in a registry",
            suggestion,
        ));
    }
    let files = file
        .endpoint_files
        .as_ref()
        .map(|spanned| validate_files(source, spanned.get_ref()))
        .transpose()?;
    if let Some(spanned) = file.endpoint_files.as_ref().filter(|_| !engines.is_empty()) {
        let suggestion = "keep either [members] or [[engines]]";
        return Err(source.error(
            spanned,
            "engines are listed both in this file and in engine files",
            suggestion,
        ));
    }
    if registry.is_none() && files.is_none() && engines.is_empty() {
        let problem = "no engine, engine file or registry is configured";
        return Err(source.error(
            &file.fleet,
            problem,
            "add [members], [registry] or [[engines]]",
        ));
    }
    Ok(Endpoints {
        engines,
        registry,
        files,
    })
}

fn validate_engines(
    source: &Source<'_>,
    entries: &[Spanned<schema::Engine>],
    names: &Names,
) -> ConfigResult<Vec<EngineEndpoint>> {
    let (mut engines, mut ids, mut addresses) = (Vec::new(), Vec::new(), BTreeSet::new());
    for engine in entries.iter().map(Spanned::get_ref) {
        source.add_unique_name(&mut ids, &engine.id, "engine")?;
        let address = source.parse_loopback_address(&engine.address)?;
        if !addresses.insert(address) {
            let problem = format!("two engines listen at `{address}`");
            return Err(source.error(&engine.address, problem, "give each its own address"));
        }
        engines.push(EngineEndpoint {
            name: engine.id.get_ref().clone(),
            address,
            zone: match &engine.zone {
                Some(zone) => source.index_of_name(&names.zones, zone, "zone")?,
                None => usize::MAX,
            },
            kind: source.index_of_name(&names.kinds, &engine.kind, "kind")?,
            cell: engine.cell,
        });
    }
    Ok(engines)
}

fn validate_registry(source: &Source<'_>, registry: &schema::Registry) -> ConfigResult<Registry> {
    Ok(Registry {
        address: source.parse_loopback_address(&registry.address)?,
        refresh: match registry.refresh {
            schema::RefreshMode::Watch => Refresh::Watch,
            schema::RefreshMode::Poll => Refresh::Poll,
        },
        poll_interval: registry
            .poll_interval
            .map_or(seconds(1), |interval| interval.0)
            .max(MIN_POLL_INTERVAL),
    })
}

fn validate_files(
    source: &Source<'_>,
    section: &schema::EndpointFiles,
) -> ConfigResult<EndpointFiles> {
    let files = section.files.get_ref();
    if files.is_empty() {
        return Err(source.error(
            &section.files,
            "no engine file is listed",
            "list a file, a directory or a pattern",
        ));
    }
    for file in files {
        check_file_pattern(source, file)?;
    }
    let max_lost_fraction_suggestion = "write a fraction from 0 to 1";
    let max_lost_fraction = source.fraction_or(
        section.max_lost_fraction.as_ref(),
        DEFAULT_MAX_LOST_FRACTION,
        max_lost_fraction_suggestion,
    )?;
    Ok(EndpointFiles {
        files: files.iter().map(|file| file.get_ref().into()).collect(),
        last_good_file: section
            .last_good_file
            .as_ref()
            .map(|file| file.get_ref().into()),
        settle_time: source.time_or(section.settle_time.as_ref(), milliseconds(100), "settle")?,
        poll_interval: source.time_or(section.poll_interval.as_ref(), seconds(5), "poll")?,
        max_lost_fraction,
        hold_duration: section
            .hold_duration
            .as_ref()
            .map(|spanned| source.positive_time(spanned, "hold"))
            .transpose()?,
        id_reuse_delay: source.time_or(
            section.id_reuse_delay.as_ref(),
            seconds(600),
            "reuse_after",
        )?,
        max_registry_age: source.time_or(
            section.max_registry_age.as_ref(),
            seconds(60),
            "registry_age",
        )?,
    })
}

/// Allows `*` only in the last component of a path, and requires that component not to be empty.
fn check_file_pattern(source: &Source<'_>, spanned: &Spanned<String>) -> ConfigResult<()> {
    let path = spanned.get_ref();
    let (directory, name) = path.rsplit_once('/').unwrap_or(("", path));
    if directory.contains('*') || name.is_empty() {
        let problem = format!("`{path}` is not a valid file, directory or pattern");
        return Err(source.error(
            spanned,
            problem,
            "use * only in the last path component, and no / at the end",
        ));
    }
    Ok(())
}
