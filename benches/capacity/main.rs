//! Slopes behind docs/CAPACITY.md: processor time, bytes and memory by size.
//!
//! `cargo bench --bench capacity` prints every number that the page is worked
//! out from. Ratios between sizes count; absolute times are this machine's.

mod fixture;
mod leader;
mod processes;
mod router;
mod sessions;
mod sizes;

fn main() {
    let wanted = std::env::args().skip(1).find(|a| !a.starts_with('-'));
    let wanted = wanted.unwrap_or_default();
    let parts: [(&str, fn()); 5] = [
        ("sizes", sizes::run),
        ("router", router::run),
        ("leader", leader::run),
        ("sessions", sessions::run),
        ("processes", processes::run),
    ];
    for (name, part) in parts {
        if name.contains(&wanted) {
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

/// Microseconds of one call, as the mean of many.
fn micros(times: u32, mut call: impl FnMut()) -> f64 {
    let start = std::time::Instant::now();
    for _ in 0..times {
        call();
    }
    start.elapsed().as_secs_f64() * 1e6 / f64::from(times)
}
