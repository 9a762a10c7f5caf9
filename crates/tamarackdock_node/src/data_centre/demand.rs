use std::rc::Rc;

use tamarackdock_config::deployment::{Class, DataCentreState, Target};
use tamarackdock_platform::order;
use tamarackdock_spend::{DataCentreLoad, TargetCounts};
use tamarackdock_types::{DataCentreName, TargetName};

use crate::context::Context;

/// The engines of one service in one data centre, and the demand for them.
pub(super) struct Demand {
    pub(super) pool: Vec<(TargetName, order::Class)>,
    pub(super) load: DataCentreLoad,
}

impl Demand {
    /// Measures the demand in concurrent calls. Load reports lag behind, so for each
    /// engine the node's own calls count if they are more.
    pub(super) fn measure(
        context: &Context,
        data_centre: &DataCentreName,
        engines: &[Rc<Target>],
    ) -> Self {
        let calls: u64 =
            engines.iter().map(|engine| context.targets.call_count(&engine.name)).sum();
        let capacity: u64 = engines.iter().map(|engine| u64::from(engine.capacity)).sum();
        let count = engines.len().max(1) as u64;
        let active = context.active.get();
        let mut data_centres = active.deployment.data_centres.iter();
        let is_out =
            data_centres.any(|c| c.name == *data_centre && c.state == DataCentreState::Out);
        // A data centre out of service keeps one target, since without any there
        // would be no demand to measure, and an empty list means that the platform
        // orders no targets here.
        let limit = if is_out { 1 } else { u32::try_from(count).unwrap_or(u32::MAX) };
        let capacity = (capacity / count).max(1);
        let load = DataCentreLoad { demand: calls.max(1), capacity, limit };
        Self { pool: engines.iter().map(|engine| pool_entry(engine)).collect(), load }
    }

    /// Counts the targets of the pool by class.
    pub(super) fn pool_counts(&self) -> TargetCounts {
        let count = |class| self.pool.iter().filter(|(_, other)| *other == class).count();
        let count = |class| u32::try_from(count(class)).unwrap_or(u32::MAX);
        TargetCounts { ordinary: count(order::Class::Ordinary), cheap: count(order::Class::Cheap) }
    }

    /// Limits `wanted` to the pool. Targets that one class lacks are taken from the other.
    pub(super) fn fit_to_pool(&self, wanted: TargetCounts) -> TargetCounts {
        let available = self.pool_counts();
        let lacking_cheap = wanted.cheap.saturating_sub(available.cheap);
        let lacking_ordinary = wanted.ordinary.saturating_sub(available.ordinary);
        TargetCounts {
            ordinary: (wanted.ordinary + lacking_cheap).min(available.ordinary),
            cheap: (wanted.cheap + lacking_ordinary).min(available.cheap),
        }
    }
}

fn pool_entry(engine: &Target) -> (TargetName, order::Class) {
    let class = match engine.class {
        Class::Ordinary => order::Class::Ordinary,
        Class::Cheap => order::Class::Cheap,
    };
    (engine.name.clone(), class)
}
