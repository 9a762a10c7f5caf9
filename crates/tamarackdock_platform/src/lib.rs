//! The platform's interface as traits, with an HTTP client. See
//! `docs/platform.md`.

mod client;
mod error;
pub mod host;
pub mod object;
pub mod order;
pub mod report;
pub mod table;
pub mod weight;

pub use client::Client;
pub use error::Error;

use futures_util::future::LocalBoxFuture;

/// The future of a platform call.
pub type Call<'a, T> = LocalBoxFuture<'a, Result<T, Error>>;
