//! What the open sockets of a process are, for the report of one that has too many.

use std::collections::{BTreeMap, BTreeSet};

/// Ports named in a summary, those with the most sockets first.
const MAX_PORTS: usize = 6;

/// Summarizes the TCP sockets of a process: their number by state and port, at both ends.
pub(super) fn summary(pid: u32) -> String {
    let table = std::fs::read_to_string(format!("/proc/{pid}/net/tcp")).unwrap_or_default();
    let own = inodes(pid);
    let mut counts: BTreeMap<String, usize> = BTreeMap::new();
    for line in table.lines().skip(1) {
        let fields: Vec<_> = line.split_whitespace().collect();
        let [_, local, remote, state, _, _, _, _, _, inode, ..] = fields[..] else {
            continue;
        };
        if own.contains(inode) {
            *counts
                .entry(format!("{} from {}", name(state), port(local)))
                .or_default() += 1;
            *counts
                .entry(format!("{} to {}", name(state), port(remote)))
                .or_default() += 1;
        }
    }
    let mut counts: Vec<_> = counts.into_iter().collect();
    counts.sort_by_key(|(_, n)| std::cmp::Reverse(*n));
    let counts = counts.iter().take(MAX_PORTS);
    let all: Vec<_> = counts.map(|(what, n)| format!("{n} {what}")).collect();
    format!("{} sockets: {}", own.len(), all.join(", "))
}

/// Inodes of the sockets among a process's descriptors.
fn inodes(pid: u32) -> BTreeSet<String> {
    let descriptors = std::fs::read_dir(format!("/proc/{pid}/fd"));
    let targets = descriptors.into_iter().flatten().flatten();
    let inode = |entry: std::fs::DirEntry| {
        let target = std::fs::read_link(entry.path()).ok()?;
        let number = target.to_str()?.strip_prefix("socket:[")?;
        Some(number.trim_end_matches(']').to_string())
    };
    targets.filter_map(inode).collect()
}

/// The port of an address in hexadecimal.
fn port(addr: &str) -> u16 {
    let port = addr.split(':').nth(1).unwrap_or_default();
    u16::from_str_radix(port, 16).unwrap_or_default()
}

/// The name of a TCP state, by its number in the kernel.
fn name(state: &str) -> &str {
    match state {
        "01" => "established",
        "02" => "connecting",
        "08" => "closed by the peer",
        "0A" => "listening",
        other => other,
    }
}
