use std::io::{self, Read, Write};

use serde::Serialize;

/// Input and output of a command.
pub struct Console<'a> {
    /// Standard input.
    pub input: &'a mut dyn Read,
    /// Standard output, for data.
    pub output: &'a mut dyn Write,
    /// Standard error, for errors.
    pub errors: &'a mut dyn Write,
}

impl Console<'_> {
    pub(crate) fn line(&mut self, text: impl std::fmt::Display) -> io::Result<()> {
        writeln!(self.output, "{text}")
    }

    pub(crate) fn json<T: Serialize>(&mut self, value: &T) -> io::Result<()> {
        serde_json::to_writer_pretty(&mut self.output, value)?;
        writeln!(self.output)
    }
}
