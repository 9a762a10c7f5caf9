use std::{
    hint::black_box,
    thread,
    time::{Duration, Instant},
};

use standin::resource::{Threads, cpu_time, resident_bytes};

use super::support::TIMEOUT;

/// CPU time that the thread uses before the comparison.
const BUSY_TIME: Duration = Duration::from_millis(200);

/// Guards against a CPU time of one thread that contains the time of other threads, and
/// against a time that doesn't grow with the work.
#[test]
fn cpu_time_of_a_thread_excludes_other_threads() {
    let name = "busy (thread)";
    let thread = thread::Builder::new().name(name.into()).spawn(move || {
        let begin = Instant::now();
        let used = || cpu_time(std::process::id(), Threads::Named(name)).unwrap();
        while used() < BUSY_TIME {
            assert!(begin.elapsed() < TIMEOUT, "a busy thread uses no time");
            black_box((0..100_000_u64).map(black_box).sum::<u64>());
        }
        used() <= cpu_time(std::process::id(), Threads::All).unwrap()
    });
    assert!(thread.unwrap().join().unwrap());
    assert_eq!(cpu_time(std::process::id(), Threads::Named("no thread")), None);
}

/// Guards against resident memory in a wrong unit: it must grow by at least half of the
/// 64 MiB that the test writes.
#[test]
fn resident_memory_covers_what_was_written() {
    const BYTES: usize = 64 << 20;
    let before = resident_bytes(std::process::id()).unwrap();
    let written = black_box(vec![1_u8; BYTES]);
    let after = resident_bytes(std::process::id()).unwrap();
    assert!(after >= before + (BYTES as u64) / 2, "{before} {after} {}", written.len());
}
