use tamarackdock_config::settings::Policy;

/// Returns the policies that a name on the command line stands for. The name of a
/// single policy stands for the baseline with that policy switched on.
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
