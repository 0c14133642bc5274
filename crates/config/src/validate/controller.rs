//! `[controller]`: the identity of this controller.

use super::source::{ConfigResult, Source};
use crate::model::Names;
use crate::schema;

/// The identity of this controller among all controllers.
pub(super) struct ControllerIdentity {
    /// The index of this controller, counted from 0.
    pub index: u32,
    /// The total number of controllers.
    pub count: u32,
    /// The position of its zone in the list of zone names.
    pub zone: Option<usize>,
}

pub(super) fn validate(
    source: &Source<'_>,
    controller: &schema::Controller,
    names: &Names,
) -> ConfigResult<ControllerIdentity> {
    let count = controller
        .count
        .as_ref()
        .map_or(1, |count| *count.get_ref());
    let index = controller
        .index
        .as_ref()
        .map_or(0, |index| *index.get_ref());
    if let Some(spanned) = controller.count.as_ref().filter(|_| count == 0) {
        return Err(source.error(spanned, "`count` is 0", "write 1 or more"));
    }
    if let Some(spanned) = controller.index.as_ref().filter(|_| index >= count) {
        let problem = format!("`index` is {index}, but `count` is {count}");
        let suggestion = "number the controllers from 0, and set `count` to how many there are";
        return Err(source.error(spanned, problem, suggestion));
    }
    let zone = controller
        .zone
        .as_ref()
        .map(|zone| source.index_of_name(&names.zones, zone, "zone"));
    Ok(ControllerIdentity {
        index,
        count,
        zone: zone.transpose()?,
    })
}
