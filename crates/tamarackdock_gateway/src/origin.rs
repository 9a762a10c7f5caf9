//! Who sends a call, and what follows from that for its attempts.

use crate::{batch::scoring, limit::Demand, pool::Reuse};

/// Share of the latency objective after which an idempotent call is hedged: sent to
/// a second target as well. Targets of plain services are far from full, so a second
/// run costs little, and the rest of the objective is enough for it.
const HEDGE_SHARE: f64 = 0.4;
/// The same for scoring calls, whose objective is far longer than the pause of a step: a hedge
/// costs a connection, as the slower attempt is closed.
const SCORING_HEDGE_SHARE: f64 = 0.75;

/// Who sends a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Origin {
    /// A caller, who waits for the answer.
    Caller,
    /// The owner of a batch job, to score an item. It may run more than once and leaves room
    /// for the calls of callers.
    Scoring,
}

impl Origin {
    /// Returns the share of the latency objective after which a call is hedged.
    pub(crate) fn hedge_share(self) -> f64 {
        match self {
            Self::Caller => HEDGE_SHARE,
            Self::Scoring => SCORING_HEDGE_SHARE,
        }
    }

    /// Returns how many slots of each target a call leaves free.
    pub(crate) fn reserved_slots(self) -> u32 {
        match self {
            Self::Caller => 0,
            Self::Scoring => scoring::RESERVED_SLOTS,
        }
    }

    /// Returns which part of a target's limit a call uses.
    pub(crate) fn demand(self) -> Demand {
        match self {
            Self::Caller => Demand::Calls,
            Self::Scoring => Demand::Batch,
        }
    }

    /// Returns which idle connection carries a call.
    pub(crate) fn reuse(self) -> Reuse {
        match self {
            Self::Caller => Reuse::Newest,
            Self::Scoring => Reuse::Oldest,
        }
    }
}
