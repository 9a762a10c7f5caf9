//! Checks the promises of `docs/design.md`, section 1, under faults of real node
//! processes.

mod calls;
mod killed;
mod paused;
mod plain_calls;
mod rolling;
mod silence;
mod store;
mod support;
mod table;
