//! The task that runs the cut-off rule for keys. See `docs/design.md`,
//! section 4, "Keys".

mod gate;
mod task;

pub(crate) use gate::Gate;
pub(crate) use task::run;
