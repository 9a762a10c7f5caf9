use std::{fs, path::Path, time::Duration};

/// Clock ticks per second in `/proc/*/stat`, the same on all Linux architectures in use.
const TICKS_PER_SECOND: u64 = 100;
/// Number of fields in `/proc/*/stat` between the name and the user time.
const FIELDS_BEFORE_USER_TIME: usize = 11;

/// Selects the threads of a process whose CPU time is counted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Threads<'a> {
    /// All threads.
    All,
    /// Threads with this name, which the kernel truncates to 15 bytes.
    Named(&'a str),
}

/// Returns the CPU time that threads of a process have used, in steps of
/// 10 ms, or `None` if there is no such process or thread.
#[must_use]
pub fn cpu_time(process: u32, threads: Threads<'_>) -> Option<Duration> {
    let tasks = fs::read_dir(format!("/proc/{process}/task")).ok()?;
    let times = tasks.filter_map(|task| thread_time(&task.ok()?.path(), threads));
    times.reduce(|sum, time| sum + time)
}

fn thread_time(task: &Path, threads: Threads<'_>) -> Option<Duration> {
    let stat = fs::read_to_string(task.join("stat")).ok()?;
    // The name itself can contain spaces and parentheses.
    let (name, fields) = stat.split_once('(')?.1.rsplit_once(')')?;
    if !matches!(threads, Threads::All) && threads != Threads::Named(name) {
        return None;
    }
    let times = fields.split_whitespace().skip(FIELDS_BEFORE_USER_TIME).take(2);
    let ticks: u64 = times.map(|time| time.parse::<u64>().unwrap_or_default()).sum();
    Some(Duration::from_millis(ticks * 1000 / TICKS_PER_SECOND))
}
