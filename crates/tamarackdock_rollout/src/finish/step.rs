/// An item that ends at this fraction of the time until its step ends, or later, may decide that
/// time if it is a little slower than expected.
const DECISIVE_FRACTION: f64 = 0.8;

/// A group of a step.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Group {
    /// Expected end of its last item, 0 if all have ended.
    pub end_ms: f64,
    /// Whether the trainer waits for it in any case.
    pub carried: bool,
}

/// Returns whether an item may decide when its step ends.
pub(super) fn is_decisive(end_ms: f64, step_end_ms: f64) -> bool {
    end_ms >= DECISIVE_FRACTION * step_end_ms
}

/// Returns the expected end of a step: when the number of groups that the trainer waits for
/// are complete, and all that were carried over from an earlier step.
#[must_use]
pub fn step_end_ms(groups: &[Group], wanted: usize) -> f64 {
    let mut ends: Vec<f64> = groups.iter().map(|group| group.end_ms).collect();
    let wanted_end = match wanted.min(ends.len()).checked_sub(1) {
        Some(last) => *ends.select_nth_unstable_by(last, f64::total_cmp).1,
        None => 0.0,
    };
    let carried = groups.iter().filter(|group| group.carried);
    carried.fold(wanted_end, |end, group| end.max(group.end_ms))
}
