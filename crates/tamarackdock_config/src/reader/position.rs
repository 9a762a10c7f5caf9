use derive_more::Display;

/// A position in a file. Lines and columns count from 1, columns in characters.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Display)]
#[display("{line}:{column}")]
pub struct Position {
    /// Line number.
    pub line: usize,
    /// Number of the character in its line.
    pub column: usize,
}

impl Default for Position {
    fn default() -> Self {
        Self { line: 1, column: 1 }
    }
}

impl Position {
    /// Returns the position of a byte offset, given the byte offsets at which lines start.
    pub(crate) fn find(text: &str, starts: &[usize], offset: usize) -> Self {
        let line = starts.partition_point(|start| *start <= offset).max(1);
        let start = starts.get(line - 1).copied().unwrap_or_default();
        let before = text.get(start..offset).unwrap_or_default();
        Self { line, column: before.chars().count() + 1 }
    }

    /// Returns the byte offsets at which lines start.
    pub(crate) fn line_starts(text: &str) -> Vec<usize> {
        std::iter::once(0).chain(text.match_indices('\n').map(|(at, _)| at + 1)).collect()
    }
}
