use std::{net::SocketAddr, time::Duration};

use getopts::Matches;

use crate::{
    Error,
    spec::{Kind, Spec},
};

/// Longest value of `--wait`. Nodes don't wait longer than this, see `docs/api.md`.
const MAX_WAIT_SECONDS: u64 = 30;

/// A parsed command line.
#[derive(Debug)]
pub(crate) struct Arguments {
    pub(crate) spec: &'static Spec,
    /// Arguments that are not options, as many as the command takes unless help is asked for.
    pub(crate) positional: Vec<String>,
    /// Operator ports given by `--node`, in the order in which they are tried, or the metrics
    /// address given by `--gateway`.
    pub(crate) nodes: Vec<SocketAddr>,
    /// How long the node is to wait until the change is active on all nodes.
    pub(crate) wait: Option<Duration>,
    /// Operation id, or `None` if the command generates one.
    pub(crate) operation: Option<String>,
    /// Version that a submitted file is based on, or `None` for the active one.
    pub(crate) base: Option<u64>,
    matches: Matches,
}

impl Arguments {
    /// Parses the arguments after the words of the command.
    pub(crate) fn parse(spec: &'static Spec, arguments: &[String]) -> Result<Self, Error> {
        let usage =
            |message: String| Error::Usage { command: format!(" {}", spec.name()), message };
        let matches = spec.options().parse(arguments).map_err(|error| usage(error.to_string()))?;
        let arguments = Self {
            spec,
            nodes: parse_nodes(spec, &matches).map_err(usage)?,
            wait: parse_number(&matches, "wait", MAX_WAIT_SECONDS)
                .map_err(usage)?
                .map(Duration::from_secs),
            operation: parse_operation(&matches).map_err(usage)?,
            base: parse_number(&matches, "base", u64::MAX).map_err(usage)?,
            positional: matches.free.clone(),
            matches,
        };
        match arguments.positional.len() == spec.arguments.len() {
            _ if arguments.has("help") => Ok(arguments),
            false => Err(usage(format!("`{}` takes {}", spec.name(), expected_arguments(spec)))),
            true if spec.kind == Kind::Gateway && arguments.nodes.is_empty() => {
                Err(usage("`--gateway` is missing; name the metrics address of a gateway".into()))
            }
            true if spec.kind != Kind::Local && arguments.nodes.is_empty() => {
                Err(usage("`--node` is missing; name the operator port of a node".into()))
            }
            true => Ok(arguments),
        }
    }

    /// Returns whether a flag is given. A flag that the command doesn't have is never given.
    pub(crate) fn has(&self, flag: &str) -> bool {
        self.matches.opt_defined(flag) && self.matches.opt_present(flag)
    }

    /// Returns the value of an option of this command.
    pub(crate) fn value(&self, option: &str) -> Option<String> {
        self.matches.opt_str(option)
    }

    /// Returns an error about the arguments.
    pub(crate) fn usage_error(&self, message: &str) -> Error {
        Error::Usage { command: format!(" {}", self.spec.name()), message: message.into() }
    }

    /// Returns whether the output is to be JSON.
    pub(crate) fn wants_json(&self) -> bool {
        self.has("json")
    }

    /// Returns a positional argument. [`Self::parse`] has checked the number of arguments.
    pub(crate) fn positional(&self, index: usize) -> &str {
        self.positional.get(index).map_or("", String::as_str)
    }
}

fn expected_arguments(spec: &Spec) -> String {
    match spec.arguments {
        [] => "no arguments".into(),
        names => names.join(" "),
    }
}

fn parse_nodes(spec: &Spec, matches: &Matches) -> Result<Vec<SocketAddr>, String> {
    if spec.kind == Kind::Local {
        return Ok(Vec::new());
    }
    let parse = |text: String| {
        text.parse().map_err(|_| format!("`{text}` is not an address; write it as 10.0.0.1:4001"))
    };
    let option = if spec.kind == Kind::Gateway { "gateway" } else { "node" };
    matches.opt_strs(option).into_iter().map(parse).collect()
}

fn parse_number(matches: &Matches, name: &str, max: u64) -> Result<Option<u64>, String> {
    if !matches.opt_defined(name) {
        return Ok(None);
    }
    let Some(text) = matches.opt_str(name) else { return Ok(None) };
    match text.parse() {
        Ok(value) if value <= max => Ok(Some(value)),
        _ => Err(format!("`--{name}` needs a whole number of at most {max}, not `{text}`")),
    }
}

/// Returns the operation id. It is restricted to characters that need no escaping, since it
/// becomes part of the request's query, which nodes don't unescape.
fn parse_operation(matches: &Matches) -> Result<Option<String>, String> {
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
