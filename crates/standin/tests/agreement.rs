//! Tests of membership, configuration changes and the cut-off rule, with complete
//! nodes and stand-ins.

#[path = "agreement/caller.rs"]
mod caller;
#[path = "agreement/config.rs"]
mod config;
#[path = "agreement/cut_off.rs"]
mod cut_off;
#[path = "agreement/membership.rs"]
mod membership;
#[path = "agreement/operator.rs"]
mod operator;
#[path = "agreement/support.rs"]
mod support;
