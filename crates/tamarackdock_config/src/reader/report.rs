use std::fmt;

use derive_more::Error;

use super::Problem;

/// All problems of one file, in the order of their positions.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub struct Report {
    file: String,
    problems: Vec<Problem>,
}

impl Report {
    pub(crate) fn new(file: &str, mut problems: Vec<Problem>) -> Self {
        problems.sort_by(|a, b| (a.position, &a.path).cmp(&(b.position, &b.path)));
        Self { file: file.into(), problems }
    }

    /// Returns the problems, in the order of their positions.
    #[must_use]
    pub fn problems(&self) -> &[Problem] {
        &self.problems
    }
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let count = self.problems.len();
        writeln!(f, "`{}` has {count} error{}:", self.file, if count == 1 { "" } else { "s" })?;
        self.problems.iter().try_for_each(|problem| writeln!(f, "{}:{problem}", self.file))
    }
}
