use std::time::Duration;

use hdrhistogram::Histogram;

const SIGNIFICANT_DIGITS: u8 = 3;

/// Returns a histogram of the values.
pub(crate) fn collect(values: impl IntoIterator<Item = u64>) -> Histogram<u64> {
    let mut histogram = Histogram::new(SIGNIFICANT_DIGITS).expect("a valid number of digits");
    for value in values {
        histogram.record(value).expect("an automatically resized histogram");
    }
    histogram
}

/// Returns the value at a quantile from 0 to 1, or `None` if the histogram is empty.
pub(crate) fn quantile(histogram: &Histogram<u64>, at: f64) -> Option<u64> {
    (!histogram.is_empty()).then(|| histogram.value_at_quantile(at))
}

/// Returns a time in milliseconds, rounded down.
pub(crate) fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
