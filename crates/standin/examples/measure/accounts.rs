use hdrhistogram::Histogram;

use crate::{
    histogram::{collect, millis, quantile},
    work::Work,
};

const P99: f64 = 0.99;

/// What one account's app saw.
struct Account {
    name: &'static str,
    latencies: Histogram<u64>,
    calls: u64,
}

/// What the apps of all accounts saw.
pub(crate) struct Accounts(Vec<Account>);

impl Accounts {
    /// Reads the records of the apps. Calls in progress are left out.
    pub(crate) fn read(work: &Work) -> Self {
        let account = |(name, app): &(&'static str, standin::app::App)| {
            app.read(|records| {
                let latencies = collect(records.latencies.iter().map(|time| millis(*time)));
                let failed = records.refusals.values().sum::<u64>() + records.broken;
                let wrong = (records.foreign.len() + records.incomplete.len()) as u64;
                Account { name, latencies, calls: records.answered + failed + wrong }
            })
        };
        Self(work.apps.iter().map(account).collect())
    }

    /// Returns the ended calls of all accounts.
    pub(crate) fn calls(&self) -> u64 {
        self.0.iter().map(|account| account.calls).sum()
    }

    /// Returns the latencies of all accounts, in ms.
    pub(crate) fn latencies(&self) -> Histogram<u64> {
        let mut all = collect([]);
        for account in &self.0 {
            all.add(&account.latencies).expect("an automatically resized histogram");
        }
        all
    }

    /// Returns the account with the largest p99, in ms.
    pub(crate) fn worst(&self) -> Option<(&'static str, u64)> {
        self.by_p99().last().copied()
    }

    /// Returns the largest p99 divided by the median account's.
    pub(crate) fn worst_to_median(&self) -> Option<f64> {
        let sorted = self.by_p99();
        let [median, worst] = [sorted.get(sorted.len() / 2)?.1, sorted.last()?.1]
            .map(|p99| f64::from(u32::try_from(p99).unwrap_or(u32::MAX)));
        (median > 0.0).then(|| worst / median)
    }

    /// Returns the smallest share of an account's calls that were answered.
    pub(crate) fn least_success_share(&self) -> Option<f64> {
        let float = |count| f64::from(u32::try_from(count).unwrap_or(u32::MAX));
        let called = self.0.iter().filter(|account| account.calls > 0);
        let shares = called.map(|account| float(account.latencies.len()) / float(account.calls));
        shares.min_by(f64::total_cmp)
    }

    fn by_p99(&self) -> Vec<(&'static str, u64)> {
        let p99 = |account: &Account| Some((account.name, quantile(&account.latencies, P99)?));
        let mut sorted: Vec<_> = self.0.iter().filter_map(p99).collect();
        sorted.sort_unstable_by_key(|(_, p99)| *p99);
        sorted
    }
}
