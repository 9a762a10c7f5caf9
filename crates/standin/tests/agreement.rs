//! Membership, configuration and the cut-off rule on whole nodes and stand-ins.

#[path = "agreement/membership.rs"]
mod membership;
#[path = "agreement/support.rs"]
mod support;
