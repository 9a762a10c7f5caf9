use std::{
    hint::black_box,
    thread,
    time::{Duration, Instant},
};

use standin::resource::{Threads, cpu_time, resident_bytes};

use super::support::DEADLINE;

const BUSY: Duration = Duration::from_millis(200);

/// Guards against figures of a thread that contain the time of other threads,
/// and against a time that doesn't grow with the work.
#[test]
fn a_thread_s_time_is_its_own() {
    let name = "busy (thread)";
    let thread = thread::Builder::new().name(name.into()).spawn(move || {
        let begin = Instant::now();
        let used = || cpu_time(std::process::id(), Threads::Named(name)).unwrap();
        while used() < BUSY {
            assert!(begin.elapsed() < DEADLINE, "a busy thread uses no time");
            black_box((0..100_000_u64).map(black_box).sum::<u64>());
        }
        used() <= cpu_time(std::process::id(), Threads::All).unwrap()
    });
    assert!(thread.unwrap().join().unwrap());
    assert_eq!(cpu_time(std::process::id(), Threads::Named("no thread")), None);
}

/// Guards against a wrong unit of the resident memory.
#[test]
fn resident_memory_covers_what_was_written() {
    const BYTES: usize = 64 << 20;
    let before = resident_bytes(std::process::id()).unwrap();
    let written = black_box(vec![1_u8; BYTES]);
    let after = resident_bytes(std::process::id()).unwrap();
    assert!(after >= before + (BYTES as u64) / 2, "{before} {after} {}", written.len());
}
