//! The next order, from the plan and the receiver's state.

use tamarackdock_platform::order::{Action, Class, Listed, Order, State};
use tamarackdock_types::{TargetName, fence::Epoch};

use super::Orders;

/// Names have at most 64 bytes; epoch and number need up to 40 of them.
const DATA_CENTRE_CHARS: usize = 20;

/// Whether the list shows that an order was carried out.
pub(super) fn shows(listed: &[Listed], order: &Order) -> bool {
    let target = listed.iter().find(|target| target.name == order.target);
    match order.action {
        Action::Start => target.is_some(),
        Action::Stop => target.is_none_or(|target| target.state == State::Leaving),
    }
}

/// Returns a target of the class that does not run. Starting one twice has no
/// effect, so a fixed name needs no epoch.
fn free(pool: &[(TargetName, Class)], class: Class, listed: &[Listed]) -> Option<TargetName> {
    let is_listed = |name: &TargetName| listed.iter().any(|target| target.name == *name);
    let mut free = pool.iter().filter(|(name, of)| *of == class && !is_listed(name));
    free.next().map(|(name, _)| name.clone())
}

impl Orders {
    /// Starts come first, and nothing is stopped while a target is starting, so
    /// that a replacement runs before its predecessor stops.
    pub(super) fn choose(&mut self, epoch: Epoch, listed: &[Listed]) -> Option<Order> {
        let wanted = self.wanted?;
        let classes = [(Class::Ordinary, wanted.ordinary), (Class::Cheap, wanted.cheap)];
        let of_class = |class| {
            listed
                .iter()
                .filter(move |target| target.class == class && target.state != State::Leaving)
        };
        let short = |(class, count): &(Class, u32)| of_class(*class).count() < *count as usize;
        if let Some((class, _)) = classes.into_iter().find(short) {
            return self
                .repeated(Action::Start, class)
                .or_else(|| self.new_start(epoch, class, listed));
        }
        if listed.iter().any(|target| target.state == State::Starting) {
            return None;
        }
        let surplus = |(class, count): (Class, u32)| of_class(class).nth(count as usize);
        let target = classes.into_iter().find_map(surplus)?;
        let repeated = self.repeated(Action::Stop, target.class);
        repeated
            .or_else(|| Some(self.order(epoch, target.name.clone(), Action::Stop, target.class)))
    }

    fn repeated(&self, action: Action, class: Class) -> Option<Order> {
        let same_kind = |order: &&Order| order.action == action && order.class == class;
        self.doubtful.iter().find(same_kind).cloned()
    }

    fn new_start(&mut self, epoch: Epoch, class: Class, listed: &[Listed]) -> Option<Order> {
        let target = match &self.pool {
            Some(pool) => free(pool, class, listed)?,
            None => self.new_name(epoch)?,
        };
        Some(self.order(epoch, target, Action::Start, class))
    }

    fn order(&mut self, epoch: Epoch, target: TargetName, action: Action, class: Class) -> Order {
        self.number += 1;
        let operation = format!("order-{}-{epoch}-{}", self.label, self.number);
        Order { operation, epoch, target, action, class }
    }

    /// The epoch makes the name one that no other holder uses.
    fn new_name(&self, epoch: Epoch) -> Option<TargetName> {
        let centre: String = self.data_centre.as_str().chars().take(DATA_CENTRE_CHARS).collect();
        TargetName::new(&format!("{centre}-{epoch}-{}", self.number + 1)).ok()
    }
}
