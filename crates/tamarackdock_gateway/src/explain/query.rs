use super::ExplainError;

/// What is to be explained.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Query<'a> {
    /// A call of this host name and path, as in its request.
    Call {
        /// Value of the `Host` field.
        host: &'a str,
        /// Path without the query.
        path: &'a str,
    },
    /// The items of the batch job with this id.
    Job(&'a str),
}

impl<'a> Query<'a> {
    /// Parses the query of a request. Values are not unescaped, as paths are matched as they are
    /// sent.
    pub(crate) fn parse(query: &'a str) -> Result<Self, ExplainError> {
        let (mut host, mut path, mut job) = (None, None, None);
        for pair in query.split('&') {
            let field = match pair.split_once('=') {
                Some(("host", value)) => host.replace(value),
                Some(("path", value)) => path.replace(value),
                Some(("job", value)) => job.replace(value),
                _ => return Err(ExplainError::Query),
            };
            if field.is_some() {
                return Err(ExplainError::Query);
            }
        }
        match (host, path, job) {
            (Some(_), Some(path), None) if !path.starts_with('/') => Err(ExplainError::Path),
            (Some(host), Some(path), None) if !host.is_empty() => Ok(Self::Call { host, path }),
            (None, None, Some(job)) if !job.is_empty() => Ok(Self::Job(job)),
            _ => Err(ExplainError::Query),
        }
    }
}
