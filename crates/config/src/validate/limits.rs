//! `[limits]`: limits on counts and sizes.

use super::source::{ConfigResult, Source};
use crate::model::Limits;
use crate::schema;
use crate::units::Size;
use toml::Spanned;

const MAX_SIZE_BYTES: u64 = 1 << 30;

pub(super) fn validate(source: &Source<'_>, limits: &schema::Limits) -> ConfigResult<Limits> {
    let number = |spanned: &Option<Spanned<u32>>, default: u32, max: u32, key: &str| {
        spanned.as_ref().map_or(Ok(default), |spanned| {
            number_at_most(source, spanned, max, key)
        })
    };
    let size = |spanned: &Option<Spanned<Size>>, default: usize, min: u64, key: &str| {
        spanned.as_ref().map_or(Ok(default), |spanned| {
            size_at_least(source, spanned, min, key)
        })
    };
    Ok(Limits {
        max_clients: number(&limits.clients, 12_000, 1_000_000, "clients")? as usize,
        max_queries: number(&limits.queries, 20_000, 1_000_000, "queries")? as usize,
        max_message_bytes: size(&limits.message, 1 << 20, 1024, "message")?,
        max_statements: number(&limits.statements, 256, 100_000, "statements")? as usize,
        max_prepared_bytes: size(&limits.prepared, 4 << 20, 4096, "prepared")?,
        max_buffered_bytes: size(&limits.buffer, 256 << 10, 4096, "buffer")?,
        max_engine_sessions: number(&limits.sessions, 200, 100_000, "sessions")? as usize,
        listen_backlog: number(&limits.backlog, 1024, 65_535, "backlog")?,
    })
}

fn number_at_most(
    source: &Source<'_>,
    spanned: &Spanned<u32>,
    max: u32,
    key: &str,
) -> ConfigResult<u32> {
    let number = *spanned.get_ref();
    if (1..=max).contains(&number) {
        return Ok(number);
    }
    Err(source.error(
        spanned,
        format!("`{key}` is {number}"),
        format!("write a number from 1 to {max}"),
    ))
}

fn size_at_least(
    source: &Source<'_>,
    spanned: &Spanned<Size>,
    min: u64,
    key: &str,
) -> ConfigResult<usize> {
    let bytes = spanned.get_ref().0;
    if (min..=MAX_SIZE_BYTES).contains(&bytes) {
        return Ok(bytes as usize);
    }
    let suggestion = format!("write a size from {min} bytes to 1GB");
    Err(source.error(spanned, format!("`{key}` is {bytes} bytes"), suggestion))
}
