//! Choice of the next order from the plan and the receiver's state.

use tamarackdock_platform::order::{Action, Class, ListedTarget, Order, State};
use tamarackdock_types::{TargetName, fence::Epoch};

use super::Reconciler;

/// Largest number of characters of the data centre's name in a target's name. A target's
/// name has at most 64 bytes, of which epoch and number need up to 40, and two hyphens.
const DATA_CENTRE_CHARS: usize = 20;

/// Returns whether the list shows that an order was carried out.
pub(super) fn is_carried_out(listed: &[ListedTarget], order: &Order) -> bool {
    let target = listed.iter().find(|target| target.name == order.target);
    match order.action {
        Action::Start => target.is_some(),
        Action::Stop => target.is_none_or(|target| target.state == State::Leaving),
    }
}

/// Returns a target of the class that is not running. Starting a target twice has
/// no effect, so its fixed name need not contain the epoch.
fn unused_target(
    pool: &[(TargetName, Class)],
    class: Class,
    listed: &[ListedTarget],
) -> Option<TargetName> {
    let is_listed = |name: &TargetName| listed.iter().any(|target| target.name == *name);
    let mut unused =
        pool.iter().filter(|(name, target_class)| *target_class == class && !is_listed(name));
    unused.next().map(|(name, _)| name.clone())
}

impl Reconciler {
    /// Returns the next order, if one is needed. Starts come first, and nothing
    /// is stopped while a target is starting, so that a replacement runs before
    /// its predecessor stops.
    pub(super) fn choose(&mut self, epoch: Epoch, listed: &[ListedTarget]) -> Option<Order> {
        let plan = self.plan?;
        let classes = [(Class::Ordinary, plan.ordinary), (Class::Cheap, plan.cheap)];
        let of_class = |class| {
            listed
                .iter()
                .filter(move |target| target.class == class && target.state != State::Leaving)
        };
        let has_too_few =
            |(class, count): &(Class, u32)| of_class(*class).count() < *count as usize;
        if let Some((class, _)) = classes.into_iter().find(has_too_few) {
            return self
                .unresolved_order(Action::Start, class)
                .or_else(|| self.new_start(epoch, class, listed));
        }
        if listed.iter().any(|target| target.state == State::Starting) {
            return None;
        }
        let surplus = |(class, count): (Class, u32)| of_class(class).nth(count as usize);
        let target = classes.into_iter().find_map(surplus)?;
        let unresolved = self.unresolved_order(Action::Stop, target.class);
        unresolved
            .or_else(|| Some(self.order(epoch, target.name.clone(), Action::Stop, target.class)))
    }

    fn unresolved_order(&self, action: Action, class: Class) -> Option<Order> {
        let same_kind = |order: &&Order| order.action == action && order.class == class;
        self.unresolved.iter().find(same_kind).cloned()
    }

    fn new_start(&mut self, epoch: Epoch, class: Class, listed: &[ListedTarget]) -> Option<Order> {
        let target = match &self.pool {
            Some(pool) => unused_target(pool, class, listed)?,
            None => self.new_name(epoch)?,
        };
        Some(self.order(epoch, target, Action::Start, class))
    }

    fn order(&mut self, epoch: Epoch, target: TargetName, action: Action, class: Class) -> Order {
        self.number += 1;
        let operation = format!("order-{}-{epoch}-{}", self.label, self.number);
        Order { operation, epoch, target, action, class }
    }

    /// Returns the name of a new target. The epoch in it keeps other holders from
    /// using the same name.
    fn new_name(&self, epoch: Epoch) -> Option<TargetName> {
        let data_centre: String =
            self.data_centre.as_str().chars().take(DATA_CENTRE_CHARS).collect();
        TargetName::new(&format!("{data_centre}-{epoch}-{}", self.number + 1)).ok()
    }
}
