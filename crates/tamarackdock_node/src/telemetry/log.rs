//! Structured logs. Each component of the node adds its name under the key `part`.

use std::sync::Mutex;

use slog::{Drain, LevelFilter, Logger, o};
use tamarackdock_config::settings::{Format, Level, Log};

/// Builds the root logger of a process. A separate thread writes the log to standard error.
pub fn root(settings: Log) -> Logger {
    let level = match settings.level {
        Level::Error => slog::Level::Error,
        Level::Warning => slog::Level::Warning,
        Level::Info => slog::Level::Info,
        Level::Debug => slog::Level::Debug,
    };
    match settings.format {
        Format::Human => {
            let decorator = slog_term::PlainDecorator::new(std::io::stderr());
            build(slog_term::FullFormat::new(decorator).build(), level)
        }
        Format::Json => build(slog_json::Json::default(std::io::stderr()), level),
    }
}

fn build<D>(drain: D, level: slog::Level) -> Logger
where
    D: Drain + Send + 'static,
    D::Err: std::fmt::Debug,
{
    let filtered = LevelFilter::new(Mutex::new(drain).ignore_res(), level);
    let asynchronous = slog_async::Async::new(filtered.ignore_res()).build();
    Logger::root(asynchronous.ignore_res(), o!())
}

/// Returns the logger of one component.
pub(crate) fn part(log: &Logger, part: &'static str) -> Logger {
    log.new(o!("part" => part))
}
