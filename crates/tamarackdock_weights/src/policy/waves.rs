use tamarackdock_types::TargetName;

use super::{Fleet, Policy};

/// Policy of loading in waves: at most a share of the capacity loads at once, and
/// no more loads start than the weight store's rate allows.
#[derive(Debug, Clone, Copy)]
pub struct Waves {
    /// Largest share of the capacity that loads at once, in percent. One engine
    /// may always load, since a small service would never load otherwise.
    pub max_loading_percent: u8,
}

impl Policy for Waves {
    fn choose(&self, fleet: &Fleet) -> Vec<TargetName> {
        let allowed = fleet.capacity * u64::from(self.max_loading_percent) / 100;
        let mut loading = fleet.loading;
        let mut chosen = Vec::new();
        for candidate in &fleet.candidates {
            let fits = loading == 0 || loading + candidate.capacity <= allowed;
            if chosen.len() < fleet.permits && fits {
                loading += candidate.capacity;
                chosen.push(candidate.target.clone());
            }
        }
        chosen
    }
}
