//! The cut-off rule for keys: a node must not go on serving keys that may have been
//! withdrawn. See `docs/design.md`, section 4, "Keys".

mod answer;
mod ask;
mod report;
mod state;
mod verdict;

pub use answer::Answer;
pub use ask::Ask;
pub use state::{
    ASK_AFTER, ASK_INTERVAL, ASKED_PER_DATA_CENTRE, CUT_OFF_AFTER, Reachability, SETTLE_FOR,
    STORE_DOWN_AFTER,
};
pub use verdict::Verdict;
