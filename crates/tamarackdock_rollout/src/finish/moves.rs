use super::{
    step::{Group, is_decisive, step_end_ms},
    target::Target,
};

/// Most moves of one item, so that wrong speeds don't move it endlessly.
pub const MAX_MOVES: u32 = 3;
/// An item could take this many times as long as expected. Which of 200 items ends last depends on
/// those that take the longest, and the estimates of 1 in 80 are too low by this factor.
const LONGER_FACTOR: f64 = 3.0;
/// Smallest gain of a step for which runs are moved.
pub const MIN_GAIN_MS: f64 = 350.0;
/// Smallest expected gain of a run that moves because of its due time. Without it, an end that
/// is expected at about that time leads to moves for the noise of the speeds.
const MIN_DUE_GAIN_MS: f64 = 100.0;
/// A run in progress.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Run {
    /// Index of its group.
    pub group: usize,
    /// Index of its target.
    pub target: usize,
    /// Estimated number of remaining events.
    pub events: f64,
    /// Tokens of the prompt and of the text so far, which another target reads first.
    pub read_tokens: f64,
    /// Moves of its item so far.
    pub moves: u32,
}

/// A step with the runs in progress.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct RunningStep {
    /// Its groups, with the expected ends of the items that are not running.
    pub groups: Vec<Group>,
    /// Number of groups that the trainer waits for.
    pub wanted: usize,
    /// Time at which the step is due.
    pub due_ms: Option<f64>,
    /// Its runs in progress.
    pub runs: Vec<Run>,
}

impl RunningStep {
    /// Counts the runs that decide when the step ends at their targets, and returns its expected
    /// end.
    pub fn mark_decisive(&self, targets: &mut [Target]) -> f64 {
        let outlook = Outlook::new(self, targets, 1.0);
        let step_end_ms = outlook.end_ms();
        for (run, end_ms) in self.runs.iter().zip(&outlook.ends_ms) {
            targets[run.target].decisive += u32::from(is_decisive(*end_ms, step_end_ms));
        }
        step_end_ms
    }
}

/// Why a run moves.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reason {
    /// Its step ends sooner.
    Step,
    /// Its item would miss the due time.
    Due,
}

/// A run that moves to another target.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Move {
    /// Index of the run.
    pub run: usize,
    /// Index of the target where it is expected to end first.
    pub to: usize,
    /// End of the run where it is.
    pub end_ms: f64,
    /// End of the run on the other target.
    pub moved_end_ms: f64,
    /// End of the step without any move.
    pub step_end_ms: f64,
    /// By how much sooner the step ends if all moves of the plan are carried out, or the run if
    /// it moves because of its due time.
    pub gain_ms: f64,
    /// Why it moves.
    pub reason: Reason,
}

/// Returns the runs of a step that move now. Updates the targets accordingly. `fits` is given the
/// indexes of a run and a target.
///
/// A target that turns slow holds several runs, and the last of them decides the end as long as
/// any of them stays. So all runs that end sooner elsewhere are moved in thought, and only the
/// sum counts. The ends are those of items that take [`LONGER_FACTOR`] times as long as expected.
pub fn plan(
    step: &RunningStep,
    targets: &mut [Target],
    fits: impl Fn(usize, usize) -> bool,
) -> Vec<Move> {
    let moves = Outlook::new(step, targets, LONGER_FACTOR).moves_for_step(targets, &fits);
    if moves.is_empty() {
        return Outlook::new(step, targets, 1.0).moves_for_due(targets, &fits);
    }
    moves
}

/// The expected ends of a step's runs and groups.
#[derive(Clone)]
struct Outlook<'a> {
    step: &'a RunningStep,
    /// Factor by which items take longer than expected.
    factor: f64,
    ends_ms: Vec<f64>,
    groups: Vec<Group>,
    /// Runs of each group.
    members: Vec<Vec<usize>>,
}

impl<'a> Outlook<'a> {
    fn new(step: &'a RunningStep, targets: &[Target], factor: f64) -> Self {
        let expected = |run: &Run| targets[run.target].running_end_ms(run.events * factor);
        let ends_ms: Vec<f64> = step.runs.iter().map(expected).collect();
        let mut groups = step.groups.clone();
        for group in &mut groups {
            group.end_ms *= factor;
        }
        let mut members = vec![Vec::new(); groups.len()];
        for (number, run) in step.runs.iter().enumerate() {
            groups[run.group].end_ms = groups[run.group].end_ms.max(ends_ms[number]);
            members[run.group].push(number);
        }
        Self { step, factor, ends_ms, groups, members }
    }

    fn end_ms(&self) -> f64 {
        step_end_ms(&self.groups, self.step.wanted)
    }

