//! A megabyte of values that cannot be decoded took hundreds of megabytes of heap, more than a small
//! node has, on every node that read it.

use catkinusher_platform::form::lenient;
use peak_alloc::PeakAlloc;

#[global_allocator]
static HEAP: PeakAlloc = PeakAlloc;

/// The largest object in the platform's store.
const LARGEST_OBJECT: usize = 1_048_576;

/// Half of what the smallest nodes have.
const MAX_HEAP: usize = 112_000_000 / 2;

#[test]
fn an_object_full_of_odd_values_fits_into_a_small_node() {
    let count = LARGEST_OBJECT / "nul,".len();
    let text = format!("[{}1e400]", "nul,".repeat(count - 2));
    let before = HEAP.current_usage();
    HEAP.reset_peak_usage();
    let value = lenient::decode(text.as_bytes());
    let taken = HEAP.peak_usage() - before;
    assert!(taken <= MAX_HEAP, "{taken} bytes for {}", text.len());
    // Each is still there, and is nothing that would fit where a part is read.
    let elements = value.as_array().unwrap();
    assert_eq!(elements.len(), count - 1);
    assert!(elements.iter().all(serde_json::Value::is_object));
    assert_eq!(lenient::undecodable(&elements[0]), Some("nul"));
}
