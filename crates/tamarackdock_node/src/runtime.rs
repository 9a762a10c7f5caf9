//! The runtime of every thread.

use std::io;

use monoio::{LegacyDriver, RuntimeBuilder, time::TimeDriver};

/// Builds a runtime on the epoll driver. The default of monoio prefers
/// `io_uring`, which the entry hosts do not allow.
///
/// # Errors
///
/// Returns the error of the system if no epoll descriptor can be had.
pub fn build() -> io::Result<monoio::Runtime<TimeDriver<LegacyDriver>>> {
    RuntimeBuilder::<LegacyDriver>::new().enable_timer().build()
}
