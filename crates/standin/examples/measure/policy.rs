use tamarackdock_config::settings::Policy;

/// Returns the policies with a name; a single policy is added to the baseline.
pub(crate) fn named(name: &str) -> Option<Policy> {
    let (baseline, current) = (Policy::baseline(), Policy::default());
    let policy = match name {
        "baseline" => baseline,
        "current" => current,
        "routing" => Policy { routing: current.routing, ..baseline },
        "admission" => Policy { admission: current.admission, ..baseline },
        "stragglers" => Policy { stragglers: current.stragglers, ..baseline },
        "loading" => Policy { loading: current.loading, ..baseline },
        "spending" => Policy { spending: current.spending, ..baseline },
        _ => return None,
    };
    Some(policy)
}
