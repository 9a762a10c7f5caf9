use tamarackdock_config::deployment::Role;
use tamarackdock_types::{DataCentreName, ServiceName};

use crate::{Key, Target, table::Table};

/// Properties of a call on which the choice of its target depends.
#[derive(Debug, Clone, Copy)]
pub struct Call<'a> {
    /// Service whose targets can take the call.
    pub service: &'a ServiceName,
    /// Role that the target must have, or `None` if any will do.
    pub role: Option<Role>,
    /// Hash of the start of the prompt.
    pub prefix: u64,
    /// The node's own data centre, preferred among equally loaded targets.
    pub own_data_centre: &'a DataCentreName,
    /// Targets that the call has already tried.
    pub tried: &'a [Key],
    /// Data centres that failed as a whole during the call.
    pub tried_data_centres: &'a [DataCentreName],
}

impl Call<'_> {
    /// Returns the targets that can take the call.
    pub fn candidates<'t>(&self, table: &'t Table) -> impl Iterator<Item = (Key, &'t Target)> {
        table.iter().filter(|(key, target)| self.accepts(*key, target))
    }

    fn accepts(&self, key: Key, target: &Target) -> bool {
        target.spec.service == *self.service
            && self.role.is_none_or(|role| role == target.spec.role)
            && target.calls() < target.limit()
            && !self.tried.contains(&key)
            && !self.tried_data_centres.contains(&target.spec.data_centre)
    }
}
