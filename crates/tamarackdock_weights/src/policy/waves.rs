use tamarackdock_types::TargetName;

use super::{Fleet, Policy};

/// Loads in waves: no more than a share of the capacity is away at once, and
/// no more loads start than the weight store's rate allows.
#[derive(Debug, Clone, Copy)]
pub struct Waves {
    /// Largest share of the capacity that is away at once, in percent. One
    /// engine may always be away, since a small service would else never load.
    pub max_away_percent: u8,
}

impl Policy for Waves {
    fn choose(&self, fleet: &Fleet) -> Vec<TargetName> {
        let allowed = fleet.capacity * u64::from(self.max_away_percent) / 100;
        let mut away = fleet.away;
        let mut chosen = Vec::new();
        for candidate in &fleet.candidates {
            let fits = away == 0 || away + candidate.capacity <= allowed;
            if chosen.len() < fleet.permits && fits {
                away += candidate.capacity;
                chosen.push(candidate.target.clone());
            }
        }
        chosen
    }
}
