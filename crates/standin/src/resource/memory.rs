use std::fs;

/// Returns the resident memory of a process in bytes, or `None` if there is no such process.
#[must_use]
pub fn resident_bytes(process: u32) -> Option<u64> {
    let status = fs::read_to_string(format!("/proc/{process}/status")).ok()?;
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"))?;
    let kibibytes: u64 = line.split_whitespace().next()?.parse().ok()?;
    Some(kibibytes << 10)
}
