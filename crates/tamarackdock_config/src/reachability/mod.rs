//! The cut-off rule for keys: a node must not go on serving keys that may have been
//! withdrawn. See `docs/design.md`, section 4, "Keys".

mod answer;
mod key_status;
mod query;
mod report;
mod state;

pub use answer::Answer;
pub use key_status::KeyStatus;
pub use query::Query;
pub use state::{
    CUT_OFF_AFTER, QUERIED_PER_DATA_CENTRE, QUERY_AFTER, QUERY_INTERVAL, Reachability, SETTLE_FOR,
    STORE_DOWN_AFTER,
};
