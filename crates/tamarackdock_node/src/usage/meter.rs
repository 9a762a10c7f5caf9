use tamarackdock_types::AccountName;
use tamarackdock_usage::UsageTotals;

use super::Handle;

/// Counts what one attempt receives. It counts immediately, so that cancelled and failed
/// attempts are counted too. Calls of open routes have no account and are not counted.
pub(crate) struct Meter {
    usage: Handle,
    account: Option<AccountName>,
}

impl Meter {
    pub(super) fn new(usage: Handle, account: Option<AccountName>) -> Self {
        Self { usage, account }
    }

    /// Counts an attempt that its target accepted.
    pub(crate) fn count_call(&self) {
        self.count(UsageTotals { calls: 1, tokens: 0 });
    }

    /// Counts tokens that were received from the target.
    pub(crate) fn count_tokens(&self, tokens: usize) {
        self.count(UsageTotals { calls: 0, tokens: tokens as u64 });
    }

    fn count(&self, totals: UsageTotals) {
        if let Some(account) = &self.account {
            self.usage.count(account.clone(), totals);
        }
    }
}
