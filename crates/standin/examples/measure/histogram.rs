use std::time::Duration;

use hdrhistogram::Histogram;

const DIGITS: u8 = 3;

/// Collects values.
pub(crate) fn collect(values: impl IntoIterator<Item = u64>) -> Histogram<u64> {
    let mut histogram = Histogram::new(DIGITS).expect("a valid number of digits");
    for value in values {
        histogram.record(value).expect("an automatically resized histogram");
    }
    histogram
}

/// Returns a quantile, or `None` if there is no value.
pub(crate) fn quantile(histogram: &Histogram<u64>, at: f64) -> Option<u64> {
    (!histogram.is_empty()).then(|| histogram.value_at_quantile(at))
}

/// Returns whole milliseconds.
pub(crate) fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
