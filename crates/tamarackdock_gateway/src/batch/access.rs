//! Who may read, end and submit again a batch job.
//!
//! A job outlasts its submission, and configurations change in between: its route becomes public or
//! stops being so, and client accounts appear or disappear. So the account that submitted a job
//! is kept with it, also on public routes, and decides alone. See
//! `docs/incidents/jobs-of-public-routes.md`.

use crate::deployment::Name;

/// What a call about a job may do, by the account of its key.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Access {
    /// The call may use the job.
    Allowed,
    /// The job is of another account.
    OtherAccount,
    /// The call has no valid key, and the job is of an account.
    UnknownKey,
}

impl Access {
    /// Decides about a call with a key of `account`, or without a valid one, and a job that `owner`
    /// has submitted. A job that came without an account, over a public route or before there
    /// were accounts, is open to all who know its id. Where no keys are in use, all jobs are.
    pub(crate) fn of(owner: Option<&Name>, account: Option<&Name>, requires_key: bool) -> Self {
        match (owner, account) {
            (None, _) => Self::Allowed,
            _ if !requires_key => Self::Allowed,
            (Some(owner), Some(account)) if owner == account => Self::Allowed,
            (Some(_), Some(_)) => Self::OtherAccount,
            (Some(_), None) => Self::UnknownKey,
        }
    }
}
