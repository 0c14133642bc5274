//! `[fleet]`: the zones and the kinds of machine.

use super::source::{ConfigResult, Source};
use crate::model::Names;
use crate::schema;
use toml::Spanned;

const BYTES_PER_MB: f64 = 1_048_576.0;
const MIN_MEMORY_MB: f64 = 64.0;

/// The cores and memory of each kind of machine, by the position of the kind.
#[derive(Default)]
pub(super) struct MachineKinds {
    pub cores: Vec<f64>,
    pub memory_mb: Vec<f64>,
}

/// Adds the names of zones and kinds of machine to `names`, and returns the cores and memory of the kinds.
pub(super) fn validate(
    source: &Source<'_>,
    fleet: &schema::Fleet,
    names: &mut Names,
) -> ConfigResult<MachineKinds> {
    for zone in &fleet.zones {
        source.add_unique_name(&mut names.zones, zone, "zone")?;
    }
    let mut machine_kinds = MachineKinds::default();
    for kind in fleet.machine_kinds.get_ref() {
        add_kind(source, kind, names, &mut machine_kinds)?;
    }
    if names.kinds.is_empty() {
        return Err(source.error(
            &fleet.machine_kinds,
            "no kind of machine is defined",
            "add [[fleet.kinds]]",
        ));
    }
    Ok(machine_kinds)
}

fn add_kind(
    source: &Source<'_>,
    spanned: &Spanned<schema::MachineKind>,
    names: &mut Names,
    machine_kinds: &mut MachineKinds,
) -> ConfigResult<()> {
    let kind = spanned.get_ref();
    if names.kinds.contains(&kind.name) {
        return Err(source.error(
            spanned,
            format!("two kinds are named `{}`", kind.name),
            "rename one of them",
        ));
    }
    names.kinds.push(kind.name.clone());
    machine_kinds
        .cores
        .push(source.number_in_range(&kind.cores, "cores", 1.0, 1024.0)?);
    let memory_mb = kind.memory.get_ref().0 as f64 / BYTES_PER_MB;
    if memory_mb < MIN_MEMORY_MB {
        let problem = format!("{memory_mb} MB of memory is too little for an engine");
        return Err(source.error(&kind.memory, problem, "write a size of at least \"64MB\""));
    }
    machine_kinds.memory_mb.push(memory_mb);
    Ok(())
}
