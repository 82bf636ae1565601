//! The platform's names are used by the adapter only, and the adapter stays small and stateless.

use std::path::Path;

/// Names that only the adapter may use.
const NAMES: [&str; 12] = [
    "X-Attempt-Id",
    "x-attempt-id",
    "X-Response-Stamp",
    "X-Token-Counts",
    "X-Expect-Instance",
    "runrail/order",
    "runrail/report",
    "kv-txn",
    "kv-range",
    "kv-watch",
    "RUNRAIL_BOOT",
    "op/config",
];

fn sources(dir: &Path, found: &mut Vec<std::path::PathBuf>) {
    for entry in std::fs::read_dir(dir).expect("a folder").flatten() {
        let path = entry.path();
        if path.is_dir() {
            sources(&path, found);
        } else {
            found.push(path);
        }
    }
}

#[test]
fn the_platforms_names_are_used_in_its_folder_only() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR"));
    let mut files = Vec::new();
    for dir in ["src", "testkit/src", "benches", "examples"] {
        sources(&root.join(dir), &mut files);
    }
    for file in files {
        let text = std::fs::read_to_string(&file).unwrap_or_default();
        for name in NAMES {
            assert!(!text.contains(name), "{name} in {}", file.display());
        }
    }
}

#[test]
fn the_adapter_is_small_and_keeps_no_time() {
    let mut files = Vec::new();
    sources(
        &Path::new(env!("CARGO_MANIFEST_DIR")).join("platform"),
        &mut files,
    );
    let mut lines = 0;
    for file in files {
        let text = std::fs::read_to_string(&file).expect("text");
        lines += text.lines().count();
        for word in ["sleep", "Instant", "static mut", "thread_local", "Mutex"] {
            assert!(!text.contains(word), "{word} in {}", file.display());
        }
    }
    assert!(lines < 2_000, "{lines}");
}
