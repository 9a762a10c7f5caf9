//! The asynchronous runtime that every thread of the process uses.

use std::io;

use monoio::{LegacyDriver, RuntimeBuilder, time::TimeDriver};

/// Builds a runtime on the epoll driver. The default of monoio prefers
/// `io_uring`, which the entry hosts do not allow.
///
/// # Errors
///
/// Returns the error of the operating system if it provides no epoll descriptor.
pub fn build() -> io::Result<monoio::Runtime<TimeDriver<LegacyDriver>>> {
    RuntimeBuilder::<LegacyDriver>::new().enable_timer().build()
}
