use super::{step::is_decisive, target::Target};

/// An item with slack could take this many times as long as expected without ending after its
/// step. Estimates of the number of events are off by a factor of two in one of ten items.
const SLACK_FACTOR: f64 = 2.5;

/// An item that waits for a target.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Waiting {
    /// Estimated number of remaining events.
    pub events: f64,
    /// Tokens of the prompt and of the text so far.
    pub read_tokens: f64,
    /// Expected end of its step.
    pub step_end_ms: f64,
}

impl Waiting {
    /// Returns whether the item can end at `end_ms` without deciding when its step ends, even if
    /// it is longer than expected.
    fn has_slack(&self, end_ms: f64) -> bool {
        SLACK_FACTOR * end_ms <= self.step_end_ms
    }
}

/// Returns for each item, in their order, the index of the target on which it starts now, or
/// `None` if it goes on waiting. Updates the targets accordingly. `fits` is given the indexes of
/// an item and a target.
///
/// An item starts where it is expected to end first. One with slack leaves as many of the fastest
/// slots as there are items without slack behind it in the order.
pub fn assign(
    items: &[Waiting],
    targets: &mut [Target],
    fits: impl Fn(usize, usize) -> bool,
) -> Vec<Option<usize>> {
    // Usually a single run has ended, and one target has room for one of many items.
    let mut open: Vec<usize> = (0..targets.len()).filter(|at| targets[*at].open > 0).collect();
    open.sort_by(|left, right| targets[*left].event_ms.total_cmp(&targets[*right].event_ms));
    let is_urgent = |item: &Waiting| {
        let fastest = open.first().map(|index| &targets[*index]);
        fastest.is_some_and(|fastest| {
            !item.has_slack(fastest.start_end_ms(item.events, item.read_tokens))
        })
    };
    let urgent: Vec<bool> = items.iter().map(is_urgent).collect();
    let mut reserved = urgent.iter().map(|urgent| u32::from(*urgent)).sum();
    let mut placed = vec![None; items.len()];
    for (number, item) in items.iter().enumerate() {
        if open.is_empty() {
            break;
        }
        reserved -= u32::from(urgent[number]);
        let fitting = open.iter().copied().filter(|target| fits(number, *target));
        let Some((chosen, end_ms)) = choose(item, targets, fitting, reserved) else { continue };
        targets[chosen].add_run();
        targets[chosen].decisive += u32::from(is_decisive(end_ms, item.step_end_ms));
        open.retain(|target| targets[*target].open > 0);
        placed[number] = Some(chosen);
    }
    placed
}

/// Returns the best of the targets for an item, fastest first, and the item's expected end there.
/// `reserved` is the number of fastest slots that an item with slack leaves.
fn choose(
    item: &Waiting,
    targets: &[Target],
    fitting: impl Iterator<Item = usize>,
    reserved: u32,
) -> Option<(usize, f64)> {
    let mut first: Option<(f64, usize)> = None;
    let mut unreserved: Option<(f64, usize)> = None;
    let mut slots = 0_u32;
    for index in fitting {
        let target = &targets[index];
        let end_ms = target.start_end_ms(item.events, item.read_tokens);
        slots = slots.saturating_add(target.open);
        if first.is_none_or(|(earliest, _)| end_ms < earliest) {
            first = Some((end_ms, index));
        }
        if slots > reserved
            && item.has_slack(end_ms)
            && unreserved.is_none_or(|(earliest, _)| end_ms < earliest)
        {
            unreserved = Some((end_ms, index));
        }
    }
    unreserved.or(first).map(|(end_ms, index)| (index, end_ms))
}
