use std::io::{self, Read, Write};

use serde::Serialize;

/// The standard streams of a command.
pub struct Console<'a> {
    /// Standard input, from which `key hash` reads the key.
    pub input: &'a mut dyn Read,
    /// Standard output, for data.
    pub output: &'a mut dyn Write,
    /// Standard error, for error messages.
    pub errors: &'a mut dyn Write,
}

impl Console<'_> {
    pub(crate) fn print_line(&mut self, text: impl std::fmt::Display) -> io::Result<()> {
        writeln!(self.output, "{text}")
    }

    /// Prints a value as indented JSON with a final line break.
    pub(crate) fn print_json<T: Serialize>(&mut self, value: &T) -> io::Result<()> {
        serde_json::to_writer_pretty(&mut self.output, value)?;
        writeln!(self.output)
    }
}
