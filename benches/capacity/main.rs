//! Measures how CPU time, bytes and memory grow with the size of a fleet.
//!
//! `cargo bench --bench capacity` prints the numbers that docs/CAPACITY.md is derived from.
//! Compare the ratios between sizes: absolute times depend on the machine.

mod fixture;
mod leader;
mod processes;
mod router;
mod sessions;
mod sizes;

fn main() {
    // The first argument without a leading dash selects the parts whose name contains it.
    let filter = std::env::args().skip(1).find(|a| !a.starts_with('-'));
    let filter = filter.unwrap_or_default();
    let parts: [(&str, fn()); 5] = [
        ("sizes", sizes::run),
        ("router", router::run),
        ("leader", leader::run),
        ("sessions", sessions::run),
        ("processes", processes::run),
    ];
    for (name, part) in parts {
        if name.contains(&filter) {
            println!("\n## {name}\n");
            part();
        }
    }
}

/// Resident memory of this process, in KiB.
fn resident_kib() -> u64 {
    let text = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = text.lines().find(|l| l.starts_with("VmRSS:"));
    let number = line.and_then(|l| l.split_whitespace().nth(1));
    number.and_then(|n| n.parse().ok()).unwrap_or(0)
}

/// Returns the mean time of a call in microseconds over `repeats` calls.
fn mean_us(repeats: u32, mut call: impl FnMut()) -> f64 {
    let start = std::time::Instant::now();
    for _ in 0..repeats {
        call();
    }
    start.elapsed().as_secs_f64() * 1e6 / f64::from(repeats)
}