    /// Returns the moves that together end the step sooner by [`MIN_GAIN_MS`] or more.
    ///
    /// The end that can be reached is that with all useful moves. Of these, only those of runs
    /// that would end later are carried out.
    fn moves_for_step(
        &mut self,
        targets: &mut [Target],
        fits: &impl Fn(usize, usize) -> bool,
    ) -> Vec<Move> {
        let before_ms = self.end_ms();
        let candidates = self.candidates(targets, fits);
        if candidates.is_empty() {
            return Vec::new();
        }
        let mut trial = self.clone();
        for candidate in &candidates {
            trial.set_end(candidate.run, candidate.moved_end_ms);
        }
        let reached_ms = trial.end_ms();
        let gain_ms = before_ms - reached_ms;
        if gain_ms < MIN_GAIN_MS {
            return Vec::new();
        }
        let late = candidates.into_iter().filter(|candidate| candidate.end_ms > reached_ms);
        let mut moves = Vec::new();
        for Candidate { run, to, end_ms, moved_end_ms } in late {
            self.set_end(run, moved_end_ms);
            targets[to].add_run();
            let reason = Reason::Step;
            let step_end_ms = before_ms;
            moves.push(Move { run, to, end_ms, moved_end_ms, step_end_ms, gain_ms, reason });
        }
        moves
    }

    /// Returns the runs that would end sooner elsewhere, the last ones first, as long as there is
    /// room.
    fn candidates(
        &self,
        targets: &[Target],
        fits: &impl Fn(usize, usize) -> bool,
    ) -> Vec<Candidate> {
        let mut trial = targets.to_vec();
        let mut runs: Vec<usize> = (0..self.step.runs.len()).collect();
        runs.sort_by(|left, right| self.ends_ms[*right].total_cmp(&self.ends_ms[*left]));
        let mut candidates = Vec::new();
        for run in runs {
            let Some((to, moved_end_ms)) = self.best_target(run, &trial, fits) else { continue };
            let end_ms = self.ends_ms[run];
            if end_ms - moved_end_ms >= MIN_GAIN_MS {
                trial[to].add_run();
                candidates.push(Candidate { run, to, end_ms, moved_end_ms });
            }
        }
        candidates
    }

    /// Returns the moves by which items that the trainer waits for still meet the due time.
    fn moves_for_due(
        &self,
        targets: &mut [Target],
        fits: &impl Fn(usize, usize) -> bool,
    ) -> Vec<Move> {
        let Some(due_ms) = self.step.due_ms.filter(|due_ms| *due_ms > 0.0) else {
            return Vec::new();
        };
        let step_end_ms = self.end_ms();
        let mut moves = Vec::new();
        for run in 0..self.step.runs.len() {
            let end_ms = self.ends_ms[run];
            let group = self.groups[self.step.runs[run].group];
            let counts = group.carried || group.end_ms <= step_end_ms;
            if end_ms <= due_ms || !counts {
                continue;
            }
            let Some((to, moved_end_ms)) = self.best_target(run, targets, fits) else { continue };
            let gain_ms = end_ms - moved_end_ms;
            if moved_end_ms <= due_ms && gain_ms >= MIN_DUE_GAIN_MS {
                targets[to].add_run();
                let reason = Reason::Due;
                moves.push(Move { run, to, end_ms, moved_end_ms, step_end_ms, gain_ms, reason });
            }
        }
        moves
    }

    /// Returns the measured target with room where a run ends first, and that end.
    fn best_target(
        &self,
        run: usize,
        targets: &[Target],
        fits: &impl Fn(usize, usize) -> bool,
    ) -> Option<(usize, f64)> {
        let Run { target, events, read_tokens, moves, .. } = self.step.runs[run];
        if moves >= MAX_MOVES || !targets[target].is_measured() {
            return None;
        }
        let usable = targets.iter().enumerate().filter(|(index, other)| {
            *index != target && other.open > 0 && other.is_measured() && fits(run, *index)
        });
        usable
            .map(|(index, other)| (index, other.start_end_ms(events * self.factor, read_tokens)))
            .min_by(|(_, left), (_, right)| left.total_cmp(right))
    }

    /// Sets the expected end of a run and of its group.
    fn set_end(&mut self, run: usize, end_ms: f64) {
        self.ends_ms[run] = end_ms;
        let group = self.step.runs[run].group;
        let members = self.members[group].iter().map(|member| self.ends_ms[*member]);
        self.groups[group].end_ms =
            members.fold(self.step.groups[group].end_ms * self.factor, f64::max);
    }
}

/// A run that would end sooner elsewhere.
struct Candidate {
    run: usize,
    to: usize,
    end_ms: f64,
    moved_end_ms: f64,
}
