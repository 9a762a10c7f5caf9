//! Applies the cut-off rule, by which a node refuses keyed calls when it can't tell
//! whether its keys are still valid. See `docs/design.md`,
//! section 4, "Keys".

mod gate;
mod task;

pub(crate) use gate::Gate;
pub(crate) use task::run;
