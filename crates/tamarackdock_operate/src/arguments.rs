use std::{net::SocketAddr, time::Duration};

use getopts::Matches;

use crate::{
    Error,
    spec::{Kind, Spec},
};

/// Longest wait for a change, in seconds. Nodes wait no longer, see `docs/api.md`.
const MAX_WAIT_SECONDS: u64 = 30;

/// A parsed command line.
#[derive(Debug)]
pub(crate) struct Arguments {
    pub(crate) spec: &'static Spec,
    pub(crate) free: Vec<String>,
    pub(crate) nodes: Vec<SocketAddr>,
    pub(crate) wait: Option<Duration>,
    pub(crate) operation: Option<String>,
    pub(crate) base: Option<u64>,
    matches: Matches,
}

impl Arguments {
    /// Parses what follows the words of the command.
    pub(crate) fn parse(spec: &'static Spec, rest: &[String]) -> Result<Self, Error> {
        let usage =
            |message: String| Error::Usage { command: format!(" {}", spec.name()), message };
        let matches = spec.options().parse(rest).map_err(|error| usage(error.to_string()))?;
        let arguments = Self {
            spec,
            nodes: nodes(spec, &matches).map_err(usage)?,
            wait: number(&matches, "wait", MAX_WAIT_SECONDS)
                .map_err(usage)?
                .map(Duration::from_secs),
            operation: operation(&matches).map_err(usage)?,
            base: number(&matches, "base", u64::MAX).map_err(usage)?,
            free: matches.free.clone(),
            matches,
        };
        match arguments.free.len() == spec.arguments.len() {
            _ if arguments.has("help") => Ok(arguments),
            false => Err(usage(format!("`{}` takes {}", spec.name(), expected(spec)))),
            true if spec.kind != Kind::Local && arguments.nodes.is_empty() => {
                Err(usage("`--node` is missing; name the operators' port of a node".into()))
            }
            true => Ok(arguments),
        }
    }

    /// Returns whether a flag of the command is given.
    pub(crate) fn has(&self, flag: &str) -> bool {
        self.matches.opt_defined(flag) && self.matches.opt_present(flag)
    }

    /// Returns whether the output is JSON.
    pub(crate) fn json(&self) -> bool {
        self.has("json")
    }

    /// Returns an argument. The number of arguments is checked before.
    pub(crate) fn get(&self, index: usize) -> &str {
        self.free.get(index).map_or("", String::as_str)
    }
}

fn expected(spec: &Spec) -> String {
    match spec.arguments {
        [] => "no arguments".into(),
        names => names.join(" "),
    }
}

fn nodes(spec: &Spec, matches: &Matches) -> Result<Vec<SocketAddr>, String> {
    if spec.kind == Kind::Local {
        return Ok(Vec::new());
    }
    let parse = |text: String| {
        text.parse().map_err(|_| format!("`{text}` is no address; write it as 10.0.0.1:4001"))
    };
    matches.opt_strs("node").into_iter().map(parse).collect()
}

fn number(matches: &Matches, name: &str, max: u64) -> Result<Option<u64>, String> {
    if !matches.opt_defined(name) {
        return Ok(None);
    }
    let Some(text) = matches.opt_str(name) else { return Ok(None) };
    match text.parse() {
        Ok(value) if value <= max => Ok(Some(value)),
        _ => Err(format!("`--{name}` needs a whole number of at most {max}, not `{text}`")),
    }
}

/// The id becomes a part of the request's query, which nodes don't unescape.
fn operation(matches: &Matches) -> Result<Option<String>, String> {
    if !matches.opt_defined("operation") {
        return Ok(None);
    }
    let is_allowed = |c: char| c.is_ascii_alphanumeric() || "-_.".contains(c);
    match matches.opt_str("operation") {
        Some(id) if id.is_empty() || id.len() > 64 || !id.chars().all(is_allowed) => {
            Err("`--operation` needs 1 to 64 letters, digits, `-`, `_` or `.`".into())
        }
        id => Ok(id),
    }
}
