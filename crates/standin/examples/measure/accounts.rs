use hdrhistogram::Histogram;

use crate::{
    histogram::{collect, millis, quantile},
    workload::Workload,
};

const P99: f64 = 0.99;

/// Calls of one account's app.
struct Account {
    name: &'static str,
    /// Latencies of the answered calls, in ms.
    latencies: Histogram<u64>,
    /// All calls that have ended.
    calls: u64,
}

/// Calls of the apps of all accounts.
pub(crate) struct Accounts(Vec<Account>);

impl Accounts {
    /// Reads the records of the apps. Calls in progress are left out.
    pub(crate) fn read(workload: &Workload) -> Self {
        let account = |(name, app): &(&'static str, standin::app::App)| {
            app.read(|records| {
                let latencies = collect(records.latencies.iter().map(|time| millis(*time)));
                let failed = records.refusals.values().sum::<u64>() + records.lost_connections;
                let wrong = (records.wrong_text.len() + records.incomplete.len()) as u64;
                Account { name, latencies, calls: records.answered + failed + wrong }
            })
        };
        Self(workload.apps.iter().map(account).collect())
    }

    /// Returns the number of calls of all accounts that have ended.
    pub(crate) fn calls(&self) -> u64 {
        self.0.iter().map(|account| account.calls).sum()
    }

    /// Returns the latencies of all accounts together, in ms.
    pub(crate) fn latencies(&self) -> Histogram<u64> {
        let mut all = collect([]);
        for account in &self.0 {
            all.add(&account.latencies).expect("an automatically resized histogram");
        }
        all
    }

    /// Returns the account with the largest p99 latency, and that latency in ms.
    pub(crate) fn worst(&self) -> Option<(&'static str, u64)> {
        self.sorted_by_p99().last().copied()
    }

    /// Returns the largest p99 latency divided by that of the median account.
    pub(crate) fn worst_to_median(&self) -> Option<f64> {
        let sorted = self.sorted_by_p99();
        let [median, worst] = [sorted.get(sorted.len() / 2)?.1, sorted.last()?.1]
            .map(|p99| f64::from(u32::try_from(p99).unwrap_or(u32::MAX)));
        (median > 0.0).then(|| worst / median)
    }

    /// Returns the smallest share of an account's calls that was answered, from 0 to 1.
    pub(crate) fn least_success_share(&self) -> Option<f64> {
        let float = |count| f64::from(u32::try_from(count).unwrap_or(u32::MAX));
        let called = self.0.iter().filter(|account| account.calls > 0);
        let shares = called.map(|account| float(account.latencies.len()) / float(account.calls));
        shares.min_by(f64::total_cmp)
    }

    fn sorted_by_p99(&self) -> Vec<(&'static str, u64)> {
        let p99 = |account: &Account| Some((account.name, quantile(&account.latencies, P99)?));
        let mut sorted: Vec<_> = self.0.iter().filter_map(p99).collect();
        sorted.sort_unstable_by_key(|(_, p99)| *p99);
        sorted
    }
}
