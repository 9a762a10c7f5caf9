use crate::Deployment;

/// Sorts all lists, so that equal configurations have equal bytes.
pub(crate) fn sorted(mut deployment: Deployment) -> Deployment {
    deployment.services.sort_by(|a, b| a.name.cmp(&b.name));
    deployment.accounts.sort_by(|a, b| a.name.cmp(&b.name));
    deployment.trainers.sort_by(|a, b| a.name.cmp(&b.name));
    deployment.data_centres.sort_by(|a, b| a.name.cmp(&b.name));
    deployment.targets.sort_by(|a, b| a.name.cmp(&b.name));
    for account in &mut deployment.accounts {
        account.keys.sort_unstable();
        account.keys.dedup();
        account.services.sort_unstable();
        account.services.dedup();
    }
    deployment
}

/// Serializes a sorted configuration as JSON without spaces, with the fields
/// in the order of the types. A `retry_ratio` that is not finite, which the reader
/// refuses, would be written as `null`.
pub(crate) fn bytes(sorted: &Deployment) -> Vec<u8> {
    serde_json::to_vec(sorted).unwrap_or_default()
}
