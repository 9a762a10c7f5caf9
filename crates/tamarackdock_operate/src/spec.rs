use std::fmt::Write as _;

use getopts::Options;

/// What a command sends to a node.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Kind {
    /// Nothing; the command works on this host only.
    Local,
    /// A read.
    Read,
    /// A read from the metrics address of a gateway.
    Gateway,
    /// A change of a part of the configuration.
    Change,
    /// A whole configuration.
    Submit,
}

/// The definition of one command.
#[derive(Debug)]
pub(crate) struct Spec {
    /// Words with which the command line begins.
    pub(crate) words: &'static [&'static str],
    /// Placeholders of the positional arguments, all of which are required.
    pub(crate) arguments: &'static [&'static str],
    pub(crate) kind: Kind,
    pub(crate) summary: &'static str,
}

const fn spec(
    words: &'static [&'static str],
    arguments: &'static [&'static str],
    kind: Kind,
    summary: &'static str,
) -> Spec {
    Spec { words, arguments, kind, summary }
}

pub(crate) const SPECS: &[Spec] = &[
    spec(
        &["check"],
        &["FILE"],
        Kind::Local,
        "Reports all errors of a deployment or settings file.",
    ),
    spec(&["submit"], &["FILE"], Kind::Submit, "Submits a deployment file as a new version."),
    spec(&["diff"], &["FILE"], Kind::Read, "Prints what a file would change, by named item."),
    spec(&["show"], &[], Kind::Read, "Prints the active configuration."),
    spec(
        &["roll-forward"],
        &["FILE"],
        Kind::Submit,
        "Submits an earlier file again as a new version; nodes don't keep earlier versions.",
    ),
    spec(&["key", "new"], &[], Kind::Local, "Prints a random key and its hash."),
    spec(&["key", "hash"], &[], Kind::Local, "Reads a key from standard input, prints its hash."),
    spec(&["key", "issue"], &["ACCOUNT", "HASH"], Kind::Change, "Issues a key by its hash."),
    spec(&["key", "withdraw"], &["ACCOUNT", "HASH"], Kind::Change, "Withdraws a key by its hash."),
    spec(&["data-centre", "out"], &["NAME"], Kind::Change, "Takes a data centre out of service."),
    spec(&["data-centre", "in"], &["NAME"], Kind::Change, "Puts a data centre back into service."),
    spec(&["dump"], &[], Kind::Read, "Prints the state of a node as JSON."),
    spec(&["metrics"], &[], Kind::Read, "Prints the metrics of a node."),
    spec(
        &["explain"],
        &[],
        Kind::Gateway,
        "Prints where a gateway would send a call or run a job's items now, and why.",
    ),
];

const EXIT_CODES: &str = "Exit codes: 0 done, 1 refused or failed, 2 usage or invalid file,
  3 accepted but not yet in force on every node (with --wait),
  4 outcome unknown, repeat with the same operation id.";

impl Spec {
    /// Finds the command that a command line begins with.
    pub(crate) fn find(arguments: &[String]) -> Option<&'static Self> {
        SPECS.iter().find(|spec| {
            arguments.len() >= spec.words.len()
                && spec.words.iter().zip(arguments).all(|(word, given)| word == given)
        })
    }

    /// Returns the words of the command, separated by spaces.
    pub(crate) fn name(&self) -> String {
        self.words.join(" ")
    }

    pub(crate) fn options(&self) -> Options {
        let mut options = Options::new();
        options.optflag("h", "help", "print this help");
        options.optflag("", "json", "print JSON");
        if self.words == ["check"] {
            options.optflag("", "settings", "check the settings of a node");
        }
        if self.words == ["dump"] {
            options.optflag("", "all", "ask every node given by --node");
        }
        if self.kind == Kind::Gateway {
            options.optopt("g", "gateway", "metrics address of a gateway", "ADDRESS");
            options.optopt("", "host", "host name of a call, with --path", "HOST");
            options.optopt("", "path", "path of a call without the query, with --host", "PATH");
            options.optopt("", "job", "id of a batch job", "ID");
        }
        if matches!(self.kind, Kind::Read | Kind::Change | Kind::Submit) {
            let text = "operator port of a node; repeat it to name further nodes";
            options.optmulti("n", "node", text, "ADDRESS");
        }
        if matches!(self.kind, Kind::Change | Kind::Submit) {
            options.optopt(
                "",
                "wait",
                "wait until all nodes have the change, at most 30",
                "SECONDS",
            );
            options.optopt("", "operation", "operation id, to repeat a request", "ID");
        }
        if self.kind == Kind::Submit {
            options.optopt("", "base", "version that the file is based on", "VERSION");
        }
        options
    }

    /// Returns the help of this command.
    pub(crate) fn help(&self) -> String {
        let mut usage = format!("Usage: tamarackctl {}", self.name());
        for argument in self.arguments {
            usage.push(' ');
            usage.push_str(argument);
        }
        let brief = format!("{usage} [OPTIONS]\n\n{}", self.summary);
        format!("{}\n{EXIT_CODES}", self.options().usage(&brief))
    }
}

/// Returns the help of the whole program.
pub(crate) fn help() -> String {
    let mut text = String::from("Usage: tamarackctl COMMAND [ARGUMENTS] [OPTIONS]\n\nCommands:\n");
    for spec in SPECS {
        let usage = format!("{} {}", spec.name(), spec.arguments.join(" "));
        let _ = writeln!(text, "  {usage:<30} {}", spec.summary);
    }
    format!("{text}\n`tamarackctl COMMAND --help` lists the options of a command.\n\n{EXIT_CODES}")
}
