use super::*;

const OUTPUT_BYTES: usize = 60_000;

/// Regression test: a buffer whose output was written kept its memory, so that idle connections held that of their largest response.
#[test]
fn an_output_buffer_releases_its_memory_once_all_of_it_is_written() {
    let mut buffer = ConnectionBuffer::default();
    buffer.output.extend_from_slice(&[0; OUTPUT_BYTES]);
    assert!(!buffer.advance_written(OUTPUT_BYTES - 1));
    assert!(buffer.advance_written(1));
    assert!(!buffer.output.try_reclaim(OUTPUT_BYTES));
}
