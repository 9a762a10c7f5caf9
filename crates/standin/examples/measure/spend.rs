use std::time::Instant;

use standin::world::World;
use tamarackdock_platform::order::{Action, Class, Listed, State};
use tamarackdock_types::{DataCentreName, TargetName};

use crate::profile::Profile;

const PRICE_ORDINARY: f64 = 1.0;
const PRICE_CHEAP: f64 = 0.35;

/// What the targets that the platform lists have cost. A target that was ordered
/// to stop costs nothing more, and one that was ordered to start costs at once.
pub(crate) struct Spend {
    centres: Vec<DataCentreName>,
    cost: f64,
    counted: Instant,
}

impl Spend {
    /// Lists all engines at the platform, since a data centre without listed
    /// targets is not ordered.
    pub(crate) fn begin(world: &World, profile: &Profile) -> Self {
        let cheap = profile.cheap();
        let mut centres = Vec::new();
        let mut state = world.platform.state();
        for (index, (centre, _)) in profile.engines().into_iter().enumerate() {
            let centre = DataCentreName::new(centre).expect("a constant name");
            let name = TargetName::new(&format!("e{index}")).expect("a valid name");
            let class = if cheap.contains(&index) { Class::Cheap } else { Class::Ordinary };
            state.orders.set(centre.clone(), Listed { name, class, state: State::Running });
            centres.push(centre);
        }
        centres.sort_unstable();
        centres.dedup();
        Self { centres, cost: 0.0, counted: Instant::now() }
    }

    /// Counts the cost since the last count.
    pub(crate) fn count(&mut self, world: &World) {
        let state = world.platform.state();
        let listed = self.centres.iter().flat_map(|centre| state.orders.list(centre));
        let price = listed.map(|target| match target.class {
            Class::Ordinary => PRICE_ORDINARY,
            Class::Cheap => PRICE_CHEAP,
        });
        self.cost += price.sum::<f64>() * self.counted.elapsed().as_secs_f64();
        self.counted = Instant::now();
    }

    /// Returns target seconds times price.
    pub(crate) fn cost(&self) -> f64 {
        self.cost
    }

    /// Returns the orders to start and to stop that the platform got.
    pub(crate) fn orders(world: &World) -> [usize; 2] {
        let state = world.platform.state();
        let received = state.orders.received();
        [Action::Start, Action::Stop].map(|action| {
            received.iter().filter(|received| received.order.action == action).count()
        })
    }
}
