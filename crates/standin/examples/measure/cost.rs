use std::time::Instant;

use standin::world::World;
use tamarackdock_platform::order::{Action, Class, ListedTarget, State};
use tamarackdock_types::{DataCentreName, TargetName};

use crate::profile::Profile;

/// Price of a target second, relative to an ordinary target.
const PRICE_ORDINARY: f64 = 1.0;
const PRICE_CHEAP: f64 = 0.35;

/// Accumulated cost of the targets that the platform lists, from when they are
/// ordered to start until they are ordered to stop.
pub(crate) struct Cost {
    data_centres: Vec<DataCentreName>,
    /// Target seconds times price so far.
    total: f64,
    accumulated_at: Instant,
}

impl Cost {
    /// Adds all engines to the platform's list, since nodes order nothing in a data
    /// centre without listed targets.
    pub(crate) fn begin(world: &World, profile: &Profile) -> Self {
        let cheap = profile.cheap_engines();
        let mut data_centres = Vec::new();
        let mut state = world.platform.state();
        for (index, (data_centre, _)) in profile.engines().into_iter().enumerate() {
            let data_centre = DataCentreName::new(data_centre).expect("a constant name");
            let name = TargetName::new(&format!("e{index}")).expect("a valid name");
            let class = if cheap.contains(&index) { Class::Cheap } else { Class::Ordinary };
            state
                .orders
                .set(data_centre.clone(), ListedTarget { name, class, state: State::Running });
            data_centres.push(data_centre);
        }
        data_centres.sort_unstable();
        data_centres.dedup();
        Self { data_centres, total: 0.0, accumulated_at: Instant::now() }
    }

    /// Adds the cost since the last call.
    pub(crate) fn accumulate(&mut self, world: &World) {
        let state = world.platform.state();
        let listed =
            self.data_centres.iter().flat_map(|data_centre| state.orders.list(data_centre));
        let price = listed.map(|target| match target.class {
            Class::Ordinary => PRICE_ORDINARY,
            Class::Cheap => PRICE_CHEAP,
        });
        self.total += price.sum::<f64>() * self.accumulated_at.elapsed().as_secs_f64();
        self.accumulated_at = Instant::now();
    }

    /// Returns the sum of target seconds times price.
    pub(crate) fn cost(&self) -> f64 {
        self.total
    }

    /// Returns how many orders to start and to stop the platform has received.
    pub(crate) fn orders(world: &World) -> [usize; 2] {
        let state = world.platform.state();
        let received = state.orders.received();
        [Action::Start, Action::Stop].map(|action| {
            received.iter().filter(|received| received.order.action == action).count()
        })
    }
}
