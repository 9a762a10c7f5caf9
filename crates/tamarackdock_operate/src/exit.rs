use std::process::ExitCode;

/// Exit code of a command, by which scripts tell its outcome.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Exit {
    /// The command succeeded.
    Done = 0,
    /// The request was refused, or it failed without effect.
    Failed = 1,
    /// The command line or a file is not valid; nothing was sent.
    Invalid = 2,
    /// The change is accepted but not yet active on every node.
    Pending = 3,
    /// The change may have taken effect; it is safe to repeat it with the same operation id.
    Unknown = 4,
}

impl From<Exit> for ExitCode {
    fn from(exit: Exit) -> Self {
        Self::from(exit as u8)
    }
}
